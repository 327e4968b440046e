// Package retrybudget bounds the extra attempts, that is hedges and retries, that
// one instance sends to a service. Without any communication between instances,
// the extra attempts of all of them stay within the service's budget: in a sliding
// window, each instance may send a fraction of the number of its own requests, and
// a share of the fixed allowance. The shares are equal, except that for a shard of
// queries the instances that run queries for others get most of the allowance. A
// Budget does no I/O and reads no clock; it is not safe for concurrent use.
package retrybudget

import (
	"math"
	"time"
)

// Limits describe the budget of a service over all instances.
type Limits struct {
	// Ratio is the number of extra attempts allowed for each request in a window.
	Ratio float64
	// Allowance is the number of extra attempts allowed in any window in addition
	// to those that Ratio allows.
	Allowance float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Fleet describes the instances that share the allowance of a service.
type Fleet struct {
	// Instances is the number of all instances.
	Instances int
	// QueryRunners is the number of those that run queries over shards, for others too.
	// It is zero for a service that all instances use alike.
	QueryRunners int
	// QueryRunner is true if this instance is one of them.
	QueryRunner bool
}

// delegatorShare is the number of extra attempts in a window that is reserved, in the
// allowance of a shard, for each instance that lets others run its queries. It runs
// one itself only if all others decline.
const delegatorShare = 1

// share returns this instance's share of an allowance.
func (f Fleet) share(allowance float64) float64 {
	equal := allowance / float64(max(1, f.Instances))
	if f.QueryRunners <= 0 {
		return equal
	}
	reserved := min(equal, delegatorShare)
	if !f.QueryRunner {
		return reserved
	}
	delegators := max(0, f.Instances-f.QueryRunners)
	return (allowance - reserved*float64(delegators)) / float64(f.QueryRunners)
}

const (
	// ratioShare and allowanceShare are the shares of the ratio and the allowance
	// that instances use. The rest is a margin for requests that the upstream
	// counts in another window than the instance.
	ratioShare     = 0.9
	allowanceShare = 0.8
	// slotCount is the number of slots, the time intervals of a window that are
	// counted separately.
	slotCount = 20
	// urgentShare is the share of the budget that is reserved for attempts that
	// cannot wait.
	urgentShare = 0.4
)

// counts holds the requests and extra attempts of one slot.
type counts struct {
	requests, extra int
}

// Budget counts the requests and extra attempts of one service at one instance.
type Budget struct {
	limits Limits
	fleet  Fleet
	// slots is a ring of the slots of the window and one more, because the oldest
	// slot is still partly in the window.
	slots [slotCount + 1]counts
	// current is the number of the newest slot, counted from start.
	current int64
	start   time.Time
	// total is the sum of all slots.
	total counts
}

// New returns a budget without requests. At first it allows only the instance's
// share of the allowance, and at least one extra attempt. A process that is
// restarted often therefore cannot use the budgets that the earlier processes got
// for their requests.
func New(l Limits, f Fleet, now time.Time) *Budget {
	return &Budget{limits: l, fleet: f, start: now}
}

// SetLimits changes the limits and the instances that share them. Extra attempts that have
// been sent count in the new window too.
func (b *Budget) SetLimits(now time.Time, l Limits, f Fleet) {
	if l.Window != b.limits.Window {
		b.setWindow(now, l.Window)
	}
	b.limits, b.fleet = l, f
}

// setWindow changes the length of the window and moves the counts to the new slots. Where a
// slot falls between two new ones, its extra attempts go to the later one and its requests
// to the earlier one, so that the budget is rather too small.
func (b *Budget) setWindow(now time.Time, window time.Duration) {
	b.advance(now)
	old := *b
	oldSlot, newSlot := old.limits.Window/slotCount, window/slotCount
	b.limits.Window, b.start, b.current = window, now, 0
	b.slots, b.total = [slotCount + 1]counts{}, counts{}
	slotAt := func(age time.Duration) (number int64, inWindow bool) {
		if newSlot <= 0 {
			return 0, true
		}
		n := (max(0, age) + newSlot - 1) / newSlot
		return -int64(n), n <= slotCount
	}
	add := func(age time.Duration, c counts) {
		if number, ok := slotAt(age); ok {
			s := b.slot(number)
			s.requests += c.requests
			s.extra += c.extra
			b.total.requests += c.requests
			b.total.extra += c.extra
		}
	}
	if oldSlot <= 0 {
		// Without a window, attempts are counted from the start and their age is not known.
		add(0, counts{extra: old.total.extra})
		return
	}
	// currentAge is the time since the beginning of the old current slot.
	currentAge := now.Sub(old.start.Add(time.Duration(old.current) * oldSlot))
	for i := range int64(slotCount + 1) {
		c := *old.slot(old.current - i)
		end := currentAge + time.Duration(i-1)*oldSlot
		add(end, counts{extra: c.extra})
		add(end+oldSlot, counts{requests: c.requests})
	}
	if window > old.limits.Window {
		// What was sent before the old window is not known.
		windows := (window - 1) / old.limits.Window
		add(old.limits.Window, counts{extra: int(math.Ceil(old.fixedLimit())) * int(windows)})
	}
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.slot(b.current).requests++
	b.total.requests++
}

// Take reserves an extra attempt and reports whether the budget allows it. An
// attempt that can wait may not use the share of the budget that is reserved for
// those that cannot.
func (b *Budget) Take(now time.Time, canWait bool) bool {
	b.advance(now)
	limit := b.limit()
	if canWait {
		limit *= 1 - urgentShare
	}
	if float64(b.total.extra+1) > limit {
		return false
	}
	b.slot(b.current).extra++
	b.total.extra++
	return true
}

// Available returns the number of extra attempts that are allowed now.
func (b *Budget) Available(now time.Time) float64 {
	b.advance(now)
	return max(0, b.limit()-float64(b.total.extra))
}

// limit returns the number of extra attempts allowed in the current window. The
// oldest slot is only partly in the window, so its extra attempts count as sent,
// but its requests do not raise the limit. At least one extra attempt is
// allowed, because otherwise the instances of a large fleet could never send
// any.
func (b *Budget) limit() float64 {
	requests := b.total.requests - b.slot(b.current-slotCount).requests
	return b.fixedLimit() + b.limits.Ratio*ratioShare*float64(requests)
}

// fixedLimit returns the part of the limit that does not depend on the requests.
func (b *Budget) fixedLimit() float64 {
	return max(1, b.fleet.share(b.limits.Allowance*allowanceShare))
}

// slot returns the entry of the ring for the slot with the given number.
func (b *Budget) slot(number int64) *counts {
	n := int64(len(b.slots))
	return &b.slots[((number%n)+n)%n]
}

// advance clears the slots that have left the window.
func (b *Budget) advance(now time.Time) {
	if b.limits.Window <= 0 {
		return
	}
	number := int64(now.Sub(b.start) / (b.limits.Window / slotCount))
	for steps := 0; b.current < number; steps++ {
		if steps > slotCount {
			b.current = number
			return
		}
		b.current++
		s := b.slot(b.current)
		b.total.requests -= s.requests
		b.total.extra -= s.extra
		*s = counts{}
	}
}
