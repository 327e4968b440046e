package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// minMargin and maxMargin bound the factor on expected times.
	minMargin = 1.0
	maxMargin = 3.0
	// marginGrowth and marginDecay change the margin when admitted work is
	// late and when it is in time. Their ratio aims at one late in a hundred.
	marginGrowth = 1.05
	marginDecay  = 0.9995
	// targetFraction of the target is what admission aims at while the queue
	// stands; the rest is for the variation of waits.
	targetFraction = 0.6
	// ownFactor times the time that a request needs without a queue is the
	// least limit for requests that are large for their target.
	ownFactor = 1.25
	// leastSlots keeps expected waits finite for a priority without share.
	leastSlots = 0.25
	// minRetryDelay and maxRetryDelay bound the delay advised with a refusal.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Submit admits a group request or refuses it at once.
func (s *Scheduler) Submit(now time.Time, req model.GroupRequest) []Action {
	s.begin(now)
	r, code := s.prepare(req)
	if code == result.OK {
		code = s.admissible(r)
	}
	if code != result.OK {
		s.refuse(req, code)
		return s.finishStep()
	}
	s.admit(r)
	return s.finishStep()
}

// prepare checks the request and builds its parts.
func (s *Scheduler) prepare(req model.GroupRequest) (*request, result.Code) {
	index := s.cfg.Document.PriorityIndex(req.Priority)
	_, seen := s.seen[req.ID]
	switch {
	case seen:
		return nil, result.DuplicateAttempt
	case !req.Deadline.After(s.now):
		return nil, result.DeadlineExceeded
	case index < 0:
		return nil, result.UnknownPriority
	case s.operationCode(req) != result.OK:
		return nil, s.operationCode(req)
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
		op:   s.operationFor(req.Operation),
	}
	return r, s.buildParts(r)
}

// operationCode refuses unknown operations, and non-idempotent ones that are
// not marked as orders and would be repeated like queries.
func (s *Scheduler) operationCode(req model.GroupRequest) result.Code {
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

// buildParts creates one part per shard.
func (s *Scheduler) buildParts(r *request) result.Code {
	shards, ok := s.replicas[r.req.Snapshot]
	if !ok {
		return result.SnapshotMissing
	}
	known := make(map[model.ShardID]bool, len(r.req.Shards))
	for _, id := range r.req.Shards {
		replicas, ok := shards[id]
		switch {
		case !ok:
			return result.UnknownShard
		case len(replicas) == 0:
			return result.StaleGroup
		case known[id]:
			return result.BadRequest
		}
		known[id] = true
		r.parts = append(r.parts, &part{request: r, shard: id, replicas: replicas})
	}
	r.waiting = len(r.parts)
	r.open = len(r.parts)
	return result.OK
}

// admissible decides whether the request can be of use by its deadline.
func (s *Scheduler) admissible(r *request) result.Code {
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
	case servable < r.need():
		return result.CoverageUnreachable
	case remaining < r.op.median:
		return result.DeadlineTooShort
	}
	if !s.cfg.Overrides.NoAdmission && s.expectedFinish(r) > s.timeLimit(r, remaining) {
		return result.Overloaded
	}
	return result.OK
}

// timeLimit returns the expected time to the minimum useful coverage up to
// which the request is admitted. In a standing queue it is a part of the
// target, but not less than what the request needs without a queue.
func (s *Scheduler) timeLimit(r *request, remaining time.Duration) time.Duration {
	if !s.standingQueue(r.prio) {
		return remaining
	}
	aim := time.Duration(targetFraction * float64(r.prio.target))
	own := s.timeFor(r.prio, r.need()) + r.op.p95
	return min(remaining, max(aim, time.Duration(ownFactor*float64(own))))
}

// timeFor estimates how long the priority's slots work on the shards.
func (s *Scheduler) timeFor(p *priority, shards int) time.Duration {
	seconds := float64(shards) * p.cost / s.slotsFor(p) * p.margin
	return time.Duration(seconds * float64(time.Second))
}

