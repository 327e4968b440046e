package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

// Request is a caller's request with its whole body.
type Request struct {
	// ID is the caller's name for this attempt of its request.
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	// Head is the request line with the headers that are passed on, in the form
	// that upstreams read.
	Head []byte
	Body []byte
	// CallerTimeout is how long the caller waits, counted from Arrived; zero if it did
	// not say.
	CallerTimeout time.Duration
	Arrived       time.Time
}

// fingerprint identifies what the request asks for.
func (r *Request) fingerprint() model.Fingerprint {
	return quarantine.Fingerprint(r.Method+" "+r.Host, r.Target, r.Body)
}

// Answer is what a caller gets.
type Answer struct {
	Code result.Code
	// Ran is NotRun only if no upstream ran the request or will run it.
	Ran model.RunState
	// RetryAfter is when the caller may send again, with NotRun.
	RetryAfter time.Duration
	// Reply is an upstream's own answer, passed on unchanged.
	Reply *Reply
	// Merged is the answer to a query over shards.
	Merged *Merged
}

// Merged is the combination of the parts of a query.
type Merged struct {
	Body []byte
	// Signatures are those of the parts that are included.
	Signatures   []string
	MissingParts int
}

// Call is one attempt on one upstream.
type Call struct {
	Upstream directory.Upstream
	Request  *Request
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
	// SendContext ends when the answer is no longer needed. A request that is not sent
	// by then is dropped; one that is sent goes on.
	SendContext context.Context
	// MaxConnections is the number of connections that this instance may hold to
	// the upstream.
	MaxConnections int
	// ShardQuery is true for an attempt on a shard of a query.
	ShardQuery bool
}

// Reply is the outcome of a call.
type Reply struct {
	Status          fanout.Status
	UpstreamOutcome balancer.Outcome
	HTTPStatus      int
	Header          http.Header
	Body            []byte
	Signature       string
	// Detail explains an outcome without an answer, for logs.
	Detail string
	// ConnectionBroken is true when the connection ended while the request was in flight,
	// which may mean that the upstream crashed.
	ConnectionBroken bool
	// MismatchedAnswers counts answers to other requests that were dropped.
	MismatchedAnswers int
}

// Upstreams sends requests to upstreams.
type Upstreams interface {
	// Send runs one attempt. Cancelling ctx cancels it at the upstream.
	Send(ctx context.Context, c Call) Reply
	// RefusesConnections reports whether new connections to the address are refused.
	RefusesConnections(ctx context.Context, address string) bool
	// Retain closes the connections to all other addresses.
	Retain(addresses map[string]bool)
	// CloseIdle closes the connections that have had no request for a time.
	CloseIdle(idle time.Duration)
}

// Decoder translates published keys.
type Decoder interface {
	// Config decodes the change of the configuration; ok is false for other keys.
	Config(c feed.Change) (config routing.Config, ok bool, err error)
	// Upstream decodes the entry of an upstream and its id. For a removal only
	// the id is set.
	Upstream(c feed.Change) (u directory.Upstream, ok bool, err error)
}

// Ports connect a gateway with everything outside it.
type Ports struct {
	Clock      port.Clock
	Upstreams  Upstreams
	Decoder    Decoder
	Store      port.Store
	FeedPeers  port.FeedPeers
	QueryPeers port.QueryPeers
	Control    port.Control
	Log        logrus.FieldLogger
	Metrics    *metrics.Metrics
}
