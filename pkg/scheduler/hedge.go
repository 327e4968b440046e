package scheduler

import "time"

// startHedges starts hedges for the attempts whose hedge delay has passed, as
// far as free slots and the budgets allow. It must run after dispatch, when only
// the slots that no waiting part can use are still free.
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
// is the only running attempt of its part, and isolation does not limit its
// fingerprint to one attempt. An attempt that was running during a pause of the
// process is not hedged, because its reply may have arrived during the pause and
// only have to be passed to Finish.
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

// countHedgeDenied counts a hedge that the budget denied. It counts each attempt
// once, although startHedges tries the hedge again in every step.
func (s *Scheduler) countHedgeDenied(a *attempt) {
	if a.hedgeDenied {
		return
	}
	a.hedgeDenied = true
	s.count(CountHedgeDenied, a.prio, "budget")
}
