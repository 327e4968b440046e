package scheduler

import (
	"github.com/sardineturn/sardineturn/pkg/model"
)

// fingerprintSet is a set of fingerprints of bounded size. When it is full, a
// new fingerprint replaces the one that was added first.
type fingerprintSet struct {
	members map[model.Fingerprint]struct{}
	// ring lists the fingerprints in the order of their addition, and oldest is
	// the index of the first of them once the ring is full.
	ring   []model.Fingerprint
	oldest int
	limit  int
}

func newFingerprintSet(limit int) fingerprintSet {
	return fingerprintSet{members: make(map[model.Fingerprint]struct{}), limit: limit}
}

func (s *fingerprintSet) has(f model.Fingerprint) bool {
	_, ok := s.members[f]
	return ok
}

func (s *fingerprintSet) add(f model.Fingerprint) {
	if s.has(f) {
		return
	}
	s.members[f] = struct{}{}
	if len(s.ring) < s.limit {
		s.ring = append(s.ring, f)
		return
	}
	delete(s.members, s.ring[s.oldest])
	s.ring[s.oldest] = f
	s.oldest = (s.oldest + 1) % s.limit
}

// remove removes a fingerprint. Its place in the ring stays occupied until it is
// the oldest.
func (s *fingerprintSet) remove(f model.Fingerprint) { delete(s.members, f) }
