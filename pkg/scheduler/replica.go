package scheduler

import (
	"slices"
	"time"
)

const (
	// degradedFactor multiplies the group's median latency factor. An upstream
	// whose latency factor is above the product is degraded.
	degradedFactor = 3
	// stuckFactor multiplies the operation's median latency. A running attempt
	// that is older than the product, scaled by the group's median latency
	// factor, and older than the operation's 95th percentile makes its upstream
	// degraded before any reply. A stopped attempt that is older than the
	// unscaled product counts as a timeout at the breaker. The factor is higher
	// than degradedFactor, because a single slow attempt is weaker evidence
	// than an average.
	stuckFactor = 10
	// sampleWeight and probeSampleWeight are the weights of a new sample in an
	// upstream's latency factor. A probe weighs more, because probes are rare.
	sampleWeight      = 0.1
	probeSampleWeight = 0.5
	// maxLatencyRatio bounds the latency ratio of a sample, to limit the
	// influence of a single one.
	maxLatencyRatio = 40
	// minProbeInterval and minProbeRequests are the least time and the least
	// number of admitted requests between probes of degraded upstreams, so that
	// fewer than one request in a hundred is used as a probe. After
	// maxProbeInterval a probe is due in any case. After a probe with normal
	// latency the next one is due after fastProbeInterval.
	minProbeInterval  = time.Second
	minProbeRequests  = 200
	maxProbeInterval  = 10 * time.Second
	fastProbeInterval = 50 * time.Millisecond
	// urgentProbeFactor multiplies minProbeInterval, minProbeRequests and
	// maxProbeInterval for the most urgent priority, so that less urgent
	// requests, if there are any, are used as probes instead.
	urgentProbeFactor = 2
	// remoteRoundTrip is the assumed round-trip time to another data centre.
	remoteRoundTrip = time.Millisecond
)

// fitness is the suitability of a replica; lower is better.
type fitness int

const (
	preferred fitness = iota
	// avoided replicas are used only when no replica is preferred.
	avoided
	// unusable replicas get no regular attempts now.
	unusable
)

// replicaChoice is the upstream chosen for an attempt, and whether the attempt
// is a probe.
type replicaChoice struct {
	upstream *upstream
	probe    bool
}

// fitness returns the suitability of the upstream for the part, regardless of
// free slots.
func (s *Scheduler) fitness(p *part, u *upstream) fitness {
	if s.excluded(u) || u.breaker.open {
		return unusable
	}
	if s.degraded(u) || p.wasTried(u) {
		return avoided
	}
	snapshot := p.request.req.Snapshot
	if u.lacksSnapshot(s.now, snapshot) || u.avoidedByReport(s.now, snapshot) {
		return avoided
	}
	return preferred
}

// chooseReplica returns the replica on which the part should start now, or
// false if the part should wait.
func (s *Scheduler) chooseReplica(p *part) (replicaChoice, bool) {
	best := unusable
	for _, u := range p.replicas {
		best = min(best, s.fitness(p, u))
	}
	if c, ok := s.chooseProbe(p, best); ok {
		return c, true
	}
	if best == unusable {
		return replicaChoice{}, false
	}
	u := s.cheapestReplica(p, best)
	return replicaChoice{upstream: u}, u != nil
}

