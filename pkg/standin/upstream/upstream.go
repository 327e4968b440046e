// Package upstream is a stand-in for the upstreams of a service. It serves the
// upstream interface of docs/interfaces.md, has faults that an admin listener
// sets at will, and logs what it ran as an independent check.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/internal/semaphore"
)

const (
	maxRequestBytes = 1 << 20
	// historyStep and historyLength bound the past states that a lagging
	// report can show.
	historyStep   = 20 * time.Millisecond
	historyLength = 1000
	exitCrashed   = 3
	// stateCrashed is the logged outcome of requests that a crash ended.
	stateCrashed = "crashed"
)

// Counters count what one upstream did since its start or the last reset.
type Counters struct {
	Requests        int            `json:"requests"`
	Started         int            `json:"started"`
	States          map[string]int `json:"states"`
	OpenConnections int            `json:"open_connections"`
	PeakConnections int            `json:"peak_connections"`
	Accepted        int            `json:"accepted"`
	PeakInFlight    int            `json:"peak_in_flight"`
	Crashes         int            `json:"crashes"`
	BusyMS          float64        `json:"busy_ms"`
	// LastRequest and LastStart are the times of the last arrival and of the
	// last start, to check when a leaving upstream got its last work.
	LastRequest time.Time `json:"last_request"`
	LastStart   time.Time `json:"last_start"`
}

// Upstream is one stand-in upstream with its own listener.
type Upstream struct {
	Name string

	listener *listener
	server   *http.Server
	log      *Log
	gate     *semaphore.Semaphore

	mu        sync.Mutex
	rng       *rand.Rand
	behaviour Behaviour
	// index maps a snapshot to its shards; nil accepts everything.
	index    map[string]map[string]bool
	started  time.Time
	running  int
	counters Counters
	history  []past
	// crashed is closed by a crash, which ends everything that runs.
	crashed chan struct{}
}

type past struct {
	at     time.Time
	report Report
}

// Start opens the listener and serves. The seed makes service times and
// fault choices repeatable for one order of requests.
func Start(name, address string, b Behaviour, log *Log, seed uint64) (*Upstream, error) {
	b = b.normalised()
	u := &Upstream{
		Name:      name,
		log:       log,
		gate:      semaphore.New(b.Slots),
		rng:       rand.New(rand.NewPCG(seed, 0)),
		behaviour: b,
		started:   time.Now(),
		counters:  Counters{States: make(map[string]int)},
		crashed:   make(chan struct{}),
	}
	var err error
	u.listener, err = newListener(address, u.acceptCost, u.connectionLimit)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/execute", u.execute)
	mux.HandleFunc("GET /v1/health", u.health)
	mux.HandleFunc("GET /v1/load", u.load)
	u.server = &http.Server{Handler: mux, ConnContext: withConn}
	go func() { _ = u.server.Serve(u.listener) }()
	return u, nil
}

// Address returns the listener's "ip:port".
func (u *Upstream) Address() string { return u.listener.address }

// Close stops the upstream at once.
func (u *Upstream) Close() { _ = u.server.Close() }

// Shutdown stops listening and waits for requests in flight.
func (u *Upstream) Shutdown(ctx context.Context) { _ = u.server.Shutdown(ctx) }

// Behaviour returns the settings in force.
func (u *Upstream) Behaviour() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

// SetBehaviour replaces the settings.
func (u *Upstream) SetBehaviour(b Behaviour) {
	b = b.normalised()
	u.mu.Lock()
	u.behaviour = b
	u.mu.Unlock()
	u.gate.Resize(b.Slots)
}

func (u *Upstream) acceptCost() time.Duration { return milliseconds(u.Behaviour().AcceptCostMS) }

func (u *Upstream) connectionLimit() int { return u.Behaviour().ConnectionLimit }

// AddShards makes shards of a snapshot available.
func (u *Upstream) AddShards(snapshot string, shards []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.index == nil {
		u.index = make(map[string]map[string]bool)
	}
	if u.index[snapshot] == nil {
		u.index[snapshot] = make(map[string]bool)
	}
	for _, s := range shards {
		u.index[snapshot][s] = true
	}
}

