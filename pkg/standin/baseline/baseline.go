// Package baseline is the simplest alternative to sardineturn that could serve the
// same callers, as the baseline of experiments: every instance acts alone,
// with first-in first-out queues, round-robin replica choice, an adaptive
// concurrency limit per upstream, two retries, and neither priorities nor
// hedges. It does not serve orders.
package baseline

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/pkg/adapter/callerhttp"
	"github.com/sardineturn/sardineturn/pkg/adapter/platformhttp"
	"github.com/sardineturn/sardineturn/pkg/adapter/upstreamhttp"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/instance"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/order"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/settings"
)

const (
	maxAttempts   = 3
	readInterval  = time.Second
	maxInstances  = 10
	limitIncrease = 0.1
	limitDecrease = 0.7
)

// Instance answers queries on its own. It implements callerhttp.Handler.
type Instance struct {
	platform  *platformhttp.Client
	upstreams *upstreamhttp.Client
	next      atomic.Uint64

	mu        sync.RWMutex
	documents map[string]*document.Document
	limits    map[string]*limit
}

// Serve runs a baseline instance with an instance's settings until ctx ends.
func Serve(ctx context.Context, s settings.Settings) error {
	b := &Instance{
		platform:  platformhttp.New(s.PlatformURL),
		upstreams: upstreamhttp.New(port.SystemClock{}),
		documents: make(map[string]*document.Document),
		limits:    make(map[string]*limit),
	}
	defer b.upstreams.Close()
	go b.readDocuments(ctx)
	caller := callerhttp.NewServer(b, port.SystemClock{}, callerhttp.Config{
		MaxBodyBytes:  s.Limits.MaxBodyBytes,
		MaxConcurrent: s.Limits.MaxConcurrentRequests,
		RetryDelay:    func() time.Duration { return readInterval },
	})
	caller.Addr = s.CallerAddress
	operator := &http.Server{Addr: s.OperatorAddress, Handler: http.HandlerFunc(b.ready), ReadHeaderTimeout: time.Second}
	failed := make(chan error, 2)
	go func() { failed <- caller.ListenAndServe() }()
	go func() { failed <- operator.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), readInterval)
	defer cancel()
	_ = operator.Shutdown(stop)
	_ = caller.Shutdown(stop)
	return nil
}

func (b *Instance) ready(w http.ResponseWriter, _ *http.Request) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if len(b.documents) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *Instance) readDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		batch, err := b.platform.ReadDocuments(ctx, 0, 0)
		if err == nil {
			b.adopt(batch.Documents)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readInterval):
		}
	}
}

func (b *Instance) adopt(raw []port.RawDocument) {
	for _, d := range raw {
		doc, err := document.Parse(d.Content)
		if err != nil {
			continue
		}
		b.mu.Lock()
		b.documents[doc.Service] = doc
		for _, u := range doc.Upstreams {
			if b.limits[u.Address] == nil {
				b.limits[u.Address] = newLimit(max(1, u.ConnectionLimit/maxInstances))
			}
		}
		b.mu.Unlock()
	}
}

// Query implements callerhttp.Handler.
func (b *Instance) Query(ctx context.Context, q model.Query) model.Answer {
	b.mu.RLock()
	doc := b.documents[q.Service]
	b.mu.RUnlock()
	if doc == nil || doc.PriorityIndex(q.Priority) < 0 {
		return model.Answer{Code: result.UnknownService, Ran: model.NotRun}
	}
	latest := time.Now().Add(doc.Priorities[doc.PriorityIndex(q.Priority)].Deadline())
	if q.Deadline.IsZero() || q.Deadline.After(latest) {
		q.Deadline = latest
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	snapshot := doc.Newest()
	outcomes := make([]model.ShardOutcome, len(snapshot.Shards))
	var wg sync.WaitGroup
	for n, sh := range snapshot.Shards {
		wg.Go(func() { outcomes[n] = b.shard(ctx, doc, snapshot.ID, sh, q) })
	}
	wg.Wait()
	least := q.LeastCoverage
	if least == 0 {
		least = doc.Priorities[doc.PriorityIndex(q.Priority)].LeastCoverage
	}
	return merge(doc, snapshot.ID, outcomes, least)
}

// merge codes an answer below the least useful coverage as a failure, as the
// product does, so that the two are comparable.
func merge(doc *document.Document, snapshot model.SnapshotID, outcomes []model.ShardOutcome, least float64) model.Answer {
	a := model.Answer{Code: result.OK, Ran: model.Ran, Snapshot: snapshot, Revision: doc.Revision}
	a.Coverage.Total = len(outcomes)
	for _, o := range outcomes {
		if o.Code == result.OK {
			a.Coverage.Answered++
			a.Results = append(a.Results, o)
			continue
		}
		a.Coverage.Missing = append(a.Coverage.Missing, model.MissingShard{Shard: o.Shard, Reason: o.Code})
	}
	switch {
	case a.Coverage.Answered == 0:
		a.Code = result.NoAnswerInTime
		a.Ran = model.RunUnknown
	case a.Coverage.Fraction() < least:
		a.Code = result.CoverageTooLow
	case a.Coverage.Answered < a.Coverage.Total:
		a.Code = result.PartialAnswer
	}
	return a
}

// shard tries the shard's replicas in turn.
func (b *Instance) shard(ctx context.Context, doc *document.Document, snapshot model.SnapshotID, sh document.Shard, q model.Query) model.ShardOutcome {
	last := model.ShardOutcome{Shard: sh.ID, Code: result.NoAnswerInTime}
	for range maxAttempts {
		u := doc.FindUpstream(sh.Replicas[b.next.Add(1)%uint64(len(sh.Replicas))])
		reply, ok := b.attempt(ctx, u, snapshot, sh.ID, q)
		if !ok {
			return last
		}
		if reply.Code == result.OK {
			return model.ShardOutcome{Shard: sh.ID, Code: result.OK, Ran: model.Ran, Result: reply.Result}
		}
		last.Code = reply.Code
	}
	return last
}

func (b *Instance) attempt(ctx context.Context, u *document.Upstream, snapshot model.SnapshotID, shard model.ShardID, q model.Query) (port.UpstreamReply, bool) {
	b.mu.RLock()
	l := b.limits[u.Address]
	b.mu.RUnlock()
	if !l.acquire(ctx) {
		return port.UpstreamReply{}, false
	}
	reply := b.upstreams.Execute(ctx, port.UpstreamCall{
		Attempt:        instance.NewAttemptID(),
		Upstream:       u.Name,
		Address:        u.Address,
		Service:        q.Service,
		Operation:      q.Operation,
		Snapshot:       snapshot,
		Shard:          shard,
		Payload:        json.RawMessage(q.Payload),
		Deadline:       q.Deadline,
		MaxConnections: max(1, u.ConnectionLimit/maxInstances),
	})
	l.release(reply.Code != result.UpstreamShed)
	return reply, ctx.Err() == nil
}

// IssueTicket implements callerhttp.Handler.
func (b *Instance) IssueTicket(order.Spec) (order.Ticket, time.Duration, error) {
	return order.Ticket{}, 0, result.Errorf(result.NotReady, "the baseline serves no orders")
}

// SubmitOrder implements callerhttp.Handler.
func (b *Instance) SubmitOrder(context.Context, port.OrderSubmission) port.OrderAnswer {
	return port.OrderAnswer{Code: result.NotReady, Ran: model.NotRun}
}
