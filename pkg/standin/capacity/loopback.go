package capacity

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/pkg/adapter/peergrpc"
	"github.com/sardineturn/sardineturn/pkg/adapter/peerudp"
	"github.com/sardineturn/sardineturn/pkg/adapter/upstreamhttp"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// parallelSenders is the number of goroutines that send messages or calls at the
// same time in the measurements over loopback.
const parallelSenders = 8

// countingListener is a net.Listener that counts the bytes read and written on all
// connections that it accepts.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func listenLoopback() (*countingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: l}, nil
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, listener: l}, nil
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// processorTimePerOperation runs an operation the given number of times on
// parallelSenders goroutines and returns the processor time of this process per
// operation in microseconds.
func processorTimePerOperation(operations int, operation func() error) (float64, error) {
	var wait sync.WaitGroup
	var failed atomic.Value
	var remaining atomic.Int64
	remaining.Store(int64(operations))
	before := processorTime()
	for range parallelSenders {
		wait.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := operation(); err != nil {
					failed.Store(err)
					return
				}
			}
		})
	}
	wait.Wait()
	elapsed := processorTime() - before
	if err, ok := failed.Load().(error); ok {
		return 0, err
	}
	return microseconds(elapsed, operations), nil
}

// peerHandler handles the messages of peers. It answers a group message at once
// with a result for each shard, without a scheduler.
type peerHandler struct{ shardResult []byte }

// HandleRunGroup implements port.PeerHandler.
func (h peerHandler) HandleRunGroup(_ context.Context, req model.GroupRequest) model.GroupAnswer {
	return groupAnswer(req, h.shardResult)
}

// HandleSubmitOrder implements port.PeerHandler.
func (peerHandler) HandleSubmitOrder(context.Context, model.BootID, port.OrderSubmission) port.OrderAnswer {
	return port.OrderAnswer{}
}

// HandleFetchDocuments implements port.PeerHandler.
func (peerHandler) HandleFetchDocuments(context.Context, []port.DocumentVersion) []port.RawDocument {
	return nil
}

// peerServer is a peer's gRPC server on a loopback address, which is also its
// instance id.
type peerServer struct {
	server   *peergrpc.Server
	listener *countingListener
	id       model.InstanceID
}

