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

// recordedPlans are runs that together make decisions about every promise.
var recordedPlans = []struct {
	seed int
	plan []step
}{
	{1, planOf([]string{"messages", "index", "repartition"}, 1)},
	{6, planOf([]string{"restart", "flood", "upstream_slow"}, 6)},
	{3, []step{
		{kind: "leaving", at: time.Second, a: 1, dur: 6 * time.Second},
		{kind: "pause", at: 3 * time.Second, a: 2, dur: 3 * time.Second},
		{kind: "race", at: 5 * time.Second, dur: time.Second},
		{kind: "rollback", at: 7 * time.Second, dur: time.Second},
		{kind: "restart", at: 9 * time.Second, dur: time.Second},
	}},
}

// Guards against a decision that a recorder misses or that depends on anything
// but its recorded input, and against a promise that breaks under random faults
// without a sign outside of the process.
func TestRecordedRunsReplay(t *testing.T) {
	checked := make(map[string]int)
	for _, r := range recordedPlans {
		var d *driver
		synctest.Test(t, func(*testing.T) {
			d = newDriver(r.seed)
			d.record = true
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
