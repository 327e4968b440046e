package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStaleTimersAreReleased guards against timers that keep answered requests
// in memory until their deadlines.
func TestStaleTimersAreReleased(t *testing.T) {
	q := newTimerQueue()
	start := time.Unix(0, 0)
	unfinished := &request{}
	q.add(timer{at: start.Add(time.Hour), request: unfinished})
	for n := range 10_000 {
		q.add(timer{at: start.Add(time.Hour + time.Duration(n)), request: &request{done: true}})
	}
	must.LessEq(t, 2*minCompaction, q.timers.Len())
	at, ok := q.next()
	must.True(t, ok)
	must.Eq(t, start.Add(time.Hour), at)
}
