package scheduler

import (
	"testing"
	"time"
)

// scenario prepares a world and offers load to it.
type scenario struct {
	name string
	load []float64
	prep func(w *world)
}

var scenarios = []scenario{
	{"60% load", []float64{0.2, 0.2, 0.2}, nil},
	{"flood of p2", []float64{0.3, 0.3, 3}, nil},
	{"flood of p0", []float64{3, 0.3, 0.2}, nil},
	{"slow replica", []float64{0.15, 0.15, 0.1}, func(w *world) { w.upstreams["u0"].slow = 20 }},
	{"lost shards", []float64{0.2, 0.2, 0.2}, func(w *world) {
		w.upstreams["u0"].down, w.upstreams["u1"].down = true, true
		for i := range w.doc.Priorities {
			w.doc.Priorities[i].LeastCoverage = 0.5
		}
	}},
}

// TestPolicyComparison prints the scheduler next to simple baselines in the same
// model. It guards against a rule that costs more useful work than it saves.
func TestPolicyComparison(t *testing.T) {
	t.Logf("seed %d, %d shards per query, 6 s; useful and in target in %% of offered", seed, testShards)
	t.Logf("%-13s %-12s %21s %21s %23s %8s %6s", "scenario", "policy", "useful p0/p1/p2", "in target p0/p1/p2", "p99 ms p0/p1/p2", "goodput", "extra")
	for _, sc := range scenarios {
		ours := comparePolicy(t, sc, "scheduler")
		for _, name := range []string{"no hedge", "fifo", "round robin"} {
			if baseline := comparePolicy(t, sc, name); baseline > ours+0.03 {
				t.Errorf("%s: %s has %.3f useful work, the scheduler %.3f", sc.name, name, baseline, ours)
			}
		}
	}
}

// comparePolicy runs a scenario and returns the useful queries as a fraction
// of the capacity.
func comparePolicy(t *testing.T, sc scenario, name string) float64 {
	doc := testDocument(3, testShards)
	if name == "no hedge" {
		none := 0.0
		doc.Budgets.HedgeFraction = &none
	}
	w := newWorld(seed, doc)
	switch name {
	case "fifo", "round robin":
		w.policy = newBaseline(w.config(seed), name == "round robin")
	default:
		w.useScheduler(seed)
	}
	if sc.prep != nil {
		sc.prep(w)
	}
	const length = 6 * time.Second
	flood(w, length, sc.load...)
	w.run(5 * time.Second)
	var sum float64
	var ta [3]tally
	for i := range ta {
		ta[i] = w.tally(i, epoch)
		sum += float64(ta[i].useful)
	}
	goodput := sum / (w.capacity() * length.Seconds())
	percent := func(a, b int) float64 { return 100 * float64(a) / float64(max(b, 1)) }
	first := w.starts - w.hedges - w.retries
	t.Logf("%-13s %-12s  %6.1f %6.1f %6.1f  %6.1f %6.1f %6.1f  %7d %7d %7d %7.1f%% %5.1f%%", sc.name, name,
		percent(ta[0].useful, ta[0].offered), percent(ta[1].useful, ta[1].offered), percent(ta[2].useful, ta[2].offered),
		percent(ta[0].inTarget, ta[0].offered), percent(ta[1].inTarget, ta[1].offered), percent(ta[2].inTarget, ta[2].offered),
		ta[0].p99.Milliseconds(), ta[1].p99.Milliseconds(), ta[2].p99.Milliseconds(),
		100*goodput, percent(w.hedges+w.retries, first))
	return goodput
}
