package scheduler

import (
	"slices"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// ending is the reason for which a request ends before all of its shards have
// an outcome. Waiting is the code of shards that did not run and running that
// of shards that may have run.
type ending struct{ waiting, running result.Code }

var (
	endDeadline    = ending{result.DeadlineExceeded, result.NoAnswerInTime}
	endCancelled   = ending{result.Cancelled, result.CancelledWhileRun}
	endQuarantined = ending{result.Quarantined, result.UpstreamLost}
	endRemoved     = ending{result.UnknownPriority, result.CancelledWhileRun}
)

// endRequest ends a request now.
func (s *Scheduler) endRequest(r *request, why ending) {
	if r.done {
		return
	}
	if why == endDeadline {
		r.prio.learnMargin(r.answered() < r.need())
	}
	if !r.started {
		s.refuseQueued(r, why.waiting)
		return
	}
	for _, p := range r.parts {
		if p.state == partFinished {
			continue
		}
		s.detachAll(p)
		code := why.running
		if p.ran.state() == model.NotRun {
			code = why.waiting
		}
		s.finishPart(p, code)
	}
	s.finishIfComplete(r)
}

// detachAll stops the running attempts of a part. They may have run. Isolated
// attempts go on, because a stopped one shows neither that its request is
// harmless nor that it crashes upstreams.
func (s *Scheduler) detachAll(p *part) {
	for _, a := range p.running {
		a.detached = true
		p.ran.add(model.RunUnknown)
		if !a.alone {
			s.emit(Stop{Attempt: a.id})
		}
	}
	p.running = nil
}

// finishPart gives a part its outcome.
func (s *Scheduler) finishPart(p *part, code result.Code) {
	if p.state == partFinished {
		s.broken("second outcome of a shard")
		return
	}
	s.detachAll(p)
	if p.state == partWaiting {
		s.removePart(p)
	}
	p.state = partFinished
	p.code = code
	p.request.open--
	if code != result.OK {
		s.count(CountShardFailed, p.request.prio, code.String())
	}
}

// finishIfComplete answers a request whose shards all have an outcome.
func (s *Scheduler) finishIfComplete(r *request) {
	if r.done || r.open > 0 {
		return
	}
	if !r.started {
		s.refuseQueued(r, r.parts[0].code)
		return
	}
	if r.answered() >= r.need() {
		r.prio.learnMargin(false)
	}
	s.drop(r)
	s.emit(Done{Answer: s.answer(r)})
}

func (s *Scheduler) answer(r *request) model.GroupAnswer {
	outcomes := make([]model.ShardOutcome, 0, len(r.parts))
	for _, p := range r.parts {
		outcomes = append(outcomes, model.ShardOutcome{
			Shard:  p.shard,
			Code:   p.code,
			Ran:    p.ran.state(),
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

// answered returns the number of shards with a result.
func (r *request) answered() int {
	n := 0
	for _, p := range r.parts {
		if p.code == result.OK {
			n++
		}
	}
	return n
}

// drop removes a request from all queues.
func (s *Scheduler) drop(r *request) {
	if r.done {
		s.broken("second answer to a request")
	}
	r.done = true
	for _, p := range r.parts {
		if p.state == partWaiting {
			s.removePart(p)
			p.state = partFinished
		}
	}
	r.prio.leaveQueue(r, false)
	r.prio.deactivate(r)
	if r.isolated {
		i := slices.Index(s.isolation.pending, r)
		s.isolation.pending = slices.Delete(s.isolation.pending, i, i+1)
	}
	delete(s.requests, r.req.ID)
}
