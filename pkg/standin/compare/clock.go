package compare

import (
	"time"

	"github.com/sardineturn/sardineturn/internal/minheap"
)

var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Time
	seq uint64
	do  func()
}

func (e event) before(other event) bool {
	return e.at.Before(other.at) || e.at.Equal(other.at) && e.seq < other.seq
}

// clock runs scheduled events in the order of their virtual time; events of the
// same time run in the order in which they were scheduled.
type clock struct {
	now    time.Time
	events minheap.Heap[event]
	seq    uint64
}

func newClock() clock { return clock{now: epoch, events: minheap.New(event.before)} }

// after schedules do to run d of virtual time from now.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	c.events.Push(event{at: c.now.Add(max(d, 0)), seq: c.seq, do: do})
}

// run executes all events that are due up to the given time after epoch, and
// sets the clock to that time.
func (c *clock) run(until time.Duration) {
	end := epoch.Add(until)
	for c.events.Len() > 0 && !c.events.Min().at.After(end) {
		e := c.events.Pop()
		c.now = e.at
		e.do()
	}
	c.now = end
}
