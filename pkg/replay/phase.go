package replay

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/phase"
)

// observeInterval is the shortest time between two recorded observations if there
// was no pause. It must stay below phase.PauseThreshold, or the replay would see
// pauses between recorded observations.
const observeInterval = phase.PauseThreshold / 2

// observeResult is the part of the result of phase.Machine.Observe on which
// decisions depend.
type observeResult struct {
	Paused bool   `json:"paused"`
	Phase  string `json:"phase"`
}

// phaseResult is the result of a call that may change the phase.
type phaseResult struct {
	Done  bool   `json:"done"`
	Phase string `json:"phase"`
}

// Phase is a phase machine whose calls are recorded.
type Phase struct {
	*phase.Machine
	recorder
	// lastRecorded is the time of the last observation that was recorded, and
	// lastSkipped the time of the last one that was left out.
	lastRecorded time.Time
	lastSkipped  time.Time
}

// NewPhase returns a phase machine whose calls are recorded.
func (t *Trace) NewPhase(now time.Time) *Phase {
	now = withoutMonotonic(now)
	p := &Phase{Machine: phase.New(now), recorder: t.newRecorder(componentPhase, ""), lastRecorded: now}
	p.record("open", now, nil, nil)
	return p
}

// Observe records phase.Machine.Observe. It leaves out most observations without
// a pause, but keeps the last one before each recorded one, so that the replay
// finds the same pauses.
func (p *Phase) Observe(now time.Time) (time.Duration, bool) {
	now = withoutMonotonic(now)
	before := observeResult{Phase: p.Phase().String()}
	gap, paused := p.Machine.Observe(now)
	if gap <= 0 {
		return gap, paused
	}
	if !paused && now.Sub(p.lastRecorded) < observeInterval {
		p.lastSkipped = now
		return gap, paused
	}
	if p.lastSkipped.After(p.lastRecorded) {
		p.record("observe", p.lastSkipped, nil, before)
	}
	p.lastRecorded = now
	p.record("observe", now, nil, observeResult{Paused: paused, Phase: p.Phase().String()})
	return gap, paused
}

// TryServe records phase.Machine.TryServe in the phases that it can change: starting
// and resumed.
func (p *Phase) TryServe(now time.Time, c phase.Conditions) bool {
	now = withoutMonotonic(now)
	before := p.Phase()
	done := p.Machine.TryServe(now, c)
	if before == phase.Starting || before == phase.Resumed {
		p.record("confirm", now, c, p.result(done))
	}
	return done
}

func (p *Phase) result(done bool) phaseResult {
	return phaseResult{Done: done, Phase: p.Phase().String()}
}

// Leave records phase.Machine.Leave.
func (p *Phase) Leave(now time.Time) {
	now = withoutMonotonic(now)
	p.Machine.Leave(now)
	p.record("leave", now, nil, p.result(true))
}

// Drained records phase.Machine.Drained.
func (p *Phase) Drained(now time.Time, w phase.Work) bool {
	now = withoutMonotonic(now)
	done := p.Machine.Drained(now, w)
	p.record("drained", now, w, p.result(done))
	return done
}

// Stop records phase.Machine.Stop.
func (p *Phase) Stop(now time.Time) bool {
	now = withoutMonotonic(now)
	done := p.Machine.Stop(now)
	p.record("stop", now, nil, p.result(done))
	return done
}

func (p *player) playPhase(l line) (any, error) {
	if l.Call == "open" {
		p.phaseMachines[l.objectKey()] = phase.New(l.Time)
		return nil, nil
	}
	m, err := openObject(p.phaseMachines, l)
	if err != nil {
		return nil, err
	}
	done := true
	switch l.Call {
	case "observe":
		_, paused := m.Observe(l.Time)
		return observeResult{Paused: paused, Phase: m.Phase().String()}, nil
	case "confirm":
		c, err := decode[phase.Conditions](l.Args)
		if err != nil {
			return nil, err
		}
		done = m.TryServe(l.Time, c)
	case "leave":
		m.Leave(l.Time)
	case "drained":
		w, err := decode[phase.Work](l.Args)
		if err != nil {
			return nil, err
		}
		done = m.Drained(l.Time, w)
	case "stop":
		done = m.Stop(l.Time)
	default:
		return nil, unknownCall(l)
	}
	return phaseResult{Done: done, Phase: m.Phase().String()}, nil
}
