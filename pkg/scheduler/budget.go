package scheduler

import (
	"github.com/sardineturn/sardineturn/pkg/document"
)

const (
	// hedgeBurstTokens and extraBurst are the tokens that the budgets hold at most,
	// in attempts. They let small samples hedge and retry at all.
	hedgeBurstTokens = 3
	extraBurstTokens = 10
	// tokenRoundingTolerance absorbs rounding of fractions added up to a token.
	tokenRoundingTolerance = 1e-9
)

// tokenBucket is a token bucket that is filled per first attempt.
type tokenBucket struct {
	tokens   float64
	fraction float64
	burst    float64
}

func newTokenBucket(fraction, burst float64) tokenBucket {
	b := tokenBucket{fraction: fraction, burst: burst}
	if fraction > 0 {
		b.tokens = burst
	}
	return b
}

func (b *tokenBucket) fill() { b.tokens = min(b.burst, b.tokens+b.fraction) }

func (b *tokenBucket) hasToken() bool { return b.tokens >= 1-tokenRoundingTolerance }

// budgets bound the extra attempts: hedges by both buckets, retries by extra.
type budgets struct {
	hedge tokenBucket
	extra tokenBucket
	// Totals since the start of the scheduler.
	firstAttempts, hedges, retries uint64
}

func newBudgets(d document.Budgets) budgets {
	return budgets{
		hedge: newTokenBucket(d.Hedge(), hedgeBurstTokens),
		extra: newTokenBucket(d.Extra(), extraBurstTokens),
	}
}

// configure adopts new fractions and keeps the tokens.
func (b *budgets) configure(d document.Budgets) {
	b.hedge.fraction = d.Hedge()
	b.extra.fraction = d.Extra()
}

func (b *budgets) countFirstAttempt() {
	b.firstAttempts++
	b.hedge.fill()
	b.extra.fill()
}

func (b *budgets) takeRetry() bool {
	if b.extra.fraction <= 0 || !b.extra.hasToken() {
		return false
	}
	b.extra.tokens--
	b.retries++
	return true
}

func (b *budgets) takeHedge() bool {
	if b.hedge.fraction <= 0 || !b.hedge.hasToken() || !b.extra.hasToken() {
		return false
	}
	b.hedge.tokens--
	b.extra.tokens--
	b.hedges++
	return true
}
