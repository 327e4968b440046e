package gateway

import (
	"sync"
	"time"
)

const (
	// defaultRoundTrip is the network round trip to callers that is assumed until there
	// is an estimate.
	defaultRoundTrip = 8 * time.Millisecond
	// maxRoundTrip bounds the estimate of the round trip.
	maxRoundTrip = 100 * time.Millisecond
	// answerWork is the processor time that a request takes outside the measured time:
	// reading it before its arrival is recorded, and merging and writing its answer.
	answerWork = time.Millisecond
	// minAnswerMargin and maxAnswerMargin bound the time reserved for answerWork. The
	// lower bound also covers timers that fire late.
	minAnswerMargin = 2 * time.Millisecond
	maxAnswerMargin = 8 * time.Millisecond
	// maxTimedRoutes bounds the number of routes in callerTiming.
	maxTimedRoutes = 4096
)

// callerTiming estimates, from the caller timeouts of requests, how much time had
// elapsed for the caller before it sent its request, and how long the request and its
// answer take between the caller and this process. The estimate is possible because a
// caller subtracts from its full timeout the time that has already passed. That time
// includes at least the network round trip that opened its connection.
type callerTiming struct {
	mu sync.Mutex
	// routes holds the timing of each route by the route's name.
	routes map[string]*routeTiming
	// roundTrip is the shortest elapsed time between zero and maxRoundTrip among the
	// requests of routes whose timing was reliable; zero until there is one.
	roundTrip time.Duration
}

// routeTiming summarises the caller timeouts of the requests of one route.
type routeTiming struct {
	// maxTimeout is the longest caller timeout.
	maxTimeout time.Duration
	// requests counts the requests since maxTimeout last grew; atMax counts those among
	// them whose caller timeout was maxTimeout.
	requests, atMax int
}

// minRequestsAtMax is the number of requests with the longest caller timeout that are
// needed before that timeout counts as the full timeout of the callers. They must also
// be at least half of the counted requests. Callers that open a connection for each
// request never send their full timeout, and the timeouts that they send differ by a
// millisecond.
const minRequestsAtMax = 8

// reliable reports whether maxTimeout counts as the full timeout of the callers.
func (r *routeTiming) reliable() bool { return r.atMax >= minRequestsAtMax && 2*r.atMax >= r.requests }

// answerMargin returns the time that an instance with the given processor time in cores
// reserves for answerWork. With a fixed margin of 2 ms, over a third of the most urgent answers
// of instances with 0.2 cores missed the latency target by a few milliseconds.
func answerMargin(capacity float64) time.Duration {
	if capacity <= 0 {
		return minAnswerMargin
	}
	return min(max(time.Duration(float64(answerWork)/capacity), minAnswerMargin), maxAnswerMargin)
}

// observe records the caller timeout of a request of the route. It returns the time that
// had elapsed for the caller before it sent the request, and the transit time of the
// request and its answer between the caller and this process.
func (c *callerTiming) observe(route string, callerTimeout time.Duration) (callerElapsed, transitTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	callerElapsed = c.updateRoute(route, callerTimeout)
	return callerElapsed, c.transitTime()
}

// transitTime returns the estimate of the transit time. mu must be locked.
func (c *callerTiming) transitTime() time.Duration {
	if c.roundTrip == 0 {
		return defaultRoundTrip
	}
	return c.roundTrip
}

// knownTransitTime returns the estimate of the transit time without a new observation.
func (c *callerTiming) knownTransitTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transitTime()
}

// updateRoute updates the timing of the route and the round trip with the caller timeout
// of a request, and returns the time that had elapsed for the caller. mu must be locked.
func (c *callerTiming) updateRoute(route string, callerTimeout time.Duration) time.Duration {
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
	case callerTimeout > r.maxTimeout:
		r.maxTimeout, r.requests, r.atMax = callerTimeout, 1, 1
	case callerTimeout == r.maxTimeout:
		r.atMax++
	}
	callerElapsed := r.maxTimeout - callerTimeout
	if callerElapsed > 0 && callerElapsed < maxRoundTrip && r.reliable() && (c.roundTrip == 0 || callerElapsed < c.roundTrip) {
		c.roundTrip = callerElapsed
	}
	return callerElapsed
}
