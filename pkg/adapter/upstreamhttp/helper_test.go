package upstreamhttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// ampleTimeout is so long that no test waits for its end.
const ampleTimeout = 5 * time.Minute

func newCall(address string, n byte) port.UpstreamCall {
	return port.UpstreamCall{
		Attempt: model.AttemptID{n}, Address: address, Service: "s", Operation: "op", Snapshot: "v1", Shard: "s1",
		Payload: json.RawMessage(`{}`), Deadline: time.Now().Add(ampleTimeout), MaxConnections: 3,
	}
}

// TestMain guards against goroutines and connections that outlive the client.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T) *Client {
	c := New(port.SystemClock{})
	t.Cleanup(c.Close)
	return c
}

func startUpstream(t *testing.T, change func(*upstream.Behaviour)) *upstream.Upstream {
	b := upstream.DefaultBehaviour()
	b.AcceptCostMS = 0
	b.Service = map[string]upstream.ServiceTime{"": {MedianMS: 0}}
	change(&b)
	u, err := upstream.Start("u", "127.0.0.1:0", b, upstream.NewLog(), 1)
	must.NoError(t, err)
	t.Cleanup(u.Close)
	return u
}

// scriptedServer is a server that decides for each request, by its number among the
// requests of all connections, whether to answer it and whether to keep the
// connection open. It signals accepted and closed connections and the numbers of
// received requests.
type scriptedServer struct {
	address  string
	accepted chan struct{}
	received chan int
	closed   chan struct{}
}

func startScriptedServer(t *testing.T, script func(n int) (respond, keep bool)) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedServer{
		address:  l.Addr().String(),
		accepted: make(chan struct{}, 100),
		received: make(chan int, 100),
		closed:   make(chan struct{}, 100),
	}
	var mu sync.Mutex
	count := 0
	serve := func(c net.Conn) {
		defer func() { s.closed <- struct{}{} }()
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			mu.Lock()
			count++
			n := count
			mu.Unlock()
			s.received <- n
			respond, keep := script(n)
			if respond {
				writeAnswer(c, body)
			}
			if !keep {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go serve(c)
		}
	}()
	return s
}

func writeAnswer(w io.Writer, request []byte) {
	var req executeRequest
	_ = json.Unmarshal(request, &req)
	body, _ := json.Marshal(executeAnswer{
		Attempt: req.Attempt, Snapshot: req.Snapshot, Shard: req.Shard,
		State: "ok", Ran: "ran", Result: json.RawMessage("1"),
	})
	resp := http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	_ = resp.Write(w)
}

func waitFor(t *testing.T, condition func() bool) {
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatal("condition not reached")
		case <-time.After(time.Millisecond):
		}
	}
}
