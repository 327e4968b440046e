package replay

import (
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// replyCheck verifies the answers of homes: each result is one that an upstream
// returned with the id, the shard and the snapshot of the attempt.
type replyCheck struct {
	*judge
	homes map[string]*homeState
}

// homeState is what the lines of one scheduler show.
type homeState struct {
	requests map[model.AttemptID]model.GroupRequest
	started  map[model.AttemptID]port.UpstreamCall
	good     map[replyKey]bool
	// mixed holds replies with another id or shard, and other those of another
	// snapshot.
	mixed map[replyKey]bool
	other map[replyKey]bool
}

// replyKey is a result as an upstream returned it.
type replyKey struct {
	shard    model.ShardID
	snapshot model.SnapshotID
	text     string
}

func newReplyCheck(j *judge) *replyCheck {
	return &replyCheck{judge: j, homes: make(map[string]*homeState)}
}

func (c *replyCheck) end() {}

func (c *replyCheck) see(l line, out any) error {
	if l.Component != componentScheduler {
		return nil
	}
	s := c.homes[l.object()]
	if s == nil {
		s = &homeState{
			requests: make(map[model.AttemptID]model.GroupRequest),
			started:  make(map[model.AttemptID]port.UpstreamCall),
			good:     make(map[replyKey]bool),
			mixed:    make(map[replyKey]bool),
			other:    make(map[replyKey]bool),
		}
		c.homes[l.object()] = s
	}
	if err := s.input(l); err != nil {
		return err
	}
	for _, a := range actionsOf[scheduler.Start](out) {
		s.started[a.Call.Attempt] = a.Call
	}
	for _, a := range actionsOf[scheduler.Done](out) {
		c.done(l, s, a.Answer)
	}
	return nil
}

// schedulerArgs decodes the arguments of a scheduler's call.
func schedulerArgs[T any](l line) (T, error) {
	var none T
	w, err := decode[withBlocked](l.Args)
	if err != nil {
		return none, err
	}
	return decode[T](w.Args)
}

func (s *homeState) input(l line) error {
	switch l.Call {
	case "submit":
		r, err := schedulerArgs[model.GroupRequest](l)
		if err != nil {
			return err
		}
		if _, known := s.requests[r.ID]; !known {
			s.requests[r.ID] = r
		}
	case "finish":
		a, err := schedulerArgs[finishArgs](l)
		if err != nil {
			return err
		}
		s.reply(a)
	}
	return nil
}

func (s *homeState) reply(a finishArgs) {
	call, r := s.started[a.Attempt], a.Reply
	if r.Code != result.OK {
		return
	}
	key := replyKey{shard: call.Shard, snapshot: call.Snapshot, text: string(r.Result)}
	switch {
	case r.Attempt != a.Attempt || r.Shard != call.Shard:
		s.mixed[key] = true
	case r.Snapshot != call.Snapshot:
		s.other[key] = true
	default:
		s.good[key] = true
	}
}

func (c *replyCheck) done(l line, s *homeState, a model.GroupAnswer) {
	r, known := s.requests[a.ID]
	if !known {
		return
	}
	for _, o := range a.Outcomes {
		if o.Code != result.OK {
			continue
		}
		key := replyKey{shard: o.Shard, snapshot: r.Snapshot, text: string(o.Result)}
		ok := s.good[key]
		c.judge.judge(PromiseSnapshot, ok || !s.other[key], "%s: request %s took a result of another snapshot for %s", l.Key, a.ID, o.Shard)
		c.judge.judge(PromiseOwnAnswer, ok || s.other[key], "%s: request %s took a reply to another attempt for %s", l.Key, a.ID, o.Shard)
	}
}
