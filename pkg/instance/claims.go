package instance

import (
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// claimTable holds the ids of all attempts that this instance has received as a
// home. A message whose id is in the table is a duplicate and is refused. An id is
// kept until its attempt has been answered and its deadline has passed. Without the
// table, a duplicate that arrives after the original was refused could run although
// the requester was told that the attempt did not run. A duplicate that arrives
// while the original is in progress would get the original's answer in its place.
type claimTable struct {
	mu     sync.Mutex
	claims map[model.AttemptID]claim
}

type claim struct {
	deadline time.Time
	answered bool
}

// claim records the id and reports whether it was new. If it was not, the message is
// a duplicate.
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

// expire drops the ids of answered attempts whose deadline has passed. The scheduler
// refuses a duplicate that arrives even later, because its deadline has passed too.
func (t *claimTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, c := range t.claims {
		if c.answered && now.After(c.deadline) {
			delete(t.claims, id)
		}
	}
}
