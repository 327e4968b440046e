package upstreamhttp

import (
	"context"
	"net/http"
	"time"
)

// Exchange is one request to an upstream in its own HTTP form.
type Exchange struct {
	Address string
	// MaxConnections bounds the connections of this process to the address.
	MaxConnections int
	Deadline       time.Time
	// WaitContext ends the wait for a connection; nil means that only the deadline
	// does. Once the request is sent it has no effect.
	WaitContext context.Context
	// Message is the whole encoded request.
	Message []byte
	Method  string
	// MaxAnswerBytes bounds the body of the answer.
	MaxAnswerBytes int64
	// MatchesRequest reports whether a response belongs to this request. Others are
	// dropped.
	MatchesRequest func(http.Header) bool
}

// Response is the outcome of an exchange.
type Response struct {
	Status int
	Header http.Header
	// Body is complete when Err is nil.
	Body []byte
	// Sent is true when a byte of the request may have left this process.
	Sent bool
	// MismatchedAnswers counts the dropped answers to other requests.
	MismatchedAnswers int
	Err     error
}

// Exchange sends the request at most once. Cancelling ctx closes the connection,
// which cancels the request at the upstream.
func (c *Client) Exchange(ctx context.Context, e Exchange) Response {
	p := c.pool(e.Address, e.MaxConnections)
	wait := ctx
	if e.WaitContext != nil {
		wait = e.WaitContext
	}
	if err := p.acquire(wait, e.Deadline); err != nil {
		return Response{Err: err}
	}
	defer p.requests.Release()
	a := p.roundTrip(ctx, wait, e.Deadline, message{text: e.Message, method: e.Method, limit: e.MaxAnswerBytes, mine: e.MatchesRequest})
	return Response{Status: a.status, Header: a.header, Body: a.body, Sent: a.sent, MismatchedAnswers: a.foreign, Err: a.err}
}