func startPeer() (*peerServer, error) {
	l, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	p := &peerServer{
		server:   peergrpc.NewServer(peerHandler{shardResult: payload(resultBytes)}, port.SystemClock{}),
		listener: l, id: model.InstanceID(l.Addr().String()),
	}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

func groupRequest(shards int) model.GroupRequest {
	req := model.GroupRequest{
		ID: model.AttemptID{1}, Group: model.GroupKey{Service: serviceName(0)}, Revision: 1, Operation: "lookup", Priority: "high",
		Caller: "caller", Payload: payload(payloadBytes), Snapshot: "2026-12-01", LeastShards: 1, Deadline: time.Now().Add(time.Hour),
	}
	for i := range shards {
		req.Shards = append(req.Shards, model.ShardID(fmt.Sprintf("s%03d", i)))
	}
	return req
}

func measurePeerTransport(o Options) ([]Series, error) {
	messages, err := measurePeerMessages(o)
	if err != nil {
		return nil, err
	}
	connections, err := measurePeerConnections(o)
	return []Series{messages, connections}, err
}

func measurePeerMessages(o Options) (Series, error) {
	s := Series{
		Name: "peer messages", Title: "Peer data messages over gRPC on loopback, one connection, both ends in one process",
		Size: "shards per message", Seed: o.Seed, Repeats: 5,
		Columns: []Column{column("cpu", "us per message, both ends", Linear), column("bytes", "B per message, both directions", Linear)},
	}
	p, err := startPeer()
	if err != nil {
		return s, err
	}
	defer p.server.Stop()
	client := peergrpc.NewClient(port.SystemClock{})
	defer client.Close()
	ctx := context.Background()
	for _, shards := range o.sizes(1, 5, 10, 20, 50, 200) {
		req := groupRequest(shards)
		run := func() error {
			_, err := client.RunGroup(ctx, p.id, req)
			return err
		}
		n := o.count(4000)
		if _, err := processorTimePerOperation(n/4+1, run); err != nil {
			return s, err
		}
		var values []float64
		before := p.listener.bytes.Load()
		for range s.Repeats {
			us, err := processorTimePerOperation(n, run)
			if err != nil {
				return s, err
			}
			values = append(values, us)
		}
		bytes := float64(p.listener.bytes.Load()-before) / float64(n*s.Repeats)
		s.add(float64(shards), median(values), bytes)
	}
	return s, nil
}

// measurePeerConnections measures the memory of idle connections between peers. In
// the first column, each connection has carried one group message of the
// product's client. In the second column, the client is dialBareHTTP2, which uses
// almost no memory, so that the column shows the memory of the server end alone.
func measurePeerConnections(o Options) (Series, error) {
	s := Series{
		Name: "peer connections", Title: "Idle gRPC connections between instances, used once (heap and stacks)",
		Size: "connections", Seed: o.Seed, Repeats: 1,
		Columns: []Column{column("both ends", "KB", Linear), column("server end", "KB", Linear)},
	}
	for _, n := range o.sizes(50, 100, 200, 400, 800) {
		both, err := connectionMemory(n, dialPeer)
		if err != nil {
			return s, err
		}
		server, err := connectionMemory(n, dialBareHTTP2)
		if err != nil {
			return s, err
		}
		s.add(float64(n), both, server)
	}
	return s, nil
}

// connectionMemory opens count connections to a peer server and returns the KB of
// heap and stacks that they use.
func connectionMemory(count int, dial func(*peerServer) (io.Closer, error)) (float64, error) {
	p, err := startPeer()
	if err != nil {
		return 0, err
	}
	defer p.server.Stop()
	before := heapAndStackBytes()
	connections := make([]io.Closer, 0, count)
	for range count {
		c, err := dial(p)
		if err != nil {
			return 0, err
		}
		connections = append(connections, c)
	}
	memory := heapAndStackBytes() - before
	for _, c := range connections {
		_ = c.Close()
	}
	return memory / 1024, nil
}

// peerCloser makes a peergrpc.Client an io.Closer.
type peerCloser struct{ *peergrpc.Client }

// Close implements io.Closer.
func (c peerCloser) Close() error {
	c.Client.Close()
	return nil
}

// dialPeer opens a connection with the product's client and sends one group message
// on it.
func dialPeer(p *peerServer) (io.Closer, error) {
	client := peergrpc.NewClient(port.SystemClock{})
	_, err := client.RunGroup(context.Background(), p.id, groupRequest(10))
	return peerCloser{client}, err
}

// dialBareHTTP2 opens an HTTP/2 connection without a client library: it sends
// the connection preface and an empty SETTINGS frame, and waits for the header
// of the server's SETTINGS frame (9 bytes).
func dialBareHTTP2(p *peerServer) (io.Closer, error) {
	c, err := net.Dial("tcp", string(p.id))
	if err != nil {
		return nil, err
	}
	preface := append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), 0, 0, 0, 4, 0, 0, 0, 0, 0)
	if _, err := c.Write(preface); err != nil {
		return nil, err
	}
	_, err = io.ReadFull(c, make([]byte, 9))
	return c, err
}

// fakeUpstream is a minimal server of the upstream interface. It uses little
// processor time, so that the measured figures are close to those of the client
// alone.
type fakeUpstream struct{ listener *countingListener }

func startFakeUpstream() (*fakeUpstream, error) {
	l, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	u := &fakeUpstream{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u, nil
}

const (
	healthBody = `{"draining":false,"healthy":true}` + "\n"
	loadBody   = `{"in_flight":2,"slots":6,"snapshots":["2026-12-01","2026-12-02"]}` + "\n"
	dateHeader = "Date: Fri, 04 Dec 2026 07:00:00 GMT\r\n"
)

func (u *fakeUpstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	value := payload(resultBytes)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		answer := healthBody
		switch req.URL.Path {
		case "/v1/load":
			answer = loadBody
		case "/v1/execute":
			attempt := body[len(`{"attempt":"`):][:32]
			answer = fmt.Sprintf(`{"attempt":%q,"snapshot":"2026-12-01","shard":"s001","state":"ok","ran":"ran","result":%s}`, attempt, value)
		}
		var out bytes.Buffer
		fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", dateHeader, len(answer), answer)
		if _, err := c.Write(out.Bytes()); err != nil {
			return
		}
	}
}

func measureUpstreamTransport(o Options) ([]Series, error) {
	calls, err := measureUpstreamCalls(o)
	if err != nil {
		return nil, err
	}
	connections, err := measureUpstreamConnections(o)
	return []Series{calls, connections}, err
}

// measureUpstreamCalls measures calls and status reads that are spread over growing
// numbers of upstreams, each with its own connections.
func measureUpstreamCalls(o Options) (Series, error) {
	s := Series{
		Name: "upstream calls", Title: "Upstream calls and status reads over HTTP/1.1 on loopback, with a minimal answering end in the same process",
		Size: "upstreams", Seed: o.Seed, Repeats: 5,
		Columns: []Column{
			column("call cpu", "us per call", Linear), column("call bytes", "B per call", Linear),
			column("status cpu", "us per read", Linear), column("status bytes", "B per read", Linear),
		},
	}
	for _, n := range o.sizes(1, 6, 32, 100) {
		values, err := callCost(n, o.count(3000), s.Repeats)
		if err != nil {
			return s, err
		}
		s.add(float64(n), values...)
	}
	return s, nil
}

