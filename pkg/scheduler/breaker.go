package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// breakerMinOpenTime and breakerMax bound the time that a breaker stays open.
	breakerMinOpenTime = 100 * time.Millisecond
	breakerMaxOpenTime = 5 * time.Second
	// breakerJitter is the random fraction of the open time.
	breakerJitter = 0.25
	// lostAfterOpenings is the number of openings in a row after which an upstream
	// counts as lost, so that requests no longer wait for it.
	lostAfterOpenings = 2

	// Failure weights; a breaker opens when their sum reaches one. A failure
	// that an upstream reports weighs little, because it shows that the
	// upstream is alive and may lie in the request.
	weightUnreachable = 0.34
	weightTimeout     = 0.2
	weightReported    = 0.1
)

// breaker ejects an upstream after failures and lets one probe at a time pass
// after an exponentially growing delay.
type breaker struct {
	failureScore float64
	// openings counts openings since the last success.
	openings int
	open     bool
	openedAt time.Time
	nextProbeAt  time.Time
	probing  bool
}

// allows reports whether a new attempt may pass: always while the breaker is
// closed, and one test at a time after the delay while it is open.
func (b *breaker) allows(now time.Time) bool {
	return !b.open || !b.probing && !now.Before(b.nextProbeAt)
}

// presumedLost reports whether the upstream is not worth waiting for.
func (b *breaker) presumedLost() bool { return b.open && b.openings >= lostAfterOpenings }

// recordFailure adds a failure and reports whether the breaker opened. While it is open
// only the test counts; other attempts were started before it opened.
func (b *breaker) recordFailure(now time.Time, weight float64, probe bool, rnd *rand.Rand) bool {
	if b.open && !probe {
		return false
	}
	b.failureScore += weight
	if b.failureScore < 1 && !b.open {
		return false
	}
	b.trip(now, rnd)
	return true
}

// abandonProbe ends a test without a result; another one may follow.
func (b *breaker) abandonProbe(now time.Time) {
	b.probing = false
	b.nextProbeAt = now.Add(breakerMinOpenTime)
}

func (b *breaker) trip(now time.Time, rnd *rand.Rand) {
	b.open = true
	b.probing = false
	b.openedAt = now
	delay := min(breakerMinOpenTime<<min(b.openings, 10), breakerMaxOpenTime)
	b.openings++
	jitter := 1 + breakerJitter*rnd.Float64()
	b.nextProbeAt = now.Add(time.Duration(float64(delay) * jitter))
}

// recordSuccess closes the breaker and reports whether it was open.
func (b *breaker) recordSuccess() bool {
	wasOpen := b.open
	*b = breaker{}
	return wasOpen
}

// failureWeight returns the weight of a reply's code for the breaker.
func failureWeight(c result.Code) float64 {
	switch c {
	case result.ConnectFailed:
		return weightUnreachable
	case result.NoAnswerInTime:
		return weightTimeout
	case result.UpstreamFailed, result.AnswerMismatch, result.OutcomeUnknown, result.Internal:
		return weightReported
	default:
		return 0
	}
}
