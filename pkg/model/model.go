// Package model holds the identifiers and messages that the other packages
// share. It has no behaviour beyond conversions and no state.
package model

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sardineturn/sardineturn/pkg/result"
)

// InstanceID names an instance. It is its peer gRPC address, "ip:port", and
// stays the same when the process restarts in place.
type InstanceID string

// BootID identifies one process run of an instance.
type BootID uint64

// DataCentre names a data centre.
type DataCentre string

// CallerID names a caller, for fairness between callers of one priority.
type CallerID string

// SnapshotID names one version of a service's index.
type SnapshotID string

// ShardID names a shard of a service's index.
type ShardID string

// Fingerprint is a hash of a request's service, operation and payload.
type Fingerprint uint64

// AttemptID is a random id of one attempt; an answer must echo it.
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

// ParseAttemptID parses the hexadecimal form.
func ParseAttemptID(s string) (AttemptID, error) {
	var id AttemptID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(id) {
		return id, fmt.Errorf("attempt id %q is not 32 hexadecimal digits", s)
	}
	copy(id[:], b)
	return id, nil
}

// GroupKey names a scheduling group: the index-th set of upstreams of a
// service that share shards.
type GroupKey struct {
	Service string
	Index   int
}

// String returns "service/index".
func (g GroupKey) String() string { return fmt.Sprintf("%s/%d", g.Service, g.Index) }

// RunState says whether a request ran on an upstream.
type RunState int

// Run states. NotRun is a promise: the request did not run and will not run
// later. An order may run later only with the next ticket of its answer.
const (
	RunUnknown RunState = iota
	NotRun
	Ran
)

// String returns the state as used in answers.
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

// Query is an idempotent request to all or some shards of a service.
type Query struct {
	Service   string
	Operation string
	// Priority is the name of a priority in the service's document.
	Priority string
	Caller   CallerID
	Payload  json.RawMessage
	// Shards are the wanted shards; empty means all shards of the snapshot.
	Shards []ShardID
	// LeastCoverage is the fraction, 0 to 1, below which an answer is of no
	// use to the caller; zero means the document's value.
	LeastCoverage float64
	Deadline      time.Time
}

// ShardOutcome is what one shard contributed to an answer.
type ShardOutcome struct {
	Shard ShardID
	// Code is OK when Result is valid, and the reason otherwise.
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

// MissingShard is a shard without a result, and why.
type MissingShard struct {
	Shard  ShardID
	Reason result.Code
}

// Fraction returns the answered fraction of all wanted shards, 0 to 1.
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
	// Revision is the document revision the query was planned with.
	Revision uint64
	Coverage Coverage
	Results  []ShardOutcome
	// RetryAfter is zero when sending again does not help.
	RetryAfter time.Duration
	Detail     string
}

// GroupRequest asks the home of a scheduling group for some shards.
type GroupRequest struct {
	// ID is unique per query, group and send.
	ID        AttemptID
	Group     GroupKey
	Revision  uint64
	Operation string
	Priority  string
	Caller    CallerID
	Payload   json.RawMessage
	// Fingerprint is the hash of service, operation and payload.
	Fingerprint Fingerprint
	Snapshot    SnapshotID
	Shards      []ShardID
	// LeastShards is the number of Shards below which the group's part is of
	// no use; a home refuses a request that it expects to miss it.
	LeastShards int
	Deadline    time.Time
	// NonIdempotent marks an order attempt: one shard, at most one upstream
	// attempt unless an earlier one surely did not run, no hedge.
	NonIdempotent bool
	// OrderKey is passed to the upstream of an order attempt.
	OrderKey string
	// TargetBoot is the home process that may run an order attempt.
	TargetBoot BootID
}

// GroupAnswer is a home's answer to a GroupRequest.
type GroupAnswer struct {
	ID AttemptID
	// Code is OK when the request was admitted; then every requested shard
	// has an outcome. Otherwise it is the reason of the refusal, nothing ran
	// and Outcomes is empty.
	Code       result.Code
	Snapshot   SnapshotID
	Outcomes   []ShardOutcome
	RetryAfter time.Duration
	// QueueDelay is the home's current estimate of the wait at the request's
	// priority, a hint for admission at the entry.
	QueueDelay time.Duration
}
