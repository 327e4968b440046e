// Package backpressure keeps what an upstream demands of its callers, and decides
// whether an instance may send it another request. It does no I/O and reads no clock;
// its types are not safe for concurrent use.
package backpressure

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose requests, at the upstream's limit, all instances may
	// send at once in addition to the limit.
	burstTime = time.Second
	// window is the time over which an upstream tolerates half as much again as its
	// limit. Probes of instances without a share take at most probeShare of the limit.
	window     = 4 * time.Second
	probeShare = 0.25
	// minProbeInterval is the shortest time between two requests of an instance without
	// a share. Their answers show whether the limit still holds.
	minProbeInterval = 10 * time.Second
	// maxRetryDelay bounds the time after which a refused caller is told to return.
	maxRetryDelay = 2 * time.Second
	// reservedShare is the fraction of the burst that is reserved for first attempts.
	reservedShare = 0.5
)

// Share is the place of an instance among those that send requests to an upstream.
type Share struct {
	// Instances is the number of all instances, and Senders the number of those that
	// usually send requests to the upstream.
	Instances, Senders int
	// Rank is the position of this instance, from 0. The senders come first. The order
	// differs between upstreams.
	Rank int
}

// RateLimit enforces an instance's share of the request rate that an upstream takes from
// all instances together. Without messages between the instances, all of them together
// send at most the limit, and the requests of burstTime and one more in any window.
type RateLimit struct {
	// limit is the number of requests a second that all instances may send; zero if
	// there is no limit.
	limit float64
	share Share
	// heardAt is when an answer last named the limit.
	heardAt time.Time
	// tokens is the number of requests that this instance may send at filledAt.
	tokens   float64
	filledAt time.Time
	// probeAt is when an instance without a share may send its next request.
	probeAt time.Time
	// retryAt is when the caller that was refused last may return.
	retryAt time.Time
}

// Limit returns the number of requests a second that all instances may send, or zero if
// there is no limit.
func (r *RateLimit) Limit() float64 { return r.limit }

// Observe records the limit that an answer named, zero if it named none, and this
// instance's share of it. sentAt is when the attempt began: an attempt that began before
// the limit was last named does not end the limit. Observe reports whether the limit
// changed.
func (r *RateLimit) Observe(now, sentAt time.Time, limit float64, share Share) bool {
	changed := limit != r.limit
	if limit <= 0 {
		if !changed || sentAt.Before(r.heardAt) {
			return false
		}
		*r = RateLimit{}
		return true
	}
	if r.limit == 0 {
		r.filledAt = now
	}
	r.fill(now)
	r.limit, r.share, r.heardAt = limit, share, now
	r.tokens = min(r.tokens, r.burst())
	if r.sharers() <= share.Rank {
		r.probeAt = now.Add(r.probeInterval() + r.probePhase())
	}
	return changed
}

// sharers returns the number of instances among which the limit is divided. Each gets at
// least one request in burstTime.
func (r *RateLimit) sharers() int {
	return max(1, min(r.share.Senders, int(r.limit*burstTime.Seconds())+1))
}

// rate returns the number of requests a second that this instance may send.
func (r *RateLimit) rate() float64 {
	if r.share.Rank >= r.sharers() {
		return 0
	}
	return r.limit / float64(r.sharers())
}

// burst returns the largest number of tokens.
func (r *RateLimit) burst() float64 {
	return max(1, (r.limit*burstTime.Seconds()+1)/float64(r.sharers()))
}

func (r *RateLimit) fill(now time.Time) {
	if elapsed := now.Sub(r.filledAt); elapsed > 0 {
		r.tokens = min(r.burst(), r.tokens+r.rate()*elapsed.Seconds())
		r.filledAt = now
	}
}

// probeInterval is the time between two requests of an instance without a share.
func (r *RateLimit) probeInterval() time.Duration {
	others := float64(max(0, r.share.Instances-r.sharers()))
	needed := time.Duration(others / (probeShare * r.limit) * float64(time.Second))
	return max(minProbeInterval, needed)
}

// probePhase spreads the probes of instances that heard of the limit together.
func (r *RateLimit) probePhase() time.Duration {
	return time.Duration(float64(r.probeInterval()) * float64(r.share.Rank) / float64(max(1, r.share.Instances)))
}

// required returns the number of tokens that the bucket must hold for an attempt. Extra
// attempts leave the reserved part to first attempts.
func (r *RateLimit) required(first bool) float64 {
	if first {
		return 1
	}
	return 1 + reservedShare*r.burst()
}

// Allows reports whether an attempt may be sent. first is true for the first attempt of a
// request.
func (r *RateLimit) Allows(now time.Time, first bool) bool {
	if r.limit == 0 {
		return true
	}
	return !r.AllowedAt(now, first).After(now)
}

// AllowedAt returns the time from which an attempt may be sent if no other is sent
// before.
func (r *RateLimit) AllowedAt(now time.Time, first bool) time.Time {
	if r.limit == 0 {
		return now
	}
	if r.rate() == 0 {
		return r.probeAt
	}
	r.fill(now)
	required := r.required(first)
	if required > r.burst() {
		return now.Add(window)
	}
	if r.tokens >= required {
		return now
	}
	return now.Add(time.Duration(math.Ceil((required - r.tokens) / r.rate() * float64(time.Second))))
}

// RetryAt returns when a caller whose request is refused now should send it again, to this
// or another instance. Callers that are refused one after the other are told to return
// one after the other, at the rate at which this instance may send.
func (r *RateLimit) RetryAt(now time.Time) time.Time {
	if r.limit == 0 {
		return now
	}
	perRequest := time.Duration(float64(r.sharers()) / r.limit * float64(time.Second))
	at := now.Add(perRequest)
	if allowedAt := r.AllowedAt(now, true); allowedAt.Before(at) {
		at = allowedAt
	}
	if next := r.retryAt.Add(perRequest); next.After(at) {
		at = next
	}
	if latest := now.Add(maxRetryDelay); at.After(latest) {
		return latest
	}
	r.retryAt = at
	return at
}

// Take counts an attempt that is sent.
func (r *RateLimit) Take(now time.Time) {
	if r.limit == 0 {
		return
	}
	if r.rate() == 0 {
		r.probeAt = now.Add(r.probeInterval())
		return
	}
	r.fill(now)
	r.tokens--
}
