package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Every alikeEvery-th request of each caller is the same as those of the other callers: its
// path is alikePath below the prefix of the route.
const (
	alikeEvery = 5
	alikePath  = "alike"
)

// caller is a stand-in for a customer's program. It sends one request after another
// and reuses its connection until a request fails or either side closes it.
type caller struct {
	ledger   *ledger
	fleet    *fleet
	services *services
	// index numbers the caller and selects its gateway, unless fixedGateway is set.
	index        int
	fixedGateway *gatewayProcess
	random       *rand.Rand
	// rateMilliHz is the request rate in thousandths of a request a second, and
	// abandonPercent the percentage of requests whose connection the caller closes
	// before the answer. Both point to fields of the harness. They are nil for a
	// caller that sends single requests and always waits for the answer.
	rateMilliHz, abandonPercent *atomic.Int64
	stop                        <-chan struct{}

	conn     net.Conn
	reader   *bufio.Reader
	gateway  *gatewayProcess
	connUsed bool
	sent     int
}

func (c *caller) run() {
	defer c.closeConn()
	for {
		pause := time.Duration(c.random.ExpFloat64() * float64(time.Second) * 1000 / float64(c.rateMilliHz.Load()))
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
		c.send(c.newRequest())
	}
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// newRequest returns a random request.
func (c *caller) newRequest() *request {
	c.sent++
	r := &request{id: fmt.Sprintf("%d-%d-%x", c.index, c.sent, c.random.Uint32()), method: http.MethodGet}
	prefix := "/record/"
	switch n := c.random.IntN(100); {
	case n < 55:
		prefix = "/search/"
	case n < 75:
		prefix = "/order/"
		r.method, r.body = http.MethodPost, strings.Repeat("x", 1+c.random.IntN(2000))
	case n < 78:
		prefix = fmt.Sprintf("/extra%d/", c.random.IntN(3))
	}
	c.services.mu.Lock()
	r.route = c.services.routes[prefix]
	c.services.mu.Unlock()
	// The caller also requests routes that are not configured at the moment.
	r.route.Prefix = prefix
	r.target = prefix + strconv.Itoa(c.random.IntN(1000)) + "?n=" + strconv.Itoa(c.sent)
	if r.method == http.MethodGet && c.sent%alikeEvery == 0 {
		r.target = prefix + alikePath
	}
	r.timeBudget = time.Duration(300+c.random.IntN(700)) * time.Millisecond
	return r
}

// connect opens a connection to a gateway unless one is open. It reports whether a
// connection is open.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	if c.gateway = c.fixedGateway; c.gateway == nil {
		c.gateway = c.fleet.pickGateway(c.index)
	}
	conn, err := net.DialTimeout("tcp", c.gateway.callerAddress, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.connUsed = conn, bufio.NewReader(conn), false
	return true
}

// send sends a request, and reads and checks its answer. For a random abandonPercent
// of the requests it closes the connection without reading the answer.
func (c *caller) send(r *request) {
	if !c.connect() {
		return
	}
	r.gateway, r.reusedConn = c.gateway.name, c.connUsed
	c.connUsed = true
	c.ledger.recordRequest(r)
	_ = c.conn.SetDeadline(time.Now().Add(r.timeBudget + 2*time.Second))
	_, err := io.WriteString(c.conn, c.encodeRequest(r))
	c.updateRecord(func() { r.sent = time.Now() })
	if err != nil {
		c.recordFailure(r, err)
		return
	}
	if c.abandonPercent != nil && int64(c.random.IntN(100)) < c.abandonPercent.Load() {
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
		c.closeConn()
		c.updateRecord(func() { r.abandoned = time.Now() })
		return
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		c.recordFailure(r, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.recordFailure(r, err)
		return
	}
	c.updateRecord(func() { r.ended, r.status = time.Now(), resp.StatusCode })
	c.ledger.checkAnswer(r, resp, string(body))
	if resp.Close || c.random.IntN(30) == 0 {
		c.closeConn()
	}
}

// updateRecord calls f, which changes the record of a request, with the ledger locked.
func (c *caller) updateRecord(f func()) {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	f()
}

func (c *caller) recordFailure(r *request, err error) {
	c.updateRecord(func() { r.ended, r.failure = time.Now(), err.Error() })
	c.closeConn()
}

func (c *caller) encodeRequest(r *request) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.target, host, r.id, r.timeBudget.Milliseconds())
	switch {
	case r.method == http.MethodGet:
		return text + "\r\n"
	case c.sent%2 == 0:
		return text + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(r.body), r.body)
	default:
		return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	}
}

// sendCrashingRequest sends a request that crashes the upstream that runs it, each
// time on a new connection. Requests with the same number have the same target.
func (c *caller) sendCrashingRequest(number uint64, silent bool) {
	c.sent++
	mark := crashMark
	if silent {
		mark = silentCrashMark
	}
	r := &request{id: fmt.Sprintf("%s-%d-%d", crashMark, number, c.sent), method: http.MethodGet, target: fmt.Sprintf("/risky/%s-%d", mark, number), timeBudget: 500 * time.Millisecond}
	r.route = routeSpec{Prefix: "/risky/", service: []string{"v"}}
	c.sendOnNewConn(r)
}

func (c *caller) sendOnNewConn(r *request) {
	c.closeConn()
	c.index++
	c.send(r)
}

// sendRiskyQuery sends a query over riskyShards on a new connection: one that crashes all
// upstreams that run it, with another query string each time, or an ordinary one.
func (c *caller) sendRiskyQuery(number uint64, crashes, silent bool) {
	c.sent++
	id, path := crashMark, crashMark
	switch {
	case !crashes:
		id, path = "beside", "beside"
	case silent:
		path = silentCrashMark
	}
	r := &request{id: fmt.Sprintf("%s-%d-q%d", id, number, c.sent), method: http.MethodGet, target: fmt.Sprintf("%s%s-%d?page=%d", riskySearch, path, number, c.sent), timeBudget: 500 * time.Millisecond}
	r.route = routeSpec{Prefix: riskySearch, shards: riskyShards}
	c.sendOnNewConn(r)
}
