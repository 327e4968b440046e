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
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

// delegateReturn is added to the way of an answer that another instance returns
// through this one.
const delegateReturn = 2 * time.Millisecond

// delegates is the table of instances that run queries for this one.
type delegates struct {
	mu    sync.Mutex
	table *delegation.Table
}

// delegate is what a run keeps of the instance that was asked to run it.
type delegate struct {
	to      model.InstanceID
	outcome delegation.Outcome
	took    time.Duration
	// reason says why a query was declined.
	reason string
}

// peerOutcome is the end of a call to another instance.
type peerOutcome struct {
	answer port.PeerAnswer
	err    error
}

// verdict returns how the query ended at the other instance.
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

// updateDelegates takes over the members of the fleet.
func (g *Gateway) updateDelegates(members []membership.Member) {
	var list []delegation.Instance
	for i := range members {
		m := &members[i]
		if m.State == membership.Alive && m.ID != g.cfg.ID && m.Capacity > 0 {
			list = append(list, delegation.Instance{ID: m.ID, Near: m.DataCentre == g.cfg.DataCentre, Capacity: m.Cores()})
		}
	}
	g.delegates.mu.Lock()
	g.delegates.table.Update(list)
	near := g.delegates.table.Near()
	g.delegates.mu.Unlock()
	for _, id := range near {
		g.ports.Queries.Connect(id)
	}
}

// pickDelegate returns the instance that should run a query for this one.
func (g *Gateway) pickDelegate(now time.Time, parts int) (model.InstanceID, bool) {
	g.delegates.mu.Lock()
	defer g.delegates.mu.Unlock()
	to, ok := g.delegates.table.Pick(now, parts, int(g.queries.Load()))
	if ok {
		g.delegates.table.Begin(to)
	}
	return to, ok
}

// serveElsewhere lets another instance run the query. If that one declines or
// cannot be reached, the query is run here. If it fails or is late, its attempts
// may have used up those that the route allows, and the caller is told to send
// the query again.
func (r *run) serveElsewhere(to model.InstanceID) Answer {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	start := r.now()
	query := r.peerQuery(start)
	answers := make(chan peerOutcome, 1)
	r.g.workers.Go(func() {
		a, err := r.g.ports.Queries.RunQuery(ctx, to, query)
		answers <- peerOutcome{a, err}
	})
	timer := time.NewTimer(max(0, r.answerBy.Add(r.route.LatencyTarget).Sub(start)))
	defer timer.Stop()
	select {
	case o := <-answers:
		return r.takeAnswer(start, to, o)
	case <-r.callerGone:
		r.gone = true
		r.finishDelegate(start, to, delegation.Cancelled, 0)
		return r.reported(fanout.Expired, Answer{Code: result.CancelledWhileRun})
	case <-timer.C:
		r.finishDelegate(start, to, delegation.Failed, 0)
		return r.reported(fanout.Expired, Answer{Code: result.NoAnswerInTime})
	}
}

// takeAnswer ends a query that another instance was asked to run, or runs it here
// if that one has not.
func (r *run) takeAnswer(start time.Time, to model.InstanceID, o peerOutcome) Answer {
	switch {
	case o.err == nil && !o.answer.Declined:
		r.finishDelegate(start, to, delegation.Answered, o.answer.Active)
		return r.reported(o.verdict(), peerAnswer(o.answer))
	case o.err == nil:
		r.finishDelegate(start, to, delegation.Declined, o.answer.Active)
		r.delegate.reason = o.answer.Reason
		return r.serve()
	case result.CodeOf(o.err) == result.PeerUnreachable:
		r.finishDelegate(start, to, delegation.Failed, 0)
		return r.serve()
	default:
		r.finishDelegate(start, to, delegation.Failed, 0)
		return r.reported(fanout.Expired, Answer{Code: result.OutcomeUnknown})
	}
}

func (r *run) finishDelegate(start time.Time, to model.InstanceID, o delegation.Outcome, active int) {
	now := r.now()
	r.delegate = &delegate{to: to, outcome: o, took: now.Sub(start)}
	r.g.ports.Metrics.QueryDelegated(o.String())
	r.g.delegates.mu.Lock()
	defer r.g.delegates.mu.Unlock()
	r.g.delegates.table.Finished(now, to, o, active)
}

func (r *run) peerQuery(now time.Time) port.PeerQuery {
	waited := now.Sub(r.request.Arrived)
	wait := r.request.Wait
	if wait > 0 {
		wait = max(time.Millisecond, wait-waited)
	}
	return port.PeerQuery{
		ID: r.request.ID, Method: r.request.Method, Host: r.request.Host, Target: r.request.Target, Head: r.request.Head, Body: r.request.Body,
		Wait: wait, Spent: r.spent + waited, ReturnDelay: r.way + delegateReturn, ConnectTimeout: r.route.LatencyTarget / 4, ConfigVersion: r.view.table.Version,
	}
}

func peerAnswer(a port.PeerAnswer) Answer {
	out := Answer{Code: a.Code, Ran: a.Ran, RetryAfter: a.RetryAfter}
	if a.Code == result.OK || a.Code == result.PartialAnswer {
		out.Merged = &Merged{Body: a.Body, Signatures: a.Signatures, Missing: a.Missing}
	}
	return out
}

// HandleRunQuery implements port.QueryHandler. A query is declined under another
// configuration than the sender's, because callers of the sender must not see
// versions come and go.
func (g *Gateway) HandleRunQuery(ctx context.Context, q port.PeerQuery) port.PeerAnswer {
	g.active.Add(1)
	defer g.active.Add(-1)
	now := g.ports.Clock.Now()
	active := int(g.queries.Load())
	v := g.view.Load()
	declined := func(reason string) port.PeerAnswer {
		return port.PeerAnswer{Declined: true, Reason: reason, Active: active}
	}
	route, reason := g.acceptQuery(now, v, q, active)
	if reason != "" {
		return declined(reason)
	}
	r := &Request{ID: q.ID, Method: q.Method, Host: q.Host, Target: q.Target, Head: q.Head, Body: q.Body, Wait: q.Wait, Arrived: now}
	fingerprint := r.fingerprint()
	if g.blocked(now, fingerprint) {
		return declined("the request is in quarantine")
	}
	run := g.newRun(v, r, route, route.Gather.Services, fingerprint, q.Spent, q.ReturnDelay)
	run.callerGone = ctx.Done()
	a := run.serve()
	out := port.PeerAnswer{Code: a.Code, Ran: a.Ran, RetryAfter: a.RetryAfter, Active: int(g.queries.Load())}
	if a.Merged != nil {
		out.Body, out.Signatures, out.Missing = a.Merged.Body, a.Merged.Signatures, a.Merged.Missing
	}
	return out
}

// acceptQuery returns the route of another instance's query, or why it is declined.
func (g *Gateway) acceptQuery(now time.Time, v *view, q port.PeerQuery, active int) (*routing.Route, string) {
	switch {
	case v == nil || g.stopping.Load():
		return nil, "not ready"
	case v.table.Version != q.ConfigVersion:
		return nil, "another configuration is in force"
	case !g.fresh(now):
		return nil, "the copy of the platform's keys is old"
	}
	route := v.table.Match(q.Host, pathOf(q.Target))
	switch {
	case route == nil || route.Gather == nil:
		return nil, "no query over shards"
	case !delegation.Accepts(g.cfg.Capacity, len(route.Gather.Services), active, route.LatencyTarget):
		return nil, "too many queries are in progress"
	}
	return route, ""
}
