package retrybudget

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// sentAttempt is a request's first attempt or an extra attempt, sent by any
// instance.
type sentAttempt struct {
	at    time.Time
	extra bool
}

// TestBudgetHoldsInAnyWindow guards against windows in which all instances
// together send more extra attempts than the ratio of the requests plus the
// allowance. Traffic is uneven, instances restart, and each sends as many extra
// attempts as it may.
func TestBudgetHoldsInAnyWindow(t *testing.T) {
	limits := Limits{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(10, 20).Draw(t, "instances")
		budgets := make([]*Budget, n)
		for i := range budgets {
			budgets[i] = New(limits, Fleet{Instances: n}, start)
		}
		var attempts []sentAttempt
		now := start
		for now.Sub(start) < 40*time.Second {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				budgets[i] = New(limits, Fleet{Instances: n}, now)
			}
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				budgets[i].CountRequest(now)
				attempts = append(attempts, sentAttempt{at: now})
			}
			for budgets[i].Take(now, rapid.Bool().Draw(t, "can wait")) {
				attempts = append(attempts, sentAttempt{at: now, extra: true})
			}
		}
		checkWindows(t, limits, attempts, start)
	})
}

// TestChangedWindow guards against a change of the window's length that is ignored, or that
// lets instances send the extra attempts of the old window once more.
func TestChangedWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seconds := rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 2 * time.Second, 7 * time.Second, 10 * time.Second})
		limits := Limits{Ratio: 0.2, Allowance: 56, Window: seconds.Draw(t, "old window")}
		changed := limits
		changed.Window = seconds.Draw(t, "new window")
		n := rapid.IntRange(1, 10).Draw(t, "instances")
		budgets := make([]*Budget, n)
		for i := range budgets {
			budgets[i] = New(limits, Fleet{Instances: n}, start)
		}
		var attempts []sentAttempt
		change := start.Add(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "change")) * time.Millisecond)
		now := start
		for now.Sub(change) < 15*time.Second {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if !now.Before(change) {
				b.SetLimits(now, changed, Fleet{Instances: n})
			}
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.CountRequest(now)
				attempts = append(attempts, sentAttempt{at: now})
			}
			for b.Take(now, rapid.Bool().Draw(t, "can wait")) {
				attempts = append(attempts, sentAttempt{at: now, extra: true})
			}
		}
		checkWindows(t, changed, attempts, change)
	})
}

// TestChangedWindowIsUsed guards against a budget that stays used up after a change of the
// window's length, or that has the old window.
func TestChangedWindowIsUsed(t *testing.T) {
	const most = 8 // extra attempts: allowanceShare of the allowance
	for _, c := range []struct{ before, after time.Duration }{
		{10 * time.Second, 2 * time.Second},
		{2 * time.Second, 10 * time.Second},
		{2 * time.Second, 2500 * time.Millisecond},
		{0, 2 * time.Second},
	} {
		limits := Limits{Allowance: 10, Window: c.before}
		b := New(limits, Fleet{Instances: 1}, start)
		sendAll := func(now time.Time) (sent int) {
			for b.Take(now, false) {
				sent++
			}
			return sent
		}
		now := start.Add(3 * time.Second)
		must.Eq(t, most, sendAll(now))
		limits.Window = c.after
		b.SetLimits(now, limits, Fleet{Instances: 1})
		must.Eq(t, 0, sendAll(now))
		must.Eq(t, 0, sendAll(now.Add(c.after-time.Millisecond)))
		must.Eq(t, most, sendAll(now.Add(c.after*11/10)))
	}
}

