// Package feed replicates the keys that the platform publishes. An instance
// applies the changes that it reads from the platform or from another instance to
// its copy, and serves other instances the changes after a given position. The
// package does no I/O; it is not safe for concurrent use.
package feed

import (
	"bytes"
	"slices"
)

// maxRemoved is the number of removals that a copy remembers for other instances.
// An instance that is further behind gets the whole content instead.
const maxRemoved = 4096

// Change is the latest state of a key.
type Change struct {
	Key string
	// Revision is the revision that the platform assigned to the change, in the era of
	// the delta or of the copy that holds the change.
	Revision uint64
	Value    []byte
	Deleted  bool
	// Lapsed marks a removal that an instance read shortly after the platform was
	// unavailable, or that the first listing of a new era implies. The owner of the key
	// may still be alive: it may only have been unable to renew the key, or the platform
	// may have lost the key.
	Lapsed bool
}

// Delta is the difference between two positions of the published keys.
type Delta struct {
	Changes []Change
	// Position is the position up to which the receiver's copy is complete once it
	// has applied the delta.
	Position
	// Full means that the changes list all keys: a key that is not among them does
	// not exist at Position. A delta that is not full starts from a position in the
	// same era.
	Full bool
	// Lapsed has the meaning of Change.Lapsed for the removals that a full delta
	// implies.
	Lapsed bool
}

// Replica is a copy of the published keys.
type Replica struct {
	position Position
	// removedFrom is the position after which removed is complete; earlier
	// removals may be missing from it.
	removedFrom Position
	// lapsedAt is the position of the last full delta that marked its removals as
	// lapsed.
	lapsedAt Position
	// earlierRevision is the highest revision that the copy had in an earlier era.
	earlierRevision uint64
	items           map[string]Change
	// removed holds the latest removals, the oldest first, all of the present era.
	removed []Change
}

// NewReplica returns an empty copy at the zero position.
func NewReplica() *Replica { return &Replica{items: make(map[string]Change)} }

// Position returns the position up to which the copy is complete.
func (r *Replica) Position() Position { return r.position }

// Items returns the existing keys with their values, in no particular order.
func (r *Replica) Items() []Change {
	out := make([]Change, 0, len(r.items))
	for _, c := range r.items {
		out = append(out, c)
	}
	return out
}

// Apply applies a delta and returns the changes that altered the copy. A delta that
// is older than the copy is ignored, and so is a delta of a later era that is not full:
// its changes do not follow on the copy's state.
func (r *Replica) Apply(d Delta) []Change {
	if d.Before(r.position) {
		return nil
	}
	if d.Era != r.position.Era {
		if !d.Full {
			return nil
		}
		return r.replace(d)
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
	if d.Full && r.position.Before(d.Position) {
		// A full delta does not show which keys were added and removed again
		// between the copy's old position and the delta's position.
		r.removedFrom = d.Position
		if d.Lapsed {
			r.lapsedAt = d.Position
		}
	}
	r.position = d.Position
	return altered
}

// replace replaces the content by that of a full delta of a later era. Revisions of the
// two eras are not comparable, so a key counts as altered if its value differs. Keys that
// the delta lacks are removed and marked as lapsed, because the platform may have lost
// them.
func (r *Replica) replace(d Delta) []Change {
	old := r.items
	r.items, r.removed = make(map[string]Change, len(d.Changes)), nil
	var altered []Change
	for _, c := range d.Changes {
		if c.Deleted {
			continue
		}
		r.items[c.Key] = c
		if before, existed := old[c.Key]; !existed || !bytes.Equal(before.Value, c.Value) {
			altered = append(altered, c)
		}
	}
	for key := range old {
		if _, listed := r.items[key]; !listed {
			altered = append(altered, Change{Key: key, Revision: d.Revision, Deleted: true, Lapsed: true})
		}
	}
	r.earlierRevision = max(r.earlierRevision, r.position.Revision)
	r.position, r.removedFrom = d.Position, d.Position
	return altered
}

// apply applies one change of the copy's era if it is newer than the copy's state of the
// key, and reports whether it altered the copy.
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
	if c.Revision > r.position.Revision {
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
// that changed after the delta's position. The delta is of the copy's era.
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
		if dropped := (Position{r.position.Era, r.removed[0].Revision}); r.removedFrom.Before(dropped) {
			r.removedFrom = dropped
		}
		r.removed = slices.Delete(r.removed, 0, 1)
	}
}

// Since returns the delta from the given position to the copy's position. It returns
// false, and a delta without changes, if the copy is not ahead of the given position. The
// delta is full if that position is of an earlier era, if its revision is 0, or if not all
// removals after it are remembered.
//
// A receiver with UnknownEra compares revisions only. It gets the changes after its
// revision as if that were of the copy's era. If the revision may be of an earlier era, the
// delta is full, so that the receiver lacks no key.
func (r *Replica) Since(after Position) (Delta, bool) {
	maybeEarlier := false
	if after.Era == UnknownEra {
		after.Era, maybeEarlier = r.position.Era, after.Revision <= r.earlierRevision
	}
	d := Delta{Position: r.position}
	if !after.Before(r.position) {
		return d, false
	}
	d.Full = after.Before(r.removedFrom) || after.Revision == 0 || maybeEarlier
	for _, c := range r.items {
		if d.Full || c.Revision > after.Revision {
			d.Changes = append(d.Changes, c)
		}
	}
	if d.Full {
		d.Lapsed = after.Before(r.lapsedAt) || maybeEarlier
		return d, true
	}
	for _, c := range r.removed {
		if _, present := r.items[c.Key]; !present && c.Revision > after.Revision {
			d.Changes = append(d.Changes, c)
		}
	}
	return d, true
}
