package document

import (
	"github.com/sardineturn/sardineturn/pkg/model"
)

// MaxMergedGroup is the number of upstreams up to which small components are
// merged into one scheduling group. A larger group needs fewer messages per
// query; a smaller one spreads work over more homes.
const MaxMergedGroup = 32

// Group is a scheduling group: upstreams of one service that share shards in
// any snapshot, scheduled together at one home.
type Group struct {
	Key       model.GroupKey
	Upstreams []*Upstream
}

// Groups derives the scheduling groups from the document alone, so that every
// instance with the same revision derives the same groups.
func (d *Document) Groups() []Group {
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

// components returns the connected components of the relation "holds a common
// shard", in document order.
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

// ShardGroups returns, for each shard of the snapshot, the index of the group
// that serves it.
func (d *Document) ShardGroups(s *Snapshot) map[model.ShardID]int {
	byUpstream := make(map[string]int, len(d.Upstreams))
	for _, g := range d.Groups() {
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
