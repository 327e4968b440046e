// Package upstreamhttp reaches upstreams over HTTP/1.1 with JSON bodies. It
// implements port.Upstreams. docs/interfaces.md describes the interface.
package upstreamhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/internal/semaphore"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
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

	mu    sync.Mutex
	pools map[string]*pool
}

var _ port.Upstreams = (*Client)(nil)

// New returns a client without connections.
func New(clock port.Clock) *Client {
	return &Client{clock: clock, pools: make(map[string]*pool)}
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
		p = newPool(address, max(1, limit))
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
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	reply := c.execute(ctx, call)
	if reply.Code != result.AnswerMismatch {
		reply.Attempt, reply.Snapshot, reply.Shard = call.Attempt, call.Snapshot, call.Shard
	}
	return reply
}

func (c *Client) execute(ctx context.Context, call port.UpstreamCall) port.UpstreamReply {
	p := c.pool(call.Address, call.MaxConnections)
	if err := p.requests.Acquire(ctx, semaphore.Unbounded); err != nil {
		return notSent(ctx)
	}
	defer p.requests.Release()

	left := call.Deadline.Sub(c.clock.Now()) - hopAllowance
	if left < time.Millisecond {
		return port.UpstreamReply{Code: result.DeadlineExceeded, Ran: model.NotRun}
	}
	body, err := encodeRequest(call, left)
	if err != nil {
		return port.UpstreamReply{Code: result.BadRequest, Ran: model.NotRun}
	}
	e, answer, err := p.exchange(ctx, body)
	if err != nil {
		return e.failed(ctx, err)
	}
	if p.overLimit() {
		p.closeIdle()
	}
	return parseAnswer(call, answer)
}

// exchange posts the body. If the chosen connection turned out to be closed
// before any byte was written, it posts once more on another connection.
func (p *pool) exchange(ctx context.Context, body []byte) (*exchange, []byte, error) {
	e := &exchange{pool: p}
	answer, err := e.post(ctx, "/v1/execute", body)
	if err == nil || !e.stale() || ctx.Err() != nil {
		return e, answer, err
	}
	e = &exchange{pool: p}
	answer, err = e.post(ctx, "/v1/execute", body)
	return e, answer, err
}

// Status reads the health and load endpoints over one connection of the
// address's pool. It fails at once when all connections are in use, so that
// it never delays an attempt that waits.
func (c *Client) Status(ctx context.Context, address string) (port.UpstreamStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	p := c.known(address, 1)
	if !p.requests.TryAcquire() {
		return port.UpstreamStatus{}, result.Errorf(result.ConnectionLimit, "all connections to %s are in use", address)
	}
	defer p.requests.Release()
	health, err := p.get(ctx, "/v1/health")
	if err != nil {
		return port.UpstreamStatus{}, err
	}
	load, err := p.get(ctx, "/v1/load")
	if err != nil {
		return port.UpstreamStatus{}, err
	}
	return parseStatus(health, load)
}

func (p *pool) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(withRequest(ctx), http.MethodGet, "http://"+p.address+path, nil)
	if err != nil {
		return nil, result.Wrap(result.Internal, err)
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		p.warm(1)
		return nil, result.Wrap(result.ConnectFailed, err)
	}
	defer resp.Body.Close()
	body, err := readAll(resp.Body, maxStatusBytes)
	if err != nil {
		return nil, result.Wrap(result.UpstreamFailed, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, result.Errorf(result.UpstreamFailed, "%s answered status %d", path, resp.StatusCode)
	}
	return body, nil
}

// exchange is one request on one connection.
type exchange struct {
	pool *pool
	// conn is nil until the transport has chosen a connection.
	conn   *conn
	mark   int64
	reused bool
}

// stale reports whether a failed exchange got a kept connection and surely
// wrote nothing to it. The connection is unusable afterwards.
func (e *exchange) stale() bool {
	return e.conn != nil && (e.reused || e.conn.spare) && !e.conn.seal(e.mark)
}

// onceBody hides the concrete reader type, so that http.NewRequest does not
// set GetBody. Without GetBody the transport cannot send the request again.
type onceBody struct{ io.Reader }

func (e *exchange) post(ctx context.Context, path string, body []byte) ([]byte, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			e.conn, e.mark, e.reused = c, c.mark(), info.Reused
		}
	}}
	ctx = withRequest(httptrace.WithClientTrace(ctx, trace))
	url := "http://" + e.pool.address + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, onceBody{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.pool.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return readAll(resp.Body, MaxAnswerBytes)
}

var errAnswerTooLarge = errors.New("answer exceeds the size limit")

func readAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errAnswerTooLarge
	}
	return body, nil
}

// failed classifies an exchange without a complete answer and replaces its
// connection in the background.
func (e *exchange) failed(ctx context.Context, err error) port.UpstreamReply {
	if e.conn == nil || !e.conn.seal(e.mark) {
		return notSent(ctx)
	}
	e.pool.warm(1)
	switch {
	case errors.Is(err, errAnswerTooLarge):
		return port.UpstreamReply{Code: result.UpstreamFailed}
	case errors.Is(ctx.Err(), context.Canceled):
		return port.UpstreamReply{Code: result.CancelledWhileRun}
	case ctx.Err() != nil:
		return port.UpstreamReply{Code: result.NoAnswerInTime}
	default:
		return port.UpstreamReply{Code: result.UpstreamLost, ConnectionBroken: true}
	}
}

// notSent is the reply to an attempt of which no byte was written.
func notSent(ctx context.Context) port.UpstreamReply {
	reply := port.UpstreamReply{Code: result.ConnectFailed, Ran: model.NotRun}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reply.Code = result.Cancelled
	case ctx.Err() != nil:
		reply.Code = result.DeadlineExceeded
	}
	return reply
}
