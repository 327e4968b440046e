package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// maxAttempts bounds the attempts of one shard of a request.
	maxAttempts = 4
	// shedMemory is how long after a refusal for overload a priority counts
	// as shedding load.
	shedMemory = time.Second
)

// Finish records the outcome of an attempt.
func (s *Scheduler) Finish(now time.Time, id model.AttemptID, reply port.UpstreamReply) []Action {
	s.begin(now)
	a := s.attempts[id]
	if a == nil {
		s.count(CountUnknownAttempt, nil, reply.Code.String())
		return s.finishStep()
	}
	delete(s.attempts, id)
	a.upstream.removeRunning(a)
	a.prio.inFlight--
	reply = s.checkReply(a, reply)
	s.observeReply(a, reply)
	s.changed()
	s.observeIsolation(a, reply)
	if !a.detached {
		s.settle(a, reply)
	}
	return s.finishStep()
}

// checkReply turns a reply that does not belong to the attempt into an unknown
// outcome. A result must echo all three identifiers; other replies may leave
// them empty.
func (s *Scheduler) checkReply(a *attempt, reply port.UpstreamReply) port.UpstreamReply {
	req := &a.part.request.req
	strict := reply.Code == result.OK
	matches := reply.Attempt == a.id || !strict && reply.Attempt == model.AttemptID{}
	matches = matches && (reply.Shard == a.part.shard || !strict && reply.Shard == "")
	if reply.Code != result.SnapshotMissing {
		matches = matches && (reply.Snapshot == req.Snapshot || !strict && reply.Snapshot == "")
	}
	if matches {
		return normalise(reply)
	}
	s.count(CountAnswerMismatch, a.prio, reply.Code.String())
	return port.UpstreamReply{
		Code:             result.AnswerMismatch,
		Ran:              model.RunUnknown,
		ConnectionBroken: reply.ConnectionBroken,
		Draining:         reply.Draining,
	}
}

// normalise makes code and run state of a reply consistent.
func normalise(reply port.UpstreamReply) port.UpstreamReply {
	switch reply.Code {
	case result.OK:
		reply.Ran = model.Ran
	case 0:
		reply.Code = result.OutcomeUnknown
	}
	return reply
}

// observeReply learns from a reply about its upstream.
func (s *Scheduler) observeReply(a *attempt, reply port.UpstreamReply) {
	u := a.upstream
	elapsed := s.now.Sub(a.started)
	if reply.Draining || reply.Code == result.UpstreamDraining {
		u.drainedAt = s.now
		u.chill()
		s.wakeAt(s.now.Add(drainHold))
	}
	s.observeCost(a, reply, elapsed)
	switch reply.Code {
	case result.OK:
		s.observeSuccess(a, elapsed)
	case result.UpstreamShed, result.ConcurrencyLimit, result.ConnectionLimit:
		u.refused(s.now, a.op.median)
		if u.held {
			s.wakeAt(u.heldUntil)
		}
		s.alive(u)
	case result.SnapshotMissing:
		u.missing[a.part.request.req.Snapshot] = s.now.Add(missingHold)
		s.alive(u)
	case result.UpstreamDraining:
		s.alive(u)
	default:
		s.observeFailure(a, reply, elapsed)
	}
}

// observeCost records the slot time of attempts that were not refused.
func (s *Scheduler) observeCost(a *attempt, reply port.UpstreamReply, elapsed time.Duration) {
	if reply.Ran == model.NotRun || a.paused {
		return
	}
	a.prio.cost += costWeight * (elapsed.Seconds() - a.prio.cost)
}

func (s *Scheduler) observeSuccess(a *attempt, elapsed time.Duration) {
	u := a.upstream
	if !a.paused {
		s.observeLatency(a, elapsed)
	}
	u.succeeded()
	u.hint.outvote(a.part.request.req.Snapshot)
	delete(u.missing, a.part.request.req.Snapshot)
	s.alive(u)
}

// alive closes the breaker of an upstream that answered. An upstream that was
// ejected may have been restarted, so that it ramps up as a cold one.
func (s *Scheduler) alive(u *upstream) {
	if u.breaker.succeed() {
		u.chill()
	}
}

// observeFailure counts a failure for the breaker.
func (s *Scheduler) observeFailure(a *attempt, reply port.UpstreamReply, elapsed time.Duration) {
	b := &a.upstream.breaker
	test := a.probe && b.probing
	weight := s.weightOf(a, reply, elapsed)
	switch {
	case weight > 0 && b.fail(s.now, weight, test, s.cfg.Rand):
		s.wakeAt(b.retryAt)
	case weight == 0 && test:
		b.abandonTest(s.now)
		s.wakeAt(b.retryAt)
	}
}

