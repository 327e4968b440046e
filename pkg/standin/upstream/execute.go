package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/sardineturn/sardineturn/internal/semaphore"
)

// request is the body of POST /v1/execute.
type request struct {
	Attempt        string          `json:"attempt"`
	Service        string          `json:"service"`
	Operation      string          `json:"operation"`
	Snapshot       string          `json:"snapshot"`
	Shard          string          `json:"shard"`
	Payload        json.RawMessage `json:"payload"`
	OrderKey       string          `json:"order_key"`
	DeadlineMS     int64           `json:"deadline_ms"`
	DeadlineUnixMS int64           `json:"deadline_unix_ms"`
}

// answer is the answer of POST /v1/execute.
type answer struct {
	Attempt  string          `json:"attempt"`
	Snapshot string          `json:"snapshot"`
	Shard    string          `json:"shard"`
	State    string          `json:"state"`
	Ran      string          `json:"ran"`
	Result   json.RawMessage `json:"result,omitempty"`
	Draining bool            `json:"draining,omitempty"`
}

func (u *Upstream) execute(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	u.countRequest(arrived)
	var req request
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		u.writeAnswer(w, req, "failed", false, nil)
		return
	}
	b := u.Behaviour()
	if c := connOf(r.Context()); c != nil && c.overLimit {
		w.Header().Set("Connection", "close")
		u.writeAnswer(w, req, "connection_limit", false, nil)
		return
	}
	if state := u.refusal(b, req); state != "" {
		u.writeAnswer(w, req, state, false, nil)
		return
	}
	ctx, cancel := u.requestContext(r, b, req, arrived)
	defer cancel()
	if err := u.slots.Acquire(ctx, b.Queue); err != nil {
		u.writeAnswer(w, req, abortedState(err), false, nil)
		return
	}
	state, value := u.run(ctx, b, req)
	u.slots.Release()
	u.delayAnswer(b)
	u.writeAnswer(w, req, state, true, value)
}

// requestContext returns a context that ends when the gateway's connection closes, unless
// the behaviour ignores cancellation. It also ends at the earlier of the request's
// relative and absolute deadline, unless the behaviour ignores deadlines.
func (u *Upstream) requestContext(r *http.Request, b Behaviour, req request, arrived time.Time) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if b.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	if b.IgnoreDeadline {
		return context.WithCancel(ctx)
	}
	deadline := arrived.Add(time.Duration(req.DeadlineMS) * time.Millisecond)
	if absolute := time.UnixMilli(req.DeadlineUnixMS); req.DeadlineUnixMS > 0 && absolute.Before(deadline) {
		deadline = absolute
	}
	return context.WithDeadline(ctx, deadline)
}

