package upstreamhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// farDeadline is long enough never to decide a test.
const farDeadline = 5 * time.Minute

func newCall(address string, n byte) port.UpstreamCall {
	return port.UpstreamCall{
		Attempt: model.AttemptID{n}, Address: address, Service: "s", Operation: "op", Snapshot: "v1", Shard: "s1",
		Payload: json.RawMessage(`{}`), Deadline: time.Now().Add(farDeadline), MaxConnections: 3,
	}
}

// TestMain guards against goroutines and connections that outlive the client.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T) *Client {
	c := New(port.SystemClock{})
	t.Cleanup(c.Close)
	return c
}

func startUpstream(t *testing.T, change func(*upstream.Behaviour)) *upstream.Upstream {
	b := upstream.DefaultBehaviour()
	b.AcceptCostMS = 0
	b.Service = map[string]upstream.ServiceTime{"": {MedianMS: 0}}
	change(&b)
	u, err := upstream.Start("u", "127.0.0.1:0", b, upstream.NewLog(), 1)
	must.NoError(t, err)
	t.Cleanup(u.Close)
	return u
}

// scripted is a server whose handler decides per request, by its number over
// all connections, whether to answer and whether to close the connection.
type scripted struct {
	address  string
	accepted chan struct{}
	received chan int
	closed   chan struct{}
}

func startScripted(t *testing.T, script func(n int) (respond, keep bool)) *scripted {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &scripted{
		address:  l.Addr().String(),
		accepted: make(chan struct{}, 100),
		received: make(chan int, 100),
		closed:   make(chan struct{}, 100),
	}
	var mu sync.Mutex
	count := 0
	serve := func(c net.Conn) {
		defer func() { s.closed <- struct{}{} }()
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			mu.Lock()
			count++
			n := count
			mu.Unlock()
			s.received <- n
			respond, keep := script(n)
			if respond {
				writeAnswer(c, body)
			}
			if !keep {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go serve(c)
		}
	}()
	return s
}

func writeAnswer(w io.Writer, request []byte) {
	var req executeRequest
	_ = json.Unmarshal(request, &req)
	body, _ := json.Marshal(executeAnswer{
		Attempt: req.Attempt, Snapshot: req.Snapshot, Shard: req.Shard,
		State: "ok", Ran: "ran", Result: json.RawMessage("1"),
	})
	resp := http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	_ = resp.Write(w)
}

// TestBrokenReusedConnection guards against a second send by the transport when
// a kept connection breaks after the request was written: an order would run
// twice.
func TestBrokenReusedConnection(t *testing.T) {
	s := startScripted(t, func(n int) (bool, bool) { return n == 1, n == 1 })
	c := newClient(t)
	must.Eq(t, result.OK, c.Execute(t.Context(), newCall(s.address, 1)).Code)

	call := newCall(s.address, 2)
	call.OrderKey = "order"
	reply := c.Execute(t.Context(), call)
	must.Eq(t, result.UpstreamLost, reply.Code)
	must.Eq(t, model.RunUnknown, reply.Ran)
	must.True(t, reply.ConnectionBroken)
	must.Eq(t, 2, len(s.received))
}

// TestConnectionClosedWhileIdle guards against an attempt that ends as unknown
// although its stale connection was closed before any byte was written.
func TestConnectionClosedWhileIdle(t *testing.T) {
	s := startScripted(t, func(n int) (bool, bool) { return true, n != 1 })
	c := newClient(t)
	must.Eq(t, result.OK, c.Execute(t.Context(), newCall(s.address, 1)).Code)
	<-s.closed
	reply := c.Execute(t.Context(), newCall(s.address, 2))
	must.Eq(t, result.OK, reply.Code)
	must.Eq(t, 2, len(s.received))
}