// weightOf returns the weight of a failed attempt for the breaker. A stopped
// attempt counts only if it ran far longer than usual. A broken connection
// ejects the upstream at once, and counts once for all attempts on it.
func (s *Scheduler) weightOf(a *attempt, reply port.UpstreamReply, elapsed time.Duration) float64 {
	switch {
	case a.detached && !lost(a, reply):
		stuck := time.Duration(stuckFactor * float64(a.op.median))
		if a.paused || elapsed <= stuck {
			return 0
		}
		s.observeAtLeast(a, elapsed)
		return weightTimeout
	case a.crashed:
		return 0
	case lost(a, reply):
		return 1
	default:
		return failureWeight(reply.Code)
	}
}

// lost reports whether an attempt's connection broke for a reason other than
// its cancellation. Isolated attempts are not cancelled.
func lost(a *attempt, reply port.UpstreamReply) bool {
	return (!a.detached || a.alone) && (reply.ConnectionBroken || reply.Code == result.UpstreamLost)
}

// settle applies a reply to the part that waits for it.
func (s *Scheduler) settle(a *attempt, reply port.UpstreamReply) {
	p := a.part
	p.removeRunning(a)
	a.detached = true
	p.ran.add(reply.Ran)
	switch {
	case reply.Code == result.OK:
		if a.hedge {
			s.count(CountHedgeWon, a.prio, "")
		}
		p.result = reply.Result
		s.finishPart(p, result.OK)
	case len(p.running) > 0:
		return
	case !s.requeue(p, reply, s.redirected(a, reply)):
		s.finishPart(p, reply.Code)
	}
	s.finishIfComplete(p.request)
}

// requeue makes a failed part wait for another attempt if one is allowed.
func (s *Scheduler) requeue(p *part, reply port.UpstreamReply, redirected bool) bool {
	if !s.retryable(p, reply) {
		return false
	}
	denied := ""
	if redirected {
		denied = s.budgetDenied()
	} else {
		denied = s.retryDenied(p, reply)
	}
	if denied != "" {
		s.count(CountRetryDenied, p.request.prio, denied)
		return false
	}
	p.retry = true
	s.count(CountRetried, p.request.prio, reply.Code.String())
	s.addPart(s.now, p)
	return true
}

// retryable reports whether another attempt is safe and may help.
func (s *Scheduler) retryable(p *part, reply port.UpstreamReply) bool {
	req := &p.request.req
	if req.NonIdempotent && p.ran.state() != model.NotRun {
		return false
	}
	badInput := reply.Code >= result.BadRequest && reply.Code < result.Overloaded
	if badInput || p.attempts >= maxAttempts {
		return false
	}
	return s.servable(p) && s.now.Add(p.request.op.median).Before(req.Deadline)
}

// retryDenied returns the rule that forbids a retry, or an empty string. A
// retry after a draining reply is a redirection and is allowed while the
// priority sheds load.
func (s *Scheduler) retryDenied(p *part, reply port.UpstreamReply) string {
	if n := s.cfg.Overrides.FixedRetries; n != 0 {
		return fixedRetryDenied(p, n)
	}
	draining := reply.Draining || reply.Code == result.UpstreamDraining
	if !draining && s.shedding(p.request.prio) {
		return "shedding"
	}
	return s.budgetDenied()
}

// budgetDenied takes a retry from the budget.
func (s *Scheduler) budgetDenied() string {
	if !s.budgets.takeRetry() {
		return "budget"
	}
	return ""
}

// redirected reports whether an upstream that is not overloaded refused the
// attempt. Another attempt then replaces it and adds nothing to an overload.
func (s *Scheduler) redirected(a *attempt, reply port.UpstreamReply) bool {
	return s.cfg.Overrides.FixedRetries == 0 && shedCode(reply.Code) && reply.Ran == model.NotRun && !a.upstream.overloaded()
}

func shedCode(c result.Code) bool {
	return c == result.UpstreamShed || c == result.ConcurrencyLimit || c == result.ConnectionLimit
}

// fixedRetryDenied is the rule of a fixed number of retries.
func fixedRetryDenied(p *part, retries int) string {
	if p.attempts > retries {
		return "fixed"
	}
	return ""
}

// shedding reports whether the group has lately refused work of this priority
// or a more urgent one for overload. Refusals of less urgent work do not
// count, or a flood of it would take the retries from urgent work.
func (s *Scheduler) shedding(p *priority) bool {
	for _, q := range s.priorities {
		if s.sheds(q) {
			return true
		}
		if q == p {
			return false
		}
	}
	return false
}

// sheds reports whether the priority has lately refused work for overload.
func (s *Scheduler) sheds(p *priority) bool {
	return !p.shedAt.IsZero() && s.now.Sub(p.shedAt) < shedMemory
}
