// Package balancer chooses the upstream of a service for each attempt, from
// what earlier attempts of this instance showed. It is pure and not safe for
// concurrent use.
package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// Outcome is how an attempt ended, as far as the upstream is concerned.
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
	// TimedOut: no answer came in time.
	TimedOut
	// AddressReused: another process has the address.
	AddressReused
	// Cancelled: the attempt was cancelled and says little about the upstream.
	Cancelled
)

const (
	// minCrossZoneCost and crossZoneShare give what is added to the expected
	// latency of an upstream in another data centre: a round trip of 1 ms between
	// data centres, and more because bytes between them are charged for.
	minCrossZoneCost = 2 * time.Millisecond
	crossZoneShare   = 0.5
	// smoothing is the weight of the newest observation in a mean.
	smoothing = 0.25
	// connectCost is added for an upstream without a recent attempt, to which a
	// connection has to be opened; warmTime is how long one is kept.
	connectCost = 500 * time.Microsecond
	warmTime    = 14 * time.Second
	// maxRatio bounds the ratio of one latency to the usual one, so that a single
	// pause of an upstream does not count like a lasting slowdown.
	maxRatio = 4
	// forgetting is the time after which half of an upstream's deviation from the
	// usual is forgotten, so that it is tried again.
	forgetting = 3 * time.Second
	// coldFactor is the assumed slowdown of an upstream that has just started.
	coldFactor = 1.6
	// stallFactor is the multiple of the expected latency after which an attempt
	// in flight counts as stalled, and the upstream as paused or silent.
	stallFactor = 2
	// failureCost is the expected loss by a failed attempt, as a multiple of the
	// expected latency.
	failureCost = 6
	// minBlock and maxBlock bound the time without attempts after failures in
	// a row; it doubles with each.
	minBlock = 250 * time.Millisecond
	maxBlock = 4 * time.Second
	// shedBlock is the time for which a full upstream is avoided.
	shedBlock = 60 * time.Millisecond
)

// Upstream is a listed upstream with what is known of it.
type Upstream struct {
	directory.Upstream
	// factor is the ratio of its latency to the usual one.
	factor float64
	// failing is the mean of failures, from 0 to 1.
	failing    float64
	observedAt time.Time
	coldUntil  time.Time
	// inFlight holds the start of each attempt in flight, oldest first.
	inFlight []time.Time
	// usedAt is the end of the last answered attempt.
	usedAt time.Time
	// failures counts attempts in a row without an answer, and silences those of
	// them that got none in time.
	failures     int
	silences     int
	blockedUntil time.Time
}

// InFlight returns the number of attempts in flight from this instance.
func (u *Upstream) InFlight() int { return len(u.inFlight) }

// Blocked reports whether the upstream is avoided after failures.
func (u *Upstream) Blocked(now time.Time) bool { return now.Before(u.blockedUntil) }

// Unresponsive reports whether attempts in a row have ended without an answer. A
// doubtful upstream gets one attempt at a time, which shows whether it is back.
func (u *Upstream) Unresponsive() bool { return u.failures > 1 }

// ProbeInFlight reports whether an attempt is on its way that shows whether an upstream
// that does not answer is back.
func (u *Upstream) ProbeInFlight() bool {
	return u.silences > 1 && len(u.inFlight) > 0
}

// avoided reports whether the upstream should get no attempt now.
func (u *Upstream) avoided(now time.Time) bool {
	return u.Blocked(now) || u.Unresponsive() && len(u.inFlight) > 0
}

// BlockedFor returns how much longer the upstream is avoided.
func (u *Upstream) BlockedFor(now time.Time) time.Duration { return u.blockedUntil.Sub(now) }

// Service balances over the upstreams of one service.
type Service struct {
	local     model.DataCentre
	upstreams []*Upstream
	next      int
}

// NewService returns a balancer without upstreams for an instance in the data
// centre local.
func NewService(local model.DataCentre) *Service { return &Service{local: local} }

// Update replaces the list of upstreams. What is known of a process is kept as
// long as its id and start stay the same.
func (s *Service) Update(now time.Time, list []directory.Upstream) {
	updated := make([]*Upstream, 0, len(list))
	for _, entry := range list {
		u := s.Find(entry.ID)
		if u == nil || u.Started != entry.Started || u.Address != entry.Address {
			u = &Upstream{factor: 1, observedAt: now}
		}
		if u.Upstream != entry {
			u.Upstream = entry
			u.coldUntil = now.Add(entry.ColdFor)
		}
		updated = append(updated, u)
	}
	s.upstreams = updated
}

