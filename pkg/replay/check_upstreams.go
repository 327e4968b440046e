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
	drainSign = 30 * time.Second
)

// leavingCheck verifies that no attempt starts on an upstream from 3 s after
// the first sign that it is leaving: its entry in the platform's list as
// written by a scenario or read by the process, or a draining reply.
type leavingCheck struct {
	*judge
	// written and listed hold when an address was first seen as leaving; the
	// latter by process.
	written map[string]time.Time
	listed  map[string]map[string]time.Time
	// drained holds the first draining reply by scheduler and upstream, and
	// upstreams the upstream of each attempt.
	drained   map[string]map[string]time.Time
	upstreams map[string]string
}

func newLeavingCheck(j *judge) *leavingCheck {
	return &leavingCheck{
		judge:     j,
		written:   make(map[string]time.Time),
		listed:    make(map[string]map[string]time.Time),
		drained:   make(map[string]map[string]time.Time),
		upstreams: make(map[string]string),
	}
}

func (c *leavingCheck) end() {}

func (c *leavingCheck) see(l line, out any) error {
	switch {
	case l.Component == componentFact && l.Call == FactUpstream:
		u, err := decode[port.ListedUpstream](l.Args)
		note(c.written, u.Address, u.Leaving, l.Time)
		return err
	case l.Component == componentList:
		return c.list(l)
	case l.Component == componentScheduler:
		return c.scheduler(l, out)
	default:
		return nil
	}
}

// note keeps the time of the first sign while the sign lasts.
func note(signs map[string]time.Time, name string, leaving bool, at time.Time) {
	if !leaving {
		delete(signs, name)
		return
	}
	if _, known := signs[name]; !known {
		signs[name] = at
	}
}

func (c *leavingCheck) list(l line) error {
	list, err := decode[[]port.ListedUpstream](l.Args)
	if err != nil {
		return err
	}
	before := c.listed[l.Process]
	signs := make(map[string]time.Time)
	for _, u := range list {
		if !u.Leaving {
			continue
		}
		signs[u.Address] = l.Time
		if first, known := before[u.Address]; known {
			signs[u.Address] = first
		}
	}
	c.listed[l.Process] = signs
	return nil
}

func (c *leavingCheck) scheduler(l line, out any) error {
	signs := c.drained[l.object()]
	if signs == nil {
		signs = make(map[string]time.Time)
		c.drained[l.object()] = signs
	}
	switch l.Call {
	case "finish":
		a, err := schedulerArgs[finishArgs](l)
		if err != nil {
			return err
		}
		draining := a.Reply.Draining || a.Reply.Code == result.UpstreamDraining
		if draining || a.Reply.Code == result.OK {
			note(signs, c.upstreams[l.object()+a.Attempt.String()], draining, l.Time)
		}
	case "hint":
		a, err := schedulerArgs[hintArgs](l)
		if err != nil {
			return err
		}
		note(signs, a.Upstream, a.Status.Draining, l.Time)
	}
	for _, a := range actionsOf[scheduler.Start](out) {
		c.upstreams[l.object()+a.Call.Attempt.String()] = a.Call.Upstream
		c.start(l, a.Call, signs[a.Call.Upstream])
	}
	return nil
}

// start judges the attempts of a process that has had a sign for longer than
// the grace, or whose upstream has.
func (c *leavingCheck) start(l line, call port.UpstreamCall, drained time.Time) {
	late := func(sign time.Time) bool { return !sign.IsZero() && l.Time.After(sign.Add(leavingGrace)) }
	listed := c.listed[l.Process]
	broken := late(c.written[call.Address]) || late(listed[call.Address]) ||
		late(drained) && l.Time.Before(drained.Add(drainSign))
	about := broken
	for _, sign := range c.written {
		about = about || late(sign)
	}
	for _, sign := range listed {
		about = about || late(sign)
	}
	for _, sign := range c.drained[l.object()] {
		about = about || late(sign)
	}
	if about {
		c.judge.judge(PromiseLeavingUpstream, !broken, "%s: an attempt started on %s at %s", l.Key, call.Upstream, clockText(l.Time))
	}
}
