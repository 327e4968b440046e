// Package directory keeps the upstreams that the platform lists for each service.
// It does no I/O and reads no clock; it is not safe for concurrent use.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// LapseGrace is how long an upstream stays listed after its entry lapsed. An entry
// lapses if it disappears while the platform is unavailable. An upstream that is
// still alive registers again within two seconds after the platform is available
// again.
const LapseGrace = 2 * time.Second

// State is the state that an upstream reports in its entry.
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
	// Slots is the number of requests that it runs at the same time.
	Slots int
	State State
	// ColdFor is how much longer the upstream remains slow after its start,
	// counted from the time of its report.
	ColdFor time.Duration
	// ColdUntil is when the upstream is certainly no longer slow by its last report, on
	// this instance's clock; zero if it did not report to be slow.
	ColdUntil time.Time
	// Started is the Unix time of its start in milliseconds. It differs between
	// processes that use the same id one after the other.
	Started int64
}

// Directory holds the listed upstreams.
type Directory struct {
	upstreams map[string]Upstream
	// lapsing holds, for each upstream whose entry lapsed, the time at which it is
	// removed unless its entry returns.
	lapsing map[string]time.Time
	// evacuated holds the data centres whose upstreams must get no requests.
	evacuated map[model.DataCentre]bool
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{upstreams: make(map[string]Upstream), lapsing: make(map[string]time.Time), evacuated: make(map[model.DataCentre]bool)}
}

// Set adds or replaces the entry of an upstream.
func (d *Directory) Set(u Upstream) {
	d.upstreams[u.ID] = u
	delete(d.lapsing, u.ID)
}

// SetColdUntil replaces Upstream.ColdUntil of a listed upstream's process by what a newer
// report says, and reports whether the process is listed.
func (d *Directory) SetColdUntil(id string, started int64, until time.Time) bool {
	u, ok := d.upstreams[id]
	if !ok || u.Started != started {
		return false
	}
	u.ColdUntil = until
	d.upstreams[id] = u
	return true
}

// Remove removes the entry of an upstream. If the entry lapsed and the upstream was
// ready, the entry stays listed until LapseGrace after the first such removal.
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

// Expire removes the lapsed entries that did not return within LapseGrace, and
// returns their ids.
func (d *Directory) Expire(now time.Time) []string {
	var expired []string
	for id, removeAt := range d.lapsing {
		if !now.Before(removeAt) {
			expired = append(expired, id)
			delete(d.upstreams, id)
			delete(d.lapsing, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// Lookup returns the entry with the id, and false if there is none.
func (d *Directory) Lookup(id string) (Upstream, bool) {
	u, ok := d.upstreams[id]
	return u, ok
}

// Evacuate starts the evacuation of a data centre, which need not be known, and reports
// whether it was not evacuated before.
func (d *Directory) Evacuate(dc model.DataCentre) bool {
	started := !d.evacuated[dc]
	d.evacuated[dc] = true
	return started
}

// EndEvacuation ends the evacuation of a data centre and reports whether it was evacuated.
func (d *Directory) EndEvacuation(dc model.DataCentre) bool {
	ended := d.evacuated[dc]
	delete(d.evacuated, dc)
	return ended
}

// Evacuated returns the evacuated data centres in order.
func (d *Directory) Evacuated() []model.DataCentre { return slices.Sorted(maps.Keys(d.evacuated)) }

// Services returns the ready upstreams of each service outside the evacuated data centres,
// ordered by id.
func (d *Directory) Services() map[string][]Upstream { return d.ready(false) }

// Withheld returns the ready upstreams of each service in the evacuated data centres,
// ordered by id.
func (d *Directory) Withheld() map[string][]Upstream { return d.ready(true) }

// ready returns the ready upstreams of each service that are in evacuated data centres, or
// those that are not.
func (d *Directory) ready(evacuated bool) map[string][]Upstream {
	out := make(map[string][]Upstream)
	for _, u := range d.upstreams {
		if u.State == Ready && d.evacuated[u.DataCentre] == evacuated {
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
