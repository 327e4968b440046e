package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Reasons of attempts, for logs.
const (
	reasonFirst    = "first"
	reasonRetry    = "retry"
	reasonHedge    = "hedge"
	reasonProbe    = "probe"
	reasonIsolated = "isolated"
	reasonCautious = "cautious"
)

// dispatch starts waiting parts while there are free slots for them.
func (s *Scheduler) dispatch() {
	s.failUnservable()
	s.isolate()
	for s.anyFree() && s.startOne() {
	}
}

func (s *Scheduler) anyFree() bool {
	for _, u := range s.order {
		if u.free() && !s.excluded(u) {
			return true
		}
	}
	return false
}

// startOne starts the part that is next by priority, caller and age.
func (s *Scheduler) startOne() bool {
	for _, p := range s.pickOrder() {
		if p.waitingParts > 0 && s.startFrom(p) {
			return true
		}
	}
	return false
}

// startFrom starts a part of the priority. Started requests go first, so that
// the shards of a request finish together and little work is left half done.
func (s *Scheduler) startFrom(p *priority) bool {
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

// startFromCaller starts a part of one of the caller's first requests. A
// request that can no longer finish in time is refused instead of started.
func (s *Scheduler) startFromCaller(q *callerQueue) bool {
	for i := 0; i < min(len(q.requests), lookAhead); {
		r := q.requests[i]
		if !s.feasible(r) {
			r.prio.learnMargin(true)
			s.refuseQueued(r, result.Overloaded)
			continue
		}
		if s.startPart(r) {
			return true
		}
		i++
	}
	return false
}

// startPart starts one part of the request if there is a slot for it.
func (s *Scheduler) startPart(r *request) bool {
	if !s.isolation.mayStart(s.now, r) {
		return false
	}
	p, c := s.bestPart(r)
	if p == nil {
		return false
	}
	reason := reasonFirst
	switch {
	case c.probe:
		reason = reasonProbe
	case p.retry:
		reason = reasonRetry
	case s.isolation.unknown(s.now, r.req.Fingerprint):
		reason = reasonCautious
	}
	a := s.start(p, c, reason)
	s.isolation.started(s.now, a)
	return true
}

// bestPart returns the waiting part with the fewest usable replicas among
// those that can start now, because it has the fewest chances later.
func (s *Scheduler) bestPart(r *request) (*part, choice) {
	var best *part
	var bestChoice choice
	fewest := 0
	for _, p := range r.parts {
		if p.state != partWaiting || !hasFree(p) {
			continue
		}
		if best != nil && fewest <= 1 {
			break
		}
		n := s.usableReplicas(p)
		if best != nil && n >= fewest {
			continue
		}
		if c, ok := s.choose(p); ok {
			best, bestChoice, fewest = p, c, n
		}
	}
	return best, bestChoice
}

// hasFree reports whether some replica of the part has a free slot.
func hasFree(p *part) bool {
	for _, u := range p.replicas {
		if u.free() {
			return true
		}
	}
	return false
}

func (s *Scheduler) usableReplicas(p *part) int {
	n := 0
	for _, u := range p.replicas {
		if s.fitness(p, u) != unusable {
			n++
		}
	}
	return n
}

// start starts an attempt of the part on the chosen upstream.
func (s *Scheduler) start(p *part, c choice, reason string) *attempt {
	r := p.request
	u := c.upstream
	s.checkStart(p, c)
	a := &attempt{
		id:       s.cfg.NewID(),
		part:     p,
		upstream: u,
		prio:     r.prio,
		op:       r.op,
		started:  s.now,
		probe:    c.probe,
		hedge:    reason == reasonHedge,
		alone:    reason == reasonIsolated,
	}
	if p.state == partWaiting {
		s.leaveWaiting(p)
	}
	s.attempts[a.id] = a
	u.running = append(u.running, a)
	p.running = append(p.running, a)
	p.tried = append(p.tried, u)
	r.prio.inFlight++
	s.countStart(a, p)
	p.attempts++
	s.emit(Start{Call: s.call(a, p), Hedge: a.hedge, Retry: p.retry, Reason: reason})
	p.retry = false
	if !r.req.NonIdempotent && !a.alone && !a.hedge {
		s.timers.add(timer{at: s.now.Add(s.hedgeDelay(a.op)), attempt: a})
	}
	return a
}

// leaveWaiting moves a part, and with its first part the request, from the
// queue to the started state.
func (s *Scheduler) leaveWaiting(p *part) {
	r := p.request
	if r.caller != nil {
		r.prio.leaveQueue(r, true)
		r.prio.activate(r)
	}
	r.started = true
	p.state = partRunning
	s.removePart(p)
}

// countStart keeps the budgets and the records of probes.
func (s *Scheduler) countStart(a *attempt, p *part) {
	if !a.hedge && !p.retry {
		s.budgets.countFirst()
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
	s.seqAtProbe = s.nextSeq
	s.probeWasFast = false
}

func (s *Scheduler) call(a *attempt, p *part) port.UpstreamCall {
	req := &p.request.req
	deadline := req.Deadline
	if a.alone && !req.NonIdempotent {
		deadline = latest(deadline, s.now.Add(isolatedTime))
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
		MaxConnections: a.upstream.connections,
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkStart asserts the invariants of a new attempt.
func (s *Scheduler) checkStart(p *part, c choice) {
	u := c.upstream
	if u.inFlight() >= u.ceiling {
		s.broken("attempts in flight exceed the limit of the upstream")
	}
	if s.excluded(u) {
		s.broken("attempt on an upstream that is leaving")
	}
	if p.request.done || p.state == partFinished {
		s.broken("attempt for a finished shard")
	}
	order := p.request.req.NonIdempotent
	if order && (len(p.running) > 0 || p.ran.state() != model.NotRun) {
		s.broken("second attempt of an order that may have run")
	}
}
