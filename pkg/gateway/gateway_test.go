package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/retrybudget"
)

// propagationTime is long enough for a change to be in force everywhere.
const propagationTime = 3 * time.Second

// TestStartingProcessWaits guards against refusing callers for the moment that a
// process needs to get its configuration, and against holding them for long.
func TestStartingProcessWaits(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		w.addUpstream(directory.Upstream{ID: "u", Service: "s"})
		g := w.start(0, 1)
		a := g.Serve(t.Context(), request("/x/1"))
		must.Eq(t, result.OK, a.Code)
		must.Less(t, 500*time.Millisecond, time.Since(request("").Arrived))
	})
	simulate(t, func(t *testing.T, w *fakeCluster) {
		g := w.start(0, 1)
		start := time.Now()
		a := g.Serve(t.Context(), request("/x/1"))
		must.Eq(t, result.NotReady, a.Code)
		must.Eq(t, model.NotRun, a.Ran)
		must.Positive(t, a.RetryAfter)
		must.LessEq(t, startWait, time.Since(start))
	})
}

// TestUnknownRouteNeedsAFreshCopy guards against denying a route that was added
// while this instance was cut off. A hunted day refused requests for a route that
// was removed and added again.
func TestUnknownRouteNeedsAFreshCopy(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		g := w.start(0, 1)
		time.Sleep(propagationTime)
		must.Eq(t, result.UnknownRoute, g.Serve(t.Context(), request("/y/1")).Code)
		w.mu.Lock()
		w.storeRefuses["10.0.0.0:1"] = true
		w.mu.Unlock()
		time.Sleep(10 * time.Second)
		a := g.Serve(t.Context(), request("/y/1"))
		must.Eq(t, result.NotReady, a.Code)
		must.Eq(t, model.NotRun, a.Ran)
	})
}

// TestOlderConfiguration guards against a configuration that goes back.
func TestOlderConfiguration(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(7, route("/new/", "s", true))
		w.addUpstream(directory.Upstream{ID: "u", Service: "s"})
		g := w.start(0, 1)
		time.Sleep(propagationTime)
		w.configure(6, route("/old/", "s", true))
		time.Sleep(propagationTime)
		must.Eq(t, result.OK, g.Serve(t.Context(), request("/new/1")).Code)
		must.Eq(t, result.UnknownRoute, g.Serve(t.Context(), request("/old/1")).Code)
	})
}

// TestMergedAnswer guards against records that are lost, doubled or out of order,
// and against coverage that is stated wrongly.
func TestMergedAnswer(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, gatherRoute(3, "s0", "s1", "s2"))
		for i := range 3 {
			w.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: fmt.Sprint("s", i)})
		}
		bodies := map[string]string{
			"u0": "aaaaaaaaaaaaaaaabbbbbbbbbbbbbbbb",
			"u1": "zzzzzzzzzzzzzzzzbbbbbbbbbbbbbbbbshort",
		}
		w.answer = func(ctx context.Context, c Call) Reply {
			if body, has := bodies[c.Upstream.ID]; has {
				return ok(c, body)
			}
			<-ctx.Done()
			return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Abandoned}
		}
		g := w.start(0, 1)
		time.Sleep(propagationTime)
		r := request("/q/1")
		a := g.Serve(t.Context(), r)
		must.Eq(t, result.PartialAnswer, a.Code)
		must.Eq(t, "zzzzzzzzzzzzzzzzbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb", string(a.Merged.Body))
		must.Eq(t, 1, a.Merged.MissingParts)
		must.Eq(t, []string{"signed by u0", "signed by u1"}, a.Merged.Signatures)
		must.LessEq(t, 100*time.Millisecond, time.Since(r.Arrived))
	})
}

// TestUnsafeOutcomes guards against "not run" for a request that may have run,
// and against no refusal for one that did not.
func TestUnsafeOutcomes(t *testing.T) {
	for status, want := range map[fanout.Status]Answer{
		fanout.Unknown:  {Code: result.OutcomeUnknown, Ran: model.RunUnknown},
		fanout.Declined: {Code: result.UpstreamShed, Ran: model.NotRun},
		fanout.NotSent:  {Code: result.ConnectFailed, Ran: model.NotRun},
	} {
		simulate(t, func(t *testing.T, w *fakeCluster) {
			w.configure(1, route("/x/", "s", false))
			for i := range 6 {
				w.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: "s"})
			}
			sent := 0
			w.answer = func(context.Context, Call) Reply {
				sent++
				return Reply{Status: status, UpstreamOutcome: balancer.Shed}
			}
			g := w.start(0, 1)
			time.Sleep(propagationTime)
			a := g.Serve(t.Context(), request("/x/1"))
			must.Eq(t, want.Ran, a.Ran, must.Sprint(status))
			if status == fanout.Unknown {
				must.Eq(t, want.Code, a.Code)
				must.Eq(t, 1, sent)
			}
			must.Eq(t, want.Ran == model.NotRun, a.RetryAfter > 0)
		})
	}
}

