package compare

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/document"
)

const testSeed = 20261204

// worseBy is how much the product may be behind a rival in useful work.
const worseBy = 0.03

// budgetTolerance is what the burst of the budget adds to it in a short run. A
// rival above it pays for its answers with load that the budget forbids.
const budgetTolerance = 0.01

// simpleTiers crosses the simplest ways with load and faults.
var simpleTiers = decision{"simple", "simple ways", []way{asBuilt, priorityWays[1], replicaWays[1], hedgeWays[1]}, []scenario{
	{name: "60% load", load: mediumLoad},
	{name: "flood of the least urgent", load: lateFlood},
	{name: "flood of the most urgent", load: urgentFlood},
	{name: "slow replica", load: lightLoad, fault: slowReplica},
	{name: "lost shard", load: mediumLoad, fault: shardLostHalfNeeded},
}}

// shardLostHalfNeeded loses a shard while half of the shards make an answer
// useful.
func shardLostHalfNeeded(w *world) {
	w.doc.Priorities = slices.Clone(w.doc.Priorities)
	for i := range w.doc.Priorities {
		w.doc.Priorities[i].LeastCoverage = 0.5
	}
	shardLost(w)
}

// TestProductIsNotBehind guards against a rule that costs more useful work than
// it saves, in every scenario at the smallest size of a customer. A rival that
// serves fewer of the most urgent queries instead is no better way, except that
// the simplest ways must not be ahead at all.
func TestProductIsNotBehind(t *testing.T) {
	for _, d := range append(decisions(), simpleTiers) {
		for _, sc := range d.scenarios {
			t.Run(d.key+" "+sc.name, func(t *testing.T) {
				t.Parallel()
				checkNotBehind(t, d, sc)
			})
		}
	}
}

func checkNotBehind(t *testing.T, d decision, sc scenario) {
	s := sizes()[0]
	built, broken := run(s, asBuilt, sc, testSeed)
	must.SliceEmpty(t, broken)
	for _, v := range d.ways[1:] {
		f, _ := run(s, v, sc, testSeed)
		overBudget := f.extra > document.DefaultExtraFraction+budgetTolerance
		lessUrgent := f.priorities[0].useful < built.priorities[0].useful-worseBy
		if d.key != simpleTiers.key && (overBudget || lessUrgent) {
			continue
		}
		must.GreaterEq(t, f.goodput-worseBy, built.goodput, must.Sprint(v.name))
	}
}

// TestRareRefusals guards against upstreams that refuse one call in twenty and
// lose their place in the schedule for it, at every size.
func TestRareRefusals(t *testing.T) {
	for _, s := range sizes() {
		f, _ := run(s, asBuilt, scenario{load: lightLoad, fault: shedding(0.05)}, testSeed)
		for _, p := range f.priorities {
			must.GreaterEq(t, 0.98, p.inTarget, must.Sprint(s.name))
		}
	}
}

// steadyFlood is the flood of the objectives: 3 times capacity of the least
// urgent work over the steady load of the others.
var steadyFlood = [3]float64{0.18, 0.14, 3}

// TestFloodObjectives guards against a flood that takes the other priorities'
// shares or the goodput, at every size.
func TestFloodObjectives(t *testing.T) {
	for _, s := range sizes() {
		f, _ := run(s, asBuilt, scenario{load: urgentFlood}, testSeed)
		must.GreaterEq(t, 0.9, f.goodput, must.Sprint(s.name))
		for _, p := range f.priorities[1:] {
			must.GreaterEq(t, 0.95, p.kept, must.Sprint(s.name))
		}
		f, _ = run(s, asBuilt, scenario{load: steadyFlood}, testSeed)
		must.GreaterEq(t, 0.99, f.priorities[0].inTarget, must.Sprint(s.name))
		must.GreaterEq(t, 0.95, f.priorities[1].kept, must.Sprint(s.name))
	}
}

// TestRunsRepeat guards against figures that depend on anything but the seed.
func TestRunsRepeat(t *testing.T) {
	for _, v := range schedulingWays {
		sc := scenario{load: mediumLoad, fault: homePaused}
		first, _ := run(sizes()[0], v, sc, testSeed)
		second, _ := run(sizes()[0], v, sc, testSeed)
		must.Eq(t, first, second, must.Sprint(v.name))
	}
}
