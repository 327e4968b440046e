package scheduler

import (
	"math"
	"time"
)

// Overrides replaces single decisions of the scheduler, so that a measurement
// can compare it with an alternative that differs in nothing else
// (pkg/standin/compare). Instances use the zero value, which replaces nothing.
type Overrides struct {
	// ReplicaCost returns the cost of a replica with a free slot. The replica of
	// the least cost is used; a replica of infinite cost is never used. It
	// replaces the expected completion time and the avoidance of degraded
	// upstreams.
	ReplicaCost func(Candidate) float64
	// HedgeDelay replaces the hedge delay that follows from the observed
	// latencies.
	HedgeDelay time.Duration
	// FixedRetries replaces the retry budget and the ban on retries during load
	// shedding by a fixed number of retries; a negative number means no
	// retries, and 0 means no override.
	FixedRetries int
	// NoRamp lets cold upstreams use all their slots at once.
	NoRamp bool
	// NoAdmission admits work even if it is not expected to finish in time.
	NoAdmission bool
	// SharesOnly orders the priorities by their credit alone and ignores
	// urgency.
	SharesOnly bool
}

// Candidate is a replica that a part may use, as passed to
// Overrides.ReplicaCost.
type Candidate struct {
	Upstream string
	// RequestSeq is the admission number of the request. It lets an override
	// take replicas in turn.
	RequestSeq uint64
	// Index is the position of the replica among the replicas of the shard, and
	// Replicas is their number.
	Index, Replicas int
	InFlight        int
	// LatencyFactor is the moving average of the ratio of the upstream's
	// latency to the median latency of the operation.
	LatencyFactor float64
	// Tried is true if an earlier attempt of the part used the replica.
	Tried bool
}

// applyRampOverride raises the limit of a new upstream to its ceiling if
// Overrides.NoRamp is set.
func (s *Scheduler) applyRampOverride(u *upstream) {
	if s.cfg.Overrides.NoRamp {
		u.startLimit = float64(u.ceiling)
		u.limit = u.startLimit
	}
}

func (s *Scheduler) overrideCost(p *part, u *upstream, index int) float64 {
	return s.cfg.Overrides.ReplicaCost(Candidate{
		Upstream:      u.name,
		RequestSeq:    p.request.seq,
		Index:         index,
		Replicas:      len(p.replicas),
		InFlight:      u.inFlight(),
		LatencyFactor: u.latencyFactor,
		Tried:         p.wasTried(u),
	})
}

// allowedByOverride reports whether Overrides.ReplicaCost, if set, allows the
// replica.
func (s *Scheduler) allowedByOverride(p *part, u *upstream, index int) bool {
	return s.cfg.Overrides.ReplicaCost == nil || !math.IsInf(s.overrideCost(p, u, index), 1)
}
