package scheduler

import (
	"slices"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// endReason is the reason for which a request ends before all of its shards
// have an outcome. It holds the result codes of the shards without an outcome:
// one for shards that did not run and one for shards that may have run.
type endReason struct{ notRunCode, mayHaveRunCode result.Code }

var (
	endDeadline        = endReason{result.DeadlineExceeded, result.NoAnswerInTime}
	endCancelled       = endReason{result.Cancelled, result.CancelledWhileRun}
	endQuarantined     = endReason{result.Quarantined, result.UpstreamLost}
	endPriorityRemoved = endReason{result.UnknownPriority, result.CancelledWhileRun}
)

// endRequest ends an admitted request before all of its shards have an outcome,
// and answers it.
func (s *Scheduler) endRequest(r *request, reason endReason) {
	if r.done {
		return
	}
	if reason == endDeadline {
		r.prio.adjustMargin(r.succeededShards() < r.requiredShards())
	}
	if !r.started {
		s.refuseUnstarted(r, reason.notRunCode)
		return
	}
	for _, p := range r.parts {
		if p.state == partFinished {
			continue
		}
		s.stopAttempts(p)
		code := reason.mayHaveRunCode
		if p.runs.state() == model.NotRun {
			code = reason.notRunCode
		}
		s.finishPart(p, code)
	}
	s.finishIfComplete(r)
}

// stopAttempts detaches the part from its running attempts and stops them;
// their run state is unknown. Isolated attempts are detached but not stopped,
// because a stopped one shows neither that its request is harmless nor that it
// crashes upstreams.
func (s *Scheduler) stopAttempts(p *part) {
	for _, a := range p.running {
		a.detached = true
		p.runs.add(model.RunUnknown)
		if !a.isolated {
			s.emit(Stop{Attempt: a.id})
		}
	}
	p.running = nil
}

// finishPart records the outcome of a part and stops its remaining attempts.
func (s *Scheduler) finishPart(p *part, code result.Code) {
	if p.state == partFinished {
		s.reportViolation("second outcome of a shard")
		return
	}
	s.stopAttempts(p)
	if p.state == partWaiting {
		s.dequeuePart(p)
	}
	p.state = partFinished
	p.code = code
	p.request.unfinishedParts--
	if code != result.OK {
		s.count(CountShardFailed, p.request.prio, code.String())
	}
}

// finishIfComplete answers a request once all of its shards have an outcome.
func (s *Scheduler) finishIfComplete(r *request) {
	if r.done || r.unfinishedParts > 0 {
		return
	}
	if !r.started {
		s.refuseUnstarted(r, r.parts[0].code)
		return
	}
	if r.succeededShards() >= r.requiredShards() {
		r.prio.adjustMargin(false)
	}
	s.removeRequest(r)
	s.emit(Done{Answer: s.buildAnswer(r)})
}

func (s *Scheduler) buildAnswer(r *request) model.GroupAnswer {
	outcomes := make([]model.ShardOutcome, 0, len(r.parts))
	for _, p := range r.parts {
		outcomes = append(outcomes, model.ShardOutcome{
			Shard:  p.shard,
			Code:   p.code,
			Ran:    p.runs.state(),
			Result: p.result,
		})
	}
	return model.GroupAnswer{
		ID:         r.req.ID,
		Code:       result.OK,
		Snapshot:   r.req.Snapshot,
		Outcomes:   outcomes,
		QueueDelay: s.expectedWait(r.prio),
	}
}

// succeededShards returns the number of shards with a result.
func (r *request) succeededShards() int {
	n := 0
	for _, p := range r.parts {
		if p.code == result.OK {
			n++
		}
	}
	return n
}

// removeRequest marks a request as done and removes it from all queues.
func (s *Scheduler) removeRequest(r *request) {
	if r.done {
		s.reportViolation("second answer to a request")
	}
	r.done = true
	for _, p := range r.parts {
		if p.state == partWaiting {
			s.dequeuePart(p)
			p.state = partFinished
		}
	}
	r.prio.removeFromQueue(r, false)
	r.prio.deactivate(r)
	if r.isolated {
		i := slices.Index(s.isolation.pending, r)
		s.isolation.pending = slices.Delete(s.isolation.pending, i, i+1)
	}
	delete(s.requests, r.req.ID)
}
