package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// coldLimit is the concurrency limit of a cold upstream.
	coldLimit = 1
	// rampStep and warmStep are added to the limit per success below and
	// above the threshold of the last shedding.
	rampStep   = 0.5
	steadyStep = 0.05
	// overloadShare is the share of recent replies that shed from which an
	// upstream counts as overloaded. Fewer refusals are only redirected: while
	// each of them lowered the limit, 10% random refusals at 40% load left the
	// most urgent priority 46% of its answers (docs/design.md).
	overloadShare = 0.25
	// shedWeight is the weight of a reply in that share.
	shedWeight = 0.05
	// shedFactor multiplies the limit when the upstream sheds.
	shedFactor = 0.7
	// maxShedBackoff bounds the time without new attempts after shedding.
	maxShedBackoff = 100 * time.Millisecond
	// drainingDuration is how long a draining reply keeps an upstream out of use
	// unless its health endpoint says otherwise.
	drainingDuration = 30 * time.Second
	// minDrainingDuration is the time after a draining reply in which a hint of
	// health, which may be older than the reply, is ignored.
	minDrainingDuration = 3 * time.Second
	// missingSnapshotDuration is how long a snapshot that an upstream said to lack is
	// asked for elsewhere.
	missingSnapshotDuration = time.Second
)

// upstream is the state of one upstream of the group.
type upstream struct {
	name       string
	address    string
	dataCentre model.DataCentre
	// ceiling is the greatest allowed number of attempts in flight.
	ceiling int
	// maxConnections is the number of connections that this instance may hold.
	maxConnections int
	// limit is the current concurrency limit, coldLimit to ceiling.
	limit float64
	// rampThreshold ends the steep part of the ramp.
	rampThreshold float64
	// startLimit is the limit while the upstream is cold.
	startLimit float64
	running    []*attempt
	breaker    breaker
	// latencyFactor is the mean ratio of the upstream's latency to the median of the
	// operation; samples counts the latencies in it.
	latencyFactor float64
	samples       int
	// limitLoweredAt is the time of the last accepted lowering of the limit.
	limitLoweredAt time.Time
	// shedShare is the share of recent replies that shed.
	shedShare float64
	// consecutiveSheds counts shedding replies since the last success; until heldUntil
	// the upstream gets no new attempts.
	consecutiveSheds int
	backingOff       bool
	backoffUntil     time.Time
	// drainedAt is the time of the last draining reply, or zero.
	drainedAt time.Time
	// leaving is set by the platform's list.
	leaving      bool
	statusReport statusReport
	// missingSnapshots holds snapshots that the upstream lacks, until a time.
	missingSnapshots map[model.SnapshotID]time.Time
	// reserved is true while the upstream is kept free for a suspect.
	reserved bool
	// removed is true when the document no longer has the upstream.
	removed   bool
	condition condition
	// wasAvailable is the value of the last availability check.
	wasAvailable bool
	// reportedState is the state that was last logged.
	reportedState UpstreamState
}

func newUpstream(d *document.Upstream, maxInstances int) *upstream {
	u := &upstream{
		name:             d.Name,
		limit:            coldLimit,
		startLimit:       coldLimit,
		latencyFactor:    1,
		reportedState:    StateCold,
		missingSnapshots: make(map[model.SnapshotID]time.Time),

		wasAvailable: true,
	}
	u.configure(d, maxInstances)
	u.rampThreshold = float64(u.ceiling)
	return u
}

// configure adopts the document's values and keeps what was learned.
func (u *upstream) configure(d *document.Upstream, maxInstances int) {
	u.address = d.Address
	u.dataCentre = d.DataCentre
	u.maxConnections = max(d.ConnectionLimit/max(maxInstances, 1), 1)
	before := u.ceiling
	u.ceiling = max(min(d.Slots, u.maxConnections), 1)
	if u.rampThreshold >= float64(before) {
		u.rampThreshold = float64(u.ceiling)
	}
	u.limit = min(u.limit, float64(u.ceiling))
}

func (u *upstream) inFlight() int { return len(u.running) }

// free reports whether a new attempt may start as far as slots are concerned.
func (u *upstream) free() bool {
	return !u.reserved && !u.backingOff && u.inFlight() < int(u.limit)
}

// condition is what the replica choice needs to know of an upstream. It is
// computed at most once per step, because a step looks at it for every waiting
// shard. The two parts are computed apart, because every step needs the first
// for all upstreams and few need the second.
type condition struct {
	excluded cachedBool
	degraded cachedBool
}

// cachedBool is a value that was computed at a version of the scheduler.
type cachedBool struct {
	version uint64
	value   bool
}

// invalidateConditions makes conditions be computed again. It is called when time advances
// and when something about an upstream was learned.
func (s *Scheduler) invalidateConditions() { s.conditionVersion++ }

// excluded reports whether the upstream must not get new attempts.
func (s *Scheduler) excluded(u *upstream) bool {
	c := &u.condition.excluded
	if c.version != s.conditionVersion {
		c.version = s.conditionVersion
		c.value = u.removed || u.leaving || s.draining(u)
	}
	return c.value
}

