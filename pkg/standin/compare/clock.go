package compare

import (
	"time"

	"github.com/sardineturn/sardineturn/internal/minheap"
)

var epoch = time.Unix(1_700_000_000, 0)

// event is an action scheduled for a virtual time; seq counts the events in the
// order in which they were scheduled.
type event struct {
	dueAt  time.Time
	seq    uint64
	action func()
}

func (e event) before(other event) bool {
	return e.dueAt.Before(other.dueAt) || e.dueAt.Equal(other.dueAt) && e.seq < other.seq
}

// clock runs scheduled events in the order of their virtual time. Events with the
// same time run in the order in which they were scheduled.
type clock struct {
	now    time.Time
	events minheap.Heap[event]
	seq    uint64
}

func newClock() clock { return clock{now: epoch, events: minheap.New(event.before)} }

// after schedules an action to run when the virtual time d has passed; a negative
// d counts as zero.
func (c *clock) after(d time.Duration, action func()) {
	c.seq++
	c.events.Push(event{dueAt: c.now.Add(max(d, 0)), seq: c.seq, action: action})
}

// run runs all events that are due at or before the given time after epoch, and
// then sets the clock to that time.
func (c *clock) run(until time.Duration) {
	end := epoch.Add(until)
	for c.events.Len() > 0 && !c.events.Min().dueAt.After(end) {
		e := c.events.Pop()
		c.now = e.dueAt
		e.action()
	}
	c.now = end
}
