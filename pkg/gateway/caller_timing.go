package gateway

import (
	"sync"
	"time"
)

const (
	// defaultRoundTrip is assumed for the network round trip to callers until one has
	// been estimated.
	defaultRoundTrip = 8 * time.Millisecond
	// maxRoundTrip bounds the estimate of the round trip.
	maxRoundTrip = 100 * time.Millisecond
	// answerWriteMargin is the time allowed for merging and writing the answer and for
	// timers that fire late.
	answerWriteMargin = 2 * time.Millisecond
	// maxTimedRoutes bounds the number of routes in callerTiming.
	maxTimedRoutes = 4096
)

// callerTiming estimates, from the times that callers say they wait, how much time had
// elapsed for the caller when a request arrived, and how long the answer takes to it.
// The estimate is possible because a caller subtracts the time that has already passed,
// which includes at least the round trip that opened its connection.
type callerTiming struct {
	mu     sync.Mutex
	routes map[string]*routeTiming
	// roundTrip is the shortest elapsed time above zero of any request; zero until
	// there is one.
	roundTrip time.Duration
}

// routeTiming summarises the times that the callers of a route say they wait.
type routeTiming struct {
	// maxWait is the longest stated time.
	maxWait time.Duration
	// requests counts the requests since maxWait last grew, and atMax those of them
	// that stated maxWait.
	requests, atMax int
}

// minAtMax is the number of requests that must have stated the longest time before
// it is taken for the whole time that a caller has; they must also be at least half of
// all. Callers that open a connection for each request never state their whole time,
// and the times that they state differ by a millisecond.
const minAtMax = 8

// reliable reports whether maxWait can be taken for the whole time that a caller has.
func (r *routeTiming) reliable() bool { return r.atMax >= minAtMax && 2*r.atMax >= r.requests }

// observe records the time that a caller of a route says it waits. It returns the time
// that had elapsed for the caller before the request, and the transit time of the
// request and its answer.
func (c *callerTiming) observe(route string, wait time.Duration) (callerElapsed, transitTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	callerElapsed = c.elapsed(route, wait)
	transitTime = c.roundTrip
	if transitTime == 0 {
		transitTime = defaultRoundTrip
	}
	return callerElapsed, transitTime + answerWriteMargin
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
	case wait > r.maxWait:
		r.maxWait, r.requests, r.atMax = wait, 1, 1
	case wait == r.maxWait:
		r.atMax++
	}
	callerElapsed := r.maxWait - wait
	if callerElapsed > 0 && callerElapsed < maxRoundTrip && r.reliable() && (c.roundTrip == 0 || callerElapsed < c.roundTrip) {
		c.roundTrip = callerElapsed
	}
	return callerElapsed
}
