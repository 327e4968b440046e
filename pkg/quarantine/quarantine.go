// Package quarantine stores the fingerprints of requests that crash upstreams,
// so that such requests are refused. A Set does no I/O and reads no clock; its
// owner serialises access to it.
package quarantine

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// Duration is how long requests with a fingerprint are refused after such a
	// request has crashed an upstream on which it ran alone.
	Duration = 10 * time.Minute
	// DefaultLimit is the default limit on the entries of a set. With 64 bytes
	// per entry, a full set stays far below the memory budget for control data.
	DefaultLimit = 4096
)

// Entry is one quarantined fingerprint of a service.
type Entry struct {
	Fingerprint model.Fingerprint
	Service     string
	Until       time.Time
}

// Set holds quarantined fingerprints with their expiry. When it is full, it
// evicts the entry that expires first.
type Set struct {
	limit   int
	entries map[model.Fingerprint]Entry
}

// New returns an empty set of at most limit entries; a limit below one means
// DefaultLimit.
func New(limit int) *Set {
	if limit < 1 {
		limit = DefaultLimit
	}
	return &Set{limit: limit, entries: make(map[model.Fingerprint]Entry)}
}

// Add stores the entry or extends its expiry, and reports whether the set
// changed. It ignores an expired entry. It limits the expiry to Duration from
// now, so that a peer with a wrong clock cannot set a later one.
func (s *Set) Add(now time.Time, e Entry) bool {
	if latest := now.Add(Duration); e.Until.After(latest) {
		e.Until = latest
	}
	if !e.Until.After(now) {
		return false
	}
	old, ok := s.entries[e.Fingerprint]
	if ok && !e.Until.After(old.Until) {
		return false
	}
	if !ok && len(s.entries) >= s.limit {
		s.evict(now)
	}
	s.entries[e.Fingerprint] = e
	return true
}

// Merge adds entries received from another instance and returns those that
// changed the set.
func (s *Set) Merge(now time.Time, entries []Entry) []Entry {
	var changed []Entry
	for _, e := range entries {
		if s.Add(now, e) {
			changed = append(changed, s.entries[e.Fingerprint])
		}
	}
	return changed
}

// Blocked reports whether requests with the fingerprint are refused.
func (s *Set) Blocked(now time.Time, f model.Fingerprint) bool {
	e, ok := s.entries[f]
	return ok && e.Until.After(now)
}

// Entries drops expired entries and returns the rest, the latest expiry first.
func (s *Set) Entries(now time.Time) []Entry {
	s.expire(now)
	out := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return expiresBefore(out[j], out[i]) })
	return out
}

// Len returns the number of stored entries, expired ones included.
func (s *Set) Len() int { return len(s.entries) }

func (s *Set) expire(now time.Time) {
	for f, e := range s.entries {
		if !e.Until.After(now) {
			delete(s.entries, f)
		}
	}
}

// evict removes expired entries or, if the set is still full, the entry that
// expires first.
func (s *Set) evict(now time.Time) {
	s.expire(now)
	if len(s.entries) < s.limit {
		return
	}
	var first Entry
	found := false
	for _, e := range s.entries {
		if !found || expiresBefore(e, first) {
			first, found = e, true
		}
	}
	delete(s.entries, first.Fingerprint)
}

// expiresBefore orders entries by expiry and then by fingerprint.
func expiresBefore(a, b Entry) bool {
	if !a.Until.Equal(b.Until) {
		return a.Until.Before(b.Until)
	}
	return a.Fingerprint < b.Fingerprint
}

// Fingerprint hashes service, operation and payload. Each field is preceded by
// its length, so that different requests always have different hash inputs.
func Fingerprint(service, operation string, payload []byte) model.Fingerprint {
	h := xxhash.New()
	writeField(h, []byte(service))
	writeField(h, []byte(operation))
	writeField(h, payload)
	return model.Fingerprint(h.Sum64())
}

func writeField(h *xxhash.Digest, b []byte) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(b)))
	_, _ = h.Write(size[:])
	_, _ = h.Write(b)
}
