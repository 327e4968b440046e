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
	era, revision uint64
	// histories holds the changes of each era, which begin with those of the backup from
	// which the store returned.
	histories [][]Change
	writes    int
}

func newModelStore() *modelStore { return &modelStore{revision: 1, histories: make([][]Change, 1)} }

func (s *modelStore) position() Position { return Position{s.era, s.revision} }

func (s *modelStore) write(key string, deleted bool) {
	s.revision++
	s.writes++
	c := Change{Key: key, Revision: s.revision, Deleted: deleted}
	if !deleted {
		c.Value = fmt.Appendf(nil, "%s, write %d", key, s.writes)
	}
	s.histories[s.era] = append(s.histories[s.era], c)
}

// rollBack makes the store return from the backup of a revision.
func (s *modelStore) rollBack(to uint64) {
	var kept []Change
	for _, c := range s.histories[s.era] {
		if c.Revision <= to {
			kept = append(kept, c)
		}
	}
	s.histories = append(s.histories, kept)
	s.era, s.revision = s.era+1, to
}

// itemsAt returns the keys that exist at a position, with their last changes.
func (s *modelStore) itemsAt(at Position) map[string]Change {
	out := make(map[string]Change)
	for _, c := range s.histories[at.Era] {
		switch {
		case c.Revision > at.Revision:
		case c.Deleted:
			delete(out, c.Key)
		default:
			out[c.Key] = c
		}
	}
	return out
}

// watch returns the changes after a revision, as the store does for any revision that it
// has, and false if it does not have it.
func (s *modelStore) watch(after uint64) (Delta, bool) {
	d := Delta{Position: s.position()}
	for _, c := range s.histories[s.era] {
		if c.Revision > after {
			d.Changes = append(d.Changes, c)
		}
	}
	return d, after <= s.revision
}

// list returns all keys that exist now.
func (s *modelStore) list() Delta {
	d := Delta{Position: s.position(), Full: true}
	for _, c := range s.itemsAt(s.position()) {
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

// modelCopy is a copy, and the content that follows from the changes that it reported.
type modelCopy struct {
	*Replica
	reported map[string]string
}

// apply applies a delta and checks how it alters the copy.
func (c *modelCopy) apply(t *rapid.T, d Delta) {
	before := c.Position()
	for _, change := range c.Apply(d) {
		if change.Deleted {
			delete(c.reported, change.Key)
			must.True(t, change.Lapsed == (c.Position().Era != before.Era))
		} else {
			c.reported[change.Key] = string(change.Value)
		}
	}
	must.False(t, c.Position().Before(before))
	must.Eq(t, content(c.Replica), c.reported)
}

// TestReplicasMatchStore guards against copies that lack a change, keep a removed
// key, mix eras, or go back to an earlier position, and against changes of a copy that
// are not reported. The deltas come from the store as changes, from the store as a full
// listing (as after the store has discarded its history), or from another copy; some
// arrive late or twice. The store returns from backups.
func TestReplicasMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newModelStore()
		var copies []*modelCopy
		for range 3 {
			copies = append(copies, &modelCopy{NewReplica(), make(map[string]string)})
		}
		var delayed []Delta
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			r := copies[rapid.IntRange(0, 2).Draw(t, "replica")]
			before := r.Position()
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				s.write(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "deleted"))
			case 2:
				d := s.list()
				delayed = append(delayed, d)
				r.apply(t, d)
			case 3:
				if d, ok := s.watch(before.Revision); ok && !before.IsZero() {
					delayed = append(delayed, d)
					r.apply(t, d)
				}
			case 4, 5:
				from := copies[rapid.IntRange(0, 2).Draw(t, "from")]
				d, ahead := from.Since(before)
				must.Eq(t, before.Before(from.Position()), ahead)
				delayed = append(delayed, d)
				r.apply(t, d)
				must.True(t, !ahead || r.Position() == from.Position())
			case 6:
				if len(delayed) > 0 {
					d := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")]
					if d.Full || d.Era != before.Era || d.Revision <= before.Revision {
						r.apply(t, d)
					}
				}
			case 7:
				s.rollBack(rapid.Uint64Range(1, s.revision).Draw(t, "backup"))
			}
			if !r.Position().IsZero() {
				must.True(t, maps.Equal(values(s.itemsAt(r.Position())), content(r.Replica)), must.Sprint(s.histories, r.Position(), content(r.Replica)))
			}
		}
	})
}

