package balancer

import (
	"slices"
	"time"
)

const (
	// sampleCount is the number of latencies that the median is taken from.
	sampleCount = 128
	// refreshEvery is the number of new samples after which it is taken anew.
	refreshEvery = 16
	// initialUsual is assumed before there are samples. The first attempts open
	// connections, which hedges would only double.
	initialUsual = 25 * time.Millisecond
)

// Latency keeps the usual latency of one kind of request.
type Latency struct {
	samples []time.Duration
	next    int
	fresh   int
	usual   time.Duration
}

// NewLatency returns an estimate with the initial value.
func NewLatency() *Latency { return &Latency{usual: initialUsual} }

// Add records the latency of an attempt.
func (l *Latency) Add(d time.Duration) {
	if len(l.samples) < sampleCount {
		l.samples = append(l.samples, d)
	} else {
		l.samples[l.next] = d
		l.next = (l.next + 1) % sampleCount
	}
	if l.fresh++; l.fresh < refreshEvery {
		return
	}
	l.fresh = 0
	sorted := slices.Clone(l.samples)
	slices.Sort(sorted)
	l.usual = sorted[len(sorted)/2]
}

// Median returns the median.
func (l *Latency) Median() time.Duration { return l.usual }
