// Package balancer chooses the upstream of a service for each attempt. It relies
// on the latencies and failures of earlier attempts of the same instance. It does
// no I/O and reads no clock; it is not safe for concurrent use.
package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/backpressure"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// Outcome classifies the end of an attempt by what it shows about the upstream.
type Outcome int

// Outcomes of an attempt.
const (
	// Succeeded: a complete answer arrived.
	Succeeded Outcome = iota
	// Shed: the upstream declined the request because it is full.
	Shed
	// Failed: the upstream answered with a failure.
	Failed
	// Unreachable: no connection could be opened.
	Unreachable
	// ConnectionLost: the connection ended without a complete answer.
	ConnectionLost
	// TimedOut: no answer arrived in time.
	TimedOut
	// AddressReused: another process than the listed upstream answered at the
	// address.
	AddressReused
	// Cancelled: the attempt was cancelled. If it was stalled, its duration counts
	// as the latency of an attempt that did not fail; otherwise it shows nothing.
	Cancelled
)

const (
	// minRemoteCost and remoteCostShare set the cost that is added to the expected
	// latency of an upstream in another data centre: remoteCostShare of the typical
	// latency, and at least minRemoteCost. The round trip between data centres
	// takes 1 ms; the cost is higher because traffic between them is charged for.
	minRemoteCost   = 2 * time.Millisecond
	remoteCostShare = 0.5
	// smoothing is the weight of the newest observation in an exponentially
	// weighted mean.
	smoothing = 0.25
	// connectCost is added for an upstream without a successful attempt in the last
	// connectionKeepTime: the attempt has to open a new connection, because idle
	// ones are kept only that long.
	connectCost        = 500 * time.Microsecond
	connectionKeepTime = 14 * time.Second
	// maxLatencyRatio bounds the ratio of a single latency to the typical one, so
	// that one pause of an upstream does not count like a lasting slowdown.
	maxLatencyRatio = 4
	// estimateHalfLife is the time in which the estimates of an upstream move half
	// of the way back to those of a typical upstream, so that a slow or failing
	// one is tried again.
	estimateHalfLife = 3 * time.Second
	// coldFactor is the assumed latency factor of an upstream that has just
	// started.
	coldFactor = 1.6
	// stallFactor is the multiple of the expected latency after which an attempt
	// in flight counts as stalled: the upstream is then assumed to be paused or
	// to have stopped answering. For a cancelled attempt it is the multiple of
	// the typical latency.
	stallFactor = 2
	// failureCost is the expected delay from a failed attempt, as a multiple of the
	// typical latency.
	failureCost = 6
	// minBlock and maxBlock bound the time for which an upstream is blocked after
	// failures in a row: it then gets attempts only if no other upstream is
	// available. The time doubles with each increment of Upstream.failures.
	minBlock = 250 * time.Millisecond
	maxBlock = 4 * time.Second
	// shedBlock is the time for which an upstream is blocked after it declined a
	// request because it was full.
	shedBlock = 60 * time.Millisecond
)

// Upstream is a listed upstream with this instance's observations of its attempts.
type Upstream struct {
	directory.Upstream
	// latencyFactor is the mean ratio of its latency to the typical latency.
	latencyFactor float64
	// failureRate is the weighted share of failed attempts, from 0 to 1.
	failureRate float64
	// observedAt is the time of the last update of the two means.
	observedAt time.Time
	// coldUntil is the time until which the upstream counts as slow because it
	// has just started.
	coldUntil time.Time
	// inFlight holds the start of each attempt in flight, oldest first.
	inFlight []time.Time
	// succeededAt is the end of the last attempt that succeeded.
	succeededAt time.Time
	// failures counts the attempts that ended without an answer since the
	// upstream last answered; declining a request is not an answer here. A lost
	// connection or a time-out counts twice unless it is the first of these
	// attempts. timeouts is the number of these attempts that timed out.
	failures     int
	timeouts     int
	blockedUntil time.Time
	// recent holds the latest attempts, for Forecast.
	recent recentRatios
	// RateLimit is this instance's share of the rate limit that its answers name.
	RateLimit backpressure.RateLimit
	// coldLimit is this instance's share of the requests that the upstream tolerates while
	// it is cold; nil if there is no limit.
	coldLimit *backpressure.ColdLimit
}

// InFlight returns the number of attempts of this instance that are in flight on
// the upstream.
func (u *Upstream) InFlight() int { return len(u.inFlight) }

// OldestInFlight returns how long ago the oldest attempt in flight on the upstream began,
// or zero if there is none.
func (u *Upstream) OldestInFlight(now time.Time) time.Duration {
	if len(u.inFlight) == 0 {
		return 0
	}
	return now.Sub(u.inFlight[0])
}

// Blocked reports whether the upstream is avoided because of earlier failures or
// because it was full.
func (u *Upstream) Blocked(now time.Time) bool { return now.Before(u.blockedUntil) }

