package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

// timer is an instant at which something is due: the deadline of a request,
// the hedge delay of an attempt, or, with both nil, only a dispatch.
type timer struct {
	at      time.Time
	request *request
	attempt *attempt
}

// stale reports whether the timer's object no longer needs it.
func (t timer) stale() bool {
	switch {
	case t.request != nil:
		return t.request.done
	case t.attempt != nil:
		return t.attempt.detached || t.attempt.hedgeDue
	default:
		return false
	}
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = timer{}
	*h = old[:last]
	return t
}

// minCompaction is the least number of timers at which stale ones are removed.
const minCompaction = 64

// timerQueue orders timers by time. Stale ones are dropped when they surface,
// and all at once when the queue has doubled: otherwise answered requests would
// stay in memory until their deadlines, 38 MB in a busy group at the target
// size.
type timerQueue struct {
	timers    timerHeap
	compactAt int
}

func (q *timerQueue) add(t timer) {
	if len(q.timers) >= max(q.compactAt, minCompaction) {
		q.compact()
	}
	heap.Push(&q.timers, t)
}

func (q *timerQueue) compact() {
	q.timers = slices.DeleteFunc(q.timers, timer.stale)
	heap.Init(&q.timers)
	q.compactAt = 2 * len(q.timers)
}

// next returns the earliest time of a timer that is not stale.
func (q *timerQueue) next() (time.Time, bool) {
	for len(q.timers) > 0 && q.timers[0].stale() {
		heap.Pop(&q.timers)
	}
	if len(q.timers) == 0 {
		return time.Time{}, false
	}
	return q.timers[0].at, true
}

// due removes and returns the earliest timer at or before now.
func (q *timerQueue) due(now time.Time) (timer, bool) {
	at, ok := q.next()
	if !ok || at.After(now) {
		return timer{}, false
	}
	return heap.Pop(&q.timers).(timer), true
}
