package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// breakerBase and breakerMax bound the time that a breaker stays open.
	breakerBase = 100 * time.Millisecond
	breakerMax  = 5 * time.Second
	// breakerJitter is the random fraction of the open time.
	breakerJitter = 0.25
	// lostOpenings is the number of openings in a row after which an upstream
	// counts as lost, so that requests no longer wait for it.
	lostOpenings = 2

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
	score float64
	// openings counts openings since the last success.
	openings int
	open     bool
	openedAt time.Time
	retryAt  time.Time
	probing  bool
}

// allows reports whether a new attempt may pass: always while the breaker is
// closed, and one test at a time after the delay while it is open.
func (b *breaker) allows(now time.Time) bool {
	return !b.open || !b.probing && !now.Before(b.retryAt)
}

// lost reports whether the upstream is not worth waiting for.
func (b *breaker) lost() bool { return b.open && b.openings >= lostOpenings }

// fail adds a failure and reports whether the breaker opened. While it is open
// only the test counts; other attempts were started before it opened.
func (b *breaker) fail(now time.Time, weight float64, test bool, rnd *rand.Rand) bool {
	if b.open && !test {
		return false
	}
	b.score += weight
	if b.score < 1 && !b.open {
		return false
	}
	b.trip(now, rnd)
	return true
}

// abandonTest ends a test without a result; another one may follow.
func (b *breaker) abandonTest(now time.Time) {
	b.probing = false
	b.retryAt = now.Add(breakerBase)
}

func (b *breaker) trip(now time.Time, rnd *rand.Rand) {
	b.open = true
	b.probing = false
	b.openedAt = now
	delay := min(breakerBase<<min(b.openings, 10), breakerMax)
	b.openings++
	jitter := 1 + breakerJitter*rnd.Float64()
	b.retryAt = now.Add(time.Duration(float64(delay) * jitter))
}

// succeed closes the breaker and reports whether it was open.
func (b *breaker) succeed() bool {
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
