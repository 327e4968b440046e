package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/adapter/platformhttp"
	"github.com/sardineturn/sardineturn/pkg/adapter/upstreamhttp"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/settings"
	"github.com/sardineturn/sardineturn/pkg/standin/demo"
	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

// roleVariable is an environment variable. If it is set, the test binary acts as the
// sardineturn or the standin binary, so that the tests can start real processes without
// building these binaries.
const roleVariable = "STANDIN_TEST_ROLE"

func TestMain(m *testing.M) {
	switch {
	case os.Getenv(roleVariable) == "":
		os.Exit(m.Run())
	case os.Args[1] == "serve":
		serveMinimalInstance(os.Args[3])
	default:
		main()
	}
}

// minimalInstance takes the place of a sardineturn instance. It serves the caller
// interface, but has no queue, no retries and no membership.
type minimalInstance struct {
	settings  settings.Settings
	platform  *platformhttp.Client
	upstreams *upstreamhttp.Client
	mu        sync.Mutex
	orders    map[string]*load.OrderAnswer
}

// serveMinimalInstance serves until the process gets a signal to stop.
func serveMinimalInstance(settingsFile string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	m := &minimalInstance{upstreams: upstreamhttp.New(port.SystemClock{}), orders: make(map[string]*load.OrderAnswer)}
	content, err := os.ReadFile(settingsFile)
	if err != nil || json.Unmarshal(content, &m.settings) != nil {
		os.Exit(1)
	}
	m.platform = platformhttp.New(m.settings.PlatformURL)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", m.query)
	mux.HandleFunc("POST /v1/orders/ticket", m.ticket)
	mux.HandleFunc("POST /v1/orders", m.order)
	mux.HandleFunc("GET /ready", func(http.ResponseWriter, *http.Request) {})
	for _, address := range []string{m.settings.CallerAddress, m.settings.OperatorAddress} {
		go func() { _ = http.ListenAndServe(address, mux) }()
	}
	<-ctx.Done()
}

// document reads the service's document from the platform.
func (m *minimalInstance) document(ctx context.Context, service string) *document.Document {
	batch, _ := m.platform.ReadDocuments(ctx, 0, 0)
	for _, raw := range batch.Documents {
		if raw.Service == service {
			d, _ := document.Parse(raw.Content)
			return d
		}
	}
	return nil
}

// execute runs an operation at the shard's first replica.
func (m *minimalInstance) execute(ctx context.Context, d *document.Document, operation, key string, shard document.Shard, payload json.RawMessage) port.UpstreamReply {
	u := d.FindUpstream(shard.Replicas[0])
	call := port.UpstreamCall{
		Address: u.Address, Service: d.Service, Operation: operation, Snapshot: d.Newest().ID, Shard: shard.ID,
		Payload: payload, OrderKey: key, Deadline: time.Now().Add(time.Minute), MaxConnections: u.ConnectionLimit / m.settings.MaxInstances,
	}
	_, _ = rand.Read(call.Attempt[:])
	return m.upstreams.Execute(ctx, call)
}

// query runs a query on all shards, one after another.
func (m *minimalInstance) query(w http.ResponseWriter, r *http.Request) {
	var q load.Query
	_ = json.NewDecoder(r.Body).Decode(&q)
	d := m.document(r.Context(), q.Service)
	a := load.Answer{Code: int(result.OK), CodeName: "ok", Ran: "ran", Snapshot: string(d.Newest().ID)}
	a.Coverage.Total = len(d.Newest().Shards)
	for _, shard := range d.Newest().Shards {
		if reply := m.execute(r.Context(), d, q.Operation, "", shard, q.Payload); reply.Code == result.OK {
			a.Coverage.Answered++
			a.Results = append(a.Results, load.ShardResult{Shard: string(shard.ID), Result: reply.Result})
		}
	}
	_ = json.NewEncoder(w).Encode(a)
}

// ticket issues a ticket that holds the address of this instance and the order's
// key.
func (m *minimalInstance) ticket(w http.ResponseWriter, r *http.Request) {
	var req load.TicketRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	_ = json.NewEncoder(w).Encode(load.Ticket{Ticket: m.settings.CallerAddress + "|" + req.Key})
}

