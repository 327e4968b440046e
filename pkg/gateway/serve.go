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
	// deadlineMargin is the time between the deadline of a request and the end of the
	// caller's timeout. It is reserved for returning the answer.
	deadlineMargin = 15 * time.Millisecond
	// defaultCallerTimeout is used for callers that do not state a timeout.
	defaultCallerTimeout = 10 * time.Second
	// hedgeLeadFactor sets the latest time for a hedge: this multiple of the typical
	// latency before the answer is due. A later hedge would not be answered in time.
	hedgeLeadFactor = 2.5
	// unneededAttemptTimeout is how long attempts continue after their request was
	// answered. Cancelling them at once would close their connections.
	unneededAttemptTimeout = 400 * time.Millisecond
	// minRefusalDelay is the shortest delay after which a refused caller is told to send
	// its request again. A random time of up to the same length is added.
	minRefusalDelay = 20 * time.Millisecond
)

// Serve answers a request. ctx ends when the caller disconnects.
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
	if g.quarantined(now, fingerprint, route.Gather != nil) {
		a := newRefusal(result.Quarantined)
		g.logRefusal(now, r, route, a)
		return a
	}
	services := []string{""}
	if route.Gather != nil {
		services = route.Gather.Services
	} else if service, ok := route.ChooseService(rand.Float64()); ok {
		services = []string{service}
	}
	callerElapsed, transitTime := g.timing.observe(route.Name, r.CallerTimeout)
	transitTime += answerMargin(g.settings().Capacity)
	run := g.newRequestRun(v, r, route, services, fingerprint, callerElapsed, transitTime)
	run.callerGone = ctx.Done()
	switch run.firstStep(now) {
	case refuseLeaving:
		a := newRefusal(result.Leaving)
		g.logRefusal(now, r, route, a)
		return a
	case refuseUndecided:
		return run.refuseSuspect()
	case trySuspect:
		return run.runSuspect()
	case runCleared:
		return run.runCleared()
	case delegateOrRun:
		return run.delegateOrRunHere()
	default:
		return run.runHere()
	}
}

// step is what is done first with a request that has a route and is not quarantined.
type step int

const (
	runHere step = iota
	// delegateOrRun: another instance runs the query if it is expected to be faster.
	delegateOrRun
	// runCleared, trySuspect and refuseUndecided follow from the suspicion against a query.
	runCleared
	trySuspect
	refuseUndecided
	// refuseLeaving: the process stops before the request is sure to be answered.
	refuseLeaving
)

// firstStep decides what is done with the request. Serve acts on it, and ExplainRequest
// reports it.
func (r *requestRun) firstStep(now time.Time) step {
	switch {
	case r.stopsBeforeAnswer(now):
		return refuseLeaving
	case r.route.Gather == nil:
		return runHere
	}
	switch r.g.suspicion(now, r.fingerprint) {
	case undecided:
		return refuseUndecided
	case suspected:
		return trySuspect
	case cleared:
		return runCleared
	default:
		return delegateOrRun
	}
}

// stopLatencyFactor is the multiple of the typical latency of an attempt within which a
// stopping process expects to answer an idempotent request.
const stopLatencyFactor = 10

// stopsBeforeAnswer reports whether the process stops before the request is sure to be
// answered. A request that must not run twice may then take until its deadline; the caller
// of any other may send it again if it takes unusually long.
func (r *requestRun) stopsBeforeAnswer(now time.Time) bool {
	if !r.g.stopping.Load() {
		return false
	}
	needed := r.deadline.Sub(now)
	if r.route.Idempotent {
		needed = min(needed, stopLatencyFactor*r.typicalLatency)
	}
	return now.Add(needed).After(*r.g.answerBy.Load())
}

// startWait bounds how long a request waits for the first configuration, which a
// starting process gets within a fraction of a second. A caller that is refused would
// not send its request again any sooner.
const startWait = 500 * time.Millisecond

