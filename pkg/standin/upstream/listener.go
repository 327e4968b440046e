package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

// listener is a net.Listener that counts connections, delays each new one by the cost
// of accepting it, and can reset all connections and refuse new ones for a time.
type listener struct {
	address    string
	acceptCost func() time.Duration
	limit      func() int

	mu    sync.Mutex
	inner net.Listener
	// reopened is closed when connections are accepted again. While new connections
	// are refused, inner is nil.
	reopened chan struct{}
	conns    map[*serverConn]bool
	accepted int
	peak     int
	closed   bool
}

// serverConn is an accepted connection. Reads from it wait until readyAt, to simulate
// the cost of accepting a connection.
type serverConn struct {
	net.Conn
	listener *listener
	readyAt  time.Time
	// overLimit is true if the connection exceeded the limit when it was accepted.
	overLimit bool
	once      sync.Once
}

func (c *serverConn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readyAt); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(p)
}

func (c *serverConn) Close() error {
	c.once.Do(func() { c.listener.removeConn(c) })
	return c.Conn.Close()
}

func newListener(address string, acceptCost func() time.Duration, limit func() int) (*listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &listener{
		address:    inner.Addr().String(),
		acceptCost: acceptCost,
		limit:      limit,
		inner:      inner,
		conns:      make(map[*serverConn]bool),
	}
	return l, nil
}

// Accept implements net.Listener. It blocks while connections are refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		inner, reopened, closed := l.inner, l.reopened, l.closed
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner == nil {
			<-reopened
			continue
		}
		raw, err := inner.Accept()
		if err == nil {
			return l.addConn(raw), nil
		}
		l.mu.Lock()
		same := l.inner == inner
		l.mu.Unlock()
		if same {
			return nil, err
		}
	}
}

func (l *listener) addConn(raw net.Conn) *serverConn {
	c := &serverConn{Conn: raw, listener: l, readyAt: time.Now().Add(l.acceptCost())}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.overLimit = len(l.conns) >= l.limit()
	l.conns[c] = true
	l.accepted++
	l.peak = max(l.peak, len(l.conns))
	return c
}

func (l *listener) removeConn(c *serverConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// dropAll resets all connections.
func (l *listener) dropAll() {
	l.mu.Lock()
	conns := make([]*serverConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// refuseFor closes the listening socket for the time d, so that new connections are
// refused. It calls beforeAccept before connections are accepted again.
func (l *listener) refuseFor(d time.Duration, beforeAccept func()) {
	l.mu.Lock()
	inner := l.inner
	if l.closed || inner == nil {
		l.mu.Unlock()
		return
	}
	l.inner = nil
	l.reopened = make(chan struct{})
	l.mu.Unlock()
	_ = inner.Close()
	time.AfterFunc(d, func() { l.reopen(beforeAccept) })
}

func (l *listener) reopen(beforeAccept func()) {
	inner, err := net.Listen("tcp", l.address)
	if err != nil {
		// An outgoing connection may use the port for a moment.
		time.AfterFunc(reopenRetryInterval, func() { l.reopen(beforeAccept) })
		return
	}
	beforeAccept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = inner.Close()
		return
	}
	l.inner = inner
	close(l.reopened)
}

// reopenRetryInterval is the time between two attempts to listen on the port again.
const reopenRetryInterval = 50 * time.Millisecond

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if l.inner == nil {
		close(l.reopened)
		return nil
	}
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	addr, _ := net.ResolveTCPAddr("tcp", l.address)
	return addr
}

func (l *listener) counts() (open, accepted, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.accepted, l.peak
}

type connKey struct{}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *serverConn {
	c, _ := ctx.Value(connKey{}).(*serverConn)
	return c
}
