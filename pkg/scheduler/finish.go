package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// maxAttempts is the number of attempts of one shard of a request, hedges
	// included, after which the shard is not retried.
	maxAttempts = 4
	// recentShedDuration is the time after a refusal for overload for which the
	// priority counts as shedding load.
	recentShedDuration = time.Second
)

// Finish records the outcome of an attempt.
func (s *Scheduler) Finish(now time.Time, id model.AttemptID, reply port.UpstreamReply) []Action {
	s.beginStep(now)
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
	s.invalidateConditions()
	s.observeIsolation(a, reply)
	if !a.detached {
		s.applyOutcome(a, reply)
	}
	return s.finishStep()
}

// checkReply replaces a reply that does not belong to the attempt by one with
// the code AnswerMismatch and an unknown run state. A reply with a result must
// echo the attempt, the shard and the snapshot. Other replies may leave them
// empty, and a SnapshotMissing reply may name another snapshot.
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

// normalise makes the code and the run state of a reply consistent.
func normalise(reply port.UpstreamReply) port.UpstreamReply {
	switch reply.Code {
	case result.OK:
		reply.Ran = model.Ran
	case 0:
		reply.Code = result.OutcomeUnknown
	}
	return reply
}

// observeReply updates the state of the attempt's upstream and the latency
// statistics from a reply.
func (s *Scheduler) observeReply(a *attempt, reply port.UpstreamReply) {
	u := a.upstream
	elapsed := s.now.Sub(a.started)
	if reply.Draining || reply.Code == result.UpstreamDraining {
		u.drainedAt = s.now
		u.resetRamp()
		s.wakeAt(s.now.Add(drainingDuration))
	}
	s.recordSlotTime(a, reply, elapsed)
	switch reply.Code {
	case result.OK:
		s.observeSuccess(a, elapsed)
	case result.UpstreamShed, result.ConcurrencyLimit, result.ConnectionLimit:
		u.recordShed(s.now, a.op.median)
		if u.backingOff {
			s.wakeAt(u.backoffUntil)
		}
		s.markAlive(u)
	case result.SnapshotMissing:
		u.missingSnapshots[a.part.request.req.Snapshot] = s.now.Add(missingSnapshotDuration)
		s.markAlive(u)
	case result.UpstreamDraining:
		s.markAlive(u)
	default:
		s.observeFailure(a, reply, elapsed)
	}
}

// recordSlotTime updates the mean slot time of the priority. Attempts that did
// not run, such as refused ones, do not count, and neither do attempts that were
// running during a pause of the process.
func (s *Scheduler) recordSlotTime(a *attempt, reply port.UpstreamReply, elapsed time.Duration) {
	if reply.Ran == model.NotRun || a.paused {
		return
	}
	a.prio.meanSlotTime += slotTimeWeight * (elapsed.Seconds() - a.prio.meanSlotTime)
}

func (s *Scheduler) observeSuccess(a *attempt, elapsed time.Duration) {
	u := a.upstream
	if !a.paused {
		s.observeLatency(a, elapsed)
	}
	u.recordSuccess()
	u.statusReport.applySuccess(a.part.request.req.Snapshot)
	delete(u.missingSnapshots, a.part.request.req.Snapshot)
	s.markAlive(u)
}

// markAlive closes the breaker of an upstream that answered. If the breaker was
// open, the upstream may have been restarted, so it starts with a low
// concurrency limit again.
func (s *Scheduler) markAlive(u *upstream) {
	if u.breaker.recordSuccess() {
		u.resetRamp()
	}
}

// observeFailure records a failed attempt at the breaker of its upstream.
func (s *Scheduler) observeFailure(a *attempt, reply port.UpstreamReply, elapsed time.Duration) {
	b := &a.upstream.breaker
	probe := a.probe && b.probing
	weight := s.breakerWeight(a, reply, elapsed)
	switch {
	case weight > 0 && b.recordFailure(s.now, weight, probe, s.cfg.Rand):
		s.wakeAt(b.nextProbeAt)
	case weight == 0 && probe:
		b.abandonProbe(s.now)
		s.wakeAt(b.nextProbeAt)
	}
}

// breakerWeight returns the weight of a failed attempt for the breaker. A
// stopped attempt counts only if it ran far longer than usual. A broken
// connection ejects the upstream at once and counts only once for all attempts
// on it.
func (s *Scheduler) breakerWeight(a *attempt, reply port.UpstreamReply, elapsed time.Duration) float64 {
	switch {
	case a.detached && !connectionLost(a, reply):
		stuck := time.Duration(stuckFactor * float64(a.op.median))
		if a.paused || elapsed <= stuck {
			return 0
		}
		s.observeMinimumLatency(a, elapsed)
		return weightTimeout
	case a.upstreamCrashed:
		return 0
	case connectionLost(a, reply):
		return 1
	default:
		return failureWeight(reply.Code)
	}
}

