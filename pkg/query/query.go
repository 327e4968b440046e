// Package query handles one query at its entry, the instance that received it
// from the caller. It pins the query to one snapshot of the index, splits it
// into one part per scheduling group, merges the answers to the parts, and
// answers the caller by the deadline. The package does no I/O and reads no
// clock: its driver, package instance, passes in the current time and carries
// out the returned actions.
package query

import (
	"math"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// maxSends limits how often one part is sent. Each send after the first
	// follows a refusal by a home or the loss of a home.
	maxSends = 3
	// maxRestarts limits how often a query restarts on another snapshot. One
	// restart is enough when the index changes; more would multiply the load
	// during a repartition.
	maxRestarts = 1
	// restartFraction is the least fraction of a query's shards for which
	// upstreams must lack the snapshot for a restart on another snapshot. With
	// fewer shards missing, a restart is not worth its load.
	restartFraction = 0.25
	// answerMargin is the time reserved before the deadline for delivering the
	// answer to the caller, which takes about 1 ms.
	answerMargin = 3 * time.Millisecond
)

// Config holds the functions of the instance that a query calls.
type Config struct {
	NewID func() model.AttemptID
	// Document returns the document in force. A restarted query uses this
	// document.
	Document func() *document.Document
	// SnapshotAvoided reports whether upstreams recently lacked the snapshot.
	SnapshotAvoided func(model.SnapshotID) bool
	// QueueDelay returns the queue delay that the group's home recently
	// reported for the priority, or zero if none is known.
	QueueDelay func(g model.GroupKey, priority string) time.Duration
}

// Action is an instruction to the driver.
type Action interface{ isAction() }

// Send tells the driver to send a part of the query to the home of the part's
// scheduling group.
type Send struct{ Request model.GroupRequest }

// Abort tells the driver to cancel an outstanding part.
type Abort struct{ ID model.AttemptID }

// Reply carries the answer to the caller. It is issued exactly once per query.
type Reply struct{ Answer model.Answer }

// SnapshotMissing reports that upstreams lack a snapshot.
type SnapshotMissing struct{ Snapshot model.SnapshotID }

// Restarted reports that the query starts again on another snapshot.
type Restarted struct{}

// Broken reports a violated invariant.
type Broken struct{ Invariant string }

func (Send) isAction()            {}
func (Abort) isAction()           {}
func (Reply) isAction()           {}
func (SnapshotMissing) isAction() {}
func (Restarted) isAction()       {}
func (Broken) isAction()          {}

// part is the portion of the query that one scheduling group serves.
type part struct {
	request model.GroupRequest
	sends   int
	open    bool // True while the part still waits for an answer.
}

// Query is the state of one query at its entry. It is not safe for concurrent
// use.
type Query struct {
	cfg      Config
	query    model.Query
	doc      *document.Document
	started  time.Time
	deadline time.Time
	// fingerprint is computed once per query, because the payload may be large
	// and every group's request carries the fingerprint.
	fingerprint model.Fingerprint

	snapshot       *document.Snapshot
	leastShards    int
	totalShards    int
	parts          map[int]*part
	groupByAttempt map[model.AttemptID]int
	outcomes       map[model.ShardID]model.ShardOutcome
	// mayHaveRun is true once the answer lacks the outcome of work that may have
	// run: of a part whose home was lost, or of shards of a snapshot that a
	// restart has abandoned. Outcomes of later sends do not clear it.
	mayHaveRun bool
	restarts   int
	retryAfter time.Duration
	done       bool
}

// New checks the query against the document and returns the query's state and
// its first actions. If the query is invalid, the error carries the result code
// and nothing is sent.
func New(now time.Time, q model.Query, doc *document.Document, cfg Config) (*Query, []Action, error) {
	prio := doc.PriorityIndex(q.Priority)
	if prio < 0 {
		return nil, nil, result.Errorf(result.UnknownPriority, "service %s has no priority %q", doc.Service, q.Priority)
	}
	op := doc.FindOperation(q.Operation)
	if op == nil {
		return nil, nil, result.Errorf(result.UnknownOperation, "service %s has no operation %q", doc.Service, q.Operation)
	}
	if op.NonIdempotent {
		return nil, nil, result.Errorf(result.NotIdempotent, "operation %q is not idempotent and must be sent as an order", q.Operation)
	}
	if q.LeastCoverage < 0 || q.LeastCoverage > 1 {
		return nil, nil, result.Errorf(result.BadRequest, "least_coverage %v is outside 0 to 1", q.LeastCoverage)
	}
	if q.LeastCoverage == 0 {
		q.LeastCoverage = doc.Priorities[prio].LeastCoverage
	}
	latest := now.Add(doc.Priorities[prio].Deadline())
	if q.Deadline.IsZero() || q.Deadline.After(latest) {
		q.Deadline = latest
	}
	if !q.Deadline.After(now.Add(answerMargin)) {
		return nil, nil, result.Errorf(result.DeadlineTooShort, "the deadline leaves no time to run the query")
	}
	state := &Query{
		cfg: cfg, query: q, doc: doc, started: now, deadline: q.Deadline.Add(-answerMargin),
		fingerprint: quarantine.Fingerprint(doc.Service, q.Operation, q.Payload),
	}
	actions, err := state.start(now, state.pickSnapshot(nil))
	if err != nil {
		return nil, nil, err
	}
	return state, actions, nil
}

// Deadline returns the time at which the driver must call Expire.
func (q *Query) Deadline() time.Time { return q.deadline }

// Done reports whether the query has been answered.
func (q *Query) Done() bool { return q.done }

