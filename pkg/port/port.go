// Package port defines the interfaces between an instance and everything
// outside it. Adapters implement them for production; tests implement them
// with small fakes.
package port

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Clock supplies the time and timers.
type Clock interface {
	Now() time.Time
	// AfterFunc runs f on its own goroutine after d. Timers may fire late.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending AfterFunc call.
type Timer interface {
	// Stop prevents the call if it has not started and reports whether it did.
	Stop() bool
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc wraps time.AfterFunc.
func (SystemClock) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// UpstreamCall is one attempt on one upstream.
type UpstreamCall struct {
	Attempt   model.AttemptID
	Upstream  string
	Address   string
	Service   string
	Operation string
	Snapshot  model.SnapshotID
	Shard     model.ShardID
	Payload   json.RawMessage
	// OrderKey is set for non-idempotent requests.
	OrderKey string
	Deadline time.Time
	// MaxConnections is the number of connections that this instance may hold
	// to the upstream.
	MaxConnections int
}

// UpstreamReply is the outcome of an attempt. An adapter never returns NotRun
// unless the request surely did not and will not run.
type UpstreamReply struct {
	Code     result.Code
	Ran      model.RunState
	Attempt  model.AttemptID
	Snapshot model.SnapshotID
	Shard    model.ShardID
	Result   json.RawMessage
	// ConnectionBroken is true when the connection ended while the attempt
	// was in flight, which may mean that the upstream crashed.
	ConnectionBroken bool
	// Draining is true when the upstream said that it is leaving.
	Draining bool
}

// UpstreamStatus is what an upstream's health and load endpoints say. It may
// lag or mislead, so it is only a hint.
type UpstreamStatus struct {
	Healthy   bool
	Draining  bool
	InFlight  int
	Slots     int
	Snapshots []model.SnapshotID
}

// Upstreams reaches upstreams.
type Upstreams interface {
	// Execute runs one attempt. Cancelling ctx cancels it at the upstream.
	Execute(ctx context.Context, call UpstreamCall) UpstreamReply
	// Status reads the health and load endpoints.
	Status(ctx context.Context, address string) (UpstreamStatus, error)
	// Warm opens up to n connections ahead of need.
	Warm(address string, n int)
	// Retain closes the connections to all other addresses.
	Retain(keep map[string]bool)
}

// RawDocument is a service document as the platform holds it.
type RawDocument struct {
	Service string
	Content []byte
}

// DocumentBatch is the result of a configuration read.
type DocumentBatch struct {
	// Version is the platform's version up to which documents were returned;
	// it is passed to the next read.
	Version   uint64
	Documents []RawDocument
}

// ListedInstance is an entry of the platform's instance list.
type ListedInstance struct {
	ID             model.InstanceID
	ControlAddress string
	DataCentre     model.DataCentre
	Leaving        bool
}

// ListedUpstream is an upstream's entry in the platform's list.
type ListedUpstream struct {
	Address string
	Leaving bool
}

// InstanceList is the platform's list of live and leaving instances and
// upstreams. It lags.
type InstanceList struct {
	Instances []ListedInstance
	Upstreams []ListedUpstream
}

// Platform reads the platform's services. Nothing can be written there.
type Platform interface {
	// ReadDocuments returns documents changed after version since; with a
	// positive wait it blocks until there is one or wait has passed. A since
	// of zero returns all.
	ReadDocuments(ctx context.Context, since uint64, wait time.Duration) (DocumentBatch, error)
	ReadInstances(ctx context.Context) (InstanceList, error)
}

// DocumentVersion identifies a document's revision and content.
type DocumentVersion struct {
	Service  string
	Revision uint64
	// Digest is the xxhash of the document's bytes.
	Digest uint64
}

// OrderSubmission is an order with its ticket.
type OrderSubmission struct {
	Ticket    string
	Service   string
	Operation string
	Priority  string
	Caller    model.CallerID
	Payload   json.RawMessage
	Shard     model.ShardID
	Deadline  time.Time
}

// OrderAnswer is the outcome of an order.
type OrderAnswer struct {
	Code       result.Code
	Ran        model.RunState
	Result     json.RawMessage
	Snapshot   model.SnapshotID
	Replayed   bool
	RetryAfter time.Duration
	// NextTicket can start the order after "not run". The ticket that was
	// refused cannot.
	NextTicket string
	Detail     string
}

// Peers sends data messages to other instances. An error with a code in the
// 3xxx range means that the peer surely did not receive the request.
type Peers interface {
	RunGroup(ctx context.Context, to model.InstanceID, req model.GroupRequest) (model.GroupAnswer, error)
	SubmitOrder(ctx context.Context, to model.InstanceID, boot model.BootID, o OrderSubmission) (OrderAnswer, error)
	// FetchDocuments sends what the local instance has and returns documents
	// of which the peer has a higher revision.
	FetchDocuments(ctx context.Context, to model.InstanceID, have []DocumentVersion) ([]RawDocument, error)
}

// PeerHandler serves data messages from other instances.
type PeerHandler interface {
	HandleRunGroup(ctx context.Context, req model.GroupRequest) model.GroupAnswer
	HandleSubmitOrder(ctx context.Context, boot model.BootID, o OrderSubmission) OrderAnswer
	HandleFetchDocuments(ctx context.Context, have []DocumentVersion) []RawDocument
}

// Control sends control datagrams to other instances. Delivery is not
// guaranteed, and datagrams may be lost, duplicated or reordered.
type Control interface {
	Send(address string, datagram []byte)
}

// ControlHandler receives control datagrams.
type ControlHandler interface {
	HandleDatagram(from string, datagram []byte)
}
