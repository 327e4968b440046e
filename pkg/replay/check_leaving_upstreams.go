package replay

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

const (
	// leavingGracePeriod is the time after the first sign that an upstream is
	// leaving during which attempts may still start on it.
	leavingGracePeriod = 3 * time.Second
	// drainingSignValidity is how long after its first draining reply or status an
	// upstream counts as leaving if the platform's list does not say so. Later,
	// the upstream may have stopped draining.
	drainingSignValidity = 30 * time.Second
)

// leavingUpstreamCheck verifies that no attempt starts on an upstream later than
// 3 s after the first sign that it is leaving. A sign is an entry in the
// platform's list, as written by a scenario or as read by the process, or a reply
// or status report that says that the upstream is draining.
type leavingUpstreamCheck struct {
	*verdictSet
	// leavingByScenario holds, by address, the time at which a scenario listed the
	// upstream as leaving. leavingByProcess holds, by process and address, the time
	// at which the process first read this from the platform's list.
	leavingByScenario map[string]time.Time
	leavingByProcess  map[string]map[string]time.Time
	// drainingSince holds, by scheduler and upstream, the time of the first
	// draining reply or status. upstreams holds the upstream of each attempt, by
	// scheduler and attempt id.
	drainingSince map[string]map[string]time.Time
	upstreams     map[string]string
}

func newLeavingUpstreamCheck(verdicts *verdictSet) *leavingUpstreamCheck {
	return &leavingUpstreamCheck{
		verdictSet:        verdicts,
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

// setLeavingSince stores the time at which a sign first appeared, and deletes it
// when the sign has disappeared.
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

// checkStart checks the start of an attempt. It counts the attempt only if a sign
// for any upstream is older than the grace period; otherwise no attempt can break
// the promise.
func (c *leavingUpstreamCheck) checkStart(l line, call port.UpstreamCall, drainingSince time.Time) {
	late := func(since time.Time) bool { return !since.IsZero() && l.Time.After(since.Add(leavingGracePeriod)) }
	listed := c.leavingByProcess[l.Process]
	broken := late(c.leavingByScenario[call.Address]) || late(listed[call.Address]) ||
		late(drainingSince) && l.Time.Before(drainingSince.Add(drainingSignValidity))
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
