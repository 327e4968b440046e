package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// breakerMinOpenTime and breakerMaxOpenTime bound the time for which a
	// breaker stays open before the next probe, without the random extra time.
	breakerMinOpenTime = 100 * time.Millisecond
	breakerMaxOpenTime = 5 * time.Second
	// breakerJitter is the greatest random extra time, as a fraction of the
	// open time.
	breakerJitter = 0.25
	// lostAfterOpenings is the number of openings, as counted by
	// breaker.openings, after which an upstream is presumed lost, so that
	// requests no longer wait for it.
	lostAfterOpenings = 2

	// Weights of failures; a breaker opens when the sum of the weights since
	// the last success reaches one. A failure that the upstream itself reports
	// weighs little, because it shows that the upstream is alive, and the
	// request may be the cause.
	weightUnreachable = 0.34
	weightTimeout     = 0.2
	weightReported    = 0.1
)

// breaker is the circuit breaker of an upstream. It opens after failures and
// then admits one probe at a time, after a delay that doubles with each failed
// probe.
type breaker struct {
	failureScore float64
	// openings counts how often the breaker opened since the last success; a
	// failed probe counts as another opening.
	openings    int
	open        bool
	openedAt    time.Time
	nextProbeAt time.Time
	probing     bool
}

// allows reports whether a new attempt may start: always while the breaker is
// closed, and one probe at a time after the delay while it is open.
func (b *breaker) allows(now time.Time) bool {
	return !b.open || !b.probing && !now.Before(b.nextProbeAt)
}

// presumedLost reports whether requests should no longer wait for the upstream.
func (b *breaker) presumedLost() bool { return b.open && b.openings >= lostAfterOpenings }

// recordFailure adds the weight of a failed attempt. It reports whether the
// breaker opened or, after a failed probe, opened again. While the breaker is
// open only a failed probe counts, because the other attempts were started before
// it opened.
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

// abandonProbe ends a probe that showed neither success nor failure. Another
// probe may start after breakerMinOpenTime.
func (b *breaker) abandonProbe(now time.Time) {
	b.probing = false
	b.nextProbeAt = now.Add(breakerMinOpenTime)
}

// trip opens the breaker and sets the time of the next probe.
func (b *breaker) trip(now time.Time, rnd *rand.Rand) {
	b.open = true
	b.probing = false
	b.openedAt = now
	delay := min(breakerMinOpenTime<<min(b.openings, 10), breakerMaxOpenTime)
	b.openings++
	jitter := 1 + breakerJitter*rnd.Float64()
	b.nextProbeAt = now.Add(time.Duration(float64(delay) * jitter))
}

// recordSuccess resets the breaker and reports whether it was open.
func (b *breaker) recordSuccess() bool {
	wasOpen := b.open
	*b = breaker{}
	return wasOpen
}

// failureWeight returns the breaker weight of a reply with the given code.
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
