package upstreamhttp

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/internal/semaphore"
)

// pool holds the connections to one upstream, within a limit that can change.
type pool struct {
	address string
	dialer  *net.Dialer
	// requests bounds requests to the connection limit, so that waiting
	// happens here in order of arrival.
	requests *semaphore.Semaphore
	ctx      context.Context
	cancel   context.CancelFunc
	dials    sync.WaitGroup

	mu    sync.Mutex
	limit int
	open  int
	peak  int
	// idle holds the open connections without a request; the last one was used
	// last.
	idle []idleConn
	// waiting counts the requests that wait for changed to be closed.
	waiting int
	changed chan struct{}
}

// idleMargin is subtracted from the keep-alive timeout that an upstream states in
// whole seconds; a timeout of one second is used for half of it.
const idleMargin = 500 * time.Millisecond

type idleConn struct {
	*conn
	since time.Time
}

func newPool(address string, limit int, keepAlive time.Duration) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &pool{
		address:  address,
		dialer:   &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive},
		requests: semaphore.New(limit),
		ctx:      ctx,
		cancel:   cancel,
		limit:    limit,
		changed:  make(chan struct{}),
	}
}

// dial is a connection being opened for a request that may not wait for it to
// the end. The connection goes to the idle ones in any case.
type dial struct {
	done chan struct{}
	err  error
}

// connect returns an idle connection, or waits for one that is returned or
// dialled, as far as the limit allows, until ctx ends.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	var dialled *dial
	for {
		c, changed := p.takeIdle()
		if c != nil {
			return c, nil
		}
		if dialled == nil {
			dialled = p.startDial()
		}
		err := p.await(ctx, changed, &dialled)
		if err != nil {
			return nil, err
		}
	}
}

// takeIdle returns the idle connection that was used last, or the channel that
// is closed by the next change. With the channel, the request counts as
// waiting.
func (p *pool) takeIdle() (*conn, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.lastIdle(); c != nil {
		return c, nil
	}
	p.waiting++
	return nil, p.changed
}

func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastIdle()
}

// lastIdle removes the idle connection that was used last, and closes those
// that the upstream is about to close. The caller holds the lock.
func (p *pool) lastIdle() *conn {
	for len(p.idle) > 0 {
		n := len(p.idle) - 1
		last := p.idle[n]
		p.idle[n] = idleConn{}
		p.idle = p.idle[:n]
		if !last.stale() {
			return last.conn
		}
		go func() { _ = last.Close() }()
	}
	return nil
}

// stale reports whether the upstream may be closing the connection. A request
// that crosses the close would have an unknown outcome.
func (c idleConn) stale() bool {
	return c.idleFor > 0 && time.Since(c.since) > c.idleFor-idleMargin
}

// await waits for a change, or for the end of the dial, which it then clears.
func (p *pool) await(ctx context.Context, changed <-chan struct{}, d **dial) error {
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

// startDial opens a connection in the background if the limit allows.
func (p *pool) startDial() *dial {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil || p.open >= p.limit {
		return nil
	}
	p.open++
	p.peak = max(p.peak, p.open)
	p.dials.Add(1)
	d := &dial{done: make(chan struct{})}
	go p.finishDial(d)
	return d
}

// finishDial dials for a place that was counted already.
func (p *pool) finishDial(d *dial) {
	defer p.dials.Done()
	defer close(d.done)
	raw, err := p.dialer.DialContext(p.ctx, "tcp", p.address)
	if err != nil {
		d.err = err
		p.free()
		return
	}
	p.put(newConn(raw, p.free))
}

// put keeps a connection for the next request, or closes it when there are too
// many.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	keep := p.ctx.Err() == nil && p.open <= p.limit
	if keep {
		p.idle = append(p.idle, idleConn{conn: c, since: time.Now()})
		p.notify()
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// free returns a connection's place.
func (p *pool) free() {
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

// acquire waits for a place among the requests.
func (p *pool) acquire(ctx context.Context, deadline time.Time) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if p.requests.TryAcquire() {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return p.requests.Acquire(ctx, semaphore.Unbounded)
}

// connectBy returns an idle connection at once, or one by the deadline.
func (p *pool) connectBy(ctx context.Context, deadline time.Time) (*conn, error) {
	if c := p.popIdle(); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return p.connect(ctx)
}

// roundTrip sends the request on one connection. A connection that turns out to
// be stale before any byte was written is replaced by the next one. The end of
// wait ends only the wait for a connection.
func (p *pool) roundTrip(ctx, wait context.Context, deadline time.Time, m message) answer {
	for {
		c, err := p.connectBy(wait, deadline)
		if err != nil {
			return answer{err: err}
		}
		a := c.roundTrip(ctx, deadline, m)
		if a.reusable {
			p.put(c)
			return a
		}
		_ = c.Close()
		if errors.Is(a.err, errClosedIdle) && ctx.Err() == nil && wait.Err() == nil {
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

// resize applies a changed limit. Idle connections are closed when there are
// too many; those in use close when their request ends.
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
	p.requests.Resize(limit)
	if excess {
		p.closeIdle(time.Time{})
	}
}

// closeIdle closes the idle connections that were used last before the given
// time, all of them when it is zero.
func (p *pool) closeIdle(before time.Time) {
	p.mu.Lock()
	n := len(p.idle)
	if !before.IsZero() {
		for n = 0; n < len(p.idle) && p.idle[n].since.Before(before); {
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
