// Package upstreamhttp sends requests to upstreams over HTTP/1.1. It implements
// port.Upstreams with JSON bodies, in the form that docs/interfaces.md describes,
// and sends requests that are already encoded (Exchange).
package upstreamhttp

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Paths that upstreams serve.
const (
	executePath = "/v1/execute"
	healthPath  = "/v1/health"
	loadPath    = "/v1/load"
)

const (
	dialTimeout    = 2 * time.Second
	tcpKeepAlive   = 15 * time.Second
	idleTimeout    = 30 * time.Minute
	statusTimeout  = 200 * time.Millisecond
	maxHeaderBytes = 16 << 10
	// smallRequestBytes is the size up to which a request does not count towards the limit
	// of bytes in flight, so that usual requests have no overhead.
	smallRequestBytes = 8 << 10
	// answerTransitTime is subtracted from the deadline that the upstream gets, so
	// that its answer "expired" arrives before the attempt's own deadline. At that
	// deadline the attempt is cancelled, which closes the connection.
	answerTransitTime = 2 * time.Millisecond
)

// Client holds a connection pool for each upstream address.
type Client struct {
	clock port.Clock
	// keepAliveInterval is the interval of the TCP keep-alive probes, which find dead
	// connections. A negative value turns them off.
	keepAliveInterval time.Duration
	memory            answerMemory
	// maxRequestBytes limits the bytes of requests in flight to one upstream; zero means
	// no limit.
	maxRequestBytes int64

	mu    sync.Mutex
	pools map[string]*pool
}

var _ port.Upstreams = (*Client)(nil)

// New returns a client without connections.
func New(clock port.Clock) *Client {
	c := &Client{clock: clock, keepAliveInterval: tcpKeepAlive, pools: make(map[string]*pool)}
	c.LimitAnswerMemory(DefaultAnswerMemory)
	return c
}

// LimitAnswerMemory sets the limit, in bytes, of the memory of all answers that are being
// read or not delivered yet. The first 64 KB of each answer and the rest are limited apart,
// to this size each. Answers that are being read keep what they have reserved.
func (c *Client) LimitAnswerMemory(bytes int64) { c.memory.limit.Store(bytes) }

// LimitRequestBytes limits the bytes of the requests (Exchange) in flight to each upstream.
// Requests of at most smallRequestBytes do not count, and a larger one than the limit is
// sent alone. It must be called before the first request.
func (c *Client) LimitRequestBytes(bytes int64) { c.maxRequestBytes = bytes }

// NewWithoutTCPKeepAlive returns a client whose connections send no TCP keep-alive
// probes. It is for owners that close idle connections themselves and set a
// deadline for every request. Turning on the probes takes a third of the system
// calls of a new connection.
func NewWithoutTCPKeepAlive(clock port.Clock) *Client {
	c := New(clock)
	c.keepAliveInterval = -1
	return c
}

// Close closes all idle connections. A connection in use is closed when its attempt
// ends.
func (c *Client) Close() {
	c.Retain(nil)
}

// Retain closes the pools of all addresses that are not in keep.
func (c *Client) Retain(keep map[string]bool) {
	c.mu.Lock()
	var drop []*pool
	for address, p := range c.pools {
		if !keep[address] {
			drop = append(drop, p)
			delete(c.pools, address)
		}
	}
	c.mu.Unlock()
	for _, p := range drop {
		p.close()
	}
}

// Warm opens up to n connections in the background, before requests need them. It
// stays within the limit of the address's pool, which every attempt sets. If there is
// no pool yet, the limit of the new pool is n.
func (c *Client) Warm(address string, n int) {
	c.poolOrNew(address, n).warm(n)
}

// CloseIdle closes the connections that have been idle for longer than the given
// time.
func (c *Client) CloseIdle(idle time.Duration) {
	before := c.clock.Now().Add(-idle)
	c.mu.Lock()
	pools := slices.Collect(maps.Values(c.pools))
	c.mu.Unlock()
	for _, p := range pools {
		p.closeIdle(before)
	}
}

// OpenConnections returns the number of connections to the address, including
// those being opened.
func (c *Client) OpenConnections(address string) int {
	c.mu.Lock()
	p := c.pools[address]
	c.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.openConnections()
}

// TotalConnections returns the number of connections to all upstreams.
func (c *Client) TotalConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, p := range c.pools {
		total += p.openConnections()
	}
	return total
}

// poolOrNew returns the pool of an address without changing its limit. If there is
// none, it creates one with the given limit.
func (c *Client) poolOrNew(address string, limit int) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = newPool(address, max(1, limit), c.keepAliveInterval, &c.memory)
		if c.maxRequestBytes > 0 {
			p.requestBytes = semaphore.NewWeighted(c.maxRequestBytes)
			p.maxRequestBytes = c.maxRequestBytes
		}
		c.pools[address] = p
	}
	return p
}

