package order

import (
	"time"

	"github.com/sardineturn/sardineturn/internal/minheap"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// expiryEntry is a ticket and the time from which it may be removed.
type expiryEntry struct {
	removeAt time.Time
	ticket   model.AttemptID
}

// expiryQueue orders tickets by the time from which they may be removed,
// earliest first, so that removing expired tickets does not scan all of them.
type expiryQueue struct{ entries minheap.Heap[expiryEntry] }

func newExpiryQueue() expiryQueue {
	return expiryQueue{minheap.New(func(a, b expiryEntry) bool { return a.removeAt.Before(b.removeAt) })}
}

func (q *expiryQueue) add(removeAt time.Time, ticket model.AttemptID) {
	q.entries.Push(expiryEntry{removeAt: removeAt, ticket: ticket})
}

// popDue removes and returns a ticket whose removal time has come, if there is
// one.
func (q *expiryQueue) popDue(now time.Time) (model.AttemptID, bool) {
	if q.entries.Len() == 0 || now.Before(q.entries.Min().removeAt) {
		return model.AttemptID{}, false
	}
	return q.entries.Pop().ticket, true
}
