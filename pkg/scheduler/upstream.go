package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// coldLimit is the concurrency limit of a cold upstream.
	coldLimit = 1
	// rampStep and steadyStep are added to the limit per successful attempt,
	// below and above the ramp threshold. The threshold is the ceiling at first
	// and the lowered limit after a refusal for overload.
	rampStep   = 0.5
	steadyStep = 0.05
	// overloadShare is the share of refusals for overload among recent replies
	// above which an upstream counts as overloaded. Below it, a refusal only
	// sends the attempt to another upstream: when each refusal lowered the
	// limit, 10% random refusals at 40% load left the most urgent priority 46%
	// of its answers (docs/design.md).
	overloadShare = 0.25
	// shedWeight is the weight of a reply in the moving average of that share.
	shedWeight = 0.05
	// shedFactor multiplies the limit when the upstream refuses a call for
	// overload.
	shedFactor = 0.7
	// maxShedBackoff bounds the time without new attempts after a refusal for
	// overload.
	maxShedBackoff = 100 * time.Millisecond
	// drainingDuration is the time for which a draining reply excludes an
	// upstream unless its health endpoint reports earlier that it no longer
	// drains.
	drainingDuration = 30 * time.Second
	// minDrainingDuration is the time after a draining reply for which a
	// healthy report is ignored, because it may be older than the reply.
	minDrainingDuration = 3 * time.Second
	// missingSnapshotDuration is the time for which an upstream is avoided for
	// a snapshot that it reported as missing.
	missingSnapshotDuration = time.Second
)

