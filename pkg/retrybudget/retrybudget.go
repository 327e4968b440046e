// Package retrybudget bounds the requests that one instance sends to a service
// beyond the first attempt of each. The bounds of all instances together stay
// within the service's budget without communication: each may use a fraction
// of its own requests in a sliding window, and an equal part of the fixed
// allowance. A Budget is pure and not safe for concurrent use.
package retrybudget

import "time"

// Limits describe the budget of a service over all instances.
type Limits struct {
	// Ratio is the number of extra attempts for each request in a window.
	Ratio float64
	// Allowance is the number of extra attempts in any window beside the ratio.
	Allowance float64
	Window    time.Duration
}

const (
	// ratioShare and allowanceShare keep a margin for requests that are counted
	// in another window at the upstream than here.
	ratioShare     = 0.9
	allowanceShare = 0.8
	// slotCount is the number of parts of a window that are counted separately.
	slotCount = 20
	// spareShare is the part of the budget that is kept for attempts that cannot
	// wait.
	spareShare = 0.4
)

// counts are those of a part of the window.
type counts struct {
	requests, extra int
}

// Budget counts the requests and extra attempts of one service at one instance.
type Budget struct {
	limits    Limits
	instances int
	// slots is a ring: one for each part of the window, and one more, because the
	// oldest part is still partly in the window.
	slots [slotCount + 1]counts
	// current is the number of the newest part since the start.
	current int64
	start   time.Time
	total   counts
}

// New returns a budget without requests. A process that is restarted often does
// therefore not spend the share of each of its predecessors.
func New(l Limits, instances int, now time.Time) *Budget {
	return &Budget{limits: l, instances: max(1, instances), start: now}
}

// SetLimits changes the limits and the number of instances that share them. The
// length of the window stays.
func (b *Budget) SetLimits(l Limits, instances int) {
	l.Window = b.limits.Window
	b.limits, b.instances = l, max(1, instances)
}

// CountRequest accounts for the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.slot(b.current).requests++
	b.total.requests++
}

// Take reserves an extra attempt and reports whether the budget allows it. One
// that can wait leaves a part of the budget to those that cannot.
func (b *Budget) Take(now time.Time, canWait bool) bool {
	b.advance(now)
	limit := b.limit()
	if canWait {
		limit *= 1 - spareShare
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

// limit is the number of extra attempts in a window. The oldest part of the ring
// counts with its extra attempts and without its requests. At least one must be
// allowed, or a large fleet could never send an extra attempt.
func (b *Budget) limit() float64 {
	requests := b.total.requests - b.slot(b.current-slotCount).requests
	share := b.limits.Allowance * allowanceShare / float64(b.instances)
	return max(1, share) + b.limits.Ratio*ratioShare*float64(requests)
}

func (b *Budget) slot(number int64) *counts {
	n := int64(len(b.slots))
	return &b.slots[((number%n)+n)%n]
}

// advance drops the parts that have left the window.
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
