// Package peergrpc carries data messages between instances over gRPC.
package peergrpc

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/wire"
)

const (
	// maxMessageBytes is the size limit of a message, which may hold the results of up
	// to 32 shards of a group.
	maxMessageBytes = 64 << 20
	// keepaliveInterval is the time between gRPC keep-alive pings, and
	// keepaliveTimeout the time to wait for the answer to one. The pings find
	// connections that a network partition has cut without closing them. The failure
	// detector notices the partition earlier; the pings only free the connections'
	// resources.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 5 * time.Second
)

// Server serves data messages of other instances.
type Server struct {
	wire.UnimplementedPeerServer
	handler port.PeerHandler
	clock   port.Clock
	grpc    *grpc.Server
}

// NewServer returns a server that passes messages to handler.
func NewServer(handler port.PeerHandler, clock port.Clock) *Server {
	s := &Server{handler: handler, clock: clock}
	s.grpc = grpc.NewServer(append(serverOptions(), grpc.MaxRecvMsgSize(maxMessageBytes))...)
	wire.RegisterPeerServer(s.grpc, s)
	return s
}

// serverOptions returns the options that Server and GatewayServer share.
func serverOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTimeout, PermitWithoutStream: true}),
	}
}

// Serve blocks until the listener fails or the server is stopped.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// GracefulStop finishes calls in progress and stops.
func (s *Server) GracefulStop() { s.grpc.GracefulStop() }

// Stop closes all connections at once.
func (s *Server) Stop() { s.grpc.Stop() }

// RunGroup implements wire.PeerServer.
func (s *Server) RunGroup(ctx context.Context, w *wire.RunGroupRequest) (*wire.RunGroupReply, error) {
	req, err := fromWireGroup(s.clock.Now(), w)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return toWireAnswer(s.handler.HandleRunGroup(ctx, req)), nil
}

// SubmitOrder implements wire.PeerServer.
func (s *Server) SubmitOrder(ctx context.Context, w *wire.SubmitOrderRequest) (*wire.SubmitOrderReply, error) {
	sub := fromWireOrder(s.clock.Now(), w)
	return toWireOrderAnswer(s.handler.HandleSubmitOrder(ctx, model.BootID(w.GetTargetBoot()), sub)), nil
}

// FetchDocuments implements wire.PeerServer.
func (s *Server) FetchDocuments(ctx context.Context, w *wire.FetchDocumentsRequest) (*wire.FetchDocumentsReply, error) {
	reply := &wire.FetchDocumentsReply{}
	for _, d := range s.handler.HandleFetchDocuments(ctx, fromWireVersions(w.GetHave())) {
		reply.Documents = append(reply.Documents, &wire.Document{Service: d.Service, Content: d.Content})
	}
	return reply, nil
}
