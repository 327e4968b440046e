package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

// requestRun executes one request: it sends the attempts that the fanout.Query decides
// on, and reports their results to the query.
type requestRun struct {
	g       *Gateway
	view    *view
	request *Request
	route   *routing.Route
	// services holds the name of the service of each part; a request to one upstream
	// has one part.
	services []string
	config   fanout.Config
	// answerBy and deadline are the results of requestTimes.
	answerBy, deadline time.Time
	// callerElapsed is the time between the caller's first attempt and the sending of
	// this request. For transitTime see requestTimes.
	callerElapsed, transitTime time.Duration
	delegate                   *delegationRecord
	// askedDelegates lists the other instances that were asked to run the query.
	askedDelegates []model.InstanceID
	// suspect is true if the query must not run here, because another instance tries it
	// first; see Gateway.suspicion.
	suspect bool
	// shedsLoad is true if overloaded upstreams are spared; see LoadShedding.
	shedsLoad      bool
	callerGone     <-chan struct{}
	fingerprint    model.Fingerprint
	query          *fanout.Query
	latency        *routeLatency
	typicalLatency time.Duration
	hedgeAfter     time.Duration

	// Cancelling ctx cancels the attempts. sendCtx is cancelled when the request has its
	// verdict, so that attempts that are not sent yet are dropped.
	ctx        context.Context
	cancel     context.CancelFunc
	sendCtx    context.Context
	cancelSend context.CancelFunc
	results    chan attemptResult
	attempts   []attempt
	// replies holds the accepted answer of each part.
	replies []*Reply
	// held holds all replies until the answer is delivered. It is a pointer so that an
	// answer that waits for its caller does not keep the request's body in memory.
	held *heldReplies
	// lastReply is the reply of the attempt that ended last.
	lastReply  *Reply
	callerLeft bool
	// crashChecked is true once an attempt whose connection broke was checked for a crash of
	// its upstream, and silenceChecked once one was that got no answer in time. Only one
	// attempt of each kind is checked for each request: when many upstreams crash together,
	// a query loses the connections of all its parts without being the cause.
	crashChecked, silenceChecked atomic.Bool
	// unanswered counts the attempts whose upstream may have crashed.
	unanswered atomic.Int64
	// succeeded is true once an attempt has succeeded.
	succeeded atomic.Bool
}

// attempt holds the result of an attempt and what its log line needs.
type attempt struct {
	fanout.Start
	startedAt time.Time
	duration  time.Duration
	reply     *Reply
	// latencyFactor, failureRate and inFlight describe the upstream at the start of the
	// attempt; see attemptLine.
	latencyFactor, failureRate float64
	inFlight                   int
	// cancel cancels the attempt; nil if it was not sent.
	cancel context.CancelFunc
}

type attemptResult struct {
	attempt int
	reply   *Reply
}

func (r *requestRun) now() time.Time { return r.g.ports.Clock.Now() }

// runHere executes the request on this instance and logs its answer.
func (r *requestRun) runHere() Answer { return r.logAndReturn(r.execute()) }

func (r *requestRun) logAndReturn(verdict fanout.Verdict, a Answer) Answer {
	r.logAnswer(verdict, a)
	if a.Merged != nil && a.Merged.MissingParts == 0 {
		r.g.rememberAnswer(r.now(), r.fingerprint, "")
	}
	return a
}

// execute executes the request and returns its verdict and answer.
func (r *requestRun) execute() (fanout.Verdict, Answer) {
	r.withholdEvacuated()
	r.query = fanout.New(r.config, r)
	r.replies = make([]*Reply, len(r.services))
	if r.shedsLoad {
		return r.executeIfAdmitted()
	}
	return r.executeAdmitted()
}

// executeAdmitted executes a request that admission control, if any, has admitted.
func (r *requestRun) executeAdmitted() (fanout.Verdict, Answer) {
	if r.route.Gather != nil {
		r.g.activeQueries.Add(1)
		defer r.g.activeQueries.Add(-1)
	}
	// Capacity for the first attempts, and a quarter more for the usual number of
	// hedges.
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
	a := r.answer(verdict)
	if a.Reply != nil {
		a.release = r.held.release
	} else {
		r.held.release()
	}
	return verdict, a
}

func (r *requestRun) countRequest(now time.Time, name string) {
	if s := r.view.services[name]; s != nil {
		s.mu.Lock()
		s.budget.CountRequest(now)
		s.mu.Unlock()
	}
}

