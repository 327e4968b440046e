package standins

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sent is one request of a caller and its answer.
type sent struct {
	id, path string
	gateway  int
	at       time.Time
	answered time.Time
	// status is zero if the connection ended without a complete answer.
	status  int
	body    string
	leaving bool
	err     error
}

// sentTimes holds when each request was sent.
var sentTimes sync.Map

func (e *env) sentAt(id string) time.Time {
	t, _ := sentTimes.Load(id)
	at, _ := t.(time.Time)
	return at
}

// caller sends requests to one gateway over connections that it keeps.
type caller struct {
	e       *env
	gateway *gateway
	// name begins the ids of the requests.
	name   string
	client *http.Client
	mu     sync.Mutex
	list   []sent
	next   int
	wg     sync.WaitGroup
}

func (e *env) newCaller(g *gateway) *caller {
	return &caller{e: e, gateway: g, name: fmt.Sprintf("g%d", g.index), client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}}
}

// send sends one request and waits for the answer.
func (c *caller) send(method, host, path string, body []byte, wait time.Duration) sent {
	c.mu.Lock()
	c.next++
	s := sent{id: fmt.Sprintf("%s-%05d", c.name, c.next), path: path, gateway: c.gateway.index}
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+c.gateway.frontAddress()+path, bytes.NewReader(body))
	if err != nil {
		s.err = err
		return s
	}
	req.Host = host
	req.Header.Set("X-Request-Id", s.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	s.at = time.Now()
	sentTimes.Store(s.id, s.at)
	c.e.record.logf("caller sends %s %s to gateway %d, request %s", method, path, c.gateway.index, s.id)
	client := *c.client
	client.Timeout = wait
	resp, err := client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		s.status, s.body, s.leaving = resp.StatusCode, string(text), resp.Header.Get("Server-Leaving") != ""
	}
	if err != nil {
		s.status, s.err = 0, err
	}
	s.answered = time.Now()
	c.e.record.logf("request %s ends: status %d %q %v", s.id, s.status, s.body, s.err)
	c.mu.Lock()
	c.list = append(c.list, s)
	c.mu.Unlock()
	return s
}

// every sends a request at each interval until stop is closed, without waiting for the
// answers.
func (c *caller) every(interval time.Duration, stop <-chan struct{}, send func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			c.wg.Go(send)
		}
	}
}

func (c *caller) answers() []sent {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.list...)
}