// TestStaleSpareConnection guards against the use of a connection that was
// opened ahead of need and closed by the upstream since.
func TestStaleSpareConnection(t *testing.T) {
	u := startUpstream(t, func(*upstream.Behaviour) {})
	c := newClient(t)
	c.Warm(u.Address(), 2)
	p := c.pool(u.Address(), 3)
	p.dials.Wait()
	waitFor(t, func() bool { return u.Counters().OpenConnections == 2 })
	u.DropConnections()
	reply := c.Execute(t.Context(), newCall(u.Address(), 1))
	must.Eq(t, result.OK, reply.Code)
}

// TestWarmConnectionsAreUsed guards against warm connections that requests
// leave aside, which would double the connections and save no time.
func TestWarmConnectionsAreUsed(t *testing.T) {
	u := startUpstream(t, func(*upstream.Behaviour) {})
	c := newClient(t)
	c.pool(u.Address(), 3)
	c.Warm(u.Address(), 5)
	c.pool(u.Address(), 3).dials.Wait()
	must.Eq(t, 3, c.OpenConnections(u.Address()))
	executeMany(t, c, u.Address(), 30, func(int) context.Context { return t.Context() })
	must.Eq(t, 3, u.Counters().Accepted)
}

// TestRefusedConnection guards against "unknown" for an attempt that could not
// be sent at all.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	c := newClient(t)
	reply := c.Execute(t.Context(), newCall(l.Addr().String(), 1))
	must.Eq(t, result.ConnectFailed, reply.Code)
	must.Eq(t, model.NotRun, reply.Ran)
	must.False(t, reply.ConnectionBroken)
	must.Eq(t, 0, c.OpenConnections(l.Addr().String()))
}

// TestCancelReplacesConnection guards against a cancelled attempt that counts
// as a crash, and against the next attempt paying for a new connection.
func TestCancelReplacesConnection(t *testing.T) {
	s := startScripted(t, func(int) (bool, bool) { return false, true })
	c := newClient(t)
	ctx, cancel := context.WithCancel(t.Context())
	replies := make(chan port.UpstreamReply)
	go func() { replies <- c.Execute(ctx, newCall(s.address, 1)) }()
	<-s.received
	cancel()
	reply := <-replies
	must.Eq(t, result.CancelledWhileRun, reply.Code)
	must.Eq(t, model.RunUnknown, reply.Ran)
	must.False(t, reply.ConnectionBroken)
	<-s.closed
	<-s.accepted
	<-s.accepted
	must.Eq(t, 0, len(s.received))
}

// TestOwnDeadlineIsNotBroken guards against a slow upstream that is taken for a
// crashed one.
func TestOwnDeadlineIsNotBroken(t *testing.T) {
	s := startScripted(t, func(int) (bool, bool) { return false, true })
	c := newClient(t)
	call := newCall(s.address, 1)
	call.Deadline = time.Now().Add(50 * time.Millisecond)
	reply := c.Execute(t.Context(), call)
	must.NotEq(t, result.OK, reply.Code)
	must.False(t, reply.ConnectionBroken)
}

// TestUpstreamDeadlineIsEarlier guards against an upstream that answers
// "expired" only after the attempt was cancelled, which costs the connection.
func TestUpstreamDeadlineIsEarlier(t *testing.T) {
	call := newCall("", 1)
	left := time.Until(call.Deadline)
	var req executeRequest
	must.NoError(t, json.Unmarshal(appendExecute(nil, &call, left-hopAllowance), &req))
	must.Less(t, left.Milliseconds(), req.DeadlineMS)
	must.Less(t, call.Deadline.UnixMilli(), req.DeadlineUnixMS)
}

// TestCrashIsBroken guards against a crash that goes unnoticed, which would
// keep the crashing request in circulation.
func TestCrashIsBroken(t *testing.T) {
	u := startUpstream(t, func(*upstream.Behaviour) {})
	c := newClient(t)
	call := newCall(u.Address(), 1)
	call.Payload = json.RawMessage(`"crash-upstream"`)
	reply := c.Execute(t.Context(), call)
	must.Eq(t, result.UpstreamLost, reply.Code)
	must.Eq(t, model.RunUnknown, reply.Ran)
	must.True(t, reply.ConnectionBroken)
}

