package replay

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

const (
	// leavingGrace is the time after the first sign from which a leaving
	// upstream gets no new work.
	leavingGrace = 3 * time.Second
	// drainSign is how long a draining reply counts as a sign by itself. Later,
	// the upstream may have stopped draining.
	drainingReplyValidity = 30 * time.Second
)

// leavingCheck verifies that no attempt starts on an upstream from 3 s after
// the first sign that it is leaving: its entry in the platform's list as
// written by a scenario or read by the process, or a draining reply.
type leavingUpstreamCheck struct {
	*verdictSet
	// written and listed hold when an address was first seen as leaving; the
	// latter by process.
	leavingByScenario map[string]time.Time
	leavingByProcess  map[string]map[string]time.Time
	// drained holds the first draining reply by scheduler and upstream, and
	// upstreams the upstream of each attempt.
	drainingSince map[string]map[string]time.Time
	upstreams     map[string]string
}

func newLeavingUpstreamCheck(j *verdictSet) *leavingUpstreamCheck {
	return &leavingUpstreamCheck{
		verdictSet:        j,
		leavingByScenario: make(map[string]time.Time),
		leavingByProcess:  make(map[string]map[string]time.Time),
		drainingSince:     make(map[string]map[string]time.Time),
		upstreams:         make(map[string]string),
	}
}

func (c *leavingUpstreamCheck) finish() {}

func (c *leavingUpstreamCheck) observe(l line, out any) error {
	switch {
	case l.Component == componentFact && l.Call == FactUpstream:
		u, err := decode[port.ListedUpstream](l.Args)
		setLeavingSince(c.leavingByScenario, u.Address, u.Leaving, l.Time)
		return err
	case l.Component == componentList:
		return c.observeList(l)
	case l.Component == componentScheduler:
		return c.observeScheduler(l, out)
	default:
		return nil
	}
}

// note keeps the time of the first sign while the sign lasts.
func setLeavingSince(since map[string]time.Time, name string, leaving bool, at time.Time) {
	if !leaving {
		delete(since, name)
		return
	}
	if _, known := since[name]; !known {
		since[name] = at
	}
}

func (c *leavingUpstreamCheck) observeList(l line) error {
	list, err := decode[[]port.ListedUpstream](l.Args)
	if err != nil {
		return err
	}
	previous := c.leavingByProcess[l.Process]
	since := make(map[string]time.Time)
	for _, u := range list {
		if !u.Leaving {
			continue
		}
		since[u.Address] = l.Time
		if first, known := previous[u.Address]; known {
			since[u.Address] = first
		}
	}
	c.leavingByProcess[l.Process] = since
	return nil
}

func (c *leavingUpstreamCheck) observeScheduler(l line, out any) error {
	draining := c.drainingSince[l.objectKey()]
	if draining == nil {
		draining = make(map[string]time.Time)
		c.drainingSince[l.objectKey()] = draining
	}
	switch l.Call {
	case "finish":
		a, err := schedulerArgs[finishArgs](l)
		if err != nil {
			return err
		}
		isDraining := a.Reply.Draining || a.Reply.Code == result.UpstreamDraining
		if isDraining || a.Reply.Code == result.OK {
			setLeavingSince(draining, c.upstreams[l.objectKey()+a.Attempt.String()], isDraining, l.Time)
		}
	case "hint":
		a, err := schedulerArgs[hintArgs](l)
		if err != nil {
			return err
		}
		setLeavingSince(draining, a.Upstream, a.Status.Draining, l.Time)
	}
	for _, a := range actionsOf[scheduler.Start](out) {
		c.upstreams[l.objectKey()+a.Call.Attempt.String()] = a.Call.Upstream
		c.checkStart(l, a.Call, draining[a.Call.Upstream])
	}
	return nil
}

// start judges the attempts of a process that has had a sign for longer than
// the grace, or whose upstream has.
func (c *leavingUpstreamCheck) checkStart(l line, call port.UpstreamCall, drainingSince time.Time) {
	late := func(since time.Time) bool { return !since.IsZero() && l.Time.After(since.Add(leavingGrace)) }
	listed := c.leavingByProcess[l.Process]
	broken := late(c.leavingByScenario[call.Address]) || late(listed[call.Address]) ||
		late(drainingSince) && l.Time.Before(drainingSince.Add(drainingReplyValidity))
	applies := broken
	for _, since := range c.leavingByScenario {
		applies = applies || late(since)
	}
	for _, since := range listed {
		applies = applies || late(since)
	}
	for _, since := range c.drainingSince[l.objectKey()] {
		applies = applies || late(since)
	}
	if applies {
		c.verdictSet.count(PromiseLeavingUpstream, !broken, "%s: an attempt started on %s at %s", l.Key, call.Upstream, clockText(l.Time))
	}
}