// connectionLost reports whether the connection of an attempt broke for a
// reason other than the attempt's cancellation. Isolated attempts are never
// cancelled, so the loss of their connection always counts.
func connectionLost(a *attempt, reply port.UpstreamReply) bool {
	return (!a.detached || a.isolated) && (reply.ConnectionBroken || reply.Code == result.UpstreamLost)
}

// applyOutcome applies a reply to its part: it finishes the part, makes it wait
// for a retry, or leaves it to another attempt that is still running.
func (s *Scheduler) applyOutcome(a *attempt, reply port.UpstreamReply) {
	p := a.part
	p.removeRunning(a)
	a.detached = true
	p.runs.add(reply.Ran)
	switch {
	case reply.Code == result.OK:
		if a.hedge {
			s.count(CountHedgeWon, a.prio, "")
		}
		p.result = reply.Result
		s.finishPart(p, result.OK)
	case len(p.running) > 0:
		return
	case !s.requeueForRetry(p, reply, s.isRedirect(a, reply)):
		s.finishPart(p, reply.Code)
	}
	s.finishIfComplete(p.request)
}

// requeueForRetry makes a failed part wait for another attempt if one is
// allowed, and reports whether it did.
func (s *Scheduler) requeueForRetry(p *part, reply port.UpstreamReply, redirected bool) bool {
	if !s.retryable(p, reply) {
		return false
	}
	denied := ""
	if redirected {
		denied = s.takeRetryToken()
	} else {
		denied = s.retryDenied(p, reply)
	}
	if denied != "" {
		s.count(CountRetryDenied, p.request.prio, denied)
		return false
	}
	p.retry = true
	s.count(CountRetried, p.request.prio, reply.Code.String())
	s.enqueuePart(s.now, p)
	return true
}

// retryable reports whether another attempt is safe and may succeed.
func (s *Scheduler) retryable(p *part, reply port.UpstreamReply) bool {
	req := &p.request.req
	if req.NonIdempotent && p.runs.state() != model.NotRun {
		return false
	}
	badInput := reply.Code >= result.BadRequest && reply.Code < result.Overloaded
	if badInput || p.attempts >= maxAttempts {
		return false
	}
	return s.servable(p) && s.now.Add(p.request.op.median).Before(req.Deadline)
}

// retryDenied takes a retry from the budget and returns an empty string, or
// returns the name of the rule that forbids the retry. After a draining reply, a
// retry is a redirection to another replica and is allowed even while the
// priority sheds load.
func (s *Scheduler) retryDenied(p *part, reply port.UpstreamReply) string {
	if n := s.cfg.Overrides.FixedRetries; n != 0 {
		return fixedRetryDenied(p, n)
	}
	draining := reply.Draining || reply.Code == result.UpstreamDraining
	if !draining && s.shedsAtOrAbove(p.request.prio) {
		return "shedding"
	}
	return s.takeRetryToken()
}

// takeRetryToken takes a retry from the budget. It returns the name of the rule
// that forbids the retry if the budget is exhausted, or an empty string.
func (s *Scheduler) takeRetryToken() string {
	if !s.budgets.takeRetry() {
		return "budget"
	}
	return ""
}

// isRedirect reports whether the attempt was refused by an upstream that is not
// overloaded. A retry then only replaces the refused attempt and does not
// worsen an overload.
func (s *Scheduler) isRedirect(a *attempt, reply port.UpstreamReply) bool {
	return s.cfg.Overrides.FixedRetries == 0 && isShedCode(reply.Code) && reply.Ran == model.NotRun && !a.upstream.overloaded()
}

func isShedCode(c result.Code) bool {
	return c == result.UpstreamShed || c == result.ConcurrencyLimit || c == result.ConnectionLimit
}

// fixedRetryDenied returns the name of the rule that forbids a retry if the part
// has already used the retries that Overrides.FixedRetries allows, or an empty
// string. Every attempt after the first counts as a retry here, hedges included.
func fixedRetryDenied(p *part, retries int) string {
	if p.attempts > retries {
		return "fixed"
	}
	return ""
}

// shedsAtOrAbove reports whether the group has recently refused work of this
// priority or of a more urgent one for overload. Refusals of less urgent work
// do not count, because otherwise a flood of it would forbid the retries of
// urgent work.
func (s *Scheduler) shedsAtOrAbove(p *priority) bool {
	for _, q := range s.priorities {
		if s.shedRecently(q) {
			return true
		}
		if q == p {
			return false
		}
	}
	return false
}

// shedRecently reports whether the priority has recently refused work for
// overload.
func (s *Scheduler) shedRecently(p *priority) bool {
	return !p.shedAt.IsZero() && s.now.Sub(p.shedAt) < recentShedDuration
}
