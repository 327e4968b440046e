package replay

import (
	"encoding/json"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/query"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// answerCheck verifies the answers of entries: each is made of results that
// homes returned for this query and its pinned snapshot, its coverage is what
// was returned, and it says "not run" only if nothing may have run.
type answerCheck struct {
	*judge
	contents map[string][]byte
	open     map[string]*entryState
}

// entryState is what the lines of one query show.
type entryState struct {
	wanted  []model.ShardID
	content contentRef
	// total is the number of wanted shards in the pinned snapshot.
	total  int
	pinned model.SnapshotID
	// sent holds the ids of this query's messages, and live those that belong
	// to the pinned snapshot and have not ended.
	sent map[model.AttemptID]bool
	live map[model.AttemptID]bool
	// returned holds the results that count, and others those that must not.
	returned map[model.ShardID]string
	foreign  map[string]bool
	stale    map[string]bool
	mayRun   bool
	answered bool
}

func newAnswerCheck(j *judge, contents map[string][]byte) *answerCheck {
	return &answerCheck{judge: j, contents: contents, open: make(map[string]*entryState)}
}

func (c *answerCheck) end() {}

func (c *answerCheck) see(l line, out any) error {
	if l.Component != componentQuery {
		return nil
	}
	if l.Call == "open" {
		return c.start(l, out)
	}
	s := c.open[l.object()]
	if s == nil {
		return nil
	}
	switch l.Call {
	case "answered":
		a, err := decode[queryAnswered](l.Args)
		if err != nil {
			return err
		}
		if a.Asked.Document != nil {
			s.content = *a.Asked.Document
		}
		s.take(a)
	case "failed":
		a, err := decode[queryFailed](l.Args)
		if err != nil {
			return err
		}
		s.mayRun = s.mayRun || a.Ran != model.NotRun
		delete(s.live, a.ID)
	}
	c.actions(l, s, out)
	return nil
}

func (c *answerCheck) start(l line, out any) error {
	a, err := decode[queryOpen](l.Args)
	if err != nil {
		return err
	}
	if _, refused := out.(queryRefused); refused {
		return nil
	}
	s := &entryState{wanted: a.Query.Shards, content: a.Document, sent: make(map[model.AttemptID]bool)}
	s.reset()
	c.open[l.object()] = s
	c.actions(l, s, out)
	return nil
}

// reset forgets the results of an abandoned snapshot.
func (s *entryState) reset() {
	for shard, r := range s.returned {
		s.markStale(shard, r)
	}
	s.pinned = ""
	s.live = make(map[model.AttemptID]bool)
	s.returned = make(map[model.ShardID]string)
}

func resultKey(shard model.ShardID, text string) string { return string(shard) + " " + text }

func (s *entryState) markStale(shard model.ShardID, text string) {
	if s.stale == nil {
		s.stale = make(map[string]bool)
	}
	s.stale[resultKey(shard, text)] = true
}

// take sorts the results of a home's answer.
func (s *entryState) take(a queryAnswered) {
	own := a.Answer.ID == a.ID && s.sent[a.ID]
	if a.Answer.Code == result.DuplicateAttempt || !own {
		s.mayRun = true
	}
	for _, o := range a.Answer.Outcomes {
		s.mayRun = s.mayRun || o.Ran != model.NotRun
		if o.Code != result.OK || a.Answer.Code != result.OK {
			continue
		}
		switch {
		case !own:
			set(&s.foreign, resultKey(o.Shard, string(o.Result)), true)
		case a.Answer.Snapshot != s.pinned || !s.live[a.ID]:
			s.mayRun = true
			s.markStale(o.Shard, string(o.Result))
		default:
			s.returned[o.Shard] = string(o.Result)
		}
	}
	delete(s.live, a.ID)
}

func (c *answerCheck) actions(l line, s *entryState, out any) {
	if len(actionsOf[query.Restarted](out)) > 0 {
		s.reset()
	}
	for range actionsOf[query.Abort](out) {
		s.mayRun = true
	}
	for _, a := range actionsOf[query.Send](out) {
		s.send(a.Request)
		s.total = c.wantedShards(s)
	}
	for _, a := range actionsOf[query.Reply](out) {
		c.answer(l, s, a.Answer)
	}
}

func (s *entryState) send(r model.GroupRequest) {
	if s.pinned != "" && s.pinned != r.Snapshot {
		s.reset()
	}
	s.pinned = r.Snapshot
	s.sent[r.ID] = true
	s.live[r.ID] = true
}

// wantedShards counts the query's shards from its arguments and the document.
func (c *answerCheck) wantedShards(s *entryState) int {
	wanted := make(map[model.ShardID]bool)
	for _, id := range s.wanted {
		wanted[id] = true
	}
	if len(wanted) > 0 {
		return len(wanted)
	}
	var d struct {
		Snapshots []struct {
			ID     model.SnapshotID  `json:"id"`
			Shards []json.RawMessage `json:"shards"`
		} `json:"snapshots"`
	}
	if err := json.Unmarshal(c.contents[s.content.key()], &d); err != nil {
		return 0
	}
	for _, snapshot := range d.Snapshots {
		if snapshot.ID == s.pinned {
			return len(snapshot.Shards)
		}
	}
	return 0
}

func (c *answerCheck) answer(l line, s *entryState, a model.Answer) {
	c.judge.judge(PromiseOwnAnswer, !s.answered, "query %s: a second answer", l.Key)
	s.answered = true
	if s.pinned == "" {
		// Nothing was sent: the query was refused at once.
		c.judge.judge(PromiseNotRun, len(a.Results) == 0, "query %s: results without a message to a home", l.Key)
		return
	}
	c.judge.judge(PromiseSnapshot, a.Snapshot == s.pinned, "query %s: answered from %s, pinned %s", l.Key, a.Snapshot, s.pinned)
	c.results(l, s, a)
	c.coverage(l, s, a)
	c.judge.judge(PromiseNotRun, a.Ran != model.NotRun || !s.mayRun, "query %s: said not run, and a part may have run", l.Key)
}

// results compares each result with what homes returned.
func (c *answerCheck) results(l line, s *entryState, a model.Answer) {
	for _, r := range a.Results {
		returned, ok := s.returned[r.Shard]
		ok = ok && returned == string(r.Result)
		key := resultKey(r.Shard, string(r.Result))
		c.judge.judge(PromiseSnapshot, ok || !s.stale[key], "query %s: the result of %s is not from snapshot %s", l.Key, r.Shard, s.pinned)
		c.judge.judge(PromiseOwnAnswer, ok || s.stale[key] && !s.foreign[key], "query %s: the result of %s was not returned to this query", l.Key, r.Shard)
	}
}

// coverage compares the counts and the result code with what was returned.
func (c *answerCheck) coverage(l line, s *entryState, a model.Answer) {
	got := a.Coverage
	listed := make(map[model.ShardID]bool)
	for _, r := range a.Results {
		listed[r.Shard] = true
	}
	for _, m := range got.Missing {
		listed[m.Shard] = true
	}
	whole := got.Answered == s.total
	ok := got.Total == s.total &&
		got.Answered == len(s.returned) &&
		got.Answered == len(a.Results) &&
		len(listed) == got.Total &&
		got.Answered+len(got.Missing) == got.Total &&
		(a.Code == result.OK) == whole
	c.judge.judge(PromiseCoverage, ok, "query %s: code %d with %d of %d and %d missing, %d of %d returned",
		l.Key, a.Code, got.Answered, got.Total, len(got.Missing), len(s.returned), s.total)
}
