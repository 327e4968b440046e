package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

// requestRun drives one request: it carries out what fanout decides.
type requestRun struct {
	g       *Gateway
	view    *view
	request *Request
	route   *routing.Route
	// services holds the service of each part.
	services []string
	config   fanout.Config
	// answerBy is when an answer is fully useful at the latest.
	answerBy, deadline time.Time
	// callerElapsed is the time that the caller had used before it sent the request, and
	// transitTime the time that the answer takes to it.
	callerElapsed, transitTime time.Duration
	delegate                   *delegationRecord
	callerGone                 <-chan struct{}
	fingerprint                model.Fingerprint
	query                      *fanout.Query
	latency                    *latency
	usualLatency               time.Duration
	hedgeAfter                 time.Duration

	// ctx ends the attempts; needed ends when the request has its verdict.
	ctx        context.Context
	cancel     context.CancelFunc
	sendCtx    context.Context
	cancelSend context.CancelFunc
	results    chan attemptResult
	attempts   []attempt
	// replies holds the accepted answer of each part.
	replies []*Reply
	// lastReply is the latest outcome of a request with one part.
	lastReply  *Reply
	callerLeft bool
	// crashChecked is true once a broken connection was looked into: when many upstreams
	// crash together, all parts of a query are lost, and it is not their cause.
	crashChecked atomic.Bool
}

// attempt is what a run keeps of an attempt, also for its log line.
type attempt struct {
	fanout.Start
	startedAt time.Time
	duration  time.Duration
	reply     *Reply
	// latencyFactor, failureRate and inFlight are what was known of the upstream.
	latencyFactor, failureRate float64
	inFlight                   int
}

type attemptResult struct {
	attempt int
	reply   *Reply
}

func (r *requestRun) now() time.Time { return r.g.ports.Clock.Now() }

// runHere runs the request to its end and reports it.
func (r *requestRun) runHere() Answer { return r.logAndReturn(r.execute()) }

func (r *requestRun) logAndReturn(verdict fanout.Verdict, a Answer) Answer {
	r.logAnswer(verdict, a)
	return a
}

// execute runs the request to its end.
func (r *requestRun) execute() (fanout.Verdict, Answer) {
	if r.route.Gather != nil {
		r.g.activeQueries.Add(1)
		defer r.g.activeQueries.Add(-1)
	}
	r.query = fanout.New(r.config, r)
	r.replies = make([]*Reply, len(r.services))
	// A quarter more than the first attempts covers the usual hedges.
	r.attempts = make([]attempt, 0, len(r.services)*5/4+1)
	r.results = make(chan attemptResult, fanout.MaxPartAttempts(r.route.MaxAttempts)*len(r.services))
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.sendCtx, r.cancelSend = context.WithCancel(r.ctx)
	now := r.now()
	for _, name := range r.services {
		r.countRequest(now, name)
	}
	starts, verdict := r.query.Begin(now)
	r.startAttempts(now, starts)
	verdict = r.waitForVerdict(verdict)
	r.endAttempts()
	return verdict, r.answer(verdict)
}

func (r *requestRun) countRequest(now time.Time, name string) {
	if s := r.view.services[name]; s != nil {
		s.mu.Lock()
		s.budget.Request(now)
		s.mu.Unlock()
	}
}

// waitForVerdict waits for what happens next until there is a verdict.
func (r *requestRun) waitForVerdict(verdict fanout.Verdict) fanout.Verdict {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for verdict == fanout.Pending {
		timer.Reset(max(0, r.query.NextWake().Sub(r.now())))
		var starts []fanout.Start
		select {
		case f := <-r.results:
			starts, verdict = r.handleResult(f)
		case <-timer.C:
			starts, verdict = r.query.Tick(r.now())
		case <-r.callerGone:
			r.callerLeft = true
			return fanout.Expired
		}
		r.startAttempts(r.now(), starts)
	}
	return verdict
}

