package compare

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/document"
)

const testSeed = 20261204

// usefulTolerance is the largest difference in useful work, as a fraction, by
// which the product may be behind an alternative.
const usefulTolerance = 0.03

// budgetTolerance is added to the budget of extra calls, because its initial
// burst weighs more in a short run. An alternative above the sum gets its
// answers by load that the budget forbids.
const budgetTolerance = 0.01

// simplestVariants runs the simplest alternative to each of three decisions
// under each load and fault.
var simplestVariants = decision{"simple", "simple ways", []variant{asBuilt, priorityVariants[1], replicaVariants[1], hedgeVariants[1]}, []scenario{
	{name: "60% load", load: mediumLoad},
	{name: "flood of the least urgent", load: leastUrgentFlood},
	{name: "flood of the most urgent", load: mostUrgentFlood},
	{name: "slow replica", load: lightLoad, fault: slowOneReplica},
	{name: "lost shard", load: mediumLoad, fault: loseShardHalfCoverage},
}}

// loseShardHalfCoverage loses a shard while an answer that covers half of the
// shards is useful.
func loseShardHalfCoverage(sim *simulation) {
	sim.doc.Priorities = slices.Clone(sim.doc.Priorities)
	for i := range sim.doc.Priorities {
		sim.doc.Priorities[i].LeastCoverage = 0.5
	}
	loseShard(sim)
}

// TestProductServesNoLessThanAlternatives guards against a rule of the product
// that costs more useful work than it saves. It runs every scenario at the
// smallest size of a customer. An alternative is not held against the product
// if it exceeds the budget of extra calls or serves fewer of the most urgent
// queries; the simplest alternatives must not be ahead even then.
func TestProductServesNoLessThanAlternatives(t *testing.T) {
	for _, d := range append(decisions(), simplestVariants) {
		for _, sc := range d.scenarios {
			t.Run(d.key+" "+sc.name, func(t *testing.T) {
				t.Parallel()
				checkProductNotBehind(t, d, sc)
			})
		}
	}
}

func checkProductNotBehind(t *testing.T, d decision, sc scenario) {
	s := sizes()[0]
	product, broken := simulate(s, asBuilt, sc, testSeed)
	must.SliceEmpty(t, broken)
	for _, v := range d.variants[1:] {
		f, _ := simulate(s, v, sc, testSeed)
		overBudget := f.extra > document.DefaultExtraFraction+budgetTolerance
		servesFewerUrgent := f.priorities[0].useful < product.priorities[0].useful-usefulTolerance
		if d.key != simplestVariants.key && (overBudget || servesFewerUrgent) {
			continue
		}
		must.GreaterEq(t, f.goodput-usefulTolerance, product.goodput, must.Sprint(v.name))
	}
}

// TestRareRefusalsKeepLatencyTarget guards, at every size, against a scheduler
// that takes upstreams out of use because they refuse one call in twenty.
func TestRareRefusalsKeepLatencyTarget(t *testing.T) {
	for _, s := range sizes() {
		f, _ := simulate(s, asBuilt, scenario{load: lightLoad, fault: shedAtUpstreams(0.05)}, testSeed)
		for _, p := range f.priorities {
			must.GreaterEq(t, 0.98, p.inTarget, must.Sprint(s.name))
		}
	}
}

// steadyFlood is the flood of the objectives: the least urgent priority offers
// 3 times the capacity while the others offer their steady load.
var steadyFlood = [3]float64{0.18, 0.14, 3}

// TestFloodObjectives guards, at every size, against a flood of one priority
// that takes the guaranteed shares of the others or lowers the goodput.
func TestFloodObjectives(t *testing.T) {
	for _, s := range sizes() {
		f, _ := simulate(s, asBuilt, scenario{load: mostUrgentFlood}, testSeed)
		must.GreaterEq(t, 0.9, f.goodput, must.Sprint(s.name))
		for _, p := range f.priorities[1:] {
			must.GreaterEq(t, 0.95, p.kept, must.Sprint(s.name))
		}
		f, _ = simulate(s, asBuilt, scenario{load: steadyFlood}, testSeed)
		must.GreaterEq(t, 0.99, f.priorities[0].inTarget, must.Sprint(s.name))
		must.GreaterEq(t, 0.95, f.priorities[1].kept, must.Sprint(s.name))
	}
}

// TestSameSeedGivesSameFigures guards against figures that depend on anything
// but the seed.
func TestSameSeedGivesSameFigures(t *testing.T) {
	for _, v := range schedulingVariants {
		sc := scenario{load: mediumLoad, fault: pauseHome}
		first, _ := simulate(sizes()[0], v, sc, testSeed)
		second, _ := simulate(sizes()[0], v, sc, testSeed)
		must.Eq(t, first, second, must.Sprint(v.name))
	}
}
