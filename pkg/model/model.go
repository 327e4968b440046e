// Package model defines the identifiers and messages that the other packages
// share. It holds no state, and its functions only convert values.
package model

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sardineturn/sardineturn/pkg/result"
)

// InstanceID identifies an instance by its peer gRPC address, "ip:port". It
// stays the same when the process restarts at the same address.
type InstanceID string

// BootID identifies one process of an instance. Each restart gets another one.
type BootID uint64

// DataCentre names a data centre.
type DataCentre string

// CallerID names a caller. The scheduler shares capacity fairly between the
// callers of one priority.
type CallerID string

// SnapshotID names one version of a service's index.
type SnapshotID string

// ShardID names a shard of a service's index.
type ShardID string

// Fingerprint is a hash of a request's service, operation and payload.
type Fingerprint uint64

// AttemptID is the random id of one attempt or message. Its answer must carry
// the same id.
type AttemptID [16]byte

// String returns the id in hexadecimal.
func (a AttemptID) String() string { return hex.EncodeToString(a[:]) }

// MarshalText implements encoding.TextMarshaler.
func (a AttemptID) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *AttemptID) UnmarshalText(b []byte) error {
	id, err := ParseAttemptID(string(b))
	*a = id
	return err
}

// ParseAttemptID parses the hexadecimal form that String returns.
func ParseAttemptID(s string) (AttemptID, error) {
	var id AttemptID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(id) {
		return id, fmt.Errorf("attempt id %q is not 32 hexadecimal digits", s)
	}
	copy(id[:], b)
	return id, nil
}

// GroupKey names a scheduling group: a set of upstreams of a service that have
// shards in common. Index numbers the groups of the service.
type GroupKey struct {
	Service string
	Index   int
}

// String returns "service/index".
func (g GroupKey) String() string { return fmt.Sprintf("%s/%d", g.Service, g.Index) }

// RunState says whether a request ran on an upstream.
type RunState int

// Run states. NotRun guarantees that the request has not run and will not run
// later. An order can still run later if the caller submits it again with the
// next ticket from its answer.
const (
	RunUnknown RunState = iota
	NotRun
	Ran
)

// String returns the state's name as used in answers.
func (r RunState) String() string {
	switch r {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (r RunState) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *RunState) UnmarshalText(b []byte) error {
	switch string(b) {
	case "not_run":
		*r = NotRun
	case "ran":
		*r = Ran
	case "unknown":
		*r = RunUnknown
	default:
		return fmt.Errorf("unknown run state %q", b)
	}
	return nil
}

// Query is an idempotent request to some or all shards of a service.
type Query struct {
	Service   string
	Operation string
	// Priority is the name of a priority in the service's document.
	Priority string
	Caller   CallerID
	Payload  json.RawMessage
	// Shards are the requested shards; empty means all shards of the snapshot.
	Shards []ShardID
	// LeastCoverage is the smallest fraction of the requested shards, 0 to 1,
	// with which an answer is still useful to the caller. Zero selects the
	// value in the service's document.
	LeastCoverage float64
	Deadline      time.Time
}

// ShardOutcome is the result of one shard, or the reason why it has none.
type ShardOutcome struct {
	Shard ShardID
	// Code is OK if Result is valid; otherwise it says why there is no result.
	Code   result.Code
	Ran    RunState
	Result json.RawMessage
}

// Coverage counts the shards that an answer covers.
type Coverage struct {
	Answered int
	Total    int
	Missing  []MissingShard
}

// MissingShard is a shard without a result, with the reason.
type MissingShard struct {
	Shard  ShardID
	Reason result.Code
}

// Fraction returns the fraction of the requested shards that the answer covers,
// 0 to 1.
func (c Coverage) Fraction() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
}

// Answer is the answer to a query.
type Answer struct {
	Code     result.Code
	Ran      RunState
	Snapshot SnapshotID
	// Revision is the revision of the service's document with which the query
	// was planned.
	Revision uint64
	Coverage Coverage
	Results  []ShardOutcome
	// RetryAfter is the recommended wait before a retry. It is zero if a retry
	// would not help.
	RetryAfter time.Duration
	Detail     string
}

// GroupRequest is a request to the home of a scheduling group to run an operation
// on some of the group's shards. The sender is the entry of a query or the owner of
// an order's ticket.
type GroupRequest struct {
	// ID is unique per query and group, and differs each time that the request
	// is sent.
	ID        AttemptID
	Group     GroupKey
	Revision  uint64
	Operation string
	Priority  string
	Caller    CallerID
	Payload   json.RawMessage
	// Fingerprint is the hash of the service, operation and payload.
	Fingerprint Fingerprint
	Snapshot    SnapshotID
	Shards      []ShardID
	// LeastShards is the smallest number of Shards with a result that makes the
	// group's part of the answer useful. A home refuses the request if it expects
	// fewer results.
	LeastShards int
	Deadline    time.Time
	// NonIdempotent marks an attempt of an order. It has one shard and is never
	// hedged; the home makes a further upstream attempt only if the one before
	// is known not to have run.
	NonIdempotent bool
	// OrderKey is passed to the upstream with an attempt of an order.
	OrderKey string
	// TargetBoot is the boot id of the only home process that may run an attempt
	// of an order.
	TargetBoot BootID
}

// GroupAnswer is a home's answer to a GroupRequest.
type GroupAnswer struct {
	ID AttemptID
	// Code is OK if the home admitted the request; every requested shard then
	// has an outcome. Otherwise it is the reason of the refusal, nothing has run
	// and Outcomes is empty.
	Code       result.Code
	Snapshot   SnapshotID
	Outcomes   []ShardOutcome
	RetryAfter time.Duration
	// QueueDelay is the home's current estimate of the queueing time at the
	// request's priority. Entries use it as a hint when they admit queries.
	QueueDelay time.Duration
}
