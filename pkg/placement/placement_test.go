package placement

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// Random tests use this seed unless the command line gives another one.
var _ = flag.Set("rapid.seed", "20261204")

func fleet(n, dcs int) []membership.Member {
	out := make([]membership.Member, n)
	for i := range out {
		out[i].ID = model.InstanceID(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
		out[i].DataCentre = model.DataCentre(fmt.Sprint("dc", i%dcs))
	}
	return out
}

func group(index int, dcs ...model.DataCentre) document.Group {
	g := document.Group{Key: model.GroupKey{Service: "s", Index: index}}
	for _, dc := range dcs {
		g.Upstreams = append(g.Upstreams, &document.Upstream{DataCentre: dc})
	}
	return g
}

// TestHomesOrderIsStable guards against an order that depends on the order of
// the candidates, and against homes that move when another instance is removed.
func TestHomesOrderIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.IntRange(1, 40).Draw(t, "members"), 3)
		g := group(rapid.IntRange(0, 99).Draw(t, "group"), "dc0", "dc1", "dc2", "dc1")
		all := Homes(g, members, len(members))
		limit := rapid.IntRange(0, len(members)).Draw(t, "limit")
		shuffled := rapid.Permutation(members).Draw(t, "order")
		must.Eq(t, all[:limit], Homes(g, shuffled, limit))
		removed := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		want := slices.DeleteFunc(slices.Clone(all), func(id model.InstanceID) bool { return id == members[removed].ID })
		must.Eq(t, want, Homes(g, slices.Delete(members, removed, removed+1), len(all)))
	})
}

// TestHomesPreferMajority guards against a home outside the data centre that
// holds most of the group's upstreams, and against a preference for a data
// centre that holds exactly half of them.
func TestHomesPreferMajority(t *testing.T) {
	members := fleet(30, 3)
	local := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.DataCentre != "dc2" })
	for i := range 50 {
		g := group(i, "dc2", "dc1", "dc2")
		must.Eq(t, Homes(g, local, 10), Homes(g, members, 10))
	}
	must.Eq(t, Homes(group(0), fleet(30, 2), 30), Homes(group(0, "dc0", "dc1"), fleet(30, 2), 30))
}

// TestHomesNearUpstreams guards against a home in a data centre without
// upstreams of the group, possibly in another region, while data centres that
// hold some have instances. It covers upstreams that are spread evenly, and the
// loss of all instances in the data centre with the majority.
func TestHomesNearUpstreams(t *testing.T) {
	members := fleet(60, 6)
	membersIn := func(dcs ...model.DataCentre) []membership.Member {
		return slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return !slices.Contains(dcs, m.DataCentre) })
	}
	withoutDC2 := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.DataCentre == "dc2" })
	for i := range 50 {
		must.Eq(t, Homes(group(i), membersIn("dc0", "dc1"), 10), Homes(group(i, "dc0", "dc1"), members, 10))
		must.Eq(t, Homes(group(i), membersIn("dc1"), 10), Homes(group(i, "dc2", "dc1", "dc2"), withoutDC2, 10))
	}
}

// TestHomesAreSpreadEvenly guards against a hash that makes few instances the
// homes of most groups.
func TestHomesAreSpreadEvenly(t *testing.T) {
	counts := make(map[model.InstanceID]int)
	members := fleet(9, 3)
	for i := range 900 {
		counts[Homes(group(i), members, 1)[0]]++
	}
	for _, c := range counts {
		must.Between(t, 60, c, 140)
	}
	must.MapLen(t, 9, counts)
}

// TestReadersPreferWorkingPlatformConnection guards against readers that are
// leaving or cannot reach the platform while other instances can, and against a
// data centre without readers while no instance reaches the platform.
func TestReadersPreferWorkingPlatformConnection(t *testing.T) {
	members := fleet(12, 3)
	before := Readers("dc1", members, 2)
	must.Len(t, 2, before)
	change := func(id model.InstanceID, f func(*membership.Member)) {
		f(&members[slices.IndexFunc(members, func(m membership.Member) bool { return m.ID == id })])
	}
	change(before[0], func(m *membership.Member) { m.PlatformUnreachable = true })
	after := Readers("dc1", members, 2)
	must.Eq(t, before[1], after[0])
	must.SliceNotContains(t, after, before[0])
	change(after[0], func(m *membership.Member) { m.State = membership.Leaving })
	must.SliceNotContains(t, Readers("dc1", members, 2), after[0])
	for i := range members {
		members[i].PlatformUnreachable = true
	}
	must.Len(t, 2, Readers("dc1", members, 2))
}

// TestCacheFollowsCandidatesAndDocuments guards against cached homes that stem
// from earlier candidates or an earlier document.
func TestCacheFollowsCandidatesAndDocuments(t *testing.T) {
	var c Cache
	members := fleet(9, 3)
	local, remote := group(1, "dc1"), group(1, "dc2")
	for version := range uint64(3) {
		for range 2 {
			must.Eq(t, Homes(local, members, 3), c.Homes(local, 1, members, version, 3))
			must.Eq(t, Homes(remote, members, 3), c.Homes(remote, 2, members, version, 3))
		}
		members = members[:len(members)-2]
	}
}

// BenchmarkHomes reports the cost of computing homes, which a Cache avoids by
// keeping the results.
func BenchmarkHomes(b *testing.B) {
	for _, n := range []int{9, 100, 400, 1600, 3100} {
		members, g := fleet(n, 12), group(1, "dc1", "dc2")
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for b.Loop() {
				Homes(g, members, 10)
			}
		})
	}
}
