package order

import (
	"time"

	"github.com/sardineturn/sardineturn/internal/minheap"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// expiryEntry is a ticket and the time at which it may be dropped.
type expiryEntry struct {
	at     time.Time
	ticket model.AttemptID
}

// expiryQueue holds the tickets by the time at which they may be dropped, the
// earliest first, so that dropping does not scan all tickets.
type expiryQueue struct{ entries minheap.Heap[expiryEntry] }

func newExpiryQueue() expiryQueue {
	return expiryQueue{minheap.New(func(a, b expiryEntry) bool { return a.at.Before(b.at) })}
}

func (q *expiryQueue) add(at time.Time, ticket model.AttemptID) {
	q.entries.Push(expiryEntry{at: at, ticket: ticket})
}

// due removes and returns a ticket that may be dropped, if there is one.
func (q *expiryQueue) due(now time.Time) (model.AttemptID, bool) {
	if q.entries.Len() == 0 || now.Before(q.entries.Min().at) {
		return model.AttemptID{}, false
	}
	return q.entries.Pop().ticket, true
}