// Find returns the listed upstream with the id, or nil.
func (s *Service) Find(id string) *Upstream {
	for _, u := range s.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// Len returns the number of listed upstreams.
func (s *Service) Len() int { return len(s.upstreams) }

// Pick returns the upstream with the least expected latency that is not among
// the excluded ones, or nil. Blocked upstreams are chosen only if there is no
// other and blocked is allowed. Usual is the usual latency of the request.
func (s *Service) Pick(now time.Time, usual time.Duration, excluded []string, blocked bool) *Upstream {
	var best *Upstream
	var bestCost time.Duration
	s.next++
	for i := range s.upstreams {
		// Starting elsewhere each time spreads equal choices.
		u := s.upstreams[(i+s.next)%len(s.upstreams)]
		if slices.Contains(excluded, u.ID) {
			continue
		}
		if u.avoided(now) && !blocked {
			continue
		}
		cost := s.cost(now, u, usual)
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// cost is the expected latency of one more attempt.
func (s *Service) cost(now time.Time, u *Upstream, usual time.Duration) time.Duration {
	factor, failing := u.DecayedEstimates(now)
	if now.Before(u.coldUntil) {
		factor = max(factor, coldFactor)
	}
	expected := time.Duration(float64(usual) * factor)
	cost := expected + time.Duration(failureCost*failing*float64(usual))
	if slots := max(1, u.Slots); len(u.inFlight) > 0 {
		cost += expected * time.Duration(len(u.inFlight)) / time.Duration(slots)
	}
	cost += u.stalled(now, expected)
	if now.Sub(u.usedAt) > warmTime {
		cost += connectCost
	}
	if u.DataCentre != s.local {
		cost += max(minCrossZoneCost, time.Duration(crossZoneShare*float64(usual)))
	}
	if u.avoided(now) {
		cost += max(0, u.BlockedFor(now)) + maxBlock
	}
	return cost
}

// stalled is the expected wait behind an attempt that takes unusually long: as
// long again as it has taken already.
func (u *Upstream) stalled(now time.Time, expected time.Duration) time.Duration {
	if len(u.inFlight) == 0 {
		return 0
	}
	age := now.Sub(u.inFlight[0])
	if age < stallFactor*expected {
		return 0
	}
	return age
}

// DecayedEstimates returns the latency factor and the failure rate, moved towards the usual
// by the time since the last observation.
func (u *Upstream) DecayedEstimates(now time.Time) (factor, failing float64) {
	keep := math.Exp2(-float64(now.Sub(u.observedAt)) / float64(forgetting))
	return 1 + (u.factor-1)*keep, u.failing * keep
}

// AttemptStarted records the start of an attempt on the upstream.
func (u *Upstream) AttemptStarted(now time.Time) { u.inFlight = append(u.inFlight, now) }

// AttemptFinished records the end of an attempt that began at start. Usual is the usual
// latency of such a request.
func (u *Upstream) AttemptFinished(now, start time.Time, usual time.Duration, o Outcome) {
	if i := slices.IndexFunc(u.inFlight, start.Equal); i >= 0 {
		u.inFlight = slices.Delete(u.inFlight, i, i+1)
	}
	took := now.Sub(start)
	switch o {
	case Succeeded:
		u.observe(now, float64(took)/float64(max(usual, time.Millisecond)), 0)
		u.failures, u.silences, u.blockedUntil = 0, 0, time.Time{}
		u.usedAt = now
	case Failed:
		u.observe(now, -1, 1)
		u.failures, u.silences = 0, 0
	case Shed:
		u.observe(now, -1, 1)
		u.blockedUntil = now.Add(shedBlock)
	case Unreachable, AddressReused:
		u.observe(now, -1, 1)
		u.block(now)
	case ConnectionLost, TimedOut:
		u.observe(now, -1, 1)
		if o == TimedOut {
			u.silences++
		}
		if u.failures++; u.failures > 1 {
			u.block(now)
		}
	case Cancelled:
		if usual > 0 && took > stallFactor*usual {
			u.observe(now, float64(took)/float64(usual), 0)
		}
	}
}

// block avoids the upstream for a time that doubles with each failure.
func (u *Upstream) block(now time.Time) {
	d := minBlock << min(u.failures, 8)
	u.failures++
	u.blockedUntil = now.Add(min(d, maxBlock))
}

// observe moves the means. A negative ratio leaves the latency as it is.
func (u *Upstream) observe(now time.Time, ratio, failed float64) {
	u.factor, u.failing = u.DecayedEstimates(now)
	u.observedAt = now
	if ratio >= 0 {
		u.factor += smoothing * (min(ratio, maxRatio) - u.factor)
	}
	u.failing += smoothing * (failed - u.failing)
}

// Upstreams returns the listed upstreams.
func (s *Service) Upstreams() []*Upstream { return s.upstreams }
