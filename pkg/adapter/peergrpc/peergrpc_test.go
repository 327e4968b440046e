package peergrpc

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// fixedClock always returns the same time. Messages carry the time left until a
// deadline, so that with this clock deadlines can be compared exactly.
type fixedClock struct{ port.SystemClock }

var epoch = time.Unix(1_700_000_000, 0)

func (fixedClock) Now() time.Time { return epoch }

// recordingHandler records what it receives and returns fixed answers.
type recordingHandler struct {
	group model.GroupRequest
	order port.OrderSubmission
	boot  model.BootID
	have  []port.DocumentVersion
	reply model.GroupAnswer
}

func (h *recordingHandler) HandleRunGroup(_ context.Context, r model.GroupRequest) model.GroupAnswer {
	h.group = r
	return h.reply
}

func (h *recordingHandler) HandleSubmitOrder(_ context.Context, boot model.BootID, o port.OrderSubmission) port.OrderAnswer {
	h.boot, h.order = boot, o
	return port.OrderAnswer{
		Code: result.OK, Ran: model.Ran, Result: json.RawMessage(`1`), Snapshot: "v1",
		Replayed: true, RetryAfter: time.Second, Detail: "d", NextTicket: "t2",
	}
}

func (h *recordingHandler) HandleFetchDocuments(_ context.Context, have []port.DocumentVersion) []port.RawDocument {
	h.have = have
	return []port.RawDocument{{Service: "s", Content: []byte("{}")}}
}

func startServer(t *testing.T, h port.PeerHandler) (*Client, model.InstanceID) {
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

// TestMessageFieldsArePreserved guards against fields of messages that are lost or
// changed between instances, and against a deadline that is not reduced by the
// answer's transit time at each hop.
func TestMessageFieldsArePreserved(t *testing.T) {
	h := &recordingHandler{reply: model.GroupAnswer{
		ID: model.AttemptID{1}, Code: result.OK, Snapshot: "v1", RetryAfter: time.Second, QueueDelay: time.Millisecond,
		Outcomes: []model.ShardOutcome{
			{Shard: "a", Code: result.OK, Ran: model.Ran, Result: json.RawMessage(`{"n":1}`)},
			{Shard: "b", Code: result.UpstreamShed, Ran: model.NotRun},
		},
	}}
	client, id := startServer(t, h)
	req := model.GroupRequest{
		ID: model.AttemptID{1, 2, 3}, Group: model.GroupKey{Service: "s", Index: 2}, Revision: 7, Operation: "o",
		Priority: "p", Caller: "c", Payload: json.RawMessage(`{}`), Fingerprint: 99, Snapshot: "v1",
		Shards: []model.ShardID{"a", "b"}, LeastShards: 1, Deadline: epoch.Add(time.Second),
		NonIdempotent: true, OrderKey: "k", TargetBoot: 5,
	}
	answer, err := client.RunGroup(t.Context(), id, req)
	must.NoError(t, err)
	must.Eq(t, h.reply, answer)
	req.Deadline = req.Deadline.Add(-answerTransitTime)
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
	sub.Deadline = sub.Deadline.Add(-answerTransitTime)
	must.Eq(t, sub, h.order)

	docs, err := client.FetchDocuments(t.Context(), id, []port.DocumentVersion{{Service: "s", Revision: 3, Digest: 4}})
	must.NoError(t, err)
	must.Eq(t, []port.DocumentVersion{{Service: "s", Revision: 3, Digest: 4}}, h.have)
	must.Len(t, 1, docs)
}

// TestFailedConnectIsPeerUnreachable guards against a refused connection that is not
// reported as result.PeerUnreachable, the code which says that the peer certainly
// received nothing.
func TestFailedConnectIsPeerUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	id := model.InstanceID(l.Addr().String())
	must.NoError(t, l.Close())
	client := NewClient(port.SystemClock{})
	defer client.Close()
	_, err = client.RunGroup(t.Context(), id, model.GroupRequest{})
	must.Eq(t, result.PeerUnreachable, result.CodeOf(err))
}

// blockingHandler closes started when it receives a group request, and blocks until
// the request's context ends.
type blockingHandler struct {
	recordingHandler
	started chan struct{}
}

func (h *blockingHandler) HandleRunGroup(ctx context.Context, _ model.GroupRequest) model.GroupAnswer {
	close(h.started)
	<-ctx.Done()
	return model.GroupAnswer{}
}

// TestLostConnectionIsPeerLost guards against a request that is reported as not sent
// although the peer had received it before the connection was lost. An order would
// then be sent again.
func TestLostConnectionIsPeerLost(t *testing.T) {
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
	// On a busy machine the connection may take longer than connectTimeout. Then
	// nothing was sent, and the call is repeated until the peer has received it;
	// a second receipt panics in the handler.
	for received := false; !received; {
		_, err = client.RunGroup(t.Context(), model.InstanceID(l.Addr().String()), model.GroupRequest{Deadline: time.Now().Add(time.Minute)})
		select {
		case <-h.started:
			received = true
		default:
			must.Eq(t, result.PeerUnreachable, result.CodeOf(err))
		}
	}
	must.Eq(t, result.PeerLost, result.CodeOf(err))
}

// sourceListener sends the source IP address of each accepted connection on from.
type sourceListener struct {
	net.Listener
	from chan string
}

func (l sourceListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		l.from <- host
	}
	return c, err
}

// TestSourceAddress guards against connections whose source address is not the one in
// the settings. Network rules between instances would refuse them.
func TestSourceAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	from := make(chan string, 1)
	server := NewServer(&recordingHandler{}, port.SystemClock{})
	go func() { _ = server.Serve(sourceListener{l, from}) }()
	defer server.Stop()
	client := NewClientFrom(port.SystemClock{}, netip.MustParseAddr("127.0.0.77"))
	defer client.Close()
	_, err = client.FetchDocuments(t.Context(), model.InstanceID(l.Addr().String()), nil)
	must.NoError(t, err)
	must.Eq(t, "127.0.0.77", <-from)
}

// stallingListener stops delivering the data of its first connection once stalled is
// closed, like a network that has lost packets which the kernel has not sent again
// yet.
type stallingListener struct {
	net.Listener
	stalled chan struct{}
	count   int
}

func (l *stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.count++; l.count > 1 {
		return c, nil
	}
	return &stallingConn{Conn: c, stalled: l.stalled, closed: make(chan struct{})}, nil
}

type stallingConn struct {
	net.Conn
	stalled, closed chan struct{}
	once            sync.Once
}

func (c *stallingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.stalled:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *stallingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestStalledConnectionIsReplaced guards against calls that wait on a connection
// that a network partition has stalled, although the peer can be reached again. The
// kernel sends lost data again only after about as long as the partition lasted.
func TestStalledConnectionIsReplaced(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := &stallingListener{Listener: tcpListener, stalled: make(chan struct{})}
	server := NewServer(&recordingHandler{}, port.SystemClock{})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	client := NewClient(port.SystemClock{})
	defer client.Close()
	id := model.InstanceID(tcpListener.Addr().String())
	_, err = client.FetchDocuments(t.Context(), id, nil)
	must.NoError(t, err)
	close(l.stalled)
	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.FetchDocuments(shortCtx, id, nil)
	must.Eq(t, result.PeerLost, result.CodeOf(err))
	longCtx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = client.FetchDocuments(longCtx, id, nil)
	must.NoError(t, err)
}
