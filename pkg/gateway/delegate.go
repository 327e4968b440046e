package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/delegation"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

const (
	// delegateTransitTime is the time that the answer to a delegated query takes from the
	// delegate to this instance, without this instance's own work on it.
	delegateTransitTime = 1500 * time.Microsecond
	// maxDelegations is the number of instances that are asked to run a query before
	// this instance runs it. Asking takes a few milliseconds; a small instance takes ten
	// times as long for a query as a larger one.
	maxDelegations = 3
)

// delegates holds the instances that may run queries for this one. mu guards table.
type delegates struct {
	mu    sync.Mutex
	table *delegation.Table
}

// delegationRecord describes the delegation of a query for its log line.
type delegationRecord struct {
	to       model.InstanceID
	outcome  delegation.Outcome
	duration time.Duration
	// declineReason says why the delegate declined the query.
	declineReason string
}

// peerOutcome is the result of asking another instance to run a query.
type peerOutcome struct {
	answer port.PeerAnswer
	err    error
}

// verdict returns the verdict that corresponds to the other instance's answer.
func (o peerOutcome) verdict() fanout.Verdict {
	switch o.answer.Code {
	case result.OK:
		return fanout.Complete
	case result.PartialAnswer:
		return fanout.Partial
	case result.NoAnswerInTime:
		return fanout.Expired
	default:
		return fanout.TooFew
	}
}

// updateDelegates replaces the list of instances that may run queries for this one by
// the members that are alive and whose capacity is known. It connects to those in the
// same data centre.
func (g *Gateway) updateDelegates(members []membership.Member) {
	var list []delegation.Instance
	for i := range members {
		m := &members[i]
		if m.State == membership.Alive && m.ID != g.cfg.ID && m.Capacity > 0 {
			list = append(list, delegation.Instance{ID: m.ID, SameDataCentre: m.DataCentre == g.cfg.DataCentre, Capacity: m.Cores()})
		}
	}
	g.delegates.mu.Lock()
	g.delegates.table.Update(list)
	sameDataCentre := g.delegates.table.SameDataCentre()
	g.delegates.mu.Unlock()
	for _, id := range sameDataCentre {
		g.ports.QueryPeers.Connect(id)
	}
}

// pickDelegate returns the instance that should run a query for this one, and false if
// this instance should run it. The instances in asked are left out.
func (g *Gateway) pickDelegate(now time.Time, parts int, asked []model.InstanceID) (model.InstanceID, bool) {
	g.delegates.mu.Lock()
	defer g.delegates.mu.Unlock()
	to, ok := g.delegates.table.Pick(now, parts, int(g.activeQueries.Load()), asked)
	if ok {
		g.delegates.table.QueryStarted(to)
	}
	return to, ok
}

// delegateOrRunHere runs a query over shards: on another instance if one is expected to
// be faster, and otherwise here.
func (r *requestRun) delegateOrRunHere() Answer {
	if len(r.askedDelegates) < maxDelegations {
		if to, ok := r.g.pickDelegate(r.now(), len(r.services), r.askedDelegates); ok {
			r.askedDelegates = append(r.askedDelegates, to)
			return r.runDelegated(to)
		}
	}
	return r.runHere()
}