// awaitView returns the view in force. While the process starts, it waits for the first
// view for up to startWait or half of the caller timeout, whichever is shorter. It
// returns nil if there is still no view.
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

// answerUnknownRoute answers a request that no route matches. It says that the route is
// unknown only if the configuration was confirmed recently; otherwise the caller is
// told to send the request again.
func (g *Gateway) answerUnknownRoute(now time.Time, r *Request) Answer {
	a := g.unknownRouteAnswer(now)
	g.logRefusal(now, r, nil, a)
	return a
}

func (g *Gateway) unknownRouteAnswer(now time.Time) Answer {
	if g.copyIsFresh(now) {
		return Answer{Code: result.UnknownRoute, Ran: model.NotRun}
	}
	return newRefusal(result.NotReady)
}

func newRefusal(code result.Code) Answer {
	return Answer{Code: code, Ran: model.NotRun, RetryAfter: minRefusalDelay + rand.N(minRefusalDelay)}
}

func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// requestTimes returns the time by which the answer should be sent to meet the route's
// latency target, and the deadline of the request. The caller measures latency from its
// first attempt: callerElapsed is the time from that attempt to this request, and
// transitTime is the time that the request and its answer take outside this process,
// and that this process needs to write the answer.
func requestTimes(r *Request, route *routing.Route, callerElapsed, transitTime time.Duration) (answerBy, deadline time.Time) {
	wait := r.CallerTimeout
	if wait <= 0 {
		wait = defaultCallerTimeout
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	deadline = r.Arrived.Add(max(wait-deadlineMargin, wait/2))
	useful := route.LatencyTarget - callerElapsed - transitTime
	if useful < route.LatencyTarget/4 {
		// The target can hardly be met any more. The request therefore gets the whole
		// target time again: a complete answer is then worth more than an early one.
		useful = route.LatencyTarget
	}
	answerBy = r.Arrived.Add(useful)
	if answerBy.After(deadline) {
		answerBy = deadline
	}
	return answerBy, deadline
}

// newRequestRun prepares the execution of a request. For callerElapsed and transitTime
// see requestTimes.
func (g *Gateway) newRequestRun(v *view, r *Request, route *routing.Route, services []string, f model.Fingerprint, callerElapsed, transitTime time.Duration) *requestRun {
	return g.prepareRun(v, r, route, services, f, callerElapsed, transitTime, g.latencyOf(route))
}

// prepareRun is newRequestRun with the estimate of the route's latency. It changes no state
// of the gateway.
func (g *Gateway) prepareRun(v *view, r *Request, route *routing.Route, services []string, f model.Fingerprint, callerElapsed, transitTime time.Duration, latency *routeLatency) *requestRun {
	answerBy, deadline := requestTimes(r, route, callerElapsed, transitTime)
	shedsLoad := g.settings().LoadShedding.applies(v.table)
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
		cfg.ShedSlowParts = shedsLoad
	}
	run := &requestRun{g: g, view: v, request: r, route: route, services: services, answerBy: answerBy, deadline: deadline, callerElapsed: callerElapsed, transitTime: transitTime, fingerprint: f, latency: latency, shedsLoad: shedsLoad, held: new(heldReplies)}
	run.typicalLatency, run.hedgeAfter = run.latency.estimates()
	cfg.HedgeBy = answerBy.Add(-time.Duration(hedgeLeadFactor * float64(run.typicalLatency)))
	run.config = cfg
	return run
}

// knownLatency returns the estimate of the route's latency without keeping a new one.
func (g *Gateway) knownLatency(route *routing.Route) *routeLatency {
	if l, ok := g.latencies.Load(route.Name); ok {
		return l.(*routeLatency)
	}
	return newLatency()
}

func (g *Gateway) latencyOf(route *routing.Route) *routeLatency {
	if l, ok := g.latencies.Load(route.Name); ok {
		return l.(*routeLatency)
	}
	l, _ := g.latencies.LoadOrStore(route.Name, newLatency())
	return l.(*routeLatency)
}
