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

// clock runs events in the order of their virtual time.
type clock struct {
	now    time.Time
	events minheap.Heap[event]
	seq    uint64
}

func newClock() clock { return clock{now: epoch, events: minheap.New(event.before)} }

// after calls do when d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	c.events.Push(event{at: c.now.Add(max(d, 0)), seq: c.seq, do: do})
}

// run carries out all events up to the given time since the epoch.
func (c *clock) run(until time.Duration) {
	end := epoch.Add(until)
	for c.events.Len() > 0 && !c.events.Min().at.After(end) {
		e := c.events.Pop()
		c.now = e.at
		e.do()
	}
	c.now = end
}
