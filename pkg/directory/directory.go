// Package directory keeps the upstreams that the platform lists, by service.
// It is pure and not safe for concurrent use.
package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// LapseGrace is how long an upstream stays listed whose entry disappeared while
// the platform was unavailable. A live upstream registers again within two
// seconds of the platform's return.
const LapseGrace = 2 * time.Second

// State is what an upstream reports of itself.
type State int

// States of an upstream.
const (
	Ready State = iota
	// Draining upstreams get no new work.
	Draining
)

// Upstream is one registered process of a service.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre model.DataCentre
	// Slots is the number of requests that it runs at a time.
	Slots int
	State State
	// ColdFor is how much longer it is slow after its start, counted from the
	// time of the report.
	ColdFor time.Duration
	// Started is the Unix time of its start in milliseconds. An id that was used
	// before starts again with another value.
	Started int64
}

// Directory holds the listed upstreams.
type Directory struct {
	upstreams map[string]Upstream
	// lapsing holds the time at which an upstream whose entry lapsed is removed.
	lapsing map[string]time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{upstreams: make(map[string]Upstream), lapsing: make(map[string]time.Time)}
}

// Set adds or replaces the entry of an upstream.
func (d *Directory) Set(u Upstream) {
	d.upstreams[u.ID] = u
	delete(d.lapsing, u.ID)
}

// Remove drops an entry. An entry that lapsed stays for LapseGrace, unless its
// upstream was draining.
func (d *Directory) Remove(now time.Time, id string, lapsed bool) {
	u, ok := d.upstreams[id]
	if !ok {
		return
	}
	if lapsed && u.State == Ready {
		if _, pending := d.lapsing[id]; !pending {
			d.lapsing[id] = now.Add(LapseGrace)
		}
		return
	}
	delete(d.upstreams, id)
	delete(d.lapsing, id)
}

// Expire drops the lapsed entries that did not come back and returns their ids.
func (d *Directory) Expire(now time.Time) []string {
	var gone []string
	for id, at := range d.lapsing {
		if !now.Before(at) {
			gone = append(gone, id)
			delete(d.upstreams, id)
			delete(d.lapsing, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// Lookup returns the entry with the id.
func (d *Directory) Lookup(id string) (Upstream, bool) {
	u, ok := d.upstreams[id]
	return u, ok
}

// Services returns the ready upstreams of each service, ordered by id.
func (d *Directory) Services() map[string][]Upstream {
	out := make(map[string][]Upstream)
	for _, u := range d.upstreams {
		if u.State == Ready {
			out[u.Service] = append(out[u.Service], u)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.upstreams) }
