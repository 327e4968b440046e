package backpressure

import (
	"math"
	"time"
)

const (
	// unknownShare is the fraction of the instances before this one in the order of an
	// upstream's sharers that this instance may not know yet. All shares together are
	// smaller by it than the bound.
	unknownShare = 0.2
	// arrivalSpread is the time by which requests may be closer together when they arrive
	// than when they were sent.
	arrivalSpread = 100 * time.Millisecond
)

// ColdBounds is the platform's rule for cold upstreams: one that tolerates L requests a
// second must get at most Excess x L + Slack in any second, from all instances together.
type ColdBounds struct{ Excess, Slack float64 }

// ColdLimit enforces an instance's share of the requests that a cold upstream tolerates. It
// answers the load after a start or the end of an evacuation, when all instances turn to
// upstreams that crash at their usual rate of requests.
// The first instances in the upstream's order share them equally, and the others send
// none; docs/design/cold-upstreams.md derives the bound. The zero value allows nothing.
type ColdLimit struct {
	share Share
	// sharers is the number of instances that send requests to the upstream, rate how many
	// a second all of them may send, and burst the largest number of tokens of each.
	sharers     int
	rate, burst float64
	set         bool
	// tokens is the number of requests that this instance may send at filledAt.
	tokens   float64
	filledAt time.Time
	// reserved counts the requests that were reserved and not sent yet.
	reserved int
	// retryAt is when the caller that was refused last may return.
	retryAt time.Time
}

// Set sets the number of requests a second that the upstream tolerates while it is cold,
// the platform's bounds and this instance's share. An instance that becomes a sharer
// starts without tokens, because the one that it replaces may have just used its own.
func (c *ColdLimit) Set(now time.Time, perSecond float64, b ColdBounds, share Share) {
	wasSharer, first := c.isSharer(), !c.set
	c.fill(now)
	c.set, c.share = true, share
	c.sharers, c.rate, c.burst = divideCold(perSecond, b, share.Senders)
	switch {
	case first:
		c.tokens = c.burst
	case !wasSharer:
		c.tokens = 0
	}
	c.tokens, c.filledAt = min(c.tokens, c.burst), now
}

// divideCold returns the number of sharers, the requests a second that all of them may
// send, and the largest number of tokens of each, which is at least one. There are no
// sharers if the bounds leave no room for a single request.
func divideCold(perSecond float64, b ColdBounds, senders int) (sharers int, rate, burst float64) {
	const knownShare, window = 1 - unknownShare, 1 + float64(arrivalSpread)/float64(time.Second)
	total := knownShare * (b.Excess*perSecond + b.Slack)
	if !(perSecond > 0) || total < 1 {
		return 0, 0, 0
	}
	rate = min(knownShare*perSecond, (total-1)/window)
	bursts := max(1, total-rate*window)
	sharers = max(1, int(min(float64(senders), bursts)))
	return sharers, rate, bursts / float64(sharers)
}

func (c *ColdLimit) isSharer() bool { return c.share.Rank < c.sharers }

// Rate returns the number of requests a second that this instance may send.
func (c *ColdLimit) Rate() float64 {
	if !c.isSharer() {
		return 0
	}
	return c.rate / float64(c.sharers)
}

// Share returns this instance's share.
func (c *ColdLimit) Share() Share { return c.share }

func (c *ColdLimit) fill(now time.Time) {
	if elapsed := now.Sub(c.filledAt); elapsed > 0 {
		c.tokens = min(c.burst, c.tokens+c.Rate()*elapsed.Seconds())
		c.filledAt = now
	}
}

// Allows reports whether a request may be sent now.
func (c *ColdLimit) Allows(now time.Time) bool {
	if !c.isSharer() {
		return false
	}
	c.fill(now)
	return c.tokens-float64(c.reserved) >= 1
}

// AllowedAt returns the time from which a request may be sent if no other is sent before,
// or the latest time at which a caller should return if this instance has no share.
func (c *ColdLimit) AllowedAt(now time.Time) time.Time {
	if !(c.Rate() > 0) {
		return now.Add(maxRetryDelay)
	}
	c.fill(now)
	wait := math.Ceil(max(0, 1+float64(c.reserved)-c.tokens) / c.Rate() * float64(time.Second))
	return now.Add(time.Duration(min(wait, float64(maxRetryDelay))))
}

// Reserve reserves a request that is going to be sent, and reports whether it may be. The
// reservation must be ended by SendReserved or Release.
func (c *ColdLimit) Reserve(now time.Time) bool {
	if !c.Allows(now) {
		return false
	}
	c.reserved++
	return true
}

// Release ends a reservation of a request that is not sent.
func (c *ColdLimit) Release() { c.reserved-- }

// SendReserved ends a reservation, counts its request and reports whether the request may
// be sent now. It may not if this instance's share has become smaller since.
func (c *ColdLimit) SendReserved(now time.Time) bool {
	c.reserved--
	if !c.isSharer() {
		return false
	}
	c.fill(now)
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// RetryAt returns when a caller whose request is refused now should send it again, to this
// or another instance. Callers that are refused one after the other are told to return one
// after the other, at the rate of this instance's share or, without one, of its part of
// the requests that all sharers may send.
func (c *ColdLimit) RetryAt(now time.Time) time.Time {
	latest := now.Add(maxRetryDelay)
	if c.rate <= 0 {
		return latest
	}
	callers := c.sharers
	if !c.isSharer() {
		callers = max(c.sharers, c.share.Senders)
	}
	perRequest := time.Duration(min(maxRetryDelay.Seconds(), float64(callers)/c.rate) * float64(time.Second))
	at := now.Add(perRequest)
	if allowedAt := c.AllowedAt(now); allowedAt.Before(at) {
		at = allowedAt
	}
	if next := c.retryAt.Add(perRequest); next.After(at) {
		at = next
	}
	if at.After(latest) {
		return latest
	}
	c.retryAt = at
	return at
}
