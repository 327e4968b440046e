// Package phase tracks whether an instance is starting, serving, resumed from a
// pause or leaving, and when a leaving instance may end. The package does no
// input or output: each call takes the time and the state of other components as
// arguments. A Machine is not safe for concurrent use.
package phase

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/result"
)

// PauseThreshold is the time between two observations above which the process
// counts as paused, since other instances may have taken over its roles
// meanwhile. Without a pause, the control timer alone causes an observation
// every 200 ms.
const PauseThreshold = time.Second

// Phase is the state of an instance that decides which work it accepts from
// callers and peers.
type Phase int

// Phases. Leaving is final.
const (
	Starting Phase = iota
	Serving
	Resumed
	Leaving
)

// String returns the phase's name.
func (p Phase) String() string {
	names := [...]string{"starting", "serving", "resumed", "leaving"}
	if p < 0 || int(p) >= len(names) {
		return "undefined"
	}
	return names[p]
}

// Conditions are the conditions that a starting or resumed instance must meet
// to serve.
type Conditions struct {
	// Members is true once the bootstrap of the member list is complete.
	Members bool
	// Candidate is true if this instance may be a home. After a pause, it stays
	// false until a member has answered.
	Candidate bool
	// Documents is true once this instance has the documents of all peers.
	Documents bool
}

// Work describes the work that a leaving instance still has to finish.
type Work struct {
	// Requests is the number of callers' requests in progress.
	Requests int
	// Groups is true while any scheduling group has requests or attempts in
	// progress.
	Groups bool
	// Orders is true while any order ticket can still be used.
	Orders bool
}

// Machine is the state machine that holds the phase of one instance.
type Machine struct {
	phase          Phase
	lastObservedAt time.Time
	drained        bool
}

// New returns the Machine of an instance that starts at the given time.
func New(now time.Time) *Machine { return &Machine{lastObservedAt: now} }

// Observe records the current time and must be called before the instance acts
// on any event. It returns the time since the last observation, and whether the
// process was paused. A starting instance does not count as paused.
func (m *Machine) Observe(now time.Time) (time.Duration, bool) {
	gap := now.Sub(m.lastObservedAt)
	if gap > 0 {
		m.lastObservedAt = now
	}
	if gap <= PauseThreshold || m.phase == Starting {
		return gap, false
	}
	if m.phase == Serving {
		m.phase = Resumed
	}
	return gap, true
}

// TryServe moves a starting or resumed instance to serving if it meets all
// conditions. It reports whether the phase changed.
func (m *Machine) TryServe(_ time.Time, c Conditions) bool {
	if m.phase != Starting && m.phase != Resumed {
		return false
	}
	if !c.Members || !c.Candidate || !c.Documents {
		return false
	}
	m.phase = Serving
	return true
}

// Leave starts a graceful shutdown.
func (m *Machine) Leave(_ time.Time) { m.phase = Leaving }

// Drained records and reports whether the instance has no work left.
func (m *Machine) Drained(_ time.Time, w Work) bool {
	m.drained = w.Requests == 0 && !w.Groups && !w.Orders
	return m.drained
}

// Stop is called when the instance ends. It reports whether the shutdown is
// graceful: the instance has announced its leave, and the last call of Drained
// found no work left.
func (m *Machine) Stop(_ time.Time) bool { return m.phase == Leaving && m.drained }

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// RefusalCode returns the result code with which new work must be refused, or
// result.OK if it must be accepted.
func (m *Machine) RefusalCode() result.Code {
	switch m.phase {
	case Serving:
		return result.OK
	case Leaving:
		return result.Leaving
	case Resumed:
		return result.JustResumed
	default:
		return result.NotReady
	}
}
