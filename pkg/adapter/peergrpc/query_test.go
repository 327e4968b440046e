package peergrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// queryHandler records the last query and returns a fixed answer.
type queryHandler struct {
	got    port.PeerQuery
	answer port.PeerAnswer
}

func (h *queryHandler) HandleRunQuery(_ context.Context, q port.PeerQuery) port.PeerAnswer {
	h.got = q
	return h.answer
}

func (*queryHandler) HandleFetchMembers(digest uint64) []model.InstanceID {
	if digest == 7 {
		return nil
	}
	return []model.InstanceID{"10.0.0.1:1", "10.0.0.2:1"}
}

func (*queryHandler) HandleFetchChanges(context.Context, feed.Position, time.Duration) (feed.Delta, time.Duration, bool) {
	return feed.Delta{}, 0, false
}

// TestQueryFieldsArePreserved guards against a field of a delegated query, or of its
// answer, that is lost between the instances.
func TestQueryFieldsArePreserved(t *testing.T) {
	h := &queryHandler{answer: port.PeerAnswer{
		Declined: true, Reason: "r", Code: result.PartialAnswer, Ran: model.Ran, RetryAfter: time.Second, Body: []byte("b"),
		Signatures: []string{"s1", "s2"}, Missing: 3, Active: 4,
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewGatewayServer(h)
	go func() { _ = server.Serve(l) }()
	client := NewClient(port.SystemClock{})
	t.Cleanup(func() { client.Close(); server.Stop() })
	sent := port.PeerQuery{
		ID: "i", Method: "GET", Host: "h", Target: "/t?q", Head: []byte("head"), Body: []byte("body"),
		Wait: time.Second, Spent: time.Millisecond, ReturnDelay: 2 * time.Millisecond, ConnectTimeout: time.Second, ConfigVersion: 7,
	}
	to := model.InstanceID(l.Addr().String())
	client.Connect(to)
	answer, err := client.RunQuery(t.Context(), to, sent)
	must.NoError(t, err)
	must.Eq(t, h.answer, answer)
	for digest, want := range map[uint64]int{7: 0, 8: 2} {
		members, err := client.FetchMembers(t.Context(), to, digest)
		must.NoError(t, err)
		must.SliceLen(t, want, members)
	}
	// The time that the sender waits for a connection is not sent.
	sent.ConnectTimeout = 0
	must.Eq(t, sent, h.got)
}

// TestQueryConnectTimeout guards against a delegated query that waits so long for a
// connection to an unresponsive instance, for example one without power, that no time
// is left to run it elsewhere. It could still run elsewhere, because nothing was
// sent.
func TestQueryConnectTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	client := NewClient(port.SystemClock{})
	t.Cleanup(client.Close)
	start := time.Now()
	_, err = client.RunQuery(t.Context(), model.InstanceID(l.Addr().String()), port.PeerQuery{ConnectTimeout: 20 * time.Millisecond})
	must.Eq(t, result.PeerUnreachable, result.CodeOf(err))
	must.Less(t, connectTimeout, time.Since(start))
}
