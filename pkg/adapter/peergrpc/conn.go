package peergrpc

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/wire"
)

// peerConn is a connection to a peer. The client's lock guards its fields.
type peerConn struct {
	*grpc.ClientConn
	// calls is the number of calls in progress.
	calls int
	// answers counts the calls that the peer answered.
	answers uint64
}

// call sends a message once a connection stands. An error without an answer
// after that carries result.PeerLost.
func call[T any](ctx context.Context, c *Client, to model.InstanceID, send func(wire.PeerClient) (T, error)) (T, error) {
	return callWithin(ctx, c, to, connectTimeout, send)
}

// callWithin is call with its own bound on the time until a connection stands.
func callWithin[T any](ctx context.Context, c *Client, to model.InstanceID, within time.Duration, send func(wire.PeerClient) (T, error)) (T, error) {
	var none T
	conn, before, err := c.acquire(to)
	if err != nil {
		return none, err
	}
	if err := conn.ready(ctx, to, within); err != nil {
		c.notSent(to, conn)
		return none, err
	}
	reply, err := send(wire.NewPeerClient(conn))
	c.finished(to, conn, before, err)
	if err != nil {
		return none, result.Wrap(result.PeerLost, err)
	}
	return reply, nil
}

// notSent ends a call for which there was no connection.
func (c *Client) notSent(id model.InstanceID, conn *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(id, conn, false)
}

// finished ends a call. If it was given up and the peer answered nothing on the
// connection since its start, the connection may be stalled: after a partition
// the kernel sends lost data again only after about as long as the partition
// lasted, while pings already succeed. New calls then use another connection.
func (c *Client) finished(id model.InstanceID, conn *peerConn, before uint64, err error) {
	code := status.Code(err)
	gaveUp := code == codes.Canceled || code == codes.DeadlineExceeded
	c.mu.Lock()
	defer c.mu.Unlock()
	if !gaveUp {
		conn.answers++
	}
	c.release(id, conn, gaveUp && conn.answers == before)
}

// release ends a call and retires the connection if it is stalled. A retired
// connection is closed after its last call, because an order that is cut off
// would have an unknown outcome. The caller holds the lock.
func (c *Client) release(id model.InstanceID, conn *peerConn, stalled bool) {
	conn.calls--
	if stalled && c.conns[id] == conn {
		delete(c.conns, id)
		c.retired[conn] = true
	}
	if c.retired[conn] && conn.calls == 0 {
		delete(c.retired, conn)
		_ = conn.Close()
	}
}
