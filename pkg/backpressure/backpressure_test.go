package backpressure

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sardineturn/sardineturn/internal/testseed"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestSharesTogether guards against instances that together send more than the limit and
// the burst in some window, for any number of instances, limit and pattern of requests.
func TestSharesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 60).Draw(t, "instances")
		senders := rapid.IntRange(1, instances).Draw(t, "senders")
		limit := rapid.Float64Range(0.1, 80).Draw(t, "limit")
		limits := make([]RateLimit, instances)
		for i := range limits {
			heardAt := epoch.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "heard")) * time.Millisecond)
			limits[i].Observe(heardAt, heardAt, limit, Share{Instances: instances, Senders: senders, Rank: i})
		}
		var sent []time.Time
		busy := rapid.IntRange(1, 40).Draw(t, "busy")
		for ms := 1000; ms < 16000; ms += 20 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			if ms%3000 < 1500 && busy > 20 {
				continue
			}
			for i := range limits {
				if limits[i].Allows(now, true) {
					limits[i].Take(now)
					sent = append(sent, now)
				}
			}
		}
		allowed := 1.5*limit*window.Seconds() + 5
		for from, to := 0, 0; to < len(sent); to++ {
			for sent[to].Sub(sent[from]) > window {
				from++
			}
			if n := to - from + 1; float64(n) > allowed {
				t.Fatalf("%d requests in a window, %.1f allowed", n, allowed)
			}
		}
	})
}

// TestLimitEndsWithANewerAnswer guards against a limit that ends because of an answer to
// an attempt that began before the limit was named, and against one that never ends.
func TestLimitEndsWithANewerAnswer(t *testing.T) {
	var r RateLimit
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	must.False(t, r.Observe(at(0), at(0), 0, Share{}))
	must.True(t, r.Observe(at(10), at(0), 20, Share{Instances: 1, Senders: 1}))
	must.False(t, r.Observe(at(20), at(5), 0, Share{}))
	must.Eq(t, 20, r.Limit())
	must.False(t, r.Observe(at(30), at(20), 20, Share{Instances: 1, Senders: 1}))
	must.True(t, r.Observe(at(50), at(40), 0, Share{}))
	must.Eq(t, 0, r.Limit())
	must.True(t, r.Allows(at(50), false))
}

// TestExtraAttemptsLeaveTokens guards against hedges that use up the requests that first
// attempts need.
func TestExtraAttemptsLeaveTokens(t *testing.T) {
	var r RateLimit
	r.Observe(epoch, epoch, 9, Share{Instances: 1, Senders: 1})
	now := epoch.Add(10 * time.Second)
	extra := 0
	for r.Allows(now, false) {
		r.Take(now)
		extra++
	}
	first := 0
	for r.Allows(now, true) {
		r.Take(now)
		first++
	}
	must.Eq(t, 5, extra)
	must.Eq(t, 5, first)
}

// TestRefusedCallersReturnInTurn guards against callers that are all told to return at the
// same moment, when one of them can be served, and against one that is told to stay away
// although it could be served at another instance.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	var r RateLimit
	r.Observe(epoch, epoch, 10, Share{Instances: 2, Senders: 2})
	for i := range 3 {
		must.Eq(t, time.Duration(i+1)*200*time.Millisecond, r.RetryAt(epoch).Sub(epoch))
	}
	for range 20 {
		must.LessEq(t, maxRetryDelay, r.RetryAt(epoch).Sub(epoch))
	}
	var none RateLimit
	none.Observe(epoch, epoch, 10, Share{Instances: 40, Senders: 20, Rank: 30})
	must.False(t, none.Allows(epoch, true))
	must.LessEq(t, 2*time.Second, none.RetryAt(epoch).Sub(epoch))
}

// TestColdSharesFitTheBound guards against shares of a cold upstream whose sum exceeds the
// platform's bound, less the margin for instances that are not known, when the requests of
// a tenth of a second more arrive in a second.
func TestColdSharesFitTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 1000).Draw(t, "per second")
		b := ColdBounds{Excess: rapid.Float64Range(0, 4).Draw(t, "excess"), Slack: rapid.Float64Range(0, 20).Draw(t, "slack")}
		senders := rapid.IntRange(1, 5000).Draw(t, "senders")
		sharers, rate, burst := divideCold(perSecond, b, senders)
		if sharers == 0 {
			return
		}
		must.LessEq(t, 0.8*(b.Excess*perSecond+b.Slack)+1e-6, 1.1*rate+float64(sharers)*burst)
		must.GreaterEq(t, 1, burst)
		must.LessEq(t, senders, sharers)
	})
}
