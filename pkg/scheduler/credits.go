package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxCreditTime is the credit and the debt that a priority holds at most, in
	// time of the whole group's slots.
	maxCreditTime = time.Second
	// maxIdleCreditTime is the credit that a priority keeps while nothing of it
	// waits. A full second saved while idle would let a sudden flood of the
	// most urgent work displace the others for more than their deadlines.
	maxIdleCreditTime = 50 * time.Millisecond
	// maxAccrualTime bounds the time credited at once, for example after a pause.
	maxAccrualTime = time.Second
	// usageTimeConstant is the time constant of the mean slots in use.
	usageTimeConstant = 500 * time.Millisecond
)

// accrueCredit moves credit for the time since the last call. Every priority earns
// its share of the slot time that was consumed and pays for its own, so that
// the sum stays constant, except that a debt lapses while nothing
// waits. What a priority cannot keep goes to the most urgent priority with work.
func (s *Scheduler) accrueCredit(now time.Time) {
	elapsed := min(max(now.Sub(s.creditedAt), 0), maxAccrualTime).Seconds()
	s.creditedAt = now
	if elapsed == 0 {
		return
	}
	total := 0
	for _, p := range s.priorities {
		total += p.inFlight
	}
	s.observeConcurrency(total, elapsed)
	consumed := float64(total) * elapsed
	spare := consumed
	capacity := s.nominalSlots()
	decay := math.Exp(-elapsed / usageTimeConstant.Seconds())
	idle := !s.anyPartWaits()
	for _, p := range s.priorities {
		earned := p.share * consumed
		spare -= earned
		p.credit += earned - float64(p.inFlight)*elapsed
		p.meanInFlight = p.meanInFlight*decay + float64(p.inFlight)*(1-decay)
		spare += p.capCredit(capacity)
		// Slots that nobody waits for cost nothing. Otherwise a priority
		// that uses free slots would enter a flood with a debt.
		if idle && p.credit < 0 {
			p.credit = 0
		}
	}
	s.distributeSpareCredit(spare, capacity)
}

// anyPartWaits reports whether work waits for a slot.
func (s *Scheduler) anyPartWaits() bool {
	return slices.ContainsFunc(s.priorities, func(p *priority) bool { return p.waitingParts > 0 })
}

// observeConcurrency follows the number of slots that are in use while work
// waits. It is below the number of slots when the waiting shards have too few
// replicas to use them all.
func (s *Scheduler) observeConcurrency(inFlight int, elapsed float64) {
	slots := s.usableSlots()
	for _, p := range s.priorities {
		if p.waitingParts > 0 {
			slots = min(slots, float64(inFlight))
			break
		}
	}
	decay := math.Exp(-elapsed / usageTimeConstant.Seconds())
	s.measuredConcurrency = s.measuredConcurrency*decay + slots*(1-decay)
}

// effectiveSlots is the number of slots that admission reckons with.
func (s *Scheduler) effectiveSlots() float64 {
	return max(min(s.measuredConcurrency, s.usableSlots()), 1)
}

// distributeSpareCredit gives unused credit to the most urgent priorities with work.
func (s *Scheduler) distributeSpareCredit(spare, capacity float64) {
	for _, p := range s.priorities {
		if spare <= 0 {
			return
		}
		if p.inFlight == 0 && p.waitingParts == 0 {
			continue
		}
		p.credit += spare
		spare = p.capCredit(capacity)
	}
}

// capCredit limits the credit to the caps and returns what was above.
func (p *priority) capCredit(capacity float64) float64 {
	limit := maxCreditTime.Seconds() * capacity
	p.credit = max(p.credit, -limit)
	if p.waitingParts == 0 {
		limit = maxIdleCreditTime.Seconds() * capacity
	}
	excess := max(p.credit-limit, 0)
	p.credit -= excess
	return excess
}

// prioritiesByCredit returns the priorities in the order in which they may use a slot:
// first those with credit, then the others, each by urgency.
func (s *Scheduler) prioritiesByCredit() []*priority {
	order := s.priorityBuffer[:0]
	if s.cfg.Overrides.SharesOnly {
		order = append(order, s.priorities...)
		slices.SortStableFunc(order, func(a, b *priority) int { return cmp.Compare(b.credit, a.credit) })
		s.priorityBuffer = order
		return order
	}
	for _, p := range s.priorities {
		if p.credit > 0 {
			order = append(order, p)
		}
	}
	for _, p := range s.priorities {
		if p.credit <= 0 {
			order = append(order, p)
		}
	}
	s.priorityBuffer = order
	return order
}
