package compare

import (
	"math"
	"slices"
	"time"
)

// priorityFigures holds the results of one priority in one run.
type priorityFigures struct {
	// useful is the fraction of the offered queries that got a useful answer, and
	// inTarget is the fraction that got one within the latency target.
	inTarget, useful float64
	// kept is the rate of useful answers divided by the rate to which the priority
	// is entitled: the offered rate or the guaranteed share of the capacity,
	// whichever is lower.
	kept float64
	// p99 is the 99th percentile of the latency of useful answers in ms.
	p99 float64
}

// figures holds the results of one run.
type figures struct {
	priorities [3]priorityFigures
	// coverage is the mean, over the offered queries, of the fraction of shards
	// that the answer covers; a query without an answer counts as 0.
	coverage float64
	// goodput is the rate of useful answers divided by the capacity.
	goodput float64
	// extra is the number of hedges and retries, and shed is the number of calls
	// that upstreams refused, both divided by the number of first attempts.
	extra, shed float64
}

// simulate runs one variant in one scenario with one seed. It returns the figures
// of the run and the invariants that the product's code reported as broken.
func simulate(s size, v variant, sc scenario, seed uint64) (figures, []string) {
	sim := newSimulation(s, v, seed)
	if sc.fault != nil {
		sc.fault(sim)
	}
	sim.scheduleArrivals(sc)
	sim.run(runTime)
	return sim.figures(), sim.brokenInvariants
}

// figures computes the figures of a finished run. Queries that arrived before
// warmUp count only for goodput, which counts the useful answers that end between
// warmUp and arrivalTime, and for extra and shed, which count the whole run.
func (sim *simulation) figures() figures {
	var f figures
	window := (arrivalTime - warmUp).Seconds()
	countedQueries := 0
	usefulInWindow := 0
	for i := range f.priorities {
		f.priorities[i] = sim.priorityFigures(i, window)
	}
	for _, q := range sim.queries {
		if ended := q.arrivedAt.Add(q.latency).Sub(epoch); sim.isUseful(q) && ended >= warmUp && ended < arrivalTime {
			usefulInWindow++
		}
		if q.arrivedAt.Sub(epoch) < warmUp {
			continue
		}
		countedQueries++
		f.coverage += float64(q.answered) / float64(q.total)
	}
	f.coverage /= float64(max(countedQueries, 1))
	f.goodput = float64(usefulInWindow) / window / sim.size.capacity()
	firstAttempts := float64(max(sim.firstAttempts, 1))
	f.extra = float64(sim.hedges+sim.retries) / firstAttempts
	f.shed = float64(sim.shedCalls) / firstAttempts
	return f
}

// isUseful reports whether the query got an answer within its deadline that covers
// at least one shard and the least coverage of its priority.
func (sim *simulation) isUseful(q *simulatedQuery) bool {
	p := sim.doc.Priorities[q.priority]
	return q.answered >= int(math.Ceil(p.LeastCoverage*float64(q.total)-1e-9)) && q.answered > 0 && q.latency <= p.Deadline()
}

func (sim *simulation) priorityFigures(priority int, window float64) priorityFigures {
	p := sim.doc.Priorities[priority]
	offered, useful, inTarget := 0, 0, 0
	var latencies []time.Duration
	for _, q := range sim.queries {
		if q.priority != priority || q.arrivedAt.Sub(epoch) < warmUp {
			continue
		}
		offered++
		if !sim.isUseful(q) {
			continue
		}
		useful++
		latencies = append(latencies, q.latency)
		if q.latency <= p.Target() {
			inTarget++
		}
	}
	f := priorityFigures{}
	if offered == 0 {
		return f
	}
	f.inTarget = float64(inTarget) / float64(offered)
	f.useful = float64(useful) / float64(offered)
	guaranteed := math.Min(float64(offered), p.GuaranteedShare*sim.size.capacity()*window)
	f.kept = float64(useful) / guaranteed
	if len(latencies) > 0 {
		slices.Sort(latencies)
		f.p99 = float64(latencies[len(latencies)*99/100]) / float64(time.Millisecond)
	}
	return f
}
