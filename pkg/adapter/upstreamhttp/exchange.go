package upstreamhttp

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Exchange is one request to an upstream. The request is already encoded as HTTP.
type Exchange struct {
	Address string
	// MaxConnections limits the number of connections of this process to the address.
	MaxConnections int
	Deadline       time.Time
	// WaitContext ends the wait for a connection. It has no effect once the request
	// is sent. If it is nil, the context that is passed to Client.Exchange also ends
	// the wait.
	WaitContext context.Context
	// Message is the encoded HTTP request up to the body, or the whole one.
	Message []byte
	// Body is the rest of the request. It is sent without being copied, so that the
	// attempts of a query over many shards share it.
	Body []byte
	// Method is the HTTP method of Message; an answer to HEAD has no body.
	Method string
	// MaxAnswerBytes is the size limit of the answer's body.
	MaxAnswerBytes int64
	// MatchesRequest reports whether a response answers this request. Responses to
	// other requests are dropped.
	MatchesRequest func(http.Header) bool
	// MaySend, if set, is called when a connection is available. If it returns false, the
	// request is not sent, and Err is ErrWithdrawn. It also ends the wait for a connection
	// of an address that is no longer retained.
	MaySend func() bool
	// FinalHeader is a header that the upstream puts into final responses only. An
	// informational response (1xx) with it ends the exchange with ErrInvalidStatus. It
	// may be empty.
	FinalHeader string
}

// ErrWithdrawn is the error of an exchange that was not sent because Exchange.MaySend
// returned false.
var ErrWithdrawn = errors.New("the request was withdrawn before it was sent")

// Response is the outcome of an exchange.
type Response struct {
	Status int
	Header http.Header
	// Body is complete when Err is nil.
	Body []byte
	// Sent is true if any byte of the request may have left this process.
	Sent bool
	// MismatchedAnswers is the number of dropped answers, which belonged to other
	// requests.
	MismatchedAnswers int
	// WaitedForBytes is true if the request waited because of the limit of bytes in
	// flight.
	WaitedForBytes bool
	Err            error
	// answer holds the memory that is reserved for Body.
	answer answer
}

// Release ends the reservation of memory for the body. It must be called once, when the
// body is no longer needed.
func (r *Response) Release() { r.answer.release() }

// Exchange sends the request at most once and reads the answer. Cancelling ctx
// closes the connection, which cancels the request at the upstream. The caller must
// release the response.
func (c *Client) Exchange(ctx context.Context, e Exchange) Response {
	p := c.resizedPool(e.Address, e.MaxConnections)
	waitCtx := ctx
	if e.WaitContext != nil {
		waitCtx = e.WaitContext
	}
	// The bytes come first: a request that waits for them must not hold a place that a
	// small request could use.
	release, waited, err := p.acquireBytes(waitCtx, e.Deadline, e.MaySend, int64(len(e.Message)+len(e.Body)))
	if err != nil {
		return Response{WaitedForBytes: waited, Err: err}
	}
	defer release()
	if err := p.acquire(waitCtx, e.Deadline, e.MaySend); err != nil {
		return Response{WaitedForBytes: waited, Err: err}
	}
	defer p.requestSemaphore.Release()
	a := p.roundTrip(ctx, waitCtx, e.Deadline, message{text: e.Message, body: e.Body, method: e.Method, maxBodyBytes: e.MaxAnswerBytes, matchesRequest: e.MatchesRequest, maySend: e.MaySend, finalHeader: e.FinalHeader})
	return Response{Status: a.status, Header: a.header, Body: a.body, Sent: a.sent, MismatchedAnswers: a.mismatched, WaitedForBytes: waited, Err: a.err, answer: a}
}
