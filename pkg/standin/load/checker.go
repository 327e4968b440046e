package load

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// Names of the checked properties.
const (
	checkOwnAnswer     = "own_answer"
	checkOneSnapshot   = "one_snapshot"
	checkCoverage      = "coverage"
	checkPartialMarked = "partial_marked"
	checkNotRun        = "not_run"
	checkAtMostOnce    = "at_most_once"
	checkOrderRan      = "order_ran"
	maxSamplesPerCheck = 5
)

// Violation counts broken properties of one kind.
type Violation struct {
	Count   int      `json:"count"`
	Samples []string `json:"samples"`
}

// checker collects violations, and the final outcome of each request for the
// comparison with the execution log.
type checker struct {
	mu            sync.Mutex
	violations    map[string]*Violation
	notRunQueries map[string]bool
	lastOrderRan  map[string]string
	// ranQueries and ranOrders count executions by request id.
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

// upstreamResult is the result that the upstream stand-in produces.
type upstreamResult struct {
	Shard    string `json:"shard"`
	Snapshot string `json:"snapshot"`
	Request  string `json:"request"`
}

// query checks an answer on its own.
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

// order records an order's last word. An earlier "ran" stays.
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

// executed counts an execution from the upstreams' log.
func (c *checker) countExecution(e upstream.Execution) {
	if e.OrderKey != "" {
		c.orderExecutions[e.Request]++
		return
	}
	c.queryExecutions[e.Request]++
}

// compare compares the outcomes with what the upstreams ran.
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

const (
	codeOK      = 1000
	codePartial = 1001
)

func isSuccess(code int) bool { return code >= 1000 && code < 2000 }
