package query

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sardineturn/sardineturn/internal/testseed"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

var epoch = time.Unix(1_700_000_000, 0)

// testDocument has two scheduling groups of two shards each and two snapshots.
func testDocument() *document.Document {
	d := &document.Document{
		Service:    "s",
		Revision:   3,
		Priorities: []document.Priority{{Name: "high", TargetMS: 50, DeadlineMS: 200, LeastCoverage: 0.75}},
		Operations: []document.Operation{{Name: "search"}, {Name: "reserve", NonIdempotent: true}},
	}
	for u := range document.MaxMergedGroup + 1 {
		d.Upstreams = append(d.Upstreams, document.Upstream{Name: fmt.Sprint("u", u), Slots: 1, ConnectionLimit: 10})
	}
	for _, id := range []model.SnapshotID{"old", "new"} {
		s := document.Snapshot{ID: id}
		last := fmt.Sprint("u", document.MaxMergedGroup)
		for n, u := range []string{"u0", "u1", last, last} {
			s.Shards = append(s.Shards, document.Shard{ID: model.ShardID(fmt.Sprint(n)), Replicas: []string{u}})
		}
		d.Snapshots = append(d.Snapshots, s)
	}
	return d
}

func testConfig(d *document.Document) Config {
	var counter uint64
	return Config{
		NewID: func() model.AttemptID {
			counter++
			var id model.AttemptID
			binary.BigEndian.PutUint64(id[:], counter)
			return id
		},
		Document:        func() *document.Document { return d },
		SnapshotAvoided: func(model.SnapshotID) bool { return false },
		QueueDelay:      func(model.GroupKey, string) time.Duration { return 0 },
	}
}

// queryModel gives random answers to the parts of a query. An answer may come
// late or repeatedly, carry a wrong attempt id, or hold results of another
// snapshot.
type queryModel struct {
	now     time.Time
	query   *Query
	sent    []model.GroupRequest
	replies []model.Answer
}

func (m *queryModel) apply(t *rapid.T, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			must.True(t, len(m.replies) == 0, must.Sprint("work is sent after the answer"))
			m.sent = append(m.sent, a.Request)
		case Reply:
			m.replies = append(m.replies, a.Answer)
		case Broken:
			t.Fatalf("invariant %s is broken", a.Invariant)
		}
	}
}

func (m *queryModel) answer(t *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	r := rapid.SampledFrom(m.sent).Draw(t, "request")
	id := r.ID
	if rapid.IntRange(0, 9).Draw(t, "crossed") == 0 {
		id[15]++
	}
	a := model.GroupAnswer{ID: id, Code: result.OK, Snapshot: r.Snapshot}
	if rapid.IntRange(0, 9).Draw(t, "other snapshot") == 0 {
		a.Snapshot = "third"
	}
	for _, s := range r.Shards {
		a.Outcomes = append(a.Outcomes, drawOutcome(t, s, a.Snapshot))
	}
	m.apply(t, m.query.GroupAnswered(m.now, r.ID, a))
}

// drawOutcome returns a random outcome of a shard: a result whose content is
// the name of the snapshot, or a failure.
func drawOutcome(t *rapid.T, s model.ShardID, snapshot model.SnapshotID) model.ShardOutcome {
	code := rapid.SampledFrom([]result.Code{result.OK, result.OK, result.OK, result.SnapshotMissing, result.UpstreamLost}).Draw(t, "code")
	o := model.ShardOutcome{Shard: s, Code: code}
	switch code {
	case result.OK:
		o.Ran = model.Ran
		o.Result = []byte(`"` + string(snapshot) + `"`)
	case result.SnapshotMissing:
		o.Ran = model.NotRun
	}
	return o
}

func (m *queryModel) check(t *rapid.T) {
	must.LessEq(t, 1, len(m.replies), must.Sprint("a query is answered once"))
	if m.now.After(m.query.Deadline()) {
		m.apply(t, m.query.Expire(m.now))
		must.Len(t, 1, m.replies, must.Sprint("a query has an answer at its deadline"))
	}
	for _, a := range m.replies {
		must.Eq(t, a.Coverage.Total, a.Coverage.Answered+len(a.Coverage.Missing))
		for _, r := range a.Results {
			must.Eq(t, `"`+string(a.Snapshot)+`"`, string(r.Result), must.Sprint("a result comes from another snapshot"))
		}
		if a.Code == result.OK {
			must.Eq(t, a.Coverage.Total, a.Coverage.Answered, must.Sprint("a partial answer says ok"))
		}
	}
}

