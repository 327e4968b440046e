package upstreamhttp

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/sardineturn/sardineturn/internal/semaphore"
)

// maxIdle keeps the transport from closing idle connections by count; the
// pool bounds their number instead.
const maxIdle = 1 << 16

// pool holds the connections to one upstream. It bounds open connections
// across the transport and the spare connections opened ahead of need, and
// its limit can change, which http.Transport's own limit cannot.
type pool struct {
	address   string
	dialer    *net.Dialer
	transport *http.Transport
	// requests bounds requests in the transport to the connection limit, so
	// that waiting happens here in order of arrival.
	requests *semaphore.Semaphore
	ctx      context.Context
	cancel   context.CancelFunc
	dials    sync.WaitGroup

	mu      sync.Mutex
	limit   int
	open    int
	peak    int
	spare   []*conn
	changed chan struct{}
}

func newPool(address string, limit int) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pool{
		address:  address,
		dialer:   &net.Dialer{Timeout: dialTimeout, KeepAlive: tcpKeepAlive},
		requests: semaphore.New(limit),
		ctx:      ctx,
		cancel:   cancel,
		limit:    limit,
		changed:  make(chan struct{}),
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		DialContext:            func(ctx context.Context, _, _ string) (net.Conn, error) { return p.connect(ctx) },
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return p
}

type requestKey struct{}

// withRequest attaches the request's context to itself. The transport dials
// with a context that keeps the request's values but not its cancellation.
func withRequest(ctx context.Context) context.Context {
	return context.WithValue(ctx, requestKey{}, ctx)
}

// connect returns a live spare connection, or dials when the limit allows,
// or waits for either until the request that needs it has ended. Without that
// end, requests to an unreachable upstream would leave waiting dials behind.
func (p *pool) connect(ctx context.Context) (net.Conn, error) {
	request, ok := ctx.Value(requestKey{}).(context.Context)
	if !ok {
		request = ctx
	}
	for {
		c, reserved, changed := p.takeOrReserve()
		if c != nil {
			return c, nil
		}
		if reserved {
			return p.dialReserved(ctx)
		}
		select {
		case <-changed:
		case <-request.Done():
			return nil, request.Err()
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-p.ctx.Done():
			return nil, net.ErrClosed
		}
	}
}

func (p *pool) takeOrReserve() (*conn, bool, <-chan struct{}) {
	for {
		c := p.popSpare()
		if c == nil {
			break
		}
		if alive(c.Conn) {
			return c, false, nil
		}
		_ = c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.limit {
		p.reserve()
		return nil, true, nil
	}
	return nil, false, p.changed
}

// reserve counts a connection that is about to be opened. The caller holds the
// lock.
func (p *pool) reserve() {
	p.open++
	p.peak = max(p.peak, p.open)
}

func (p *pool) popSpare() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.spare) == 0 {
		return nil
	}
	c := p.spare[len(p.spare)-1]
	p.spare = p.spare[:len(p.spare)-1]
	return c
}

// dialReserved dials for a place that was counted already.
func (p *pool) dialReserved(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.free()
		return nil, err
	}
	return &conn{Conn: raw, onClose: p.free}, nil
}

// free returns a connection's place.
func (p *pool) free() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.notify()
}

// notify wakes all waiting connects. The caller holds the lock.
func (p *pool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// warm opens up to n spare connections in the background, within the limit.
func (p *pool) warm(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	for ; n > 0 && p.open < p.limit; n-- {
		p.reserve()
		p.dials.Add(1)
		go p.openSpare()
	}
}

func (p *pool) openSpare() {
	defer p.dials.Done()
	c, err := p.dialReserved(p.ctx)
	if err != nil {
		return
	}
	c.spare = true
	p.mu.Lock()
	if p.ctx.Err() == nil && p.open <= p.limit {
		p.spare = append(p.spare, c)
		p.notify()
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
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
		p.closeIdle()
	}
}

func (p *pool) overLimit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open > p.limit
}

func (p *pool) closeIdle() {
	p.transport.CloseIdleConnections()
	for c := p.popSpare(); c != nil; c = p.popSpare() {
		_ = c.Close()
	}
}

func (p *pool) close() {
	p.cancel()
	p.closeIdle()
	p.dials.Wait()
	p.closeIdle()
}

func (p *pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
