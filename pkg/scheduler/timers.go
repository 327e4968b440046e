package scheduler

import (
	"container/heap"
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

// timerQueue orders timers by time; stale ones are dropped when they surface.
type timerQueue []timer

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q timerQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	old := *q
	last := len(old) - 1
	t := old[last]
	old[last] = timer{}
	*q = old[:last]
	return t
}

func (q *timerQueue) add(t timer) { heap.Push(q, t) }

// next returns the earliest time of a timer that is not stale.
func (q *timerQueue) next() (time.Time, bool) {
	for len(*q) > 0 && (*q)[0].stale() {
		heap.Pop(q)
	}
	if len(*q) == 0 {
		return time.Time{}, false
	}
	return (*q)[0].at, true
}

// due removes and returns the earliest timer at or before now.
func (q *timerQueue) due(now time.Time) (timer, bool) {
	at, ok := q.next()
	if !ok || at.After(now) {
		return timer{}, false
	}
	return heap.Pop(q).(timer), true
}
