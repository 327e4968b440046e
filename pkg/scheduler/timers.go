package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/internal/minheap"
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

// minCompaction is the least number of timers at which stale ones are removed.
const minCompaction = 64

// timerQueue orders timers by time. Stale ones are dropped when they surface,
// and all at once when the queue has doubled: otherwise answered requests would
// stay in memory until their deadlines, 38 MB in a busy group at the target
// size.
type timerQueue struct {
	timers    minheap.Heap[timer]
	compactAt int
}

func newTimerQueue() timerQueue {
	return timerQueue{timers: minheap.New(func(a, b timer) bool { return a.at.Before(b.at) })}
}

func (q *timerQueue) add(t timer) {
	if q.timers.Len() >= max(q.compactAt, minCompaction) {
		q.compact()
	}
	q.timers.Push(t)
}

func (q *timerQueue) compact() {
	q.timers.DeleteFunc(timer.stale)
	q.compactAt = 2 * q.timers.Len()
}

// next returns the earliest time of a timer that is not stale.
func (q *timerQueue) next() (time.Time, bool) {
	for q.timers.Len() > 0 && q.timers.Min().stale() {
		q.timers.Pop()
	}
	if q.timers.Len() == 0 {
		return time.Time{}, false
	}
	return q.timers.Min().at, true
}

// due removes and returns the earliest timer at or before now.
func (q *timerQueue) due(now time.Time) (timer, bool) {
	at, ok := q.next()
	if !ok || at.After(now) {
		return timer{}, false
	}
	return q.timers.Pop(), true
}
