package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	testShards = 12
	// capacity is the number of queries per second that the test document's
	// upstreams can serve: 9 slots, 12 shards, 6 ms per shard with network.
	capacity = 9 / (testShards * 0.006)
	seed     = 20261204
)

func (w *world) finish(t *testing.T) {
	t.Helper()
	w.run(5 * time.Second)
	for _, s := range w.all {
		if !s.done {
			w.fault("request without an answer")
		}
	}
	for _, f := range w.faults {
		t.Error(f)
	}
}

// flood offers each priority the given multiple of the capacity.
func flood(w *world, d time.Duration, load ...float64) {
	for prio, l := range load {
		if l > 0 {
			w.arrivals(prio, testShards, l*capacity, w.now.Add(d))
		}
	}
	w.run(d)
}

func report(t *testing.T, w *world, from time.Time) {
	for i := range w.doc.Priorities {
		t.Logf("p%d %+v", i, w.tally(i, from))
	}
	t.Logf("starts %d hedges %d retries %d counts %v slot time %v", w.starts, w.hedges, w.retries, w.counts, w.slotTime)
}

// TestFloodFromLeastUrgent guards against a flood of archive work that makes
// urgent work late.
func TestFloodFromLeastUrgent(t *testing.T) {
	w := newWorld(seed, testDocument(3, testShards))
	w.useScheduler(seed)
	flood(w, 20*time.Second, 0.3, 0.3, 3)
	w.finish(t)
	report(t, w, epoch)
	p0, p1 := w.tally(0, epoch), w.tally(1, epoch)
	must.GreaterEq(t, 0.99*float64(p0.offered), float64(p0.inTarget))
	must.GreaterEq(t, 0.95*float64(p1.offered), float64(p1.useful))
}

// TestFloodFromMostUrgent guards against a flood of urgent work that starves
// the other priorities.
func TestFloodFromMostUrgent(t *testing.T) {
	w := newWorld(seed, testDocument(3, testShards))
	w.useScheduler(seed)
	flood(w, 20*time.Second, 3, 0.3, 0.2)
	w.finish(t)
	report(t, w, epoch)
}
