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
type entryAnswerCheck struct {
	*verdictSet
	contents map[string][]byte
	entries  map[string]*entryState
}

// entryState is what the lines of one query show.
type entryState struct {
	wanted   []model.ShardID
	document contentRef
	// total is the number of wanted shards in the pinned snapshot.
	total  int
	pinned model.SnapshotID
	// sent holds the ids of this query's messages, and live those that belong
	// to the pinned snapshot and have not ended.
	sent    map[model.AttemptID]bool
	pending map[model.AttemptID]bool
	// returned holds the results that count, and others those that must not.
	returned   map[model.ShardID]string
	foreign    map[string]bool
	stale      map[string]bool
	mayHaveRun bool
	answered   bool
}

func newEntryAnswerCheck(j *verdictSet, contents map[string][]byte) *entryAnswerCheck {
	return &entryAnswerCheck{verdictSet: j, contents: contents, entries: make(map[string]*entryState)}
}

func (c *entryAnswerCheck) finish() {}

func (c *entryAnswerCheck) observe(l line, out any) error {
	if l.Component != componentQuery {
		return nil
	}
	if l.Call == "open" {
		return c.openQuery(l, out)
	}
	s := c.entries[l.objectKey()]
	if s == nil {
		return nil
	}
	switch l.Call {
	case "answered":
		a, err := decode[queryAnsweredArgs](l.Args)
		if err != nil {
			return err
		}
		if a.Instance.Document != nil {
			s.document = *a.Instance.Document
		}
		s.addAnswer(a)
	case "failed":
		a, err := decode[queryFailedArgs](l.Args)
		if err != nil {
			return err
		}
		s.mayHaveRun = s.mayHaveRun || a.Ran != model.NotRun
		delete(s.pending, a.ID)
	}
	c.observeActions(l, s, out)
	return nil
}

func (c *entryAnswerCheck) openQuery(l line, out any) error {
	a, err := decode[queryOpenArgs](l.Args)
	if err != nil {
		return err
	}
	if _, refused := out.(queryRefusedResult); refused {
		return nil
	}
	s := &entryState{wanted: a.Query.Shards, document: a.Document, sent: make(map[model.AttemptID]bool)}
	s.reset()
	c.entries[l.objectKey()] = s
	c.observeActions(l, s, out)
	return nil
}

// reset forgets the results of an abandoned snapshot.
func (s *entryState) reset() {
	for shard, r := range s.returned {
		s.markStale(shard, r)
	}
	s.pinned = ""
	s.pending = make(map[model.AttemptID]bool)
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
func (s *entryState) addAnswer(a queryAnsweredArgs) {
	own := a.Answer.ID == a.ID && s.sent[a.ID]
	if a.Answer.Code == result.DuplicateAttempt || !own {
		s.mayHaveRun = true
	}
	for _, o := range a.Answer.Outcomes {
		s.mayHaveRun = s.mayHaveRun || o.Ran != model.NotRun
		if o.Code != result.OK || a.Answer.Code != result.OK {
			continue
		}
		switch {
		case !own:
			setInMap(&s.foreign, resultKey(o.Shard, string(o.Result)), true)
		case a.Answer.Snapshot != s.pinned || !s.pending[a.ID]:
			s.mayHaveRun = true
			s.markStale(o.Shard, string(o.Result))
		default:
			s.returned[o.Shard] = string(o.Result)
		}
	}
	delete(s.pending, a.ID)
}

func (c *entryAnswerCheck) observeActions(l line, s *entryState, out any) {
	if len(actionsOf[query.Restarted](out)) > 0 {
		s.reset()
	}
	for range actionsOf[query.Abort](out) {
		s.mayHaveRun = true
	}
	for _, a := range actionsOf[query.Send](out) {
		s.addMessage(a.Request)
		s.total = c.countWantedShards(s)
	}
	for _, a := range actionsOf[query.Reply](out) {
		c.checkAnswer(l, s, a.Answer)
	}
}

func (s *entryState) addMessage(r model.GroupRequest) {
	if s.pinned != "" && s.pinned != r.Snapshot {
		s.reset()
	}
	s.pinned = r.Snapshot
	s.sent[r.ID] = true
	s.pending[r.ID] = true
}

// wantedShards counts the query's shards from its arguments and the document.
func (c *entryAnswerCheck) countWantedShards(s *entryState) int {
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
	if err := json.Unmarshal(c.contents[s.document.key()], &d); err != nil {
		return 0
	}
	for _, snapshot := range d.Snapshots {
		if snapshot.ID == s.pinned {
			return len(snapshot.Shards)
		}
	}
	return 0
}

func (c *entryAnswerCheck) checkAnswer(l line, s *entryState, a model.Answer) {
	c.verdictSet.count(PromiseOwnAnswer, !s.answered, "query %s: a second answer", l.Key)
	s.answered = true
	if s.pinned == "" {
		// Nothing was sent: the query was refused at once.
		c.verdictSet.count(PromiseNotRun, len(a.Results) == 0, "query %s: results without a message to a home", l.Key)
		return
	}
	c.verdictSet.count(PromiseSnapshot, a.Snapshot == s.pinned, "query %s: answered from %s, pinned %s", l.Key, a.Snapshot, s.pinned)
	c.checkResults(l, s, a)
	c.checkCoverage(l, s, a)
	c.verdictSet.count(PromiseNotRun, a.Ran != model.NotRun || !s.mayHaveRun, "query %s: said not run, and a part may have run", l.Key)
}

// results compares each result with what homes returned.
func (c *entryAnswerCheck) checkResults(l line, s *entryState, a model.Answer) {
	for _, r := range a.Results {
		returned, ok := s.returned[r.Shard]
		ok = ok && returned == string(r.Result)
		key := resultKey(r.Shard, string(r.Result))
		c.verdictSet.count(PromiseSnapshot, ok || !s.stale[key], "query %s: the result of %s is not from snapshot %s", l.Key, r.Shard, s.pinned)
		c.verdictSet.count(PromiseOwnAnswer, ok || s.stale[key] && !s.foreign[key], "query %s: the result of %s was not returned to this query", l.Key, r.Shard)
	}
}

// coverage compares the counts and the result code with what was returned.
func (c *entryAnswerCheck) checkCoverage(l line, s *entryState, a model.Answer) {
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
	c.verdictSet.count(PromiseCoverage, ok, "query %s: code %d with %d of %d and %d missing, %d of %d returned",
		l.Key, a.Code, got.Answered, got.Total, len(got.Missing), len(s.returned), s.total)
}
