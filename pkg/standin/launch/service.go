package launch

import (
	"fmt"
	"math"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// Names of the operations that every stand-in service has.
const (
	OperationSearch  = "search"
	OperationReserve = "reserve"
)

// Service describes a service to start stand-in upstreams for.
type Service struct {
	Name            string
	Priorities      []document.Priority
	Upstreams       int
	Slots           int
	ConnectionLimit int
	ConnectMS       float64
	Shards          int
	// Replicas is the number of upstreams that hold each shard.
	Replicas    int
	DataCentres []model.DataCentre
	// ServiceTimes replaces the service times of the upstreams.
	ServiceTimes map[string]upstream.ServiceTime
}

// Behaviour returns the behaviour of the service's upstreams.
func (s Service) Behaviour() upstream.Behaviour {
	b := upstream.DefaultBehaviour()
	b.Slots = s.Slots
	b.Queue = s.Slots
	b.ConnectionLimit = s.ConnectionLimit
	b.AcceptCostMS = s.ConnectMS
	if s.ServiceTimes != nil {
		b.Service = s.ServiceTimes
	}
	return b
}

// Capacity returns the number of queries to all shards per second that the
// upstreams can run at the mean service time of the default operation.
func (s Service) Capacity() float64 {
	dist := s.Behaviour().Service[""]
	meanMS := dist.MedianMS * math.Exp(dist.Sigma*dist.Sigma/2)
	return float64(s.Upstreams*s.Slots) * 1000 / meanMS / float64(s.Shards)
}

// ShardIDs returns the ids of the service's shards.
func (s Service) ShardIDs() []model.ShardID {
	out := make([]model.ShardID, s.Shards)
	for i := range out {
		out[i] = model.ShardID(fmt.Sprintf("shard-%03d", i))
	}
	return out
}

// Document builds the service's document for the given upstreams. Shard i is
// held by the upstreams i, i+1 and so on.
func (s Service) Document(revision uint64, snapshot model.SnapshotID, listed []upstream.Listed) document.Document {
	d := document.Document{
		Service:    s.Name,
		Revision:   revision,
		Priorities: s.Priorities,
		Operations: []document.Operation{{Name: OperationSearch}, {Name: OperationReserve, NonIdempotent: true}},
		Snapshots:  []document.Snapshot{s.snapshot(snapshot, listed)},
	}
	for i, u := range listed {
		d.Upstreams = append(d.Upstreams, document.Upstream{
			Name:            u.Name,
			DataCentre:      s.DataCentres[i%len(s.DataCentres)],
			Address:         u.Address,
			Slots:           s.Slots,
			ConnectionLimit: s.ConnectionLimit,
			ConnectMS:       s.ConnectMS,
		})
	}
	return d
}

func (s Service) snapshot(id model.SnapshotID, listed []upstream.Listed) document.Snapshot {
	out := document.Snapshot{ID: id}
	for i, shard := range s.ShardIDs() {
		entry := document.Shard{ID: shard}
		for r := range min(s.Replicas, len(listed)) {
			entry.Replicas = append(entry.Replicas, listed[(i+r)%len(listed)].Name)
		}
		out.Shards = append(out.Shards, entry)
	}
	return out
}

// HeldShards returns what the named upstream holds according to the document, in
// the form of POST /admin/index.
func HeldShards(d document.Document, name string) map[string][]string {
	out := make(map[string][]string)
	for _, s := range d.Snapshots {
		shards := []string{}
		for _, sh := range s.Shards {
			for _, r := range sh.Replicas {
				if r == name {
					shards = append(shards, string(sh.ID))
				}
			}
		}
		out[string(s.ID)] = shards
	}
	return out
}
