// Package admission limits how many requests of a route an instance runs at the same time
// while their upstreams cannot serve all of them in time.
//
// It answers this load: all upstreams of a few shards, or most upstreams of a service, are
// slow or gone, and what is left cannot run all requests. Without a limit every request
// waits in their queues, and nearly all are answered late or not at all, although each has
// used a part of the capacity. With a limit, as many as the capacity allows are answered,
// and the others are refused before they have run, early enough for their callers to
// return. Callers of less urgent routes lose: their route gives way first.
//
// A route has no limit until most of its latest requests were late. From then on the limit
// follows their outcomes by additive increase and multiplicative decrease (Chiu and Jain,
// 1989). If requests are late even with one at a time, no limit can make them meet their
// latency target; the limit then keeps them within a share of the time that callers wait.
//
// The package does no I/O and reads no clock; its types are not safe for concurrent use.
package admission

import (
	"math"
	"time"
)

const (
	// minConcurrency is the number of requests of a route that may always run at the same
	// time. No route is shut out, and its requests show when there is capacity again.
	minConcurrency = 1
	// outcomeWindow is the number of the latest outcomes by which a route is judged, and
	// maxLate the number of late ones among them from which it is overloaded. A pause of an
	// upstream makes only the requests late that run at that moment.
	outcomeWindow = 8
	maxLate       = 4
	// decrease is the factor by which the limit of an overloaded route becomes smaller.
	decrease = 0.7
	// repeatFactor is how far a request that its caller sends again may exceed the limit:
	// that caller loses its request if it is refused once more.
	repeatFactor = 2
	// lateGoalShare is the share of the callers' timeout within which a route keeps its
	// requests once it cannot meet the latency target. The rest is left for the way back
	// and for requests that take longer than usual.
	lateGoalShare = 0.5
	// validity is how long a limit outlasts the last late request. An instance that was
	// paused or partitioned for longer starts without limits, too.
	validity = 3 * time.Second
	// durationWeight is the weight of the newest request in the mean duration.
	durationWeight = 0.25
	// maxReturnShare is the share of the callers' timeout after which a refused caller is
	// told to return at the latest, so that it has time for another attempt.
	maxReturnShare = 1.0 / 3
	// minReturnShare is the least time between two refused callers that return, as a share
	// of the latency target. It keeps them apart while requests end quickly.
	minReturnShare = 1.0 / 16
	// maxRoutes bounds the number of routes with a state. Routes beyond it have no limits.
	maxRoutes = 4096
)

// Route describes the requests of a route.
type Route struct {
	Name string
	// Group names the upstreams that the route uses. Routes of one group compete for them.
	Group string
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// LatencyTarget is the time within which callers want an answer, and Timeout how long
	// they wait for one.
	LatencyTarget, Timeout time.Duration
}

// Outcome says how a request ended.
type Outcome int

// Outcomes of a request.
const (
	// InTime: it was answered within the latency target.
	InTime Outcome = iota
	// Late: it was answered later.
	Late
	// Unanswered: upstreams gave no answer, or too few did.
	Unanswered
	// Neutral: its end shows nothing about the load, for example because the caller left.
	Neutral
)

// Goal is what the limit of a route aims at.
type Goal int

// Goals of a limit.
const (
	// NoLimit: the route is not overloaded.
	NoLimit Goal = iota
	// MeetTarget: requests are to meet the latency target.
	MeetTarget
	// MeetTimeout: the latency target cannot be met; requests are to be answered while
	// their callers wait.
	MeetTimeout
)

// String returns the goal's name in logs and in the status.
func (g Goal) String() string { return [...]string{"no_limit", "meet_target", "meet_timeout"}[g] }

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	// RetryAfter is how long the caller of a refused request should wait.
	RetryAfter time.Duration
}

// Change tells that the goal of a route's limit has changed.
type Change struct {
	Route string
	Goal  Goal
	// Limit is the number of requests that may run at the same time, 0 without a limit.
	Limit float64
}

// RouteStatus is the state of a route that has a limit.
type RouteStatus struct {
	Route   string  `json:"route"`
	Goal    string  `json:"goal"`
	Limit   float64 `json:"limit"`
	Running int     `json:"running"`
}

