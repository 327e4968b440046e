package instance

import (
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// claimTable holds the ids of all attempts that this instance has received, so
// that a duplicate of a message is refused. An id is kept until its attempt has
// been answered and its deadline has passed. Without the table, a duplicate that
// arrives after the original was refused could run although the requester was
// told that the attempt did not run, and one that arrives earlier would take the
// answer meant for the original.
type claimTable struct {
	mu     sync.Mutex
	claims map[model.AttemptID]claim
}

type claim struct {
	deadline time.Time
	answered bool
}

// claim records the id and reports whether it was new.
func (t *claimTable) claim(id model.AttemptID, deadline time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.claims[id]; known {
		return false
	}
	t.claims[id] = claim{deadline: deadline}
	return true
}

// markAnswered records that the attempt was answered, so that expire may drop
// its id after the deadline.
func (t *claimTable) markAnswered(id model.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.claims[id]
	c.answered = true
	t.claims[id] = c
}

// expire drops the ids of answered attempts whose deadline has passed. A later
// duplicate is refused by the scheduler because of its deadline.
func (t *claimTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, c := range t.claims {
		if c.answered && now.After(c.deadline) {
			delete(t.claims, id)
		}
	}
}
