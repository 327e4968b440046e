package scheduler

import "time"

// startHedges starts hedges for the attempts whose hedge delay has passed, as
// far as free slots and the budgets allow. It must run after dispatch: a slot
// that is then still free is one that no waiting part can use.
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

// mayHedge reports whether the attempt still needs a hedge and may have one: it
// is the only running attempt of its part and its request is not under
// suspicion. An attempt from before a pause of the process is not hedged,
// because its reply may already have arrived and wait to be delivered.
func (s *Scheduler) mayHedge(a *attempt) bool {
	if a.detached || a.paused || a.part.request.done || len(a.part.running) != 1 {
		return false
	}
	return !s.isolation.allowsOneAttemptOnly(s.now, a.part.request.req.Fingerprint)
}

// startHedge starts a hedge for the attempt and reports whether it did.
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

// countHedgeDenied counts a hedge that the budget denied, once per attempt
// however often startHedges considers it.
func (s *Scheduler) countHedgeDenied(a *attempt) {
	if a.hedgeDenied {
		return
	}
	a.hedgeDenied = true
	s.count(CountHedgeDenied, a.prio, "budget")
}
