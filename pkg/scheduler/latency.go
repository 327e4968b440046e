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
	// samplesPerRefresh is the number of new samples after which the quantiles
	// are computed again. Up to minQuantileSamples samples they are computed
	// after each one.
	samplesPerRefresh = 16
	// minHedgeDelay is the shortest hedge delay.
	minHedgeDelay = time.Millisecond
	// initialHedgeFactor multiplies the median latency, or the initial latency
	// if there are no samples, to give the hedge delay of an operation with too
	// few samples for a 95th percentile.
	initialHedgeFactor = 4
	// minQuantileSamples is the number of samples needed for a 95th percentile.
	minQuantileSamples = 20
	// slotTimeWeight is the weight of a new sample in the moving average of the
	// slot time.
	slotTimeWeight = 0.05
)

// operationStats holds the latency statistics of one operation over all
// upstreams.
type operationStats struct {
	name string
	// latencies is a ring buffer, and next the index of its oldest entry once it
	// is full.
	latencies []time.Duration
	next      int
	// sinceRefresh is the number of samples since the quantiles were computed.
	sinceRefresh int
	median       time.Duration
	p95          time.Duration
	// meanSlotTime is the moving average of the slot time of an attempt, in
	// seconds.
	meanSlotTime float64
}

func newOperationStats(name string) *operationStats {
	return &operationStats{
		name:         name,
		median:       initialLatency,
		p95:          initialHedgeFactor * initialLatency,
		meanSlotTime: initialLatency.Seconds(),
	}
}

// recordLatency records the latency of a successful attempt.
func (o *operationStats) recordLatency(d time.Duration) {
	o.recordSlotTime(d)
	if len(o.latencies) < latencySamples {
		o.latencies = append(o.latencies, d)
	} else {
		o.latencies[o.next] = d
		o.next = (o.next + 1) % latencySamples
	}
	o.sinceRefresh++
	if o.sinceRefresh >= samplesPerRefresh || len(o.latencies) <= minQuantileSamples {
		o.refreshQuantiles()
	}
}

// recordSlotTime updates the mean slot time of the operation.
func (o *operationStats) recordSlotTime(d time.Duration) {
	if len(o.latencies) == 0 {
		o.meanSlotTime = d.Seconds()
		return
	}
	o.meanSlotTime += slotTimeWeight * (d.Seconds() - o.meanSlotTime)
}

func (o *operationStats) refreshQuantiles() {
	o.sinceRefresh = 0
	sorted := slices.Clone(o.latencies)
	slices.Sort(sorted)
	o.median = max(sorted[len(sorted)/2], time.Microsecond)
	if len(sorted) >= minQuantileSamples {
		o.p95 = sorted[len(sorted)*95/100]
		return
	}
	o.p95 = initialHedgeFactor * o.median
}

// hedgeDelay returns the time for which an attempt runs before it may be
// hedged.
func (o *operationStats) hedgeDelay() time.Duration { return max(o.p95, minHedgeDelay) }