// TestFaultyAnswers guards against a faulty answer that is accepted or that
// counts as "not run".
func TestFaultyAnswers(t *testing.T) {
	cases := map[string]func(*upstream.Behaviour){
		"echo":     func(b *upstream.Behaviour) { b.WrongEchoFraction = 1 },
		"truncate": func(b *upstream.Behaviour) { b.TruncateFraction = 1 },
		"invalid":  func(b *upstream.Behaviour) { b.InvalidFraction = 1 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, change)
			reply := newClient(t).Execute(t.Context(), newCall(u.Address(), 1))
			must.NotEq(t, result.OK, reply.Code)
			must.Eq(t, model.RunUnknown, reply.Ran)
			must.SliceEmpty(t, reply.Result)
		})
	}
}

// TestRefusals guards against a refusal that is not passed on as "not run".
func TestRefusals(t *testing.T) {
	cases := map[result.Code]func(*upstream.Behaviour){
		result.UpstreamShed:     func(b *upstream.Behaviour) { b.ShedFraction = 1 },
		result.UpstreamDraining: func(b *upstream.Behaviour) { b.Draining = true },
		result.ConnectionLimit:  func(b *upstream.Behaviour) { b.ConnectionLimit = 0 },
	}
	for code, change := range cases {
		t.Run(code.String(), func(t *testing.T) {
			u := startUpstream(t, change)
			reply := newClient(t).Execute(t.Context(), newCall(u.Address(), 1))
			must.Eq(t, code, reply.Code)
			must.Eq(t, model.NotRun, reply.Ran)
			must.Eq(t, code == result.UpstreamDraining, reply.Draining)
		})
	}
}

// TestConnectionLimitHolds guards against more connections than allowed while
// attempts are cancelled, replaced and warmed at the same time.
func TestConnectionLimitHolds(t *testing.T) {
	u := startUpstream(t, func(b *upstream.Behaviour) {
		b.Slots, b.Queue = 10, 100
		b.Service = map[string]upstream.ServiceTime{"": {MedianMS: 2}}
	})
	c := newClient(t)
	executeMany(t, c, u.Address(), 300, func(i int) context.Context {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		if i%3 == 0 {
			time.AfterFunc(time.Duration(i%7)*time.Millisecond, cancel)
		}
		if i%10 == 0 {
			c.Warm(u.Address(), 2)
		}
		return ctx
	})
	must.LessEq(t, 3, c.OpenConnections(u.Address()))
	// The upstream notices a closed connection a moment after the client
	// closed it, so its own peak may exceed the client's by those.
	must.LessEq(t, 3, c.pool(u.Address(), 3).peak)
}

// TestAbandonedDialEnds guards against dials that keep waiting for a place after
// their request has ended, which accumulate while an upstream is unreachable.
func TestAbandonedDialEnds(t *testing.T) {
	p := newPool("127.0.0.1:1", 0)
	request, cancel := context.WithCancel(t.Context())
	errs := make(chan error)
	go func() {
		_, err := p.connect(request)
		errs <- err
	}()
	cancel()
	must.ErrorIs(t, <-errs, context.Canceled)
	p.close()
}

// TestSmallerLimit guards against a document change that leaves more
// connections open than the new limit allows.
func TestSmallerLimit(t *testing.T) {
	u := startUpstream(t, func(*upstream.Behaviour) {})
	c := newClient(t)
	c.Warm(u.Address(), 3)
	c.pool(u.Address(), 3).dials.Wait()
	call := newCall(u.Address(), 1)
	call.MaxConnections = 1
	must.Eq(t, result.OK, c.Execute(t.Context(), call).Code)
	must.LessEq(t, 1, c.OpenConnections(u.Address()))
}

