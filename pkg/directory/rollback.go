package directory

import (
	"slices"
	"time"
)

// The platform may return from a backup, and then lists entries that are older than
// those that were known. This file keeps such entries from bringing back upstreams that
// have left.

const (
	// ReturnDelay is how long after a change of era an entry that may be older than the
	// removal of its upstream is not used. A running upstream reports within it: it is
	// three report intervals of 1.2 s and a margin. An upstream that has left has lost
	// its entry by then, because an entry expires after three missed reports.
	ReturnDelay = 5 * time.Second
	// maxDepartures is the number of removals that are remembered, the latest ones. The
	// platform's backups are seconds old, and far fewer upstreams leave in that time.
	maxDepartures = 4096
)

// departure is what was last known of an upstream that was removed.
type departure struct {
	started, sequence int64
}

// rollback is the state that the directory needs for a platform that returns from a
// backup.
type rollback struct {
	// eraChangedAt is when the era last changed; zero if it never did.
	eraChangedAt time.Time
	// checking is true from a change of era until Readmit is called ReturnDelay later.
	checking bool
	// lost holds the lapsed upstreams whose entries the platform may have lost, and
	// confirmedAt is when the platform last confirmed the known entries.
	lost        map[string]bool
	confirmedAt time.Time
	// departures holds the upstreams that were removed without being lapsed, or after
	// they reported draining. order holds their ids, the oldest first.
	departures map[string]departure
	order      []string
	// held holds the entries that are listed but not used until ReturnDelay ends.
	held map[string]Upstream
}

// EraChanged tells the directory that the platform has returned from a backup. It is
// called before the changes of the new era are applied. Entries and evacuations that have
// lapsed already get the whole LapseGrace again: until now, nobody could write them to the
// platform that has returned.
func (d *Directory) EraChanged(now time.Time) {
	r := &d.rollback
	r.eraChangedAt, r.checking = now, true
	for id := range d.lapsing {
		d.lapsing[id] = now.Add(LapseGrace)
	}
	for dc := range d.lapsingEvacuations {
		d.lapsingEvacuations[dc] = now.Add(LapseGrace)
	}
}

// Confirmed tells the directory that the entries are those that the platform had at the
// given time.
func (d *Directory) Confirmed(at time.Time) { d.rollback.confirmedAt = at }

// mayReturn reports whether an entry that the platform may have lost may have been written
// again before removeAt, although this instance has not learned of it yet: a reader of the
// platform that fails after a change of era delays such entries by up to the grace itself.
func (r *rollback) mayReturn(id string, removeAt time.Time) bool {
	return r.lost[id] && r.confirmedAt.Before(removeAt)
}

// Readmit returns the held entries that are still listed ReturnDelay after the change of
// era, sorted by id, and uses them from now on.
func (d *Directory) Readmit(now time.Time) []Upstream {
	r := &d.rollback
	if !r.checking || now.Before(r.eraChangedAt.Add(ReturnDelay)) {
		return nil
	}
	r.checking = false
	var readmitted []Upstream
	for _, u := range r.held {
		readmitted = append(readmitted, u)
	}
	slices.SortFunc(readmitted, compareIDs)
	for _, u := range readmitted {
		d.Set(u)
	}
	return readmitted
}

// outdated reports whether an entry may be older than what is known of its upstream, so
// that it must not make the upstream ready. Entries without the time of the start are
// not checked.
func (d *Directory) outdated(u Upstream) bool {
	r := &d.rollback
	if r.eraChangedAt.IsZero() || u.State != Ready || u.Started == 0 {
		return false
	}
	if listed, ok := d.upstreams[u.ID]; ok {
		return listed.State == Draining && listed.Started == u.Started && u.Sequence <= listed.Sequence ||
			r.checking && u.Started < listed.Started
	}
	left, ok := r.departures[u.ID]
	return r.checking && ok && (u.Started < left.started || u.Started == left.started && u.Sequence <= left.sequence)
}

// hold keeps an outdated entry without using it. An upstream that is draining stays
// listed as draining. The entry of an earlier lifetime shows that the platform has lost
// the known entry, which then lapses as if it were missing in the listing.
func (d *Directory) hold(u Upstream) {
	r := &d.rollback
	listed, ok := d.upstreams[u.ID]
	if ok && listed.Started == u.Started {
		return
	}
	if ok {
		d.Remove(r.eraChangedAt, u.ID, true)
	}
	r.held[u.ID] = u
}

// depart remembers an upstream that is removed.
func (r *rollback) depart(u Upstream) {
	if u.Started == 0 {
		return
	}
	r.forget(u.ID)
	r.departures[u.ID] = departure{started: u.Started, sequence: u.Sequence}
	r.order = append(r.order, u.ID)
	if len(r.order) > maxDepartures {
		delete(r.departures, r.order[0])
		r.order = slices.Delete(r.order, 0, 1)
	}
}

// forget removes the departure of an upstream that is listed again.
func (r *rollback) forget(id string) {
	if _, ok := r.departures[id]; !ok {
		return
	}
	delete(r.departures, id)
	r.order = slices.DeleteFunc(r.order, func(other string) bool { return other == id })
}
