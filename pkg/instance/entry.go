package instance

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/query"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// activeQuery runs one query at its entry: it carries out the actions that package
// query returns, and passes the homes' answers to that package. mu guards the
// fields below it.
type activeQuery struct {
	instance *Instance
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	query entryQuery
	reply chan model.Answer
	// calls holds, by attempt id, the functions that cancel the calls to homes.
	calls map[model.AttemptID]context.CancelFunc
	// triedHomes holds, by group index, the homes to which the group's part of
	// the query was sent.
	triedHomes map[int][]model.InstanceID
	timer      port.Timer
}

// Query runs a caller's query and returns its answer.
func (i *Instance) Query(ctx context.Context, q model.Query) model.Answer {
	now := i.now()
	i.detectPause(now)
	i.activeQueries.Add(1)
	defer i.activeQueries.Add(-1)
	answer := i.query(ctx, now, q)
	i.recordAnswerMetrics(now, q, answer)
	return answer
}

func (i *Instance) recordAnswerMetrics(started time.Time, q model.Query, a model.Answer) {
	if a.Ran == model.NotRun {
		i.ports.Metrics.Refused(a.Code, q.Priority)
		return
	}
	i.ports.Metrics.Answered(a.Code, q.Priority, i.now().Sub(started), a.Coverage.Fraction())
}

func (i *Instance) query(ctx context.Context, now time.Time, q model.Query) model.Answer {
	doc, err := i.checkQuery(now, q)
	if err != nil {
		return refusedAnswer(err)
	}
	a := &activeQuery{
		instance:   i,
		reply:      make(chan model.Answer, 1),
		calls:      make(map[model.AttemptID]context.CancelFunc),
		triedHomes: make(map[int][]model.InstanceID),
	}
	a.ctx, a.cancel = context.WithCancel(i.lifecycle.context())
	defer a.cancel()
	entry, actions, err := i.newQuery(now, q, doc)
	if err != nil {
		return refusedAnswer(err)
	}
	a.query = entry
	a.mu.Lock()
	a.timer = i.ports.Clock.AfterFunc(entry.Deadline().Sub(now), a.expire)
	a.apply(now, actions)
	a.mu.Unlock()
	defer a.timer.Stop()
	select {
	case answer := <-a.reply:
		return answer
	case <-ctx.Done():
		a.mu.Lock()
		a.apply(i.now(), a.query.CallerGone())
		a.mu.Unlock()
		return <-a.reply
	}
}

// checkQuery returns the service's document, or an error if this instance must
// refuse the query. A leaving instance still serves queries, because the load
// balancer may still send callers to it for a while.
func (i *Instance) checkQuery(now time.Time, q model.Query) (*document.Document, error) {
	if code := i.admissionCode(); code != result.OK && code != result.Leaving {
		return nil, result.Errorf(code, "the instance is not ready")
	}
	doc := i.document(q.Service)
	if doc == nil {
		return nil, result.Errorf(result.UnknownService, "there is no service %q", q.Service)
	}
	if i.quarantine.Blocked(now, quarantine.Fingerprint(q.Service, q.Operation, q.Payload)) {
		return nil, result.Errorf(result.Quarantined, "the request has crashed upstreams and is refused")
	}
	return doc, nil
}

func refusedAnswer(err error) model.Answer {
	return model.Answer{Code: result.CodeOf(err), Ran: model.NotRun, Detail: err.Error()}
}

func (i *Instance) queryConfig(service string) query.Config {
	return query.Config{
		NewID:           i.ports.NewID,
		Document:        func() *document.Document { return i.document(service) },
		SnapshotAvoided: func(s model.SnapshotID) bool { return i.hints.snapshotMissing(i.now(), service, s) },
		QueueDelay: func(g model.GroupKey, priority string) time.Duration {
			return i.hints.queueDelay(i.now(), g, priority)
		},
	}
}

