package scheduler

import (
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// baseline is a simple policy to compare with: one FIFO queue of shards without
// admission, priorities, hedges or retries. With roundRobin a shard is bound
// to the next of its replicas when it is submitted; otherwise it takes the
// replica with the fewest attempts in flight when a slot is free.
type baseline struct {
	cfg        Config
	roundRobin bool
	turn       int
	queue      []*baselineShard
	requests   []*baselineRequest
	attempts   map[model.AttemptID]*baselineShard
	inFlight   map[string]int
	earliest   time.Time
	out        []Action
}

type baselineRequest struct {
	req    model.GroupRequest
	answer model.GroupAnswer
	open   int
	done   bool
}

type baselineShard struct {
	request  *baselineRequest
	index    int
	replicas []string
	upstream string
}

func newBaseline(cfg Config, roundRobin bool) *baseline {
	return &baseline{
		cfg:        cfg,
		roundRobin: roundRobin,
		attempts:   make(map[model.AttemptID]*baselineShard),
		inFlight:   make(map[string]int),
	}
}

func (r *baseline) Submit(now time.Time, req model.GroupRequest) []Action {
	q := &baselineRequest{req: req, open: len(req.Shards)}
	q.answer = model.GroupAnswer{ID: req.ID, Code: result.OK}
	r.requests = append(r.requests, q)
	r.follow(q)
	for i, id := range req.Shards {
		q.answer.Outcomes = append(q.answer.Outcomes, model.ShardOutcome{Shard: id, Code: result.NoAnswerInTime})
		for _, sh := range r.cfg.Document.Snapshots[0].Shards {
			if sh.ID == id {
				r.queue = append(r.queue, r.bind(&baselineShard{request: q, index: i, replicas: sh.Replicas}))
			}
		}
	}
	return r.Tick(now)
}

func (r *baseline) bind(s *baselineShard) *baselineShard {
	if r.roundRobin {
		r.turn++
		s.replicas = s.replicas[r.turn%len(s.replicas):][:1]
	}
	return s
}

func (r *baseline) Finish(now time.Time, id model.AttemptID, reply port.UpstreamReply) []Action {
	s := r.attempts[id]
	delete(r.attempts, id)
	r.inFlight[s.upstream]--
	q := s.request
	q.open--
	q.answer.Outcomes[s.index].Code = reply.Code
	q.answer.Outcomes[s.index].Ran = reply.Ran
	q.answer.Outcomes[s.index].Result = reply.Result
	if q.open == 0 {
		r.end(q)
	}
	return r.Tick(now)
}

func (r *baseline) end(q *baselineRequest) {
	if !q.done {
		q.done = true
		r.out = append(r.out, Done{Answer: q.answer})
	}
}

func (r *baseline) Tick(now time.Time) []Action {
	if next, ok := r.NextWake(); ok && !next.After(now) {
		r.expire(now)
	}
	if !r.full() {
		r.queue = slices.DeleteFunc(r.queue, func(s *baselineShard) bool { return s.request.done || r.start(s) })
	}
	out := r.out
	r.out = nil
	return out
}

// expire ends the requests whose deadline has passed.
func (r *baseline) expire(now time.Time) {
	for _, q := range r.requests {
		if !q.req.Deadline.After(now) {
			r.end(q)
		}
	}
	r.requests = slices.DeleteFunc(r.requests, func(q *baselineRequest) bool { return q.done })
	r.earliest = time.Time{}
	for _, q := range r.requests {
		r.follow(q)
	}
	for id, s := range r.attempts {
		if s.request.done {
			r.out = append(r.out, Stop{Attempt: id})
		}
	}
}

func (r *baseline) full() bool {
	for _, u := range r.cfg.Group.Upstreams {
		if r.inFlight[u.Name] < u.Slots {
			return false
		}
	}
	return true
}

func (r *baseline) start(s *baselineShard) bool {
	name := ""
	for _, n := range s.replicas {
		if r.inFlight[n] < 3 && (name == "" || r.inFlight[n] < r.inFlight[name]) {
			name = n
		}
	}
	if name == "" {
		return false
	}
	id := r.cfg.NewID()
	s.upstream = name
	r.inFlight[name]++
	r.attempts[id] = s
	req := &s.request.req
	r.out = append(r.out, Start{Call: port.UpstreamCall{
		Attempt: id, Upstream: name, Snapshot: req.Snapshot,
		Shard: req.Shards[s.index], Payload: req.Payload, Deadline: req.Deadline,
	}})
	return true
}

func (r *baseline) NextWake() (time.Time, bool) { return r.earliest, !r.earliest.IsZero() }

// follow keeps the earliest deadline.
func (r *baseline) follow(q *baselineRequest) {
	if r.earliest.IsZero() || q.req.Deadline.Before(r.earliest) {
		r.earliest = q.req.Deadline
	}
}
