package upstreamhttp

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/port"
)

// startEndlessServer starts a server that answers each request with the text once and
// then with the repeated text until the connection is closed, or with nothing more if
// repeated is empty. pause is the time between two repetitions. closed receives a value
// for each connection that the client has closed.
func startEndlessServer(t *testing.T, text, repeated string, pause time.Duration) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{}, 100)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close(); closed <- struct{}{} }()
		r := bufio.NewReader(c)
		for line := ""; line != "\r\n"; {
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		_, err := c.Write([]byte(text))
		for err == nil && repeated != "" {
			time.Sleep(pause)
			_, err = c.Write([]byte(repeated))
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String(), closed
}

// TestEndlessAnswers guards against an upstream that sends bytes without end, in any part
// of an answer, fast or slowly: the attempt must end with an error by its deadline, with
// bounded memory, and its connection must be closed and not used again. It also guards
// against an answer that breaks off and is taken for a complete one.
func TestEndlessAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 4<<10)
	for name, c := range map[string]struct {
		text, repeated string
		pause          time.Duration
		timedOut       bool
	}{
		"status line":          {text: "HTTP/1.1 200 ", repeated: long},
		"header line":          {text: ok + "X-A: ", repeated: long},
		"header lines":         {text: ok, repeated: "X-A: " + long + "\r\n"},
		"no answer at all":     {repeated: long},
		"informational":        {repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body without length":  {text: ok + "\r\n", repeated: long},
		"chunk size":           {text: chunked, repeated: strings.Repeat("0", 4<<10)},
		"chunk extension":      {text: chunked + "5;", repeated: long},
		"chunks":               {text: chunked, repeated: "1000\r\n" + long + "\r\n"},
		"trailer":              {text: chunked + "0\r\n", repeated: "X-A: " + long + "\r\n"},
		"slow header":          {text: ok + "X-A: ", repeated: "x", pause: 20 * time.Millisecond, timedOut: true},
		"slow body":            {text: ok + "\r\n", repeated: "x", pause: 20 * time.Millisecond, timedOut: true},
		"body too short":       {text: ok + "Content-Length: 9\r\n\r\nhalf"},
		"chunk too short":      {text: chunked + "9\r\nhalf"},
		"chunks without end":   {text: chunked + "4\r\nhalf\r\n"},
		"large stated length":  {text: ok + "Content-Length: 99999999999\r\n\r\n", repeated: long},
		"length beyond memory": {text: ok + "Content-Length: 3000000\r\n\r\n", repeated: long},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, closed := startEndlessServer(t, c.text, c.repeated, c.pause)
			client := newClient(t)
			client.LimitAnswerMemory(1 << 20)
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() {
					r := client.Exchange(t.Context(), Exchange{
						Address: address, MaxConnections: 8, Deadline: time.Now().Add(500 * time.Millisecond),
						Message: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), Method: "GET", MaxAnswerBytes: 4 << 20,
					})
					test.Error(t, r.Err)
					test.True(t, r.Sent)
					var timeout net.Error
					test.Eq(t, c.timedOut, errors.As(r.Err, &timeout) && timeout.Timeout(), test.Sprint(r.Err))
				})
			}
			wg.Wait()
			for range 8 {
				select {
				case <-closed:
				case <-time.After(2 * time.Second):
					t.Fatal("the connection of a broken answer stays open")
				}
			}
			must.Zero(t, client.memory.used.Load())
		})
	}
}

// TestAnswerMemoryIsShared guards against many upstreams that send long answers at the
// same time and together exceed the memory of the process: a query over 135 shards read
// up to 4 MB from each. Usual answers must still be read.
func TestAnswerMemoryIsShared(t *testing.T) {
	client := New(port.SystemClock{})
	client.LimitAnswerMemory(256 << 10)
	var held []*meteredReader
	endless := strings.NewReader(strings.Repeat("x", 4<<20))
	total := 0
	for range 10 {
		r := newMeteredReader(endless, &client.memory)
		buffer := make([]byte, 1<<20)
		for {
			n, err := r.Read(buffer)
			total += n
			if err != nil {
				must.ErrorIs(t, err, errAnswerTooLarge)
				break
			}
		}
		held = append(held, r)
	}
	must.LessEq(t, 256<<10+10*freeAnswerBytes, total)
	for _, r := range held {
		r.release()
	}
	must.Zero(t, client.memory.used.Load())
}
