package replay

import (
	"strconv"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/query"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Arguments and results of a query's calls. The arguments include the answers
// that the query got from its instance during the call.
type (
	queryOpenArgs struct {
		Document contentRef      `json:"document"`
		Query    model.Query     `json:"query"`
		Instance instanceAnswers `json:"asked"`
	}
	queryAnsweredArgs struct {
		ID       model.AttemptID   `json:"id"`
		Answer   model.GroupAnswer `json:"answer"`
		Instance instanceAnswers   `json:"asked"`
	}
	queryFailedArgs struct {
		ID       model.AttemptID `json:"id"`
		Code     result.Code     `json:"code"`
		Ran      model.RunState  `json:"ran"`
		Instance instanceAnswers `json:"asked"`
	}
	// queryRefusedResult is the result of opening a query that is refused at once.
	queryRefusedResult struct {
		Code result.Code `json:"code"`
	}
)

// instanceAnswers holds what an instance answered to a query during one call of
// the query.
type instanceAnswers struct {
	// Document is the document in force, if the query asked for it.
	Document *contentRef               `json:"document,omitempty"`
	Avoided  map[model.SnapshotID]bool `json:"avoided,omitempty"`
	Delays   map[string]time.Duration  `json:"delays,omitempty"`
}

func delayKey(g model.GroupKey, priority string) string { return g.String() + " " + priority }

// Query is a query whose calls are recorded.
type Query struct {
	*query.Query
	recorder
	instance instanceAnswers
	clock    func() time.Time
}

// NewQuery records query.New.
func (t *Trace) NewQuery(now time.Time, q model.Query, doc *document.Document, cfg query.Config, clock func() time.Time) (*Query, []query.Action, error) {
	now = withoutMonotonic(now)
	if !q.Deadline.IsZero() {
		q.Deadline = withoutMonotonic(q.Deadline)
	}
	r := &Query{recorder: t.newRecorder(componentQuery, strconv.FormatUint(t.queries.Add(1), 10)), clock: clock}
	r.newID = cfg.NewID
	inner, actions, err := query.New(now, q, doc, r.recordingConfig(cfg))
	r.Query = inner
	args := queryOpenArgs{Document: contentRefOf(doc), Query: q, Instance: r.takeInstanceAnswers()}
	if err != nil {
		r.record("open", now, args, queryRefusedResult{Code: result.CodeOf(err)})
		return nil, nil, err
	}
	r.record("open", now, args, typedActions(actions))
	return r, actions, nil
}

// recordingConfig returns a configuration whose functions call those of cfg and
// keep their results, the instance's answers, for the trace.
func (r *Query) recordingConfig(cfg query.Config) query.Config {
	return query.Config{
		NewID: r.generateID,
		Document: func() *document.Document {
			d := cfg.Document()
			if d != nil {
				ref := contentRefOf(d)
				r.instance.Document = &ref
			}
			return d
		},
		SnapshotAvoided: func(id model.SnapshotID) bool {
			avoided := cfg.SnapshotAvoided(id)
			if avoided {
				setInMap(&r.instance.Avoided, id, true)
			}
			return avoided
		},
		QueueDelay: func(g model.GroupKey, priority string) time.Duration {
			delay := cfg.QueueDelay(g, priority)
			if delay != 0 {
				setInMap(&r.instance.Delays, delayKey(g, priority), delay)
			}
			return delay
		},
	}
}

func setInMap[K comparable, V any](m *map[K]V, k K, v V) {
	if *m == nil {
		*m = make(map[K]V)
	}
	(*m)[k] = v
}

func (r *Query) takeInstanceAnswers() instanceAnswers {
	out := r.instance
	r.instance = instanceAnswers{}
	return out
}

// GroupAnswered records query.Query.GroupAnswered.
func (r *Query) GroupAnswered(now time.Time, id model.AttemptID, a model.GroupAnswer) []query.Action {
	now = withoutMonotonic(now)
	actions := r.Query.GroupAnswered(now, id, a)
	r.record("answered", now, queryAnsweredArgs{ID: id, Answer: a, Instance: r.takeInstanceAnswers()}, typedActions(actions))
	return actions
}

// GroupFailed records query.Query.GroupFailed.
func (r *Query) GroupFailed(now time.Time, id model.AttemptID, code result.Code, ran model.RunState) []query.Action {
	now = withoutMonotonic(now)
	actions := r.Query.GroupFailed(now, id, code, ran)
	r.record("failed", now, queryFailedArgs{ID: id, Code: code, Ran: ran, Instance: r.takeInstanceAnswers()}, typedActions(actions))
	return actions
}

// Expire records query.Query.Expire.
func (r *Query) Expire(now time.Time) []query.Action {
	now = withoutMonotonic(now)
	actions := r.Query.Expire(now)
	r.record("expire", now, nil, typedActions(actions))
	return actions
}

// CallerGone records query.Query.CallerGone.
func (r *Query) CallerGone() []query.Action {
	now := withoutMonotonic(r.clock())
	actions := r.Query.CallerGone()
	r.record("gone", now, nil, typedActions(actions))
	return actions
}

// replayedQuery is a query whose recorded calls are repeated.
type replayedQuery struct {
	*query.Query
	ids      recordedIDs
	instance instanceAnswers
}

func (p *player) playQuery(l line) (any, error) {
	if l.Call == "open" {
		return p.openQuery(l)
	}
	q, err := openObject(p.queries, l)
	if err != nil {
		return nil, err
	}
	q.ids.queue = l.IDs
	actions, err := q.call(l)
	return typedActions(actions), err
}

func (p *player) openQuery(l line) (any, error) {
	a, err := decode[queryOpenArgs](l.Args)
	if err != nil {
		return nil, err
	}
	doc, err := p.document(a.Document)
	if err != nil {
		return nil, err
	}
	a.Query.Payload = nullToNil(a.Query.Payload)
	q := &replayedQuery{ids: recordedIDs{queue: l.IDs}, instance: a.Instance}
	inner, actions, refusal := query.New(l.Time, a.Query, doc, p.replayConfig(q))
	if refusal != nil {
		return queryRefusedResult{Code: result.CodeOf(refusal)}, nil
	}
	q.Query = inner
	p.queries[l.objectKey()] = q
	return typedActions(actions), nil
}

// replayConfig returns a configuration whose functions return the recorded answers
// of the instance.
func (p *player) replayConfig(q *replayedQuery) query.Config {
	return query.Config{
		NewID: q.ids.next,
		Document: func() *document.Document {
			if q.instance.Document == nil {
				return nil
			}
			d, _ := p.document(*q.instance.Document)
			return d
		},
		SnapshotAvoided: func(id model.SnapshotID) bool { return q.instance.Avoided[id] },
		QueueDelay: func(g model.GroupKey, priority string) time.Duration {
			return q.instance.Delays[delayKey(g, priority)]
		},
	}
}

func (q *replayedQuery) call(l line) ([]query.Action, error) {
	switch l.Call {
	case "answered":
		a, err := decode[queryAnsweredArgs](l.Args)
		if err != nil {
			return nil, err
		}
		for n := range a.Answer.Outcomes {
			a.Answer.Outcomes[n].Result = nullToNil(a.Answer.Outcomes[n].Result)
		}
		q.instance = a.Instance
		return q.GroupAnswered(l.Time, a.ID, a.Answer), nil
	case "failed":
		a, err := decode[queryFailedArgs](l.Args)
		if err != nil {
			return nil, err
		}
		q.instance = a.Instance
		return q.GroupFailed(l.Time, a.ID, a.Code, a.Ran), nil
	case "expire":
		return q.Expire(l.Time), nil
	case "gone":
		return q.CallerGone(), nil
	default:
		return nil, unknownCall(l)
	}
}
