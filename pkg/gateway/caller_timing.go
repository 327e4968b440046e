package gateway

import (
	"sync"
	"time"
)

const (
	// defaultRoundTrip is assumed for the ways to the caller and back before it is
	// known.
	defaultRoundTrip = 8 * time.Millisecond
	// maxRoundTrip bounds the estimate of those ways.
	maxRoundTrip = 100 * time.Millisecond
	// answerWriteMargin is kept for merging and writing the answer and for late timers.
	answerWriteMargin = 2 * time.Millisecond
	// maxTimedRoutes bounds the routes that are remembered.
	maxTimedRoutes = 4096
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
	// longestWait is the longestWait time that one waits.
	longestWait time.Duration
	// requests counts the requests, and longestWaitRequests those of callers that wait longest.
	requests, longestWaitRequests int
}

// The longest time is taken for what a caller has before it spends any if at
// least half of at least minLongestWaitRequests requests state it: callers that open a
// connection for each request never state it, and differ by a millisecond.
const minLongestWaitRequests = 8

func (r *routeTiming) longestWaitReliable() bool {
	return r.longestWaitRequests >= minLongestWaitRequests && 2*r.longestWaitRequests >= r.requests
}

// observe takes the time that a caller of a route waits, and returns what it has
// spent before, and the time between the arrival here of a request and that of
// its answer at the caller that is spent on the way.
func (c *callerTiming) observe(route string, wait time.Duration) (spent, way time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spent = c.elapsed(route, wait)
	way = c.roundTrip
	if way == 0 {
		way = defaultRoundTrip
	}
	return spent, way + answerWriteMargin
}

func (c *callerTiming) elapsed(route string, wait time.Duration) time.Duration {
	r := c.routes[route]
	if r == nil {
		if c.routes == nil {
			c.routes = make(map[string]*routeTiming)
		}
		if len(c.routes) >= maxTimedRoutes {
			return 0
		}
		r = &routeTiming{}
		c.routes[route] = r
	}
	r.requests++
	switch {
	case wait > r.longestWait:
		r.longestWait, r.requests, r.longestWaitRequests = wait, 1, 1
	case wait == r.longestWait:
		r.longestWaitRequests++
	}
	spent := r.longestWait - wait
	if spent > 0 && spent < maxRoundTrip && r.longestWaitReliable() && (c.roundTrip == 0 || spent < c.roundTrip) {
		c.roundTrip = spent
	}
	return spent
}
