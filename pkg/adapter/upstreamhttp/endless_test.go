package upstreamhttp

import (
	"bufio"
	"errors"
	"net"
	"strconv"
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
			var err error
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
			must.Zero(t, client.memory.usual.Load())
			must.Zero(t, client.memory.long.Load())
		})
	}
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestAnswerMemoryIsShared guards against many upstreams that send long answers at the
// same time and together exceed the memory of the process: a query over 135 shards read
// up to 4 MB from each. Usual answers must still be read.
func TestAnswerMemoryIsShared(t *testing.T) {
	const answers = 10
	client := New(port.SystemClock{})
	client.LimitAnswerMemory(answers * usualAnswerBytes)
	var held []*reservation
	total := int64(0)
	for range answers - 1 {
		r := &reservation{memory: &client.memory}
		_, err := r.readAll(endless{}, 4<<20)
		must.ErrorIs(t, err, ErrAnswerTooLarge)
		total += r.bytes
		held = append(held, r)
	}
	must.LessEq(t, client.memory.limit.Load()+answers*usualAnswerBytes, total)
	usual := &reservation{memory: &client.memory}
	body, err := usual.readAll(strings.NewReader(strings.Repeat("x", 20<<10)), 4<<20)
	must.NoError(t, err)
	must.SliceLen(t, 20<<10, body)
	for _, r := range append(held, usual) {
		r.release()
	}
	must.Zero(t, client.memory.usual.Load())
	must.Zero(t, client.memory.long.Load())
}

// TestUsualAnswersAreLimited guards against answers of usual size to so many callers at
// once that together they exceed the memory of the process.
func TestUsualAnswersAreLimited(t *testing.T) {
	var memory answerMemory
	memory.limit.Store(2 * usualAnswerBytes)
	var held [3]reservation
	for i := range held {
		held[i].memory = &memory
		must.Eq(t, i < 2, held[i].grow(usualAnswerBytes))
	}
	held[0].release()
	must.True(t, held[2].grow(usualAnswerBytes))
}

// TestReadAllLimits guards against a body that is cut, or that exceeds its limit or the
// reserved memory, at any size.
func TestReadAllLimits(t *testing.T) {
	for _, n := range []int{0, 1, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1, 100_000, 1 << 20} {
		want := strings.Repeat("x", n)
		var memory answerMemory
		memory.limit.Store(8 << 20)
		r := reservation{memory: &memory}
		body, err := r.readAll(strings.NewReader(want), int64(n))
		must.NoError(t, err)
		must.Eq(t, want, string(body))
		must.LessEq(t, r.bytes, int64(cap(body)))
		r.release()
		if n > 0 {
			_, err = r.readAll(strings.NewReader(want), int64(n-1))
			must.ErrorIs(t, err, ErrAnswerTooLarge)
			r.release()
		}
		must.Zero(t, memory.usual.Load()+memory.long.Load())
	}
}

// TestAnswerMemoryUntilReleased guards against answers that wait for slow callers and take
// memory that no limit counts: an instance with 284 MB held 1,244 MB.
func TestAnswerMemoryUntilReleased(t *testing.T) {
	body := strings.Repeat("x", 200<<10)
	for name, head := range map[string]string{
		"with length": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"chunked":     "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n32000\r\n" + body + "\r\n0\r\n\r\n",
	} {
		address, _ := startEndlessServer(t, head, "", 0)
		client := newClient(t)
		client.LimitAnswerMemory(600 << 10)
		exchange := func() Response {
			return client.Exchange(t.Context(), Exchange{
				Address: address, MaxConnections: 8, Deadline: time.Now().Add(5 * time.Second),
				Message: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), Method: "GET", MaxAnswerBytes: 4 << 20,
			})
		}
		var held []Response
		for range 20 {
			r := exchange()
			if r.Err != nil {
				must.ErrorIs(t, r.Err, ErrAnswerTooLarge)
				break
			}
			must.Eq(t, body, string(r.Body))
			held = append(held, r)
		}
		must.Between(t, 1, len(held), 4, must.Sprint(name))
		for _, r := range held {
			r.Release()
		}
		must.Zero(t, client.memory.usual.Load()+client.memory.long.Load())
		r := exchange()
		must.NoError(t, r.Err)
		r.Release()
	}
}