// refusal returns the state with which a request is refused before it waits for a slot,
// or "" if it is not refused.
func (u *Upstream) refusal(b Behaviour, req request) string {
	switch {
	case b.Draining && b.RefuseWhenDraining:
		return "draining"
	case u.drawFault(b.ShedFraction):
		return "shed"
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.shardsBySnapshot == nil {
		return ""
	}
	shards, loaded := u.shardsBySnapshot[req.Snapshot]
	switch {
	case !loaded:
		return "snapshot_missing"
	case !shards[req.Shard]:
		return "shard_missing"
	default:
		return ""
	}
}

// abortedState returns the state for the error of a request that got no slot, or whose
// context ended while it ran.
func abortedState(err error) string {
	switch {
	case errors.Is(err, semaphore.ErrQueueFull):
		return "shed"
	case errors.Is(err, context.DeadlineExceeded):
		return "expired"
	default:
		return "cancelled"
	}
}

// run executes a request, logs and counts the execution, and returns the request's state
// and result. The caller must have acquired a slot.
func (u *Upstream) run(ctx context.Context, b Behaviour, req request) (string, json.RawMessage) {
	l := labelsOf(req.Payload)
	start := time.Now()
	index := u.log.recordStart(Execution{
		Upstream: u.Name, Attempt: req.Attempt, OrderKey: req.OrderKey,
		Service: req.Service, Operation: req.Operation, Snapshot: req.Snapshot, Shard: req.Shard,
		Request: l.Request, Caller: l.Caller, Priority: l.Priority, Mark: l.Mark, Start: start,
	})
	crashed := u.countStart(start)
	if b.CrashMark != "" && bytes.Contains(req.Payload, []byte(b.CrashMark)) {
		u.crashNow(b)
	}
	state := u.serve(ctx, b, req, crashed)
	end := time.Now()
	u.countEnd(end, end.Sub(start))
	u.log.recordEnd(index, end, state)
	if state != "ok" {
		return state, nil
	}
	value, _ := json.Marshal(map[string]string{"shard": req.Shard, "snapshot": req.Snapshot, "request": l.Request})
	return state, value
}

// crashNow ends the process if CrashExit is set, and otherwise simulates a crash.
func (u *Upstream) crashNow(b Behaviour) {
	if b.CrashExit {
		os.Exit(crashExitCode)
	}
	u.Crash(milliseconds(b.CrashRefuseMS))
}

// serve waits for the service time and returns the state of the request. A crash or the
// end of ctx ends the wait early.
func (u *Upstream) serve(ctx context.Context, b Behaviour, req request, crashed <-chan struct{}) string {
	timer := time.NewTimer(u.serviceTime(b, req))
	defer timer.Stop()
	select {
	case <-crashed:
		return outcomeCrashed
	default:
	}
	select {
	case <-timer.C:
	case <-crashed:
		return outcomeCrashed
	case <-ctx.Done():
		return abortedState(ctx.Err())
	}
	if u.drawFault(b.FailFraction) {
		return "failed"
	}
	return "ok"
}

func (u *Upstream) countRequest(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counters.Requests++
	u.counters.LastRequest = now
}

// countStart counts a request that starts to run and returns the channel that a crash
// closes.
func (u *Upstream) countStart(now time.Time) <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.counters.Started++
	u.counters.LastStart = now
	u.counters.PeakInFlight = max(u.counters.PeakInFlight, u.running)
	u.recordReport(now)
	return u.crashed
}

func (u *Upstream) countEnd(now time.Time, busy time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.recordReport(now)
	u.counters.BusyMS += float64(busy) / float64(time.Millisecond)
}

// serviceTime returns a random service time for the request, multiplied by the
// slowdown, the slowdown of its shard and the factor of a cold start.
func (u *Upstream) serviceTime(b Behaviour, req request) time.Duration {
	dist, ok := b.Service[req.Operation]
	if !ok {
		dist = b.Service[""]
	}
	u.mu.Lock()
	ms := dist.MedianMS * math.Exp(dist.Sigma*u.rng.NormFloat64())
	age := time.Since(u.started)
	u.mu.Unlock()
	ms *= b.Slowdown
	if f, ok := b.ShardSlowdown[req.Shard]; ok {
		ms *= f
	}
	if cold := milliseconds(b.ColdStartMS); age < cold {
		ms *= b.ColdFactor - (b.ColdFactor-1)*float64(age)/float64(cold)
	}
	return milliseconds(ms)
}

// delayAnswer waits for LateMS with the probability LateFraction.
func (u *Upstream) delayAnswer(b Behaviour) {
	if u.drawFault(b.LateFraction) {
		time.Sleep(milliseconds(b.LateMS))
	}
}

// drawFault returns true with the given probability.
func (u *Upstream) drawFault(probability float64) bool {
	if probability <= 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.Float64() < probability
}

// writeAnswer sends an answer. Depending on the behaviour's fractions, it applies faults
// to the answer.
func (u *Upstream) writeAnswer(w http.ResponseWriter, req request, state string, ran bool, value json.RawMessage) {
	b := u.Behaviour()
	a := answer{
		Attempt: req.Attempt, Snapshot: req.Snapshot, Shard: req.Shard,
		State: state, Ran: "not_run", Result: value, Draining: b.Draining,
	}
	status := http.StatusServiceUnavailable
	if ran {
		a.Ran, status = "ran", http.StatusOK
	}
	u.mu.Lock()
	u.counters.States[state]++
	u.mu.Unlock()
	if u.drawFault(b.WrongEchoFraction) {
		a.Attempt = "00000000000000000000000000000000"
	}
	body, _ := json.Marshal(a)
	if u.drawFault(b.InvalidFraction) {
		body = body[:len(body)/2]
	}
	w.Header().Set("Content-Type", "application/json")
	if u.drawFault(b.TruncateFraction) {
		u.truncate(w, status, body)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// truncate announces the length of the whole body but sends only half of the body, and
// then closes the connection.
func (u *Upstream) truncate(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
