package gateway

import (
	"sync"
	"time"
)

const (
	// defaultReturn is assumed for the ways to the caller and back before it is
	// known.
	defaultReturn = 8 * time.Millisecond
	// maxReturn bounds the estimate of those ways.
	maxReturn = 100 * time.Millisecond
	// sendMargin is kept for writing the answer.
	sendMargin = time.Millisecond
	// timingRoutes bounds the routes that are remembered.
	timingRoutes = 4096
)

// callerTiming estimates what a request has cost its caller before it arrived and
// what the answer will cost, from the times that callers say they wait: a caller
// subtracts what it has spent already, at least the round trip that opened its
// connection.
type callerTiming struct {
	mu sync.Mutex
	// longest is the longest time that a caller of a route said it waits.
	longest map[string]time.Duration
	// roundTrip is the shortest time that a caller had spent, if any had.
	roundTrip time.Duration
}

// observe takes the time that a caller of a route waits, and returns what it has
// spent before, and the time between the arrival here of a request and that of
// its answer at the caller that is spent on the way.
func (c *callerTiming) observe(route string, wait time.Duration) (spent, way time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.longest == nil {
		c.longest = make(map[string]time.Duration)
	}
	longest, known := c.longest[route]
	if wait > longest && (known || len(c.longest) < timingRoutes) {
		longest = wait
		c.longest[route] = wait
	}
	spent = max(0, longest-wait)
	if spent > 0 && spent < maxReturn && (c.roundTrip == 0 || spent < c.roundTrip) {
		c.roundTrip = spent
	}
	way = c.roundTrip
	if way == 0 {
		way = defaultReturn
	}
	return spent, way + sendMargin
}