// callCost returns, for calls and then for status reads, the processor time in
// microseconds and the bytes on the network, both per operation.
func callCost(upstreams, operations, repeats int) ([]float64, error) {
	fakeUpstreams := make([]*fakeUpstream, upstreams)
	for i := range fakeUpstreams {
		u, err := startFakeUpstream()
		if err != nil {
			return nil, err
		}
		defer u.listener.Close()
		fakeUpstreams[i] = u
	}
	client := upstreamhttp.New(port.SystemClock{})
	defer client.Close()
	var next atomic.Int64
	address := func() string { return fakeUpstreams[int(next.Add(1))%upstreams].listener.Addr().String() }
	ctx := context.Background()
	execute := func() error {
		call := port.UpstreamCall{
			Attempt: model.AttemptID{2}, Address: address(), Service: serviceName(0), Operation: "lookup", Snapshot: "2026-12-01",
			Shard: "s001", Payload: payload(payloadBytes), Deadline: time.Now().Add(time.Minute), MaxConnections: parallelSenders,
		}
		if r := client.Execute(ctx, call); r.Code != result.OK {
			return fmt.Errorf("call: %v", r.Code)
		}
		return nil
	}
	status := func() error {
		_, err := client.Status(ctx, address())
		return err
	}
	bytes := func() (sum int64) {
		for _, u := range fakeUpstreams {
			sum += u.listener.bytes.Load()
		}
		return sum
	}
	var out []float64
	for _, run := range []func() error{execute, status} {
		if _, err := processorTimePerOperation(operations/4+parallelSenders*upstreams, run); err != nil {
			return nil, err
		}
		before := bytes()
		var times []float64
		for range repeats {
			us, err := processorTimePerOperation(operations, run)
			if err != nil {
				return nil, err
			}
			times = append(times, us)
		}
		out = append(out, median(times), float64(bytes()-before)/float64(operations*repeats))
	}
	return out, nil
}

// measureUpstreamConnections measures the memory of idle connections to upstreams,
// each of which has carried one status read. It includes the memory of the
// fakeUpstream end.
func measureUpstreamConnections(o Options) (Series, error) {
	s := Series{
		Name: "upstream connections", Title: "Idle upstream connections, one per upstream, with the minimal answering end (heap and stacks)",
		Size: "connections", Seed: o.Seed, Repeats: 1,
		Columns: []Column{column("memory", "KB", Linear)},
	}
	for _, n := range o.sizes(30, 60, 120, 240) {
		before := heapAndStackBytes()
		client := upstreamhttp.New(port.SystemClock{})
		var fakeUpstreams []*fakeUpstream
		for range n {
			u, err := startFakeUpstream()
			if err != nil {
				return s, err
			}
			fakeUpstreams = append(fakeUpstreams, u)
			if _, err := client.Status(context.Background(), u.listener.Addr().String()); err != nil {
				return s, err
			}
		}
		s.add(float64(n), (heapAndStackBytes()-before)/1024)
		runtime.KeepAlive(client)
		client.Close()
		for _, u := range fakeUpstreams {
			_ = u.listener.Close()
		}
	}
	return s, nil
}

// datagramReceiver sends a value on its channel for each datagram received.
type datagramReceiver struct{ received chan struct{} }

// HandleDatagram implements port.ControlHandler.
func (r datagramReceiver) HandleDatagram(string, []byte) { r.received <- struct{}{} }

// measureDatagrams measures the processor time to send and receive a control
// datagram, without the work of membership on its content.
func measureDatagrams(o Options) ([]Series, error) {
	s := Series{
		Name: "datagrams", Title: "Control datagrams over UDP on loopback, one sent and received",
		Size: "bytes", Seed: o.Seed, Repeats: 5,
		Columns: []Column{column("cpu", "us per datagram", Linear)},
	}
	sender, err := peerudp.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer sender.Close()
	receiver, err := peerudp.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer receiver.Close()
	handler := datagramReceiver{received: make(chan struct{}, 1)}
	receiver.Start(handler)
	for _, size := range o.sizes(64, 128, 512, 1200) {
		datagram := make([]byte, size)
		n := o.count(5000)
		s.add(float64(size), medianOf(s.Repeats, func() []float64 {
			before := processorTime()
			for range n {
				sender.Send(receiver.Address(), datagram)
				<-handler.received
			}
			return []float64{microseconds(processorTime()-before, n)}
		})...)
	}
	return []Series{s}, nil
}
