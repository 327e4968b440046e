package upstreamhttp

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

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
	body, err := encodeRequest(call, left-hopAllowance)
	must.NoError(t, err)
	var req executeRequest
	must.NoError(t, json.Unmarshal(body, &req))
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

	a := newConn(raw, func() {}).roundTrip(t.Context(), time.Now().Add(farDeadline), message{text: []byte("x"), limit: 1})
	must.ErrorIs(t, a.err, errClosedIdle)
	must.False(t, a.sent)
	must.False(t, a.reusable)
}
