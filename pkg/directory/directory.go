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
	// Sequence increases with every report of the process.
	Sequence int64
}

// Directory holds the listed upstreams.
type Directory struct {
	upstreams map[string]Upstream
	// lapsing holds, for each upstream whose entry lapsed, the time at which it is
	// removed unless its entry returns.
	lapsing map[string]time.Time
	// evacuated holds the data centres whose upstreams must get no requests.
	evacuated map[model.DataCentre]bool
	// lapsingEvacuations holds, for each evacuation whose key lapsed, the time at which it
	// ends unless the key returns.
	lapsingEvacuations map[model.DataCentre]time.Time
	rollback           rollback
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		upstreams: make(map[string]Upstream), lapsing: make(map[string]time.Time), evacuated: make(map[model.DataCentre]bool),
		lapsingEvacuations: make(map[model.DataCentre]time.Time),
		rollback:           rollback{departures: make(map[string]departure), held: make(map[string]Upstream), lost: make(map[string]bool)},
	}
}

// Set adds or replaces the entry of an upstream. It returns false if the entry is not used
// because it may be older than what is known of the upstream: the platform returned from a
// backup, and the upstream had reported draining or was removed.
func (d *Directory) Set(u Upstream) bool {
	delete(d.rollback.held, u.ID)
	if d.outdated(u) {
		d.hold(u)
		return false
	}
	u.Sequence = d.highestSequence(u)
	d.rollback.forget(u.ID)
	d.upstreams[u.ID] = u
	delete(d.lapsing, u.ID)
	delete(d.rollback.lost, u.ID)
	return true
}

// highestSequence returns the highest known sequence of the lifetime of the entry, which
// an entry from a backup does not lower.
func (d *Directory) highestSequence(u Upstream) int64 {
	sequence := u.Sequence
	if u.Started == 0 || d.rollback.eraChangedAt.IsZero() {
		return sequence
	}
	if listed, ok := d.upstreams[u.ID]; ok && listed.Started == u.Started {
		sequence = max(sequence, listed.Sequence)
	}
	if left, ok := d.rollback.departures[u.ID]; ok && left.started == u.Started {
		sequence = max(sequence, left.sequence)
	}
	return sequence
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
// ready, the entry stays listed until LapseGrace after the first such removal, or after a
// change of era that follows it.
func (d *Directory) Remove(now time.Time, id string, lapsed bool) {
	delete(d.rollback.held, id)
	u, ok := d.upstreams[id]
	if !ok {
		return
	}
	if lapsed && u.State == Ready {
		if _, pending := d.lapsing[id]; !pending {
			d.lapsing[id] = now.Add(LapseGrace)
			d.rollback.lost[id] = d.rollback.checking
		}
		return
	}
	delete(d.upstreams, id)
	delete(d.lapsing, id)
	delete(d.rollback.lost, id)
	d.rollback.depart(u)
}

// Expire removes the lapsed entries that did not return within LapseGrace, and
// returns their ids. An entry that the platform may have lost is removed only once the
// platform has confirmed, after that time, that it is missing.
func (d *Directory) Expire(now time.Time) []string {
	var expired []string
	for id, removeAt := range d.lapsing {
		if !now.Before(removeAt) && !d.rollback.mayReturn(id, removeAt) {
			expired = append(expired, id)
			delete(d.rollback.lost, id)
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
	delete(d.lapsingEvacuations, dc)
	return started
}

// EndEvacuation ends the evacuation of a data centre and reports whether it was evacuated.
func (d *Directory) EndEvacuation(dc model.DataCentre) bool {
	ended := d.evacuated[dc]
	delete(d.evacuated, dc)
	delete(d.lapsingEvacuations, dc)
	return ended
}

// LapseEvacuation ends the evacuation of a data centre LapseGrace later, unless Evacuate is
// called before: the platform may have lost the key that requests it, and the operator
// writes it again.
func (d *Directory) LapseEvacuation(now time.Time, dc model.DataCentre) {
	if _, pending := d.lapsingEvacuations[dc]; d.evacuated[dc] && !pending {
		d.lapsingEvacuations[dc] = now.Add(LapseGrace)
	}
}

// ExpireEvacuations ends the evacuations whose keys lapsed and did not return, and returns
// their data centres in order. As with lost entries, the platform must have confirmed after
// LapseGrace that the key is missing.
func (d *Directory) ExpireEvacuations(now time.Time) []model.DataCentre {
	var ended []model.DataCentre
	for dc, endAt := range d.lapsingEvacuations {
		if !now.Before(endAt) && !d.rollback.confirmedAt.Before(endAt) {
			ended = append(ended, dc)
			d.EndEvacuation(dc)
		}
	}
	slices.Sort(ended)
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
	if evacuated && len(d.evacuated) == 0 {
		return out
	}
	for _, u := range d.upstreams {
		if u.State == Ready && d.evacuated[u.DataCentre] == evacuated {
			out[u.Service] = append(out[u.Service], u)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, compareIDs)
	}
	return out
}

func compareIDs(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) }

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.upstreams) }
