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
	// conditionVersion counts changes that affect the conditions of upstreams.
	conditionVersion uint64
	actions          []Action
	priorities       []*priority
	upstreams        map[string]*upstream
	// orderedUpstreams lists the upstreams in document order.
	orderedUpstreams []*upstream
	operations       map[string]*operationStats
	requests         map[model.AttemptID]*request
	attempts         map[model.AttemptID]*attempt
	// acceptedIDs holds accepted ids until their deadline.
	acceptedIDs  map[model.AttemptID]time.Time
	idsCleanedAt time.Time
	timers       timerQueue
	budgets      budgets
	// hedgeCandidates are attempts whose hedge delay has passed.
	hedgeCandidates []*attempt
	isolation       isolation
	replicas        replicaIndex
	creditedAt      time.Time
	// measuredConcurrency is the mean number of slots in use while work waits.
	measuredConcurrency float64
	lastSeq             uint64
	// medianLatencyFactor caches the group's median latency factor.
	medianLatencyFactor float64
	// probedAt and seqAtProbe limit probes of degraded upstreams.
	probedAt       time.Time
	seqAtProbe     uint64
	probeWasFast   bool
	priorityBuffer []*priority
	// factorBuffer is the buffer of refreshMedian.
	factorBuffer []float64
}

// replicaIndex maps the shards of each snapshot to the group's upstreams.
type replicaIndex map[model.SnapshotID]map[model.ShardID][]*upstream

// idCleanupInterval is the time between removals of expired request ids.
const idCleanupInterval = time.Second

// New returns a scheduler for the group. Its upstreams start cold.
func New(cfg Config, now time.Time) *Scheduler {
	s := &Scheduler{
		cfg:                 cfg,
		now:                 now,
		upstreams:           make(map[string]*upstream),
		operations:          make(map[string]*operationStats),
		requests:            make(map[model.AttemptID]*request),
		attempts:            make(map[model.AttemptID]*attempt),
		acceptedIDs:         make(map[model.AttemptID]time.Time),
		idsCleanedAt:        now,
		creditedAt:          now,
		probedAt:            now,
		timers:              newTimerQueue(),
		budgets:             newBudgets(cfg.Document.Budgets),
		isolation:           newIsolation(),
		medianLatencyFactor: 1,
	}
	s.applyDocument(cfg.Document, cfg.Group)
	s.measuredConcurrency = s.nominalSlots()
	s.actions = nil
	return s
}

// Tick does what has become due: deadlines, hedges, probes.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.beginStep(now)
	return s.finishStep()
}

// NextWake returns the time at which Tick should be called next, and false
// when nothing is due without another call.
func (s *Scheduler) NextWake() (time.Time, bool) { return s.timers.next() }

// Cancel ends a request whose requester went away. Waiting parts are dropped
// and running attempts are stopped.
func (s *Scheduler) Cancel(now time.Time, id model.AttemptID) []Action {
	s.beginStep(now)
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
	s.creditedAt = now
	s.beginStep(now)
	return s.finishStep()
}

// beginStep starts a step: it moves credit and ends what has expired, so that no
// expired work is dispatched by the rest of the step.
func (s *Scheduler) beginStep(now time.Time) {
	if now.Before(s.now) {
		now = s.now
	}
	s.now = now
	s.invalidateConditions()
	s.accrueCredit(now)
	s.removeExpiredIDs()
	for _, u := range s.orderedUpstreams {
		u.backingOff = u.backingOff && now.Before(u.backoffUntil)
	}
	for {
		t, ok := s.timers.due(now)
		if !ok {
			return
		}
		s.handleTimer(t)
	}
}

// handleTimer handles one due timer.
func (s *Scheduler) handleTimer(t timer) {
	switch {
	case t.request != nil:
		s.endRequest(t.request, endDeadline)
	case t.attempt != nil:
		t.attempt.hedgeDue = true
		s.hedgeCandidates = append(s.hedgeCandidates, t.attempt)
	}
}

// finishStep dispatches waiting work and returns the step's actions.
func (s *Scheduler) finishStep() []Action {
	s.invalidateConditions()
	s.dispatch()
	s.startHedges()
	s.reportStateChanges()
	out := s.actions
	s.actions = nil
	return out
}

// removeExpiredIDs forgets request ids whose deadline has passed; such a request is
// refused by its deadline.
func (s *Scheduler) removeExpiredIDs() {
	if s.now.Sub(s.idsCleanedAt) < idCleanupInterval {
		return
	}
	s.idsCleanedAt = s.now
	for id, deadline := range s.acceptedIDs {
		if !deadline.After(s.now) {
			delete(s.acceptedIDs, id)
		}
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) count(name CountName, p *priority, reason string) {
	c := Count{Name: name, Reason: reason}
	if p != nil {
		c.Priority = p.name
	}
	s.emit(c)
}

func (s *Scheduler) reportViolation(invariant string) { s.emit(Broken{Invariant: invariant}) }

// wakeAt makes NextWake return at the latest the given time.
func (s *Scheduler) wakeAt(at time.Time) { s.timers.add(timer{at: at}) }

// statsFor returns the estimates of the named operation.
func (s *Scheduler) statsFor(name string) *operationStats {
	o := s.operations[name]
	if o == nil {
		o = newOperationStats(name)
		s.operations[name] = o
	}
	return o
}
