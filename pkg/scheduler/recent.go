package scheduler

import (
	"github.com/sardineturn/sardineturn/pkg/model"
)

// recentSet is a set of fingerprints of bounded size that forgets the one
// that was added first.
type recentSet struct {
	members map[model.Fingerprint]struct{}
	ring    []model.Fingerprint
	next    int
	limit   int
}

func newRecentSet(limit int) recentSet {
	return recentSet{members: make(map[model.Fingerprint]struct{}), limit: limit}
}

func (r *recentSet) has(f model.Fingerprint) bool {
	_, ok := r.members[f]
	return ok
}

func (r *recentSet) add(f model.Fingerprint) {
	if r.has(f) {
		return
	}
	r.members[f] = struct{}{}
	if len(r.ring) < r.limit {
		r.ring = append(r.ring, f)
		return
	}
	delete(r.members, r.ring[r.next])
	r.ring[r.next] = f
	r.next = (r.next + 1) % r.limit
}

// remove forgets a member. Its place in the ring is reused in turn.
func (r *recentSet) remove(f model.Fingerprint) { delete(r.members, f) }
