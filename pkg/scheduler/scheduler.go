// Package scheduler makes all decisions for one scheduling group at its home:
// admission, the order between priorities and between callers, the use of
// upstream slots, replica choice, hedges, retries, circuit breakers, and the
// isolation of requests that crash upstreams. It does no I/O and starts no
// goroutines: the driver, which is the code that owns a scheduler, passes in
// the time, the random source and the id generator, and receives the effects to
// carry out as actions. The driver must serialise its calls and call Tick at
// the time that NextWake returns.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// Quarantine reports which fingerprints are refused because their requests
// crash upstreams.
type Quarantine interface {
	Blocked(now time.Time, f model.Fingerprint) bool
}

// Config holds the parameters and dependencies of a scheduler.
type Config struct {
	Document        *document.Document
	Group           document.Group
	LocalDataCentre model.DataCentre
	// MaxInstances is the number of instances that share the connection limit
	// of each upstream; this instance uses one equal part of it.
	MaxInstances int
	NewID        func() model.AttemptID
	Rand         *rand.Rand
	Quarantine   Quarantine
	// Overrides is the zero value on instances. Only comparison runs set it.
	Overrides Overrides
}

// Scheduler holds the state of one group. It is not safe for concurrent use.
type Scheduler struct {
	cfg Config
	now time.Time
	// conditionVersion invalidates the cached conditions of upstreams; it is
	// incremented whenever they may have changed.
	conditionVersion uint64
	actions          []Action
	priorities       []*priority
	upstreams        map[string]*upstream
	// orderedUpstreams lists the upstreams in document order.
	orderedUpstreams []*upstream
	operations       map[string]*operationStats
	requests         map[model.AttemptID]*request
	attempts         map[model.AttemptID]*attempt
	// acceptedIDs maps the ids of admitted requests to their deadlines, until
	// which a repeated id is refused as a duplicate.
	acceptedIDs  map[model.AttemptID]time.Time
	idsCleanedAt time.Time
	timers       timerQueue
	budgets      budgets
	// hedgeCandidates are running attempts whose hedge delay has passed.
	hedgeCandidates []*attempt
	isolation       isolation
	replicas        replicaIndex
	creditedAt      time.Time
	// measuredConcurrency is the moving average of the number of slots in use
	// while work waits, and of the number of usable slots while none waits.
	measuredConcurrency float64
	lastSeq             uint64
	// medianLatencyFactor caches the median of the upstreams' latency factors.
	medianLatencyFactor float64
	// probedAt and seqAtProbe are the time and the admission count at the last
	// probe of a degraded upstream; they limit the rate of such probes.
	// probeWasFast reports whether that probe showed normal latency.
	probedAt     time.Time
	seqAtProbe   uint64
	probeWasFast bool
	// priorityBuffer and factorBuffer are reused by prioritiesByCredit and
	// refreshMedianFactor, so that these do not allocate in every step.
	priorityBuffer []*priority
	factorBuffer   []float64
}

// replicaIndex maps each shard of each snapshot to the upstreams of the group
// that hold it.
type replicaIndex map[model.SnapshotID]map[model.ShardID][]*upstream

// idCleanupInterval is the time between removals of expired ids from
// acceptedIDs.
const idCleanupInterval = time.Second

// New returns a scheduler for the group. All its upstreams start cold, with a
// low concurrency limit.
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

// Tick handles the timers that are due: request deadlines, hedge delays and
// probes.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.beginStep(now)
	return s.finishStep()
}

// NextWake returns the time at which Tick must be called next. It returns false
// if no timer is pending.
func (s *Scheduler) NextWake() (time.Time, bool) { return s.timers.next() }

// Cancel ends a request whose sender no longer waits for the answer. Its waiting
// parts are dropped, and its running attempts are stopped unless they are
// isolated.
func (s *Scheduler) Cancel(now time.Time, id model.AttemptID) []Action {
	s.beginStep(now)
	if r := s.requests[id]; r != nil {
		s.endRequest(r, endCancelled)
	}
	return s.finishStep()
}

// Resume must be called after the process was paused for gap. It ends expired
// work before anything is dispatched, and marks the running attempts so that
// their durations, which include the pause, do not count as latencies of the
// upstreams.
func (s *Scheduler) Resume(now time.Time, gap time.Duration) []Action {
	for _, a := range s.attempts {
		a.paused = true
	}
	s.creditedAt = now
	s.beginStep(now)
	return s.finishStep()
}

// beginStep starts a scheduling step: it updates the priorities' credit and
// handles all due timers, so that the rest of the step dispatches no expired
// work.
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

// handleTimer handles one due timer: it ends a request at its deadline or makes
// an attempt a hedge candidate.
func (s *Scheduler) handleTimer(t timer) {
	switch {
	case t.request != nil:
		s.endRequest(t.request, endDeadline)
	case t.attempt != nil:
		t.attempt.hedgeDue = true
		s.hedgeCandidates = append(s.hedgeCandidates, t.attempt)
	}
}

// finishStep ends a scheduling step: it dispatches waiting work and returns the
// actions of the step.
func (s *Scheduler) finishStep() []Action {
	s.invalidateConditions()
	s.dispatch()
	s.startHedges()
	s.reportStateChanges()
	out := s.actions
	s.actions = nil
	return out
}

// removeExpiredIDs removes request ids whose deadline has passed. If such a
// request is sent again, it is refused because of its deadline.
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

// wakeAt ensures that NextWake returns a time no later than the given one.
func (s *Scheduler) wakeAt(at time.Time) { s.timers.add(timer{at: at}) }

// statsFor returns the latency statistics of the named operation and creates
// them on first use.
func (s *Scheduler) statsFor(name string) *operationStats {
	o := s.operations[name]
	if o == nil {
		o = newOperationStats(name)
		s.operations[name] = o
	}
	return o
}
