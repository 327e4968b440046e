package scheduler

import (
	"slices"
	"time"
)

const (
	// initialLatency is the assumed latency of an operation without samples.
	initialLatency = 5 * time.Millisecond
	// latencySamples is the number of latencies kept per operation.
	latencySamples = 256
	// refreshEvery is the number of samples between quantile computations.
	refreshEvery = 16
	// minHedgeDelay is the shortest hedge delay.
	minHedgeDelay = time.Millisecond
	// initialHedgeFactor times the initial latency is the hedge delay of an
	// operation with too few samples for a quantile.
	initialHedgeFactor = 4
	// quantileSamples is the number of samples needed for the p95.
	quantileSamples = 20
	// costWeight is the weight of a new sample in the mean slot time.
	costWeight = 0.05
)

// operation estimates the latency of one operation over all upstreams.
type operation struct {
	name   string
	ring   []time.Duration
	next   int
	fresh  int
	median time.Duration
	p95    time.Duration
	// cost is the mean slot time of an attempt, in seconds.
	cost float64
}

func newOperation(name string) *operation {
	return &operation{
		name:   name,
		median: initialLatency,
		p95:    initialHedgeFactor * initialLatency,
		cost:   initialLatency.Seconds(),
	}
}

// observe records the latency of a successful attempt.
func (o *operation) observe(d time.Duration) {
	o.observeCost(d)
	if len(o.ring) < latencySamples {
		o.ring = append(o.ring, d)
	} else {
		o.ring[o.next] = d
		o.next = (o.next + 1) % latencySamples
	}
	o.fresh++
	if o.fresh >= refreshEvery || len(o.ring) <= quantileSamples {
		o.refresh()
	}
}

// observeCost records the slot time of any attempt that occupied an upstream.
func (o *operation) observeCost(d time.Duration) {
	if len(o.ring) == 0 {
		o.cost = d.Seconds()
		return
	}
	o.cost += costWeight * (d.Seconds() - o.cost)
}

func (o *operation) refresh() {
	o.fresh = 0
	sorted := slices.Clone(o.ring)
	slices.Sort(sorted)
	o.median = max(sorted[len(sorted)/2], time.Microsecond)
	if len(sorted) >= quantileSamples {
		o.p95 = sorted[len(sorted)*95/100]
		return
	}
	o.p95 = initialHedgeFactor * o.median
}

// hedgeDelay returns how long an attempt runs before it may be hedged.
func (o *operation) hedgeDelay() time.Duration { return max(o.p95, minHedgeDelay) }
