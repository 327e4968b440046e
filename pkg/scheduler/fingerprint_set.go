package scheduler

import (
	"github.com/sardineturn/sardineturn/pkg/model"
)

// fingerprintSet is a set of fingerprints of bounded size. When it is full, a
// new fingerprint replaces the one that was added first.
type fingerprintSet struct {
	members map[model.Fingerprint]struct{}
	ring    []model.Fingerprint
	oldest  int
	limit   int
}

func newFingerprintSet(limit int) fingerprintSet {
	return fingerprintSet{members: make(map[model.Fingerprint]struct{}), limit: limit}
}

func (r *fingerprintSet) has(f model.Fingerprint) bool {
	_, ok := r.members[f]
	return ok
}

func (r *fingerprintSet) add(f model.Fingerprint) {
	if r.has(f) {
		return
	}
	r.members[f] = struct{}{}
	if len(r.ring) < r.limit {
		r.ring = append(r.ring, f)
		return
	}
	delete(r.members, r.ring[r.oldest])
	r.ring[r.oldest] = f
	r.oldest = (r.oldest + 1) % r.limit
}

// remove removes a fingerprint. Its place in the ring is reused when its turn
// comes.
func (r *fingerprintSet) remove(f model.Fingerprint) { delete(r.members, f) }
