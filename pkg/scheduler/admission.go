package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// minMargin and maxMargin bound the safety margin, the factor by which
	// expected times are multiplied.
	minMargin = 1.0
	maxMargin = 3.0
	// marginGrowth multiplies the safety margin when an admitted request is
	// late, and marginDecay when one is in time. With these values the margin
	// stays the same on average when one request in a hundred is late.
	marginGrowth = 1.05
	marginDecay  = 0.9995
	// admissionTargetFraction is the fraction of the latency target within
	// which a request must be expected to finish while there is a standing
	// queue. The rest of the target allows for the variation of waiting times.
	admissionTargetFraction = 0.6
	// unqueuedTimeFactor multiplies the time that a request needs without a
	// queue. While there is a standing queue, a request that is expected to
	// finish within the product is admitted even if that is beyond the fraction
	// of the latency target. Without this exception, a request with many shards
	// and a short target would always be refused.
	unqueuedTimeFactor = 1.25
	// minExpectedSlots keeps the expected waiting time finite for a priority
	// without a guaranteed share.
	minExpectedSlots = 0.25
	// minRetryDelay and maxRetryDelay bound the retry delay that a refusal
	// advises, before random jitter.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Submit admits a group request or refuses it at once.
func (s *Scheduler) Submit(now time.Time, req model.GroupRequest) []Action {
	s.beginStep(now)
	r, code := s.buildRequest(req)
	if code == result.OK {
		code = s.checkAdmission(r)
	}
	if code != result.OK {
		s.refuse(req, code)
		return s.finishStep()
	}
	s.admit(r)
	return s.finishStep()
}

// buildRequest validates the group request and builds the request with its
// parts.
func (s *Scheduler) buildRequest(req model.GroupRequest) (*request, result.Code) {
	index := s.cfg.Document.PriorityIndex(req.Priority)
	_, duplicate := s.acceptedIDs[req.ID]
	switch {
	case duplicate:
		return nil, result.DuplicateAttempt
	case !req.Deadline.After(s.now):
		return nil, result.DeadlineExceeded
	case index < 0:
		return nil, result.UnknownPriority
	case s.checkOperation(req) != result.OK:
		return nil, s.checkOperation(req)
	case len(req.Shards) == 0:
		return nil, result.BadRequest
	case req.NonIdempotent && len(req.Shards) != 1:
		return nil, result.OrderNeedsOneShard
	case s.blocked(req.Fingerprint):
		return nil, result.Quarantined
	}
	r := &request{
		req:  req,
		prio: s.priorities[index],
		op:   s.statsFor(req.Operation),
	}
	return r, s.buildParts(r)
}

// checkOperation refuses unknown operations. It also refuses non-idempotent
// operations in requests that are not marked as orders, because queries may be
// hedged and retried.
func (s *Scheduler) checkOperation(req model.GroupRequest) result.Code {
	o := s.cfg.Document.FindOperation(req.Operation)
	switch {
	case o == nil:
		return result.UnknownOperation
	case o.NonIdempotent && !req.NonIdempotent:
		return result.NotIdempotent
	default:
		return result.OK
	}
}

// buildParts creates one part per requested shard and refuses requests for
// shards that cannot be served from this group.
func (s *Scheduler) buildParts(r *request) result.Code {
	shards, ok := s.replicas[r.req.Snapshot]
	if !ok {
		return result.SnapshotMissing
	}
	seen := make(map[model.ShardID]bool, len(r.req.Shards))
	for _, id := range r.req.Shards {
		replicas, ok := shards[id]
		switch {
		case !ok:
			return result.UnknownShard
		case len(replicas) == 0:
			return result.StaleGroup
		case seen[id]:
			return result.BadRequest
		}
		seen[id] = true
		r.parts = append(r.parts, &part{request: r, shard: id, replicas: replicas})
	}
	r.waitingParts = len(r.parts)
	r.unfinishedParts = len(r.parts)
	return result.OK
}

// checkAdmission decides whether the request can be expected to reach its
// minimum useful coverage in time.
func (s *Scheduler) checkAdmission(r *request) result.Code {
	servable := 0
	for _, p := range r.parts {
		if s.servable(p) {
			servable++
		}
	}
	remaining := r.req.Deadline.Sub(s.now)
	switch {
	case servable == 0:
		return result.NoUpstream
	case servable < r.requiredShards():
		return result.CoverageUnreachable
	case remaining < r.op.median:
		return result.DeadlineTooShort
	}
	if !s.cfg.Overrides.NoAdmission && s.expectedTimeToCoverage(r) > s.admissionTimeLimit(r, remaining) {
		return result.Overloaded
	}
	return result.OK
}

// admissionTimeLimit returns the longest expected time to the minimum useful
// coverage with which the request is admitted. Without a standing queue that is
// the time to its deadline. With one it is a fraction of the latency target,
// but no less than a multiple of the time that the request needs without a
// queue, and never more than the time to its deadline.
func (s *Scheduler) admissionTimeLimit(r *request, remaining time.Duration) time.Duration {
	if !s.hasStandingQueue(r.prio) {
		return remaining
	}
	targetLimit := time.Duration(admissionTargetFraction * float64(r.prio.target))
	unqueuedTime := s.estimateWorkTime(r.prio, r.requiredShards()) + r.op.p95
	return min(remaining, max(targetLimit, time.Duration(unqueuedTimeFactor*float64(unqueuedTime))))
}

// estimateWorkTime estimates how long the slots of the priority need for the
// given number of shards, including the safety margin.
func (s *Scheduler) estimateWorkTime(p *priority, shards int) time.Duration {
	seconds := float64(shards) * p.meanSlotTime / s.expectedSlots(p) * p.margin
	return time.Duration(seconds * float64(time.Second))
}

