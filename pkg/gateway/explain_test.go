package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/admission"
	"github.com/sardineturn/sardineturn/pkg/backpressure"
	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

func explainQuery(path string) port.ExplainQuery {
	return port.ExplainQuery{Method: "GET", Host: "a.example", Path: path, Size: -1, All: true}
}

// difference returns how the first attempts or the answer of the next request differ from an
// explanation with one plan, or an empty string.
func difference(e RequestExplanation, sent map[string]string, a Answer) string {
	end, explained := e.End, make(map[string]string)
	for _, plan := range e.Plans {
		if plan.End != nil {
			end = plan.End
		}
		for _, p := range plan.Parts {
			if p.Upstream != "" && plan.Decision != planEnd {
				explained[p.Service] = p.Upstream
			}
		}
	}
	sameEnd := end == nil && len(sent) > 0 || end != nil && end.Code == a.Code && end.NotRun == (a.Ran == model.NotRun)
	if maps.Equal(explained, sent) && sameEnd {
		return ""
	}
	return fmt.Sprintf("explained %v and end %v, sent to %v and answered %v", explained, end, sent, a)
}

// randomise gives the upstreams of a service random observations.
func randomise(random *rand.Rand, s *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range random.IntN(4) { // Moves the start of the search.
		s.balancer.Pick(time.Now(), time.Millisecond, nil, true)
	}
	if random.IntN(3) == 0 {
		return // All upstreams of a data centre have the same cost.
	}
	outcomes := []balancer.Outcome{balancer.Succeeded, balancer.Succeeded, balancer.Failed, balancer.Shed, balancer.ConnectionLost, balancer.TimedOut, balancer.Unreachable}
	for _, u := range s.balancer.Upstreams() {
		now := time.Now()
		if random.IntN(4) == 0 {
			u.RateLimit.Observe(now, now, 0.5+2*random.Float64(), backpressure.Share{Instances: 3, Senders: 1 + random.IntN(3), Rank: random.IntN(3)})
		}
		for range random.IntN(6) {
			start := now.Add(-time.Duration(random.IntN(300)) * time.Millisecond)
			u.AttemptStarted(start)
			if random.IntN(4) > 0 {
				u.AttemptFinished(now, start, 10*time.Millisecond, outcomes[random.IntN(len(outcomes))])
			}
		}
	}
}

// startRandom starts an instance with a route to one service and a query over four shards,
// all with upstreams in a random state.
func startRandom(ff *fakeFleet, random *rand.Rand) *Gateway {
	ff.coldPerSecond = 1
	query := gatherRoute(4, "s0", "s1", "s2", "s3")
	query.Priority = 1
	ff.configure(1, route("/x/", "s0", true), query)
	for i := range 4 * (1 + random.IntN(4)) {
		u := directory.Upstream{ID: fmt.Sprint("u", i), Service: fmt.Sprint("s", i%4), Address: fmt.Sprint("u", i, ":1"), Slots: 2, DataCentre: model.DataCentre([]string{"z", "y"}[random.IntN(2)])}
		if random.IntN(6) == 0 {
			u.State = directory.Draining
		} else if random.IntN(5) == 0 {
			u.ColdFor = time.Minute
		}
		ff.addUpstream(u)
	}
	if random.IntN(4) == 0 {
		ff.publish(feed.Change{Key: "evacuate/y"})
	}
	g := ff.startWith(0, 1, Config{Settings: Settings{LoadShedding: LoadShedding(random.IntN(2)), BodyMemory: 1 << 20}})
	time.Sleep(8100 * time.Millisecond) // Between two rounds of maintenance.
	rt := g.view.Load().table.Match("a.example", "/q/1")
	for range random.IntN(20) {
		g.latencyOf(rt).add(time.Duration(1+random.IntN(60)) * time.Millisecond)
	}
	if c, limited := g.admission.controller, (admission.Route{Name: rt.Name, Group: "s0", LatencyTarget: rt.LatencyTarget, Timeout: time.Second}); random.IntN(3) == 0 {
		c.Begin(time.Now(), limited, false)
		for range 6 {
			c.End(time.Now(), limited, time.Second, admission.Unanswered)
		}
		for range random.IntN(4) {
			c.Begin(time.Now(), limited, false)
		}
	}
	for i := range 4 {
		if s := g.view.Load().services[fmt.Sprint("s", i)]; s != nil {
			randomise(random, s)
		}
	}
	return g
}

// serveOnce serves a request and returns the upstreams of the first attempts by service.
func serveOnce(t *testing.T, ff *fakeFleet, g *Gateway, path string) (map[string]string, Answer) {
	sent := make(map[string]string)
	ff.withLock(func() {
		ff.answer = func(_ context.Context, c Call) Reply {
			ff.withLock(func() { sent[c.Upstream.Service] = c.Upstream.ID })
			time.Sleep(time.Millisecond) // All first attempts are sent before the first answer.
			return successReply(c, "0123456789abcdef")
		}
	})
	r := request(path)
	r.CallerTimeout = 0
	a := g.Serve(t.Context(), r)
	a.Release()
	time.Sleep(10 * time.Millisecond) // Attempts whose answers the query did not await end.
	var firsts map[string]string
	ff.withLock(func() { firsts = maps.Clone(sent) })
	return firsts, a
}

