package scheduler

import (
	"math"
	"time"
)

// Overrides replaces single decisions, so that a measurement can run the scheduler
// beside a rival that differs in nothing else (pkg/standin/compare). Instances
// use the zero value.
type Overrides struct {
	// ReplicaCost orders the replicas with a free slot, the least cost first. A
	// replica of infinite cost is not used. It replaces the expected completion
	// time and the avoidance of degraded upstreams.
	ReplicaCost func(Candidate) float64
	// HedgeDelay replaces the delay from the observed latencies.
	HedgeDelay time.Duration
	// FixedRetries replaces the budget and the rule about load shedding by a fixed
	// number of retries; a negative number means none.
	FixedRetries int
	// NoRamp lets cold upstreams use all their slots at once.
	NoRamp bool
	// NoAdmission queues work that is not expected to end in time.
	NoAdmission bool
	// SharesOnly orders priorities by credit alone.
	SharesOnly bool
}

// Candidate is a replica that a part may use, as seen by Rules.ReplicaCost.
type Candidate struct {
	Upstream string
	// RequestSeq counts requests, so that a rule can take replicas in turn.
	RequestSeq uint64
	// Index is the place of the replica among Replicas ones of the shard.
	Index, Replicas int
	InFlight        int
	// LatencyFactor is the mean ratio of the upstream's latency to the median
	// of the operation.
	LatencyFactor float64
	Tried         bool
}

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

// allowedByOverride reports whether the rule in place of the expected completion
// time allows the replica.
func (s *Scheduler) allowedByOverride(p *part, u *upstream, index int) bool {
	return s.cfg.Overrides.ReplicaCost == nil || !math.IsInf(s.overrideCost(p, u, index), 1)
}
