package peergrpc

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/keepalive"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/wire"
)

const (
	// connectTimeout bounds the wait for a connection to a peer. A peer in the
	// farthest data centre of a region answers in a few milliseconds; after
	// this time another home is tried.
	connectTimeout = 200 * time.Millisecond
	// idleTimeout closes connections to peers that no longer get messages, so
	// that their number follows the homes in use and not the fleet.
	idleTimeout = 5 * time.Minute
	// reconnectDelay bounds the time between connection attempts, so that a
	// restarted peer is reached again soon.
	reconnectDelay = 500 * time.Millisecond
)

// Client sends data messages to other instances. It holds one connection per
// peer in use.
type Client struct {
	clock  port.Clock
	dialer net.Dialer

	mu    sync.Mutex
	conns map[model.InstanceID]*peerConn
	// retired are connections that get no new calls and still have some.
	retired map[*peerConn]bool
	closed  bool
}

// NewClient returns a client without connections.
func NewClient(clock port.Clock) *Client { return NewClientFrom(clock, netip.Addr{}) }

// NewClientFrom returns a client that makes its connections from the source
// address, or from one that the system chooses if it is not valid.
func NewClientFrom(clock port.Clock, source netip.Addr) *Client {
	c := &Client{clock: clock, conns: make(map[model.InstanceID]*peerConn), retired: make(map[*peerConn]bool)}
	c.dialer.Timeout = connectTimeout
	if source.IsValid() {
		c.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return c
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, id)
	}
	for conn := range c.retired {
		_ = conn.Close()
	}
	clear(c.retired)
}

// acquire returns the connection to a peer with the number of its answers, and
// counts a call on it that release ends.
func (c *Client) acquire(id model.InstanceID) (*peerConn, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := c.conn(id)
	if err != nil {
		return nil, 0, err
	}
	conn.calls++
	return conn, conn.answers, nil
}

// conn returns the connection to a peer. The caller holds the lock.
func (c *Client) conn(id model.InstanceID) (*peerConn, error) {
	if c.closed {
		return nil, result.Errorf(result.PeerUnreachable, "the peer client is closed")
	}
	if conn := c.conns[id]; conn != nil {
		return conn, nil
	}
	backoff := grpc.ConnectParams{MinConnectTimeout: connectTimeout}
	backoff.Backoff.BaseDelay = connectTimeout / 4
	backoff.Backoff.Multiplier = 1.6
	backoff.Backoff.Jitter = 0.2
	backoff.Backoff.MaxDelay = reconnectDelay
	grpcConn, err := grpc.NewClient("passthrough:///"+string(id),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(backoff),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableRetry(),
		grpc.WithContextDialer(c.dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, result.Wrap(result.PeerUnreachable, err)
	}
	conn := &peerConn{ClientConn: grpcConn}
	c.conns[id] = conn
	return conn, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	return c.dialer.DialContext(ctx, "tcp", address)
}

// ready waits until the connection stands. Its errors carry
// result.PeerUnreachable and mean that nothing was sent.
func (p *peerConn) ready(ctx context.Context, id model.InstanceID, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		state := p.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.Idle:
			p.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return result.Errorf(result.PeerUnreachable, "no connection to peer %s: %s", id, state)
		}
		if !p.WaitForStateChange(ctx, state) {
			return result.Errorf(result.PeerUnreachable, "no connection to peer %s within %s", id, within)
		}
	}
}

// RunGroup implements port.Peers.
func (c *Client) RunGroup(ctx context.Context, to model.InstanceID, req model.GroupRequest) (model.GroupAnswer, error) {
	reply, err := call(ctx, c, to, func(peer wire.PeerClient) (*wire.RunGroupReply, error) {
		return peer.RunGroup(ctx, toWireGroup(c.clock.Now(), req))
	})
	if err != nil {
		return model.GroupAnswer{}, err
	}
	return fromWireAnswer(reply), nil
}

// SubmitOrder implements port.Peers.
func (c *Client) SubmitOrder(ctx context.Context, to model.InstanceID, boot model.BootID, o port.OrderSubmission) (port.OrderAnswer, error) {
	reply, err := call(ctx, c, to, func(peer wire.PeerClient) (*wire.SubmitOrderReply, error) {
		return peer.SubmitOrder(ctx, toWireOrder(c.clock.Now(), boot, o))
	})
	if err != nil {
		return port.OrderAnswer{}, err
	}
	return fromWireOrderAnswer(reply), nil
}

// FetchDocuments implements port.Peers.
func (c *Client) FetchDocuments(ctx context.Context, to model.InstanceID, have []port.DocumentVersion) ([]port.RawDocument, error) {
	// Documents compress about 18 times; uncompressed, one fetch per change of
	// the target size exceeds the budget for control.
	request := &wire.FetchDocumentsRequest{Have: toWireVersions(have)}
	reply, err := call(ctx, c, to, func(peer wire.PeerClient) (*wire.FetchDocumentsReply, error) {
		return peer.FetchDocuments(ctx, request, grpc.UseCompressor(gzip.Name))
	})
	if err != nil {
		return nil, err
	}
	out := make([]port.RawDocument, 0, len(reply.GetDocuments()))
	for _, d := range reply.GetDocuments() {
		out = append(out, port.RawDocument{Service: d.GetService(), Content: d.GetContent()})
	}
	return out, nil
}
