// Package placement orders instances by rendezvous hashing. It decides which
// instances are homes of a scheduling group and which ones read the platform's
// configuration service. It is pure and holds no state.
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
)

// ranked is an instance with its place in an order: lower tiers first, then
// higher scores, then lower ids.
type ranked struct {
	id    model.InstanceID
	tier  int
	score uint64
}

func (a ranked) before(b ranked) bool {
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	if a.score != b.score {
		return a.score > b.score
	}
	return a.id < b.id
}

// top keeps the first limit instances of an order. Adding takes constant time
// for an instance that is not among them.
type top struct {
	limit int
	items []ranked
}

func (t *top) add(r ranked) {
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

// admits reports whether an instance of the tier can be among the first, so
// that the score of the others need not be computed.
func (t *top) admits(tier int) bool {
	return len(t.items) < t.limit || t.limit > 0 && tier <= t.items[t.limit-1].tier
}

func (t *top) ids() []model.InstanceID {
	out := make([]model.InstanceID, len(t.items))
	for i, r := range t.items {
		out[i] = r.id
	}
	return out
}

// scorer hashes a key together with instance ids.
type scorer struct {
	buf  []byte
	base int
}

func newScorer(salt, key string) *scorer {
	s := &scorer{}
	s.buf = append(s.buf, salt...)
	s.buf = append(s.buf, key...)
	s.buf = append(s.buf, 0)
	s.base = len(s.buf)
	return s
}

func (s *scorer) score(id model.InstanceID) uint64 {
	s.buf = append(s.buf[:s.base], id...)
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
// upstreams, its instances come first, and then those of the other data centres
// that hold any. A home elsewhere may be in another region, where each call
// holds its connection for the round trip between the regions. The time is
// linear in the candidates, so callers keep the result until the candidates or
// the document change.
func Homes(group document.Group, candidates []membership.Member, limit int) []model.InstanceID {
	tiers := dataCentreTiers(group)
	s := newScorer(homeSalt, group.Key.String())
	t := top{limit: max(limit, 0)}
	for i := range candidates {
		c := &candidates[i]
		tier := tiers.of(c.DataCentre)
		if t.admits(tier) {
			t.add(ranked{id: c.ID, tier: tier, score: s.score(c.ID)})
		}
	}
	return t.ids()
}

// tierList holds the tiers of the data centres with upstreams of a group, of
// which there are few, so that a search is faster than a map.
type tierList []dataCentreTier

type dataCentreTier struct {
	dc   model.DataCentre
	tier int
}

func (l tierList) of(dc model.DataCentre) int {
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
// configuration service. Alive members whose platform connection works come
// first. If there are fewer than n, others fill up: they keep trying, so that
// reading resumes when the platform is back.
func Readers(dc model.DataCentre, members []membership.Member, n int) []model.InstanceID {
	s := newScorer(readerSalt, string(dc))
	t := top{limit: max(n, 0)}
	for i := range members {
		m := &members[i]
		if m.DataCentre != dc || m.State != membership.Alive {
			continue
		}
		r := ranked{id: m.ID, score: s.score(m.ID)}
		if m.PlatformUnreachable {
			r.tier = 1
		}
		t.add(r)
	}
	return t.ids()
}

// FeedReaders returns the n instances that read the platform on behalf of all
// others: the first in rendezvous order, from different data centres as far as
// there are any. Alive members whose platform connection works come first. Their
// number does not grow with the fleet.
func FeedReaders(members []membership.Member, n int) []model.InstanceID {
	s := newScorer(readerSalt, "")
	best := make(map[model.DataCentre]*top)
	all := top{limit: max(n, 0)}
	for i := range members {
		m := &members[i]
		if m.State != membership.Alive {
			continue
		}
		r := ranked{id: m.ID, score: s.score(m.ID)}
		if m.PlatformUnreachable {
			r.tier = 2
		}
		if best[m.DataCentre] == nil {
			best[m.DataCentre] = &top{limit: 1}
		}
		best[m.DataCentre].add(r)
		r.tier++
		all.add(r)
	}
	for _, t := range best {
		all.promote(t.items[0])
	}
	return all.ids()
}

// promote adds an entry in place of its copy in a later tier.
func (t *top) promote(r ranked) {
	t.items = slices.DeleteFunc(t.items, func(o ranked) bool { return o.id == r.id })
	t.add(r)
}