// runDelegated asks another instance to run the query. If that instance declines or
// cannot be reached, the next one is asked, up to maxDelegations, and then this one runs
// the query, unless it is a suspect. If the call fails later or takes too long, the other
// instance may already have made as many attempts as the route allows. The query is then
// not run here: the caller gets an answer without a result, early enough to send the query
// again.
func (r *requestRun) runDelegated(to model.InstanceID) Answer {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	start := r.now()
	query := r.peerQuery(start)
	answers := make(chan peerOutcome, 1)
	r.g.workers.Go(func() {
		a, err := r.g.ports.QueryPeers.RunQuery(ctx, to, query)
		answers <- peerOutcome{a, err}
	})
	timer := time.NewTimer(max(0, r.delegateDeadline().Sub(start)))
	defer timer.Stop()
	select {
	case o := <-answers:
		return r.handlePeerOutcome(start, to, o)
	case <-r.callerGone:
		r.callerLeft = true
		r.recordDelegation(start, to, delegation.Cancelled, 0)
		return r.logAndReturn(fanout.Expired, Answer{Code: result.CancelledWhileRun})
	case <-r.g.answersDue:
		r.recordDelegation(start, to, delegation.Cancelled, 0)
		return r.logAndReturn(fanout.Expired, Answer{Code: result.NoAnswerInTime})
	case <-timer.C:
		r.recordDelegation(start, to, delegation.Failed, 0)
		return r.logAndReturn(fanout.Expired, Answer{Code: result.NoAnswerInTime})
	}
}

// delegateDeadline returns until when this instance waits for the delegate's answer. Its
// caller can then still send the request again, unless it has done so before.
func (r *requestRun) delegateDeadline() time.Time {
	if r.shedsLoad && r.repeated() {
		return r.deadline
	}
	return r.answerBy.Add(r.route.LatencyTarget)
}

// handlePeerOutcome answers a delegated query with the outcome of the call, or runs the
// query here if the other instance has not run any of it.
func (r *requestRun) handlePeerOutcome(start time.Time, to model.InstanceID, o peerOutcome) Answer {
	switch {
	case o.err == nil && !o.answer.Declined:
		r.recordDelegation(start, to, delegation.Answered, o.answer.Active)
		if r.suspect {
			r.suspectAnswered(o.answer)
		}
		return r.logAndReturn(o.verdict(), answerFromPeer(o.answer))
	case o.err == nil:
		r.recordDelegation(start, to, delegation.Declined, o.answer.Active)
		r.delegate.declineReason = o.answer.Reason
		return r.runAfterDecline()
	case result.CodeOf(o.err) == result.PeerUnreachable:
		r.recordDelegation(start, to, delegation.Failed, 0)
		return r.runAfterDecline()
	default:
		r.recordDelegation(start, to, delegation.Failed, 0)
		return r.logAndReturn(fanout.Expired, Answer{Code: result.OutcomeUnknown})
	}
}

// runAfterDecline continues with a query of which the delegate has not run anything.
func (r *requestRun) runAfterDecline() Answer {
	switch {
	case !r.suspect:
		return r.delegateOrRunHere()
	case r.delegate.declineReason == reasonClearedOverloaded:
		r.suspect = false
		r.g.rememberAnswer(r.now(), r.fingerprint, quarantine.AnyShard)
		r.withholdCrashedShards()
		return r.delegateOrRunHere()
	default:
		return r.refuseSuspect()
	}
}

func (r *requestRun) recordDelegation(start time.Time, to model.InstanceID, o delegation.Outcome, active int) {
	now := r.now()
	r.delegate = &delegationRecord{to: to, outcome: o, duration: now.Sub(start)}
	r.g.ports.Metrics.QueryDelegated(o.String())
	r.g.delegates.mu.Lock()
	defer r.g.delegates.mu.Unlock()
	r.g.delegates.table.QueryFinished(now, to, o, active)
}

func (r *requestRun) peerQuery(now time.Time) port.PeerQuery {
	waited := now.Sub(r.request.Arrived)
	wait := r.request.CallerTimeout
	if wait > 0 {
		wait = max(time.Millisecond, wait-waited)
	}
	return port.PeerQuery{
		ID: r.request.ID, Method: r.request.Method, Host: r.request.Host, Target: r.request.Target, Head: r.request.Head, Body: r.request.Body,
		Wait: wait, Spent: r.callerElapsed + waited, ReturnDelay: r.transitTime + delegateTransitTime + delegation.CallTime(r.g.settings().Capacity), ConnectTimeout: r.route.LatencyTarget / 4, ConfigVersion: r.view.table.Version,
	}
}