// hasStandingQueue reports whether the priority has had waiting work for longer
// than its latency target, or has recently shed load. Such a queue is not a
// short burst: it adds latency to every request without raising throughput, so
// admission then uses the latency target instead of the deadline. A queue of
// less than one waiting shard per slot never counts as standing, so that slots
// do not idle.
func (s *Scheduler) hasStandingQueue(p *priority) bool {
	if p.target <= 0 || float64(p.waitingParts) < s.effectiveSlots() {
		return false
	}
	return s.now.Sub(p.waitingSince) > p.target || s.shedRecently(p)
}

func (s *Scheduler) admit(r *request) {
	s.lastSeq++
	r.seq = s.lastSeq
	s.requests[r.req.ID] = r
	s.acceptedIDs[r.req.ID] = r.req.Deadline
	r.prio.admitted++
	r.prio.enqueue(s.now, r)
	s.timers.add(timer{at: r.req.Deadline, request: r})
	if s.isolation.isSuspect(s.now, r.req.Fingerprint) {
		s.isolation.addPending(r)
	}
	s.failUnservableParts(r)
}

// refuse answers a request with a refusal and counts it. No attempt of the
// request was started.
func (s *Scheduler) refuse(req model.GroupRequest, code result.Code) {
	answer := model.GroupAnswer{ID: req.ID, Code: code, Snapshot: req.Snapshot}
	if i := s.cfg.Document.PriorityIndex(req.Priority); i >= 0 {
		p := s.priorities[i]
		p.refused++
		answer.QueueDelay = s.expectedWait(p)
		answer.RetryAfter = s.retryDelay(p, code)
		if code == result.Overloaded {
			p.shedAt = s.now
		}
		s.count(CountRefused, p, code.String())
	} else {
		s.count(CountRefused, nil, code.String())
	}
	s.emit(Done{Answer: answer})
}

// refuseUnstarted removes and refuses an admitted request that has had no
// attempt.
func (s *Scheduler) refuseUnstarted(r *request, code result.Code) {
	s.removeRequest(r)
	s.refuse(r.req, code)
}

// retryDelay returns the delay after which the sender should try again, or zero
// if a retry would not help.
func (s *Scheduler) retryDelay(p *priority, code result.Code) time.Duration {
	var delay time.Duration
	switch code {
	case result.Overloaded:
		delay = s.expectedWait(p) / 2
	case result.NoUpstream, result.CoverageUnreachable:
		delay = breakerMinOpenTime
	default:
		return 0
	}
	delay = min(max(delay, minRetryDelay), maxRetryDelay)
	return time.Duration(float64(delay) * (0.5 + s.cfg.Rand.Float64()))
}

// expectedSlots estimates how many slots the priority gets while it has work:
// its guaranteed share or the slots that the other priorities leave free,
// whichever is more. A less urgent priority counts with at most its share,
// because this priority goes first for the slots beyond that share.
func (s *Scheduler) expectedSlots(p *priority) float64 {
	capacity := s.effectiveSlots()
	freeSlots := capacity
	lessUrgent := false
	for _, other := range s.priorities {
		switch {
		case other == p:
			lessUrgent = true
		case lessUrgent:
			freeSlots -= min(other.meanInFlight, other.share*capacity)
		default:
			freeSlots -= other.meanInFlight
		}
	}
	return max(freeSlots, p.share*capacity, minExpectedSlots)
}

// expectedWait estimates how long a new request waits for its first attempt.
func (s *Scheduler) expectedWait(p *priority) time.Duration {
	return s.estimateWorkTime(p, p.waitingParts)
}

// expectedTimeToCoverage estimates the time until the request has its minimum
// useful coverage: the time that the slots of the priority need for the parts
// ahead of it and its own required parts, plus the 95th percentile of the
// operation's latency for the last attempt.
func (s *Scheduler) expectedTimeToCoverage(r *request) time.Duration {
	return s.estimateWorkTime(r.prio, r.prio.partsAheadOf(r)+r.requiredShards()) + r.op.p95
}

// partsAheadOf returns the number of waiting parts that will start before those
// of the new request. It counts all waiting parts of started requests and of the
// request's own caller. Because callers take turns, it counts for every other
// caller at most as many parts as the request's own caller will have waiting
// once the request is queued.
func (p *priority) partsAheadOf(r *request) int {
	queued := 0
	for _, q := range p.callers {
		queued += q.waitingParts
	}
	started := p.waitingParts - queued
	callerParts := 0
	if q := p.byCaller[r.req.Caller]; q != nil {
		callerParts = q.waitingParts
	}
	n := started + callerParts
	for _, q := range p.callers {
		if q.id != r.req.Caller {
			n += min(q.waitingParts, callerParts+len(r.parts))
		}
	}
	return n
}

// canFinishInTime reports whether a request that has had no attempt can still
// reach its minimum useful coverage by its deadline if it starts now.
func (s *Scheduler) canFinishInTime(r *request) bool {
	if s.cfg.Overrides.NoAdmission {
		return true
	}
	work := float64(r.requiredShards()) * r.prio.meanSlotTime
	expected := time.Duration(work / s.expectedSlots(r.prio) * float64(time.Second))
	return !s.now.Add(expected + r.op.median).After(r.req.Deadline)
}

// adjustMargin adapts the safety margin of the priority to whether an admitted
// request was late.
func (p *priority) adjustMargin(late bool) {
	if late {
		p.margin = min(p.margin*marginGrowth, maxMargin)
		return
	}
	p.margin = max(p.margin*marginDecay, minMargin)
}
