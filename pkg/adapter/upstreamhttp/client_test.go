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

// TestNoResendOnBrokenConnection guards against a client that sends a request again
// when a reused connection breaks after the request was written. An order would run
// twice.
func TestNoResendOnBrokenConnection(t *testing.T) {
	s := startScriptedServer(t, func(n int) (bool, bool) { return n == 1, n == 1 })
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

// TestConnectionClosedWhileIdle guards against an attempt whose outcome is reported
// as unknown although the upstream closed the idle connection before any byte of
// the request was written.
func TestConnectionClosedWhileIdle(t *testing.T) {
	s := startScriptedServer(t, func(n int) (bool, bool) { return true, n != 1 })
	c := newClient(t)
	must.Eq(t, result.OK, c.Execute(t.Context(), newCall(s.address, 1)).Code)
	<-s.closed
	reply := c.Execute(t.Context(), newCall(s.address, 2))
	must.Eq(t, result.OK, reply.Code)
	must.Eq(t, 2, len(s.received))
}

// TestRefusedConnection guards against an attempt whose outcome is reported as
// unknown although the upstream refused the connection, so that nothing was sent.
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

// TestTimeoutIsNotBrokenConnection guards against a slow upstream that is taken for
// a crashed one, because the client closes the connection at the attempt's deadline.
func TestTimeoutIsNotBrokenConnection(t *testing.T) {
	s := startScriptedServer(t, func(int) (bool, bool) { return false, true })
	c := newClient(t)
	call := newCall(s.address, 1)
	call.Deadline = time.Now().Add(50 * time.Millisecond)
	reply := c.Execute(t.Context(), call)
	must.NotEq(t, result.OK, reply.Code)
	must.False(t, reply.ConnectionBroken)
}

// TestUpstreamDeadlineIsEarlier guards against an upstream that gets the attempt's
// own deadline. It would answer "expired" only after the attempt was cancelled and
// its connection closed.
func TestUpstreamDeadlineIsEarlier(t *testing.T) {
	call := newCall("", 1)
	remaining := time.Until(call.Deadline)
	body, err := encodeExecuteBody(call, remaining-answerTransitTime)
	must.NoError(t, err)
	var req executeRequest
	must.NoError(t, json.Unmarshal(body, &req))
	must.Less(t, remaining.Milliseconds(), req.DeadlineMS)
	must.Less(t, call.Deadline.UnixMilli(), req.DeadlineUnixMS)
}

// TestCrashReportsBrokenConnection guards against an upstream crash that is not
// reported. The request that causes the crash would then be sent again and again.
func TestCrashReportsBrokenConnection(t *testing.T) {
	u := startUpstream(t, func(*upstream.Behaviour) {})
	c := newClient(t)
	call := newCall(u.Address(), 1)
	call.Payload = json.RawMessage(`"crash-upstream"`)
	reply := c.Execute(t.Context(), call)
	must.Eq(t, result.UpstreamLost, reply.Code)
	must.Eq(t, model.RunUnknown, reply.Ran)
	must.True(t, reply.ConnectionBroken)
}

// TestFaultyAnswers guards against an invalid answer that is accepted or that is
// reported as "not run".
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

// TestRefusalReportsNotRun guards against a request that the upstream refused and
// that is not reported as "not run".
func TestRefusalReportsNotRun(t *testing.T) {
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

// TestStatus guards against a status read that fails on a correct answer, or that
// takes a connection while attempts use all that the limit allows.
func TestStatus(t *testing.T) {
	u := startUpstream(t, func(b *upstream.Behaviour) { b.Draining = true })
	u.SetIndex(map[string][]string{"v1": {"s1"}})
	c := newClient(t)
	status, err := c.Status(t.Context(), u.Address())
	must.NoError(t, err)
	must.Eq(t, port.UpstreamStatus{Healthy: true, Draining: true, Slots: 3, Snapshots: []model.SnapshotID{"v1"}}, status)

	p := c.resizedPool(u.Address(), 1)
	must.True(t, p.requestSemaphore.TryAcquire())
	_, err = c.Status(t.Context(), u.Address())
	must.Eq(t, result.ConnectionLimit, result.CodeOf(err))
	p.requestSemaphore.Release()
}

// TestWriteAfterPeerClosed guards against a request that is written to a connection
// that the upstream has closed. It would then be unknown whether it ran.
func TestWriteAfterPeerClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	peer, err := l.Accept()
	must.NoError(t, err)
	must.NoError(t, peer.Close())

	a := newConn(raw, &New(port.SystemClock{}).memory, func() {}).roundTrip(t.Context(), time.Now().Add(ampleTimeout), message{text: []byte("x"), maxBodyBytes: 1})
	must.ErrorIs(t, a.err, errStaleConnection)
	must.False(t, a.sent)
	must.False(t, a.reusable)
}