// upstream is the state of one upstream of the group.
type upstream struct {
	name       string
	address    string
	dataCentre model.DataCentre
	// ceiling is the greatest allowed number of attempts in flight.
	ceiling int
	// maxConnections is the number of connections that this instance may have
	// to the upstream.
	maxConnections int
	// limit is the current concurrency limit, from coldLimit to ceiling.
	limit float64
	// rampThreshold is the limit at which the fast part of the ramp ends.
	rampThreshold float64
	// startLimit is the limit at the start of the ramp.
	startLimit float64
	running    []*attempt
	breaker    breaker
	// latencyFactor is the moving average of the ratio of the upstream's
	// latency to the median latency of the operation; samples is the number of
	// latencies in it.
	latencyFactor float64
	samples       int
	// limitLoweredAt is the time at which a refusal for overload last lowered
	// the limit.
	limitLoweredAt time.Time
	// shedShare is the share of refusals for overload among recent replies.
	shedShare float64
	// consecutiveSheds is the number of refusals for overload since the last
	// success. Until backoffUntil the upstream gets no new attempts.
	consecutiveSheds int
	backingOff       bool
	backoffUntil     time.Time
	// drainedAt is the time of the last draining reply, or zero.
	drainedAt time.Time
	// leaving is true while the platform's list marks the upstream as leaving.
	leaving      bool
	statusReport statusReport
	// missingSnapshots maps each snapshot that the upstream reported as missing
	// to the time until which the upstream is avoided for it.
	missingSnapshots map[model.SnapshotID]time.Time
	// reserved is true while the upstream is kept free for an isolated attempt
	// or runs one.
	reserved bool
	// removed is true if the document no longer has the upstream.
	removed   bool
	condition condition
	// wasAvailable is the result of the last availability check.
	wasAvailable bool
	// reportedState is the state in the last UpstreamChange.
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

// configure applies the document's values and keeps the observed state.
func (u *upstream) configure(d *document.Upstream, maxInstances int) {
	u.address = d.Address
	u.dataCentre = d.DataCentre
	u.maxConnections = max(d.ConnectionLimit/max(maxInstances, 1), 1)
	oldCeiling := u.ceiling
	u.ceiling = max(min(d.Slots, u.maxConnections), 1)
	if u.rampThreshold >= float64(oldCeiling) {
		u.rampThreshold = float64(u.ceiling)
	}
	u.limit = min(u.limit, float64(u.ceiling))
}

func (u *upstream) inFlight() int { return len(u.running) }

// free reports whether a slot is free for a new attempt and the upstream is
// neither reserved nor backing off.
func (u *upstream) free() bool {
	return !u.reserved && !u.backingOff && u.inFlight() < int(u.limit)
}

// condition caches the results of Scheduler.excluded and Scheduler.degraded for
// an upstream. Each is computed at most once per condition version, because a
// step reads it for every waiting shard. They are computed separately, because
// every step needs excluded for all upstreams and few steps need degraded.
type condition struct {
	excluded cachedBool
	degraded cachedBool
}

// cachedBool is a computed value. It is valid while version equals the scheduler's
// condition version.
type cachedBool struct {
	version uint64
	value   bool
}

// invalidateConditions makes the cached conditions be computed again when they
// are next read. It must be called when time advances and when the state of an
// upstream has changed.
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

// draining reports whether the upstream has announced that it is draining. If
// the status reports of all upstreams of the group say so, the reports are
// assumed to be wrong; upstreams that really drain refuse work with a draining
// reply.
func (s *Scheduler) draining(u *upstream) bool {
	if !u.drainedAt.IsZero() && s.now.Sub(u.drainedAt) < drainingDuration {
		return true
	}
	return u.statusReport.draining && !s.allReportDraining()
}

// allReportDraining reports whether the status reports of all upstreams that are
// not leaving say that they are draining.
func (s *Scheduler) allReportDraining() bool {
	for _, u := range s.orderedUpstreams {
		if !u.statusReport.draining && !u.leaving {
			return false
		}
	}
	return true
}

// recordSuccess records an attempt that the upstream completed and raises the
// limit.
func (u *upstream) recordSuccess() {
	u.consecutiveSheds = 0
	u.shedShare -= shedWeight * u.shedShare
	step := steadyStep
	if u.limit < u.rampThreshold {
		step = rampStep
	}
	u.limit = min(u.limit+step, float64(u.ceiling))
}

// overloaded reports whether the upstream refuses so many calls for overload
// that it should get fewer attempts.
func (u *upstream) overloaded() bool { return u.shedShare > overloadShare }

// recordShed records that the upstream refused a call for overload.
func (u *upstream) recordShed(now time.Time, latency time.Duration) {
	u.consecutiveSheds++
	u.shedShare += shedWeight * (1 - u.shedShare)
	if u.overloaded() {
		u.lowerLimit(now, latency)
		u.backOff(now, latency)
	}
}

// lowerLimit lowers the limit, at most once per interval, because the replies
// to one burst of calls report the same overload.
func (u *upstream) lowerLimit(now time.Time, interval time.Duration) {
	if now.Sub(u.limitLoweredAt) < interval {
		return
	}
	u.limitLoweredAt = now
	u.limit = max(min(u.limit, float64(max(u.inFlight(), 1)))*shedFactor, coldLimit)
	u.rampThreshold = u.limit
}

// backOff withholds new attempts from an overloaded upstream for the given
// latency, doubled with each further refusal. A lower limit alone does not help
// when other instances use all slots of the upstream.
func (u *upstream) backOff(now time.Time, latency time.Duration) {
	u.backingOff = true
	u.backoffUntil = now.Add(min(latency<<min(u.consecutiveSheds-1, 10), maxShedBackoff))
}

// resetRamp restarts the ramp of the limit and discards the latency samples
// after the upstream was out of use.
func (u *upstream) resetRamp() {
	u.limit = u.startLimit
	u.rampThreshold = float64(u.ceiling)
	u.latencyFactor = 1
	u.samples = 0
}

// lacksSnapshot reports whether the upstream has recently reported that it does
// not have the snapshot.
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

// usableSlots returns the number of slots of the upstreams that are neither
// excluded, ejected nor degraded.
func (s *Scheduler) usableSlots() float64 {
	slots := 0.0
	for _, u := range s.orderedUpstreams {
		if s.excluded(u) || u.breaker.open || s.degraded(u) {
			continue
		}
		slots += s.expectedLimit(u)
	}
	return max(slots, 1)
}

// expectedLimit returns the limit of the upstream on which admission bases its
// estimates. A cold upstream counts with its ramp threshold, because it reaches
// that within a few replies.
func (s *Scheduler) expectedLimit(u *upstream) float64 {
	return float64(int(max(u.limit, u.rampThreshold)))
}
