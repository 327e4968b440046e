// Package port defines the interfaces between an instance and the systems
// outside it. Adapters implement them for production, and fakes implement them
// for tests.
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
	// AfterFunc runs f on its own goroutine after d. The call may come late.
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

// UpstreamCall is one attempt to run an operation on one shard of an upstream.
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
	// MaxConnections is the largest number of connections that this instance may
	// keep open to the upstream.
	MaxConnections int
}

// UpstreamReply is the outcome of an attempt. An adapter sets Ran to NotRun only
// if it is certain that the request has not run and will not run.
type UpstreamReply struct {
	Code     result.Code
	Ran      model.RunState
	Attempt  model.AttemptID
	Snapshot model.SnapshotID
	Shard    model.ShardID
	Result   json.RawMessage
	// ConnectionBroken is true if the connection ended while the attempt was in
	// flight, which may mean that the upstream crashed.
	ConnectionBroken bool
	// Draining is true if the upstream reported that it is leaving.
	Draining bool
}

// UpstreamStatus is the report of an upstream's health and load endpoints. It
// may be outdated or wrong, so it is only used as a hint.
type UpstreamStatus struct {
	Healthy   bool
	Draining  bool
	InFlight  int
	Slots     int
	Snapshots []model.SnapshotID
}

// Upstreams sends requests to upstreams and manages the connections to them.
type Upstreams interface {
	// Execute runs one attempt. Cancelling ctx cancels it at the upstream.
	Execute(ctx context.Context, call UpstreamCall) UpstreamReply
	// Status reads the health and load endpoints of an upstream.
	Status(ctx context.Context, address string) (UpstreamStatus, error)
	// Warm opens up to n connections in advance, so that requests do not wait for
	// them.
	Warm(address string, n int)
	// Retain closes the connections to all addresses that are not in keep.
	Retain(keep map[string]bool)
}

// RawDocument is a service document with the bytes that the platform holds.
type RawDocument struct {
	Service string
	Content []byte
}

// DocumentBatch is the result of one read of the service documents.
type DocumentBatch struct {
	// Version is the platform's version up to which Documents includes all
	// changes. The next read passes it as since.
	Version   uint64
	Documents []RawDocument
}

// ListedInstance is an entry of the platform's list of instances.
type ListedInstance struct {
	ID             model.InstanceID
	ControlAddress string
	DataCentre     model.DataCentre
	Leaving        bool
}

// ListedUpstream is an entry of the platform's list of upstreams.
type ListedUpstream struct {
	Address string
	Leaving bool
}

// InstanceList is the platform's list of live and leaving instances and
// upstreams. Changes appear in it with a delay.
type InstanceList struct {
	Instances []ListedInstance
	Upstreams []ListedUpstream
}

// Platform reads documents and the instance list from the platform. Instances
// can't write to the platform.
type Platform interface {
	// ReadDocuments returns the documents that changed after version since, and
	// all documents if since is zero. With a positive wait, it blocks until a
	// document changes or wait has passed.
	ReadDocuments(ctx context.Context, since uint64, wait time.Duration) (DocumentBatch, error)
	ReadInstances(ctx context.Context) (InstanceList, error)
}

// DocumentVersion identifies a revision of a document and its content.
type DocumentVersion struct {
	Service  string
	Revision uint64
	// Digest is the xxhash of the document's bytes.
	Digest uint64
}

// OrderSubmission is an order together with the ticket that permits it to run.
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
	// NextTicket is the ticket with which an order that has not run can be
	// submitted again. The ticket that was refused can no longer start it.
	NextTicket string
	Detail     string
}

// Peers sends requests to other instances. An error with a code in the 3xxx
// range means that the request has certainly not reached the peer.
type Peers interface {
	RunGroup(ctx context.Context, to model.InstanceID, req model.GroupRequest) (model.GroupAnswer, error)
	SubmitOrder(ctx context.Context, to model.InstanceID, boot model.BootID, o OrderSubmission) (OrderAnswer, error)
	// FetchDocuments sends the versions of the documents that the local instance
	// has, and returns the peer's documents that have a higher revision.
	FetchDocuments(ctx context.Context, to model.InstanceID, have []DocumentVersion) ([]RawDocument, error)
}

// PeerHandler answers the requests that other instances send through Peers.
type PeerHandler interface {
	HandleRunGroup(ctx context.Context, req model.GroupRequest) model.GroupAnswer
	HandleSubmitOrder(ctx context.Context, boot model.BootID, o OrderSubmission) OrderAnswer
	HandleFetchDocuments(ctx context.Context, have []DocumentVersion) []RawDocument
}

// Control sends control datagrams to other instances. Datagrams may be lost,
// duplicated or reordered.
type Control interface {
	Send(address string, datagram []byte)
}

// ControlHandler receives control datagrams from other instances.
type ControlHandler interface {
	HandleDatagram(from string, datagram []byte)
}
