// Package quarantine stores the fingerprints of requests that crash upstreams, so that
// such requests are refused, and the records of crashes from which this follows. A Set
// does no I/O and reads no clock; its owner serialises access to it.
package quarantine

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// Duration is how long an entry is kept: how long requests with a fingerprint are
	// refused, and how long a crash counts.
	Duration = 10 * time.Minute
	// DefaultLimit is the default limit on the entries of a set. With 64 bytes
	// per entry, a full set stays far below the memory budget for control data.
	DefaultLimit = 4096
)

// CrashLimit is the number of upstream processes that requests with a fingerprint may
// crash; after that, such requests are refused.
const CrashLimit = 2

// simultaneousCrashTime is the time within which several upstreams may crash for one
// reason, such as the loss of a rack. If a request has been answered before, upstreams
// that crash together while they run it show no more than one crash does.
const simultaneousCrashTime = 2 * time.Second

// Entry is a quarantined fingerprint of a service, or the record of one crash.
type Entry struct {
	Fingerprint model.Fingerprint
	Service     string
	Until       time.Time
	// CrashOf is zero if requests with Fingerprint are refused. Otherwise the entry
	// records that a request with the fingerprint CrashOf crashed an upstream process,
	// and Fingerprint identifies the request and the process.
	CrashOf model.Fingerprint
	// Disproved is true if an upstream has answered the request since the crash, so that
	// the crash had another cause and does not count.
	Disproved bool
}

// Crash is a crash of an upstream while it ran a request.
type Crash struct {
	Fingerprint model.Fingerprint
	Service     string
	Upstream    string
	// Started is the Unix time of the upstream's start in milliseconds.
	Started int64
}

// sameCrashWindow is the time within which instances detect the same crash. If the same
// process seems to crash again later, it was restarted meanwhile and the registry does
// not show that yet.
const sameCrashWindow = time.Second

// record returns the n-th record of crashes of the same process, as far as the registry
// shows. Records of the same crash by different instances are equal, and records of
// different crashes differ, so that instances can merge them without losing a crash.
func (c Crash) record(now time.Time, n int) Entry {
	h := xxhash.New()
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(c.Fingerprint))
	binary.LittleEndian.PutUint64(b[8:16], uint64(c.Started))
	binary.LittleEndian.PutUint64(b[16:], uint64(n))
	_, _ = h.Write(b[:])
	writeField(h, []byte(c.Upstream))
	return Entry{Fingerprint: model.Fingerprint(h.Sum64()), Service: c.Service, Until: now.Add(Duration), CrashOf: c.Fingerprint}
}

// Set holds quarantined fingerprints and crash records with their expiry. When it is
// full, it evicts the entry that expires first.
type Set struct {
	limit   int
	entries map[model.Fingerprint]Entry
	// crashes holds the fingerprints of the crash records of each request.
	crashes map[model.Fingerprint][]model.Fingerprint
	// counting is the number of crash records that are not disproved.
	counting int
}

// New returns an empty set of at most limit entries; a limit below one means
// DefaultLimit.
func New(limit int) *Set {
	if limit < 1 {
		limit = DefaultLimit
	}
	return &Set{limit: limit, entries: make(map[model.Fingerprint]Entry), crashes: make(map[model.Fingerprint][]model.Fingerprint)}
}

// Add stores the entry, extends its expiry or marks it as disproved, and reports whether
// the set changed. It ignores an expired entry. It limits the expiry to Duration from
// now, so that a peer with a wrong clock cannot set a later one.
func (s *Set) Add(now time.Time, e Entry) bool {
	if latest := now.Add(Duration); e.Until.After(latest) {
		e.Until = latest
	}
	if !e.Until.After(now) {
		return false
	}
	old, ok := s.entries[e.Fingerprint]
	if ok && !e.Until.After(old.Until) && (old.Disproved || !e.Disproved) {
		return false
	}
	if !ok && len(s.entries) >= s.limit {
		s.evict(now)
	}
	if ok {
		e.CrashOf = old.CrashOf
		e.Disproved = e.Disproved || old.Disproved
		if old.Until.After(e.Until) {
			e.Until = old.Until
		}
	} else if e.CrashOf != 0 {
		s.crashes[e.CrashOf] = append(s.crashes[e.CrashOf], e.Fingerprint)
	}
	s.counting += e.weight() - old.weight()
	s.entries[e.Fingerprint] = e
	return true
}

// weight returns the number of crashes for which the entry counts.
func (e *Entry) weight() int {
	if e.CrashOf == 0 || e.Disproved {
		return 0
	}
	return 1
}