// TestStatus guards against a status read that fails on a correct answer or
// that takes a connection which attempts need.
func TestStatus(t *testing.T) {
	u := startUpstream(t, func(b *upstream.Behaviour) { b.Draining = true })
	u.SetIndex(map[string][]string{"v1": {"s1"}})
	c := newClient(t)
	status, err := c.Status(t.Context(), u.Address())
	must.NoError(t, err)
	must.Eq(t, port.UpstreamStatus{Healthy: true, Draining: true, Slots: 3, Snapshots: []model.SnapshotID{"v1"}}, status)

	p := c.pool(u.Address(), 1)
	must.True(t, p.requests.TryAcquire())
	_, err = c.Status(t.Context(), u.Address())
	must.Eq(t, result.ConnectionLimit, result.CodeOf(err))
	p.requests.Release()
}

func executeMany(t *testing.T, c *Client, address string, n int, ctx func(int) context.Context) {
	var wg sync.WaitGroup
	for i := range n {
		ctx := ctx(i)
		wg.Go(func() {
			reply := c.Execute(ctx, newCall(address, byte(i)))
			if ctx.Err() == nil && reply.Code != result.OK {
				t.Errorf("attempt %d: %v", i, reply.Code)
			}
		})
	}
	wg.Wait()
}

func waitFor(t *testing.T, condition func() bool) {
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatal("condition not reached")
		case <-time.After(time.Millisecond):
		}
	}
}

// TestWriteAfterPeerClosed guards against bytes that are sent on a connection
// which the upstream has closed, after which "not run" cannot be proven.
func TestWriteAfterPeerClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	peer, err := l.Accept()
	must.NoError(t, err)
	must.NoError(t, peer.Close())

	a := newConn(raw, func() {}).roundTrip(t.Context(), []byte("x"), 1)
	must.ErrorIs(t, a.err, errClosedIdle)
	must.False(t, a.sent)
	must.False(t, a.reusable)
}

// TestNotRunHoldsUnderFaults guards against an attempt that runs although it
// was reported as not run, that runs twice, or that is reported as run although
// it did not, while connections break and attempts are cancelled at random. The
// upstream's execution log is the independent evidence.
func TestNotRunHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 0))
		log := upstream.NewLog()
		b := upstream.DefaultBehaviour()
		b.AcceptCostMS = 1
		b.Slots, b.Queue, b.ConnectionLimit = 2, 2, 5
		b.Service = map[string]upstream.ServiceTime{"": {MedianMS: 1, Sigma: 1}}
		b.ShedFraction, b.FailFraction, b.TruncateFraction, b.InvalidFraction = 0.05, 0.05, 0.05, 0.05
		b.CrashRefuseMS = 5
		u, err := upstream.Start("u", "127.0.0.1:0", b, log, seed)
		must.NoError(t, err)
		c := New(port.SystemClock{})
		replies := make([]port.UpstreamReply, 400)
		var wg sync.WaitGroup
		for i := range replies {
			call := newCall(u.Address(), 0)
			call.Attempt[0], call.Attempt[1] = byte(i), byte(i>>8)
			call.Deadline = time.Now().Add(time.Duration(5+rng.IntN(100)) * time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			if rng.IntN(5) == 0 {
				time.AfterFunc(time.Duration(rng.IntN(5000))*time.Microsecond, cancel)
			}
			switch rng.IntN(40) {
			case 0:
				u.DropConnections()
			case 1:
				call.Payload = json.RawMessage(`"crash-upstream"`)
			case 2:
				c.Warm(u.Address(), 2)
			}
			wg.Go(func() {
				defer cancel()
				replies[i] = c.Execute(ctx, call)
			})
			time.Sleep(time.Duration(rng.IntN(500)) * time.Microsecond)
		}
		wg.Wait()
		c.Close()
		u.Shutdown(t.Context())
		executions := make(map[string]int)
		for _, e := range log.All() {
			executions[e.Attempt]++
		}
		for _, reply := range replies {
			n := executions[reply.Attempt.String()]
			if n > 1 || n > 0 && reply.Ran == model.NotRun || n == 0 && reply.Ran == model.Ran {
				t.Errorf("seed %d: %v, ran %v, %d executions", seed, reply.Code, reply.Ran, n)
			}
		}
	}
}
