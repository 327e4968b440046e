package scheduler

import (
	"github.com/sardineturn/sardineturn/pkg/document"
)

const (
	// hedgeBurstTokens and extraBurstTokens are the capacities of the token
	// buckets, in attempts. The buckets start full, so that hedges and retries
	// are possible before many first attempts were made.
	hedgeBurstTokens = 3
	extraBurstTokens = 10
	// tokenRoundingTolerance allows for the rounding error of a whole token
	// that is the sum of many fractions.
	tokenRoundingTolerance = 1e-9
)

// tokenBucket is a token bucket to which each first attempt adds a fraction of
// a token.
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

func (b *tokenBucket) addFraction() { b.tokens = min(b.burst, b.tokens+b.fraction) }

func (b *tokenBucket) hasToken() bool { return b.tokens >= 1-tokenRoundingTolerance }

// budgets limit the extra attempts to fractions of the first attempts. A hedge
// takes a token from both buckets, a retry one from extra only.
type budgets struct {
	hedge tokenBucket
	extra tokenBucket
	// Numbers of attempts since the scheduler was created.
	firstAttempts, hedges, retries uint64
}

func newBudgets(d document.Budgets) budgets {
	return budgets{
		hedge: newTokenBucket(d.Hedge(), hedgeBurstTokens),
		extra: newTokenBucket(d.Extra(), extraBurstTokens),
	}
}

// configure sets new fractions and keeps the tokens.
func (b *budgets) configure(d document.Budgets) {
	b.hedge.fraction = d.Hedge()
	b.extra.fraction = d.Extra()
}

func (b *budgets) countFirstAttempt() {
	b.firstAttempts++
	b.hedge.addFraction()
	b.extra.addFraction()
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
