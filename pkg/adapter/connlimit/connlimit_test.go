package connlimit

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	limit = 100 * time.Millisecond
	// readTimeout is the time after which the test stops reading. The server must
	// close a connection over a limit earlier.
	readTimeout = 2 * time.Second
)

// startServer starts a server whose connections are tracked and regularly checked
// against l. The server takes longer to answer a request than the limits allow for a
// header or an idle connection.
func startServer(t *testing.T, l Limits) string {
	t.Helper()
	tracker := New()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * limit)
	}))
	server.Config.ConnState = tracker.ConnState
	server.Listener = tracker.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(limit / 10):
				tracker.CloseExceeding(l)
			}
		}
	}()
	return server.Listener.Addr().String()
}

// sendAndReadAll opens a connection and writes a text. It returns what the server
// sends until the connection ends or readTimeout has passed, and the time that this
// takes.
func sendAndReadAll(t *testing.T, address, text string) (string, time.Duration) {
	t.Helper()
	// The clock starts before the dial, because the limits count from the accept, which
	// may come before the dial returns.
	start := time.Now()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(start.Add(readTimeout)))
	// The error is ignored, because the server's close resets the connection if the
	// server has not read everything.
	got, _ := io.ReadAll(conn)
	return string(got), time.Since(start)
}

// TestLimits guards against callers that keep connections open for ever, and against
// closing a connection while its request takes long to be served.
func TestLimits(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		text             string
		limits           Limits
		minTime, maxTime time.Duration
		answered         bool
	}{
		"no request":  {"", Limits{Idle: limit}, limit, readTimeout, false},
		"half header": {request[:20], Limits{Header: limit}, limit, readTimeout, false},
		"slow answer": {request, Limits{Header: limit, Idle: limit}, 4 * limit, readTimeout, true},
		"no limits":   {request[:20], Limits{}, readTimeout, 2 * readTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, elapsed := sendAndReadAll(t, startServer(t, c.limits), c.text)
			must.Eq(t, c.answered, len(got) > 0)
			must.Between(t, c.minTime, elapsed, c.maxTime)
		})
	}
}
