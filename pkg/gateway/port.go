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

// Request is a request from a caller, with its whole body.
type Request struct {
	// ID is the id that the caller gave to this attempt of its request.
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	// Head is the request line and the headers that are forwarded, in the encoding that
	// upstreams read.
	Head []byte
	Body []byte
	// CallerTimeout is how long the caller waits for the answer, counted from Arrived;
	// zero if the caller did not state it.
	CallerTimeout time.Duration
	Arrived       time.Time
	// memory is reserved for the body; nil if the body does not count towards the limit.
	memory *requestMemory
}

// fingerprint returns a hash of the method, host, path and body, by which a request is
// quarantined. A request that crashes upstreams may come with another query string each
// time.
func (r *Request) fingerprint() model.Fingerprint {
	return quarantine.Fingerprint(r.Method+" "+r.Host, pathOf(r.Target), r.Body)
}

// Answer is the answer to a caller. At most one of Reply and Merged is set.
type Answer struct {
	Code result.Code
	// Ran is NotRun only if no upstream has run or will run the request.
	Ran model.RunState
	// RetryAfter is how long the caller is told to wait before it sends the request
	// again; it is set only with NotRun.
	RetryAfter time.Duration
	// Reply is the answer of the one upstream. Its status, end-to-end headers and body
	// are forwarded unchanged.
	Reply *Reply
	// Merged is the answer to a query over shards.
	Merged *Merged
	// release ends the reservation of memory for Reply; nil if there is none.
	release func()
}

// Release must be called when the answer has been delivered to the caller.
func (a Answer) Release() {
	if a.release != nil {
		a.release()
	}
}

// Merged is the combination of the upstreams' answers to the parts of a query over
// shards.
type Merged struct {
	Body []byte
	// Signatures are the signatures of the answers that Body includes.
	Signatures   []string
	MissingParts int
}

// Call describes one attempt to run a request on an upstream.
type Call struct {
	Upstream directory.Upstream
	Request  *Request
	// Deadline is the time after which the answer is no longer of use.
	Deadline time.Time
	// SendContext ends when the answer is no longer needed. An attempt that has not
	// been sent by then is dropped; an attempt that has been sent continues.
	SendContext context.Context
	// MaxConnections is the number of connections that this instance may hold to
	// the upstream.
	MaxConnections int
	// ShardQuery is true if the attempt is for one part of a query over shards.
	ShardQuery bool
	// MaySend reports whether the request may still be sent to the upstream. It must be
	// called right before the first byte is sent, and if it returns false, when the wait
	// for a connection can end; nil means true. It is safe for concurrent use.
	MaySend func() bool
}

// Reply is the outcome of a Call.
type Reply struct {
	Status          fanout.Status
	UpstreamOutcome balancer.Outcome
	HTTPStatus      int
	Header          http.Header
	Body            []byte
	Signature       string
	// Detail says, for log lines, why there is no successful answer.
	Detail string
	// ConnectionBroken is true if the connection ended while the request was in flight,
	// which may mean that the upstream crashed.
	ConnectionBroken bool
	// RateLimit is how many requests a second the upstream takes from all instances
	// together, as its answer said; zero if it named no limit.
	RateLimit float64
	// InvalidStatus is true if the attempt ended because the upstream sent an answer with
	// an invalid status.
	InvalidStatus bool
	// WaitedForBytes is true if the attempt waited because too many bytes of requests were
	// in flight to the upstream.
	WaitedForBytes bool
	// MismatchedAnswers counts the answers that were dropped because they belonged to
	// other requests.
	MismatchedAnswers int
	// Release, if set, must be called once, when Body is no longer needed. Until then its
	// memory counts towards the limit for answers.
	Release func()
}

// ProbeResult is the outcome of opening a connection to an upstream.
type ProbeResult int

// Outcomes of a probe.
const (
	// ProbeAccepted: the connection was opened.
	ProbeAccepted ProbeResult = iota
	// ProbeRefused: no process listens at the address.
	ProbeRefused
	// ProbeUnanswered: the address did not answer in time, or cannot be reached.
	ProbeUnanswered
	// ProbeReplaced: another process than the upstream answered.
	ProbeReplaced
	// ProbeSkipped: no connection was opened, because the data centre is evacuated.
	ProbeSkipped
)

// String returns the result's name in logs and metrics.
func (r ProbeResult) String() string {
	return [...]string{"accepted", "refused", "unanswered", "replaced", "skipped"}[r]
}

// Health is the outcome of a health check.
type Health struct {
	Probe ProbeResult
	// ColdFor is how much longer the upstream remains slow, if StatesCold says that it
	// stated it.
	ColdFor    time.Duration
	StatesCold bool
}

// Upstreams sends requests to upstreams.
type Upstreams interface {
	// Send runs one attempt. Cancelling ctx cancels it at the upstream.
	Send(ctx context.Context, c Call) Reply
	// Probe opens a connection to the address and closes it.
	Probe(ctx context.Context, address string) ProbeResult
	// CheckHealth requests the path from the upstream over a connection of its own. Any
	// answer of the upstream counts as accepted.
	CheckHealth(ctx context.Context, u directory.Upstream, path string) Health
	// Retain closes the connections to all addresses but the given ones.
	Retain(addresses map[string]bool)
	// CloseIdle closes the connections that have had no request for the given time.
	CloseIdle(idle time.Duration)
}

// Decoder decodes the platform's published keys.
type Decoder interface {
	// Config decodes a change of the configuration; ok is false for any other key.
	Config(c feed.Change) (config routing.Config, ok bool, err error)
	// Evacuation decodes a change of the key that requests the evacuation of a data
	// centre; ok is false for any other key. With an error, dc is set if the key names a
	// data centre, which is then evacuated nevertheless.
	Evacuation(c feed.Change) (dc model.DataCentre, ok bool, err error)
	// Upstream decodes a change of an upstream's registry entry; ok is false for any
	// other key. For a removal only the id is set.
	Upstream(c feed.Change) (u directory.Upstream, ok bool, err error)
}

// Ports are the interfaces through which a gateway reaches everything outside it.
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