// TestAnswerIsTrue guards against answers that mix results of several
// snapshots, misstate their coverage, or say "not run" although a part whose
// home was lost may have run. It also guards against queries that are answered
// twice or not by their deadline. Homes answer late, repeatedly or for another
// attempt, refuse parts or are lost.
func TestAnswerIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := testDocument()
		m := &queryModel{now: epoch}
		q, actions, err := New(epoch, model.Query{Service: "s", Operation: "search", Priority: "high"}, d, testConfig(d))
		must.NoError(t, err)
		m.query = q
		m.apply(t, actions)
		mayHaveRun := false
		t.Repeat(map[string]func(*rapid.T){
			"answer": m.answer,
			"refuse": func(t *rapid.T) {
				r := rapid.SampledFrom(m.sent).Draw(t, "request")
				code := rapid.SampledFrom([]result.Code{result.Overloaded, result.Leaving, result.StaleGroup}).Draw(t, "code")
				m.apply(t, m.query.GroupAnswered(m.now, r.ID, model.GroupAnswer{ID: r.ID, Code: code}))
			},
			"lose": func(t *rapid.T) {
				r := rapid.SampledFrom(m.sent).Draw(t, "request")
				mayHaveRun = mayHaveRun || len(m.replies) == 0 && q.isOpen(r.ID)
				m.apply(t, m.query.GroupFailed(m.now, r.ID, result.PeerLost, model.RunUnknown))
			},
			"unreachable": func(t *rapid.T) {
				r := rapid.SampledFrom(m.sent).Draw(t, "request")
				m.apply(t, m.query.GroupFailed(m.now, r.ID, result.PeerUnreachable, model.NotRun))
			},
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				m.check(t)
				if mayHaveRun && len(m.replies) > 0 {
					must.NotEq(t, model.NotRun, m.replies[0].Ran, must.Sprint("not run after lost work"))
				}
			},
		})
	})
}

func (q *Query) isOpen(id model.AttemptID) bool {
	p, _ := q.openPart(id)
	return p != nil
}

// TestRestartTakesAnotherSnapshot guards against an answer without results when
// upstreams have not loaded the newest snapshot yet but still have the previous
// one.
func TestRestartTakesAnotherSnapshot(t *testing.T) {
	d := testDocument()
	q, actions, err := New(epoch, model.Query{Service: "s", Operation: "search", Priority: "high", Shards: []model.ShardID{"0"}}, d, testConfig(d))
	must.NoError(t, err)
	first := actions[0].(Send).Request
	must.Eq(t, "new", first.Snapshot)
	actions = q.GroupAnswered(epoch, first.ID, model.GroupAnswer{
		ID: first.ID, Code: result.OK, Snapshot: "new",
		Outcomes: []model.ShardOutcome{{Shard: "0", Code: result.SnapshotMissing, Ran: model.NotRun}},
	})
	must.Len(t, 3, actions)
	must.Eq(t, "old", actions[2].(Send).Request.Snapshot)
}

// TestOverloadedGroupsRefuseEarly guards against sending a query although its
// homes reported queue delays beyond its deadline.
func TestOverloadedGroupsRefuseEarly(t *testing.T) {
	d := testDocument()
	cfg := testConfig(d)
	cfg.QueueDelay = func(model.GroupKey, string) time.Duration { return time.Second }
	_, actions, err := New(epoch, model.Query{Service: "s", Operation: "search", Priority: "high"}, d, cfg)
	must.NoError(t, err)
	must.Len(t, 1, actions)
	answer := actions[0].(Reply).Answer
	must.Eq(t, result.Overloaded, answer.Code)
	must.Eq(t, model.NotRun, answer.Ran)
	must.Positive(t, answer.RetryAfter)
}

// TestLostWorkIsNeverNotRun guards against an answer of "not run" when the
// first home was lost after it got the part, and the next home refused the
// part.
func TestLostWorkIsNeverNotRun(t *testing.T) {
	d := testDocument()
	q, actions, err := New(epoch, model.Query{Service: "s", Operation: "search", Priority: "high", Shards: []model.ShardID{"0"}}, d, testConfig(d))
	must.NoError(t, err)
	first := actions[0].(Send).Request
	actions = q.GroupFailed(epoch, first.ID, result.PeerLost, model.RunUnknown)
	second := actions[0].(Send).Request
	actions = q.GroupAnswered(epoch, second.ID, model.GroupAnswer{ID: second.ID, Code: result.Overloaded})
	must.Eq(t, model.RunUnknown, actions[0].(Reply).Answer.Ran)
}

// TestRestartKeepsRunState guards against an answer of "not run" when shards
// ran on the first snapshot, and the query was then restarted on another one
// and refused.
func TestRestartKeepsRunState(t *testing.T) {
	d := testDocument()
	q, actions, err := New(epoch, model.Query{Service: "s", Operation: "search", Priority: "high", Shards: []model.ShardID{"0", "1"}}, d, testConfig(d))
	must.NoError(t, err)
	first := actions[0].(Send).Request
	actions = q.GroupAnswered(epoch, first.ID, model.GroupAnswer{
		ID: first.ID, Code: result.OK, Snapshot: "new",
		Outcomes: []model.ShardOutcome{
			{Shard: "0", Code: result.SnapshotMissing, Ran: model.NotRun},
			{Shard: "1", Code: result.OK, Ran: model.Ran, Result: []byte(`1`)},
		},
	})
	second := actions[2].(Send).Request
	actions = q.GroupAnswered(epoch, second.ID, model.GroupAnswer{ID: second.ID, Code: result.Overloaded})
	must.Eq(t, model.RunUnknown, actions[0].(Reply).Answer.Ran)
}
