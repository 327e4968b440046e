package scheduler

import "time"

// startHedges starts second attempts for overdue ones, as far as free slots and the
// budgets allow. It runs after dispatch, so that a slot that is still free is
// one that no waiting part can use.
func (s *Scheduler) startHedges() {
	kept := s.hedgeCandidates[:0]
	for _, a := range s.hedgeCandidates {
		if !s.mayHedge(a) {
			continue
		}
		if !s.startHedge(a) {
			kept = append(kept, a)
		}
	}
	clear(s.hedgeCandidates[len(kept):])
	s.hedgeCandidates = kept
}

func (s *Scheduler) hedgeDelay(o *operationStats) time.Duration {
	if s.cfg.Overrides.HedgeDelay > 0 {
		return s.cfg.Overrides.HedgeDelay
	}
	return o.hedgeDelay()
}

// mayHedge reports whether the attempt is still the only one of its part. An
// attempt from before a pause is not hedged, because its reply may only wait
// to be delivered.
func (s *Scheduler) mayHedge(a *attempt) bool {
	if a.detached || a.paused || a.part.request.done || len(a.part.running) != 1 {
		return false
	}
	return !s.isolation.allowsOneAttemptOnly(s.now, a.part.request.req.Fingerprint)
}

// startHedge starts a second attempt and reports whether it did.
func (s *Scheduler) startHedge(a *attempt) bool {
	u := s.cheapestReplica(a.part, preferred)
	if u == nil || u == a.upstream {
		return false
	}
	if !s.budgets.takeHedge() {
		s.countHedgeDenied(a)
		return false
	}
	s.count(CountHedged, a.prio, string(s.state(a.upstream)))
	s.startAttempt(a.part, replicaChoice{upstream: u}, reasonHedge)
	return true
}

// countHedgeDenied counts an attempt once, however often it is reconsidered.
func (s *Scheduler) countHedgeDenied(a *attempt) {
	if a.hedgeDenied {
		return
	}
	a.hedgeDenied = true
	s.count(CountHedgeDenied, a.prio, "budget")
}
