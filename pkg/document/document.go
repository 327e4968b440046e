// Package document defines the service document, in which the team that owns a
// service configures how the system handles the service. It also checks
// documents and computes a service's scheduling groups from them.
package document

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// MaxBytes is the size limit of a document. It equals the limit of the
// platform's configuration service.
const MaxBytes = 1 << 20

// Document is the parsed document of one service. It is immutable.
type Document struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	// Priorities are listed from the most to the least urgent.
	Priorities []Priority  `json:"priorities"`
	Operations []Operation `json:"operations"`
	Upstreams  []Upstream  `json:"upstreams"`
	// Snapshots are the index versions being served, oldest first. New queries
	// use the last one.
	Snapshots []Snapshot `json:"snapshots"`
	Budgets   Budgets    `json:"budgets,omitempty"`

	// Digest is the xxhash of the document's bytes.
	Digest uint64 `json:"-"`

	// derived caches the data computed from the document. Parse sets it.
	derived *derived
}

// Priority is a class of requests.
type Priority struct {
	Name string `json:"name"`
	// TargetMS is the target latency in milliseconds.
	TargetMS int `json:"target_ms"`
	// DeadlineMS is the default and the longest deadline in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
	// LeastCoverage is the fraction of shards, 0 to 1, below which an answer is
	// of no use.
	LeastCoverage float64 `json:"least_coverage"`
	// GuaranteedShare is the fraction of capacity, 0 to 1, that the priority
	// keeps when other priorities flood the service.
	GuaranteedShare float64 `json:"guaranteed_share"`
	// Worth is the relative value of one answer, used in reports.
	Worth float64 `json:"worth"`
}

// Operation is a kind of request that the service's upstreams understand.
type Operation struct {
	Name          string `json:"name"`
	NonIdempotent bool   `json:"non_idempotent,omitempty"`
}

// Upstream is one of the service's servers that hold shards and execute
// requests.
type Upstream struct {
	Name       string           `json:"name"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Address is "ip:port".
	Address         string `json:"address"`
	Slots           int    `json:"slots"`
	ConnectionLimit int    `json:"connection_limit"`
	// ConnectMS is the usual time to open a connection, in milliseconds.
	ConnectMS float64 `json:"connect_ms,omitempty"`
}

// Snapshot is one version of the index with its shard map.
type Snapshot struct {
	ID     model.SnapshotID `json:"id"`
	Shards []Shard          `json:"shards"`
}

// Shard is one shard of the index with the names of the upstreams that hold it.
type Shard struct {
	ID       model.ShardID `json:"id"`
	Replicas []string      `json:"replicas"`
}

// Default budgets, as fractions of first attempts.
const (
	DefaultHedgeFraction = 0.05
	DefaultExtraFraction = 0.10
)

// Budgets limit the extra load that the system may place on upstreams.
type Budgets struct {
	// HedgeFraction limits hedges as a fraction of first attempts.
	HedgeFraction *float64 `json:"hedge_fraction,omitempty"`
	// ExtraFraction limits retries and hedges together.
	ExtraFraction *float64 `json:"extra_fraction,omitempty"`
}

// Hedge returns the hedge budget as a fraction of first attempts.
func (b Budgets) Hedge() float64 {
	if b.HedgeFraction != nil {
		return *b.HedgeFraction
	}
	return DefaultHedgeFraction
}

// Extra returns the budget for retries and hedges together as a fraction of
// first attempts.
func (b Budgets) Extra() float64 {
	if b.ExtraFraction != nil {
		return *b.ExtraFraction
	}
	return DefaultExtraFraction
}

// Target returns the target latency.
func (p Priority) Target() time.Duration { return time.Duration(p.TargetMS) * time.Millisecond }

// Deadline returns the deadline that is both the default and the longest one
// allowed.
func (p Priority) Deadline() time.Duration { return time.Duration(p.DeadlineMS) * time.Millisecond }

// PriorityIndex returns the index of the named priority, or -1 if there is
// none. Index 0 is the most urgent priority.
func (d *Document) PriorityIndex(name string) int {
	for i := range d.Priorities {
		if d.Priorities[i].Name == name {
			return i
		}
	}
	return -1
}

// FindOperation returns the named operation, or nil.
func (d *Document) FindOperation(name string) *Operation {
	for i := range d.Operations {
		if d.Operations[i].Name == name {
			return &d.Operations[i]
		}
	}
	return nil
}

// FindSnapshot returns the snapshot with the given id, or nil.
func (d *Document) FindSnapshot(id model.SnapshotID) *Snapshot {
	for i := range d.Snapshots {
		if d.Snapshots[i].ID == id {
			return &d.Snapshots[i]
		}
	}
	return nil
}

// FindUpstream returns the named upstream, or nil.
func (d *Document) FindUpstream(name string) *Upstream {
	for i := range d.Upstreams {
		if d.Upstreams[i].Name == name {
			return &d.Upstreams[i]
		}
	}
	return nil
}

// Newest returns the snapshot that new queries use.
func (d *Document) Newest() *Snapshot { return &d.Snapshots[len(d.Snapshots)-1] }
