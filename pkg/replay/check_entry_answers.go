package replay

import (
	"encoding/json"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/query"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// entryAnswerCheck verifies the answers of entries: an answer consists of results
// that homes returned for this query and its pinned snapshot, its coverage matches
// the returned results, it is the only answer to the query, and it says "not run"
// only if no part of the query can have run.
type entryAnswerCheck struct {
	*verdictSet
	contents map[string][]byte
	entries  map[string]*entryState
}

// entryState is the state of one query at its entry, derived from the query's
// lines.
type entryState struct {
	requestedShards []model.ShardID
	document        contentRef
	// requestedCount is the number of requested shards in the pinned snapshot.
	requestedCount int
	pinnedSnapshot model.SnapshotID
	// sent holds the ids of all messages that this query sent to homes. pending
	// holds those that belong to the pinned snapshot and have not ended.
	sent    map[model.AttemptID]bool
	pending map[model.AttemptID]bool
	// returnedResults holds the results that belong in the answer.
	// foreignResults and staleResults hold results that must not be in it.
	// foreignResults come from answers to messages that this query did not send;
	// staleResults come from another snapshot or from a message that had ended.
	returnedResults map[model.ShardID]string
	foreignResults  map[string]bool
	staleResults    map[string]bool
	mayHaveRun      bool
	answered        bool
}

func newEntryAnswerCheck(verdicts *verdictSet, contents map[string][]byte) *entryAnswerCheck {
	return &entryAnswerCheck{verdictSet: verdicts, contents: contents, entries: make(map[string]*entryState)}
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
	s := &entryState{requestedShards: a.Query.Shards, document: a.Document, sent: make(map[model.AttemptID]bool)}
	s.reset()
	c.entries[l.objectKey()] = s
	c.observeActions(l, s, out)
	return nil
}

// reset drops the pinned snapshot and marks its results as stale, because the
// query starts again with another snapshot.
func (s *entryState) reset() {
	for shard, r := range s.returnedResults {
		s.markStale(shard, r)
	}
	s.pinnedSnapshot = ""
	s.pending = make(map[model.AttemptID]bool)
	s.returnedResults = make(map[model.ShardID]string)
}

func resultKey(shard model.ShardID, text string) string { return string(shard) + " " + text }

func (s *entryState) markStale(shard model.ShardID, text string) {
	if s.staleResults == nil {
		s.staleResults = make(map[string]bool)
	}
	s.staleResults[resultKey(shard, text)] = true
}

// addAnswer adds the results of a home's answer to returnedResults,
// foreignResults or staleResults.
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
			setInMap(&s.foreignResults, resultKey(o.Shard, string(o.Result)), true)
		case a.Answer.Snapshot != s.pinnedSnapshot || !s.pending[a.ID]:
			s.mayHaveRun = true
			s.markStale(o.Shard, string(o.Result))
		default:
			s.returnedResults[o.Shard] = string(o.Result)
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
		s.requestedCount = c.countRequestedShards(s)
	}
	for _, a := range actionsOf[query.Reply](out) {
		c.checkAnswer(l, s, a.Answer)
	}
}

func (s *entryState) addMessage(r model.GroupRequest) {
	if s.pinnedSnapshot != "" && s.pinnedSnapshot != r.Snapshot {
		s.reset()
	}
	s.pinnedSnapshot = r.Snapshot
	s.sent[r.ID] = true
	s.pending[r.ID] = true
}

// countRequestedShards counts the shards that the query asks for, from its
// arguments and the document.
func (c *entryAnswerCheck) countRequestedShards(s *entryState) int {
	wanted := make(map[model.ShardID]bool)
	for _, id := range s.requestedShards {
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
		if snapshot.ID == s.pinnedSnapshot {
			return len(snapshot.Shards)
		}
	}
	return 0
}

func (c *entryAnswerCheck) checkAnswer(l line, s *entryState, a model.Answer) {
	c.verdictSet.count(PromiseOwnAnswer, !s.answered, "query %s: a second answer", l.Key)
	s.answered = true
	if s.pinnedSnapshot == "" {
		// The query was refused at once, and nothing was sent to homes.
		c.verdictSet.count(PromiseNotRun, len(a.Results) == 0, "query %s: results without a message to a home", l.Key)
		return
	}
	c.verdictSet.count(PromiseSnapshot, a.Snapshot == s.pinnedSnapshot, "query %s: answered from %s, pinned %s", l.Key, a.Snapshot, s.pinnedSnapshot)
	c.checkResults(l, s, a)
	c.checkCoverage(l, s, a)
	c.verdictSet.count(PromiseNotRun, a.Ran != model.NotRun || !s.mayHaveRun, "query %s: said not run, and a part may have run", l.Key)
}

// checkResults compares each result of an answer with what homes returned.
func (c *entryAnswerCheck) checkResults(l line, s *entryState, a model.Answer) {
	for _, r := range a.Results {
		returned, ok := s.returnedResults[r.Shard]
		ok = ok && returned == string(r.Result)
		key := resultKey(r.Shard, string(r.Result))
		c.verdictSet.count(PromiseSnapshot, ok || !s.staleResults[key], "query %s: the result of %s is not from snapshot %s", l.Key, r.Shard, s.pinnedSnapshot)
		c.verdictSet.count(PromiseOwnAnswer, ok || s.staleResults[key] && !s.foreignResults[key], "query %s: the result of %s was not returned to this query", l.Key, r.Shard)
	}
}

// checkCoverage compares the counts and the result code of an answer with what
// homes returned.
func (c *entryAnswerCheck) checkCoverage(l line, s *entryState, a model.Answer) {
	got := a.Coverage
	listed := make(map[model.ShardID]bool)
	for _, r := range a.Results {
		listed[r.Shard] = true
	}
	for _, m := range got.Missing {
		listed[m.Shard] = true
	}
	whole := got.Answered == s.requestedCount
	ok := got.Total == s.requestedCount &&
		got.Answered == len(s.returnedResults) &&
		got.Answered == len(a.Results) &&
		len(listed) == got.Total &&
		got.Answered+len(got.Missing) == got.Total &&
		(a.Code == result.OK) == whole
	c.verdictSet.count(PromiseCoverage, ok, "query %s: code %d with %d of %d and %d missing, %d of %d returned",
		l.Key, a.Code, got.Answered, got.Total, len(got.Missing), len(s.returnedResults), s.requestedCount)
}
