package gateway

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/backpressure"
	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/delegation"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// namesRateLimit reports whether an answer shows what rate limit the upstream has. An
// answer that names none shows that only if the upstream ran the request.
func namesRateLimit(reply *Reply) bool {
	if reply.UpstreamOutcome == balancer.AddressReused {
		return false
	}
	return reply.RateLimit > 0 || reply.Status == fanout.Succeeded || reply.Status == fanout.Failed
}

// rateShare returns this instance's share of the rate limit that an answer named. shard
// is true if the upstream holds a shard of queries: these are sent by the instances that
// run queries for others.
func (g *Gateway) rateShare(reply *Reply, upstream string, shard bool) backpressure.Share {
	if reply.RateLimit == 0 {
		return backpressure.Share{}
	}
	g.fleet.Lock()
	defer g.fleet.Unlock()
	members := g.fleet.membership.Members()
	largest := 0.0
	for i := range members {
		if members[i].State == membership.Alive {
			largest = max(largest, members[i].Cores())
		}
	}
	sends := func(m *membership.Member) bool {
		return !shard || !delegation.Delegates(m.Cores(), largest)
	}
	own := sendOrder{hash: shareHash(upstream, g.cfg.ID)}
	share := backpressure.Share{Instances: len(members)}
	for i := range members {
		if members[i].ID == g.cfg.ID {
			own.delegates = !sends(&members[i])
		}
	}
	for i := range members {
		m := &members[i]
		other := sendOrder{delegates: !sends(m), hash: shareHash(upstream, m.ID)}
		if !other.delegates {
			share.Senders++
		}
		if m.ID != g.cfg.ID && other.before(own) {
			share.Rank++
		}
	}
	if g.ports.Clock.Now().Sub(g.started) < startBudgetTime {
		// Most of the others are not known yet.
		share.Senders = max(share.Senders, startBudgetInstances)
		share.Instances = max(share.Instances, share.Senders)
	}
	return share
}

// sendOrder is the position of an instance in the order of those that send requests to an
// upstream. Instances that let others run their queries come last.
type sendOrder struct {
	delegates bool
	hash      uint64
}

func (o sendOrder) before(other sendOrder) bool {
	if o.delegates != other.delegates {
		return other.delegates
	}
	return o.hash < other.hash
}

// shareHash orders the instances differently for each upstream.
func shareHash(upstream string, id model.InstanceID) uint64 {
	return mixHashes(xxhash.Sum64String(upstream), xxhash.Sum64String(string(id)))
}

// mixHashes combines the hashes of an upstream and an instance.
func mixHashes(upstream, instance uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	h := (upstream ^ instance) * odd
	return h ^ h>>32
}
