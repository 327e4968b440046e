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

// peerConn is a connection to a peer. Client.mu guards its fields.
type peerConn struct {
	*grpc.ClientConn
	// calls is the number of calls in progress.
	calls int
	// completedCalls is the number of calls that ended for another reason than
	// cancellation or their deadline. The peer answered them, or they failed, for
	// example because the connection broke.
	completedCalls uint64
}

// call waits until the connection to a peer is established and then sends a message.
// An error before the message is sent carries result.PeerUnreachable and means that
// the peer received nothing. An error after that carries result.PeerLost.
func call[T any](ctx context.Context, c *Client, to model.InstanceID, send func(wire.PeerClient) (T, error)) (T, error) {
	return callWithConnectTimeout(ctx, c, to, connectTimeout, send)
}

// callWithConnectTimeout is call with a given limit on the time until the connection
// is established.
func callWithConnectTimeout[T any](ctx context.Context, c *Client, to model.InstanceID, connectLimit time.Duration, send func(wire.PeerClient) (T, error)) (T, error) {
	var zero T
	conn, completedBefore, err := c.acquire(to)
	if err != nil {
		return zero, err
	}
	if err := conn.waitReady(ctx, to, connectLimit); err != nil {
		c.endUnsentCall(to, conn)
		return zero, err
	}
	reply, err := send(wire.NewPeerClient(conn))
	c.endCall(to, conn, completedBefore, err)
	if err != nil {
		return zero, result.Wrap(result.PeerLost, err)
	}
	return reply, nil
}

// endUnsentCall ends a call whose message was not sent because the connection was
// not established.
func (c *Client) endUnsentCall(id model.InstanceID, conn *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(id, conn, false)
}

// endCall ends a call whose message was sent. If the call was cancelled or reached
// its deadline, and no other call on the connection has completed since it began, the
// connection may be stalled: after a network partition the kernel sends lost data
// again only after about as long as the partition lasted, although the failure
// detector's pings already succeed. New calls then use another connection.
func (c *Client) endCall(id model.InstanceID, conn *peerConn, completedBefore uint64, err error) {
	code := status.Code(err)
	unanswered := code == codes.Canceled || code == codes.DeadlineExceeded
	c.mu.Lock()
	defer c.mu.Unlock()
	if !unanswered {
		conn.completedCalls++
	}
	c.release(id, conn, unanswered && conn.completedCalls == completedBefore)
}

// release counts a call as ended and retires the connection if it is stalled. A
// retired connection is closed only after its last call, because closing it earlier
// would leave the outcome of an order that was sent on it unknown. The caller holds
// the lock.
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