// waitForVerdict handles the results of attempts and the timer of the query until there
// is a verdict, the caller disconnects or the process must answer because it stops.
func (r *requestRun) waitForVerdict(verdict fanout.Verdict) fanout.Verdict {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for verdict == fanout.Pending {
		timer.Reset(max(0, r.query.NextWake().Sub(r.now())))
		var starts []fanout.Start
		select {
		case result := <-r.results:
			starts, verdict = r.handleResult(result)
		case <-timer.C:
			starts, verdict = r.query.Tick(r.now())
		case <-r.callerGone:
			r.callerLeft = true
			return fanout.Expired
		case <-r.g.answersDue:
			return fanout.Expired
		}
		r.startAttempts(r.now(), starts)
	}
	return verdict
}

// handleResult records the result of an attempt and passes it to the query.
func (r *requestRun) handleResult(result attemptResult) ([]fanout.Start, fanout.Verdict) {
	now := r.now()
	a := &r.attempts[result.attempt]
	a.duration, a.reply = now.Sub(a.startedAt), result.reply
	if result.reply.Status == fanout.Succeeded && r.replies[a.Part] == nil {
		r.replies[a.Part] = result.reply
	}
	r.lastReply = result.reply
	wasAlone := r.query.Alone()
	starts, verdict := r.query.AttemptFinished(now, result.attempt, result.reply.Status)
	if wasAlone && !r.query.Alone() {
		r.endTrial(quarantine.TrialAnswered)
	}
	return starts, verdict
}

// endAttempts drops the attempts that are not sent yet, and lets the attempts in flight
// continue for unneededAttemptTimeout. If the caller has disconnected, the attempts of
// an idempotent request are cancelled at once, and those of any other request continue
// until the deadline.
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
		if r.shedsLoad {
			r.cancelStalled()
		}
		time.AfterFunc(unneededAttemptTimeout, r.cancel)
	}
}

// stalledFactor is the multiple of the typical latency after which an attempt whose answer
// is no longer needed is cancelled at once. It would take a slow or overloaded upstream
// longer to run the request than to accept the new connection.
const stalledFactor = 2

