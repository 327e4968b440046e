package instance

import (
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// claimTable holds the ids of all attempts that arrived, until their deadline.
// A copy of a message that arrives after the first one was refused must not
// run, because its requester was told that the attempt did not run.
type claimTable struct {
	mu  sync.Mutex
	ids map[model.AttemptID]time.Time
}

// claim reports whether the id arrives for the first time.
func (t *claimTable) claim(id model.AttemptID, deadline time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.ids[id]; known {
		return false
	}
	t.ids[id] = deadline
	return true
}

// expire drops ids after their deadline, when the scheduler refuses them.
func (t *claimTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, deadline := range t.ids {
		if now.After(deadline) {
			delete(t.ids, id)
		}
	}
}
