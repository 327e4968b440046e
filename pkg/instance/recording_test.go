package instance

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/replay"
)

// recordedPlans are fault plans. Together, their runs contain decisions to which each
// of the promises applies that TestRecordedRunsReplay lists.
var recordedPlans = []struct {
	seed int
	plan []plannedFault
}{
	{1, randomPlan([]string{"messages", "index", "repartition"}, 1)},
	{6, randomPlan([]string{"restart", "flood", "upstream_slow"}, 6)},
	{3, []plannedFault{
		{kind: "leaving", at: time.Second, target: 1, duration: 6 * time.Second},
		{kind: "pause", at: 3 * time.Second, target: 2, duration: 3 * time.Second},
		{kind: "race", at: 5 * time.Second, duration: time.Second},
		{kind: "rollback", at: 7 * time.Second, duration: time.Second},
		{kind: "restart", at: 9 * time.Second, duration: time.Second},
	}},
}

// TestRecordedRunsReplay records simulated runs and replays their traces. It guards
// against decisions that are missing in the trace or depend on an input that is not
// recorded; the replay then differs. It also guards against decisions that break one
// of the promises of package replay under random faults. Such a decision may cause no
// wrong answer to a caller and no wrong call to an upstream, and the other checks of
// the simulation then miss it.
func TestRecordedRunsReplay(t *testing.T) {
	checked := make(map[string]int)
	for _, r := range recordedPlans {
		var d *driver
		synctest.Test(t, func(*testing.T) {
			d = newDriver(r.seed)
			d.recordTraces = true
			d.run(r.plan)
		})
		must.SliceNotEmpty(t, d.traces)
		for _, trace := range d.traces {
			report, err := replay.Play(trace)
			must.NoError(t, err)
			must.SliceEmpty(t, report.Differences)
			for promise, v := range report.Promises {
				must.Zero(t, v.Broken, must.Sprintf("seed %d: %s: %v", r.seed, promise, v.Examples))
				checked[promise] += v.Checked
			}
		}
		must.SliceEmpty(t, d.violations)
	}
	t.Log(checked)
	must.SliceContainsSubset(t, slices.Collect(maps.Keys(checked)), []string{
		replay.PromiseSnapshot, replay.PromiseCoverage, replay.PromiseOwnAnswer, replay.PromiseNotRun,
		replay.PromiseLeavingUpstream, replay.PromiseGracefulStop, replay.PromiseRevisionGrows, replay.PromiseResumedProcess,
	})
}