// TestCallerLeaves guards against work for a caller that has gone, and against
// breaking off a request that must not run twice.
func TestCallerLeaves(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		simulate(t, func(t *testing.T, w *fakeCluster) {
			w.configure(1, route("/x/", "s", idempotent))
			w.addUpstream(directory.Upstream{ID: "u", Service: "s"})
			ended := make(chan bool, 1)
			w.answer = func(ctx context.Context, c Call) Reply {
				select {
				case <-ctx.Done():
					ended <- true
				case <-time.After(300 * time.Millisecond):
					ended <- false
				}
				return ok(c, "")
			}
			g := w.start(0, 1)
			time.Sleep(propagationTime)
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(50*time.Millisecond, leave)
			g.Serve(ctx, request("/x/1"))
			must.Eq(t, idempotent, <-ended)
		})
	}
}

// TestCrashingRequest guards against a request that crashes one upstream after
// the other, through whichever instance its caller sends it.
func TestCrashingRequest(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		for i := range 9 {
			w.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: "s"})
		}
		ran := 0
		w.answer = func(_ context.Context, c Call) Reply {
			if c.Request.Target != "/x/poison" {
				return ok(c, "")
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			ran++
			w.crashed[c.Upstream.Address] = true
			return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Lost, ConnectionBroken: true}
		}
		gateways := []*Gateway{w.start(0, 3), w.start(1, 3), w.start(2, 3)}
		time.Sleep(propagationTime)
		for i := range 9 {
			gateways[i%3].Serve(t.Context(), request("/x/poison"))
			time.Sleep(time.Second)
		}
		must.LessEq(t, 4, ran)
		for _, g := range gateways {
			must.Eq(t, result.Quarantined, g.Serve(t.Context(), request("/x/poison")).Code)
			must.Eq(t, result.OK, g.Serve(t.Context(), request("/x/1")).Code)
		}
	})
}

// TestUpstreamsCrashTogether guards against blaming a query for the crash of many
// upstreams at the same moment. In an incident on shevitsa-search-grown 26 queries
// were refused everywhere after it.
func TestUpstreamsCrashTogether(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		shards := []string{"s0", "s1", "s2", "s3"}
		w.configure(1, gatherRoute(3, shards...))
		for _, s := range shards {
			w.addUpstream(directory.Upstream{ID: "u" + s, Service: s})
		}
		down := true
		w.answer = func(_ context.Context, c Call) Reply {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.crashed[c.Upstream.Address] = down
			if down {
				return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Lost, ConnectionBroken: true}
			}
			return ok(c, "0123456789abcdef")
		}
		g := w.start(0, 1)
		time.Sleep(propagationTime)
		must.Eq(t, result.CoverageTooLow, g.Serve(t.Context(), request("/q/1")).Code)
		time.Sleep(propagationTime)
		w.withLock(func() { down = false })
		must.Eq(t, result.OK, g.Serve(t.Context(), request("/q/1")).Code)
	})
}

// TestBudgetIsShared guards against instances of a large fleet that each use the
// allowance of a small one: what fails everywhere would be sent again too often.
func TestBudgetIsShared(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		const instances = 30
		w.configure(1, route("/x/", "s", true))
		for i := range 3 {
			w.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: "s"})
		}
		sent := 0
		w.answer = func(context.Context, Call) Reply {
			w.mu.Lock()
			defer w.mu.Unlock()
			sent++
			return Reply{Status: fanout.Failed, UpstreamOutcome: balancer.Failed, HTTPStatus: 500}
		}
		var gateways []*Gateway
		for i := range instances {
			// The first ones know few others when they start.
			gateways = append(gateways, w.start(i, instances))
			time.Sleep(100 * time.Millisecond)
		}
		requests, base := 0, time.Now()
		for time.Since(base) < 9*time.Second {
			for _, g := range gateways {
				g.Serve(t.Context(), request("/x/1"))
				requests++
			}
			time.Sleep(time.Second)
		}
		extra := sent - requests
		must.LessEq(t, 50+requests/5, extra)
		must.Positive(t, extra)
	})
}

