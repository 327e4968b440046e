package balancer

import (
	"slices"
	"time"
)

const (
	// sampleCount is the number of latest latencies that the median is taken from.
	sampleCount = 128
	// refreshInterval is the number of new samples after which the median is
	// computed again.
	refreshInterval = 16
	// initialMedian is the estimate before refreshInterval samples. It is long
	// because the first attempts open connections, and hedging them would only
	// open twice as many.
	initialMedian = 25 * time.Millisecond
)

// Latency estimates the typical latency of one kind of request: the median of its
// latest attempts.
type Latency struct {
	// samples holds the latest latencies. Once it has sampleCount of them, it is
	// a ring buffer, and next is the index of the oldest.
	samples []time.Duration
	next    int
	// sinceRefresh counts the samples since the median was computed.
	sinceRefresh int
	median       time.Duration
}

// NewLatency returns an estimate of initialMedian without samples.
func NewLatency() *Latency { return &Latency{median: initialMedian} }

// Add records the latency of an attempt.
func (l *Latency) Add(d time.Duration) {
	if len(l.samples) < sampleCount {
		l.samples = append(l.samples, d)
	} else {
		l.samples[l.next] = d
		l.next = (l.next + 1) % sampleCount
	}
	if l.sinceRefresh++; l.sinceRefresh < refreshInterval {
		return
	}
	l.sinceRefresh = 0
	sorted := slices.Clone(l.samples)
	slices.Sort(sorted)
	l.median = sorted[len(sorted)/2]
}

// Median returns the median of the latest samples.
func (l *Latency) Median() time.Duration { return l.median }