// Unresponsive reports whether at least two attempts have ended without an
// answer since the upstream last answered. Such an upstream gets one attempt at
// a time, which shows whether it answers again.
func (u *Upstream) Unresponsive() bool { return u.failures > 1 }

// ProbeInFlight reports whether at least two attempts have timed out since the
// upstream last answered and an attempt is in flight that will show whether the
// upstream answers again.
func (u *Upstream) ProbeInFlight() bool {
	return u.timeouts > 1 && len(u.inFlight) > 0
}

// avoided reports whether the upstream should get no attempt now: it is blocked,
// or it is unresponsive and has an attempt in flight already.
func (u *Upstream) avoided(now time.Time) bool { return u.avoidance(now) != NoObstacle }

// BlockedFor returns how much longer the upstream is blocked; it is negative if
// the block has ended.
func (u *Upstream) BlockedFor(now time.Time) time.Duration { return u.blockedUntil.Sub(now) }

// Service distributes attempts over the upstreams of one service.
type Service struct {
	local     model.DataCentre
	upstreams []*Upstream
	// withheld holds upstreams that must get no attempts for the time being.
	withheld []*Upstream
	// coldLimits holds the limits of the upstreams that are cold or were so lately, by id.
	// They last longer than the observations, so that an upstream that is listed again
	// does not get the requests of a second twice.
	coldLimits map[string]*coldLimitRecord
	// offset moves the start of the search for an upstream with each Pick.
	offset int
}

// NewService returns a balancer without upstreams for an instance in the given
// data centre.
func NewService(local model.DataCentre) *Service { return &Service{local: local} }

// Update replaces the list of upstreams. Those in withheld are listed as well but must get
// no attempts for the time being. The observations of an upstream are kept as long as its
// id, start time and address stay the same.
func (s *Service) Update(now time.Time, list []directory.Upstream, withheld ...directory.Upstream) {
	s.upstreams, s.withheld = s.updated(now, list), s.updated(now, withheld)
}

// updated returns the upstreams with the given entries.
func (s *Service) updated(now time.Time, list []directory.Upstream) []*Upstream {
	updated := make([]*Upstream, 0, len(list))
	for _, entry := range list {
		u := findIn(s.upstreams, entry.ID)
		if u == nil {
			u = findIn(s.withheld, entry.ID)
		}
		if u == nil || u.Started != entry.Started || u.Address != entry.Address {
			u = &Upstream{latencyFactor: 1, observedAt: now}
		}
		if !sameReport(u.Upstream, entry) {
			u.coldUntil = now.Add(entry.ColdFor)
		}
		u.Upstream = entry
		updated = append(updated, u)
	}
	return updated
}

// Find returns the upstream with the id that may get attempts, or nil.
func (s *Service) Find(id string) *Upstream { return findIn(s.upstreams, id) }

