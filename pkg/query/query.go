// Package query handles one query at its entry, the instance that received it
// from the caller. It pins the query to one snapshot of the index, splits it
// into one part per scheduling group, merges the answers to the parts, and
// answers the caller by the deadline. The package does no I/O and reads no
// clock: the driver passes in the current time and executes the returned
// actions.
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
	// restartFraction is the fraction of a query's shards for which upstreams
	// must lack the snapshot before a restart on another snapshot is worth its
	// load.
	restartFraction = 0.25
	// answerMargin is the time reserved before the deadline for delivering the
	// answer to the caller, which takes about 1 ms.
	answerMargin = 3 * time.Millisecond
)

// Config holds the functions of the instance that a query calls.
type Config struct {
	NewID func() model.AttemptID
	// Document returns the document in force. A restart plans the query with
	// it.
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
	open    bool
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
	total          int
	parts          map[int]*part
	groupByAttempt map[model.AttemptID]int
	outcomes       map[model.ShardID]model.ShardOutcome
	// mayHaveRun is set once a part whose home was lost, or a part on an
	// abandoned snapshot, may have run. Outcomes of later sends do not clear
	// it.
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
	s := &Query{
		cfg: cfg, query: q, doc: doc, started: now, deadline: q.Deadline.Add(-answerMargin),
		fingerprint: quarantine.Fingerprint(doc.Service, q.Operation, q.Payload),
	}
	actions, err := s.start(now, s.pickSnapshot(nil))
	if err != nil {
		return nil, nil, err
	}
	return s, actions, nil
}

// Deadline returns the time at which the driver must call Expire.
func (s *Query) Deadline() time.Time { return s.deadline }

// Done reports whether the query has been answered.
func (s *Query) Done() bool { return s.done }

// pickSnapshot returns the newest snapshot that is not the rejected one and
// that upstreams did not recently lack. If there is none, it returns the newest
// snapshot of the document.
func (s *Query) pickSnapshot(rejected *document.Snapshot) *document.Snapshot {
	for i := len(s.doc.Snapshots) - 1; i >= 0; i-- {
		candidate := &s.doc.Snapshots[i]
		if rejected != nil && candidate.ID == rejected.ID {
			continue
		}
		if s.cfg.SnapshotAvoided(candidate.ID) {
			continue
		}
		return candidate
	}
	return s.doc.Newest()
}

// start splits the query into parts on the given snapshot and returns the
// actions that send them, or the reply if the query is refused at once.
func (s *Query) start(now time.Time, snapshot *document.Snapshot) ([]Action, error) {
	s.snapshot = snapshot
	shards, err := s.wantedShards()
	if err != nil {
		return nil, err
	}
	s.total = len(shards)
	s.leastShards = leastShards(s.total, s.query.LeastCoverage)
	s.parts = make(map[int]*part)
	s.groupByAttempt = make(map[model.AttemptID]int)
	s.outcomes = make(map[model.ShardID]model.ShardOutcome, s.total)
	s.split(shards)
	if code := s.earlyRefusal(now); code != result.OK {
		return s.refuseAll(code), nil
	}
	return s.sendAll(), nil
}

// wantedShards returns the shards that the query names, or all shards of the
// snapshot if it names none. A named shard that the snapshot does not have is
// an error.
func (s *Query) wantedShards() ([]model.ShardID, error) {
	known := make(map[model.ShardID]bool, len(s.snapshot.Shards))
	all := make([]model.ShardID, 0, len(s.snapshot.Shards))
	for _, sh := range s.snapshot.Shards {
		known[sh.ID] = true
		all = append(all, sh.ID)
	}
	if len(s.query.Shards) == 0 {
		return all, nil
	}
	seen := make(map[model.ShardID]bool, len(s.query.Shards))
	wanted := make([]model.ShardID, 0, len(s.query.Shards))
	for _, id := range s.query.Shards {
		if !known[id] {
			return nil, result.Errorf(result.UnknownShard, "snapshot %s has no shard %q", s.snapshot.ID, id)
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

// split fills s.parts with one part per scheduling group.
func (s *Query) split(shards []model.ShardID) {
	groupOf := s.doc.ShardGroups(s.snapshot)
	for _, id := range shards {
		g := groupOf[id]
		p := s.parts[g]
		if p == nil {
			p = &part{request: s.newRequest(g)}
			s.parts[g] = p
		}
		p.request.Shards = append(p.request.Shards, id)
	}
	for _, p := range s.parts {
		p.request.LeastShards = leastShards(len(p.request.Shards), s.query.LeastCoverage)
	}
}

func (s *Query) newRequest(group int) model.GroupRequest {
	return model.GroupRequest{
		Group:       model.GroupKey{Service: s.doc.Service, Index: group},
		Revision:    s.doc.Revision,
		Operation:   s.query.Operation,
		Priority:    s.query.Priority,
		Caller:      s.query.Caller,
		Payload:     s.query.Payload,
		Fingerprint: s.fingerprint,
		Snapshot:    s.snapshot.ID,
		Deadline:    s.deadline,
	}
}

// earlyRefusal returns a refusal code if the queue delays that homes reported
// recently show that the query cannot reach its least coverage by the deadline,
// and result.OK otherwise.
func (s *Query) earlyRefusal(now time.Time) result.Code {
	reachable := 0
	left := s.deadline.Sub(now)
	for _, p := range s.parts {
		delay := s.cfg.QueueDelay(p.request.Group, s.query.Priority)
		if delay < left {
			reachable += len(p.request.Shards)
			continue
		}
		s.retryAfter = max(s.retryAfter, delay-left)
	}
	// A query on a single group is sent in any case: the group's home knows the
	// exact queue delay, and asking it costs only one message.
	if len(s.parts) > 1 && reachable < s.leastShards {
		return result.Overloaded
	}
	return result.OK
}

func (s *Query) refuseAll(code result.Code) []Action {
	for _, p := range s.parts {
		s.markMissing(p, code, model.NotRun)
	}
	return s.reply()
}

func (s *Query) sendAll() []Action {
	actions := make([]Action, 0, len(s.parts))
	for g := range s.doc.Groups() {
		if p := s.parts[g]; p != nil {
			actions = append(actions, s.send(g, p))
		}
	}
	return actions
}

func (s *Query) send(group int, p *part) Action {
	p.request.ID = s.cfg.NewID()
	p.sends++
	p.open = true
	s.groupByAttempt[p.request.ID] = group
	return Send{Request: p.request}
}

func (s *Query) markMissing(p *part, code result.Code, ran model.RunState) {
	for _, id := range p.request.Shards {
		s.outcomes[id] = model.ShardOutcome{Shard: id, Code: code, Ran: ran}
	}
}

// reply ends the query with its answer. It must be called exactly once, when no
// part is open any more or the deadline has passed.
func (s *Query) reply() []Action {
	s.done = true
	answer := s.buildAnswer()
	actions := []Action{Reply{Answer: answer}}
	if broken := checkAnswer(answer, s.snapshot.ID, s.total); broken != "" {
		actions = append(actions, Broken{Invariant: broken})
	}
	return actions
}

// Service returns the queried service's name.
func (s *Query) Service() string { return s.doc.Service }

// Document returns the document that the query currently uses.
func (s *Query) Document() *document.Document { return s.doc }
