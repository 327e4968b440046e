package peergrpc

import (
	"context"
	"net"
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
	clock port.Clock

	mu     sync.Mutex
	conns  map[model.InstanceID]*grpc.ClientConn
	closed bool
}

// NewClient returns a client without connections.
func NewClient(clock port.Clock) *Client {
	return &Client{clock: clock, conns: make(map[model.InstanceID]*grpc.ClientConn)}
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
}

func (c *Client) conn(id model.InstanceID) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
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
	conn, err := grpc.NewClient("passthrough:///"+string(id),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(backoff),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableRetry(),
		grpc.WithContextDialer(dialTCP),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, result.Wrap(result.PeerUnreachable, err)
	}
	c.conns[id] = conn
	return conn, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// ready returns the peer's client once a connection stands. Its errors carry
// result.PeerUnreachable and mean that nothing was sent.
func (c *Client) ready(ctx context.Context, id model.InstanceID) (wire.PeerClient, error) {
	conn, err := c.conn(id)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return wire.NewPeerClient(conn), nil
		case connectivity.Idle:
			conn.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return nil, result.Errorf(result.PeerUnreachable, "no connection to peer %s: %s", id, state)
		}
		if !conn.WaitForStateChange(ctx, state) {
			return nil, result.Errorf(result.PeerUnreachable, "no connection to peer %s within %s", id, connectTimeout)
		}
	}
}

// RunGroup implements port.Peers.
func (c *Client) RunGroup(ctx context.Context, to model.InstanceID, req model.GroupRequest) (model.GroupAnswer, error) {
	peer, err := c.ready(ctx, to)
	if err != nil {
		return model.GroupAnswer{}, err
	}
	reply, err := peer.RunGroup(ctx, toWireGroup(c.clock.Now(), req))
	if err != nil {
		return model.GroupAnswer{}, result.Wrap(result.PeerLost, err)
	}
	return fromWireAnswer(reply), nil
}

// SubmitOrder implements port.Peers.
func (c *Client) SubmitOrder(ctx context.Context, to model.InstanceID, boot model.BootID, o port.OrderSubmission) (port.OrderAnswer, error) {
	peer, err := c.ready(ctx, to)
	if err != nil {
		return port.OrderAnswer{}, err
	}
	reply, err := peer.SubmitOrder(ctx, toWireOrder(c.clock.Now(), boot, o))
	if err != nil {
		return port.OrderAnswer{}, result.Wrap(result.PeerLost, err)
	}
	return fromWireOrderAnswer(reply), nil
}

// FetchDocuments implements port.Peers.
func (c *Client) FetchDocuments(ctx context.Context, to model.InstanceID, have []port.DocumentVersion) ([]port.RawDocument, error) {
	peer, err := c.ready(ctx, to)
	if err != nil {
		return nil, err
	}
	// Documents compress about 18 times; uncompressed, one fetch per change of
	// the target size exceeds the budget for control.
	request := &wire.FetchDocumentsRequest{Have: toWireVersions(have)}
	reply, err := peer.FetchDocuments(ctx, request, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return nil, result.Wrap(result.PeerLost, err)
	}
	out := make([]port.RawDocument, 0, len(reply.GetDocuments()))
	for _, d := range reply.GetDocuments() {
		out = append(out, port.RawDocument{Service: d.GetService(), Content: d.GetContent()})
	}
	return out, nil
}
