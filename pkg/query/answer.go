package query

import (
	"maps"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// GroupAnswered handles a home's answer to the part of the query that was sent
// with the given attempt id. It ignores answers to unknown attempts and to
// parts that are no longer open.
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
		return s.handleRefusal(now, group, p, a.Code)
	}
	p.open = false
	missingSnapshot := s.mergeOutcomes(p, a.Outcomes)
	var actions []Action
	if missingSnapshot {
		actions = append(actions, SnapshotMissing{Snapshot: s.snapshot.ID})
	}
	return append(actions, s.completeOrRestart(now)...)
}

// GroupFailed handles a part that got no answer, because its home could not be
// reached (ran is model.NotRun) or was lost while the part was outstanding (ran
// is model.RunUnknown).
func (s *Query) GroupFailed(now time.Time, id model.AttemptID, code result.Code, ran model.RunState) []Action {
	p, group := s.openPart(id)
	if p == nil {
		return nil
	}
	if ran != model.NotRun {
		s.mayHaveRun = true
	}
	return s.resend(now, group, p, code)
}

// Expire answers the query with the results received so far. The driver calls
// it at the time that Deadline returns; earlier calls are ignored.
func (s *Query) Expire(now time.Time) []Action {
	if s.done || now.Before(s.deadline) {
		return nil
	}
	return s.abortAndReply(result.NoAnswerInTime)
}

// CallerGone handles a caller that no longer waits for the answer: it cancels
// all outstanding parts and ends the query.
func (s *Query) CallerGone() []Action {
	if s.done {
		return nil
	}
	return s.abortAndReply(result.Cancelled)
}

func (s *Query) openPart(id model.AttemptID) (*part, int) {
	group, ok := s.groupByAttempt[id]
	if !ok || s.done {
		return nil, 0
	}
	p := s.parts[group]
	if !p.open || p.request.ID != id {
		return nil, 0
	}
	return p, group
}

// handleRefusal handles a home's refusal of a part. Nothing of a refused
// message ran.
func (s *Query) handleRefusal(now time.Time, group int, p *part, code result.Code) []Action {
	switch code {
	case result.Leaving, result.JustResumed, result.NotReady, result.NotHomeCandidate, result.StaleGroup:
		return s.resend(now, group, p, code)
	case result.DuplicateAttempt:
		// The home refused a second copy of the message; the first copy may have run.
		return s.GroupFailed(now, p.request.ID, code, model.RunUnknown)
	default:
		p.open = false
		s.markMissing(p, code, model.NotRun)
		return s.completeOrRestart(now)
	}
}

// resend sends a part again, to the next home, if the part was sent fewer than
// maxSends times and the deadline has not passed. Otherwise it marks the part's
// shards as missing.
func (s *Query) resend(now time.Time, group int, p *part, code result.Code) []Action {
	if p.sends < maxSends && now.Before(s.deadline) {
		return []Action{s.send(group, p)}
	}
	p.open = false
	s.markMissing(p, code, model.NotRun)
	return s.completeOrRestart(now)
}

// mergeOutcomes records the outcomes of the part's shards and reports whether
// upstreams lacked the snapshot for any of them.
func (s *Query) mergeOutcomes(p *part, outcomes []model.ShardOutcome) bool {
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

// completeOrRestart restarts the query if upstreams lack the snapshot for too
// many shards. It answers the query if no part is open or if the least coverage
// is out of reach.
func (s *Query) completeOrRestart(now time.Time) []Action {
	if s.shouldRestart(now) {
		return s.restart(now)
	}
	open, attainable := 0, 0
	for _, p := range s.parts {
		if p.open {
			open++
			attainable += len(p.request.Shards)
		}
	}
	for _, o := range s.outcomes {
		if o.Code == result.OK {
			attainable++
		}
	}
	if open == 0 {
		return s.reply()
	}
	if attainable < s.leastShards {
		// Even if all open parts succeed, the answer misses the least coverage.
		return s.abortAndReply(result.CoverageUnreachable)
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

// restart abandons all parts and runs the whole query again on another
// snapshot, because results of two snapshots must never be merged.
func (s *Query) restart(now time.Time) []Action {
	actions := append(s.abortOpenParts(), Restarted{})
	for _, o := range s.outcomes {
		s.mayHaveRun = s.mayHaveRun || o.Ran != model.NotRun
	}
	s.restarts++
	previous := s.snapshot
	if d := s.cfg.Document(); d != nil && d.PriorityIndex(s.query.Priority) >= 0 {
		s.doc = d
	}
	next, err := s.start(now, s.pickSnapshot(previous))
	if err != nil {
		// A shard that the query names does not exist in the other snapshot.
		s.total = len(s.query.Shards)
		for _, id := range s.query.Shards {
			s.outcomes[id] = model.ShardOutcome{Shard: id, Code: result.CodeOf(err), Ran: model.RunUnknown}
		}
		s.total = len(s.outcomes)
		return append(actions, s.reply()...)
	}
	return append(actions, next...)
}

func (s *Query) abortOpenParts() []Action {
	var actions []Action
	for _, p := range s.orderedParts() {
		if p.open {
			p.open = false
			s.mayHaveRun = true
			actions = append(actions, Abort{ID: p.request.ID})
		}
	}
	return actions
}

// orderedParts returns the parts ordered by group, so that the same calls
// always return the same actions in the same order.
func (s *Query) orderedParts() []*part {
	out := make([]*part, 0, len(s.parts))
	for _, group := range slices.Sorted(maps.Keys(s.parts)) {
		out = append(out, s.parts[group])
	}
	return out
}

// abortAndReply cancels the open parts, records code as the reason why their
// shards are missing, and answers the query.
func (s *Query) abortAndReply(code result.Code) []Action {
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

// buildAnswer merges the outcomes, in the shard order of the snapshot, into the
// answer.
func (s *Query) buildAnswer() model.Answer {
	a := model.Answer{
		Snapshot: s.snapshot.ID,
		Revision: s.doc.Revision,
		Coverage: model.Coverage{Total: s.total},
	}
	ran := s.mayHaveRun
	for _, id := range s.shardsInAnswerOrder() {
		o := s.outcomes[id]
		ran = ran || o.Ran != model.NotRun
		if o.Code == result.OK {
			a.Results = append(a.Results, o)
			a.Coverage.Answered++
			continue
		}
		a.Coverage.Missing = append(a.Coverage.Missing, model.MissingShard{Shard: id, Reason: o.Code})
	}
	a.Code, a.Ran = s.codeAndRunState(a.Coverage, ran)
	if a.Ran == model.NotRun {
		a.RetryAfter = s.retryAfter
	}
	return a
}

func (s *Query) shardsInAnswerOrder() []model.ShardID {
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

// codeAndRunState chooses the answer's result code and run state.
func (s *Query) codeAndRunState(c model.Coverage, ran bool) (result.Code, model.RunState) {
	switch {
	case c.Total > 0 && c.Answered == c.Total:
		return result.OK, model.Ran
	case c.Answered > 0 && c.Answered >= s.leastShards:
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

// failureCode returns the result code of an answer whose coverage is below the
// least coverage and some of whose work may have run.
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

// refusalCode returns the most frequent reason among the missing shards.
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

// checkAnswer returns the name of an invariant that the answer violates, or "".
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
