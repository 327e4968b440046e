package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/internal/minheap"
)

// timer is a time at which the scheduler must run a step. With a request, it is the
// request's deadline, and the step ends the request. With an attempt, it is the end
// of the attempt's hedge delay, and the step makes the attempt a hedge candidate.
// With neither, the step only dispatches waiting work.
type timer struct {
	at      time.Time
	request *request
	attempt *attempt
}

// stale reports whether the request or the attempt of the timer no longer needs
// it.
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

// timerQueue orders timers by time. A stale timer is removed when it becomes
// the earliest, and all stale ones are removed when the queue has doubled since
// the last removal. Without these removals, answered requests would stay in
// memory until their deadlines, 38 MB in a busy group at the target size.
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

// next returns the time of the earliest timer that is not stale.
func (q *timerQueue) next() (time.Time, bool) {
	for q.timers.Len() > 0 && q.timers.Min().stale() {
		q.timers.Pop()
	}
	if q.timers.Len() == 0 {
		return time.Time{}, false
	}
	return q.timers.Min().at, true
}

// due removes and returns the earliest timer if its time is at or before now.
func (q *timerQueue) due(now time.Time) (timer, bool) {
	at, ok := q.next()
	if !ok || at.After(now) {
		return timer{}, false
	}
	return q.timers.Pop(), true
}
