package document

import (
	"github.com/sardineturn/sardineturn/pkg/model"
)

// MaxMergedGroup is the number of upstreams up to which small sets of connected
// upstreams are merged into one scheduling group. A larger group needs fewer
// messages per query; a smaller one spreads the work over more homes. At the
// target size, a limit of 32 results in 600 groups on 502 of 3,100 instances,
// and the lock of a group would have to be held for 1.26 s per second
// (docs/CAPACITY.md). A limit of 12 results in 1,500 groups with 50 messages per
// query.
const MaxMergedGroup = 12

// Group is a scheduling group: upstreams of one service that are scheduled
// together at one home. Upstreams that share a shard in any snapshot are in the
// same group.
type Group struct {
	Key       model.GroupKey
	Upstreams []*Upstream
}

// derived holds what Parse computes once per document because every query needs
// it.
type derived struct {
	groups      []Group
	shardGroups map[model.SnapshotID]map[model.ShardID]int
}

func (d *Document) derive() *derived {
	if d.derived != nil {
		return d.derived
	}
	out := &derived{
		groups:      d.computeGroups(),
		shardGroups: make(map[model.SnapshotID]map[model.ShardID]int, len(d.Snapshots)),
	}
	for i := range d.Snapshots {
		s := &d.Snapshots[i]
		out.shardGroups[s.ID] = shardGroups(out.groups, s)
	}
	return out
}

// Groups returns the scheduling groups. They are computed from the document
// alone, so that all instances with the same revision have the same groups. The
// result is shared and must not be changed.
func (d *Document) Groups() []Group { return d.derive().groups }

// ShardGroups returns, for each shard of the snapshot, the index of the group
// that serves it. The result is shared and must not be changed.
func (d *Document) ShardGroups(s *Snapshot) map[model.ShardID]int {
	return d.derive().shardGroups[s.ID]
}

func (d *Document) computeGroups() []Group {
	components := d.components()
	var groups []Group
	for _, c := range components {
		last := len(groups) - 1
		if last >= 0 && len(groups[last].Upstreams)+len(c) <= MaxMergedGroup {
			groups[last].Upstreams = append(groups[last].Upstreams, c...)
			continue
		}
		key := model.GroupKey{Service: d.Service, Index: len(groups)}
		groups = append(groups, Group{Key: key, Upstreams: c})
	}
	return groups
}

// components returns the sets of upstreams that are directly or indirectly
// connected by common shards, in document order.
func (d *Document) components() [][]*Upstream {
	index := make(map[string]int, len(d.Upstreams))
	parent := make([]int, len(d.Upstreams))
	for i := range d.Upstreams {
		index[d.Upstreams[i].Name] = i
		parent[i] = i
	}
	find := func(i int) int {
		for parent[i] != i {
			parent[i] = parent[parent[i]]
			i = parent[i]
		}
		return i
	}
	for _, s := range d.Snapshots {
		for _, sh := range s.Shards {
			for _, r := range sh.Replicas[1:] {
				a, b := find(index[sh.Replicas[0]]), find(index[r])
				parent[max(a, b)] = min(a, b)
			}
		}
	}
	members := make(map[int][]*Upstream)
	var order []int
	for i := range d.Upstreams {
		root := find(i)
		if members[root] == nil {
			order = append(order, root)
		}
		members[root] = append(members[root], &d.Upstreams[i])
	}
	out := make([][]*Upstream, 0, len(order))
	for _, root := range order {
		out = append(out, members[root])
	}
	return out
}

func shardGroups(groups []Group, s *Snapshot) map[model.ShardID]int {
	byUpstream := make(map[string]int)
	for _, g := range groups {
		for _, u := range g.Upstreams {
			byUpstream[u.Name] = g.Key.Index
		}
	}
	out := make(map[model.ShardID]int, len(s.Shards))
	for _, sh := range s.Shards {
		out[sh.ID] = byUpstream[sh.Replicas[0]]
	}
	return out
}
