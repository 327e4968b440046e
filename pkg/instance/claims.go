package instance

import (
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// claimTable holds the ids of all attempts that arrived, until their deadline
// and until they have been answered. A copy of a message that arrives after the
// first one was refused must not run, because its requester was told that the
// attempt did not run. One that arrives earlier would take the answer of the
// first.
type claimTable struct {
	mu     sync.Mutex
	claims map[model.AttemptID]claim
}

type claim struct {
	deadline time.Time
	answered bool
}

// claim reports whether the id arrives for the first time.
func (t *claimTable) claim(id model.AttemptID, deadline time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.claims[id]; known {
		return false
	}
	t.claims[id] = claim{deadline: deadline}
	return true
}

// answered allows the claim to be dropped after its deadline.
func (t *claimTable) markAnswered(id model.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.claims[id]
	c.answered = true
	t.claims[id] = c
}

// expire drops the ids of answered attempts after their deadline, when the
// scheduler refuses them.
func (t *claimTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, c := range t.claims {
		if c.answered && now.After(c.deadline) {
			delete(t.claims, id)
		}
	}
}
