// Package upstreamhttp reaches upstreams over HTTP/1.1 with JSON bodies. It
// implements port.Upstreams. docs/interfaces.md describes the interface.
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

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Paths of the upstream interface.
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
	// hopAllowance is taken from the deadline that the upstream gets, so that
	// its answer "expired" arrives before the attempt is cancelled, which would
	// cost the connection.
	hopAllowance = 2 * time.Millisecond
)

// Client holds a connection pool for each upstream address.
type Client struct {
	clock port.Clock
	// keepAlive is the interval of the probes that find dead connections; negative
	// for none.
	keepAlive time.Duration

	mu    sync.Mutex
	pools map[string]*pool
}

var _ port.Upstreams = (*Client)(nil)

// New returns a client without connections.
func New(clock port.Clock) *Client {
	return &Client{clock: clock, keepAlive: tcpKeepAlive, pools: make(map[string]*pool)}
}

// NewWithoutTCPKeepAlive returns a client whose connections are not probed. Its owner
// closes those that are idle, and all requests have deadlines; setting up the
// probes is a third of the system calls of a new connection.
func NewWithoutTCPKeepAlive(clock port.Clock) *Client {
	c := New(clock)
	c.keepAlive = -1
	return c
}

// Close closes all idle connections. Attempts in flight end on their own.
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

// Warm opens up to n connections ahead of need, in the background, as far as
// the limit of the last attempt allows. Before the first attempt, n is the
// limit.
func (c *Client) Warm(address string, n int) {
	c.known(address, n).warm(n)
}

// CloseIdle closes the connections that have had no request for the given time.
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

// known returns the pool of an address as it is, and a new one with the given
// limit if there is none.
func (c *Client) known(address string, limit int) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = newPool(address, max(1, limit), c.keepAlive)
		c.pools[address] = p
	}
	return p
}

// pool returns the pool of an address with the given limit in force.
func (c *Client) pool(address string, limit int) *pool {
	p := c.known(address, limit)
	p.resize(max(1, limit))
	return p
}

// Execute runs one attempt. It sends the request at most once.
func (c *Client) Execute(ctx context.Context, call port.UpstreamCall) port.UpstreamReply {
	reply := c.execute(ctx, call)
	if reply.Code != result.AnswerMismatch {
		reply.Attempt, reply.Snapshot, reply.Shard = call.Attempt, call.Snapshot, call.Shard
	}
	return reply
}

func (c *Client) execute(ctx context.Context, call port.UpstreamCall) port.UpstreamReply {
	p := c.pool(call.Address, call.MaxConnections)
	if err := p.acquire(ctx, call.Deadline); err != nil {
		return notSent(c.ended(ctx, call.Deadline))
	}
	defer p.requests.Release()

	left := call.Deadline.Sub(c.clock.Now()) - hopAllowance
	if left < time.Millisecond {
		return port.UpstreamReply{Code: result.DeadlineExceeded, Ran: model.NotRun}
	}
	request, err := executeMessage(p.address, call, left)
	if err != nil {
		return port.UpstreamReply{Code: result.BadRequest, Ran: model.NotRun}
	}
	a := p.roundTrip(ctx, ctx, call.Deadline, message{text: request, limit: MaxAnswerBytes})
	if a.err != nil {
		return failed(c.ended(ctx, call.Deadline), a)
	}
	return parseAnswer(call, a.body)
}

// Status reads the health and load endpoints over one connection of the
// address's pool. It fails at once when all connections are in use, so that
// it never delays an attempt that waits.
func (c *Client) Status(ctx context.Context, address string) (port.UpstreamStatus, error) {
	deadline := c.clock.Now().Add(statusTimeout)
	p := c.known(address, 1)
	if !p.requests.TryAcquire() {
		return port.UpstreamStatus{}, result.Errorf(result.ConnectionLimit, "all connections to %s are in use", address)
	}
	defer p.requests.Release()
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
	request, err := requestMessage(http.MethodGet, p.address, path, nil)
	if err != nil {
		return nil, result.Wrap(result.Internal, err)
	}
	a := p.roundTrip(ctx, ctx, deadline, message{text: request, limit: maxStatusBytes})
	if a.err != nil {
		return nil, result.Wrap(result.ConnectFailed, a.err)
	}
	if a.status != http.StatusOK {
		return nil, result.Errorf(result.UpstreamFailed, "%s answered status %d", path, a.status)
	}
	return a.body, nil
}

// ended returns why an attempt may not go on, or nil. Connections have the
// deadline themselves, because a context with a deadline for each attempt took
// a quarter of the memory allocated.
func (c *Client) ended(ctx context.Context, deadline time.Time) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !c.clock.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// failed classifies an attempt without a complete answer. The error says why it
// was ended here, if it was.
func failed(ended error, a answer) port.UpstreamReply {
	switch {
	case !a.sent:
		return notSent(ended)
	case errors.Is(a.err, errAnswerTooLarge):
		return port.UpstreamReply{Code: result.UpstreamFailed}
	case errors.Is(ended, context.Canceled):
		return port.UpstreamReply{Code: result.CancelledWhileRun}
	case ended != nil || errors.Is(a.err, os.ErrDeadlineExceeded):
		return port.UpstreamReply{Code: result.NoAnswerInTime}
	default:
		return port.UpstreamReply{Code: result.UpstreamLost, ConnectionBroken: true}
	}
}

// notSent is the reply to an attempt of which no byte was written.
func notSent(ended error) port.UpstreamReply {
	reply := port.UpstreamReply{Code: result.ConnectFailed, Ran: model.NotRun}
	switch {
	case errors.Is(ended, context.Canceled):
		reply.Code = result.Cancelled
	case ended != nil:
		reply.Code = result.DeadlineExceeded
	}
	return reply
}