// standingQueue reports whether the priority has had waiting work for longer
// than its target, or has lately shed load. Then the queue is not a burst but
// costs every request latency without serving more, so that admission aims at
// the target instead of the deadline. One waiting shard per slot is always
// allowed, so that slots do not idle.
func (s *Scheduler) standingQueue(p *priority) bool {
	if p.target <= 0 || float64(p.waitingParts) < s.effectiveSlots() {
		return false
	}
	return s.now.Sub(p.waitingSince) > p.target || s.sheds(p)
}

func (s *Scheduler) admit(r *request) {
	s.nextSeq++
	r.seq = s.nextSeq
	s.requests[r.req.ID] = r
	s.seen[r.req.ID] = r.req.Deadline
	r.prio.admitted++
	r.prio.enqueue(s.now, r)
	s.timers.add(timer{at: r.req.Deadline, request: r})
	if s.isolation.suspect(s.now, r.req.Fingerprint) {
		s.isolation.add(r)
	}
	s.failUnservableParts(r)
}

// refuse answers a request that was not admitted.
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

// refuseQueued answers an admitted request of which nothing was started.
func (s *Scheduler) refuseQueued(r *request, code result.Code) {
	s.drop(r)
	s.refuse(r.req, code)
}

// retryDelay advises when to send again; zero means that it does not help.
func (s *Scheduler) retryDelay(p *priority, code result.Code) time.Duration {
	var delay time.Duration
	switch code {
	case result.Overloaded:
		delay = s.expectedWait(p) / 2
	case result.NoUpstream, result.CoverageUnreachable:
		delay = breakerBase
	default:
		return 0
	}
	delay = min(max(delay, minRetryDelay), maxRetryDelay)
	return time.Duration(float64(delay) * (0.5 + s.cfg.Rand.Float64()))
}

// slotsFor estimates the slots that the priority gets while it has work: its
// share, or what the others leave. Less urgent priorities are counted with at
// most their share, because the rest of their use gives way.
func (s *Scheduler) slotsFor(p *priority) float64 {
	capacity := s.effectiveSlots()
	left := capacity
	lessUrgent := false
	for _, other := range s.priorities {
		switch {
		case other == p:
			lessUrgent = true
		case lessUrgent:
			left -= min(other.usage, other.share*capacity)
		default:
			left -= other.usage
		}
	}
	return max(left, p.share*capacity, leastSlots)
}

// expectedWait estimates the wait of a new request until its first start.
func (s *Scheduler) expectedWait(p *priority) time.Duration {
	return s.timeFor(p, p.waitingParts)
}

// expectedFinish estimates the time until the request has its minimum useful
// coverage: the work ahead of it and its own at the priority's slots, and the
// duration of the last attempt.
func (s *Scheduler) expectedFinish(r *request) time.Duration {
	return s.timeFor(r.prio, r.prio.ahead(r)+r.need()) + r.op.p95
}

// ahead returns the number of parts that start before the request: those of
// started requests and, by round robin, of each caller at most as many as the
// request's own caller has waiting, including the request.
func (p *priority) ahead(r *request) int {
	queued := 0
	for _, q := range p.callers {
		queued += q.parts
	}
	started := p.waitingParts - queued
	own := 0
	if q := p.byCaller[r.req.Caller]; q != nil {
		own = q.parts
	}
	n := started + own
	for _, q := range p.callers {
		if q.id != r.req.Caller {
			n += min(q.parts, own+len(r.parts))
		}
	}
	return n
}

// feasible reports whether a request that was not started can still reach its
// minimum useful coverage if it is started now.
func (s *Scheduler) feasible(r *request) bool {
	if s.cfg.Overrides.NoAdmission {
		return true
	}
	work := float64(r.need()) * r.prio.cost
	expected := time.Duration(work / s.slotsFor(r.prio) * float64(time.Second))
	return !s.now.Add(expected + r.op.median).After(r.req.Deadline)
}

// learnMargin adapts the margin to whether admitted work was in time.
func (p *priority) learnMargin(late bool) {
	if late {
		p.margin = min(p.margin*marginGrowth, maxMargin)
		return
	}
	p.margin = max(p.margin*marginDecay, minMargin)
}
