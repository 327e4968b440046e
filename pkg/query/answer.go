package query

import (
	"maps"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// GroupAnswered takes a home's answer to the part with the given id. Answers
// to unknown or closed parts are ignored.
func (s *Query) GroupAnswered(now time.Time, id model.AttemptID, a model.GroupAnswer) []Action {
	p, group := s.openPart(id)
	if p == nil {
		return nil
	}
	if a.ID != id || a.Code == result.OK && a.Snapshot != s.snapshot.ID {
		return s.GroupFailed(now, id, result.AnswerMismatch, model.RunUnknown)
	}
	if a.Code != result.OK {
		s.retryAfter = max(s.retryAfter, a.RetryAfter)
		return s.refused(now, group, p, a.Code)
	}
	p.open = false
	missingSnapshot := s.merge(p, a.Outcomes)
	var actions []Action
	if missingSnapshot {
		actions = append(actions, SnapshotMissing{Snapshot: s.snapshot.ID})
	}
	return append(actions, s.settle(now)...)
}

// GroupFailed reports that a part got no answer: its home could not be reached
// (model.NotRun) or was lost (model.RunUnknown).
func (s *Query) GroupFailed(now time.Time, id model.AttemptID, code result.Code, ran model.RunState) []Action {
	p, group := s.openPart(id)
	if p == nil {
		return nil
	}
	if ran != model.NotRun {
		s.ran = true
	}
	return s.resend(now, group, p, code)
}

// Expire answers with what has arrived. The driver calls it at Deadline; calls
// before that are ignored.
func (s *Query) Expire(now time.Time) []Action {
	if s.done || now.Before(s.deadline) {
		return nil
	}
	return s.closeOpen(result.NoAnswerInTime)
}

// CallerGone cancels all outstanding work.
func (s *Query) CallerGone() []Action {
	if s.done {
		return nil
	}
	return s.closeOpen(result.Cancelled)
}

func (s *Query) openPart(id model.AttemptID) (*part, int) {
	group, ok := s.byID[id]
	if !ok || s.done {
		return nil, 0
	}
	p := s.parts[group]
	if !p.open || p.request.ID != id {
		return nil, 0
	}
	return p, group
}

// refused handles a home's refusal, after which nothing of the part ran.
func (s *Query) refused(now time.Time, group int, p *part, code result.Code) []Action {
	switch code {
	case result.Leaving, result.JustResumed, result.NotReady, result.NotHomeCandidate, result.StaleGroup:
		return s.resend(now, group, p, code)
	case result.DuplicateAttempt:
		// The first copy of the message may have run.
		return s.GroupFailed(now, p.request.ID, code, model.RunUnknown)
	default:
		p.open = false
		s.markMissing(p, code, model.NotRun)
		return s.settle(now)
	}
}

// resend sends a part again, to the next home, while sends and time are left.
func (s *Query) resend(now time.Time, group int, p *part, code result.Code) []Action {
	if p.sends < maxSends && now.Before(s.deadline) {
		return []Action{s.send(group, p)}
	}
	p.open = false
	s.markMissing(p, code, model.NotRun)
	return s.settle(now)
}

// merge takes over the outcomes of the part's shards and reports whether any
// of them lacks the snapshot.
func (s *Query) merge(p *part, outcomes []model.ShardOutcome) bool {
	s.markMissing(p, result.NoAnswerInTime, model.RunUnknown)
	missingSnapshot := false
	for _, o := range outcomes {
		if _, wanted := s.outcomes[o.Shard]; !wanted {
			continue
		}
		s.outcomes[o.Shard] = o
		missingSnapshot = missingSnapshot || o.Code == result.SnapshotMissing
	}
	return missingSnapshot
}

// settle answers or restarts the query when its parts allow it.
func (s *Query) settle(now time.Time) []Action {
	if s.shouldRestart(now) {
		return s.restart(now)
	}
	open, reachable := 0, 0
	for _, p := range s.parts {
		if p.open {
			open++
			reachable += len(p.request.Shards)
		}
	}
	for _, o := range s.outcomes {
		if o.Code == result.OK {
			reachable++
		}
	}
	if open == 0 {
		return s.reply()
	}
	if reachable < s.least {
		// The rest of the work can't make the answer useful any more.
		return s.closeOpen(result.CoverageUnreachable)
	}
	return nil
}

func (s *Query) shouldRestart(now time.Time) bool {
	if s.restarts >= maxRestarts || now.Sub(s.started) > s.deadline.Sub(now) {
		return false
	}
	missing := 0
	for _, o := range s.outcomes {
		if o.Code == result.SnapshotMissing {
			missing++
		}
	}
	return float64(missing) >= restartFraction*float64(s.total)
}

// restart drops all parts and starts again whole on another snapshot, because
// results of two snapshots must never be merged.
func (s *Query) restart(now time.Time) []Action {
	actions := append(s.abortOpen(), Restarted{})
	for _, o := range s.outcomes {
		s.ran = s.ran || o.Ran != model.NotRun
	}
	s.restarts++
	previous := s.snapshot
	if d := s.cfg.Document(); d != nil && d.PriorityIndex(s.query.Priority) >= 0 {
		s.doc = d
	}
	next, err := s.start(now, s.pickSnapshot(previous))
	if err != nil {
		// A wanted shard does not exist in the other snapshot.
		s.total = len(s.query.Shards)
		for _, id := range s.query.Shards {
			s.outcomes[id] = model.ShardOutcome{Shard: id, Code: result.CodeOf(err), Ran: model.RunUnknown}
		}
		s.total = len(s.outcomes)
		return append(actions, s.reply()...)
	}
	return append(actions, next...)
}

func (s *Query) abortOpen() []Action {
	var actions []Action
	for _, p := range s.orderedParts() {
		if p.open {
			p.open = false
			s.ran = true
			actions = append(actions, Abort{ID: p.request.ID})
		}
	}
	return actions
}

// orderedParts returns the parts in order of their groups, so that the same
// calls give the same actions.
func (s *Query) orderedParts() []*part {
	out := make([]*part, 0, len(s.parts))
	for _, group := range slices.Sorted(maps.Keys(s.parts)) {
		out = append(out, s.parts[group])
	}
	return out
}

// closeOpen cancels the open parts with the given reason and answers.
func (s *Query) closeOpen(code result.Code) []Action {
	var actions []Action
	for _, p := range s.orderedParts() {
		if !p.open {
			continue
		}
		p.open = false
		s.markMissing(p, code, model.RunUnknown)
		actions = append(actions, Abort{ID: p.request.ID})
	}
	return append(actions, s.reply()...)
}

// answer merges the outcomes in shard order of the snapshot.
func (s *Query) answer() model.Answer {
	a := model.Answer{
		Snapshot: s.snapshot.ID,
		Revision: s.doc.Revision,
		Coverage: model.Coverage{Total: s.total},
	}
	ran := s.ran
	for _, id := range s.outcomeOrder() {
		o := s.outcomes[id]
		ran = ran || o.Ran != model.NotRun
		if o.Code == result.OK {
			a.Results = append(a.Results, o)
			a.Coverage.Answered++
			continue
		}
		a.Coverage.Missing = append(a.Coverage.Missing, model.MissingShard{Shard: id, Reason: o.Code})
	}
	a.Code, a.Ran = s.summary(a.Coverage, ran)
	if a.Ran == model.NotRun {
		a.RetryAfter = s.retryAfter
	}
	return a
}

func (s *Query) outcomeOrder() []model.ShardID {
	order := make([]model.ShardID, 0, len(s.outcomes))
	listed := make(map[model.ShardID]bool, len(s.outcomes))
	add := func(id model.ShardID) {
		if _, ok := s.outcomes[id]; ok && !listed[id] {
			listed[id] = true
			order = append(order, id)
		}
	}
	for _, sh := range s.snapshot.Shards {
		add(sh.ID)
	}
	for _, id := range s.query.Shards {
		add(id)
	}
	return order
}

// summary chooses the answer's result code and run state.
func (s *Query) summary(c model.Coverage, ran bool) (result.Code, model.RunState) {
	switch {
	case c.Total > 0 && c.Answered == c.Total:
		return result.OK, model.Ran
	case c.Answered > 0 && c.Answered >= s.least:
		return result.PartialAnswer, model.Ran
	case c.Answered > 0:
		return failureCode(c), model.Ran
	case ran:
		return failureCode(c), model.RunUnknown
	case len(c.Missing) > 0:
		return refusalCode(c), model.NotRun
	default:
		return result.Internal, model.RunUnknown
	}
}

// failureCode returns the code of an answer below its least useful coverage
// after some of the work may have run.
func failureCode(c model.Coverage) result.Code {
	code := result.CoverageTooLow
	for _, m := range c.Missing {
		switch m.Reason {
		case result.NoAnswerInTime, result.DeadlineExceeded:
			return result.NoAnswerInTime
		case result.UpstreamFailed, result.UpstreamLost:
			code = result.UpstreamFailed
		}
	}
	return code
}

// refusalCode returns the reason given for the most shards.
func refusalCode(c model.Coverage) result.Code {
	counts := make(map[result.Code]int)
	best := c.Missing[0].Reason
	for _, m := range c.Missing {
		counts[m.Reason]++
		if counts[m.Reason] > counts[best] {
			best = m.Reason
		}
	}
	return best
}

// checkAnswer returns the name of an invariant that the answer breaks, or "".
func checkAnswer(a model.Answer, pinned model.SnapshotID, total int) string {
	switch {
	case a.Snapshot != pinned:
		return "answer_snapshot_is_pinned"
	case a.Coverage.Total != total || a.Coverage.Answered+len(a.Coverage.Missing) != total:
		return "coverage_adds_up"
	case a.Coverage.Answered != len(a.Results):
		return "coverage_counts_results"
	case a.Ran == model.NotRun && a.Coverage.Answered > 0:
		return "not_run_has_no_results"
	default:
		return ""
	}
}