// cancelStalled cancels the attempts in flight that have stalled.
func (r *requestRun) cancelStalled() {
	now := r.now()
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.reply == nil && a.cancel != nil && now.Sub(a.startedAt) > stalledFactor*r.typicalLatency {
			a.cancel()
		}
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

// startAttempts starts the attempts that the query decided on.
func (r *requestRun) startAttempts(now time.Time, starts []fanout.Start) {
	for _, s := range starts {
		r.attempts = append(r.attempts, attempt{Start: s, startedAt: now})
		a := &r.attempts[len(r.attempts)-1]
		r.g.countAttempt(s.Cause)
		service := r.view.services[r.services[s.Part]]
		service.mu.Lock()
		u := service.balancer.Find(s.Upstream)
		if u == nil {
			// The list of upstreams changed after the query picked this one.
			service.mu.Unlock()
			r.results <- attemptResult{attempt: s.Attempt, reply: &Reply{Status: fanout.NotSent, Detail: "the upstream is no longer listed"}}
			continue
		}
		gate := r.newColdGate(service, s.Upstream)
		if !gate.reserve(now) {
			// Another request has used the share since the query picked the upstream.
			service.mu.Unlock()
			r.g.ports.Metrics.AttemptWithdrawn(metrics.WithdrawnCold)
			r.results <- attemptResult{attempt: s.Attempt, reply: &Reply{Status: fanout.NotSent, Detail: coldLimitDetail}}
			continue
		}
		a.latencyFactor, a.failureRate = u.DecayedEstimates(now)
		a.inFlight = u.InFlight()
		u.AttemptStarted(now)
		entry, shard := u.Upstream, service.shard
		service.mu.Unlock()
		call := Call{
			Upstream:       entry,
			Request:        r.request,
			Deadline:       r.attemptDeadline(now),
			SendContext:    r.sendCtx,
			MaxConnections: r.g.maxConnections(now, r.view.table.Services[entry.Service], shard),
			ShardQuery:     r.route.Gather != nil,
			MaySend:        func() bool { return !r.g.isEvacuated(entry.DataCentre) && gate.open() },
		}
		alone := r.query.Alone()
		ctx := r.ctx
		if r.shedsLoad {
			ctx, a.cancel = context.WithCancel(r.ctx)
		}
		r.g.workers.Go(func() { r.sendAttempt(ctx, s.Attempt, now, call, service, u, gate, alone) })
	}
}

// maxLateShare is the fraction of the latency target by which an attempt of a query
// over shards may exceed the target. Because of this deadline, an overloaded upstream
// drops requests that have waited longer, instead of working on answers that would come
// too late.
const maxLateShare = 0.5

// attemptDeadline returns the time after which the answer to an attempt that starts now
// is no longer of use: the deadline of the request or, for a query over shards, an earlier
// time set by maxLateShare. With load shedding, a query that its caller has sent again has
// until its deadline: the caller will not come once more, and admission control keeps the
// queues of the upstreams short.
func (r *requestRun) attemptDeadline(now time.Time) time.Time {
	if r.route.Gather == nil || r.shedsLoad && r.repeated() {
		return r.deadline
	}
	usefulUntil := now.Add(time.Duration((1 + maxLateShare) * float64(r.route.LatencyTarget)))
	if usefulUntil.Before(r.deadline) {
		return usefulUntil
	}
	return r.deadline
}

// sendAttempt makes one attempt and updates the estimates of the upstream and of the
// route with its result. alone is true if it is the trial of a suspect.
func (r *requestRun) sendAttempt(ctx context.Context, number int, start time.Time, call Call, service *service, u *balancer.Upstream, gate *coldGate, alone bool) {
	reply := r.g.ports.Upstreams.Send(ctx, call)
	r.held.add(&reply)
	r.g.recordWithdrawal(&reply, call.Upstream, gate)
	r.g.countReply(&reply)
	now := r.now()
	share := r.g.rateShare(&reply, call.Upstream.ID, service.isShard())
	service.mu.Lock()
	u.AttemptFinished(now, start, r.typicalLatency, reply.UpstreamOutcome)
	limitChanged := namesRateLimit(&reply) && u.RateLimit.Observe(now, start, reply.RateLimit, share)
	service.mu.Unlock()
	if limitChanged {
		r.g.info(event.RateLimitChanged, event.Fields{"upstream": call.Upstream.ID, "service": call.Upstream.Service, "limit": reply.RateLimit, "senders": share.Senders, "rank": share.Rank}, "an upstream changed its rate limit")
	}
	switch reply.UpstreamOutcome {
	case balancer.Succeeded, balancer.Failed, balancer.Shed:
		r.g.upstreamAnswered(call.Upstream, start)
	}
	if reply.Status == fanout.Succeeded {
		r.latency.add(now.Sub(start))
		r.succeeded.Store(true)
		r.recordAnswer(now, call.Upstream.Service)
	}
	if r.mayHaveCrashed(&reply, now.Sub(start)) {
		r.unanswered.Add(1)
		checked := &r.crashChecked
		if !reply.ConnectionBroken {
			checked = &r.silenceChecked
		}
		if checked.CompareAndSwap(false, true) {
			suspect := quarantine.Suspect{
				Crash: quarantine.Crash{Fingerprint: r.fingerprint, Service: call.Upstream.Service, Upstream: call.Upstream.ID, Started: call.Upstream.Started},
				Query: r.route.Gather != nil, Trial: alone,
				RequestID: r.request.ID, Unanswered: 1, Ending: endingOf(&reply), SentAt: start, LostAt: now,
			}
			go r.checkUnanswered(suspect, call.Upstream, reply.ConnectionBroken)
		}
	}
	r.results <- attemptResult{attempt: number, reply: &reply}
}

// recordAnswer records that an upstream of the service has answered the request: the
// request does not crash the upstreams of this service.
func (r *requestRun) recordAnswer(now time.Time, service string) {
	switch {
	case r.route.Gather == nil:
		r.g.rememberAnswer(now, r.fingerprint, service)
	case r.g.quarantine.hasSuspects.Load() || r.g.quarantine.countsCrashes.Load():
		r.g.rememberAnswer(now, r.fingerprint, quarantine.AnyShard)
	}
	r.g.disproveCrashes(now, r.fingerprint, service)
}

// mayHaveCrashed reports whether an attempt that took the given time ended in a way in
// which it ends when its upstream crashes. A request that an upstream has answered does
// not crash upstreams.
func (r *requestRun) mayHaveCrashed(reply *Reply, took time.Duration) bool {
	switch {
	case reply.Status != fanout.Unknown:
		return false
	case r.route.Gather != nil && reply.ConnectionBroken:
		return true
	case reply.UpstreamOutcome == balancer.Cancelled && took <= r.hedgeAfter:
		return false
	default:
		return !r.succeeded.Load()
	}
}