// TestExplanationNamesNextUpstream guards against an explanation that names another upstream
// or another refusal than the next request gets, and against a check that would not notice
// such a difference.
func TestExplanationNamesNextUpstream(t *testing.T) {
	ended := 0
	for seed := range uint64(400) {
		simulate(t, func(t *testing.T, ff *fakeFleet) {
			random := rand.New(rand.NewPCG(seed, 1))
			g := startRandom(ff, random)
			for _, path := range []string{"/x/1", "/q/1", "/none/"} {
				e := g.explainRequest(explainQuery(path))
				sent, a := serveOnce(t, ff, g, path)
				must.Eq(t, "", difference(e, sent, a), must.Sprint(seed, path))
				if len(sent) == 0 {
					ended++
				}
				// Explanations by another rule.
				if len(e.Plans) == 1 && len(sent) > 0 {
					p := &e.Plans[0].Parts[0]
					for _, c := range p.Upstreams {
						if chosen := p.Upstream; c.ID != chosen {
							p.Upstream = c.ID
							must.NotEq(t, "", difference(e, sent, a))
							p.Upstream = chosen
						}
					}
				}
			}
		})
	}
	must.Greater(t, 400, ended, must.Sprint("requests for which nothing is sent"))
}

// values returns the values of all fields that can be reached from v, also through pointers.
func values(v reflect.Value) (out string) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			out = values(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			out += values(v.Field(i)) + " "
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			out += values(v.Index(i)) + " "
		}
	case reflect.Map:
		var entries []string
		for it := v.MapRange(); it.Next(); {
			entries = append(entries, fmt.Sprint(it.Key())+values(it.Value()))
		}
		slices.Sort(entries)
		out = fmt.Sprint(entries)
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
	default:
		out = fmt.Sprint(v)
	}
	return out
}

// state returns the whole state that the choice of an upstream depends on.
func state(g *Gateway) string {
	out := ""
	for _, v := range []any{g.view.Load(), &g.admission, &g.delegates, &g.timing, &g.bodyMemory, &g.quarantine, g.activeRequests.Load(), g.activeQueries.Load()} {
		out += values(reflect.ValueOf(v))
	}
	g.latencies.Range(func(k, v any) bool { out += fmt.Sprint(k, unsafe.Pointer(v.(*routeLatency))); return true })
	return out
}

// TestExplainingChangesNothing guards against an explanation that takes tokens, moves the
// start of the search, counts a request, or is logged.
func TestExplainingChangesNothing(t *testing.T) {
	for seed := range uint64(8) {
		simulate(t, func(t *testing.T, ff *fakeFleet) {
			g := startRandom(ff, rand.New(rand.NewPCG(seed, 2)))
			g.Stop() // No background work may change the state meanwhile.
			before, attempts := state(g), ff.attempts
			for i := range 1000 {
				time.Sleep(time.Millisecond)
				for _, path := range []string{"/x/1", "/q/1", "/none/"} {
					q := explainQuery(path)
					q.Repeated, q.Size = i%2 == 0, int64(i*500)
					g.explainRequest(q)
				}
			}
			must.True(t, before == state(g), must.Sprint(seed))
			must.Eq(t, attempts, ff.attempts)
			serveOnce(t, ff, g, "/x/1")
			must.False(t, before == state(g), must.Sprint("the check does not see what a request changes"))
		})
	}
}

