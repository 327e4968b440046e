// Package scheduler makes all decisions for one scheduling group at its home:
// admission, order between priorities and callers, slots, replica choice,
// hedges, retries, breakers and the isolation of requests that crash
// upstreams. It is pure: time, random numbers and ids come from outside, and
// what must happen is returned as actions. Its owner serialises the calls and
// calls Tick when NextWake says so.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// Quarantine tells which requests are refused because they crash upstreams.
type Quarantine interface {
	Blocked(now time.Time, f model.Fingerprint) bool
}

// Config is what a scheduler needs from its owner.
type Config struct {
	Document        *document.Document
	Group           document.Group
	LocalDataCentre model.DataCentre
	// MaxInstances divides the connection limit of each upstream.
	MaxInstances int
	NewID        func() model.AttemptID
	Rand         *rand.Rand
	Quarantine   Quarantine
	// Overrides is the zero value except in comparisons.
	Overrides Overrides
}

// Scheduler holds the state of one group. It is not safe for concurrent use.
type Scheduler struct {
	cfg Config
	now time.Time
	// version counts changes that affect the conditions of upstreams.
	version    uint64
	out        []Action
	priorities []*priority
	upstreams  map[string]*upstream
	// order lists the upstreams in document order.
	order      []*upstream
	operations map[string]*operation
	requests   map[model.AttemptID]*request
	attempts   map[model.AttemptID]*attempt
	// seen holds accepted ids until their deadline.
	seen    map[model.AttemptID]time.Time
	sweptAt time.Time
	timers  timerQueue
	budgets budgets
	// overdue are attempts whose hedge delay has passed.
	overdue   []*attempt
	isolation isolation
	replicas  replicaIndex
	accruedAt time.Time
	// concurrency is the mean number of slots in use while work waits.
	concurrency float64
	nextSeq     uint64
	// medianFactor caches the group's median latency factor.
	medianFactor float64
	// probedAt and seqAtProbe limit probes of degraded upstreams.
	probedAt     time.Time
	seqAtProbe   uint64
	probeWasFast bool
	orderBuffer  []*priority
	// factors is the buffer of refreshMedian.
	factors []float64
}

// replicaIndex maps the shards of each snapshot to the group's upstreams.
type replicaIndex map[model.SnapshotID]map[model.ShardID][]*upstream

// sweepInterval is the time between removals of expired request ids.
const sweepInterval = time.Second

// New returns a scheduler for the group. Its upstreams start cold.
func New(cfg Config, now time.Time) *Scheduler {
	s := &Scheduler{
		cfg:          cfg,
		now:          now,
		upstreams:    make(map[string]*upstream),
		operations:   make(map[string]*operation),
		requests:     make(map[model.AttemptID]*request),
		attempts:     make(map[model.AttemptID]*attempt),
		seen:         make(map[model.AttemptID]time.Time),
		sweptAt:      now,
		accruedAt:    now,
		probedAt:     now,
		timers:       newTimerQueue(),
		budgets:      newBudgets(cfg.Document.Budgets),
		isolation:    newIsolation(),
		medianFactor: 1,
	}
	s.adopt(cfg.Document, cfg.Group)
	s.concurrency = s.nominalSlots()
	s.out = nil
	return s
}

// Tick does what has become due: deadlines, hedges, probes.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.begin(now)
	return s.finishStep()
}

// NextWake returns the time at which Tick should be called next, and false
// when nothing is due without another call.
func (s *Scheduler) NextWake() (time.Time, bool) { return s.timers.next() }

// Cancel ends a request whose requester went away. Waiting parts are dropped
// and running attempts are stopped.
func (s *Scheduler) Cancel(now time.Time, id model.AttemptID) []Action {
	s.begin(now)
	if r := s.requests[id]; r != nil {
		s.endRequest(r, endCancelled)
	}
	return s.finishStep()
}

// Resume is called after the process was paused for gap. Expired work is
// dropped before anything is dispatched, and what was measured across the
// pause is not attributed to upstreams.
func (s *Scheduler) Resume(now time.Time, gap time.Duration) []Action {
	for _, a := range s.attempts {
		a.paused = true
	}
	s.accruedAt = now
	s.begin(now)
	return s.finishStep()
}

// begin starts a step: it moves credit and ends what has expired, so that no
// expired work is dispatched by the rest of the step.
func (s *Scheduler) begin(now time.Time) {
	if now.Before(s.now) {
		now = s.now
	}
	s.now = now
	s.changed()
	s.accrue(now)
	s.sweep()
	for _, u := range s.order {
		u.held = u.held && now.Before(u.heldUntil)
	}
	for {
		t, ok := s.timers.due(now)
		if !ok {
			return
		}
		s.fire(t)
	}
}

// fire handles one due timer.
func (s *Scheduler) fire(t timer) {
	switch {
	case t.request != nil:
		s.endRequest(t.request, endDeadline)
	case t.attempt != nil:
		t.attempt.hedgeDue = true
		s.overdue = append(s.overdue, t.attempt)
	}
}

// finishStep dispatches waiting work and returns the step's actions.
func (s *Scheduler) finishStep() []Action {
	s.changed()
	s.dispatch()
	s.hedge()
	s.reportStates()
	out := s.out
	s.out = nil
	return out
}

// sweep forgets request ids whose deadline has passed; such a request is
// refused by its deadline.
func (s *Scheduler) sweep() {
	if s.now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = s.now
	for id, deadline := range s.seen {
		if !deadline.After(s.now) {
			delete(s.seen, id)
		}
	}
}

func (s *Scheduler) emit(a Action) { s.out = append(s.out, a) }

func (s *Scheduler) count(name CountName, p *priority, reason string) {
	c := Count{Name: name, Reason: reason}
	if p != nil {
		c.Priority = p.name
	}
	s.emit(c)
}

func (s *Scheduler) broken(invariant string) { s.emit(Broken{Invariant: invariant}) }

// wakeAt makes NextWake return at the latest the given time.
func (s *Scheduler) wakeAt(at time.Time) { s.timers.add(timer{at: at}) }

// operationFor returns the estimates of the named operation.
func (s *Scheduler) operationFor(name string) *operation {
	o := s.operations[name]
	if o == nil {
		o = newOperation(name)
		s.operations[name] = o
	}
	return o
}