func (a *activeQuery) expire() {
	now := a.instance.now()
	a.instance.detectPause(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(now, a.query.Expire(now))
}

// apply carries out actions that package query returned. It must be called with
// a.mu locked.
func (a *activeQuery) apply(now time.Time, actions []query.Action) {
	for _, action := range actions {
		switch t := action.(type) {
		case query.Send:
			a.send(now, t.Request)
		case query.Abort:
			if cancel := a.calls[t.ID]; cancel != nil {
				cancel()
			}
		case query.Reply:
			a.reply <- t.Answer
		case query.SnapshotMissing:
			a.instance.hints.markSnapshotMissing(now, a.query.Service(), t.Snapshot)
		case query.Restarted:
			a.instance.ports.Metrics.QueryRestarted()
		case query.Broken:
			a.instance.invariantBroken(t.Invariant, event.Fields{"service": a.query.Service()})
		}
	}
}

// send sends a group's part of the query to the first home in rendezvous order to
// which the part has not been sent yet, or to the first home if it has been sent to
// all. The part fails if the group has no home.
func (a *activeQuery) send(now time.Time, req model.GroupRequest) {
	home, ok := a.instance.pickHome(now, a.query.Document(), req.Group.Index, a.triedHomes[req.Group.Index])
	if !ok {
		go a.groupFailed(req.ID, result.NoUpstream, model.NotRun)
		return
	}
	a.triedHomes[req.Group.Index] = append(a.triedHomes[req.Group.Index], home.ID)
	ctx, cancel := context.WithCancel(a.ctx)
	a.calls[req.ID] = cancel
	go a.call(ctx, cancel, home.ID, req)
}

func (a *activeQuery) call(ctx context.Context, cancel context.CancelFunc, home model.InstanceID, req model.GroupRequest) {
	defer cancel()
	answer, err := a.instance.callHome(ctx, home, req)
	if err != nil {
		ran := model.RunUnknown
		code := result.CodeOf(err)
		if code == result.PeerUnreachable {
			ran = model.NotRun
		}
		a.groupFailed(req.ID, code, ran)
		return
	}
	now := a.instance.now()
	a.instance.detectPause(now)
	a.instance.hints.setQueueDelay(now, req.Group, req.Priority, answer.QueueDelay)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(now, a.query.GroupAnswered(now, req.ID, answer))
}

func (a *activeQuery) groupFailed(id model.AttemptID, code result.Code, ran model.RunState) {
	now := a.instance.now()
	a.instance.detectPause(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(now, a.query.GroupFailed(now, id, code, ran))
}

// errPeerUnresponsive is the cancellation cause of calls to a peer that is no
// longer a candidate for a home, usually because it stopped acknowledging pings.
var errPeerUnresponsive = errors.New("the peer stopped answering pings")

// peerCalls holds, by peer, the functions that cancel the calls in progress. Calls
// are cancelled as soon as the failure detector finds the peer unresponsive;
// otherwise they would wait until their deadline.
type peerCalls struct {
	mu    sync.Mutex
	calls map[model.InstanceID]map[model.AttemptID]context.CancelCauseFunc
}

func (p *peerCalls) add(ctx context.Context, peer model.InstanceID, id model.AttemptID) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[peer] == nil {
		p.calls[peer] = make(map[model.AttemptID]context.CancelCauseFunc)
	}
	p.calls[peer][id] = cancel
	return ctx
}

func (p *peerCalls) remove(peer model.InstanceID, id model.AttemptID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.calls[peer][id]; cancel != nil {
		cancel(nil)
		delete(p.calls[peer], id)
	}
}

// cancelExcept cancels all calls to peers that are not among the candidates.
func (p *peerCalls) cancelExcept(candidates map[model.InstanceID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, calls := range p.calls {
		if candidates[peer] {
			continue
		}
		for _, cancel := range calls {
			cancel(errPeerUnresponsive)
		}
		delete(p.calls, peer)
	}
}

// callHome sends a group request to its home and returns the home's answer. If
// the home is this instance, it calls the handler directly. Calls for
// non-idempotent operations are not cancelled when the peer becomes
// unresponsive. A peer that is leaving or has just resumed, or to which the
// call fails for another reason than the end of ctx, gets no new calls until it
// acknowledges a ping.
func (i *Instance) callHome(ctx context.Context, home model.InstanceID, req model.GroupRequest) (model.GroupAnswer, error) {
	if home == i.cfg.ID {
		return i.HandleRunGroup(ctx, req), nil
	}
	if !req.NonIdempotent {
		ctx = i.peerCalls.add(ctx, home, req.ID)
		defer i.peerCalls.remove(home, req.ID)
	}
	answer, err := i.ports.Peers.RunGroup(ctx, home, req)
	if err == nil {
		if answer.Code == result.Leaving || answer.Code == result.JustResumed {
			i.avoidPeer(home)
		}
		return answer, nil
	}
	contextEnded := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errPeerUnresponsive)
	if !contextEnded {
		i.avoidPeer(home)
	}
	return model.GroupAnswer{}, err
}

// avoidPeer excludes a peer from new calls until it acknowledges a ping that is
// sent after this call.
func (i *Instance) avoidPeer(peer model.InstanceID) {
	i.control.mu.Lock()
	defer i.control.mu.Unlock()
	i.control.membership.Avoid(i.now(), peer)
}
