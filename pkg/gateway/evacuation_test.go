package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// evacuateTime is the bound evacuate_ms of the deployments.
const evacuateTime = 5 * time.Second

// evacuation publishes or removes the key that evacuates a data centre.
func (ff *fakeFleet) evacuation(dc string, inForce bool) {
	ff.publish(feed.Change{Key: "evacuate/" + dc, Deleted: !inForce})
}

// countSent makes the upstreams answer with f and returns a function that returns, and
// clears, the number of requests that reached each data centre.
func (ff *fakeFleet) countSent(f func(ctx context.Context, c Call) Reply) (sent func() map[model.DataCentre]int) {
	counts := make(map[model.DataCentre]int)
	ff.answer = func(ctx context.Context, c Call) Reply {
		ff.withLock(func() { counts[c.Upstream.DataCentre]++ })
		return f(ctx, c)
	}
	return func() (out map[model.DataCentre]int) {
		ff.withLock(func() { out, counts = counts, make(map[model.DataCentre]int) })
		return out
	}
}

func succeed(_ context.Context, c Call) Reply { return successReply(c, "0123456789abcdef") }

// TestNothingIsSentToEvacuatedDataCentre guards against first attempts, hedges, retries,
// delegated queries and requests of an instance that starts, or that cannot read the
// store, that go to an evacuated data centre, and against one that gets nothing after the
// evacuation has ended.
func TestNothingIsSentToEvacuatedDataCentre(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		var shards []string
		for i := range 60 {
			shards = append(shards, fmt.Sprint("s", i%20))
			ff.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: shards[i], DataCentre: model.DataCentre(fmt.Sprint("dc", i/20))})
		}
		ff.configure(1, route("/x/", "s0", true), gatherRoute(3, shards[:20]...))
		n, hedges, retries := 0, 0, 0
		// begun and running count the attempts of each part.
		begun, running := make(map[string]int), make(map[string]int)
		sent := ff.countSent(func(_ context.Context, c Call) Reply {
			part := fmt.Sprintf("%p %s", c.Request, c.Upstream.Service)
			var i int
			ff.withLock(func() {
				n++
				i = n
				if running[part] > 0 {
					hedges++
				} else if begun[part] > 0 {
					retries++
				}
				begun[part]++
				running[part]++
			})
			defer ff.withLock(func() { running[part]-- })
			switch {
			case i%7 == 0:
				return Reply{Status: fanout.Failed, UpstreamOutcome: balancer.Failed}
			case i%5 == 0: // Slow enough for a hedge.
				time.Sleep(80 * time.Millisecond)
			}
			time.Sleep(5 * time.Millisecond)
			return successReply(c, "0123456789abcdef")
		})
		large, small := ff.startWith(0, 2, Config{Settings: Settings{Capacity: 0.8}}), ff.startWith(1, 2, Config{Settings: Settings{Capacity: 0.192}})
		gateways := []*Gateway{large, small}
		load := func() map[model.DataCentre]int {
			sent()
			for range 100 {
				for _, g := range gateways {
					g.Serve(t.Context(), request("/x/1"))
					g.Serve(t.Context(), request("/q/1"))
				}
				time.Sleep(20 * time.Millisecond)
			}
			return sent()
		}
		time.Sleep(propagationTime)
		must.MapContainsKeys(t, load(), []model.DataCentre{"dc0", "dc1", "dc2"})
		ff.evacuation("dc0", true)
		ff.evacuation("dc1", true)
		time.Sleep(evacuateTime)
		gateways = append(gateways, ff.startWith(2, 2, Config{Settings: Settings{Capacity: 0.4}}))
		must.MapNotContainsKeys(t, load(), []model.DataCentre{"dc0", "dc1"})
		ff.evacuation("dc1", false)
		time.Sleep(propagationTime)
		ff.withLock(func() { hedges, retries, ff.delegated = 0, 0, 0 })
		after := load()
		must.MapNotContainsKeys(t, after, []model.DataCentre{"dc0"})
		must.Positive(t, after["dc1"])
		must.Positive(t, ff.delegatedQueries())
		must.Positive(t, hedges)
		must.Positive(t, retries)
		ff.withLock(func() {
			for i := range 3 {
				ff.storeRefuses[instanceAddress(i)] = true
			}
		})
		time.Sleep(time.Minute)
		must.MapNotContainsKeys(t, load(), []model.DataCentre{"dc0"})
		ff.withLock(func() { clear(ff.storeRefuses) })
		ff.evacuation("dc0", false)
		time.Sleep(2 * propagationTime)
		must.Positive(t, load()["dc0"])
	})
}

