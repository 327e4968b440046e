// Package feed replicates the keys that the platform publishes: an instance
// applies what it reads from the platform or from another instance, and serves
// the changes after a revision to others. It is pure and not safe for
// concurrent use.
package feed

import "slices"

// maxRemoved bounds the removals that are remembered for other instances. An
// instance that is further behind gets the whole content.
const maxRemoved = 4096

// Change is the newest state of a key.
type Change struct {
	Key string
	// Revision is the platform's revision of the change.
	Revision uint64
	Value    []byte
	Deleted  bool
	// Lapsed marks a removal that was learned just after the platform was
	// unavailable: the owner of the key may only have missed its renewals.
	Lapsed bool
}

// Delta is a step from one revision to a later one.
type Delta struct {
	Changes []Change
	// Revision is the revision up to which the receiver is complete after the
	// step.
	Revision uint64
	// Full means that keys that are not among the changes do not exist at
	// Revision.
	Full bool
	// Lapsed applies to the removals that a full step implies.
	Lapsed bool
}

// Replica is a copy of the published keys.
type Replica struct {
	revision uint64
	// floor is the revision from which on all removals are remembered.
	floor uint64
	// lapsed is the revision of the last full step whose removals may be lapses.
	lapsed  uint64
	items   map[string]Change
	removed []Change
}

// NewReplica returns an empty copy at revision 0.
func NewReplica() *Replica { return &Replica{items: make(map[string]Change)} }

// Revision returns the revision up to which the copy is complete.
func (r *Replica) Revision() uint64 { return r.revision }

// Items returns the present keys in no order.
func (r *Replica) Items() []Change {
	out := make([]Change, 0, len(r.items))
	for _, c := range r.items {
		out = append(out, c)
	}
	return out
}

// Apply takes a step and returns the changes that altered the copy. A step that
// is older than the copy changes nothing.
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
		// Keys may have come and gone in between.
		r.floor = d.Revision
		if d.Lapsed {
			r.lapsed = d.Revision
		}
	}
	r.revision = d.Revision
	return altered
}

// apply stores one change if it is newer than what is held.
func (r *Replica) apply(c Change) bool {
	old, held := r.items[c.Key]
	if held && c.Revision <= old.Revision {
		return false
	}
	if !c.Deleted {
		if !held && c.Revision <= r.removedAt(c.Key) {
			return false
		}
		r.items[c.Key] = c
		return true
	}
	// A removal counts for others even if this copy never held the key.
	delete(r.items, c.Key)
	if c.Revision > r.revision {
		r.remember(c)
	}
	return held
}

// removedAt returns the revision at which a missing key was last removed, or 0.
func (r *Replica) removedAt(key string) uint64 {
	for i := len(r.removed) - 1; i >= 0; i-- {
		if r.removed[i].Key == key {
			return r.removed[i].Revision
		}
	}
	return 0
}

// removeMissing removes the keys that a full step lacks.
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
		r.remember(c)
		altered = append(altered, c)
	}
	return altered
}

func (r *Replica) remember(c Change) {
	c.Value = nil
	r.removed = append(r.removed, c)
	if len(r.removed) > maxRemoved {
		r.floor = max(r.floor, r.removed[0].Revision)
		r.removed = slices.Delete(r.removed, 0, 1)
	}
}

// Since returns the step from a revision to the copy's own, and false if the
// copy is not ahead of it. Revision 0 and revisions before the remembered
// removals get a full step.
func (r *Replica) Since(after uint64) (Delta, bool) {
	if after >= r.revision {
		return Delta{}, false
	}
	d := Delta{Revision: r.revision, Full: after < r.floor || after == 0}
	for _, c := range r.items {
		if d.Full || c.Revision > after {
			d.Changes = append(d.Changes, c)
		}
	}
	if d.Full {
		d.Lapsed = after < r.lapsed
		return d, true
	}
	for _, c := range r.removed {
		if _, present := r.items[c.Key]; !present && c.Revision > after {
			d.Changes = append(d.Changes, c)
		}
	}
	return d, true
}