// degraded reports whether the upstream is much slower than the group.
func (s *Scheduler) degraded(u *upstream) bool {
	c := &u.condition.degraded
	if c.version != s.conditionVersion {
		c.version = s.conditionVersion
		c.value = s.computeDegraded(u)
	}
	return c.value
}

// draining reports whether the upstream said that it is leaving. A draining
// hint on every upstream of the group is taken for a wrong report; upstreams
// that do drain refuse work with a draining reply.
func (s *Scheduler) draining(u *upstream) bool {
	if !u.drainedAt.IsZero() && s.now.Sub(u.drainedAt) < drainingDuration {
		return true
	}
	return u.statusReport.draining && !s.allReportDraining()
}

func (s *Scheduler) allReportDraining() bool {
	for _, u := range s.orderedUpstreams {
		if !u.statusReport.draining && !u.leaving {
			return false
		}
	}
	return true
}

// recordSuccess records an attempt that the upstream completed.
func (u *upstream) recordSuccess() {
	u.consecutiveSheds = 0
	u.shedShare -= shedWeight * u.shedShare
	step := steadyStep
	if u.limit < u.rampThreshold {
		step = rampStep
	}
	u.limit = min(u.limit+step, float64(u.ceiling))
}

// overloaded reports whether the upstream refuses more than now and then.
func (u *upstream) overloaded() bool { return u.shedShare > overloadShare }

// recordShed records that the upstream shed a call.
func (u *upstream) recordShed(now time.Time, latency time.Duration) {
	u.consecutiveSheds++
	u.shedShare += shedWeight * (1 - u.shedShare)
	if u.overloaded() {
		u.lowerLimit(now, latency)
		u.backOff(now, latency)
	}
}

// lowerLimit lowers the limit, at most once per interval, since the replies to one
// burst say the same thing.
func (u *upstream) lowerLimit(now time.Time, interval time.Duration) {
	if now.Sub(u.limitLoweredAt) < interval {
		return
	}
	u.limitLoweredAt = now
	u.limit = max(min(u.limit, float64(max(u.inFlight(), 1)))*shedFactor, coldLimit)
	u.rampThreshold = u.limit
}

// backOff keeps new attempts from an upstream that sheds, for one latency and
// twice as long after each further shedding. Lowering the limit alone does not
// help when other instances have taken all slots.
func (u *upstream) backOff(now time.Time, latency time.Duration) {
	u.backingOff = true
	u.backoffUntil = now.Add(min(latency<<min(u.consecutiveSheds-1, 10), maxShedBackoff))
}

// resetRamp restarts the ramp after the upstream was out of use.
func (u *upstream) resetRamp() {
	u.limit = u.startLimit
	u.rampThreshold = float64(u.ceiling)
	u.latencyFactor = 1
	u.samples = 0
}

func (u *upstream) lacksSnapshot(now time.Time, snapshot model.SnapshotID) bool {
	until, ok := u.missingSnapshots[snapshot]
	if ok && !until.After(now) {
		delete(u.missingSnapshots, snapshot)
		return false
	}
	return ok
}

func (u *upstream) removeRunning(a *attempt) {
	for i, r := range u.running {
		if r == a {
			u.running = append(u.running[:i], u.running[i+1:]...)
			return
		}
	}
}

// state returns the upstream's state for logs and the status.
func (s *Scheduler) state(u *upstream) UpstreamState {
	switch {
	case u.leaving:
		return StateLeaving
	case s.draining(u):
		return StateDraining
	case u.breaker.open:
		return StateEjected
	case s.degraded(u):
		return StateDegraded
	case u.limit < u.rampThreshold:
		return StateCold
	default:
		return StateActive
	}
}

// reportStateChanges emits the changes of upstream states since the last step.
func (s *Scheduler) reportStateChanges() {
	for _, u := range s.orderedUpstreams {
		state := s.state(u)
		if state == u.reportedState {
			continue
		}
		u.reportedState = state
		s.emit(UpstreamChange{Upstream: u.name, State: state})
	}
}

// nominalSlots returns the number of slots of all upstreams.
func (s *Scheduler) nominalSlots() float64 {
	n := 0
	for _, u := range s.orderedUpstreams {
		n += u.ceiling
	}
	return float64(max(n, 1))
}

// usableSlots returns the number of slots of the upstreams in normal use.
func (s *Scheduler) usableSlots() float64 {
	n := 0.0
	for _, u := range s.orderedUpstreams {
		if s.excluded(u) || u.breaker.open || s.degraded(u) {
			continue
		}
		n += s.expectedLimit(u)
	}
	return max(n, 1)
}

// expectedLimit is the limit that counts for admission: a cold upstream ramps
// up within a few replies, so that its threshold counts.
func (s *Scheduler) expectedLimit(u *upstream) float64 {
	return float64(int(max(u.limit, u.rampThreshold)))
}
