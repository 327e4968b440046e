package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

const (
	// deadlineMargin is kept for the last answer before the deadline.
	deadlineMargin = 15 * time.Millisecond
	// defaultCallerTimeout is assumed for callers that do not say how long they wait.
	defaultCallerTimeout = 10 * time.Second
	// hedgeLeadFactor is the multiple of the usual latency that a hedge needs to be
	// answered in time.
	hedgeLeadFactor = 2.5
	// unneededAttemptTimeout is how long attempts go on whose request is answered already:
	// ending them would close their connections.
	unneededAttemptTimeout = 400 * time.Millisecond
	// refusalDelay is suggested to refused callers; as much again is added as
	// jitter.
	refusalDelay = 20 * time.Millisecond
)

// Serve answers a request. ctx ends when the caller goes away.
func (g *Gateway) Serve(ctx context.Context, r *Request) Answer {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	v := g.awaitView(ctx, r)
	now := g.ports.Clock.Now()
	if v == nil {
		a := newRefusal(result.NotReady)
		g.logRefusal(now, r, nil, a)
		return a
	}
	route := v.table.Match(r.Host, pathOf(r.Target))
	if route == nil {
		return g.answerUnknownRoute(now, r)
	}
	fingerprint := r.fingerprint()
	if g.quarantined(now, fingerprint) {
		a := newRefusal(result.Quarantined)
		g.logRefusal(now, r, route, a)
		return a
	}
	services := []string{""}
	if route.Gather != nil {
		services = route.Gather.Services
	} else if service, ok := route.Choose(rand.Float64()); ok {
		services = []string{service}
	}
	spent, way := g.timing.observe(route.Name, r.CallerTimeout)
	run := g.newRequestRun(v, r, route, services, fingerprint, spent, way)
	run.callerGone = ctx.Done()
	if route.Gather != nil {
		if to, ok := g.pickDelegate(now, len(services)); ok {
			return run.runDelegated(to)
		}
	}
	return run.runHere()
}

// startWait is how long a request waits for the first configuration, which a
// starting process gets within a fraction of a second. A refused caller would
// come back no sooner.
const startWait = 500 * time.Millisecond

// awaitView returns the view in force. A request that arrives at a starting
// process waits for it, for a part of the caller's time.
func (g *Gateway) awaitView(ctx context.Context, r *Request) *view {
	if v := g.view.Load(); v != nil {
		return v
	}
	wait := startWait
	if r.CallerTimeout > 0 {
		wait = min(wait, r.CallerTimeout/2)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.viewAvailable:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.view.Load()
}

// answerUnknownRoute answers a request that no route matches. It is denied only if the
// configuration was confirmed lately.
func (g *Gateway) answerUnknownRoute(now time.Time, r *Request) Answer {
	a := newRefusal(result.NotReady)
	if g.copyIsFresh(now) {
		a = Answer{Code: result.UnknownRoute, Ran: model.NotRun}
	}
	g.logRefusal(now, r, nil, a)
	return a
}

func newRefusal(code result.Code) Answer {
	return Answer{Code: code, Ran: model.NotRun, RetryAfter: refusalDelay + rand.N(refusalDelay)}
}

func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// requestTimes returns when an answer is fully useful at the latest and when the
// request ends. The caller counts from its first attempt; spent is the time that
// it had used when it sent this one, and way the time that requests and answers
// take between it and this process.
func requestTimes(r *Request, route *routing.Route, spent, way time.Duration) (answerBy, deadline time.Time) {
	wait := r.CallerTimeout
	if wait <= 0 {
		wait = defaultCallerTimeout
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	deadline = r.Arrived.Add(max(wait-deadlineMargin, wait/2))
	useful := route.LatencyTarget - spent - way
	if useful < route.LatencyTarget/4 {
		// The target is missed already; a whole answer is worth more than an
		// early one.
		useful = route.LatencyTarget
	}
	answerBy = r.Arrived.Add(useful)
	if answerBy.After(deadline) {
		answerBy = deadline
	}
	return answerBy, deadline
}

// newRequestRun prepares a request. The caller has spent some time before it, and the
// answer takes some time on its way.
func (g *Gateway) newRequestRun(v *view, r *Request, route *routing.Route, services []string, f model.Fingerprint, spent, way time.Duration) *requestRun {
	answerBy, deadline := requestTimes(r, route, spent, way)
	cfg := fanout.Config{
		Services:    services,
		MinParts:    1,
		Idempotent:  route.Idempotent,
		MaxAttempts: max(1, route.MaxAttempts),
		Deadline:    deadline,
	}
	if route.Gather != nil {
		cfg.MinParts = route.Gather.MinParts()
		cfg.AnswerBy = answerBy
	}
	run := &requestRun{g: g, view: v, request: r, route: route, services: services, answerBy: answerBy, deadline: deadline, callerElapsed: spent, transitTime: way, fingerprint: f, latency: g.latencyOf(route)}
	run.usualLatency, run.hedgeAfter = run.latency.estimates()
	cfg.HedgeBy = answerBy.Add(-time.Duration(hedgeLeadFactor * float64(run.usualLatency)))
	run.config = cfg
	return run
}

func (g *Gateway) latencyOf(route *routing.Route) *latency {
	if l, ok := g.latencies.Load(route.Name); ok {
		return l.(*latency)
	}
	l, _ := g.latencies.LoadOrStore(route.Name, newLatency())
	return l.(*latency)
}
