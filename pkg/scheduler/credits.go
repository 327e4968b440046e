package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxCreditTime bounds the credit and the debt of a priority. It is the
	// time for which a priority with the greatest credit could use all slots of
	// the group.
	maxCreditTime = time.Second
	// maxIdleCreditTime bounds the credit of a priority without waiting work.
	// With a full second saved while idle, a sudden flood of the most urgent
	// work would displace the other priorities for longer than their deadlines.
	maxIdleCreditTime = 50 * time.Millisecond
	// maxAccrualTime bounds the time that is credited at once, for example
	// after a pause of the process.
	maxAccrualTime = time.Second
	// usageTimeConstant is the time constant of the moving averages of slots in
	// use.
	usageTimeConstant = 500 * time.Millisecond
)

// accrueCredit updates the credit of all priorities for the time since the last
// call. Every priority earns its guaranteed share of the slot time that all
// priorities used, and pays for the slot time that it used itself. The slot time
// that no guaranteed share covers, and the credit above the limit of a priority,
// go to the most urgent priorities with work. The sum of all credit therefore
// stays constant, with three exceptions: debts are cancelled while no work waits,
// a debt is cut at its limit, and spare credit is lost if no priority can take
// it.
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
		// While no work waits, the use of slots causes no debt. Without this
		// rule, a priority that used free slots would be in debt when a flood
		// starts.
		if idle && p.credit < 0 {
			p.credit = 0
		}
	}
	s.distributeSpareCredit(spare, capacity)
}

// anyPartWaits reports whether any work waits for a slot.
func (s *Scheduler) anyPartWaits() bool {
	return slices.ContainsFunc(s.priorities, func(p *priority) bool { return p.waitingParts > 0 })
}

// observeConcurrency updates the moving average of the number of slots in use
// while work waits; while nothing waits, all usable slots count. The number in
// use is below the number of slots when the waiting shards have too few
// replicas to use all of them.
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

// effectiveSlots returns the number of slots on which admission bases its
// estimates.
func (s *Scheduler) effectiveSlots() float64 {
	return max(min(s.measuredConcurrency, s.usableSlots()), 1)
}

// distributeSpareCredit gives the spare credit to the most urgent priorities
// with work, each up to its limit.
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

// capCredit limits the credit and the debt of the priority and returns the
// credit above the limit.
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

// prioritiesByCredit returns the priorities in the order in which they may use
// a free slot: first those with credit, then the others, both by urgency.
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
