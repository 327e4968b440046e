package load

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// generator holds the state of one load run.
type generator struct {
	config   Config
	balancer *balancer
	client   *Client
	recorder *recorder
	checker  *checker
	start    time.Time
	// runID is the prefix of all request ids of this run. It distinguishes them from
	// the ids of other runs in the execution logs.
	runID    string
	inFlight atomic.Int64
	// pending counts requests without a final outcome.
	pending sync.WaitGroup
}

// Run generates the load and returns the report. It sends requests until the last
// phase ends, to the configured addresses only, and then waits until the requests
// in flight have an outcome.
func Run(ctx context.Context, c Config) (Report, error) {
	c, err := c.normalised()
	if err != nil {
		return Report{}, err
	}
	g := &generator{
		config:   c,
		balancer: newBalancer(c),
		client:   NewClient(),
		recorder: newRecorder(c),
		checker:  newChecker(),
		runID:    fmt.Sprintf("%d-%x", c.Seed, time.Now().UnixNano()),
	}
	defer g.client.Close()
	balancerCtx, stop := context.WithCancel(ctx)
	defer stop()
	ready := make(chan struct{})
	go g.balancer.run(balancerCtx, func() { close(ready) })
	<-ready

	executions := newExecutionReader(c.UpstreamAdmins)
	if err := executions.markStart(ctx); err != nil {
		return Report{}, err
	}
	g.start = time.Now()
	g.sendAll(ctx)
	g.pending.Wait()
	if err := ctx.Err(); err != nil {
		return Report{}, err
	}
	time.Sleep(time.Duration(c.SettleMS) * time.Millisecond)
	if err := executions.read(ctx, g.recordExecution); err != nil {
		return Report{}, err
	}
	if len(c.UpstreamAdmins) > 0 {
		g.checker.compareWithExecutions()
	}
	return g.report(executions), nil
}

// sendAll starts the requests of all streams at their intended times.
func (g *generator) sendAll(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range g.config.Streams {
		wg.Go(func() { g.sendStream(ctx, i) })
	}
	wg.Wait()
}

// sendStream starts the requests of one stream without waiting for answers.
func (g *generator) sendStream(ctx context.Context, stream int) {
	s := g.config.Streams[stream]
	sendTimes := newSchedule(g.config.Seed, s, g.config.Phases)
	for n := 0; ; n++ {
		intendedSend, phase, ok := sendTimes.next()
		if !ok || !sleepUntil(ctx, g.start.Add(intendedSend)) {
			return
		}
		o := outcome{stream: stream, phase: phase, intendedSend: intendedSend}
		if g.inFlight.Add(1) > int64(g.config.MaxInFlight) {
			g.inFlight.Add(-1)
			o.code = codeNotSent
			g.recorder.add(o)
			continue
		}
		g.pending.Add(1)
		go func() {
			defer g.pending.Done()
			defer g.inFlight.Add(-1)
			g.sendRequest(ctx, s, n, &o)
			o.latency = time.Since(g.start) - o.intendedSend
			g.recorder.add(o)
		}()
	}
}

// sleepUntil waits until t and returns false if ctx ended before.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequest sends the stream's n-th request, repeatedly if necessary, and writes the
// final outcome to o.
func (g *generator) sendRequest(ctx context.Context, s Stream, n int, o *outcome) {
	payloadNumber := n
	if s.DistinctPayloads > 0 {
		payloadNumber %= s.DistinctPayloads
	}
	id := fmt.Sprintf("%s.%d.%d.%d", g.runID, o.stream, o.phase, payloadNumber)
	caller := fmt.Sprintf("caller-%d", n%s.Callers)
	payload := payloadFor(s, id)
	if s.Order {
		g.sendOrder(ctx, s, n, id, caller, payload, o)
		return
	}
	g.sendQuery(ctx, s, id, caller, payload, o)
}

// recordExecution counts an execution for the stream and phase that its request id
// names. It ignores executions of other runs.
func (g *generator) recordExecution(e upstream.Execution) {
	var stream, phase, n int
	suffix, fromThisRun := strings.CutPrefix(e.Request, g.runID+".")
	if !fromThisRun {
		return
	}
	if _, err := fmt.Sscanf(suffix, "%d.%d.%d", &stream, &phase, &n); err != nil {
		return
	}
	g.recorder.stats[stream][phase].executions++
	g.checker.countExecution(e)
}

// payloadFor returns a payload with the fields that the stand-in upstream logs, and a
// filler of s.PayloadBytes. It leaves out the caller's name, so that requests of
// different callers can have the same payload.
func payloadFor(s Stream, id string) json.RawMessage {
	payload, _ := json.Marshal(map[string]string{
		"request":  id,
		"priority": s.Priority,
		"mark":     s.Mark,
		"filler":   strings.Repeat("x", s.PayloadBytes),
	})
	return payload
}

