package replay

import (
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// homeAnswerCheck verifies the answers of homes: each result in them is one that
// an upstream returned with the id, the shard and the snapshot of the attempt.
type homeAnswerCheck struct {
	*verdictSet
	homes map[string]*homeState
}

// homeState is the state of one home's scheduler, derived from its lines.
type homeState struct {
	requests        map[model.AttemptID]model.GroupRequest
	started         map[model.AttemptID]port.UpstreamCall
	matchingResults map[homeResult]bool
	// wrongAttemptResults holds the results of replies whose attempt id or shard
	// differs from that of the attempt, and wrongSnapshotResults the results of
	// replies whose snapshot differs.
	wrongAttemptResults  map[homeResult]bool
	wrongSnapshotResults map[homeResult]bool
}

// homeResult is a result that an upstream returned, with the shard and snapshot of
// the attempt.
type homeResult struct {
	shard    model.ShardID
	snapshot model.SnapshotID
	result   string
}

func newHomeAnswerCheck(verdicts *verdictSet) *homeAnswerCheck {
	return &homeAnswerCheck{verdictSet: verdicts, homes: make(map[string]*homeState)}
}

func (c *homeAnswerCheck) finish() {}

func (c *homeAnswerCheck) observe(l line, out any) error {
	if l.Component != componentScheduler {
		return nil
	}
	s := c.homes[l.objectKey()]
	if s == nil {
		s = &homeState{
			requests:             make(map[model.AttemptID]model.GroupRequest),
			started:              make(map[model.AttemptID]port.UpstreamCall),
			matchingResults:      make(map[homeResult]bool),
			wrongAttemptResults:  make(map[homeResult]bool),
			wrongSnapshotResults: make(map[homeResult]bool),
		}
		c.homes[l.objectKey()] = s
	}
	if err := s.observeInput(l); err != nil {
		return err
	}
	for _, a := range actionsOf[scheduler.Start](out) {
		s.started[a.Call.Attempt] = a.Call
	}
	for _, a := range actionsOf[scheduler.Done](out) {
		c.checkAnswer(l, s, a.Answer)
	}
	return nil
}

// schedulerArgs decodes the arguments of a line with a scheduler's call.
func schedulerArgs[T any](l line) (T, error) {
	var none T
	wrapped, err := decode[argsWithQuarantine](l.Args)
	if err != nil {
		return none, err
	}
	return decode[T](wrapped.Args)
}

func (s *homeState) observeInput(l line) error {
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
		s.classifyReply(a)
	}
	return nil
}

func (s *homeState) classifyReply(a finishArgs) {
	call, r := s.started[a.Attempt], a.Reply
	if r.Code != result.OK {
		return
	}
	key := homeResult{shard: call.Shard, snapshot: call.Snapshot, result: string(r.Result)}
	switch {
	case r.Attempt != a.Attempt || r.Shard != call.Shard:
		s.wrongAttemptResults[key] = true
	case r.Snapshot != call.Snapshot:
		s.wrongSnapshotResults[key] = true
	default:
		s.matchingResults[key] = true
	}
}

func (c *homeAnswerCheck) checkAnswer(l line, s *homeState, a model.GroupAnswer) {
	r, known := s.requests[a.ID]
	if !known {
		return
	}
	for _, o := range a.Outcomes {
		if o.Code != result.OK {
			continue
		}
		key := homeResult{shard: o.Shard, snapshot: r.Snapshot, result: string(o.Result)}
		ok := s.matchingResults[key]
		c.verdictSet.count(PromiseSnapshot, ok || !s.wrongSnapshotResults[key], "%s: request %s took a result of another snapshot for %s", l.Key, a.ID, o.Shard)
		c.verdictSet.count(PromiseOwnAnswer, ok || s.wrongSnapshotResults[key], "%s: request %s took a reply to another attempt for %s", l.Key, a.ID, o.Shard)
	}
}
