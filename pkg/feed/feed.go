// Package feed replicates the keys that the platform publishes. An instance
// applies the changes that it reads from the platform or from another instance to
// its copy, and serves other instances the changes after a given revision. The
// package does no I/O; it is not safe for concurrent use.
package feed

import "slices"

// maxRemoved is the number of removals that a copy remembers for other instances.
// An instance that is further behind gets the whole content instead.
const maxRemoved = 4096

// Change is the latest state of a key.
type Change struct {
	Key string
	// Revision is the revision that the platform assigned to the change.
	Revision uint64
	Value    []byte
	Deleted  bool
	// Lapsed marks a removal that an instance read shortly after the platform was
	// unavailable. The owner of the key may still be alive: it may only have been
	// unable to renew the key.
	Lapsed bool
}

// Delta is the difference between two revisions of the published keys.
type Delta struct {
	Changes []Change
	// Revision is the revision up to which the receiver's copy is complete once it
	// has applied the delta.
	Revision uint64
	// Full means that the changes list all keys: a key that is not among them does
	// not exist at Revision.
	Full bool
	// Lapsed has the meaning of Change.Lapsed for the removals that a full delta
	// implies.
	Lapsed bool
}

// Replica is a copy of the published keys.
type Replica struct {
	revision uint64
	// removedFrom is the revision after which removed is complete; earlier
	// removals may be missing from it.
	removedFrom uint64
	// lapsedAt is the revision of the last full delta that marked its removals as
	// lapsed.
	lapsedAt uint64
	items    map[string]Change
	// removed holds the latest removals, the oldest first.
	removed []Change
}

// NewReplica returns an empty copy at revision 0.
func NewReplica() *Replica { return &Replica{items: make(map[string]Change)} }

// Revision returns the revision up to which the copy is complete.
func (r *Replica) Revision() uint64 { return r.revision }

// Items returns the existing keys with their values, in no particular order.
func (r *Replica) Items() []Change {
	out := make([]Change, 0, len(r.items))
	for _, c := range r.items {
		out = append(out, c)
	}
	return out
}

// Apply applies a delta and returns the changes that altered the copy. A delta that
// is older than the copy is ignored.
func (r *Replica) Apply(d Delta) []Change {
	if d.Revision < r.revision {
		return nil
	}
	var altered []Change
	for _, c := range d.Changes {
		if r.apply(c) {
			altered = append(altered, c)
		}
	}
	if d.Full {
		altered = append(altered, r.removeMissing(d)...)
	}
	if d.Full && d.Revision > r.revision {
		// A full delta does not show which keys were added and removed again
		// between the copy's old revision and the delta's revision.
		r.removedFrom = d.Revision
		if d.Lapsed {
			r.lapsedAt = d.Revision
		}
	}
	r.revision = d.Revision
	return altered
}

// apply applies one change if it is newer than the copy's state of the key, and
// reports whether it altered the copy.
func (r *Replica) apply(c Change) bool {
	old, exists := r.items[c.Key]
	if exists && c.Revision <= old.Revision {
		return false
	}
	if !c.Deleted {
		if !exists && c.Revision <= r.removedAt(c.Key) {
			return false
		}
		r.items[c.Key] = c
		return true
	}
	// A removal is remembered even if this copy never had the key, because the
	// copies of other instances may have it.
	delete(r.items, c.Key)
	if c.Revision > r.revision {
		r.rememberRemoval(c)
	}
	return exists
}

// removedAt returns the revision of the last remembered removal of the key, or 0.
func (r *Replica) removedAt(key string) uint64 {
	for i := len(r.removed) - 1; i >= 0; i-- {
		if r.removed[i].Key == key {
			return r.removed[i].Revision
		}
	}
	return 0
}

// removeMissing removes the keys that a full delta does not list, except those
// that changed after the delta's revision.
func (r *Replica) removeMissing(d Delta) []Change {
	present := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		present[c.Key] = !c.Deleted
	}
	var altered []Change
	for key, old := range r.items {
		if present[key] || old.Revision > d.Revision {
			continue
		}
		c := Change{Key: key, Revision: d.Revision, Deleted: true, Lapsed: d.Lapsed}
		delete(r.items, key)
		r.rememberRemoval(c)
		altered = append(altered, c)
	}
	return altered
}

// rememberRemoval adds a removal to removed, from which other instances get it. If
// removed then has more than maxRemoved entries, the oldest is dropped.
func (r *Replica) rememberRemoval(c Change) {
	c.Value = nil
	r.removed = append(r.removed, c)
	if len(r.removed) > maxRemoved {
		r.removedFrom = max(r.removedFrom, r.removed[0].Revision)
		r.removed = slices.Delete(r.removed, 0, 1)
	}
}

// Since returns the delta from the given revision to the copy's revision. It
// returns false if the copy is not ahead of the given revision. The delta is
// full if that revision is 0 or if not all removals after it are remembered.
func (r *Replica) Since(after uint64) (Delta, bool) {
	if after >= r.revision {
		return Delta{}, false
	}
	d := Delta{Revision: r.revision, Full: after < r.removedFrom || after == 0}
	for _, c := range r.items {
		if d.Full || c.Revision > after {
			d.Changes = append(d.Changes, c)
		}
	}
	if d.Full {
		d.Lapsed = after < r.lapsedAt
		return d, true
	}
	for _, c := range r.removed {
		if _, present := r.items[c.Key]; !present && c.Revision > after {
			d.Changes = append(d.Changes, c)
		}
	}
	return d, true
}
