package compare

import (
	"math"
	"slices"
	"time"
)

// priorityFigures are the figures of one priority in one run.
type priorityFigures struct {
	// inTarget and useful are fractions of the offered queries.
	inTarget, useful float64
	// kept is the rate of useful answers relative to the smaller of the offered
	// rate and the guaranteed share of the capacity.
	kept float64
	p99  float64
}

// figures are the figures of one run.
type figures struct {
	priorities [3]priorityFigures
	// coverage is the mean fraction of shards in all offered queries' answers.
	coverage float64
	// goodput is the rate of useful answers relative to the capacity.
	goodput float64
	// extra are hedges and retries, shed calls that upstreams refused, both
	// relative to first attempts.
	extra, shed float64
}

// run measures one way in one scenario.
func run(s size, v way, sc scenario, seed uint64) (figures, []string) {
	w := newWorld(s, v, seed)
	if sc.fault != nil {
		sc.fault(w)
	}
	w.offer(sc)
	w.run(runTime)
	return w.figures(), w.broken
}

func (w *world) figures() figures {
	var f figures
	window := (arrivalTime - warmUp).Seconds()
	counted := 0
	inWindow := 0
	for i := range f.priorities {
		f.priorities[i] = w.priorityFigures(i, window)
	}
	for _, q := range w.queries {
		if ended := q.at.Add(q.latency).Sub(epoch); w.isUseful(q) && ended >= warmUp && ended < arrivalTime {
			inWindow++
		}
		if q.at.Sub(epoch) < warmUp {
			continue
		}
		counted++
		f.coverage += float64(q.answered) / float64(q.total)
	}
	f.coverage /= float64(max(counted, 1))
	f.goodput = float64(inWindow) / window / w.size.capacity()
	firsts := float64(max(w.firsts, 1))
	f.extra = float64(w.hedges+w.retries) / firsts
	f.shed = float64(w.shed) / firsts
	return f
}

func (w *world) isUseful(q *queryRun) bool {
	p := w.doc.Priorities[q.priority]
	return q.answered >= int(math.Ceil(p.LeastCoverage*float64(q.total)-1e-9)) && q.answered > 0 && q.latency <= p.Deadline()
}

func (w *world) priorityFigures(priority int, window float64) priorityFigures {
	p := w.doc.Priorities[priority]
	offered, useful, inTarget := 0, 0, 0
	var latencies []time.Duration
	for _, q := range w.queries {
		if q.priority != priority || q.at.Sub(epoch) < warmUp {
			continue
		}
		offered++
		if !w.isUseful(q) {
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
	guaranteed := math.Min(float64(offered), p.GuaranteedShare*w.size.capacity()*window)
	f.kept = float64(useful) / guaranteed
	if len(latencies) > 0 {
		slices.Sort(latencies)
		f.p99 = float64(latencies[len(latencies)*99/100]) / float64(time.Millisecond)
	}
	return f
}
