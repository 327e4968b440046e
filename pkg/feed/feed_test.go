package feed

import (
	"fmt"
	"maps"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// modelStore is a model of the platform's store that keeps its whole history.
type modelStore struct {
	revision uint64
	history  []Change
}

func (s *modelStore) write(key string, deleted bool) {
	s.revision++
	c := Change{Key: key, Revision: s.revision, Deleted: deleted}
	if !deleted {
		c.Value = fmt.Appendf(nil, "%s@%d", key, s.revision)
	}
	s.history = append(s.history, c)
}

// itemsAt returns the keys that exist at a revision, with their last changes.
func (s *modelStore) itemsAt(revision uint64) map[string]Change {
	out := make(map[string]Change)
	for _, c := range s.history {
		switch {
		case c.Revision > revision:
		case c.Deleted:
			delete(out, c.Key)
		default:
			out[c.Key] = c
		}
	}
	return out
}

// watch returns the changes after a revision.
func (s *modelStore) watch(after uint64) Delta {
	d := Delta{Revision: s.revision}
	for _, c := range s.history {
		if c.Revision > after {
			d.Changes = append(d.Changes, c)
		}
	}
	return d
}

// list returns all keys that exist now.
func (s *modelStore) list() Delta {
	d := Delta{Revision: s.revision, Full: true}
	for _, c := range s.itemsAt(s.revision) {
		d.Changes = append(d.Changes, c)
	}
	return d
}

// content returns the value of each key of the copy.
func content(r *Replica) map[string]string {
	out := make(map[string]string)
	for _, c := range r.Items() {
		out[c.Key] = string(c.Value)
	}
	return out
}

// values returns the value of each key in the result of modelStore.itemsAt.
func values(m map[string]Change) map[string]string {
	out := make(map[string]string)
	for k, c := range m {
		out[k] = string(c.Value)
	}
	return out
}

// TestReplicasMatchStore guards against copies that lack a change, keep a removed
// key or go back to an earlier revision. The deltas come from the store as
// changes, from the store as a full listing (as after the store has discarded its
// history), or from another copy; some arrive late or twice.
func TestReplicasMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &modelStore{revision: 1}
		replicas := []*Replica{NewReplica(), NewReplica(), NewReplica()}
		var delayed []Delta
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			r := replicas[rapid.IntRange(0, 2).Draw(t, "replica")]
			before := r.Revision()
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				s.write(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				d := s.list()
				delayed = append(delayed, d)
				r.Apply(d)
			case 3:
				if before > 0 {
					d := s.watch(before)
					delayed = append(delayed, d)
					r.Apply(d)
				}
			case 4, 5:
				from := replicas[rapid.IntRange(0, 2).Draw(t, "from")]
				if d, ahead := from.Since(before); ahead {
					delayed = append(delayed, d)
					r.Apply(d)
				}
			case 6:
				if len(delayed) > 0 {
					d := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")]
					if d.Full || d.Revision <= before {
						r.Apply(d)
					}
				}
			}
			must.GreaterEq(t, before, r.Revision())
			if r.Revision() > 0 {
				must.True(t, maps.Equal(values(s.itemsAt(r.Revision())), content(r)), must.Sprint(s.history, r.Revision(), content(r)))
			}
		}
	})
}

// TestChangesWhileListingPages guards against losing a key that was written
// while the store sent the pages of a listing, and against keeping one that was
// removed meanwhile. The listing counts as complete only up to the revision of
// its first page, so the next delta repeats these changes.
func TestChangesWhileListingPages(t *testing.T) {
	r := NewReplica()
	r.Apply(Delta{Revision: 5, Full: true, Changes: []Change{{Key: "a", Revision: 3}, {Key: "b", Revision: 7}, {Key: "c", Revision: 4}}})
	must.MapLen(t, 3, content(r))
	r.Apply(Delta{Revision: 8, Changes: []Change{{Key: "c", Revision: 6, Deleted: true}, {Key: "b", Revision: 7}, {Key: "d", Revision: 8}}})
	must.Eq(t, map[string]string{"a": "", "b": "", "d": ""}, content(r))
}

// TestLapsedRemovals guards against removals implied by a full delta that lose
// their Lapsed flag when another copy gets them.
func TestLapsedRemovals(t *testing.T) {
	r := NewReplica()
	r.Apply(Delta{Revision: 5, Full: true, Changes: []Change{{Key: "a", Revision: 3}}})
	altered := r.Apply(Delta{Revision: 9, Full: true, Lapsed: true})
	must.Eq(t, []Change{{Key: "a", Revision: 9, Deleted: true, Lapsed: true}}, altered)
	follower := NewReplica()
	follower.Apply(Delta{Revision: 5, Full: true, Changes: []Change{{Key: "a", Revision: 3}}})
	d, _ := r.Since(5)
	must.Eq(t, altered, follower.Apply(d))
}

// TestForgottenRemovalsNeedFullDelta guards against a delta from which removals are
// missing because the copy that serves it no longer remembers them: it must then
// serve a full delta.
func TestForgottenRemovalsNeedFullDelta(t *testing.T) {
	r := NewReplica()
	r.Apply(Delta{Revision: 1, Full: true})
	revision := uint64(1)
	for range maxRemoved + 10 {
		r.Apply(Delta{Revision: revision + 2, Changes: []Change{{Key: "k", Revision: revision + 1}, {Key: "k", Revision: revision + 2, Deleted: true}}})
		revision += 2
	}
	d, ahead := r.Since(2)
	must.True(t, ahead)
	must.True(t, d.Full)
	d, _ = r.Since(revision - 1)
	must.False(t, d.Full)
}
