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
	// farthest data centre of a region answers in a few milliseconds, so after this
	// time the sender tries another home.
	connectTimeout = 200 * time.Millisecond
	// idleTimeout is the time without messages after which a connection to a peer is
	// closed, so that the number of connections depends on the homes in use and not
	// on the size of the fleet.
	idleTimeout = 5 * time.Minute
	// maxReconnectDelay is the longest delay between two attempts to connect to a
	// peer. It is short, so that a restarted peer is reached again soon.
	maxReconnectDelay = 500 * time.Millisecond
)

// Client sends data messages to other instances (peers). It uses one connection for
// all new messages to a peer.
type Client struct {
	clock  port.Clock
	dialer net.Dialer

	mu    sync.Mutex
	conns map[model.InstanceID]*peerConn
	// retired holds the connections that get no new calls but still have calls in
	// progress.
	retired map[*peerConn]bool
	closed  bool
}

// NewClient returns a client without connections.
func NewClient(clock port.Clock) *Client { return NewClientFrom(clock, netip.Addr{}) }

// NewClientFrom returns a client whose connections have the given source address,
// or one that the system chooses if source is the zero address.
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

// acquire returns the connection to a peer and its completedCalls. It counts a new
// call in progress; release counts that call as ended.
func (c *Client) acquire(id model.InstanceID) (*peerConn, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, err := c.connLocked(id)
	if err != nil {
		return nil, 0, err
	}
	conn.calls++
	return conn, conn.completedCalls, nil
}

// connLocked returns the connection to a peer, and creates it if there is none. The
// caller holds the lock.
func (c *Client) connLocked(id model.InstanceID) (*peerConn, error) {
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
	backoff.Backoff.MaxDelay = maxReconnectDelay
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

// waitReady waits until the connection is established. Its errors carry
// result.PeerUnreachable and mean that nothing was sent.
func (p *peerConn) waitReady(ctx context.Context, id model.InstanceID, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
			return result.Errorf(result.PeerUnreachable, "no connection to peer %s within %s", id, timeout)
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
	// Compression makes documents about 18 times smaller. Without it, fetching a
	// document of the target size once per change would exceed the bandwidth budget
	// of control traffic.
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
