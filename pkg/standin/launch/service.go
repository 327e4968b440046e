package launch

import (
	"fmt"
	"math"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// Names of the two operations of every stand-in service. OperationReserve is not
// idempotent and serves as an order.
const (
	OperationSearch  = "search"
	OperationReserve = "reserve"
)

// Service describes a service and the stand-in upstreams to start for it.
type Service struct {
	Name       string
	Priorities []document.Priority
	Upstreams  int
	// Slots and ConnectionLimit are those of each upstream.
	Slots           int
	ConnectionLimit int
	// ConnectMS is the time that a new connection to an upstream takes.
	ConnectMS float64
	Shards    int
	// Replicas is the number of upstreams that hold each shard.
	Replicas    int
	DataCentres []model.DataCentre
	// ServiceTimes replaces the default service times of the upstreams unless it is
	// nil. It is keyed by operation; "" is for all operations without an entry.
	ServiceTimes map[string]upstream.ServiceTime
}

// Behaviour returns the settings with which the service's upstreams start. At each
// upstream, as many requests may wait for a slot as there are slots.
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

// Capacity returns the number of queries per second that the upstreams can run, if each
// query requests all shards and each shard takes the mean of the default service time,
// which is log-normal.
func (s Service) Capacity() float64 {
	serviceTime := s.Behaviour().Service[""]
	meanMS := serviceTime.MedianMS * math.Exp(serviceTime.Sigma*serviceTime.Sigma/2)
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

// Document builds the service's document for the given upstreams, which it assigns to
// the data centres in turn. The replicas of shard i are on the upstreams i, i+1 and so
// on, modulo the number of upstreams.
func (s Service) Document(revision uint64, snapshot model.SnapshotID, upstreams []upstream.NamedAddress) document.Document {
	d := document.Document{
		Service:    s.Name,
		Revision:   revision,
		Priorities: s.Priorities,
		Operations: []document.Operation{{Name: OperationSearch}, {Name: OperationReserve, NonIdempotent: true}},
		Snapshots:  []document.Snapshot{s.buildSnapshot(snapshot, upstreams)},
	}
	for i, u := range upstreams {
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

// buildSnapshot assigns the shards of a snapshot to the given upstreams.
func (s Service) buildSnapshot(id model.SnapshotID, upstreams []upstream.NamedAddress) document.Snapshot {
	out := document.Snapshot{ID: id}
	for i, shard := range s.ShardIDs() {
		entry := document.Shard{ID: shard}
		for replica := range min(s.Replicas, len(upstreams)) {
			entry.Replicas = append(entry.Replicas, upstreams[(i+replica)%len(upstreams)].Name)
		}
		out.Shards = append(out.Shards, entry)
	}
	return out
}

// HeldShards returns the ids of the shards that the named upstream holds according to
// the document, by snapshot id. The result is the body of POST /admin/index.
func HeldShards(d document.Document, name string) map[string][]string {
	out := make(map[string][]string)
	for _, snapshot := range d.Snapshots {
		shards := []string{}
		for _, shard := range snapshot.Shards {
			for _, replica := range shard.Replicas {
				if replica == name {
					shards = append(shards, string(shard.ID))
				}
			}
		}
		out[string(snapshot.ID)] = shards
	}
	return out
}
