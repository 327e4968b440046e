package upstreamhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRequestBytesInFlight guards against an instance that sends an upstream more bytes at
// once than its limit, against small requests that wait behind large ones, and against a
// request above the limit that is never sent.
func TestRequestBytesInFlight(t *testing.T) {
	const body = 20 << 10
	var inFlight, peak, small atomic.Int64
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if n < smallRequestBytes {
			small.Add(1)
			return
		}
		sum := inFlight.Add(n)
		for old := peak.Load(); sum > old && !peak.CompareAndSwap(old, sum); old = peak.Load() {
		}
		<-release
		inFlight.Add(-n)
		_, _ = fmt.Fprint(w, n)
	}))
	defer s.Close()
	c := newClient(t)
	c.LimitRequestBytes(3 * body)
	send := func(size int, timeout time.Duration) Response {
		b := bytes.Repeat([]byte("x"), size)
		head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
		return c.Exchange(t.Context(), Exchange{
			Address: s.Listener.Addr().String(), MaxConnections: 50, Deadline: time.Now().Add(timeout),
			Message: []byte(head), Body: b, Method: http.MethodPost, MaxAnswerBytes: 100,
		})
	}
	var waited atomic.Int64
	var wg sync.WaitGroup
	for range 7 {
		wg.Go(func() {
			r := send(body, ampleTimeout)
			must.NoError(t, r.Err)
			must.Eq(t, fmt.Sprint(body), string(r.Body))
			if r.WaitedForBytes {
				waited.Add(1)
			}
			r.Release()
		})
	}
	waitFor(t, func() bool { return inFlight.Load() == 2*body })
	r := send(1000, ampleTimeout)
	must.NoError(t, r.Err)
	must.Eq(t, 1, small.Load())
	late := send(body, 20*time.Millisecond)
	must.ErrorIs(t, late.Err, context.DeadlineExceeded)
	must.False(t, late.Sent)
	close(release)
	wg.Wait()
	must.Eq(t, 2*body, peak.Load())
	must.GreaterEq(t, 5, waited.Load())
	above := send(5*body, ampleTimeout)
	must.NoError(t, above.Err)
	must.Eq(t, fmt.Sprint(5*body), string(above.Body))
	above.Release()
}

// TestWaitForBytesEndsWithPool guards against a request that waits until its deadline for the
// bytes of others at an upstream that must get no requests any more.
func TestWaitForBytesEndsWithPool(t *testing.T) {
	const body = 20 << 10
	release := make(chan struct{})
	var received, withdrawn atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received.Store(true)
		<-release
	}))
	defer s.Close()
	defer close(release)
	c := newClient(t)
	c.LimitRequestBytes(body)
	send := func() Response {
		return c.Exchange(t.Context(), Exchange{
			Address: s.Listener.Addr().String(), MaxConnections: 50, Deadline: time.Now().Add(ampleTimeout), Method: http.MethodPost,
			Message: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", body), Body: make([]byte, body),
			MaySend: func() bool { return !withdrawn.Load() },
		})
	}
	go send()
	waitFor(t, received.Load)
	waiting := make(chan Response)
	go func() { waiting <- send() }()
	time.Sleep(50 * time.Millisecond)
	withdrawn.Store(true)
	start := time.Now()
	c.Retain(nil)
	r := <-waiting
	must.Error(t, r.Err)
	must.False(t, r.Sent)
	must.True(t, r.WaitedForBytes)
	must.Less(t, 10*time.Second, time.Since(start))
}