// AddCrash stores the record of a crash that this instance detected at now, and returns
// it. It returns false if the crash is known already. sentAt is when the attempt on the
// upstream began; zero if unknown. If an earlier crash of the process was detected later
// than that, it is the same one.
func (s *Set) AddCrash(now, sentAt time.Time, c Crash) (Entry, bool) {
	for n := 0; ; n++ {
		record := c.record(now, n)
		known, ok := s.entries[record.Fingerprint]
		switch {
		case !ok || !known.Until.After(now):
			return record, s.Add(now, record)
		case record.Until.Sub(known.Until) < sameCrashWindow, !sentAt.IsZero() && !sentAt.After(known.Until.Add(-Duration)):
			return known, false
		}
	}
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

// Answered marks the crash records of a request on the upstreams of a service as
// disproved, because one of them has answered the request. It returns the records that
// counted before.
func (s *Set) Answered(now time.Time, f model.Fingerprint, service string) []Entry {
	var changed []Entry
	for _, record := range s.crashes[f] {
		e := s.entries[record]
		if e.Service != service || e.Disproved || !e.Until.After(now) {
			continue
		}
		e.Disproved = true
		s.counting--
		s.entries[record] = e
		changed = append(changed, e)
	}
	return changed
}

// CountsCrashes reports whether any crash record counts. Expired records may be included.
func (s *Set) CountsCrashes() bool { return s.counting > 0 }

// Blocked reports whether requests with the fingerprint are refused. answered reports
// whether upstreams of a service have answered such a request before; nil means that none
// has.
func (s *Set) Blocked(now time.Time, f model.Fingerprint, answered func(service string) bool) bool {
	if s.Confirmed(now, f) {
		return true
	}
	total, unanswered := 0, 0
	var first, last time.Time
	for _, record := range s.crashes[f] {
		e := s.entries[record]
		if e.Disproved || !e.Until.After(now) {
			continue
		}
		if total == 0 || e.Until.Before(first) {
			first = e.Until
		}
		if e.Until.After(last) {
			last = e.Until
		}
		total++
		if answered == nil || !answered(e.Service) {
			unanswered++
		}
	}
	return unanswered >= CrashLimit || total >= CrashLimit && last.Sub(first) > simultaneousCrashTime
}

// Crashes returns the number of recorded crashes that requests with the fingerprint
// caused, without those that are disproved.
func (s *Set) Crashes(now time.Time, f model.Fingerprint) int {
	n := 0
	for _, record := range s.crashes[f] {
		if e := s.entries[record]; !e.Disproved && e.Until.After(now) {
			n++
		}
	}
	return n
}

// LastCrash returns when the last crash was recorded under a request with the fingerprint,
// and the service of the upstream, without crashes that are disproved. It returns false if
// there is none.
func (s *Set) LastCrash(now time.Time, f model.Fingerprint) (at time.Time, service string, ok bool) {
	var last Entry
	for _, record := range s.crashes[f] {
		if e := s.entries[record]; e.weight() > 0 && e.Until.After(now) && e.Until.After(last.Until) {
			last = e
		}
	}
	return last.Until.Add(-Duration), last.Service, last.CrashOf != 0
}

// Acquitted reports whether crashes were recorded under requests with the fingerprint and
// all of them are disproved.
func (s *Set) Acquitted(now time.Time, f model.Fingerprint) bool {
	return len(s.crashes[f]) > 0 && s.Crashes(now, f) == 0
}

// CrashedServices returns the services of the upstreams that crashed under a request with
// the fingerprint, without crashes that are disproved.
func (s *Set) CrashedServices(now time.Time, f model.Fingerprint) []string {
	var out []string
	for _, record := range s.crashes[f] {
		if e := s.entries[record]; e.weight() > 0 && e.Until.After(now) && !slices.Contains(out, e.Service) {
			out = append(out, e.Service)
		}
	}
	return out
}

// CrashedAround reports whether a crash of another upstream process was recorded within
// simultaneousCrashTime of the given time.
func (s *Set) CrashedAround(at time.Time, c Crash) bool {
	for _, e := range s.entries {
		if e.CrashOf == 0 || e.Until.Add(-Duration).Sub(at).Abs() > simultaneousCrashTime {
			continue
		}
		sameProcess := Crash{Fingerprint: e.CrashOf, Upstream: c.Upstream, Started: c.Started}
		if sameProcess.record(at, 0).Fingerprint != e.Fingerprint {
			return true
		}
	}
	return false
}

// Confirm quarantines requests with the fingerprint, because they crash upstreams of the
// service, and returns the entry. It returns false if the entry is known.
func (s *Set) Confirm(now time.Time, f model.Fingerprint, service string) (Entry, bool) {
	e := Entry{Fingerprint: f, Service: service, Until: now.Add(Duration)}
	return e, s.Add(now, e)
}

// Confirmed reports whether requests with the fingerprint are quarantined by an entry of
// their own, and not because of records of crashes.
func (s *Set) Confirmed(now time.Time, f model.Fingerprint) bool {
	e, ok := s.entries[f]
	return ok && e.CrashOf == 0 && e.Until.After(now)
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
			s.remove(f)
		}
	}
}

func (s *Set) remove(f model.Fingerprint) {
	removed := s.entries[f]
	request := removed.CrashOf
	s.counting -= removed.weight()
	delete(s.entries, f)
	if request == 0 {
		return
	}
	records := slices.DeleteFunc(s.crashes[request], func(r model.Fingerprint) bool { return r == f })
	if len(records) == 0 {
		delete(s.crashes, request)
		return
	}
	s.crashes[request] = records
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
	s.remove(first.Fingerprint)
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