type routeState struct {
	Route
	goal    Goal
	running int
	// limit is the number of requests that may run at the same time unless goal is NoLimit.
	limit float64
	// outcomes holds the latest requests that ended, in a ring.
	outcomes [outcomeWindow]outcomeRecord
	count    int
	next     int
	// decreasedAt is when the limit last became smaller, lateAt when a request was last late.
	decreasedAt, lateAt time.Time
	meanDuration        time.Duration
	// returnAt is when the caller that was refused last may return.
	returnAt time.Time
}

// outcomeRecord holds whether a request missed the goal at its end, and the latency target.
type outcomeRecord struct{ late, missedTarget bool }

// Controller holds the limits of one instance.
type Controller struct {
	routes  map[string]*routeState
	changes []Change
}

// NewController returns a controller without limits.
func NewController() *Controller { return &Controller{routes: make(map[string]*routeState)} }

// Begin decides on a request and, if it is admitted, counts it as running until End.
// repeated is true if the caller has sent the request before.
func (c *Controller) Begin(now time.Time, r Route, repeated bool) Verdict {
	s := c.state(now, r)
	if s == nil {
		return Verdict{Admitted: true}
	}
	c.expire(now, s)
	if s.goal != NoLimit && s.running >= s.allowed(repeated) {
		return Verdict{RetryAfter: s.retryAfter(now)}
	}
	s.running++
	return Verdict{Admitted: true}
}

// allowed returns the number of requests that may run at the same time.
func (s *routeState) allowed(repeated bool) int {
	limit := s.limit
	if repeated {
		limit *= repeatFactor
	}
	return max(minConcurrency, int(math.Floor(limit)))
}

// retryAfter spreads the callers that are refused one after the other over the time in which
// running requests end.
func (s *routeState) retryAfter(now time.Time) time.Duration {
	interval := time.Duration(float64(s.meanDuration) / max(minConcurrency, s.limit))
	interval = max(interval, time.Duration(minReturnShare*float64(s.LatencyTarget)))
	at := now.Add(interval)
	if next := s.returnAt.Add(interval); next.After(at) {
		at = next
	}
	if latest := now.Add(time.Duration(maxReturnShare * float64(s.Timeout))); at.After(latest) {
		at = latest
	}
	if at.After(s.returnAt) {
		// Callers with short timeouts do not bring the others forward.
		s.returnAt = at
	}
	return at.Sub(now)
}

// End records the outcome of a request that took the given time. r must be as in the call
// of Begin that admitted the request: callers of one route may wait for different times.
func (c *Controller) End(now time.Time, r Route, took time.Duration, o Outcome) {
	s := c.routes[r.Name]
	if s == nil {
		return
	}
	s.running = max(0, s.running-1)
	if o == Neutral {
		return
	}
	c.expire(now, s)
	s.recordDuration(took)
	late := isLate(r, took, o, s.goal)
	s.recordOutcome(now, outcomeRecord{late: late, missedTarget: isLate(r, took, o, MeetTarget)})
	switch {
	case late && s.overloaded():
		c.giveWay(now, s)
	case late || s.overloaded() || s.goal == NoLimit:
	case s.goal == MeetTimeout && s.meetsTarget():
		c.setGoal(s, MeetTarget)
	default:
		s.limit += 1 / s.limit
	}
}

func (s *routeState) recordDuration(took time.Duration) {
	if s.meanDuration == 0 {
		s.meanDuration = took
		return
	}
	s.meanDuration += time.Duration(durationWeight * float64(took-s.meanDuration))
}

// isLate reports whether a request missed a goal. One of a route without a latency target
// is late only if it leaves its caller too little time.
func isLate(r Route, took time.Duration, o Outcome, g Goal) bool {
	switch {
	case o == Unanswered:
		return true
	case g == MeetTimeout || r.LatencyTarget <= 0:
		return r.Timeout > 0 && took > time.Duration(lateGoalShare*float64(r.Timeout))
	default:
		return o == Late
	}
}

func (s *routeState) recordOutcome(now time.Time, r outcomeRecord) {
	s.outcomes[s.next] = r
	s.next = (s.next + 1) % outcomeWindow
	s.count = min(s.count+1, outcomeWindow)
	if r.late {
		s.lateAt = now
	}
}

func (s *routeState) overloaded() bool {
	n := 0
	for _, r := range s.outcomes[:s.count] {
		if r.late {
			n++
		}
	}
	return n >= maxLate
}

// meetsTarget reports whether so few of the latest requests missed the latency target that
// the limit can aim at it again. Single requests in time do not show that.
func (s *routeState) meetsTarget() bool {
	n := 0
	for _, r := range s.outcomes[:s.count] {
		if r.missedTarget {
			n++
		}
	}
	return s.count == outcomeWindow && n < maxLate
}

