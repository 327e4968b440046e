package upstreamhttp

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// TestStaleWarmConnection guards against an attempt that fails because it uses a
// connection that Warm opened and that the upstream has closed since.
func TestStaleWarmConnection(t *testing.T) {
	u := startUpstream(t, func(*upstream.Behaviour) {})
	c := newClient(t)
	c.Warm(u.Address(), 2)
	p := c.resizedPool(u.Address(), 3)
	p.dials.Wait()
	waitFor(t, func() bool { return u.Counters().OpenConnections == 2 })
	u.DropConnections()
	reply := c.Execute(t.Context(), newCall(u.Address(), 1))
	must.Eq(t, result.OK, reply.Code)
}

// TestWarmConnectionsAreUsed guards against requests that open new connections
// although Warm has opened some. That would double the connections and save no
// time.
func TestWarmConnectionsAreUsed(t *testing.T) {
	u := startUpstream(t, func(*upstream.Behaviour) {})
	c := newClient(t)
	c.resizedPool(u.Address(), 3)
	c.Warm(u.Address(), 5)
	c.resizedPool(u.Address(), 3).dials.Wait()
	must.Eq(t, 3, c.OpenConnections(u.Address()))
	executeMany(t, c, u.Address(), 30, func(int) context.Context { return t.Context() })
	must.Eq(t, 3, u.Counters().Accepted)
}

// TestCancelReplacesConnection guards against a cancelled attempt that counts as a
// crash of the upstream. It also guards against a cancelled attempt whose connection
// is closed and not replaced at once, so that the next attempt has to wait for a new
// one.
func TestCancelReplacesConnection(t *testing.T) {
	s := startScriptedServer(t, func(int) (bool, bool) { return false, true })
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

// TestConnectionLimitHolds guards against more open connections than the limit
// allows, while attempts are cancelled, their connections are replaced and others
// are opened by Warm at the same time.
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
	// The peak is read from the client's pool. The upstream's count may exceed the
	// limit, because it includes connections that the client has closed already.
	must.LessEq(t, 3, c.resizedPool(u.Address(), 3).peakOpen)
}

// TestConnectEndsWithRequest guards against a wait for a connection that goes on
// after its request has ended. While an upstream is unreachable, such waits would
// accumulate.
func TestConnectEndsWithRequest(t *testing.T) {
	p := newPool("127.0.0.1:1", 0, tcpKeepAlive, &New(port.SystemClock{}).memory)
	requestCtx, cancel := context.WithCancel(t.Context())
	errs := make(chan error)
	go func() {
		_, err := p.connect(requestCtx)
		errs <- err
	}()
	cancel()
	must.ErrorIs(t, <-errs, context.Canceled)
	p.close()
}

// TestLoweredLimitClosesConnections guards against a document change that lowers
// the connection limit and leaves more connections open than it allows.
func TestLoweredLimitClosesConnections(t *testing.T) {
	u := startUpstream(t, func(*upstream.Behaviour) {})
	c := newClient(t)
	c.Warm(u.Address(), 3)
	c.resizedPool(u.Address(), 3).dials.Wait()
	call := newCall(u.Address(), 1)
	call.MaxConnections = 1
	must.Eq(t, result.OK, c.Execute(t.Context(), call).Code)
	must.LessEq(t, 1, c.OpenConnections(u.Address()))
}

func executeMany(t *testing.T, c *Client, address string, n int, newContext func(int) context.Context) {
	var wg sync.WaitGroup
	for i := range n {
		ctx := newContext(i)
		wg.Go(func() {
			reply := c.Execute(ctx, newCall(address, byte(i)))
			if ctx.Err() == nil && reply.Code != result.OK {
				t.Errorf("attempt %d: %v", i, reply.Code)
			}
		})
	}
	wg.Wait()
}

// TestWithdrawnRequestIsNotSent guards against a request that is sent after it was
// withdrawn while it waited for a connection, against one that waits on although no
// connection will become available, and against the end of a request in progress.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	for name, retained := range map[string]bool{"address dropped": false, "address listed elsewhere": true} {
		t.Run(name, func(t *testing.T) {
			answerFirst := make(chan bool)
			s := startScriptedServer(t, func(int) (bool, bool) { <-answerFirst; return true, true })
			c := newClient(t)
			var withdrawn atomic.Bool
			exchange := func(maySend func() bool) <-chan Response {
				out := make(chan Response, 1)
				go func() {
					out <- c.Exchange(t.Context(), Exchange{Address: s.address, MaxConnections: 1, Deadline: time.Now().Add(ampleTimeout), Message: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), Method: "GET", MaxAnswerBytes: 1000, MaySend: maySend})
				}()
				return out
			}
			running := exchange(nil)
			<-s.received
			waiting := exchange(func() bool { return !withdrawn.Load() })
			waitFor(t, func() bool { return c.poolOrNew(s.address, 1).requestSemaphore.Waiting() == 1 })
			withdrawn.Store(true)
			c.Retain(map[string]bool{s.address: retained})
			if !retained {
				must.Error(t, (<-waiting).Err)
			}
			close(answerFirst)
			r := <-running
			must.NoError(t, r.Err)
			r.Release()
			if retained {
				must.ErrorIs(t, (<-waiting).Err, ErrWithdrawn)
			}
			must.Eq(t, 0, len(s.received))
		})
	}
}
