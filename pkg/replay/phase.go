package replay

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/phase"
)

// observeInterval is the least time between two recorded observations without
// a pause. It must stay below phase.PauseThreshold.
const observeInterval = phase.PauseThreshold / 2

// observeResult is the result of phase.Machine.Observe that decides anything.
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
	object
	// recorded is the last recorded observation, and skipped the last one since
	// that was left out.
	recorded time.Time
	skipped  time.Time
}

// NewPhase returns a recorded phase machine.
func (t *Trace) NewPhase(now time.Time) *Phase {
	now = wall(now)
	p := &Phase{Machine: phase.New(now), object: t.object(componentPhase, ""), recorded: now}
	p.record("open", now, nil, nil)
	return p
}

// Observe records phase.Machine.Observe. Observations without a pause are
// thinned out, but the last one before a gap is kept, so that the replay finds
// the same pauses.
func (p *Phase) Observe(now time.Time) (time.Duration, bool) {
	now = wall(now)
	before := observeResult{Phase: p.Phase().String()}
	gap, paused := p.Machine.Observe(now)
	if gap <= 0 {
		return gap, paused
	}
	if !paused && now.Sub(p.recorded) < observeInterval {
		p.skipped = now
		return gap, paused
	}
	if p.skipped.After(p.recorded) {
		p.record("observe", p.skipped, nil, before)
	}
	p.recorded = now
	p.record("observe", now, nil, observeResult{Paused: paused, Phase: p.Phase().String()})
	return gap, paused
}

// TryServe records phase.Machine.TryServe in the phases in which it decides.
func (p *Phase) TryServe(now time.Time, c phase.Conditions) bool {
	now = wall(now)
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
	now = wall(now)
	p.Machine.Leave(now)
	p.record("leave", now, nil, p.result(true))
}

// Drained records phase.Machine.Drained.
func (p *Phase) Drained(now time.Time, w phase.Work) bool {
	now = wall(now)
	done := p.Machine.Drained(now, w)
	p.record("drained", now, w, p.result(done))
	return done
}

// Stop records phase.Machine.Stop.
func (p *Phase) Stop(now time.Time) bool {
	now = wall(now)
	done := p.Machine.Stop(now)
	p.record("stop", now, nil, p.result(done))
	return done
}

func (p *player) playPhase(l line) (any, error) {
	if l.Call == "open" {
		p.phases[l.object()] = phase.New(l.Time)
		return nil, nil
	}
	m, err := opened(p.phases, l)
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
