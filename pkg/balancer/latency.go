package balancer

import (
	"slices"
	"time"
)

const (
	// sampleCount is the number of latencies that quantiles are taken from.
	sampleCount = 128
	// refreshEvery is the number of new samples after which they are taken anew.
	refreshEvery = 16
	// initialUsual and initialSlow are assumed before there are samples.
	initialUsual = 10 * time.Millisecond
	initialSlow  = 30 * time.Millisecond
	slowQuantile = 0.94
)

// Latency keeps the usual and the slow latency of one kind of request.
type Latency struct {
	samples []time.Duration
	next    int
	fresh   int
	usual   time.Duration
	slow    time.Duration
}

// NewLatency returns an estimate with initial values.
func NewLatency() *Latency { return &Latency{usual: initialUsual, slow: initialSlow} }

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
	l.slow = sorted[int(slowQuantile*float64(len(sorted)-1))]
}

// Usual returns the median.
func (l *Latency) Usual() time.Duration { return l.usual }

// Slow returns the latency that few attempts exceed.
func (l *Latency) Slow() time.Duration { return l.slow }
