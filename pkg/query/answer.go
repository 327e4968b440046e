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
func (q *Query) GroupAnswered(now time.Time, id model.AttemptID, a model.GroupAnswer) []Action {
	p, group := q.openPart(id)
	if p == nil {
		return nil
	}
	if a.ID != id || a.Code == result.OK && a.Snapshot != q.snapshot.ID {
		return q.GroupFailed(now, id, result.AnswerMismatch, model.RunUnknown)
	}
	if a.Code != result.OK {
		q.retryAfter = max(q.retryAfter, a.RetryAfter)
		return q.handleRefusal(now, group, p, a.Code)
	}
	p.open = false
	missingSnapshot := q.mergeOutcomes(p, a.Outcomes)
	var actions []Action
	if missingSnapshot {
		actions = append(actions, SnapshotMissing{Snapshot: q.snapshot.ID})
	}
	return append(actions, q.completeOrRestart(now)...)
}

// GroupFailed handles a part that got no usable answer: its home could not be
// reached (ran is model.NotRun), or the home was lost while the part was
// outstanding (ran is model.RunUnknown). An answer that belongs to another
// request, and the refusal of a duplicate, are handled like the loss of the
// home.
func (q *Query) GroupFailed(now time.Time, id model.AttemptID, code result.Code, ran model.RunState) []Action {
	p, group := q.openPart(id)
	if p == nil {
		return nil
	}
	if ran != model.NotRun {
		q.mayHaveRun = true
	}
	return q.resend(now, group, p, code)
}

// Expire answers the query with the results received so far. The driver calls
// it at the time that Deadline returns; earlier calls are ignored.
func (q *Query) Expire(now time.Time) []Action {
	if q.done || now.Before(q.deadline) {
		return nil
	}
	return q.abortAndReply(result.NoAnswerInTime)
}

// CallerGone handles a caller that no longer waits for the answer: it cancels
// all outstanding parts and ends the query.
func (q *Query) CallerGone() []Action {
	if q.done {
		return nil
	}
	return q.abortAndReply(result.Cancelled)
}

func (q *Query) openPart(id model.AttemptID) (*part, int) {
	group, ok := q.groupByAttempt[id]
	if !ok || q.done {
		return nil, 0
	}
	p := q.parts[group]
	if !p.open || p.request.ID != id {
		return nil, 0
	}
	return p, group
}

// handleRefusal handles a home's refusal of a part. The refused message itself
// starts no work.
func (q *Query) handleRefusal(now time.Time, group int, p *part, code result.Code) []Action {
	switch code {
	case result.Leaving, result.JustResumed, result.NotReady, result.NotHomeCandidate, result.StaleGroup:
		return q.resend(now, group, p, code)
	case result.DuplicateAttempt:
		// The home refused a second copy of the message; the first copy may have run.
		return q.GroupFailed(now, p.request.ID, code, model.RunUnknown)
	default:
		p.open = false
		q.markMissing(p, code, model.NotRun)
		return q.completeOrRestart(now)
	}
}

// resend sends a part again if it was sent fewer than maxSends times and the
// deadline has not passed; the driver chooses the next home. Otherwise resend
// marks the part's shards as missing, with code as the reason.
func (q *Query) resend(now time.Time, group int, p *part, code result.Code) []Action {
	if p.sends < maxSends && now.Before(q.deadline) {
		return []Action{q.send(group, p)}
	}
	p.open = false
	q.markMissing(p, code, model.NotRun)
	return q.completeOrRestart(now)
}

// mergeOutcomes records the outcomes of the part's shards and reports whether
// upstreams lacked the snapshot for any of them.
func (q *Query) mergeOutcomes(p *part, outcomes []model.ShardOutcome) bool {
	q.markMissing(p, result.NoAnswerInTime, model.RunUnknown)
	missingSnapshot := false
	for _, o := range outcomes {
		if _, wanted := q.outcomes[o.Shard]; !wanted {
			continue
		}
		q.outcomes[o.Shard] = o
		missingSnapshot = missingSnapshot || o.Code == result.SnapshotMissing
	}
	return missingSnapshot
}

// completeOrRestart restarts the query if upstreams lack the snapshot for too
// many shards. It answers the query if no part is open or if the least coverage
// is out of reach.
func (q *Query) completeOrRestart(now time.Time) []Action {
	if q.shouldRestart(now) {
		return q.restart(now)
	}
	open, attainable := 0, 0
	for _, p := range q.parts {
		if p.open {
			open++
			attainable += len(p.request.Shards)
		}
	}
	for _, o := range q.outcomes {
		if o.Code == result.OK {
			attainable++
		}
	}
	if open == 0 {
		return q.reply()
	}
	if attainable < q.leastShards {
		// Even if all open parts succeed, the answer misses the least coverage.
		return q.abortAndReply(result.CoverageUnreachable)
	}
	return nil
}

