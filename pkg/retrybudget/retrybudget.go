// Package retrybudget bounds the requests that one instance sends to a service
// beyond the first attempt of each. The bounds of all instances together stay
// within the service's budget without communication: each may use a fraction
// of its own requests, and an equal part of the fixed allowance.
// A Budget is pure and not safe for concurrent use.
package retrybudget

import "time"

// Limits describe the budget of a service over all instances.
type Limits struct {
	// Ratio is the number of extra attempts for each request.
	Ratio float64
	// Allowance is the number of extra attempts in any Window beside the ratio.
	Allowance float64
	Window    time.Duration
}

const (
	// ratioShare and allowanceShare keep a margin for requests that are counted
	// in another window at the upstream than here.
	ratioShare     = 0.9
	allowanceShare = 0.8
	// burstShare is the part of the allowance that may be used at once; the rest
	// accrues over the window. Both parts can fall into one window.
	burstShare = 0.5
)

// Budget is the token bucket of one service at one instance.
type Budget struct {
	limits    Limits
	instances int
	tokens    float64
	at        time.Time
}

// New returns an empty bucket, so that a process that is restarted often does
// not spend the allowance of each start.
func New(l Limits, instances int, now time.Time) *Budget {
	return &Budget{limits: l, instances: max(1, instances), at: now}
}

// SetInstances changes the number of instances that share the allowance.
func (b *Budget) SetInstances(n int) { b.instances = max(1, n) }

// Request accounts for the first attempt of a request.
func (b *Budget) Request(now time.Time) {
	b.accrue(now)
	b.tokens = min(b.tokens+b.limits.Ratio*ratioShare, b.burst())
}

// Take reserves an extra attempt and reports whether the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	b.accrue(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return gives back a reserved attempt that did not reach the upstream.
func (b *Budget) Return() { b.tokens = min(b.tokens+1, b.burst()) }

// share is this instance's part of the allowance.
func (b *Budget) share() float64 {
	return b.limits.Allowance * allowanceShare / float64(b.instances)
}

// burst is the content of a full bucket. At least one token must fit, or a
// large fleet could never send an extra attempt.
func (b *Budget) burst() float64 { return max(1, b.share()*burstShare) }

func (b *Budget) accrue(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 || b.limits.Window <= 0 {
		return
	}
	b.at = now
	gain := b.share() * (1 - burstShare) * elapsed.Seconds() / b.limits.Window.Seconds()
	b.tokens = min(b.tokens+gain, b.burst())
}

// Available returns the number of extra attempts that are allowed now.
func (b *Budget) Available(now time.Time) float64 {
	b.accrue(now)
	return b.tokens
}