// TestEvacuationRefusals guards against a query that runs in part, or waits, although the
// evacuation leaves it too few shards, against a refusal without the reason or the time to
// return, against a query that loses more than the shards that are only there, and against
// keys with an invalid value or an unknown name that are ignored or affect others.
func TestEvacuationRefusals(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		// The configuration does not list the services of the shards.
		ff.configure(1, route("/x/", "x", false), gatherRoute(3, "s0", "s1", "s2"))
		ff.addUpstream(directory.Upstream{ID: "ux", Service: "x", DataCentre: "a"})
		for i, dc := range []model.DataCentre{"a", "b", "b", "c"} {
			ff.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: fmt.Sprint("s", min(i, 2)), DataCentre: dc})
		}
		sent := ff.countSent(succeed)
		g := ff.start(0, 1)
		refused := func(target string) {
			t.Helper()
			r := request(target)
			a := g.Serve(t.Context(), r)
			must.Eq(t, result.Evacuated, a.Code)
			must.Eq(t, model.NotRun, a.Ran)
			must.GreaterEq(t, evacuationRetryDelay, a.RetryAfter)
			must.Eq(t, 0, time.Since(r.Arrived))
			must.MapEmpty(t, sent())
		}
		ff.publish(feed.Change{Key: "evacuate/"})
		ff.evacuation("unknown", true)
		time.Sleep(evacuateTime)
		must.Eq(t, result.OK, g.Serve(t.Context(), request("/x/1")).Code)
		must.Eq(t, []model.DataCentre{"unknown"}, g.Status().(Status).Evacuated)
		ff.publish(feed.Change{Key: "evacuate/a", Value: []byte("bad")})
		time.Sleep(evacuateTime)
		sent()
		refused("/x/1")
		must.Eq(t, 1, g.Serve(t.Context(), request("/q/1")).Merged.MissingParts)
		e, err := g.Explain("s0", "", "")
		must.NoError(t, err)
		must.True(t, e.(Explanation).Upstreams[0].Evacuated)
		sent()
		ff.evacuation("b", true)
		time.Sleep(evacuateTime)
		refused("/q/1")
		ff.evacuation("c", true)
		time.Sleep(evacuateTime)
		refused("/q/1")
		refused("/x/1")
		for _, dc := range []string{"a", "b", "c"} {
			ff.evacuation(dc, false)
		}
		time.Sleep(propagationTime)
		must.Eq(t, 0, g.Serve(t.Context(), request("/q/1")).Merged.MissingParts)
	})
}

// TestWaitingAttemptIsWithdrawn guards against a request that goes to an evacuated data
// centre because its attempt was waiting for a connection when the evacuation began, and
// against a request in progress that is cancelled.
func TestWaitingAttemptIsWithdrawn(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", false), route("/only/", "only", false))
		for i, dc := range []model.DataCentre{"a", "b"} {
			ff.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", DataCentre: dc})
		}
		ff.addUpstream(directory.Upstream{ID: "u", Service: "only", DataCentre: "a"})
		sent := ff.countSent(func(_ context.Context, c Call) Reply {
			if c.Upstream.DataCentre == "a" && c.Request.ID == "running" {
				time.Sleep(300 * time.Millisecond)
			}
			return successReply(c, "")
		})
		ff.connect = func(c Call) {
			if c.Upstream.DataCentre == "a" && c.Request.ID == "1" {
				time.Sleep(300 * time.Millisecond)
			}
		}
		g := ff.start(0, 1)
		time.Sleep(propagationTime)
		time.AfterFunc(10*time.Millisecond, func() { ff.evacuation("a", true) })
		answers := make(chan Answer, 8)
		for range 8 {
			go func() { answers <- g.Serve(t.Context(), request("/x/1")) }()
		}
		running := make(chan Answer, 1)
		go func() {
			r := request("/only/1")
			r.ID = "running"
			running <- g.Serve(t.Context(), r)
		}()
		a := g.Serve(t.Context(), request("/only/1"))
		must.Eq(t, result.Evacuated, a.Code)
		must.Eq(t, model.NotRun, a.Ran)
		must.Eq(t, result.OK, (<-running).Code)
		for range 8 {
			must.Eq(t, result.OK, (<-answers).Code)
		}
		must.Eq(t, map[model.DataCentre]int{"a": 1, "b": 8}, sent())
	})
}

// TestNoHealthCheckOfEvacuatedUpstream guards against probes and health checks of an
// upstream whose data centre is evacuated, after a lost connection and after the removal
// of its entry.
func TestNoHealthCheckOfEvacuatedUpstream(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		simulate(t, func(t *testing.T, ff *fakeFleet) {
			ff.configure(1, route("/x/", "s", true))
			ff.addUpstream(directory.Upstream{ID: "u", Service: "s", DataCentre: "a"})
			ff.countSent(func(context.Context, Call) Reply {
				time.Sleep(600 * time.Millisecond)
				return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.ConnectionLost, ConnectionBroken: true}
			})
			g := ff.start(0, 1)
			time.Sleep(propagationTime)
			time.AfterFunc(10*time.Millisecond, func() {
				if evacuated {
					ff.evacuation("a", true)
				}
			})
			time.AfterFunc(500*time.Millisecond, func() { ff.withLock(func() { ff.crashed["u:1"], ff.crashedSilently = true, true }) })
			must.Eq(t, result.OutcomeUnknown, g.Serve(t.Context(), request("/x/1")).Code)
			time.Sleep(2 * time.Second)
			ff.unlist("u")
			time.Sleep(propagationTime)
			ff.withLock(func() {
				if evacuated {
					must.MapEmpty(t, ff.healthChecks)
				} else {
					must.Eq(t, 2, ff.healthChecks["u:1"])
				}
			})
		})
	}
}