// sendQuery sends a query and checks the answer. After a failed connection or a timeout,
// it sends the query again through another instance, at most MaxResends times.
func (g *generator) sendQuery(ctx context.Context, s Stream, id, caller string, payload json.RawMessage, o *outcome) {
	q := Query{
		Service: s.Service, Operation: s.Operation, Priority: s.Priority, Caller: caller,
		DeadlineMS: s.DeadlineMS, Shards: s.Shards, LeastCoverage: s.LeastCoverage, Payload: payload,
	}
	avoid := -1
	for {
		instance, ok := g.balancer.pick(avoid)
		if !ok {
			o.code = codeNoInstance
			return
		}
		o.sends++
		a, err := withTimeout(ctx, s, func(ctx context.Context) (Answer, error) {
			return g.client.Query(ctx, g.config.Instances[instance].Caller, q)
		})
		if err == nil {
			o.code, o.detail, o.success, o.coverage = a.CodeName, a.Detail, isSuccess(a.Code), a.Coverage
			if o.sends > 1 || s.DistinctPayloads > 0 {
				// An answer of "not run" is about this send only. An earlier send,
				// or another request with the same payload, may have run, so the
				// statement is not checked.
				a.Ran = ""
			}
			g.checker.checkQuery(id, a)
			return
		}
		o.code, o.detail = errorCode(err), err.Error()
		if o.sends > s.MaxResends {
			return
		}
		avoid = instance
	}
}

// sendOrder requests a ticket and submits the order. It submits the order again, at most
// MaxResends times, after a send without an answer and after a refusal with a next
// ticket, which replaces the ticket. So only the last answer says whether the order ran.
func (g *generator) sendOrder(ctx context.Context, s Stream, n int, id, caller string, payload json.RawMessage, o *outcome) {
	ticket, instance, ok := g.requestTicket(ctx, s, id, caller, o)
	if !ok {
		return
	}
	if s.ViaOtherInstance {
		if instance, ok = g.balancer.pick(instance); !ok {
			o.code = codeNoInstance
			return
		}
	}
	order := Order{
		Ticket: ticket, Service: s.Service, Operation: s.Operation, Priority: s.Priority, Caller: caller,
		Shard: s.Shards[n%len(s.Shards)], DeadlineMS: s.DeadlineMS, Payload: payload,
	}
	for {
		o.sends++
		a, err := withTimeout(ctx, s, func(ctx context.Context) (OrderAnswer, error) {
			return g.client.Order(ctx, g.config.Instances[instance].Caller, order)
		})
		if err == nil {
			o.code, o.detail, o.success = a.CodeName, a.Detail, isSuccess(a.Code)
			if a.NextTicket == "" || o.sends > s.MaxResends {
				g.checker.recordOrder(id, a)
				return
			}
			order.Ticket = a.NextTicket
			time.Sleep(time.Duration(a.RetryAfterMS) * time.Millisecond)
			continue
		}
		o.code, o.detail = codeOrderOpen, err.Error()
		if o.sends > s.MaxResends {
			return
		}
		if instance, ok = g.balancer.pick(instance); !ok {
			return
		}
	}
}

// requestTicket requests a ticket and returns it with the index of the instance that
// issued it, or false if it gets no ticket. When an instance does not answer, it asks
// the next one; this is safe because an unused ticket has no effect.
func (g *generator) requestTicket(ctx context.Context, s Stream, id, caller string, o *outcome) (string, int, bool) {
	r := TicketRequest{Service: s.Service, Operation: s.Operation, Caller: caller, Key: id}
	avoid := -1
	for range s.MaxResends + 1 {
		instance, ok := g.balancer.pick(avoid)
		if !ok {
			o.code = codeNoInstance
			return "", 0, false
		}
		t, err := withTimeout(ctx, s, func(ctx context.Context) (Ticket, error) {
			return g.client.Ticket(ctx, g.config.Instances[instance].Caller, r)
		})
		if err == nil {
			o.code, o.detail = t.CodeName, t.Detail
			return t.Ticket, instance, t.Ticket != ""
		}
		o.code, o.detail = errorCode(err), err.Error()
		avoid = instance
	}
	return "", 0, false
}

// withTimeout calls f with a context that ends callerGrace after the stream's
// deadline. If f fails after that, it returns the context's error.
func withTimeout[T any](ctx context.Context, s Stream, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.DeadlineMS)*time.Millisecond+callerGrace)
	defer cancel()
	v, err := f(ctx)
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return v, err
}

// errorCode returns the code of a request that failed with err, without an answer.
func errorCode(err error) string {
	if err == context.DeadlineExceeded {
		return CodeCallerTimeout
	}
	return CodeTransportError
}
