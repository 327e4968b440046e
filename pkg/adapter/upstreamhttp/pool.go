package upstreamhttp

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	weighted "golang.org/x/sync/semaphore"

	"github.com/sardineturn/sardineturn/internal/semaphore"
)

// pool holds the connections to one upstream. Their number has a limit, which can
// change.
type pool struct {
	address string
	memory  *answerMemory
	dialer  *net.Dialer
	// requestSemaphore allows as many concurrent requests as connections. Further
	// requests wait here, in order of arrival.
	requestSemaphore *semaphore.Semaphore
	// requestBytes limits the bytes of requests in flight to maxRequestBytes; nil if there
	// is no limit.
	requestBytes    *weighted.Weighted
	maxRequestBytes int64
	ctx             context.Context
	cancel          context.CancelFunc
	dials           sync.WaitGroup

	mu    sync.Mutex
	limit int
	// open counts the connections that are open or being opened, and peakOpen is its
	// highest value.
	open     int
	peakOpen int
	// idle holds the open connections without a request, the most recently used one
	// at the end.
	idle []idleConn
	// waiting counts the requests that wait for an idle connection. notify closes
	// and replaces changed to wake them.
	waiting int
	changed chan struct{}
}

// keepAliveMargin is subtracted from the keep-alive timeout that an upstream states.
// Upstreams state it in whole seconds, so a connection with the shortest timeout,
// 1 s, is still used for half of it.
const keepAliveMargin = 500 * time.Millisecond

type idleConn struct {
	*conn
	idleSince time.Time
}

func newPool(address string, limit int, keepAlive time.Duration, memory *answerMemory) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &pool{
		address:          address,
		memory:           memory,
		dialer:           &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive},
		requestSemaphore: semaphore.New(limit),
		ctx:              ctx,
		cancel:           cancel,
		limit:            limit,
		changed:          make(chan struct{}),
	}
}

// pendingDial is a connection that is being opened in the background. The new
// connection becomes idle even if the request that started the dial no longer waits
// for it.
type pendingDial struct {
	done chan struct{}
	err  error
}

// connect returns an idle connection. If there is none, it opens one if the limit
// allows. It waits until any connection becomes idle, its dial fails, ctx ends or the
// pool is closed.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	var dial *pendingDial
	for {
		c, changed := p.popIdleOrStartWaiting()
		if c != nil {
			return c, nil
		}
		if dial == nil {
			dial = p.startDial()
		}
		err := p.awaitChange(ctx, changed, &dial)
		if err != nil {
			return nil, err
		}
	}
}

// popIdleOrStartWaiting removes and returns the most recently used idle connection.
// If there is none, it counts the request as waiting and returns a channel that
// notify closes. The request must then call awaitChange.
func (p *pool) popIdleOrStartWaiting() (*conn, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.popIdleLocked(); c != nil {
		return c, nil
	}
	p.waiting++
	return nil, p.changed
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.popIdleLocked()
}

// popIdleLocked is popIdle for callers that hold the lock. It closes connections
// that the upstream may be closing, and skips them.
func (p *pool) popIdleLocked() *conn {
	for len(p.idle) > 0 {
		n := len(p.idle) - 1
		last := p.idle[n]
		p.idle[n] = idleConn{}
		p.idle = p.idle[:n]
		if !last.mayBeClosing() {
			return last.conn
		}
		go func() { _ = last.Close() }()
	}
	return nil
}

// mayBeClosing reports whether the upstream may be closing the connection, because
// its keep-alive timeout has nearly passed. The outcome of a request that is sent
// while the upstream closes the connection would be unknown.
func (c idleConn) mayBeClosing() bool {
	return c.keepAliveTimeout > 0 && time.Since(c.idleSince) > c.keepAliveTimeout-keepAliveMargin
}

// awaitChange waits until changed is closed, the dial ends, ctx ends or the pool is
// closed, and then counts the request as no longer waiting. If the dial ended, it
// sets *d to nil.
func (p *pool) awaitChange(ctx context.Context, changed <-chan struct{}, d **pendingDial) error {
	defer func() {
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
	}()
	var done chan struct{}
	if *d != nil {
		done = (*d).done
	}
	select {
	case <-changed:
		return nil
	case <-done:
		err := (*d).err
		*d = nil
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-p.ctx.Done():
		return net.ErrClosed
	}
}

// startDial starts to open a connection in the background. It returns nil if the
// limit allows no further connection or the pool is closed.
func (p *pool) startDial() *pendingDial {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil || p.open >= p.limit {
		return nil
	}
	p.open++
	p.peakOpen = max(p.peakOpen, p.open)
	p.dials.Add(1)
	d := &pendingDial{done: make(chan struct{})}
	go p.runDial(d)
	return d
}