func answerFromPeer(a port.PeerAnswer) Answer {
	out := Answer{Code: a.Code, Ran: a.Ran, RetryAfter: a.RetryAfter}
	if a.Code == result.OK || a.Code == result.PartialAnswer {
		out.Merged = &Merged{Body: a.Body, Signatures: a.Signatures, MissingParts: a.Missing}
	}
	return out
}

// HandleRunQuery implements port.QueryHandler. It declines a query if the sender has
// another configuration in force: otherwise the sender's callers could get an answer
// under a newer version of the configuration, and after it one under an older version.
func (g *Gateway) HandleRunQuery(ctx context.Context, q port.PeerQuery) port.PeerAnswer {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	now := g.ports.Clock.Now()
	active := int(g.activeQueries.Load())
	v := g.view.Load()
	declined := func(reason string) port.PeerAnswer {
		return port.PeerAnswer{Declined: true, Reason: reason, Active: active}
	}
	r := &Request{ID: q.ID, Method: q.Method, Host: q.Host, Target: q.Target, Head: q.Head, Body: q.Body, CallerTimeout: q.Wait, Arrived: now}
	fingerprint := r.fingerprint()
	suspicion := g.suspicion(now, fingerprint)
	route, reason := g.acceptQuery(now, v, q)
	if reason != "" {
		return declined(reason)
	}
	// The sender would run a declined query itself, so that these are refused.
	refused := func(code result.Code) port.PeerAnswer {
		a := newRefusal(code)
		return port.PeerAnswer{Code: a.Code, Ran: a.Ran, RetryAfter: a.RetryAfter, Active: active}
	}
	if g.quarantined(now, fingerprint, true) {
		return refused(result.Quarantined)
	}
	tries := suspicion != unsuspected && g.trialHome() == g.cfg.ID
	if suspicion == undecided || suspicion == suspected && !tries {
		return refused(result.IsolationPending)
	}
	if suspicion != suspected && !delegation.Accepts(g.settings().Capacity, len(route.Gather.Services), active, route.LatencyTarget) {
		return declined(g.loadReason(now, fingerprint, suspicion))
	}
	if _, ok := g.reserveBody(r, int64(len(q.Body))); !ok {
		return declined("the memory for the bodies of requests is used up")
	}
	defer r.ReleaseBody()
	run := g.newRequestRun(v, r, route, route.Gather.Services, fingerprint, q.Spent, q.ReturnDelay)
	run.callerGone = ctx.Done()
	var a Answer
	switch {
	case suspicion == suspected, suspicion == cleared && tries && g.repeatTrial(now, fingerprint):
		a = run.runTrial()
	case suspicion == cleared:
		run.withholdCrashedShards()
		a = run.runHere()
	default:
		a = run.runHere()
	}
	if a.Code == result.UpstreamRateLimited {
		// Other instances have shares of their own.
		return declined("the rate limits of upstreams are used up")
	}
	out := port.PeerAnswer{Code: a.Code, Ran: a.Ran, RetryAfter: a.RetryAfter, Active: int(g.activeQueries.Load())}
	if a.Merged != nil {
		out.Body, out.Signatures, out.Missing = a.Merged.Body, a.Merged.Signatures, a.Merged.MissingParts
	}
	return out
}

// acceptQuery returns the route of another instance's query, or the reason for
// declining it whatever the load.
func (g *Gateway) acceptQuery(now time.Time, v *view, q port.PeerQuery) (*routing.Route, string) {
	switch {
	case v == nil || g.stopping.Load():
		return nil, "not ready"
	case v.table.Version != q.ConfigVersion:
		return nil, "another configuration is in force"
	case !g.copyIsFresh(now):
		return nil, "the copy of the platform's keys is old"
	}
	route := v.table.Match(q.Host, pathOf(q.Target))
	if route == nil || route.Gather == nil {
		return nil, "no query over shards"
	}
	return route, ""
}
