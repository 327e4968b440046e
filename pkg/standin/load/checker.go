package load

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

const (
	// checkOwnAnswer: each result belongs to the request that was sent and to the
	// shard that the answer names for it.
	checkOwnAnswer = "own_answer"
	// checkOneSnapshot: all results of an answer are from the answer's snapshot.
	checkOneSnapshot = "one_snapshot"
	// checkCoverage: the stated coverage matches the results and missing shards.
	checkCoverage = "coverage"
	// checkPartialMarked: a successful answer has the code of a partial answer if and
	// only if shards are missing.
	checkPartialMarked = "partial_marked"
	// checkNotRun: no upstream ran a request that was answered as not run.
	checkNotRun = "not_run"
	// checkAtMostOnce: no order ran more than once.
	checkAtMostOnce = "at_most_once"
	// checkOrderRan: each order that was answered as run did run.
	checkOrderRan = "order_ran"
	// maxSamplesPerCheck is the largest number of violations of a property that the
	// report describes.
	maxSamplesPerCheck = 5
)

// Violation counts the violations of one checked property and describes the first
// of them.
type Violation struct {
	Count   int      `json:"count"`
	Samples []string `json:"samples"`
}

// checker collects violations of the checked properties. It keeps whether the answers
// say that a request ran, until this is compared with the upstreams' execution logs.
type checker struct {
	mu         sync.Mutex
	violations map[string]*Violation
	// notRunQueries holds the ids of queries that were answered as not run.
	notRunQueries map[string]bool
	// lastOrderRan holds, by order, the field "ran" of the last answer.
	lastOrderRan map[string]string
	// queryExecutions and orderExecutions count executions by request id.
	queryExecutions map[string]int
	orderExecutions map[string]int
}

func newChecker() *checker {
	return &checker{
		violations:      make(map[string]*Violation),
		notRunQueries:   make(map[string]bool),
		lastOrderRan:    make(map[string]string),
		queryExecutions: make(map[string]int),
		orderExecutions: make(map[string]int),
	}
}

// addViolation counts a violation of a property and describes it.
func (c *checker) addViolation(check, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.violations[check]
	if v == nil {
		v = &Violation{}
		c.violations[check] = v
	}
	v.Count++
	if len(v.Samples) < maxSamplesPerCheck {
		v.Samples = append(v.Samples, fmt.Sprintf(format, args...))
	}
}

// upstreamResult is the result of an execution at an upstream stand-in.
type upstreamResult struct {
	Shard    string `json:"shard"`
	Snapshot string `json:"snapshot"`
	Request  string `json:"request"`
}

// checkQuery checks the properties of an answer that need no execution log, and
// records whether the query was answered as not run.
func (c *checker) checkQuery(id string, a Answer) {
	if a.Ran == "not_run" {
		c.mu.Lock()
		c.notRunQueries[id] = true
		c.mu.Unlock()
	}
	seen := make(map[string]bool, len(a.Results))
	for _, r := range a.Results {
		c.checkShardResult(id, a.Snapshot, r)
		if seen[r.Shard] {
			c.addViolation(checkCoverage, "request %s: two results for shard %s", id, r.Shard)
		}
		seen[r.Shard] = true
	}
	cov := a.Coverage
	if cov.Answered != len(a.Results) || cov.Answered+len(cov.Missing) != cov.Total && isSuccess(a.Code) {
		c.addViolation(checkCoverage, "request %s: %d results, coverage %d of %d with %d missing", id, len(a.Results), cov.Answered, cov.Total, len(cov.Missing))
	}
	for _, m := range cov.Missing {
		if seen[m.Shard] {
			c.addViolation(checkCoverage, "request %s: shard %s has a result and is missing", id, m.Shard)
		}
	}
	if isSuccess(a.Code) && (a.Code == codePartial) != (cov.Answered < cov.Total) {
		c.addViolation(checkPartialMarked, "request %s: code %d with coverage %d of %d", id, a.Code, cov.Answered, cov.Total)
	}
}

// checkShardResult checks that a result belongs to the request with the id and to the
// shard that the answer names for it, and that it is from the answer's snapshot.
func (c *checker) checkShardResult(id, snapshot string, r ShardResult) {
	var got upstreamResult
	if err := json.Unmarshal(r.Result, &got); err != nil || got.Request != id || got.Shard != r.Shard {
		c.addViolation(checkOwnAnswer, "request %s, shard %s: result %s", id, r.Shard, r.Result)
		return
	}
	if got.Snapshot != snapshot {
		c.addViolation(checkOneSnapshot, "request %s, shard %s: snapshot %s in an answer from %s", id, r.Shard, got.Snapshot, snapshot)
	}
}

// recordOrder checks the result of an order's last answer, and records whether the
// answer says that the order ran.
func (c *checker) recordOrder(id string, a OrderAnswer) {
	if isSuccess(a.Code) {
		var got upstreamResult
		if err := json.Unmarshal(a.Result, &got); err != nil || got.Request != id {
			c.addViolation(checkOwnAnswer, "order %s: result %s", id, a.Result)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastOrderRan[id] = a.Ran
}

// countExecution counts an entry of the upstreams' execution logs.
func (c *checker) countExecution(e upstream.Execution) {
	if e.OrderKey != "" {
		c.orderExecutions[e.Request]++
		return
	}
	c.queryExecutions[e.Request]++
}

// compareWithExecutions compares the counted executions with the answers, which say
// whether requests ran.
func (c *checker) compareWithExecutions() {
	for id, n := range c.orderExecutions {
		if n > 1 {
			c.addViolation(checkAtMostOnce, "order %s ran %d times", id, n)
		}
	}
	for id, ran := range c.lastOrderRan {
		switch {
		case ran == "not_run" && c.orderExecutions[id] > 0:
			c.addViolation(checkNotRun, "order %s was refused as not run and ran", id)
		case ran == "ran" && c.orderExecutions[id] == 0:
			c.addViolation(checkOrderRan, "order %s was reported as run and did not run", id)
		}
	}
	for id := range c.notRunQueries {
		if c.queryExecutions[id] > 0 {
			c.addViolation(checkNotRun, "query %s was refused as not run and ran on %d shards", id, c.queryExecutions[id])
		}
	}
}

// Result codes of successful answers.
const (
	codeOK      = 1000
	codePartial = 1001
)

// isSuccess reports whether a result code is that of a complete or a partial
// answer.
func isSuccess(code int) bool { return code >= 1000 && code < 2000 }
