package gateway

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/balancer"
)

// A requestRun implements fanout.Upstreams: it picks the upstreams for its attempts from
// the state of the services, which all requests share.

func newLatency() *latency { return &latency{Latency: *balancer.NewLatency()} }

func (l *latency) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Add(d)
}

// hedgeFactor is the multiple of the usual latency after which an attempt is hedged.
// The time that upstreams work on a request is log-normal with a spread of 0.35 to 0.5,
// so that under a tenth of the attempts take longer.
const hedgeFactor = 1.9

// minHedgeDelay prevents hedges caused by the ordinary variation in the latency of
// short requests.
const minHedgeDelay = 4 * time.Millisecond

// estimates returns the usual latency of an attempt, and the time after which an
// attempt is hedged.
func (l *latency) estimates() (usual, hedgeAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usual = l.Median()
	return usual, max(minHedgeDelay, time.Duration(hedgeFactor*float64(usual)))
}

// Pick implements fanout.Upstreams.
func (r *requestRun) Pick(name string, excluded []string, first bool) (upstream string, doubtful, ok bool) {
	s := r.view.services[name]
	if s == nil {
		return "", false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.balancer.Pick(r.now(), r.usualLatency, excluded, first)
	if u == nil {
		return "", false, false
	}
	if r.route.Gather != nil && u.ProbeInFlight() {
		// A query does not wait for a part whose upstream is only being probed, and
		// requests that nobody waits for keep an overloaded upstream overloaded.
		return "", false, false
	}
	return u.ID, u.Unresponsive(), true
}

// HedgeDelay implements fanout.Upstreams.
func (r *requestRun) HedgeDelay(string) time.Duration { return r.hedgeAfter }

// TakeExtraAttempt implements fanout.Upstreams.
func (r *requestRun) TakeExtraAttempt(name string, canWait bool) bool {
	s := r.view.services[name]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(r.now(), canWait)
}
