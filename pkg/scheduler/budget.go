package scheduler

import (
	"github.com/sardineturn/sardineturn/pkg/document"
)

const (
	// hedgeBurst and extraBurst are the tokens that the budgets hold at most,
	// in attempts. They let small samples hedge and retry at all.
	hedgeBurst = 3
	extraBurst = 10
	// budgetTolerance absorbs rounding of fractions added up to a token.
	budgetTolerance = 1e-9
)

// bucket is a token bucket that is filled per first attempt.
type bucket struct {
	tokens   float64
	fraction float64
	burst    float64
}

func newBucket(fraction, burst float64) bucket {
	b := bucket{fraction: fraction, burst: burst}
	if fraction > 0 {
		b.tokens = burst
	}
	return b
}

func (b *bucket) fill() { b.tokens = min(b.burst, b.tokens+b.fraction) }

func (b *bucket) has() bool { return b.tokens >= 1-budgetTolerance }

// budgets bound the extra attempts: hedges by both buckets, retries by extra.
type budgets struct {
	hedge bucket
	extra bucket
	// Totals since the start of the scheduler.
	first, hedges, retries uint64
}

func newBudgets(d document.Budgets) budgets {
	return budgets{
		hedge: newBucket(d.Hedge(), hedgeBurst),
		extra: newBucket(d.Extra(), extraBurst),
	}
}

// configure adopts new fractions and keeps the tokens.
func (b *budgets) configure(d document.Budgets) {
	b.hedge.fraction = d.Hedge()
	b.extra.fraction = d.Extra()
}

func (b *budgets) countFirst() {
	b.first++
	b.hedge.fill()
	b.extra.fill()
}

func (b *budgets) takeRetry() bool {
	if b.extra.fraction <= 0 || !b.extra.has() {
		return false
	}
	b.extra.tokens--
	b.retries++
	return true
}

func (b *budgets) takeHedge() bool {
	if b.hedge.fraction <= 0 || !b.hedge.has() || !b.extra.has() {
		return false
	}
	b.hedge.tokens--
	b.extra.tokens--
	b.hedges++
	return true
}