// TestBrokenConnectionIsNoCrash guards against refusing a request because the
// answers to it were lost.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		w.addUpstream(directory.Upstream{ID: "u", Service: "s"})
		w.answer = func(context.Context, Call) Reply {
			return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Lost, ConnectionBroken: true}
		}
		g := w.start(0, 1)
		time.Sleep(propagationTime)
		for range 10 {
			must.Eq(t, result.OutcomeUnknown, g.Serve(t.Context(), request("/x/1")).Code)
			time.Sleep(time.Second)
		}
	})
}

// TestTiming guards against answers that are late by what the caller has spent
// before, and against partial answers for one that is late anyway.
func TestTiming(t *testing.T) {
	var c callerTiming
	for range minLongestWaitRequests {
		callerElapsed, transitTime := c.observe("r", 400*time.Millisecond)
		must.Eq(t, 0, callerElapsed)
		must.Eq(t, defaultRoundTrip+answerWriteMargin, transitTime)
		// These callers open a connection for each request.
		c.observe("new connections", 993*time.Millisecond)
		c.observe("new connections", 992*time.Millisecond)
		c.observe("new connections", 991*time.Millisecond)
	}
	callerElapsed, transitTime := c.observe("r", 393*time.Millisecond)
	must.Eq(t, 7*time.Millisecond, callerElapsed)
	must.Eq(t, 7*time.Millisecond+answerWriteMargin, transitTime)
	callerElapsed, transitTime = c.observe("r", 200*time.Millisecond)
	must.Eq(t, 200*time.Millisecond, callerElapsed)
	must.Eq(t, 7*time.Millisecond+answerWriteMargin, transitTime)

	r := request("/q/1")
	target := gatherRoute(1, "s")
	by, deadline := requestTimes(r, &target, 7*time.Millisecond, 8*time.Millisecond)
	must.Eq(t, 85*time.Millisecond, by.Sub(r.Arrived))
	must.Eq(t, 800*time.Millisecond-deadlineMargin, deadline.Sub(r.Arrived))
	by, _ = requestTimes(r, &target, 200*time.Millisecond, 8*time.Millisecond)
	must.Eq(t, 100*time.Millisecond, by.Sub(r.Arrived))
}

// TestSilentUpstreamGetsOneAttempt guards against requests that nobody waits for
// on the only upstream of a shard, which kept it overloaded.
func TestSilentUpstreamGetsOneAttempt(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, gatherRoute(3, "s0", "s1", "s2"))
		for _, s := range []string{"s0", "s1", "s2"} {
			w.addUpstream(directory.Upstream{ID: "u" + s, Service: s})
		}
		var mu sync.Mutex
		sent := 0
		w.answer = func(ctx context.Context, c Call) Reply {
			if c.Upstream.ID != "us2" {
				return ok(c, "0123456789abcdef")
			}
			mu.Lock()
			sent++
			mu.Unlock()
			time.Sleep(time.Until(c.Deadline))
			return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Silent}
		}
		g := w.start(0, 1)
		time.Sleep(propagationTime)
		for range 3 {
			must.Eq(t, result.PartialAnswer, g.Serve(t.Context(), request("/q/1")).Code)
			time.Sleep(200 * time.Millisecond)
		}
		count := func() int {
			mu.Lock()
			defer mu.Unlock()
			return sent
		}
		before := count()
		for range 20 {
			must.Eq(t, result.PartialAnswer, g.Serve(t.Context(), request("/q/1")).Code)
		}
		must.LessEq(t, before+1, count())
	})
}

// TestReconfigure guards against a changed retry budget that is not in force until
// the process is restarted, and against seeds that are not contacted.
func TestReconfigure(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		w.addUpstream(directory.Upstream{ID: "u1", Service: "s"})
		w.addUpstream(directory.Upstream{ID: "u2", Service: "s"})
		w.answer = func(_ context.Context, _ Call) Reply {
			return Reply{Status: fanout.Failed, UpstreamOutcome: balancer.Failed}
		}
		g, other := w.start(0, 1), w.start(1, 2)
		time.Sleep(propagationTime)
		sent := func() int {
			n := 0
			w.mu.Lock()
			w.answer = func(_ context.Context, _ Call) Reply {
				n++
				return Reply{Status: fanout.Failed, UpstreamOutcome: balancer.Failed}
			}
			w.mu.Unlock()
			for range 20 {
				g.Serve(t.Context(), request("/x/1"))
			}
			return n
		}
		must.Greater(t, 20, sent())
		g.Reconfigure([]Seed{{ID: other.cfg.ID, ControlAddress: string(other.cfg.ID)}}, retrybudget.Limits{})
		time.Sleep(20 * time.Second)
		// One attempt in a window is always allowed.
		must.LessEq(t, 21, sent())
		must.SliceContains(t, g.seeds(), Seed{ID: other.cfg.ID, ControlAddress: string(other.cfg.ID)})
	})
}
