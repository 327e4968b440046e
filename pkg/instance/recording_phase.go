package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/phase"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// phaseMachine holds the phase of the instance: a phase.Machine, or a replay.Phase,
// which also writes its calls to a trace.
type phaseMachine interface {
	Observe(now time.Time) (time.Duration, bool)
	TryServe(now time.Time, c phase.Conditions) bool
	Leave(now time.Time)
	Drained(now time.Time, w phase.Work) bool
	Stop(now time.Time) bool
	Phase() phase.Phase
	RefusalCode() result.Code
}

func newPhaseMachine(cfg Config, now time.Time) phaseMachine {
	if cfg.Trace == nil {
		return phase.New(now)
	}
	return cfg.Trace.NewPhase(now)
}
