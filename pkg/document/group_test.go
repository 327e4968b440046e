package document

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestGroupsShareNoShard guards against a shard whose replicas are split
// between two groups, so that two homes schedule requests for the shard
// independently of each other.
func TestGroupsShareNoShard(t *testing.T) {
	d := &Document{
		Service:   "s",
		Upstreams: []Upstream{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Snapshots: []Snapshot{
			{ID: "1", Shards: []Shard{{ID: "x", Replicas: []string{"a"}}, {ID: "y", Replicas: []string{"b", "c"}}}},
			{ID: "2", Shards: []Shard{{ID: "x", Replicas: []string{"c", "a"}}}},
		},
	}
	groups := d.Groups()
	must.Len(t, 1, groups)
	must.Len(t, 3, groups[0].Upstreams)
}