// handleResult takes the outcome of an attempt.
func (r *requestRun) handleResult(f attemptResult) ([]fanout.Start, fanout.Verdict) {
	now := r.now()
	a := &r.attempts[f.attempt]
	a.duration, a.reply = now.Sub(a.startedAt), f.reply
	if f.reply.Status == fanout.Succeeded && r.replies[a.Part] == nil {
		r.replies[a.Part] = f.reply
	}
	r.lastReply = f.reply
	return r.query.Finished(now, f.attempt, f.reply.Status)
}

// endAttempts lets the attempts still in flight go on for a while, unless the caller
// has gone and the request may be cancelled.
func (r *requestRun) endAttempts() {
	r.cancelSend()
	switch {
	case !r.attemptsInFlight():
		r.cancel()
	case r.callerLeft && r.route.Idempotent:
		r.cancel()
	case r.callerLeft:
		time.AfterFunc(time.Until(r.deadline), r.cancel)
	default:
		time.AfterFunc(unneededAttemptTimeout, r.cancel)
	}
}

func (r *requestRun) attemptsInFlight() bool {
	for i := range r.attempts {
		if r.attempts[i].reply == nil {
			return true
		}
	}
	return false
}

// startAttempts sends attempts.
func (r *requestRun) startAttempts(now time.Time, starts []fanout.Start) {
	for _, s := range starts {
		r.attempts = append(r.attempts, attempt{Start: s, startedAt: now})
		a := &r.attempts[len(r.attempts)-1]
		r.g.countAttempt(s.Cause)
		service := r.view.services[r.services[s.Part]]
		service.mu.Lock()
		u := service.balancer.Find(s.Upstream)
		if u == nil {
			// The list changed since the upstream was picked.
			service.mu.Unlock()
			r.results <- attemptResult{attempt: s.Attempt, reply: &Reply{Status: fanout.NotSent, Detail: "the upstream is no longer listed"}}
			continue
		}
		a.latencyFactor, a.failureRate = u.Faded(now)
		a.inFlight = u.InFlight()
		u.Begin(now)
		entry := u.Upstream
		service.mu.Unlock()
		call := Call{
			Upstream:       entry,
			Request:        r.request,
			Deadline:       r.attemptDeadline(now),
			SendContext:    r.sendCtx,
			MaxConnections: r.g.maxConnections(r.view.table.Services[entry.Service]),
			ShardQuery:     r.route.Gather != nil,
		}
		r.g.workers.Go(func() { r.sendAttempt(s.Attempt, now, call, service, u) })
	}
}

// maxLateShare is the part of a latency target by which an attempt of a query may
// miss it. An overloaded upstream drops what waits longer instead of working on
// answers that come too late.
const maxLateShare = 0.5

// attemptDeadline is when the answer to an attempt is of no use any more.
func (r *requestRun) attemptDeadline(now time.Time) time.Time {
	if r.route.Gather == nil {
		return r.deadline
	}
	useful := now.Add(time.Duration((1 + maxLateShare) * float64(r.route.LatencyTarget)))
	if useful.Before(r.deadline) {
		return useful
	}
	return r.deadline
}

// sendAttempt runs one attempt and records what it shows of the upstream.
func (r *requestRun) sendAttempt(number int, start time.Time, call Call, service *service, u *balancer.Upstream) {
	reply := r.g.ports.Upstreams.Send(r.ctx, call)
	now := r.now()
	service.mu.Lock()
	u.Finished(now, start, r.usualLatency, reply.UpstreamOutcome)
	service.mu.Unlock()
	if reply.Status == fanout.Succeeded {
		r.latency.add(now.Sub(start))
	}
	if reply.ConnectionBroken && r.crashChecked.CompareAndSwap(false, true) {
		go r.g.checkCrash(r.fingerprint, call.Upstream)
	}
	r.results <- attemptResult{attempt: number, reply: &reply}
}