// TestExplanationShowsReasons guards against a reason for which an upstream would not be
// chosen that is missing from the explanation, and against a query that lists parts about
// which nothing is unusual.
func TestExplanationShowsReasons(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.coldPerSecond = 1
		split := route("/split/", "s0", true)
		split.Targets = append(split.Targets, routing.Target{Service: "s1", Weight: 3}, routing.Target{Service: "s2"})
		ff.configure(1, split, gatherRoute(4, "s0", "s1", "s2"))
		for i, name := range []string{"best", "dear", "blocked", "unresponsive", "limited", "slow", "cold", "draining", "evacuated"} {
			u := directory.Upstream{ID: name, Service: "s0", Address: name + ":1", DataCentre: "z", Slots: 1}
			switch name {
			case "cold":
				u.ColdFor = time.Minute
			case "draining":
				u.State = directory.Draining
			case "evacuated":
				u.DataCentre = "y"
			}
			ff.addUpstream(u)
			if i == 0 {
				ff.addUpstream(directory.Upstream{ID: fmt.Sprint("other", i), Service: fmt.Sprint("s", i+1), DataCentre: "z"})
			}
		}
		ff.publish(feed.Change{Key: "evacuate/y"})
		g := ff.startWith(0, 1, Config{Settings: Settings{LoadShedding: ShedAlways}})
		e := g.explainRequest(explainQuery("/x/"))
		must.Eq(t, result.NotReady, e.End.Code, must.Sprint("no configuration is known"))
		time.Sleep(2100 * time.Millisecond) // The instance that starts has no share of cold upstreams.
		b := g.view.Load().services["s0"].balancer
		now, end := time.Now(), balancer.Succeeded
		attempt := func(id string, took time.Duration, n int, o balancer.Outcome) {
			for range n {
				u := b.Find(id)
				u.AttemptStarted(now.Add(-took))
				u.AttemptFinished(now, now.Add(-took), 10*time.Millisecond, o)
			}
		}
		for range 100 {
			g.latencyOf(g.view.Load().table.Match("a.example", "/q/1")).add(40 * time.Millisecond)
		}
		attempt("best", 10*time.Millisecond, 1, end)
		attempt("blocked", 10*time.Millisecond, 1, balancer.Shed)
		attempt("unresponsive", 10*time.Millisecond, 2, balancer.TimedOut)
		b.Find("unresponsive").AttemptStarted(now)
		attempt("slow", time.Second, 3, end)
		b.Find("limited").RateLimit.Observe(now, now, 1, backpressure.Share{Instances: 1, Senders: 1})
		b.Find("limited").RateLimit.Take(now)
		e = g.explainRequest(port.ExplainQuery{Method: "GET", Host: "A.example:80", Path: "/q/1", Size: -1})
		must.Eq(t, 1, e.Plans[0].NormalParts)
		must.Len(t, 2, e.Plans[0].Parts)
		must.Eq(t, "no_upstream", e.Plans[0].Parts[1].Missing, must.Sprint(e.Plans[0].Parts[1].Service))
		got := make(map[string][]string)
		for _, c := range e.Plans[0].Parts[0].Upstreams {
			got[c.ID] = c.Reasons
			must.Eq(t, c.ID == "best", c.Chosen)
			switch c.ID {
			case "dear":
				must.Between(t, 35, *c.CostMS, 45, must.Sprint("the typical latency of the route"))
			case "limited":
				must.Eq(t, 2000, c.AllowedInMS)
			case "cold":
				must.Positive(t, c.ColdMS)
				must.Positive(t, c.AllowedInMS)
			case "blocked":
				must.Eq(t, 60, c.BlockedMS)
			}
		}
		must.Eq(t, map[string][]string{
			"best": nil, "dear": {"higher_cost"}, "blocked": {"blocked"}, "unresponsive": {"blocked", "probe_in_flight"}, "limited": {"rate_limit"},
			"slow": {"forecast_too_slow"}, "cold": {"cold_limit"}, "draining": {"draining"}, "evacuated": {"evacuated"},
		}, got)
		e = g.explainRequest(explainQuery("/split/"))
		must.Len(t, 2, e.Plans)
		must.Eq(t, []TargetExplanation{{"s0", 1, 0.25}, {"s1", 3, 0.75}, {"s2", 0, 0}}, e.Route.Targets)
		must.Eq(t, []string{"best", "other0"}, []string{e.Plans[0].Parts[0].Upstream, e.Plans[1].Parts[0].Upstream})
		must.Eq(t, result.UnknownRoute, g.explainRequest(explainQuery("/none/")).End.Code)
		_, err := json.Marshal(e)
		must.NoError(t, err)
	})
}

// TestExplanationOfRefusals guards against an explanation that does not name a refusal or a
// delegation that depends on more than the upstreams.
func TestExplanationOfRefusals(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		small, large, _ := startSmallAndLarge(ff)
		plan := func(g *Gateway) PlanExplanation { return g.explainRequest(explainQuery("/q/1")).Plans[0] }
		for range 5 {
			must.Eq(t, []string{planDelegate, "10.0.0.1:1"}, []string{plan(small).Decision, string(plan(small).Instance)})
			must.Eq(t, planRun, plan(large).Decision)
			delegated := ff.delegatedQueries()
			small.Serve(t.Context(), request("/q/1"))
			must.Eq(t, delegated+1, ff.delegatedQueries())
		}
		small.bodyMemory.setLimit(10_000)
		q := explainQuery("/q/1")
		must.SliceEmpty(t, small.explainRequest(q).Unknown)
		q.Method = "POST"
		must.Len(t, 2, small.explainRequest(q).Unknown)
		q.Size = 20_000
		_, ok := small.ReserveBody(request("/q/1"), q.Size)
		must.Eq(t, ok, small.explainRequest(q).End == nil)
		q.Size = 2 << 20
		must.Eq(t, result.BodyMemoryFull, small.explainRequest(q).End.Code)
		must.Eq(t, result.BodyTooLarge, large.explainRequest(q).End.Code)
		f := request("/q/1").fingerprint()
		large.quarantine.set.Confirm(time.Now(), f, "s0")
		must.Eq(t, result.Quarantined, large.explainRequest(explainQuery("/q/1")).End.Code)
		must.Eq(t, result.Quarantined, large.Serve(t.Context(), request("/q/1")).Code)
		small.Leave(time.Now())
		must.Eq(t, result.Leaving, plan(small).End.Code)
		must.Eq(t, result.Leaving, small.Serve(t.Context(), request("/q/1")).Code)
	})
}
