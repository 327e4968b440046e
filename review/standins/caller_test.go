package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is what a caller got for one attempt.
type outcome struct {
	sent    float64
	host    string
	status  int
	served  bool
	gateway string
}

// callers sends requests at a steady rate and keeps their outcomes.
type callers struct {
	rec    *recorder
	client *http.Client
	next   atomic.Int64
	// patience returns how long a caller waits for an answer, at most the timeout that it
	// states; nil means that it waits until then.
	patience func(timeout time.Duration) time.Duration
	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes []outcome
}

func newCallers(rec *recorder) *callers {
	return &callers{rec: rec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request with its own id and records the answer.
func (c *callers) send(gateway, address, host, path string, timeout time.Duration) (id string) {
	id = fmt.Sprintf("9c41d07b%08x", c.next.Add(1))
	o := outcome{sent: c.rec.since(), host: host, gateway: gateway}
	c.rec.printf("caller sends %s GET %s%s to %s", id, host, path, gateway)
	wait := timeout
	if c.patience != nil {
		wait = c.patience(timeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		c.rec.printf("caller gets no answer to %s: %v", id, err)
	} else {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status = resp.StatusCode
		o.served = err == nil && resp.StatusCode == http.StatusOK && (resp.Header.Get("X-Part-Stamps") != "" || resp.Header.Get("X-Server-Stamp") != "" && string(body) == "answer to "+id+"\n")
		c.rec.printf("caller gets %d for %s (stamp %q, body %q)", resp.StatusCode, id, resp.Header.Get("X-Server-Stamp"), body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	return id
}

// run sends requests to the gateways in turn, one each interval, until the end.
func (c *callers) run(gateways []*gatewayProcess, host, path string, timeout, interval time.Duration, end <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		g := gateways[i%len(gateways)]
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(g.name, g.callerAddress(), host, path, timeout)
		}()
	}
}

// share returns how many requests to the host were sent in the span, in seconds, and
// which share of them was served.
func (c *callers) share(host string, from, to float64) (sent int, served float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := 0
	for _, o := range c.outcomes {
		if o.host != host || o.sent < from || o.sent >= to {
			continue
		}
		sent++
		if o.served {
			ok++
		}
	}
	if sent == 0 {
		return 0, 0
	}
	return sent, float64(ok) / float64(sent)
}
