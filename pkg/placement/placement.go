// Package placement orders instances by rendezvous hashing. It determines which
// instances are homes of a scheduling group and which ones read the platform's
// configuration service. Its functions are pure and hold no state.
package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	homeSalt   = "home\x00"
	readerSalt = "reader\x00"
	trialSalt  = "trial\x00"
)

// rankedInstance is an instance with the values that determine its place in an
// order: lower tiers come first, then higher scores, then lower ids.
type rankedInstance struct {
	id    model.InstanceID
	tier  int
	score uint64
}

func (a rankedInstance) before(b rankedInstance) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	if a.score != b.score {
		return a.score > b.score
	}
	return a.id < b.id
}

// topInstances holds the first limit instances of an order. Adding an instance
// that is not among them takes constant time.
type topInstances struct {
	limit int
	items []rankedInstance
}

func (t *topInstances) add(r rankedInstance) {
	if len(t.items) == t.limit {
		if t.limit == 0 || !r.before(t.items[t.limit-1]) {
			return
		}
		t.items = t.items[:t.limit-1]
	}
	t.items = append(t.items, r)
	for i := len(t.items) - 1; i > 0 && t.items[i].before(t.items[i-1]); i-- {
		t.items[i], t.items[i-1] = t.items[i-1], t.items[i]
	}
}

// admits reports whether an instance of the tier can be among the first limit
// ones. If it can't, its score need not be computed.
func (t *topInstances) admits(tier int) bool {
	return len(t.items) < t.limit || t.limit > 0 && tier <= t.items[t.limit-1].tier
}

func (t *topInstances) instanceIDs() []model.InstanceID {
	out := make([]model.InstanceID, len(t.items))
	for i, r := range t.items {
		out[i] = r.id
	}
	return out
}

// scorer computes the rendezvous hash of a key together with instance ids.
type scorer struct {
	buf       []byte
	prefixLen int
}

func newScorer(salt, key string) *scorer {
	s := &scorer{}
	s.buf = append(s.buf, salt...)
	s.buf = append(s.buf, key...)
	s.buf = append(s.buf, 0)
	s.prefixLen = len(s.buf)
	return s
}

func (s *scorer) score(id model.InstanceID) uint64 {
	s.buf = append(s.buf[:s.prefixLen], id...)
	return xxhash.Sum64(s.buf)
}

// Tiers of homes by the data centre of the instance.
const (
	tierMajority = iota
	tierWithUpstreams
	tierOther
)

// Homes returns the first limit candidates in the group's rendezvous order; the
// first one is the home. If one data centre holds more than half of the group's
// upstreams, its instances come first. Instances of other data centres that
// hold any of the upstreams come next: an instance elsewhere may be in another
// region, where each call would occupy its connection for the round trip
// between the regions. The cost is linear in the number of candidates, so a
// Cache keeps the results until the candidates or the document change.
func Homes(group document.Group, candidates []membership.Member, limit int) []model.InstanceID {
	tiers := dataCentreTiers(group)
	s := newScorer(homeSalt, group.Key.String())
	t := topInstances{limit: max(limit, 0)}
	for i := range candidates {
		c := &candidates[i]
		tier := tiers.tierOf(c.DataCentre)
		if t.admits(tier) {
			t.add(rankedInstance{id: c.ID, tier: tier, score: s.score(c.ID)})
		}
	}
	return t.instanceIDs()
}

// tierList holds the tiers of the data centres that hold upstreams of a group.
// There are few of them, and a linear search is then faster than a map.
type tierList []dataCentreTier

type dataCentreTier struct {
	dc   model.DataCentre
	tier int
}

func (l tierList) tierOf(dc model.DataCentre) int {
	for i := range l {
		if l[i].dc == dc {
			return l[i].tier
		}
	}
	return tierOther
}

func dataCentreTiers(group document.Group) tierList {
	counts := make(map[model.DataCentre]int)
	for _, u := range group.Upstreams {
		counts[u.DataCentre]++
	}
	var tiers tierList
	for dc, n := range counts {
		tier := tierWithUpstreams
		if 2*n > len(group.Upstreams) {
			tier = tierMajority
		}
		tiers = append(tiers, dataCentreTier{dc: dc, tier: tier})
	}
	return tiers
}

// Readers returns the n instances of a data centre that read the platform's
// configuration service. Alive members with a working platform connection come
// first. If there are fewer than n, alive members without one are included:
// they keep trying, so that reading resumes when the platform is reachable
// again.
func Readers(dc model.DataCentre, members []membership.Member, n int) []model.InstanceID {
	s := newScorer(readerSalt, string(dc))
	t := topInstances{limit: max(n, 0)}
	for i := range members {
		m := &members[i]
		if m.DataCentre != dc || m.State != membership.Alive {
			continue
		}
		r := rankedInstance{id: m.ID, score: s.score(m.ID)}
		if m.PlatformUnreachable {
			r.tier = 1
		}
		t.add(r)
	}
	return t.instanceIDs()
}

// FeedReaders returns the n instances that read the platform's configuration
// service on behalf of all others. It takes the first alive members in
// rendezvous order, from different data centres as far as possible, and those
// with a working platform connection before the others. The number of readers
// does not grow with the fleet.
func FeedReaders(members []membership.Member, n int) []model.InstanceID {
	s := newScorer(readerSalt, "")
	firstOfDataCentre := make(map[model.DataCentre]*topInstances)
	all := topInstances{limit: max(n, 0)}
	for i := range members {
		m := &members[i]
		if m.State != membership.Alive {
			continue
		}
		r := rankedInstance{id: m.ID, score: s.score(m.ID)}
		if m.PlatformUnreachable {
			r.tier = 2
		}
		if firstOfDataCentre[m.DataCentre] == nil {
			firstOfDataCentre[m.DataCentre] = &topInstances{limit: 1}
		}
		firstOfDataCentre[m.DataCentre].add(r)
		r.tier++
		all.add(r)
	}
	for _, t := range firstOfDataCentre {
		all.promote(t.items[0])
	}
	return all.instanceIDs()
}

// promote moves an instance to the lower tier of r: it removes the instance's
// entry and adds r.
func (t *topInstances) promote(r rankedInstance) {
	t.items = slices.DeleteFunc(t.items, func(o rankedInstance) bool { return o.id == r.id })
	t.add(r)
}

// TrialHome returns the alive member that tries the queries that may have crashed upstreams,
// for all instances. Members with a working platform connection come first. It returns
// false if no member is alive.
func TrialHome(members []membership.Member) (model.InstanceID, bool) {
	s := newScorer(trialSalt, "")
	t := topInstances{limit: 1}
	for i := range members {
		m := &members[i]
		if m.State != membership.Alive {
			continue
		}
		r := rankedInstance{id: m.ID, score: s.score(m.ID)}
		if m.PlatformUnreachable {
			r.tier = 1
		}
		t.add(r)
	}
	if len(t.items) == 0 {
		return "", false
	}
	return t.items[0].id, true
}
