package instance

import (
	"bytes"
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/replay"
)

// world holds the fakes at the ports of several instances in one process, and
// the fakes' own records, from which the checks are made.
type simulation struct {
	mu        sync.Mutex
	seed      uint64
	rng       *mathrand.Rand
	hosts     []*host
	upstreams map[string]*fakeUpstream
	platform  *fakePlatform
	// cut holds the directions in which nothing passes, by node index.
	cutLinks      map[[2]int]bool
	messageFaults messageFaults
	end           chan struct{}

	violations  []string
	checkCounts map[string]int
	faultCounts map[string]int
	executions  []execution
	// shards holds the shards of every snapshot that was ever published.
	publishedShards map[model.SnapshotID][]model.ShardID
	crashRecords    map[crashKey]*crashRecord
	// leaves holds the services with an upstream that is leaving, and instances
	// all processes that were ever started.
	leavingServices map[string]bool
	allInstances    []*Instance
	// record makes processes record their decisions to traces.
	recordTraces bool
	traces       []*bytes.Buffer
}

// newTrace returns the trace of a new process, or nil.
func (sim *simulation) newTrace() *replay.Trace {
	if !sim.recordTraces {
		return nil
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	trace := new(bytes.Buffer)
	sim.traces = append(sim.traces, trace)
	return replay.NewTrace(trace)
}

func newTestRand(seed, stream uint64) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(seed, stream))
}

// mess holds the probabilities of faults of single messages.
type messageFaults struct{ lost, delayed, duplicated, misrouted, orderDuplicated float64 }

// execution is one run of a request on an upstream.
type execution struct {
	at       time.Time
	tag      string
	shard    model.ShardID
	snapshot model.SnapshotID
	upstream string
	sender   *process
	orderKey string
}

// crashKey names a crashing request at one home process.
type crashKey struct {
	sender *process
	tag    string
}

type crashRecord struct {
	sentBeforeKnown map[string]bool
	crashKnown      bool
	crashes         int
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		seed: seed, rng: mathrand.New(mathrand.NewPCG(seed, 1)), upstreams: make(map[string]*fakeUpstream),
		cutLinks: make(map[[2]int]bool), end: make(chan struct{}),
		checkCounts: make(map[string]int), faultCounts: make(map[string]int),
		publishedShards: make(map[model.SnapshotID][]model.ShardID), crashRecords: make(map[crashKey]*crashRecord),
		leavingServices: make(map[string]bool),
	}
}

func (sim *simulation) recordViolationLocked(name, format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s %s: %s", time.Now().Format("05.000"), name, fmt.Sprintf(format, args...)))
}

// check counts one examination of an invariant and records a violation.
func (sim *simulation) check(name string, ok bool, format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.checkCounts[name]++
	if !ok {
		sim.recordViolationLocked(name, format, args...)
	}
}

func (sim *simulation) chance(p float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return p > 0 && sim.rng.Float64() < p
}

func (sim *simulation) randomBetween(low, high time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return low + time.Duration(sim.rng.Int64N(int64(high-low)+1))
}

func (sim *simulation) currentMessageFaults() messageFaults {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.messageFaults
}

func (sim *simulation) networkDelay() time.Duration {
	return sim.randomBetween(300*time.Microsecond, 1500*time.Microsecond)
}

func (sim *simulation) linkIsCut(from, to int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.cutLinks[[2]int{from, to}]
}

// leavingBound is the bound of the design page, plus the way of a message that
// was sent before it.
const leavingBound = 3*time.Second + 20*time.Millisecond
