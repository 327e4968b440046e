// Package query decides how one query is answered at its entry instance: it
// pins a snapshot, splits the query by scheduling group, merges the parts and
// answers by the deadline. It is pure: the driver passes the time in and
// carries the returned actions out.
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
	// maxSends bounds how often one part is sent to a home. Each send after the
	// first follows a refusal or the loss of a home.
	maxSends = 3
	// maxRestarts bounds restarts on another snapshot. One is enough for a
	// change of index; more would multiply load during a repartition.
	maxRestarts = 1
	// restartFraction is the fraction of shards without the snapshot from which
	// a restart is worth its load.
	restartFraction = 0.25
	// answerMargin is reserved before the deadline for the way back to the
	// caller, which takes about 1 ms.
	answerMargin = 3 * time.Millisecond
)

// Config holds what a query needs from its instance.
type Config struct {
	NewID func() model.AttemptID
	// Document returns the document in force, for a restart.
	Document func() *document.Document
	// SnapshotAvoided reports whether upstreams recently lacked a snapshot.
	SnapshotAvoided func(model.SnapshotID) bool
	// QueueDelay returns the recently reported wait at a group's home, zero if
	// none is known.
	QueueDelay func(g model.GroupKey, priority string) time.Duration
}

// Action is something that the driver must do.
type Action interface{ isAction() }

// Send asks for a part of the query to be sent to the group's home.
type Send struct{ Request model.GroupRequest }

// Abort asks for an outstanding part to be cancelled.
type Abort struct{ ID model.AttemptID }

// Reply carries the answer. It is issued exactly once per query.
type Reply struct{ Answer model.Answer }

// SnapshotMissing reports that upstreams lack a snapshot.
type SnapshotMissing struct{ Snapshot model.SnapshotID }

// Restarted reports that the query starts again on another snapshot.
type Restarted struct{}

// Broken reports an invariant that does not hold.
type Broken struct{ Invariant string }

func (Send) isAction()            {}
func (Abort) isAction()           {}
func (Reply) isAction()           {}
func (SnapshotMissing) isAction() {}
func (Restarted) isAction()       {}
func (Broken) isAction()          {}

// part is the share of the query that one scheduling group serves.
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
	// fingerprint is computed once, since the payload may be large and each
	// group's request carries it.
	fingerprint model.Fingerprint

	snapshot *document.Snapshot
	least    int
	total    int
	parts    map[int]*part
	byID     map[model.AttemptID]int
	outcomes map[model.ShardID]model.ShardOutcome
	// ran is true once a lost send or a part of an abandoned snapshot may have
	// run, whatever the outcomes of later sends say.
	ran        bool
	restarts   int
	retryAfter time.Duration
	done       bool
}

// New checks the query against the document and returns its first actions.
// The error carries the result code of invalid input; then nothing was sent.
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

// Deadline returns when Expire must be called.
func (s *Query) Deadline() time.Time { return s.deadline }

// Done reports whether the query was answered.
func (s *Query) Done() bool { return s.done }

// pickSnapshot returns the newest snapshot that upstreams are not known to
// lack and that is not rejected, or the newest if there is no such one.
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

// start splits the query over the groups of the given snapshot.
func (s *Query) start(now time.Time, snapshot *document.Snapshot) ([]Action, error) {
	s.snapshot = snapshot
	shards, err := s.wantedShards()
	if err != nil {
		return nil, err
	}
	s.total = len(shards)
	s.least = leastShards(s.total, s.query.LeastCoverage)
	s.parts = make(map[int]*part)
	s.byID = make(map[model.AttemptID]int)
	s.outcomes = make(map[model.ShardID]model.ShardOutcome, s.total)
	s.split(shards)
	if code := s.refuseEarly(now); code != result.OK {
		return s.refuseAll(code), nil
	}
	return s.sendAll(), nil
}

// wantedShards returns the query's shards, checked against the snapshot.
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
	// The tolerance keeps 0.75 of 4 at 3 in spite of binary fractions.
	return int(math.Ceil(float64(total)*coverage - 1e-9))
}

// split fills parts, one per scheduling group.
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

// refuseEarly returns a refusal if the waits that homes reported recently show
// that the query can't reach its least useful coverage.
func (s *Query) refuseEarly(now time.Time) result.Code {
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
	// A query over one group goes to its home in any case: the home decides
	// with exact figures at the cost of one message.
	if len(s.parts) > 1 && reachable < s.least {
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
	s.byID[p.request.ID] = group
	return Send{Request: p.request}
}

func (s *Query) markMissing(p *part, code result.Code, ran model.RunState) {
	for _, id := range p.request.Shards {
		s.outcomes[id] = model.ShardOutcome{Shard: id, Code: code, Ran: ran}
	}
}

// reply builds the answer. It must be called once, when no part is open or the
// deadline has come.
func (s *Query) reply() []Action {
	s.done = true
	answer := s.answer()
	actions := []Action{Reply{Answer: answer}}
	if broken := checkAnswer(answer, s.snapshot.ID, s.total); broken != "" {
		actions = append(actions, Broken{Invariant: broken})
	}
	return actions
}

// Service returns the queried service's name.
func (s *Query) Service() string { return s.doc.Service }

// Document returns the document that the query is planned with.
func (s *Query) Document() *document.Document { return s.doc }
