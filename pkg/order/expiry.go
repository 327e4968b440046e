package order

import (
	"container/heap"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// expiryEntry is a ticket and the time at which it may be dropped.
type expiryEntry struct {
	at     time.Time
	ticket model.AttemptID
}

// expiryQueue holds the tickets by the time at which they may be dropped, the
// earliest first, so that dropping does not scan all tickets.
type expiryQueue []expiryEntry

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiryEntry)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func (q *expiryQueue) add(at time.Time, ticket model.AttemptID) {
	heap.Push(q, expiryEntry{at: at, ticket: ticket})
}

// due removes and returns a ticket that may be dropped, if there is one.
func (q *expiryQueue) due(now time.Time) (model.AttemptID, bool) {
	if len(*q) == 0 || now.Before((*q)[0].at) {
		return model.AttemptID{}, false
	}
	return heap.Pop(q).(expiryEntry).ticket, true
}