// resizedPool returns the pool of an address after setting its limit.
func (c *Client) resizedPool(address string, limit int) *pool {
	p := c.poolOrNew(address, limit)
	p.resize(max(1, limit))
	return p
}

// Execute implements port.Upstreams. It sends the request of the attempt at most
// once.
func (c *Client) Execute(ctx context.Context, call port.UpstreamCall) port.UpstreamReply {
	reply := c.execute(ctx, call)
	if reply.Code != result.AnswerMismatch {
		reply.Attempt, reply.Snapshot, reply.Shard = call.Attempt, call.Snapshot, call.Shard
	}
	return reply
}

func (c *Client) execute(ctx context.Context, call port.UpstreamCall) port.UpstreamReply {
	p := c.resizedPool(call.Address, call.MaxConnections)
	if err := p.acquire(ctx, call.Deadline, nil); err != nil {
		return notSentReply(c.stopReason(ctx, call.Deadline))
	}
	defer p.requestSemaphore.Release()

	remaining := call.Deadline.Sub(c.clock.Now()) - answerTransitTime
	if remaining < time.Millisecond {
		return port.UpstreamReply{Code: result.DeadlineExceeded, Ran: model.NotRun}
	}
	request, err := encodeExecuteRequest(p.address, call, remaining)
	if err != nil {
		return port.UpstreamReply{Code: result.BadRequest, Ran: model.NotRun}
	}
	a := p.roundTrip(ctx, ctx, call.Deadline, message{text: request, maxBodyBytes: MaxAnswerBytes})
	defer a.release()
	if a.err != nil {
		return classifyFailure(c.stopReason(ctx, call.Deadline), a)
	}
	return parseAnswer(call, a.body)
}

// Status implements port.Upstreams. It reads the health endpoint and then the load
// endpoint, over connections of the address's pool. If the limit allows no further
// request, it fails at once, so that it never delays a waiting attempt. It also
// closes the pool's connections that have been idle for longer than idleTimeout.
func (c *Client) Status(ctx context.Context, address string) (port.UpstreamStatus, error) {
	deadline := c.clock.Now().Add(statusTimeout)
	p := c.poolOrNew(address, 1)
	if !p.requestSemaphore.TryAcquire() {
		return port.UpstreamStatus{}, result.Errorf(result.ConnectionLimit, "all connections to %s are in use", address)
	}
	defer p.requestSemaphore.Release()
	health, err := p.get(ctx, deadline, healthPath)
	if err != nil {
		return port.UpstreamStatus{}, err
	}
	load, err := p.get(ctx, deadline, loadPath)
	if err != nil {
		return port.UpstreamStatus{}, err
	}
	p.closeIdle(c.clock.Now().Add(-idleTimeout))
	return parseStatus(health, load)
}

func (p *pool) get(ctx context.Context, deadline time.Time, path string) ([]byte, error) {
	request, err := encodeHTTPRequest(http.MethodGet, p.address, path, nil)
	if err != nil {
		return nil, result.Wrap(result.Internal, err)
	}
	a := p.roundTrip(ctx, ctx, deadline, message{text: request, maxBodyBytes: maxStatusBytes})
	defer a.release()
	if a.err != nil {
		return nil, result.Wrap(result.ConnectFailed, a.err)
	}
	if a.status != http.StatusOK {
		return nil, result.Errorf(result.UpstreamFailed, "%s answered status %d", path, a.status)
	}
	return a.body, nil
}

// stopReason returns why an attempt must stop (cancellation or its deadline), or nil
// if it may continue. The deadline is set on the connection and not on ctx, because
// creating a context with a deadline for each attempt took a quarter of all allocated
// memory.
func (c *Client) stopReason(ctx context.Context, deadline time.Time) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !c.clock.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// classifyFailure returns the reply to an attempt without a complete answer. reason
// is the result of stopReason.
func classifyFailure(reason error, a answer) port.UpstreamReply {
	switch {
	case !a.sent:
		return notSentReply(reason)
	case errors.Is(a.err, ErrAnswerTooLarge):
		return port.UpstreamReply{Code: result.UpstreamFailed}
	case errors.Is(reason, context.Canceled):
		return port.UpstreamReply{Code: result.CancelledWhileRun}
	case reason != nil || errors.Is(a.err, os.ErrDeadlineExceeded):
		return port.UpstreamReply{Code: result.NoAnswerInTime}
	default:
		return port.UpstreamReply{Code: result.UpstreamLost, ConnectionBroken: true}
	}
}

// notSentReply returns the reply to an attempt of which no byte was written. reason
// is the result of stopReason.
func notSentReply(reason error) port.UpstreamReply {
	reply := port.UpstreamReply{Code: result.ConnectFailed, Ran: model.NotRun}
	switch {
	case errors.Is(reason, context.Canceled):
		reply.Code = result.Cancelled
	case reason != nil:
		reply.Code = result.DeadlineExceeded
	}
	return reply
}
