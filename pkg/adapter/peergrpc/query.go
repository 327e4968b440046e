package peergrpc

import (
	"context"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/wire"
)

// RunQuery implements wire.PeerServer.
func (s *GatewayServer) RunQuery(ctx context.Context, w *wire.RunQueryRequest) (*wire.RunQueryReply, error) {
	a := s.handler.HandleRunQuery(ctx, port.PeerQuery{
		ID: w.GetId(), Method: w.GetMethod(), Host: w.GetHost(), Target: w.GetTarget(), Head: w.GetHead(), Body: w.GetBody(),
		Wait:          time.Duration(w.GetWaitUs()) * time.Microsecond,
		Spent:         time.Duration(w.GetSpentUs()) * time.Microsecond,
		ReturnDelay:   time.Duration(w.GetWayUs()) * time.Microsecond,
		ConfigVersion: w.GetConfigVersion(),
	})
	return &wire.RunQueryReply{
		Declined: a.Declined, Reason: a.Reason, Code: int32(a.Code), RunState: int32(a.Ran), RetryAfterUs: a.RetryAfter.Microseconds(),
		Body: a.Body, Signatures: a.Signatures, Missing: int32(a.Missing), Active: int32(a.Active),
	}, nil
}

// RunQuery implements port.QueryPeers.
func (c *Client) RunQuery(ctx context.Context, to model.InstanceID, q port.PeerQuery) (port.PeerAnswer, error) {
	reply, err := callWithConnectTimeout(ctx, c, to, min(q.ConnectTimeout, connectTimeout), func(peer wire.PeerClient) (*wire.RunQueryReply, error) {
		return peer.RunQuery(ctx, &wire.RunQueryRequest{
			Id: q.ID, Method: q.Method, Host: q.Host, Target: q.Target, Head: q.Head, Body: q.Body,
			WaitUs: q.Wait.Microseconds(), SpentUs: q.Spent.Microseconds(), WayUs: q.ReturnDelay.Microseconds(), ConfigVersion: q.ConfigVersion,
		})
	})
	if err != nil {
		return port.PeerAnswer{}, err
	}
	return port.PeerAnswer{
		Declined: reply.GetDeclined(), Reason: reply.GetReason(), Code: result.Code(reply.GetCode()), Ran: model.RunState(reply.GetRunState()),
		RetryAfter: time.Duration(reply.GetRetryAfterUs()) * time.Microsecond,
		Body:       reply.GetBody(), Signatures: reply.GetSignatures(), Missing: int(reply.GetMissing()), Active: int(reply.GetActive()),
	}, nil
}

// Connect implements port.QueryPeers.
func (c *Client) Connect(to model.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The error is ignored: a closed client needs no connection, and an invalid
	// address is reported by the first call.
	if conn, err := c.connLocked(to); err == nil {
		conn.Connect()
	}
}
