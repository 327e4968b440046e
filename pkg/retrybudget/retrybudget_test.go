package retrybudget

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

type sent struct {
	at    time.Time
	extra bool
}

// TestAnyWindow guards against more extra attempts of all instances together in
// any window than the ratio of the requests in it and the allowance, with uneven
// traffic, restarts and greedy use.
func TestAnyWindow(t *testing.T) {
	limits := Limits{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(10, 20).Draw(t, "instances")
		budgets := make([]*Budget, n)
		for i := range budgets {
			budgets[i] = New(limits, n, start)
		}
		var all []sent
		now := start
		for now.Sub(start) < 40*time.Second {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				budgets[i] = New(limits, n, now)
			}
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				budgets[i].CountRequest(now)
				all = append(all, sent{at: now})
			}
			for budgets[i].Take(now, rapid.Bool().Draw(t, "can wait")) {
				all = append(all, sent{at: now, extra: true})
			}
		}
		checkWindows(t, limits, all)
	})
}

// checkWindows looks at the windows that end with an extra attempt. Requests
// count in the window or in the one half a window before it, as the users' rules
// have it.
func checkWindows(t *rapid.T, l Limits, all []sent) {
	for _, last := range all {
		if !last.extra {
			continue
		}
		extra, requests, before := 0, 0, 0
		for _, s := range all {
			age := last.at.Sub(s.at)
			switch {
			case s.extra && age >= 0 && age < l.Window:
				extra++
			case !s.extra && age >= 0 && age < l.Window:
				requests++
			}
			if !s.extra && age >= l.Window/2 && age < l.Window*3/2 {
				before++
			}
		}
		must.LessEq(t, l.Ratio*float64(max(requests, before))+l.Allowance, float64(extra))
	}
}

// TestWaveOfFailures guards against a budget that cannot be used when it is
// needed: after quiet traffic, a wave of failures may use what was saved.
func TestWaveOfFailures(t *testing.T) {
	b := New(Limits{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}, 10, start)
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

// TestUrgentAttemptsHaveAPart guards against hedges that use up what retries
// need.
func TestUrgentAttemptsHaveAPart(t *testing.T) {
	b := New(Limits{Ratio: 0.2, Allowance: 0, Window: 10 * time.Second}, 10, start)
	for range 100 {
		b.CountRequest(start)
	}
	for b.Take(start, true) {
	}
	must.False(t, b.Take(start, true))
	must.True(t, b.Take(start, false))
}

// TestLargeFleet guards against a share below one attempt, with which nothing
// could ever be sent again.
func TestLargeFleet(t *testing.T) {
	b := New(Limits{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}, 3000, start)
	must.True(t, b.Take(start, false))
	must.False(t, b.Take(start, false))
	must.True(t, b.Take(start.Add(11*time.Second), false))
}
