// Package baseline is the simplest program that could serve the queries of
// sardineturn's callers; experiments compare the two. Each instance works without
// the others, with first-in first-out queues, round-robin choice of replicas, an
// adaptive concurrency limit per upstream and up to two retries per shard. It has
// neither priorities nor hedges, and it serves no orders.
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
	maxAttemptsPerShard  = 3
	documentReadInterval = time.Second
	// maxInstances is the number of instances among which an upstream's connection
	// limit is divided.
	maxInstances = 10
	// limitIncrease is added to a concurrency limit, and limitDecrease is the
	// factor by which it shrinks.
	limitIncrease = 0.1
	limitDecrease = 0.7
)

// Instance answers queries without help from other instances. It implements
// callerhttp.Handler.
type Instance struct {
	platform       *platformhttp.Client
	upstreams      *upstreamhttp.Client
	replicaCounter atomic.Uint64

	mu sync.RWMutex
	// documents is keyed by service, and limits by the address of the upstream.
	documents map[string]*document.Document
	limits    map[string]*concurrencyLimit
}

// Serve runs a baseline instance with the settings of a sardineturn instance
// until ctx ends.
func Serve(ctx context.Context, s settings.Settings) error {
	b := &Instance{
		platform:  platformhttp.New(s.PlatformURL),
		upstreams: upstreamhttp.New(port.SystemClock{}),
		documents: make(map[string]*document.Document),
		limits:    make(map[string]*concurrencyLimit),
	}
	defer b.upstreams.Close()
	go b.readDocuments(ctx)
	caller := callerhttp.NewServer(b, port.SystemClock{}, callerhttp.Config{
		MaxBodyBytes:  s.Limits.MaxBodyBytes,
		MaxConcurrent: s.Limits.MaxConcurrentRequests,
		RetryDelay:    func() time.Duration { return documentReadInterval },
	})
	caller.Addr = s.CallerAddress
	operator := &http.Server{Addr: s.OperatorAddress, Handler: http.HandlerFunc(b.serveReadiness), ReadHeaderTimeout: time.Second}
	failed := make(chan error, 2)
	go func() { failed <- caller.ListenAndServe() }()
	go func() { failed <- operator.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), documentReadInterval)
	defer cancel()
	_ = operator.Shutdown(stop)
	_ = caller.Shutdown(stop)
	return nil
}

// serveReadiness answers with status 200 if the instance has a document, and with
// 503 otherwise.
func (b *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if len(b.documents) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readDocuments reads all documents from the platform every documentReadInterval
// until ctx ends.
func (b *Instance) readDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		batch, err := b.platform.ReadDocuments(ctx, 0, 0)
		if err == nil {
			b.storeDocuments(batch.Documents)
		}
		select {
		case <-ctx.Done():
		case <-time.After(documentReadInterval):
		}
	}
}

// storeDocuments puts the valid documents into use and creates the concurrency
// limits of their upstreams.
func (b *Instance) storeDocuments(raw []port.RawDocument) {
	for _, d := range raw {
		doc, err := document.Parse(d.Content)
		if err != nil {
			continue
		}
		b.mu.Lock()
		b.documents[doc.Service] = doc
		for _, u := range doc.Upstreams {
			if b.limits[u.Address] == nil {
				b.limits[u.Address] = newConcurrencyLimit(max(1, u.ConnectionLimit/maxInstances))
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
		wg.Go(func() { outcomes[n] = b.runShard(ctx, doc, snapshot.ID, sh, q) })
	}
	wg.Wait()
	leastCoverage := q.LeastCoverage
	if leastCoverage == 0 {
		leastCoverage = doc.Priorities[doc.PriorityIndex(q.Priority)].LeastCoverage
	}
	return mergeOutcomes(doc, snapshot.ID, outcomes, leastCoverage)
}

// mergeOutcomes merges the outcomes of the shards into an answer. An answer that
// covers less than leastCoverage gets a failure code, as in sardineturn, so that
// the results of the two programs are comparable.
func mergeOutcomes(doc *document.Document, snapshot model.SnapshotID, outcomes []model.ShardOutcome, leastCoverage float64) model.Answer {
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
	case a.Coverage.Fraction() < leastCoverage:
		a.Code = result.CoverageTooLow
	case a.Coverage.Answered < a.Coverage.Total:
		a.Code = result.PartialAnswer
	}
	return a
}

// runShard sends the query to a replica of the shard, at most maxAttemptsPerShard
// times, until an attempt succeeds or ctx ends. A counter that all shards and
// queries share chooses the replica of each attempt in turn.
func (b *Instance) runShard(ctx context.Context, doc *document.Document, snapshot model.SnapshotID, sh document.Shard, q model.Query) model.ShardOutcome {
	failure := model.ShardOutcome{Shard: sh.ID, Code: result.NoAnswerInTime}
	for range maxAttemptsPerShard {
		u := doc.FindUpstream(sh.Replicas[b.replicaCounter.Add(1)%uint64(len(sh.Replicas))])
		reply, ok := b.executeAttempt(ctx, u, snapshot, sh.ID, q)
		if !ok {
			return failure
		}
		if reply.Code == result.OK {
			return model.ShardOutcome{Shard: sh.ID, Code: result.OK, Ran: model.Ran, Result: reply.Result}
		}
		failure.Code = reply.Code
	}
	return failure
}

// executeAttempt sends the query to an upstream once the upstream's concurrency
// limit allows it. It returns false if ctx ends before or during the call.
func (b *Instance) executeAttempt(ctx context.Context, u *document.Upstream, snapshot model.SnapshotID, shard model.ShardID, q model.Query) (port.UpstreamReply, bool) {
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
