package upstream

import (
	"encoding/json"
	"sync"
	"time"
	"unique"
)

// maxExecutions bounds the log of one process. Further executions are dropped and
// their number is reported, so that a reader of the log knows when it is incomplete.
const maxExecutions = 2_000_000

// Execution is one request that started to run. The log of executions records what ran,
// independently of what the gateways report.
type Execution struct {
	Sequence int    `json:"sequence"`
	Upstream string `json:"upstream"`
	Attempt  string `json:"attempt"`
	OrderKey string `json:"order_key,omitempty"`
	Service  string `json:"service"`
	// Request, Caller, Priority and Mark are copied from the payload. The load
	// generator writes all of them except Caller.
	Request   string    `json:"request,omitempty"`
	Caller    string    `json:"caller,omitempty"`
	Priority  string    `json:"priority,omitempty"`
	Mark      string    `json:"mark,omitempty"`
	Operation string    `json:"operation"`
	Snapshot  string    `json:"snapshot"`
	Shard     string    `json:"shard"`
	Start     time.Time `json:"start"`
	// End is zero while the request runs.
	End     time.Time `json:"end"`
	Outcome string    `json:"outcome"`
}

// Log holds the executions of all upstreams of a process.
type Log struct {
	mu            sync.Mutex
	entries       []Execution
	dropped       int
	startsByOrder map[string]int
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{startsByOrder: make(map[string]int)} }

// recordStart records the start of an execution and returns its index in the log, or -1
// if the log is full. It counts starts of orders even if the log is full.
func (l *Log) recordStart(e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.OrderKey != "" {
		l.startsByOrder[e.OrderKey]++
	}
	if len(l.entries) >= maxExecutions {
		l.dropped++
		return -1
	}
	e.Sequence = len(l.entries)
	// Entries share equal strings to save memory.
	for _, text := range []*string{&e.Service, &e.Operation, &e.Snapshot, &e.Shard, &e.Caller, &e.Priority, &e.Mark} {
		*text = unique.Make(*text).Value()
	}
	l.entries = append(l.entries, e)
	return e.Sequence
}

func (l *Log) recordEnd(index int, end time.Time, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index >= 0 && index < len(l.entries) {
		l.entries[index].End = end
		l.entries[index].Outcome = outcome
	}
}

// Executions is the answer of GET /admin/executions.
type Executions struct {
	Executions []Execution `json:"executions"`
	// Next is the value of "since" for the next page.
	Next int `json:"next"`
	// Total is the number of executions in the log.
	Total   int `json:"total"`
	Dropped int `json:"dropped"`
}

// page returns up to limit executions, starting at the sequence number since. An empty
// page means that there are no more. With ordersOnly, requests that are not orders are
// left out.
func (l *Log) page(since, limit int, ordersOnly bool) Executions {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Executions{Executions: []Execution{}, Next: max(0, since), Total: len(l.entries), Dropped: l.dropped}
	for out.Next < len(l.entries) && len(out.Executions) < limit {
		e := l.entries[out.Next]
		out.Next++
		if !ordersOnly || e.OrderKey != "" {
			out.Executions = append(out.Executions, e)
		}
	}
	return out
}

// All returns a copy of all executions.
func (l *Log) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.entries...)
}

// duplicates returns the keys of the orders that started more than once, with the
// number of their starts.
func (l *Log) duplicates() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int)
	for key, n := range l.startsByOrder {
		if n > 1 {
			out[key] = n
		}
	}
	return out
}

func (l *Log) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = nil
	l.dropped = 0
	l.startsByOrder = make(map[string]int)
}

// labels are the fields of a payload that are copied to the execution log.
type labels struct {
	Request  string `json:"request"`
	Caller   string `json:"caller"`
	Priority string `json:"priority"`
	Mark     string `json:"mark"`
}

func labelsOf(payload json.RawMessage) labels {
	var l labels
	_ = json.Unmarshal(payload, &l)
	return l
}
