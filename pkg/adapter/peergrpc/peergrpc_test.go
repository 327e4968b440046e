package peergrpc

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// fixedClock returns one time, so that relative deadlines compare exactly.
type fixedClock struct{ port.SystemClock }

var epoch = time.Unix(1_700_000_000, 0)

func (fixedClock) Now() time.Time { return epoch }

// echoHandler answers with what it received.
type echoHandler struct {
	group model.GroupRequest
	order port.OrderSubmission
	boot  model.BootID
	have  []port.DocumentVersion
	reply model.GroupAnswer
}

func (h *echoHandler) HandleRunGroup(_ context.Context, r model.GroupRequest) model.GroupAnswer {
	h.group = r
	return h.reply
}

func (h *echoHandler) HandleSubmitOrder(_ context.Context, boot model.BootID, o port.OrderSubmission) port.OrderAnswer {
	h.boot, h.order = boot, o
	return port.OrderAnswer{
		Code: result.OK, Ran: model.Ran, Result: json.RawMessage(`1`), Snapshot: "v1",
		Replayed: true, RetryAfter: time.Second, Detail: "d", NextTicket: "t2",
	}
}

func (h *echoHandler) HandleFetchDocuments(_ context.Context, have []port.DocumentVersion) []port.RawDocument {
	h.have = have
	return []port.RawDocument{{Service: "s", Content: []byte("{}")}}
}

func serve(t *testing.T, h port.PeerHandler) (*Client, model.InstanceID) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewServer(h, fixedClock{})
	go func() { _ = server.Serve(l) }()
	client := NewClient(fixedClock{})
	t.Cleanup(func() {
		client.Close()
		server.Stop()
	})
	return client, model.InstanceID(l.Addr().String())
}

// TestMessagesSurviveTheWire guards against fields that are lost or changed
// between instances, and against a deadline that does not shrink by hop.
func TestMessagesSurviveTheWire(t *testing.T) {
	h := &echoHandler{reply: model.GroupAnswer{
		ID: model.AttemptID{1}, Code: result.OK, Snapshot: "v1", RetryAfter: time.Second, QueueDelay: time.Millisecond,
		Outcomes: []model.ShardOutcome{
			{Shard: "a", Code: result.OK, Ran: model.Ran, Result: json.RawMessage(`{"n":1}`)},
			{Shard: "b", Code: result.UpstreamShed, Ran: model.NotRun},
		},
	}}
	client, id := serve(t, h)
	req := model.GroupRequest{
		ID: model.AttemptID{1, 2, 3}, Group: model.GroupKey{Service: "s", Index: 2}, Revision: 7, Operation: "o",
		Priority: "p", Caller: "c", Payload: json.RawMessage(`{}`), Fingerprint: 99, Snapshot: "v1",
		Shards: []model.ShardID{"a", "b"}, LeastShards: 1, Deadline: epoch.Add(time.Second),
		NonIdempotent: true, OrderKey: "k", TargetBoot: 5,
	}
	answer, err := client.RunGroup(t.Context(), id, req)
	must.NoError(t, err)
	must.Eq(t, h.reply, answer)
	req.Deadline = req.Deadline.Add(-hopMargin)
	must.Eq(t, req, h.group)

	sub := port.OrderSubmission{
		Ticket: "t", Service: "s", Operation: "o", Priority: "p", Caller: "c",
		Payload: json.RawMessage(`[]`), Shard: "a", Deadline: epoch.Add(time.Second),
	}
	outcome, err := client.SubmitOrder(t.Context(), id, 11, sub)
	must.NoError(t, err)
	must.Eq(t, 11, h.boot)
	must.True(t, outcome.Replayed)
	must.Eq(t, "t2", outcome.NextTicket)
	must.Eq(t, "v1", outcome.Snapshot)
	sub.Deadline = sub.Deadline.Add(-hopMargin)
	must.Eq(t, sub, h.order)

	docs, err := client.FetchDocuments(t.Context(), id, []port.DocumentVersion{{Service: "s", Revision: 3, Digest: 4}})
	must.NoError(t, err)
	must.Eq(t, []port.DocumentVersion{{Service: "s", Revision: 3, Digest: 4}}, h.have)
	must.Len(t, 1, docs)
}

// TestUnreachablePeerGotNothing guards against a lost message that is reported
// as unreachable, after which an order would be sent again.
func TestUnreachablePeerGotNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	id := model.InstanceID(l.Addr().String())
	must.NoError(t, l.Close())
	client := NewClient(port.SystemClock{})
	defer client.Close()
	_, err = client.RunGroup(t.Context(), id, model.GroupRequest{})
	must.Eq(t, result.PeerUnreachable, result.CodeOf(err))
}

// blockingHandler ends the connection while a request runs.
type blockingHandler struct {
	echoHandler
	started chan struct{}
}

func (h *blockingHandler) HandleRunGroup(ctx context.Context, _ model.GroupRequest) model.GroupAnswer {
	close(h.started)
	<-ctx.Done()
	return model.GroupAnswer{}
}

// TestLostPeerIsInDoubt guards against "not run" for a request that the peer
// had received.
func TestLostPeerIsInDoubt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	h := &blockingHandler{started: make(chan struct{})}
	server := NewServer(h, port.SystemClock{})
	go func() { _ = server.Serve(l) }()
	client := NewClient(port.SystemClock{})
	defer client.Close()
	go func() {
		<-h.started
		server.Stop()
	}()
	_, err = client.RunGroup(t.Context(), model.InstanceID(l.Addr().String()), model.GroupRequest{Deadline: time.Now().Add(time.Minute)})
	must.Eq(t, result.PeerLost, result.CodeOf(err))
}
