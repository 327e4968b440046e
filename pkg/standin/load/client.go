package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	maxAnswerBytes = 64 << 20
	maxIdlePerHost = 1000
)

// Client sends requests over the caller interface of instances, as a caller does.
type Client struct{ http *http.Client }

// NewClient returns a client that keeps connections open for later requests.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdlePerHost,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Query is the request of POST /v1/query.
type Query struct {
	Service       string          `json:"service"`
	Operation     string          `json:"operation"`
	Priority      string          `json:"priority"`
	Caller        string          `json:"caller"`
	DeadlineMS    int             `json:"deadline_ms,omitempty"`
	Shards        []string        `json:"shards,omitempty"`
	LeastCoverage float64         `json:"least_coverage,omitempty"`
	Payload       json.RawMessage `json:"payload"`
}

// Answer is the answer of POST /v1/query.
type Answer struct {
	Code         int           `json:"code"`
	CodeName     string        `json:"code_name"`
	Ran          string        `json:"ran"`
	Snapshot     string        `json:"snapshot"`
	Revision     uint64        `json:"revision"`
	Coverage     Coverage      `json:"coverage"`
	Results      []ShardResult `json:"results"`
	RetryAfterMS int           `json:"retry_after_ms"`
	Detail       string        `json:"detail"`
}

// Coverage says how many of the requested shards an answer has results of.
type Coverage struct {
	Answered int            `json:"answered"`
	Total    int            `json:"total"`
	Missing  []MissingShard `json:"missing"`
}

// MissingShard is a requested shard that the answer has no result of.
type MissingShard struct {
	Shard  string `json:"shard"`
	Code   int    `json:"code"`
	Reason string `json:"reason"`
}

// ShardResult is the result of one shard.
type ShardResult struct {
	Shard  string          `json:"shard"`
	Result json.RawMessage `json:"result"`
}

// TicketRequest is the request of POST /v1/orders/ticket.
type TicketRequest struct {
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Caller    string `json:"caller"`
	Key       string `json:"key"`
	ValidMS   int    `json:"valid_ms,omitempty"`
}

// Ticket is the answer of POST /v1/orders/ticket.
type Ticket struct {
	Ticket      string `json:"ticket"`
	ExpiresInMS int    `json:"expires_in_ms"`
	Code        int    `json:"code"`
	CodeName    string `json:"code_name"`
	Ran         string `json:"ran"`
	Detail      string `json:"detail"`
}

// Order is the request of POST /v1/orders.
type Order struct {
	Ticket     string          `json:"ticket"`
	Service    string          `json:"service"`
	Operation  string          `json:"operation"`
	Priority   string          `json:"priority"`
	Caller     string          `json:"caller"`
	Shard      string          `json:"shard"`
	DeadlineMS int             `json:"deadline_ms,omitempty"`
	Payload    json.RawMessage `json:"payload"`
}

// OrderAnswer is the answer of POST /v1/orders.
type OrderAnswer struct {
	Code         int             `json:"code"`
	CodeName     string          `json:"code_name"`
	Ran          string          `json:"ran"`
	Result       json.RawMessage `json:"result"`
	Snapshot     string          `json:"snapshot"`
	Replayed     bool            `json:"replayed"`
	RetryAfterMS int             `json:"retry_after_ms"`
	NextTicket   string          `json:"next_ticket"`
	Detail       string          `json:"detail"`
}

// Query sends a query to an instance.
func (c *Client) Query(ctx context.Context, address string, q Query) (Answer, error) {
	var a Answer
	err := c.post(ctx, address, "/v1/query", q, &a)
	return a, err
}

// Ticket requests a ticket from an instance.
func (c *Client) Ticket(ctx context.Context, address string, r TicketRequest) (Ticket, error) {
	var t Ticket
	err := c.post(ctx, address, "/v1/orders/ticket", r, &t)
	return t, err
}

// Order submits an order to an instance.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderAnswer, error) {
	var a OrderAnswer
	err := c.post(ctx, address, "/v1/orders", o, &a)
	return a, err
}

// post sends a request and decodes the answer into out. It returns an error when
// there is no response or its body is not JSON. The HTTP status repeats what the
// body says, so post does not act on it.
func (c *Client) post(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Without GetBody, the HTTP transport never sends the request a second time by
	// itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	return nil
}

// callerGrace is the time after its deadline for which a caller still waits for an
// answer.
const callerGrace = 500 * time.Millisecond
