package peergrpc

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/wire"
)

// maxChangesWait is the longest time for which FetchChanges waits for a change
// before it replies.
const maxChangesWait = 30 * time.Second

// GatewayHandler answers the requests of other gateways.
type GatewayHandler interface {
	port.FeedHandler
	port.QueryHandler
}

// GatewayServer serves other gateways. It sends them the keys that the platform
// published, and runs queries that they delegate.
type GatewayServer struct {
	wire.UnimplementedPeerServer
	handler GatewayHandler
	grpc    *grpc.Server
	changes changesEncoder
}

// NewGatewayServer returns a server that passes requests to handler.
func NewGatewayServer(handler GatewayHandler) *GatewayServer {
	s := &GatewayServer{handler: handler, grpc: grpc.NewServer(serverOptions()...)}
	wire.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve blocks until the listener fails or the server is stopped.
func (s *GatewayServer) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop closes all connections at once.
func (s *GatewayServer) Stop() { s.grpc.Stop() }

// FetchChanges implements wire.PeerServer.
func (s *GatewayServer) FetchChanges(ctx context.Context, w *wire.FetchChangesRequest) (*wire.FetchChangesReply, error) {
	wait := min(time.Duration(w.GetWaitMs())*time.Millisecond, maxChangesWait)
	after := feed.Position{Era: feed.UnknownEra, Revision: w.GetAfter()}
	if w.Era != nil {
		after.Era = w.GetEra()
	}
	delta, age, ok := s.handler.HandleFetchChanges(ctx, after, wait)
	if !ok {
		return nil, status.Error(codes.Unavailable, "no published keys are known yet")
	}
	reply := &wire.FetchChangesReply{Era: delta.Era, Revision: delta.Revision, Full: delta.Full, Lapsed: delta.Lapsed, AgeMs: age.Milliseconds()}
	if err := s.changes.encode(reply, delta, w.GetAcceptsCompressed()); err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return reply, nil
}

// FetchChanges implements port.FeedPeers.
func (c *Client) FetchChanges(ctx context.Context, to model.InstanceID, after feed.Position, wait time.Duration) (feed.Delta, time.Duration, error) {
	reply, err := call(ctx, c, to, func(peer wire.PeerClient) (*wire.FetchChangesReply, error) {
		return peer.FetchChanges(ctx, &wire.FetchChangesRequest{Era: &after.Era, After: after.Revision, WaitMs: wait.Milliseconds(), AcceptsCompressed: true})
	})
	if err != nil {
		return feed.Delta{}, 0, err
	}
	changes, err := decodeChanges(reply)
	if err != nil {
		return feed.Delta{}, 0, err
	}
	delta := feed.Delta{Changes: changes, Position: feed.Position{Era: reply.GetEra(), Revision: reply.GetRevision()}, Full: reply.GetFull(), Lapsed: reply.GetLapsed()}
	return delta, time.Duration(reply.GetAgeMs()) * time.Millisecond, nil
}

// FetchMembers implements wire.PeerServer.
func (s *GatewayServer) FetchMembers(_ context.Context, w *wire.FetchMembersRequest) (*wire.FetchMembersReply, error) {
	reply := &wire.FetchMembersReply{}
	for _, id := range s.handler.HandleFetchMembers(w.GetDigest()) {
		reply.Ids = append(reply.Ids, string(id))
	}
	return reply, nil
}

// FetchMembers implements port.FeedPeers.
func (c *Client) FetchMembers(ctx context.Context, to model.InstanceID, digest uint64) ([]model.InstanceID, error) {
	reply, err := call(ctx, c, to, func(peer wire.PeerClient) (*wire.FetchMembersReply, error) {
		return peer.FetchMembers(ctx, &wire.FetchMembersRequest{Digest: digest})
	})
	if err != nil {
		return nil, err
	}
	ids := make([]model.InstanceID, 0, len(reply.GetIds()))
	for _, id := range reply.GetIds() {
		ids = append(ids, model.InstanceID(id))
	}
	return ids, nil
}