// giveWay lowers the limit of the route that leastUrgent returns. The next decrease waits
// until requests under the new limit have ended. If the limit of an overloaded route is the
// least one already, its goal becomes MeetTimeout.
func (c *Controller) giveWay(now time.Time, overloaded *routeState) {
	if now.Sub(overloaded.decreasedAt) < max(overloaded.LatencyTarget, overloaded.meanDuration) {
		return
	}
	overloaded.decreasedAt = now
	s := c.leastUrgent(now, overloaded)
	s.lateAt = now
	if s.goal == NoLimit {
		s.limit = float64(s.running + 1)
		c.setGoal(s, MeetTarget)
	}
	if s.limit <= minConcurrency && s.goal == MeetTarget && s == overloaded {
		s.count, s.next = 0, 0
		c.setGoal(s, MeetTimeout)
		return
	}
	s.limit = max(minConcurrency, s.limit*decrease)
}

// leastUrgent returns the route that gives way to an overloaded one: among the less urgent
// ones of its group, one whose limit can become lower first, then one that runs more than
// minConcurrency; of these the least urgent, and then the one whose requests take longest. It
// returns the overloaded route only if there is no such route: while a less urgent one runs
// repeated requests beyond its least limit, a limit on the urgent route would lose more.
func (c *Controller) leastUrgent(now time.Time, overloaded *routeState) *routeState {
	best := overloaded
	for _, s := range c.routes {
		if s.Group != overloaded.Group || s.Priority <= overloaded.Priority {
			continue
		}
		c.expire(now, s)
		if s.running <= minConcurrency && !s.canGiveWay() {
			continue
		}
		if best == overloaded || s.yieldsBefore(best) {
			best = s
		}
	}
	return best
}

// yieldsBefore reports whether the route gives way before another one.
func (s *routeState) yieldsBefore(other *routeState) bool {
	switch {
	case s.canGiveWay() != other.canGiveWay():
		return s.canGiveWay()
	case s.Priority != other.Priority:
		return s.Priority > other.Priority
	default:
		return s.meanDuration > other.meanDuration
	}
}

// canGiveWay reports whether the limit of the route can become lower.
func (s *routeState) canGiveWay() bool {
	if s.goal == NoLimit {
		return s.running > minConcurrency
	}
	return s.limit > minConcurrency
}

// expire ends the limit, and discards earlier outcomes, if no request has been late for the
// validity of limits.
func (c *Controller) expire(now time.Time, s *routeState) {
	if !s.expired(now) {
		return
	}
	s.count, s.next = 0, 0
	if s.goal != NoLimit {
		c.setGoal(s, NoLimit)
	}
}

func (s *routeState) expired(now time.Time) bool { return now.Sub(s.lateAt) > validity }

func (c *Controller) setGoal(s *routeState, g Goal) {
	s.goal = g
	change := Change{Route: s.Name, Goal: g, Limit: s.limit}
	if g == NoLimit {
		s.limit, change.Limit = 0, 0
	}
	c.changes = append(c.changes, change)
}

// TakeChanges returns the changes of goals since the last call.
func (c *Controller) TakeChanges() []Change {
	out := c.changes
	c.changes = nil
	return out
}

// Status returns the routes that have a limit, in no particular order.
func (c *Controller) Status(now time.Time) []RouteStatus {
	var out []RouteStatus
	for _, s := range c.routes {
		if s.goal != NoLimit && !s.expired(now) {
			out = append(out, RouteStatus{Route: s.Name, Goal: s.goal.String(), Limit: s.limit, Running: s.running})
		}
	}
	return out
}

// state returns the state of a route, and nil if there are too many routes.
func (c *Controller) state(now time.Time, r Route) *routeState {
	s := c.routes[r.Name]
	if s == nil {
		if len(c.routes) >= maxRoutes {
			c.dropIdle(now)
		}
		if len(c.routes) >= maxRoutes {
			return nil
		}
		s = &routeState{}
		c.routes[r.Name] = s
	}
	s.Route = r
	return s
}

// dropIdle forgets the routes without running requests and limits, among them those that
// the configuration no longer has.
func (c *Controller) dropIdle(now time.Time) {
	for name, s := range c.routes {
		if s.running == 0 && s.expired(now) {
			delete(c.routes, name)
		}
	}
}
