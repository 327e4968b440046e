package scheduler

import (
	"slices"

	"github.com/sardineturn/sardineturn/pkg/result"
)

// failUnservable ends waiting parts without an available replica. It examines
// all requests, and only when the availability of an upstream has changed; new
// requests and retries are checked when they start to wait.
func (s *Scheduler) failUnservable() {
	if !s.availabilityChanged() {
		return
	}
	// Ending a part may change the latency factor of an upstream. Cache the
	// degraded conditions first, so that the whole step uses the conditions that
	// hold now.
	for _, u := range s.orderedUpstreams {
		_ = s.degraded(u)
	}
	for _, r := range s.sortedRequests() {
		s.failUnservableParts(r)
	}
}

// failUnservableParts ends the waiting parts of the request that have no
// available replica.
func (s *Scheduler) failUnservableParts(r *request) {
	for _, p := range r.parts {
		if p.state == partWaiting && !s.servable(p) {
			s.finishPart(p, result.NoUpstream)
		}
	}
	s.finishIfComplete(r)
}

// availabilityChanged reports whether the availability of any upstream has
// changed since the last call.
func (s *Scheduler) availabilityChanged() bool {
	changed := false
	for _, u := range s.orderedUpstreams {
		available := s.available(u)
		if available != u.wasAvailable {
			u.wasAvailable = available
			changed = true
		}
	}
	return changed
}

// available reports whether requests may wait for the upstream: it is not
// excluded, and its breaker allows an attempt now or does not presume it lost.
func (s *Scheduler) available(u *upstream) bool {
	if s.excluded(u) {
		return false
	}
	return u.breaker.allows(s.now) || !u.breaker.presumedLost()
}

// servable reports whether any replica of the part is available.
func (s *Scheduler) servable(p *part) bool {
	return slices.ContainsFunc(p.replicas, s.available)
}

// sortedRequests returns the unfinished requests in order of admission, so that
// the actions do not depend on the iteration order of a map.
func (s *Scheduler) sortedRequests() []*request {
	out := make([]*request, 0, len(s.requests))
	for _, r := range s.requests {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *request) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	return out
}