func findIn(list []*Upstream, id string) *Upstream {
	for _, u := range list {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// Len returns the number of upstreams that may get attempts.
func (s *Service) Len() int { return len(s.upstreams) }

// Pick returns the upstream with the lowest expected cost that is not among the
// excluded ones, or nil. An upstream whose rate limit, or whose limit while it is cold,
// allows no further attempt is never chosen, and an avoided upstream only for the first
// attempt of a part, if there is no other. typical is the typical latency of such a request.
func (s *Service) Pick(now time.Time, typical time.Duration, excluded []string, first bool) *Upstream {
	var best *Upstream
	var bestCost time.Duration
	s.offset++
	for i := range s.upstreams {
		// Starting at another upstream each time spreads the attempts over
		// upstreams of equal cost.
		u := s.upstreams[(i+s.offset)%len(s.upstreams)]
		if slices.Contains(excluded, u.ID) {
			continue
		}
		if u.obstacle(now, first) != NoObstacle {
			continue
		}
		cost := s.cost(now, u, typical)
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// RateLimited reports whether there are upstreams and the rate limits of all of them, or
// their limits while they are cold, forbid a first attempt now.
func (s *Service) RateLimited(now time.Time) bool {
	for _, u := range s.upstreams {
		if u.RateLimit.Allows(now, true) && u.coldAllows(now) {
			return false
		}
	}
	return len(s.upstreams) > 0
}

// RetryAt returns when a caller whose request is refused now should send it again. It must
// be called only if RateLimited.
func (s *Service) RetryAt(now time.Time) time.Time {
	next := s.upstreams[0]
	for _, u := range s.upstreams[1:] {
		if u.allowedAt(now).Before(next.allowedAt(now)) {
			next = u
		}
	}
	return next.retryAt(now)
}

// cost returns the expected latency of one more attempt on the upstream, with
// surcharges for failures, a stalled attempt, a new connection, another data
// centre and an avoided upstream.
func (s *Service) cost(now time.Time, u *Upstream, typical time.Duration) time.Duration {
	latencyFactor, failureRate := u.DecayedEstimates(now)
	if now.Before(u.coldUntil) {
		latencyFactor = max(latencyFactor, coldFactor)
	}
	expected := time.Duration(float64(typical) * latencyFactor)
	cost := expected + time.Duration(failureCost*failureRate*float64(typical))
	if slots := max(1, u.Slots); len(u.inFlight) > 0 {
		cost += expected * time.Duration(len(u.inFlight)) / time.Duration(slots)
	}
	cost += u.stallCost(now, expected)
	if now.Sub(u.succeededAt) > connectionKeepTime {
		cost += connectCost
	}
	if u.DataCentre != s.local {
		cost += max(minRemoteCost, time.Duration(remoteCostShare*float64(typical)))
	}
	if u.avoided(now) {
		cost += max(0, u.BlockedFor(now)) + maxBlock
	}
	return cost
}

// stallCost returns the expected wait for an upstream whose oldest attempt in
// flight is stalled. The wait is assumed to last as much longer as that attempt
// has taken so far. If the oldest attempt is not stalled, stallCost returns zero.
func (u *Upstream) stallCost(now time.Time, expected time.Duration) time.Duration {
	if len(u.inFlight) == 0 {
		return 0
	}
	age := now.Sub(u.inFlight[0])
	if age < stallFactor*expected {
		return 0
	}
	return age
}

// DecayedEstimates returns the latency factor and the failure rate. With the time
// since the last observation, both move towards the values of a typical upstream,
// 1 and 0.
func (u *Upstream) DecayedEstimates(now time.Time) (latencyFactor, failureRate float64) {
	decay := math.Exp2(-float64(now.Sub(u.observedAt)) / float64(estimateHalfLife))
	return 1 + (u.latencyFactor-1)*decay, u.failureRate * decay
}

// AttemptStarted records the start of an attempt on the upstream.
func (u *Upstream) AttemptStarted(now time.Time) {
	u.inFlight = append(u.inFlight, now)
	u.RateLimit.Take(now)
}

// AttemptFinished records the end of an attempt that began at start. typical is
// the typical latency of such a request.
func (u *Upstream) AttemptFinished(now, start time.Time, typical time.Duration, o Outcome) {
	if i := slices.IndexFunc(u.inFlight, start.Equal); i >= 0 {
		u.inFlight = slices.Delete(u.inFlight, i, i+1)
	}
	took := now.Sub(start)
	u.recent.record(now, took, typical, o)
	switch o {
	case Succeeded:
		u.observe(now, float64(took)/float64(max(typical, time.Millisecond)), 0)
		u.failures, u.timeouts, u.blockedUntil = 0, 0, time.Time{}
		u.succeededAt = now
	case Failed:
		u.observe(now, -1, 1)
		u.failures, u.timeouts = 0, 0
	case Shed:
		u.observe(now, -1, 1)
		u.blockedUntil = now.Add(shedBlock)
	case Unreachable, AddressReused:
		u.observe(now, -1, 1)
		u.block(now)
	case ConnectionLost, TimedOut:
		u.observe(now, -1, 1)
		if o == TimedOut {
			u.timeouts++
		}
		if u.failures++; u.failures > 1 {
			u.block(now)
		}
	case Cancelled:
		if typical > 0 && took > stallFactor*typical {
			u.observe(now, float64(took)/float64(typical), 0)
		}
	}
}

// block blocks the upstream for minBlock, doubled for each counted failure, but
// for no longer than maxBlock, and counts one more failure.
func (u *Upstream) block(now time.Time) {
	d := minBlock << min(u.failures, 8)
	u.failures++
	u.blockedUntil = now.Add(min(d, maxBlock))
}

// observe adds an observation to the two means. latencyRatio is the ratio of the
// attempt's latency to the typical one; a negative ratio leaves the latency
// factor as it is. failed is 1 for a failed attempt and 0 for any other.
func (u *Upstream) observe(now time.Time, latencyRatio, failed float64) {
	u.latencyFactor, u.failureRate = u.DecayedEstimates(now)
	u.observedAt = now
	if latencyRatio >= 0 {
		u.latencyFactor += smoothing * (min(latencyRatio, maxLatencyRatio) - u.latencyFactor)
	}
	u.failureRate += smoothing * (failed - u.failureRate)
}

// Upstreams returns the upstreams that may get attempts.
func (s *Service) Upstreams() []*Upstream { return s.upstreams }

// Withheld returns the listed upstreams that must get no attempts.
func (s *Service) Withheld() []*Upstream { return s.withheld }

// AllWithheld reports whether there are listed upstreams and none of them may get attempts.
func (s *Service) AllWithheld() bool { return len(s.upstreams) == 0 && len(s.withheld) > 0 }