// cheapestReplica returns the replica of the given fitness that has a free slot
// and the least expected completion time, or nil.
func (s *Scheduler) cheapestReplica(p *part, level fitness) *upstream {
	var best *upstream
	least := 0.0
	for i, u := range p.replicas {
		if !u.free() || s.fitness(p, u) != level || !s.allowedByOverride(p, u, i) {
			continue
		}
		cost := s.replicaCost(p, u, i)
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	return best
}

func (s *Scheduler) replicaCost(p *part, u *upstream, index int) float64 {
	if s.cfg.Overrides.ReplicaCost != nil {
		return s.overrideCost(p, u, index)
	}
	return s.expectedSeconds(p.request.op, u)
}

// expectedSeconds estimates the completion time of an attempt on the upstream.
// The load term spreads attempts over equal replicas, and the random term
// breaks ties.
func (s *Scheduler) expectedSeconds(o *operationStats, u *upstream) float64 {
	latency := o.median.Seconds() * u.latencyFactor
	load := float64(u.inFlight()) / max(u.limit, 1)
	cost := latency * (1 + load)
	if u.dataCentre != s.cfg.LocalDataCentre {
		cost += remoteRoundTrip.Seconds()
	}
	return cost * (1 + 0.01*s.cfg.Rand.Float64())
}

// chooseProbe returns an idle replica that should be probed: one whose open
// breaker allows a probe or, at a low rate and only while another replica is
// preferred, a degraded one. Orders are not used as probes while another
// replica is usable.
func (s *Scheduler) chooseProbe(p *part, best fitness) (replicaChoice, bool) {
	if p.request.req.NonIdempotent && best != unusable {
		return replicaChoice{}, false
	}
	for _, u := range p.replicas {
		if s.excluded(u) || u.reserved || u.backingOff || u.inFlight() > 0 {
			continue
		}
		if u.breaker.open {
			if u.breaker.allows(s.now) {
				return replicaChoice{upstream: u, probe: true}, true
			}
			continue
		}
		if best == preferred && s.degraded(u) && s.degradedProbeDue(p.request.prio) {
			return replicaChoice{upstream: u, probe: true}, true
		}
	}
	return replicaChoice{}, false
}

// degradedProbeDue reports whether a part of the priority may be used as a
// probe of a degraded upstream.
func (s *Scheduler) degradedProbeDue(p *priority) bool {
	sinceProbe := s.now.Sub(s.probedAt)
	requestsSinceProbe := s.lastSeq - s.seqAtProbe
	if s.probeWasFast {
		return sinceProbe >= fastProbeInterval
	}
	if p == s.priorities[0] {
		sinceProbe /= urgentProbeFactor
		requestsSinceProbe /= urgentProbeFactor
	}
	return sinceProbe >= maxProbeInterval || sinceProbe >= minProbeInterval && requestsSinceProbe >= minProbeRequests
}

// computeDegraded reports whether the upstream is much slower than the group,
// judged by its latency factor and by the age of its running attempts. The only
// upstream of a group is never degraded.
func (s *Scheduler) computeDegraded(u *upstream) bool {
	if len(s.orderedUpstreams) < 2 || s.cfg.Overrides.ReplicaCost != nil {
		return false
	}
	if u.latencyFactor > degradedFactor*s.medianLatencyFactor {
		return true
	}
	for _, a := range u.running {
		limit := time.Duration(stuckFactor * s.medianLatencyFactor * float64(a.op.median))
		if !a.paused && s.now.Sub(a.started) > max(limit, a.op.p95) {
			return true
		}
	}
	return false
}

// observeLatency records the latency of a successful attempt for its operation
// and its upstream.
func (s *Scheduler) observeLatency(a *attempt, d time.Duration) {
	ratio := d.Seconds() / a.op.median.Seconds()
	a.op.recordLatency(d)
	s.updateLatencyFactor(a, ratio)
}

// observeMinimumLatency records that a stopped attempt had run for d without a
// result, so that its latency is at least d. Without this, an upstream whose
// attempts are always stopped because a hedge succeeds first would never be
// recognised as slow.
func (s *Scheduler) observeMinimumLatency(a *attempt, d time.Duration) {
	ratio := d.Seconds() / a.op.median.Seconds()
	if ratio > a.upstream.latencyFactor {
		s.updateLatencyFactor(a, ratio)
	}
}

func (s *Scheduler) updateLatencyFactor(a *attempt, ratio float64) {
	u := a.upstream
	weight := sampleWeight
	if a.probe {
		weight = probeSampleWeight
		s.probeWasFast = ratio <= degradedFactor*s.medianLatencyFactor
	}
	u.latencyFactor += weight * (min(ratio, maxLatencyRatio) - u.latencyFactor)
	u.samples++
	s.refreshMedianFactor()
}

// refreshMedianFactor recomputes the lower median of the upstreams' latency
// factors.
func (s *Scheduler) refreshMedianFactor() {
	factors := s.factorBuffer[:0]
	for _, u := range s.orderedUpstreams {
		if u.samples > 0 && !u.leaving {
			factors = append(factors, u.latencyFactor)
		}
	}
	if len(factors) == 0 {
		s.medianLatencyFactor = 1
		return
	}
	s.factorBuffer = factors
	slices.Sort(factors)
	s.medianLatencyFactor = max(factors[(len(factors)-1)/2], 0.01)
}
