package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// TestTrialsRunOneAtATime guards against suspects that meet on an upstream because two
// trials run at the same time, and against a suspect that crashes several upstreams because
// a trial of it follows one that is not decided yet.
func TestTrialsRunOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var trials Trials
		now := time.Unix(1000, 0)
		var running model.Fingerprint
		undecidedUntil := make(map[model.Fingerprint]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			f := model.Fingerprint(rapid.IntRange(1, 3).Draw(t, "request"))
			if running != 0 {
				must.False(t, trials.Begin(now, f))
				outcome := TrialOutcome(rapid.IntRange(0, int(TrialUnanswered)).Draw(t, "outcome"))
				trials.End(now, running, outcome)
				if outcome == TrialUnanswered {
					undecidedUntil[running] = now.Add(trialInterval)
				}
				running = 0
				continue
			}
			began := trials.Begin(now, f)
			must.Eq(t, !now.Before(undecidedUntil[f]), began)
			if began {
				running = f
			}
		}
	})
}

// TestTrialsAreBounded guards against memory that grows with the number of suspects.
func TestTrialsAreBounded(t *testing.T) {
	var trials Trials
	now := time.Unix(1000, 0)
	for f := range model.Fingerprint(3 * maxTrials) {
		if trials.Begin(now, f) {
			trials.End(now, f, TrialUnanswered)
		}
	}
	must.MapLen(t, maxTrials, trials.nextAt)
	must.True(t, trials.Begin(now.Add(trialInterval), 5*maxTrials))
}