// RemoveShards removes shards of a snapshot, or the whole snapshot when shards
// is empty.
func (u *Upstream) RemoveShards(snapshot string, shards []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(shards) == 0 {
		delete(u.index, snapshot)
		return
	}
	for _, s := range shards {
		delete(u.index[snapshot], s)
	}
}

// SetIndex replaces all snapshots. A nil index accepts everything.
func (u *Upstream) SetIndex(index map[string][]string) {
	u.mu.Lock()
	u.index = nil
	if index != nil {
		u.index = make(map[string]map[string]bool)
	}
	u.mu.Unlock()
	for snapshot, shards := range index {
		u.AddShards(snapshot, shards)
	}
}

// Counters returns a copy of the counters.
func (u *Upstream) Counters() Counters {
	open, accepted, peak := u.listener.counts()
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counters
	c.States = make(map[string]int, len(u.counters.States))
	for state, n := range u.counters.States {
		c.States[state] = n
	}
	c.OpenConnections, c.Accepted, c.PeakConnections = open, accepted, peak
	return c
}

func (u *Upstream) resetCounters() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counters = Counters{States: make(map[string]int)}
}

// Crash breaks all connections and refuses new ones for d. The upstream then
// starts cold.
func (u *Upstream) Crash(d time.Duration) {
	u.mu.Lock()
	u.counters.Crashes++
	close(u.crashed)
	u.crashed = make(chan struct{})
	u.mu.Unlock()
	u.listener.refuse(d, u.StartCold)
	u.listener.dropAll()
}

// StartCold makes the upstream behave as after a start.
func (u *Upstream) StartCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started = time.Now()
}

// DropConnections breaks all connections.
func (u *Upstream) DropConnections() { u.listener.dropAll() }

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
	u.arrive(arrived)
	var req request
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		u.write(w, req, "failed", false, nil)
		return
	}
	b := u.Behaviour()
	if c := connOf(r.Context()); c != nil && c.overLimit {
		w.Header().Set("Connection", "close")
		u.write(w, req, "connection_limit", false, nil)
		return
	}
	if state := u.refusal(b, req); state != "" {
		u.write(w, req, state, false, nil)
		return
	}
	ctx, cancel := u.requestContext(r, b, req, arrived)
	defer cancel()
	if err := u.gate.Acquire(ctx, b.Queue); err != nil {
		u.write(w, req, waitState(err), false, nil)
		return
	}
	state, value := u.run(ctx, b, req)
	u.gate.Release()
	u.late(b)
	u.write(w, req, state, true, value)
}

// requestContext ends with the client's connection and at the earlier of the
// two deadlines.
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

// refusal returns the state of a request that is refused at once, or "".
func (u *Upstream) refusal(b Behaviour, req request) string {
	switch {
	case b.Draining && b.RefuseWhenDraining:
		return "draining"
	case u.chance(b.ShedFraction):
		return "shed"
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.index == nil {
		return ""
	}
	shards, loaded := u.index[req.Snapshot]
	switch {
	case !loaded:
		return "snapshot_missing"
	case !shards[req.Shard]:
		return "shard_missing"
	default:
		return ""
	}
}

// waitState names why a request left the queue without a slot.
func waitState(err error) string {
	switch {
	case errors.Is(err, semaphore.ErrQueueFull):
		return "shed"
	case errors.Is(err, context.DeadlineExceeded):
		return "expired"
	default:
		return "cancelled"
	}
}

// run holds a slot for the service time.
func (u *Upstream) run(ctx context.Context, b Behaviour, req request) (string, json.RawMessage) {
	l := labelsOf(req.Payload)
	start := time.Now()
	index := u.log.start(Execution{
		Upstream: u.Name, Attempt: req.Attempt, OrderKey: req.OrderKey,
		Service: req.Service, Operation: req.Operation, Snapshot: req.Snapshot, Shard: req.Shard,
		Request: l.Request, Caller: l.Caller, Priority: l.Priority, Start: start,
	})
	crashed := u.begin(start)
	if b.CrashMark != "" && bytes.Contains(req.Payload, []byte(b.CrashMark)) {
		u.crashNow(b)
	}
	state := u.work(ctx, b, req, crashed)
	end := time.Now()
	u.finish(end, end.Sub(start))
	u.log.end(index, end, state)
	if state != "ok" {
		return state, nil
	}
	value, _ := json.Marshal(map[string]string{"shard": req.Shard, "snapshot": req.Snapshot, "request": l.Request})
	return state, value
}

func (u *Upstream) crashNow(b Behaviour) {
	if b.CrashExit {
		os.Exit(exitCrashed)
	}
	u.Crash(milliseconds(b.CrashRefuseMS))
}

func (u *Upstream) work(ctx context.Context, b Behaviour, req request, crashed <-chan struct{}) string {
	timer := time.NewTimer(u.serviceTime(b, req))
	defer timer.Stop()
	select {
	case <-crashed:
		return stateCrashed
	default:
	}
	select {
	case <-timer.C:
	case <-crashed:
		return stateCrashed
	case <-ctx.Done():
		return waitState(ctx.Err())
	}
	if u.chance(b.FailFraction) {
		return "failed"
	}
	return "ok"
}

func (u *Upstream) arrive(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counters.Requests++
	u.counters.LastRequest = now
}

// begin counts a start and returns the channel that a crash closes.
func (u *Upstream) begin(now time.Time) <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.counters.Started++
	u.counters.LastStart = now
	u.counters.PeakInFlight = max(u.counters.PeakInFlight, u.running)
	u.remember(now)
	return u.crashed
}