// checkWindows checks each window that ends with an extra attempt, sent after from. By the users'
// rules, the ratio applies to the requests of the same window or of the window
// that lies half a window earlier, whichever has more requests.
func checkWindows(t *rapid.T, l Limits, attempts []sentAttempt, from time.Time) {
	for _, last := range attempts {
		if !last.extra || last.at.Before(from) {
			continue
		}
		extra, requests, earlierRequests := 0, 0, 0
		for _, s := range attempts {
			age := last.at.Sub(s.at)
			switch {
			case s.extra && age >= 0 && age < l.Window:
				extra++
			case !s.extra && age >= 0 && age < l.Window:
				requests++
			}
			if !s.extra && age >= l.Window/2 && age < l.Window*3/2 {
				earlierRequests++
			}
		}
		must.LessEq(t, l.Ratio*float64(max(requests, earlierRequests))+l.Allowance, float64(extra))
	}
}

// TestShardBudgetHoldsInAnyWindow guards against instances that together exceed the
// budget of a shard, of whose allowance those that run queries for others get most. All
// instances send as many extra attempts as they may, also those that delegate.
func TestShardBudgetHoldsInAnyWindow(t *testing.T) {
	limits := Limits{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(10, 40).Draw(t, "instances")
		runners := rapid.IntRange(1, n).Draw(t, "query runners")
		budgets := make([]*Budget, n)
		for i := range budgets {
			budgets[i] = New(limits, Fleet{Instances: n, QueryRunners: runners, QueryRunner: i < runners}, start)
		}
		var attempts []sentAttempt
		now := start
		for now.Sub(start) < 25*time.Second {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.CountRequest(now)
				attempts = append(attempts, sentAttempt{at: now})
			}
			for b.Take(now, rapid.Bool().Draw(t, "can wait")) {
				attempts = append(attempts, sentAttempt{at: now, extra: true})
			}
		}
		checkWindows(t, limits, attempts, start)
	})
}

// TestQueryRunnersGetMostOfShardAllowance guards against an allowance that the small
// instances of a large fleet hold but do not use, because they let 15 larger ones run
// their queries: each of these had 1.7 extra attempts in 10 s, and queries waited for
// paused upstreams without a hedge.
func TestQueryRunnersGetMostOfShardAllowance(t *testing.T) {
	limits := Limits{Ratio: 0.2, Allowance: 630, Window: 10 * time.Second}
	take := func(f Fleet) (n int) {
		b := New(limits, f, start)
		for b.Take(start, false) {
			n++
		}
		return n
	}
	runner := take(Fleet{Instances: 295, QueryRunners: 15, QueryRunner: true})
	delegator := take(Fleet{Instances: 295, QueryRunners: 15})
	must.GreaterEq(t, 12, runner)
	must.Eq(t, 1, delegator)
	must.LessEq(t, limits.Allowance*allowanceShare, float64(15*runner+280*delegator))
	must.Eq(t, 1, take(Fleet{Instances: 295}))
}

// TestUnusedBudgetStaysAvailable guards against a budget that is not available when
// it is needed: after a window of requests without failures, many failures at
// once may use the budget of the whole window.
func TestUnusedBudgetStaysAvailable(t *testing.T) {
	b := New(Limits{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}, Fleet{Instances: 10}, start)
	now := start
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		b.CountRequest(now)
	}
	taken := 0
	for b.Take(now, false) {
		taken++
	}
	must.Between(t, 35, taken, 41)
}

// TestUrgentAttemptsHaveReserve guards against attempts that can wait, such as early
// hedges, using up the budget that retries need.
func TestUrgentAttemptsHaveReserve(t *testing.T) {
	b := New(Limits{Ratio: 0.2, Allowance: 0, Window: 10 * time.Second}, Fleet{Instances: 10}, start)
	for range 100 {
		b.CountRequest(start)
	}
	for b.Take(start, true) {
	}
	must.False(t, b.Take(start, true))
	must.True(t, b.Take(start, false))
}

// TestLargeFleet guards against a share of the allowance below one attempt, with
// which an instance could never send an extra attempt.
func TestLargeFleet(t *testing.T) {
	b := New(Limits{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}, Fleet{Instances: 3000}, start)
	must.True(t, b.Take(start, false))
	must.False(t, b.Take(start, false))
	must.True(t, b.Take(start.Add(11*time.Second), false))
}