// TestRemovalOfEarlierEra guards against a key that is lost because it was removed in the
// earlier era at a higher revision than the one at which it is written again.
func TestRemovalOfEarlierEra(t *testing.T) {
	r := NewReplica()
	r.Apply(Delta{Position: Position{0, 5}, Full: true, Changes: []Change{{Key: "a", Revision: 5}}})
	r.Apply(Delta{Position: Position{0, 9}, Changes: []Change{{Key: "a", Revision: 9, Deleted: true}}})
	r.Apply(Delta{Position: Position{1, 4}, Full: true})
	r.Apply(Delta{Position: Position{1, 6}, Changes: []Change{{Key: "a", Revision: 6}}})
	must.MapContainsKey(t, content(r), "a")
}

// TestOldVersionBehindRollback guards against a receiver whose version does not know eras,
// and which lacks the keys that were written in the new era up to its own revision. It also
// guards against full deltas to such receivers for longer than needed.
func TestOldVersionBehindRollback(t *testing.T) {
	r := NewReplica()
	r.Apply(Delta{Position: Position{0, 7}, Full: true, Changes: []Change{{Key: "a", Revision: 2}}})
	r.Apply(Delta{Position: Position{1, 3}, Full: true, Changes: []Change{{Key: "a", Revision: 2}}})
	_, ahead := r.Since(Position{UnknownEra, 5})
	must.False(t, ahead)
	r.Apply(Delta{Position: Position{1, 6}, Changes: []Change{{Key: "b", Revision: 4}, {Key: "c", Revision: 6}}})
	d, ahead := r.Since(Position{UnknownEra, 5})
	must.True(t, ahead && d.Full && d.Lapsed)
	must.SliceLen(t, 3, d.Changes)
	r.Apply(Delta{Position: Position{1, 9}, Changes: []Change{{Key: "c", Revision: 9}}})
	d, ahead = r.Since(Position{UnknownEra, 8})
	must.True(t, ahead)
	must.False(t, d.Full)
	must.SliceLen(t, 1, d.Changes)
}

// oldCopy is a copy of an instance whose version does not know eras.
type oldCopy struct{ *Replica }

func (c oldCopy) applyWithoutEra(d Delta) {
	d.Era = 0
	c.Apply(d)
}

// TestOldVersionCatchesUp guards against an instance whose version does not know eras, and
// which still lacks keys or keeps removed ones although all keys were written again and the
// revisions have passed those of before the return from the backup.
func TestOldVersionCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newModelStore()
		r, old := NewReplica(), oldCopy{NewReplica()}
		sync := func() {
			if d, ok := s.watch(r.Position().Revision); ok && r.Position().Era == s.era && !r.Position().IsZero() {
				r.Apply(d)
			} else {
				r.Apply(s.list())
			}
			if d, ahead := r.Since(Position{UnknownEra, old.Position().Revision}); ahead {
				old.applyWithoutEra(d)
			}
		}
		write := func() { s.write(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "deleted")) }
		for range rapid.IntRange(1, 3).Draw(t, "rollbacks") {
			for range rapid.IntRange(0, 10).Draw(t, "writes") {
				write()
				if rapid.Bool().Draw(t, "sync") {
					sync()
				}
			}
			sync()
			s.rollBack(rapid.Uint64Range(1, s.revision).Draw(t, "backup"))
			for range rapid.IntRange(0, 20).Draw(t, "writes after") {
				write()
				if rapid.Bool().Draw(t, "sync after") {
					sync()
				}
			}
			for s.revision <= old.Position().Revision {
				write()
			}
			for key := range 5 {
				s.write(fmt.Sprint(key), false)
			}
			sync()
			must.True(t, maps.Equal(values(s.itemsAt(s.position())), content(old.Replica)), must.Sprint(s.histories, content(old.Replica)))
		}
	})
}