// order runs an order once, at the instance that issued its ticket. Other instances
// forward the order to that instance.
func (m *minimalInstance) order(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var o load.Order
	_ = json.Unmarshal(body, &o)
	owner, key, _ := strings.Cut(o.Ticket, "|")
	if owner != m.settings.CallerAddress {
		resp, err := http.Post("http://"+owner+"/v1/orders", "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(w, resp.Body)
			_ = resp.Body.Close()
		}
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if recorded := m.orders[key]; recorded != nil {
		recorded.Replayed = true
		_ = json.NewEncoder(w).Encode(recorded)
		return
	}
	d := m.document(r.Context(), o.Service)
	a := &load.OrderAnswer{Snapshot: string(d.Newest().ID)}
	for _, shard := range d.Newest().Shards {
		if shard.ID == model.ShardID(o.Shard) {
			reply := m.execute(r.Context(), d, o.Operation, key, shard, o.Payload)
			a.Code, a.CodeName, a.Ran, a.Result = int(reply.Code), reply.Code.String(), reply.Ran.String(), reply.Result
		}
	}
	m.orders[key] = a
	_ = json.NewEncoder(w).Encode(a)
}

// TestDemo guards against a demo that does not start, that gets incomplete answers, whose
// order does not run exactly once, or whose processes do not end cleanly.
func TestDemo(t *testing.T) {
	self, err := os.Executable()
	must.NoError(t, err)
	env := []string{roleVariable + "=1"}
	var out bytes.Buffer
	must.NoError(t, demo.Run(t.Context(), demo.Options{Sardineturn: self, Standin: self, Dir: t.TempDir(), Env: env}, &out))
	must.StrContains(t, out.String(), "the upstreams ran the order 1 time(s)")
	must.StrContains(t, out.String(), "all processes ended cleanly")
	must.Eq(t, 6, strings.Count(out.String(), "coverage 12 of 12"))
}

// TestLoadAgainstFleet guards against a load generator whose numbers of requests, answers
// and logged executions do not agree, and against a launcher that kills, restarts or
// pauses the wrong process.
func TestLoadAgainstFleet(t *testing.T) {
	self, err := os.Executable()
	must.NoError(t, err)
	fleet, err := launch.NewFleet(t.Context(), launch.Config{
		Sardineturn: self, Standin: self, Dir: t.TempDir(), MaxInstances: 10, Seed: 1, Env: []string{roleVariable + "=1"},
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, fleet.Stop()) })
	s := launch.Shevitsa()[0]
	_, err = fleet.StartService(t.Context(), s)
	must.NoError(t, err)
	c := load.Config{
		Seed: 1, UpstreamAdmins: load.UpstreamAdmins(fleet),
		Streams: []load.Stream{
			{Service: s.Name, Operation: launch.OperationSearch, Priority: "counter", Rate: 20, DeadlineMS: 60_000, DistinctPayloads: 3},
			{Name: "orders", Service: s.Name, Operation: launch.OperationReserve, Priority: "counter", Rate: 20, DeadlineMS: 60_000, Order: true, Shards: []string{"shard-000"}},
		},
		Phases: []load.Phase{{Name: "calm", DurationMS: 500}, {Name: "off", DurationMS: 100, Rates: map[string]float64{"orders": 0}}},
	}
	for range 3 {
		i, err := fleet.StartInstance(t.Context(), "dc1")
		must.NoError(t, err)
		must.NoError(t, i.WaitReady(t.Context()))
	}
	c.Instances = load.Targets(fleet)
	lost := fleet.Instances()[0]
	must.NoError(t, lost.KillAndUnlist(t.Context()))

	report, err := load.Run(t.Context(), c)
	must.NoError(t, err)
	must.Eq(t, 0, report.ViolationCount())
	must.True(t, report.ExecutionsChecked)
	executions, expected := 0, 0
	for _, p := range report.Phases {
		executions += p.Executions
		queries, orders := p.Streams[0], p.Streams[1]
		must.Eq(t, queries.Requests, queries.Success)
		must.Eq(t, orders.Requests, orders.Success)
		expected += queries.Requests*s.Shards + orders.Requests
	}
	must.Positive(t, expected)
	must.Eq(t, expected, executions)
	must.Eq(t, 0, report.Phases[1].Streams[1].Requests)
	must.NoError(t, lost.Restart(t.Context()))
	must.NoError(t, lost.WaitReady(t.Context()))
	must.NoError(t, fleet.Instances()[1].Leave(t.Context()))

	lost.Pause()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	must.Error(t, lost.WaitReady(ctx))
	lost.Resume()
	must.NoError(t, lost.WaitReady(t.Context()))
}