func (u *Upstream) finish(now time.Time, busy time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.remember(now)
	u.counters.BusyMS += float64(busy) / float64(time.Millisecond)
}

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

func (u *Upstream) late(b Behaviour) {
	if u.chance(b.LateFraction) {
		time.Sleep(milliseconds(b.LateMS))
	}
}

func (u *Upstream) chance(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.Float64() < fraction
}

// write sends an answer, with the configured faults.
func (u *Upstream) write(w http.ResponseWriter, req request, state string, ran bool, value json.RawMessage) {
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
	if u.chance(b.WrongEchoFraction) {
		a.Attempt = "00000000000000000000000000000000"
	}
	body, _ := json.Marshal(a)
	if u.chance(b.InvalidFraction) {
		body = body[:len(body)/2]
	}
	w.Header().Set("Content-Type", "application/json")
	if u.chance(b.TruncateFraction) {
		u.truncate(w, status, body)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// truncate announces the whole body, sends half of it and breaks the
// connection.
func (u *Upstream) truncate(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	report := u.report()
	writeJSON(w, map[string]bool{"healthy": report.Healthy, "draining": report.Draining})
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	report := u.report()
	writeJSON(w, map[string]any{"in_flight": report.InFlight, "slots": report.Slots, "snapshots": report.Snapshots})
}

// report returns the state that the endpoints show, after their delay.
func (u *Upstream) report() Report {
	b := u.Behaviour()
	time.Sleep(milliseconds(b.StatusDelayMS))
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.remember(now)
	switch {
	case b.Misreport != nil:
		return *b.Misreport
	case b.StatusLagMS > 0:
		return u.at(now.Add(-milliseconds(b.StatusLagMS)))
	default:
		return u.current()
	}
}

// remember adds the present state to the history while reports lag. The caller
// holds the lock.
func (u *Upstream) remember(now time.Time) {
	if u.behaviour.StatusLagMS <= 0 {
		u.history = nil
		return
	}
	if n := len(u.history); n > 0 && now.Sub(u.history[n-1].at) < historyStep {
		return
	}
	u.history = append(u.history, past{at: now, report: u.current()})
	if len(u.history) > historyLength {
		u.history = u.history[len(u.history)-historyLength:]
	}
}

// current returns the true state. The caller holds the lock.
func (u *Upstream) current() Report {
	report := Report{
		Healthy:   true,
		Draining:  u.behaviour.Draining,
		InFlight:  u.running,
		Slots:     u.behaviour.Slots,
		Snapshots: []string{},
	}
	for snapshot := range u.index {
		report.Snapshots = append(report.Snapshots, snapshot)
	}
	sort.Strings(report.Snapshots)
	return report
}

// at returns the last state recorded at or before the given time, or the
// first one.
func (u *Upstream) at(t time.Time) Report {
	i := sort.Search(len(u.history), func(i int) bool { return u.history[i].at.After(t) })
	return u.history[max(0, i-1)].report
}