// pickSnapshot returns the newest snapshot that is neither the rejected one nor
// reported by Config.SnapshotAvoided. If there is none, it returns the newest
// snapshot of the document.
func (q *Query) pickSnapshot(rejected *document.Snapshot) *document.Snapshot {
	for i := len(q.doc.Snapshots) - 1; i >= 0; i-- {
		candidate := &q.doc.Snapshots[i]
		if rejected != nil && candidate.ID == rejected.ID {
			continue
		}
		if q.cfg.SnapshotAvoided(candidate.ID) {
			continue
		}
		return candidate
	}
	return q.doc.Newest()
}

// start splits the query into parts on the given snapshot and returns the
// actions that send them, or the reply if the query is refused at once.
func (q *Query) start(now time.Time, snapshot *document.Snapshot) ([]Action, error) {
	q.snapshot = snapshot
	shards, err := q.wantedShards()
	if err != nil {
		return nil, err
	}
	q.totalShards = len(shards)
	q.leastShards = leastShards(q.totalShards, q.query.LeastCoverage)
	q.parts = make(map[int]*part)
	q.groupByAttempt = make(map[model.AttemptID]int)
	q.outcomes = make(map[model.ShardID]model.ShardOutcome, q.totalShards)
	q.split(shards)
	if code := q.earlyRefusal(now); code != result.OK {
		return q.refuseAll(code), nil
	}
	return q.sendAll(), nil
}

// wantedShards returns the shards that the query names, or all shards of the
// snapshot if it names none. A named shard that the snapshot does not have is
// an error.
func (q *Query) wantedShards() ([]model.ShardID, error) {
	known := make(map[model.ShardID]bool, len(q.snapshot.Shards))
	all := make([]model.ShardID, 0, len(q.snapshot.Shards))
	for _, sh := range q.snapshot.Shards {
		known[sh.ID] = true
		all = append(all, sh.ID)
	}
	if len(q.query.Shards) == 0 {
		return all, nil
	}
	seen := make(map[model.ShardID]bool, len(q.query.Shards))
	wanted := make([]model.ShardID, 0, len(q.query.Shards))
	for _, id := range q.query.Shards {
		if !known[id] {
			return nil, result.Errorf(result.UnknownShard, "snapshot %s has no shard %q", q.snapshot.ID, id)
		}
		if !seen[id] {
			seen[id] = true
			wanted = append(wanted, id)
		}
	}
	return wanted, nil
}

func leastShards(total int, coverage float64) int {
	// The tolerance absorbs the rounding errors of binary fractions, so that
	// 0.75 of 4 is 3.
	return int(math.Ceil(float64(total)*coverage - 1e-9))
}

// split fills q.parts with one part per scheduling group.
func (q *Query) split(shards []model.ShardID) {
	groupOf := q.doc.ShardGroups(q.snapshot)
	for _, id := range shards {
		g := groupOf[id]
		p := q.parts[g]
		if p == nil {
			p = &part{request: q.newRequest(g)}
			q.parts[g] = p
		}
		p.request.Shards = append(p.request.Shards, id)
	}
	for _, p := range q.parts {
		p.request.LeastShards = leastShards(len(p.request.Shards), q.query.LeastCoverage)
	}
}

func (q *Query) newRequest(group int) model.GroupRequest {
	return model.GroupRequest{
		Group:       model.GroupKey{Service: q.doc.Service, Index: group},
		Revision:    q.doc.Revision,
		Operation:   q.query.Operation,
		Priority:    q.query.Priority,
		Caller:      q.query.Caller,
		Payload:     q.query.Payload,
		Fingerprint: q.fingerprint,
		Snapshot:    q.snapshot.ID,
		Deadline:    q.deadline,
	}
}

// earlyRefusal returns a refusal code if the queue delays that homes reported
// recently show that the query cannot reach its least coverage by the deadline,
// and result.OK otherwise.
func (q *Query) earlyRefusal(now time.Time) result.Code {
	reachable := 0
	remaining := q.deadline.Sub(now)
	for _, p := range q.parts {
		delay := q.cfg.QueueDelay(p.request.Group, q.query.Priority)
		if delay < remaining {
			reachable += len(p.request.Shards)
			continue
		}
		q.retryAfter = max(q.retryAfter, delay-remaining)
	}
	// A query on a single group is sent in any case: the group's home knows the
	// exact queue delay, and asking it costs only one message.
	if len(q.parts) > 1 && reachable < q.leastShards {
		return result.Overloaded
	}
	return result.OK
}

func (q *Query) refuseAll(code result.Code) []Action {
	for _, p := range q.parts {
		q.markMissing(p, code, model.NotRun)
	}
	return q.reply()
}

func (q *Query) sendAll() []Action {
	actions := make([]Action, 0, len(q.parts))
	for g := range q.doc.Groups() {
		if p := q.parts[g]; p != nil {
			actions = append(actions, q.send(g, p))
		}
	}
	return actions
}

func (q *Query) send(group int, p *part) Action {
	p.request.ID = q.cfg.NewID()
	p.sends++
	p.open = true
	q.groupByAttempt[p.request.ID] = group
	return Send{Request: p.request}
}

func (q *Query) markMissing(p *part, code result.Code, ran model.RunState) {
	for _, id := range p.request.Shards {
		q.outcomes[id] = model.ShardOutcome{Shard: id, Code: code, Ran: ran}
	}
}

// reply ends the query with its answer. It must be called exactly once, when no
// part is open any more.
func (q *Query) reply() []Action {
	q.done = true
	answer := q.buildAnswer()
	actions := []Action{Reply{Answer: answer}}
	if broken := checkAnswer(answer, q.snapshot.ID, q.totalShards); broken != "" {
		actions = append(actions, Broken{Invariant: broken})
	}
	return actions
}

// Service returns the queried service's name.
func (q *Query) Service() string { return q.doc.Service }

// Document returns the document that the query currently uses.
func (q *Query) Document() *document.Document { return q.doc }
