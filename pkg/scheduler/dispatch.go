package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Reasons for attempts, as shown in logs.
const (
	reasonFirst    = "first"
	reasonRetry    = "retry"
	reasonHedge    = "hedge"
	reasonProbe    = "probe"
	reasonIsolated = "isolated"
	reasonCautious = "cautious"
)

// dispatch ends the waiting parts that no upstream can serve, starts an isolated
// attempt if possible, and then starts waiting parts until no free slot can be
// used.
func (s *Scheduler) dispatch() {
	s.failUnservable()
	s.startIsolatedAttempt()
	for s.anyUpstreamFree() && s.startNextPart() {
	}
}

func (s *Scheduler) anyUpstreamFree() bool {
	for _, u := range s.orderedUpstreams {
		if u.free() && !s.excluded(u) {
			return true
		}
	}
	return false
}

// startNextPart starts the next part that can start, by priority, caller and
// age, and reports whether there was one.
func (s *Scheduler) startNextPart() bool {
	for _, p := range s.prioritiesByCredit() {
		if p.waitingParts > 0 && s.startFromPriority(p) {
			return true
		}
	}
	return false
}

// startFromPriority starts one part of the priority, if possible. Requests that
// have already started go first, so that the shards of a request finish
// together and few requests are partly finished at any time.
func (s *Scheduler) startFromPriority(p *priority) bool {
	for _, r := range p.active {
		if s.startPart(r) {
			return true
		}
	}
	for i := 0; i < len(p.callers); {
		q := p.callers[i]
		if s.startFromCaller(q) {
			return true
		}
		if i < len(p.callers) && p.callers[i] == q {
			i++
		}
	}
	return false
}

// startFromCaller starts one part of one of the caller's oldest unstarted
// requests, if possible. It refuses requests that can no longer finish in time
// instead of starting them.
func (s *Scheduler) startFromCaller(q *callerQueue) bool {
	for i := 0; i < min(len(q.requests), callerLookahead); {
		r := q.requests[i]
		if !s.canFinishInTime(r) {
			r.prio.adjustMargin(true)
			s.refuseUnstarted(r, result.Overloaded)
			continue
		}
		if s.startPart(r) {
			return true
		}
		i++
	}
	return false
}

// startPart starts one part of the request if a slot is free for it and
// isolation permits.
func (s *Scheduler) startPart(r *request) bool {
	if !s.isolation.mayStart(s.now, r) {
		return false
	}
	p, c := s.partWithFewestReplicas(r)
	if p == nil {
		return false
	}
	reason := reasonFirst
	switch {
	case c.probe:
		reason = reasonProbe
	case p.retry:
		reason = reasonRetry
	case s.isolation.isUnproven(s.now, r.req.Fingerprint):
		reason = reasonCautious
	}
	a := s.startAttempt(p, c, reason)
	s.isolation.recordStart(s.now, a)
	return true
}

// partWithFewestReplicas returns the waiting part with the fewest usable
// replicas among those that can start now, because that part has the fewest
// chances to start later.
func (s *Scheduler) partWithFewestReplicas(r *request) (*part, replicaChoice) {
	var best *part
	var bestChoice replicaChoice
	fewest := 0
	for _, p := range r.parts {
		if p.state != partWaiting || !hasFreeReplica(p) {
			continue
		}
		if best != nil && fewest <= 1 {
			break
		}
		n := s.countUsableReplicas(p)
		if best != nil && n >= fewest {
			continue
		}
		if c, ok := s.chooseReplica(p); ok {
			best, bestChoice, fewest = p, c, n
		}
	}
	return best, bestChoice
}

// hasFreeReplica reports whether any replica of the part has a free slot.
func hasFreeReplica(p *part) bool {
	for _, u := range p.replicas {
		if u.free() {
			return true
		}
	}
	return false
}

func (s *Scheduler) countUsableReplicas(p *part) int {
	n := 0
	for _, u := range p.replicas {
		if s.fitness(p, u) != unusable {
			n++
		}
	}
	return n
}

// startAttempt starts an attempt of the part on the chosen upstream.
func (s *Scheduler) startAttempt(p *part, c replicaChoice, reason string) *attempt {
	r := p.request
	u := c.upstream
	s.assertStartAllowed(p, c)
	a := &attempt{
		id:       s.cfg.NewID(),
		part:     p,
		upstream: u,
		prio:     r.prio,
		op:       r.op,
		started:  s.now,
		probe:    c.probe,
		hedge:    reason == reasonHedge,
		isolated: reason == reasonIsolated,
	}
	if p.state == partWaiting {
		s.markStarted(p)
	}
	s.attempts[a.id] = a
	u.running = append(u.running, a)
	p.running = append(p.running, a)
	p.tried = append(p.tried, u)
	r.prio.inFlight++
	s.recordStart(a, p)
	p.attempts++
	s.emit(Start{Call: s.upstreamCall(a, p), Hedge: a.hedge, Retry: p.retry, Reason: reason})
	p.retry = false
	if !r.req.NonIdempotent && !a.isolated && !a.hedge {
		s.timers.add(timer{at: s.now.Add(s.hedgeDelay(a.op)), attempt: a})
	}
	return a
}

// markStarted marks a waiting part as running. With its first part, the request
// leaves its caller's queue for the list of active requests.
func (s *Scheduler) markStarted(p *part) {
	r := p.request
	if r.callerQueue != nil {
		r.prio.removeFromQueue(r, true)
		r.prio.activate(r)
	}
	r.started = true
	p.state = partRunning
	s.dequeuePart(p)
}

// recordStart counts the attempt for the budgets if it is a first attempt, and
// records it as a probe if it is one.
func (s *Scheduler) recordStart(a *attempt, p *part) {
	if !a.hedge && !p.retry {
		s.budgets.countFirstAttempt()
	}
	if !a.probe {
		return
	}
	s.count(CountProbe, a.prio, string(s.state(a.upstream)))
	if a.upstream.breaker.open {
		a.upstream.breaker.probing = true
		return
	}
	s.probedAt = s.now
	s.seqAtProbe = s.lastSeq
	s.probeWasFast = false
}

func (s *Scheduler) upstreamCall(a *attempt, p *part) port.UpstreamCall {
	req := &p.request.req
	deadline := req.Deadline
	if a.isolated && !req.NonIdempotent {
		deadline = latest(deadline, s.now.Add(minIsolatedTime))
	}
	return port.UpstreamCall{
		Attempt:        a.id,
		Upstream:       a.upstream.name,
		Address:        a.upstream.address,
		Service:        req.Group.Service,
		Operation:      req.Operation,
		Snapshot:       req.Snapshot,
		Shard:          p.shard,
		Payload:        req.Payload,
		OrderKey:       req.OrderKey,
		Deadline:       deadline,
		MaxConnections: a.upstream.maxConnections,
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// assertStartAllowed reports a violation if the attempt breaks an invariant.
func (s *Scheduler) assertStartAllowed(p *part, c replicaChoice) {
	u := c.upstream
	if u.inFlight() >= u.ceiling {
		s.reportViolation("attempts in flight exceed the limit of the upstream")
	}
	if s.excluded(u) {
		s.reportViolation("attempt on an upstream that is leaving")
	}
	if p.request.done || p.state == partFinished {
		s.reportViolation("attempt for a finished shard")
	}
	isOrder := p.request.req.NonIdempotent
	if isOrder && (len(p.running) > 0 || p.runs.state() != model.NotRun) {
		s.reportViolation("second attempt of an order that may have run")
	}
}