// TestUnchangedKeysAfterRollback guards against reporting the keys that a return from a
// backup did not change: at the target size there are 18,000, and each is logged.
func TestUnchangedKeysAfterRollback(t *testing.T) {
	r := NewReplica()
	r.Apply(Delta{Position: Position{4, 9}, Full: true, Changes: []Change{{Key: "a", Revision: 3, Value: []byte("1")}, {Key: "b", Revision: 9, Value: []byte("2")}}})
	altered := r.Apply(Delta{Position: Position{5, 9}, Full: true, Changes: []Change{{Key: "a", Revision: 3, Value: []byte("1")}, {Key: "b", Revision: 9, Value: []byte("0")}}})
	must.Eq(t, []Change{{Key: "b", Revision: 9, Value: []byte("0")}}, altered)
}

// TestChangesWhileListingPages guards against losing a key that was written
// while the store sent the pages of a listing, and against keeping one that was
// removed meanwhile. The listing counts as complete only up to the revision of
// its first page, so the next delta repeats these changes.
func TestChangesWhileListingPages(t *testing.T) {
	r := NewReplica()
	r.Apply(Delta{Position: Position{Revision: 5}, Full: true, Changes: []Change{{Key: "a", Revision: 3}, {Key: "b", Revision: 7}, {Key: "c", Revision: 4}}})
	must.MapLen(t, 3, content(r))
	r.Apply(Delta{Position: Position{Revision: 8}, Changes: []Change{{Key: "c", Revision: 6, Deleted: true}, {Key: "b", Revision: 7}, {Key: "d", Revision: 8}}})
	must.Eq(t, map[string]string{"a": "", "b": "", "d": ""}, content(r))
}

// TestLapsedRemovals guards against removals implied by a full delta that lose
// their Lapsed flag when another copy gets them.
func TestLapsedRemovals(t *testing.T) {
	r := NewReplica()
	r.Apply(Delta{Position: Position{Revision: 5}, Full: true, Changes: []Change{{Key: "a", Revision: 3}}})
	altered := r.Apply(Delta{Position: Position{Revision: 9}, Full: true, Lapsed: true})
	must.Eq(t, []Change{{Key: "a", Revision: 9, Deleted: true, Lapsed: true}}, altered)
	follower := NewReplica()
	follower.Apply(Delta{Position: Position{Revision: 5}, Full: true, Changes: []Change{{Key: "a", Revision: 3}}})
	d, _ := r.Since(Position{0, 5})
	must.Eq(t, altered, follower.Apply(d))
}

// TestForgottenRemovalsNeedFullDelta guards against a delta from which removals are
// missing because the copy that serves it no longer remembers them: it must then
// serve a full delta.
func TestForgottenRemovalsNeedFullDelta(t *testing.T) {
	r := NewReplica()
	r.Apply(Delta{Position: Position{Revision: 1}, Full: true})
	revision := uint64(1)
	for range maxRemoved + 10 {
		r.Apply(Delta{Position: Position{Revision: revision + 2}, Changes: []Change{{Key: "k", Revision: revision + 1}, {Key: "k", Revision: revision + 2, Deleted: true}}})
		revision += 2
	}
	d, ahead := r.Since(Position{0, 2})
	must.True(t, ahead)
	must.True(t, d.Full)
	d, _ = r.Since(Position{0, revision - 1})
	must.False(t, d.Full)
}
