// Package phase decides whether an instance is starting, serving, resumed from a
// pause or leaving, and when a leaving instance may end. It is pure: the driver
// passes the time and its findings in. A Machine is not safe for concurrent use.
package phase

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/result"
)

// PauseThreshold is the gap between two observations from which the process
// counts as paused: others may have taken over its roles since. The control
// timer alone makes an observation every 200 ms.
const PauseThreshold = time.Second

// Phase is an instance's state towards callers and peers.
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

// Conditions are what a starting or resumed instance needs in order to serve.
type Conditions struct {
	// Members is true once the member list is confirmed.
	Members bool
	// Candidate is true if this instance may be a home. After a pause that
	// takes an answer of a member.
	Candidate bool
	// Documents is true once the documents of all peers are known here.
	Documents bool
}

// Work is what a leaving instance has left to do.
type Work struct {
	// Requests counts callers' requests in progress.
	Requests int
	// Groups is true while a group has requests or attempts in progress.
	Groups bool
	// Orders is true while an order ticket can still be used.
	Orders bool
}

// Machine is the phase of one instance.
type Machine struct {
	phase   Phase
	lastRun time.Time
	drained bool
}

// New returns the machine of an instance that starts now.
func New(now time.Time) *Machine { return &Machine{lastRun: now} }

// Observe must be called before the instance acts on anything. It returns the
// time since the last observation, and whether the process was paused.
func (m *Machine) Observe(now time.Time) (time.Duration, bool) {
	gap := now.Sub(m.lastRun)
	if gap > 0 {
		m.lastRun = now
	}
	if gap <= PauseThreshold || m.phase == Starting {
		return gap, false
	}
	if m.phase == Serving {
		m.phase = Resumed
	}
	return gap, true
}

// TryServe moves a starting or resumed instance to serving if the conditions
// hold. It reports whether the phase changed.
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

// Leave starts the graceful stop.
func (m *Machine) Leave(_ time.Time) { m.phase = Leaving }

// Drained reports whether nothing is left to do.
func (m *Machine) Drained(_ time.Time, w Work) bool {
	m.drained = w.Requests == 0 && !w.Groups && !w.Orders
	return m.drained
}

// Stop ends the instance. It reports whether the stop was graceful: announced,
// and with nothing left to do.
func (m *Machine) Stop(_ time.Time) bool { return m.phase == Leaving && m.drained }

// Phase returns the present phase.
func (m *Machine) Phase() Phase { return m.phase }

// RefusalCode returns the code with which new work must be refused, or result.OK.
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
