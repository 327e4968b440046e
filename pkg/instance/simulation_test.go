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

// simulation runs several instances in one process. It holds the fakes behind their
// ports and the records that the fakes keep. The checks compare these records with
// the instances' answers. mu guards all fields that change during a run.
type simulation struct {
	mu        sync.Mutex
	seed      uint64
	rng       *mathrand.Rand
	hosts     []*host
	upstreams map[string]*fakeUpstream
	platform  *fakePlatform
	// cutLinks holds true for each cut link. A link is a pair of host indexes, sender
	// and receiver; if it is cut, the sender's messages don't reach the receiver.
	cutLinks      map[[2]int]bool
	messageFaults messageFaults
	end           chan struct{} // Closed when the simulation ends.

	violations  []string
	checkCounts map[string]int
	faultCounts map[string]int
	executions  []execution
	// publishedShards holds the shards of every snapshot that was ever published.
	publishedShards map[model.SnapshotID][]model.ShardID
	crashRecords    map[crashKey]*crashRecord
	// leavingServices holds true for each service of which an upstream is leaving.
	// allInstances holds the instances of all processes that were ever started.
	leavingServices map[string]bool
	allInstances    []*Instance
	// recordTraces makes each process record its decisions in one of traces.
	recordTraces bool
	traces       []*bytes.Buffer
}

// newTrace returns the trace of a new process, or nil if traces are not recorded.
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

// messageFaults holds the probabilities of faults of single messages. misrouted
// is also the probability that an upstream answers for another request, shard or
// snapshot. orderDuplicated applies to orders that one instance passes to another,
// duplicated to all other messages between instances.
type messageFaults struct{ lost, delayed, duplicated, misrouted, orderDuplicated float64 }

// execution is one run of a request on an upstream. sender is the process that sent
// it there.
type execution struct {
	at       time.Time
	tag      string
	shard    model.ShardID
	snapshot model.SnapshotID
	upstream string
	sender   *process
	orderKey string
}

// crashKey identifies a crashing request at one home process.
type crashKey struct {
	sender *process
	tag    string
}

// crashRecord records the crashes that one request caused through one home.
type crashRecord struct {
	// sentBeforeCrashKnown holds the upstreams to which the home sent the request
	// before crashKnown became true. crashKnown is true once a call of the home for
	// the request has ended with a broken connection.
	sentBeforeCrashKnown map[string]bool
	crashKnown           bool
	crashes              int
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

// recordViolationLocked records a violation. It must be called with sim.mu locked.
func (sim *simulation) recordViolationLocked(name, format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s %s: %s", time.Now().Format("05.000"), name, fmt.Sprintf(format, args...)))
}

// check counts one check of the named invariant and records a violation if ok is
// false.
func (sim *simulation) check(name string, ok bool, format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.checkCounts[name]++
	if !ok {
		sim.recordViolationLocked(name, format, args...)
	}
}

// chance returns true with probability p.
func (sim *simulation) chance(p float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return p > 0 && sim.rng.Float64() < p
}

// randomBetween returns a random duration from low to high, both included.
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

// leavingBound is how long an upstream may still get new work after it has first
// shown that it is leaving: 3 s according to the design page, plus 20 ms for a
// message that was sent within the 3 s.
const leavingBound = 3*time.Second + 20*time.Millisecond
