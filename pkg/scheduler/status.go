package scheduler

import (
	"math"
	"time"
)

// Status is the state of a scheduler as shown to operators.
type Status struct {
	Group      string           `json:"group"`
	Revision   uint64           `json:"revision"`
	Priorities []PriorityStatus `json:"priorities"`
	Upstreams  []UpstreamInfo   `json:"upstreams"`
	Budgets    BudgetStatus     `json:"budgets"`
	// Suspects lists the suspect fingerprints in hexadecimal.
	Suspects []string `json:"suspects"`
	// CautiousMillis is the remaining time of the cautious mode.
	CautiousMillis int64 `json:"cautious_ms"`
}

// PriorityStatus is the state of the queues of one priority.
type PriorityStatus struct {
	Name            string `json:"name"`
	QueuedRequests  int    `json:"queued_requests"`
	StartedRequests int    `json:"started_requests"`
	WaitingShards   int    `json:"waiting_shards"`
	InFlight        int    `json:"in_flight"`
	// CreditMillis is the credit in slot milliseconds.
	CreditMillis  float64 `json:"credit_slot_ms"`
	SlotsInUse    float64 `json:"slots_in_use"`
	ExpectedSlots float64 `json:"expected_slots"`
	WaitMillis    float64 `json:"expected_wait_ms"`
	Shedding      bool    `json:"shedding"`
	Admitted      uint64  `json:"admitted"`
	Refused       uint64  `json:"refused"`
}

// UpstreamInfo is the state of one upstream.
type UpstreamInfo struct {
	Name     string        `json:"name"`
	State    UpstreamState `json:"state"`
	InFlight int           `json:"in_flight"`
	Limit    int           `json:"limit"`
	Ceiling  int           `json:"ceiling"`
	// LatencyFactor is the moving average of the ratio of the upstream's
	// latency to the median latency of the operation.
	LatencyFactor float64 `json:"latency_factor"`
	// RetryMillis is the time until an ejected upstream may be probed.
	RetryMillis int64 `json:"retry_ms"`
}

// BudgetStatus is the state of the budgets for hedges and retries.
type BudgetStatus struct {
	FirstAttempts uint64  `json:"first_attempts"`
	Hedges        uint64  `json:"hedges"`
	Retries       uint64  `json:"retries"`
	HedgeTokens   float64 `json:"hedge_tokens"`
	ExtraTokens   float64 `json:"extra_tokens"`
}

// Status returns the state of the scheduler at the given time without changing
// it.
func (s *Scheduler) Status(now time.Time) Status {
	saved := s.now
	s.now = now
	s.invalidateConditions()
	defer func() {
		s.now = saved
		s.invalidateConditions()
	}()
	out := Status{
		Group:          s.cfg.Group.Key.String(),
		Revision:       s.cfg.Document.Revision,
		Budgets:        s.budgets.status(),
		Suspects:       s.isolation.suspectFingerprints(),
		CautiousMillis: max(s.isolation.cautiousUntil.Sub(now), 0).Milliseconds(),
	}
	for _, p := range s.priorities {
		out.Priorities = append(out.Priorities, s.priorityStatus(p))
	}
	for _, u := range s.orderedUpstreams {
		out.Upstreams = append(out.Upstreams, s.upstreamInfo(u))
	}
	return out
}

func (s *Scheduler) priorityStatus(p *priority) PriorityStatus {
	queued := 0
	for _, q := range p.callers {
		queued += len(q.requests)
	}
	return PriorityStatus{
		Name:            p.name,
		QueuedRequests:  queued,
		StartedRequests: len(p.active),
		WaitingShards:   p.waitingParts,
		InFlight:        p.inFlight,
		CreditMillis:    rounded(p.credit * 1000),
		SlotsInUse:      rounded(p.meanInFlight),
		ExpectedSlots:   rounded(s.expectedSlots(p)),
		WaitMillis:      rounded(s.expectedWait(p).Seconds() * 1000),
		Shedding:        s.shedsAtOrAbove(p),
		Admitted:        p.admitted,
		Refused:         p.refused,
	}
}

func (s *Scheduler) upstreamInfo(u *upstream) UpstreamInfo {
	info := UpstreamInfo{
		Name:          u.name,
		State:         s.state(u),
		InFlight:      u.inFlight(),
		Limit:         int(u.limit),
		Ceiling:       u.ceiling,
		LatencyFactor: rounded(u.latencyFactor),
	}
	if u.breaker.open {
		info.RetryMillis = max(u.breaker.nextProbeAt.Sub(s.now), 0).Milliseconds()
	}
	return info
}

func (b *budgets) status() BudgetStatus {
	return BudgetStatus{
		FirstAttempts: b.firstAttempts,
		Hedges:        b.hedges,
		Retries:       b.retries,
		HedgeTokens:   rounded(b.hedge.tokens),
		ExtraTokens:   rounded(b.extra.tokens),
	}
}

// rounded rounds to three decimals.
func rounded(x float64) float64 { return math.Round(x*1000) / 1000 }