// shouldRestart reports whether upstreams lack the snapshot for at least
// restartFraction of the shards and a restart is still possible: the query was
// restarted fewer than maxRestarts times, and at least as much time is left as
// has passed.
func (q *Query) shouldRestart(now time.Time) bool {
	if q.restarts >= maxRestarts || now.Sub(q.started) > q.deadline.Sub(now) {
		return false
	}
	missing := 0
	for _, o := range q.outcomes {
		if o.Code == result.SnapshotMissing {
			missing++
		}
	}
	return float64(missing) >= restartFraction*float64(q.totalShards)
}

// restart aborts the open parts, drops all results and runs the whole query
// again on another snapshot, because results of two snapshots must never be
// merged.
func (q *Query) restart(now time.Time) []Action {
	actions := append(q.abortOpenParts(), Restarted{})
	for _, o := range q.outcomes {
		q.mayHaveRun = q.mayHaveRun || o.Ran != model.NotRun
	}
	q.restarts++
	previous := q.snapshot
	if d := q.cfg.Document(); d != nil && d.PriorityIndex(q.query.Priority) >= 0 {
		q.doc = d
	}
	next, err := q.start(now, q.pickSnapshot(previous))
	if err != nil {
		// A shard that the query names does not exist in the other snapshot.
		q.totalShards = len(q.query.Shards)
		for _, id := range q.query.Shards {
			q.outcomes[id] = model.ShardOutcome{Shard: id, Code: result.CodeOf(err), Ran: model.RunUnknown}
		}
		q.totalShards = len(q.outcomes)
		return append(actions, q.reply()...)
	}
	return append(actions, next...)
}

func (q *Query) abortOpenParts() []Action {
	var actions []Action
	for _, p := range q.orderedParts() {
		if p.open {
			p.open = false
			q.mayHaveRun = true
			actions = append(actions, Abort{ID: p.request.ID})
		}
	}
	return actions
}

// orderedParts returns the parts ordered by group, so that the same calls
// always return the same actions in the same order.
func (q *Query) orderedParts() []*part {
	out := make([]*part, 0, len(q.parts))
	for _, group := range slices.Sorted(maps.Keys(q.parts)) {
		out = append(out, q.parts[group])
	}
	return out
}

// abortAndReply cancels the open parts, records code as the reason why their
// shards are missing, and answers the query.
func (q *Query) abortAndReply(code result.Code) []Action {
	var actions []Action
	for _, p := range q.orderedParts() {
		if !p.open {
			continue
		}
		p.open = false
		q.markMissing(p, code, model.RunUnknown)
		actions = append(actions, Abort{ID: p.request.ID})
	}
	return append(actions, q.reply()...)
}

// buildAnswer merges the outcomes, in the shard order of the snapshot, into the
// answer.
func (q *Query) buildAnswer() model.Answer {
	a := model.Answer{
		Snapshot: q.snapshot.ID,
		Revision: q.doc.Revision,
		Coverage: model.Coverage{Total: q.totalShards},
	}
	ran := q.mayHaveRun
	for _, id := range q.shardsInAnswerOrder() {
		o := q.outcomes[id]
		ran = ran || o.Ran != model.NotRun
		if o.Code == result.OK {
			a.Results = append(a.Results, o)
			a.Coverage.Answered++
			continue
		}
		a.Coverage.Missing = append(a.Coverage.Missing, model.MissingShard{Shard: id, Reason: o.Code})
	}
	a.Code, a.Ran = q.codeAndRunState(a.Coverage, ran)
	if a.Ran == model.NotRun {
		a.RetryAfter = q.retryAfter
	}
	return a
}

func (q *Query) shardsInAnswerOrder() []model.ShardID {
	order := make([]model.ShardID, 0, len(q.outcomes))
	listed := make(map[model.ShardID]bool, len(q.outcomes))
	add := func(id model.ShardID) {
		if _, ok := q.outcomes[id]; ok && !listed[id] {
			listed[id] = true
			order = append(order, id)
		}
	}
	for _, sh := range q.snapshot.Shards {
		add(sh.ID)
	}
	for _, id := range q.query.Shards {
		add(id)
	}
	return order
}

// codeAndRunState chooses the answer's result code and run state.
func (q *Query) codeAndRunState(c model.Coverage, ran bool) (result.Code, model.RunState) {
	switch {
	case c.Total > 0 && c.Answered == c.Total:
		return result.OK, model.Ran
	case c.Answered > 0 && c.Answered >= q.leastShards:
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

// failureCode returns the result code of an answer below the least coverage if
// some of the query's work may have run.
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
func checkAnswer(a model.Answer, pinned model.SnapshotID, totalShards int) string {
	switch {
	case a.Snapshot != pinned:
		return "answer_snapshot_is_pinned"
	case a.Coverage.Total != totalShards || a.Coverage.Answered+len(a.Coverage.Missing) != totalShards:
		return "coverage_adds_up"
	case a.Coverage.Answered != len(a.Results):
		return "coverage_counts_results"
	case a.Ran == model.NotRun && a.Coverage.Answered > 0:
		return "not_run_has_no_results"
	default:
		return ""
	}
}
