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
	// sendMargin is kept for merging and writing the answer and for late timers.
	sendMargin = 2 * time.Millisecond
	// timingRoutes bounds the routes that are remembered.
	timingRoutes = 4096
)

// callerTiming estimates what a request has cost its caller before it arrived and
// what the answer will cost, from the times that callers say they wait: a caller
// subtracts what it has spent already, at least the round trip that opened its
// connection.
type callerTiming struct {
	mu     sync.Mutex
	routes map[string]*routeTiming
	// roundTrip is the shortest time that a caller had spent, if any had.
	roundTrip time.Duration
}

// routeTiming is what the callers of a route said.
type routeTiming struct {
	// longest is the longest time that one waits.
	longest time.Duration
	// seen counts the requests, and whole those of callers that wait longest.
	seen, whole int
}

// The longest time is taken for what a caller has before it spends any if at
// least half of at least minWhole requests state it: callers that open a
// connection for each request never state it, and differ by a millisecond.
const minWhole = 8

func (r *routeTiming) settled() bool { return r.whole >= minWhole && 2*r.whole >= r.seen }

// observe takes the time that a caller of a route waits, and returns what it has
// spent before, and the time between the arrival here of a request and that of
// its answer at the caller that is spent on the way.
func (c *callerTiming) observe(route string, wait time.Duration) (spent, way time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spent = c.spent(route, wait)
	way = c.roundTrip
	if way == 0 {
		way = defaultReturn
	}
	return spent, way + sendMargin
}

func (c *callerTiming) spent(route string, wait time.Duration) time.Duration {
	r := c.routes[route]
	if r == nil {
		if c.routes == nil {
			c.routes = make(map[string]*routeTiming)
		}
		if len(c.routes) >= timingRoutes {
			return 0
		}
		r = &routeTiming{}
		c.routes[route] = r
	}
	r.seen++
	switch {
	case wait > r.longest:
		r.longest, r.seen, r.whole = wait, 1, 1
	case wait == r.longest:
		r.whole++
	}
	spent := r.longest - wait
	if spent > 0 && spent < maxReturn && r.settled() && (c.roundTrip == 0 || spent < c.roundTrip) {
		c.roundTrip = spent
	}
	return spent
}
