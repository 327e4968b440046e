package gateway

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/balancer"
)

// A requestRun implements fanout.Upstreams: it picks the upstreams for its attempts by
// the state of the services, which all requests of this instance share.

func newLatency() *routeLatency { return &routeLatency{Latency: *balancer.NewLatency()} }

func (l *routeLatency) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Add(d)
}

// hedgeFactor is the multiple of the typical latency after which an attempt is hedged.
// The time that upstreams work on a request is log-normally distributed with a spread of
// 0.35 to 0.5, so less than a tenth of the attempts take longer.
const hedgeFactor = 1.9

// minHedgeDelay is the shortest delay before a hedge. It prevents hedges caused by the
// ordinary variation in the latency of short requests.
const minHedgeDelay = 4 * time.Millisecond

// estimates returns the typical latency of an attempt, and the time after which an
// attempt is hedged.
func (l *routeLatency) estimates() (typical, hedgeAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	typical = l.Median()
	return typical, max(minHedgeDelay, time.Duration(hedgeFactor*float64(typical)))
}

// Pick implements fanout.Upstreams.
func (r *requestRun) Pick(serviceName string, excluded []string, first bool) (upstream string, unresponsive, ok bool) {
	s := r.view.services[serviceName]
	if s == nil {
		return "", false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.balancer.Pick(r.now(), r.typicalLatency, excluded, first)
	if u == nil {
		return "", false, false
	}
	if r.leavesToProbe(u) {
		return "", false, false
	}
	return u.ID, u.Unresponsive(), true
}

// leavesToProbe reports whether the request must not go to the upstream because another
// attempt already probes whether the upstream answers again. A query would not wait for a
// part on such an upstream, and requests whose answers nobody waits for keep an overloaded
// upstream overloaded.
func (r *requestRun) leavesToProbe(u *balancer.Upstream) bool {
	return r.route.Gather != nil && u.ProbeInFlight()
}

// Forecast implements fanout.Upstreams.
func (r *requestRun) Forecast(serviceName string) time.Duration {
	s := r.view.services[serviceName]
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Forecast(r.now(), r.typicalLatency)
}

// RateLimited implements fanout.Upstreams.
func (r *requestRun) RateLimited(serviceName string) bool {
	s := r.view.services[serviceName]
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.RateLimited(r.now())
}

// HedgeDelay implements fanout.Upstreams.
func (r *requestRun) HedgeDelay(string) time.Duration { return r.hedgeAfter }

// TakeExtraAttempt implements fanout.Upstreams.
func (r *requestRun) TakeExtraAttempt(serviceName string, canWait bool) bool {
	s := r.view.services[serviceName]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(r.now(), canWait)
}
