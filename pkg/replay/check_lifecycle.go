package replay

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/phase"
	"github.com/sardineturn/sardineturn/pkg/query"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// maxAdmissionDelay is the longest time between the check of the phase, which
// admits a request, and the scheduler's call. A new home waits for up to 50 ms of
// it for the status of its upstreams.
const maxAdmissionDelay = 200 * time.Millisecond

// gracefulStopCheck verifies that a leaving process stops only after it has
// answered all queries and requests that it accepted, and that it accepts no new
// requests as a home later than maxAdmissionDelay after it has started to leave.
type gracefulStopCheck struct {
	*verdictSet
	processes map[string]*gracefulStopState
}

// gracefulStopState is the state of one process, derived from its lines.
type gracefulStopState struct {
	leftAt  time.Time
	stopped bool
	// queries and requests hold the callers' queries and the requests to homes that
	// were accepted and not yet answered.
	queries  map[string]bool
	requests map[model.AttemptID]bool
}

func newGracefulStopCheck(verdicts *verdictSet) *gracefulStopCheck {
	return &gracefulStopCheck{verdictSet: verdicts, processes: make(map[string]*gracefulStopState)}
}

func (c *gracefulStopCheck) finish() {}

func (c *gracefulStopCheck) observe(l line, out any) error {
	s := c.processes[l.Process]
	if s == nil {
		s = &gracefulStopState{queries: make(map[string]bool), requests: make(map[model.AttemptID]bool)}
		c.processes[l.Process] = s
	}
	switch l.Component {
	case componentQuery:
		c.observeQuery(l, s, out)
	case componentScheduler:
		return c.observeScheduler(l, s, out)
	case componentPhase:
		return c.observePhase(l, s, out)
	}
	return nil
}

func (c *gracefulStopCheck) observeQuery(l line, s *gracefulStopState, out any) {
	if _, refused := out.(queryRefusedResult); refused {
		return
	}
	if l.Call == "open" {
		s.queries[l.Key] = true
	}
	if len(actionsOf[query.Reply](out)) > 0 {
		c.countAnswer(l, s)
		delete(s.queries, l.Key)
	}
}

// countAnswer checks that an answer of a leaving process comes before its stop.
func (c *gracefulStopCheck) countAnswer(l line, s *gracefulStopState) {
	if !s.leftAt.IsZero() {
		c.verdictSet.count(PromiseGracefulStop, !s.stopped, "%s: %s %s answered after the end", l.Process, l.Component, l.Key)
	}
}

func (c *gracefulStopCheck) observeScheduler(l line, s *gracefulStopState, out any) error {
	if l.Call == "submit" {
		r, err := schedulerArgs[model.GroupRequest](l)
		if err != nil {
			return err
		}
		s.requests[r.ID] = true
		if !s.leftAt.IsZero() {
			c.verdictSet.count(PromiseGracefulStop, l.Time.Before(s.leftAt.Add(maxAdmissionDelay)), "%s: new home work at %s, left at %s", l.Process, clockText(l.Time), clockText(s.leftAt))
		}
	}
	for _, a := range actionsOf[scheduler.Done](out) {
		c.countAnswer(l, s)
		delete(s.requests, a.Answer.ID)
	}
	return nil
}

func (c *gracefulStopCheck) observePhase(l line, s *gracefulStopState, out any) error {
	r, ok := out.(phaseResult)
	switch {
	case !ok:
	case l.Call == "leave":
		s.leftAt = l.Time
	case l.Call == "drained" && r.Done:
		w, err := decode[phase.Work](l.Args)
		if err != nil {
			return err
		}
		c.verdictSet.count(PromiseGracefulStop, w == phase.Work{}, "%s: drained at %s with %d requests in progress", l.Process, clockText(l.Time), w.Requests)
	case l.Call == "stop" && !s.leftAt.IsZero():
		s.stopped = true
		c.verdictSet.count(PromiseGracefulStop, r.Done, "%s: ended at %s before its work was done", l.Process, clockText(l.Time))
		c.verdictSet.count(PromiseGracefulStop, len(s.queries) == 0, "%s: ended with %d unanswered queries", l.Process, len(s.queries))
		c.verdictSet.count(PromiseGracefulStop, len(s.requests) == 0, "%s: ended with %d unanswered requests of entries", l.Process, len(s.requests))
	}
	return nil
}

// resumedProcessCheck verifies that a serving process notices a pause, and that
// after a pause it accepts no requests as a home until a member has answered it.
type resumedProcessCheck struct {
	*verdictSet
	processes map[string]*resumedProcessState
}

type resumedProcessState struct {
	lastObserved time.Time
	// serving is true if the process has become ready and has neither been
	// paused nor started to leave since.
	serving bool
	// resumed is true after a pause until the process serves again.
	resumed bool
	// datagramReceived is true if a datagram has arrived since the last pause.
	datagramReceived bool
}

func newResumedProcessCheck(verdicts *verdictSet) *resumedProcessCheck {
	return &resumedProcessCheck{verdictSet: verdicts, processes: make(map[string]*resumedProcessState)}
}

func (c *resumedProcessCheck) finish() {}

func (c *resumedProcessCheck) observe(l line, out any) error {
	s := c.processes[l.Process]
	if s == nil {
		s = &resumedProcessState{}
		c.processes[l.Process] = s
	}
	switch l.Component {
	case componentPhase:
		return c.observePhase(l, s, out)
	case componentMembership:
		s.datagramReceived = s.datagramReceived || l.Call == "receive"
	case componentScheduler:
		if l.Call == "submit" && s.resumed {
			c.verdictSet.count(PromiseResumedProcess, false, "%s: home work at %s after a pause", l.Process, clockText(l.Time))
		}
	}
	return nil
}

func (c *resumedProcessCheck) observePhase(l line, s *resumedProcessState, out any) error {
	switch r := out.(type) {
	case observeResult:
		paused := s.serving && !s.lastObserved.IsZero() && l.Time.Sub(s.lastObserved) > pauseThreshold
		if paused {
			c.verdictSet.count(PromiseResumedProcess, r.Paused, "%s: a gap of %s before %s was not noticed", l.Process, l.Time.Sub(s.lastObserved), clockText(l.Time))
			s.serving, s.resumed, s.datagramReceived = false, true, false
		}
		s.lastObserved = l.Time
	case phaseResult:
		return s.observePhaseChange(c, l, r)
	}
	return nil
}

// pauseThreshold is the gap between two observations above which a process counts
// as paused.
const pauseThreshold = time.Second

// observePhaseChange checks that a process serves again only after a datagram of
// a member has arrived and the membership has made the process a candidate again,
// which requires an ack to a ping that was sent after the pause.
func (s *resumedProcessState) observePhaseChange(c *resumedProcessCheck, l line, r phaseResult) error {
	switch {
	case l.Call == "leave":
		s.serving = false
	case l.Call == "confirm" && r.Done:
		conditions, err := decode[phase.Conditions](l.Args)
		if err != nil {
			return err
		}
		if s.resumed {
			c.verdictSet.count(PromiseResumedProcess, s.datagramReceived && conditions.Candidate, "%s: ready at %s before a member answered", l.Process, clockText(l.Time))
		}
		s.serving, s.resumed = true, false
	}
	return nil
}