// runDial opens a connection that startDial has already counted in open.
func (p *pool) runDial(d *pendingDial) {
	defer p.dials.Done()
	defer close(d.done)
	raw, err := p.dialer.DialContext(p.ctx, "tcp", p.address)
	if err != nil {
		d.err = err
		p.decrementOpen()
		return
	}
	p.put(newConn(raw, p.memory, p.decrementOpen))
}

// put makes a connection idle, or closes it if the pool is closed or has more
// connections than the limit.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	keep := p.ctx.Err() == nil && p.open <= p.limit
	if keep {
		p.idle = append(p.idle, idleConn{conn: c, idleSince: time.Now()})
		p.notify()
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// decrementOpen counts a connection as closed, so that another one may be opened.
func (p *pool) decrementOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.notify()
}

// notify wakes the waiting requests. The caller holds the lock.
func (p *pool) notify() {
	if p.waiting == 0 {
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// acquire acquires the request semaphore. It waits until the end of waitContext.
func (p *pool) acquire(ctx context.Context, deadline time.Time, maySend func() bool) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if p.requestSemaphore.TryAcquire() {
		return nil
	}
	ctx, cancel := p.waitContext(ctx, deadline, maySend)
	defer cancel()
	return p.requestSemaphore.Acquire(ctx, semaphore.Unbounded)
}

// waitContext returns the context of a wait for the pool. It ends with ctx, at the deadline,
// or when the pool is closed and maySend, if set, returns false.
func (p *pool) waitContext(ctx context.Context, deadline time.Time, maySend func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	if maySend == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(p.ctx, func() {
		if !maySend() {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// acquireBytes counts the bytes of a request as in flight. If they exceed the limit, it
// waits, in order of arrival, until the end of waitContext. release must be called when the
// request has ended.
func (p *pool) acquireBytes(ctx context.Context, deadline time.Time, maySend func() bool, bytes int64) (release func(), waited bool, err error) {
	if p.requestBytes == nil || bytes <= smallRequestBytes {
		return func() {}, false, nil
	}
	bytes = min(bytes, p.maxRequestBytes)
	release = func() { p.requestBytes.Release(bytes) }
	if p.requestBytes.TryAcquire(bytes) {
		return release, false, nil
	}
	ctx, cancel := p.waitContext(ctx, deadline, maySend)
	defer cancel()
	return release, true, p.requestBytes.Acquire(ctx, bytes)
}

// connectBy returns an idle connection if there is one, or else waits for one until
// the deadline.
func (p *pool) connectBy(ctx context.Context, deadline time.Time) (*conn, error) {
	if c := p.popIdle(); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return p.connect(ctx)
}

// roundTrip sends the request on one connection. If that connection turns out to be
// stale before any byte was written, it tries another one. The end of waitCtx
// interrupts only the wait for a connection; the end of ctx interrupts the round
// trip. If the request fails after it was sent, roundTrip starts to open a connection
// in place of the closed one.
func (p *pool) roundTrip(ctx, waitCtx context.Context, deadline time.Time, m message) answer {
	for {
		c, err := p.connectBy(waitCtx, deadline)
		if err != nil {
			return answer{err: err}
		}
		if m.maySend != nil && !m.maySend() {
			p.put(c)
			return answer{err: ErrWithdrawn}
		}
		a := c.roundTrip(ctx, deadline, m)
		if a.reusable {
			p.put(c)
			return a
		}
		_ = c.Close()
		if errors.Is(a.err, errStaleConnection) && ctx.Err() == nil && waitCtx.Err() == nil {
			continue
		}
		if a.sent && a.err != nil {
			p.warm(1)
		}
		return a
	}
}

// warm opens up to n connections in the background, within the limit.
func (p *pool) warm(n int) {
	for ; n > 0 && p.startDial() != nil; n-- {
	}
}

// resize changes the limit. If more connections are open than the new limit allows,
// it closes all idle ones. A connection in use is closed when its request ends, if
// there are still too many.
func (p *pool) resize(limit int) {
	p.mu.Lock()
	if p.limit == limit {
		p.mu.Unlock()
		return
	}
	p.limit = limit
	excess := p.open > limit
	p.notify()
	p.mu.Unlock()
	p.requestSemaphore.Resize(limit)
	if excess {
		p.closeIdle(time.Time{})
	}
}

// closeIdle closes the connections that have been idle since before the given time,
// or all idle ones if it is zero.
func (p *pool) closeIdle(before time.Time) {
	p.mu.Lock()
	n := len(p.idle)
	if !before.IsZero() {
		for n = 0; n < len(p.idle) && p.idle[n].idleSince.Before(before); {
			n++
		}
	}
	closing := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

func (p *pool) close() {
	p.cancel()
	p.dials.Wait()
	p.closeIdle(time.Time{})
}

func (p *pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
