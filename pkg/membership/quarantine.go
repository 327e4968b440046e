package membership

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/wire"
)

const (
	// maxQuarantines bounds the number of known quarantine entries.
	maxQuarantines = 1024
	// maxQuarantineLifetime bounds the remaining lifetime of a received entry.
	maxQuarantineLifetime = time.Hour
	// quarantineExpiryTolerance is by how much later a received entry must expire
	// than the known one to replace it. Copies of an entry differ because each hop
	// adds its transit time. Known entries that expire sooner than this are not
	// sent to other members, which may have dropped them already.
	quarantineExpiryTolerance = 5 * time.Second
	// disprovedFactor makes the hash of a disproved entry differ from its former one. It
	// is odd, so that different fingerprints have different hashes.
	disprovedFactor = 0x9E3779B1
)

// Quarantine is an entry of the quarantine list. See quarantine.Entry for the fields.
type Quarantine struct {
	Fingerprint model.Fingerprint
	Service     string
	Until       time.Time
	CrashOf     model.Fingerprint
	Disproved   bool
}

// quarantineList holds the quarantine entries that this instance knows. New entries
// are sent to other members a bounded number of times. An instance that they did not
// reach, because it was cut off, paused or not running, has another digest; the
// members that see it then send it what they know.
type quarantineList struct {
	entries map[model.Fingerprint]Quarantine
	// digest combines the hashes of all entries by exclusive or.
	digest uint32
	// lastSent is the fingerprint at which appendKnown stopped.
	lastSent model.Fingerprint
}

// add records an entry, unless it is known already or the maximum number of entries is
// reached, and reports whether it has recorded the entry.
func (l *quarantineList) add(now time.Time, q Quarantine) bool {
	old, known := l.entries[q.Fingerprint]
	if known && (old.Disproved || !q.Disproved) && q.Until.Sub(old.Until) < quarantineExpiryTolerance {
		return false
	}
	if !known && len(l.entries) >= maxQuarantines {
		l.expire(now)
		if len(l.entries) >= maxQuarantines {
			return false
		}
	}
	if known {
		l.digest ^= old.hash()
		q.Disproved = q.Disproved || old.Disproved
		if old.Until.After(q.Until) {
			q.Until = old.Until
		}
	}
	l.digest ^= q.hash()
	l.entries[q.Fingerprint] = q
	return true
}

// hash returns what the entry contributes to the digest.
func (q *Quarantine) hash() uint32 {
	h := uint32(q.Fingerprint)
	if q.Disproved {
		return h * disprovedFactor
	}
	return h
}

// expire removes the entries that have expired and reports whether there were any.
func (l *quarantineList) expire(now time.Time) bool {
	before := len(l.entries)
	for f, q := range l.entries {
		if !q.Until.After(now) {
			l.digest ^= q.hash()
			delete(l.entries, f)
		}
	}
	return len(l.entries) < before
}

// appendKnown appends as many entries as fit into room. It continues after the entries
// that the last call appended, so that all of them are sent in turn.
func (l *quarantineList) appendKnown(now time.Time, b []byte, room int) []byte {
	fingerprints := slices.Sorted(maps.Keys(l.entries))
	first, _ := slices.BinarySearch(fingerprints, l.lastSent+1)
	for i := range fingerprints {
		q := l.entries[fingerprints[(first+i)%len(fingerprints)]]
		if q.Until.Sub(now) < quarantineExpiryTolerance {
			continue
		}
		data := encode(&wire.Control{KnownQuarantines: []*wire.Quarantine{quarantineToWire(q, now)}})
		if len(data) > room {
			break
		}
		room -= len(data)
		b = append(b, data...)
		l.lastSent = q.Fingerprint
	}
	return b
}

func quarantineToWire(q Quarantine, now time.Time) *wire.Quarantine {
	return &wire.Quarantine{
		Fingerprint: uint64(q.Fingerprint),
		Service:     q.Service,
		TimeLeftMs:  q.Until.Sub(now).Milliseconds(),
		CrashOf:     uint64(q.CrashOf),
		Disproved:   q.Disproved,
	}
}

// quarantineFromWire returns a received entry, and false if it is invalid or has
// expired.
func quarantineFromWire(now time.Time, w *wire.Quarantine) (Quarantine, bool) {
	timeLeft := time.Duration(min(max(w.GetTimeLeftMs(), 0), maxQuarantineLifetime.Milliseconds())) * time.Millisecond
	q := Quarantine{Fingerprint: model.Fingerprint(w.GetFingerprint()), Service: w.GetService(), Until: now.Add(timeLeft), CrashOf: model.Fingerprint(w.GetCrashOf()), Disproved: w.GetDisproved()}
	return q, timeLeft > 0 && len(q.Service) <= maxNameBytes
}

// AnnounceQuarantine queues a quarantine entry for sending to other instances.
// Entries received in datagrams are passed on without this call.
func (m *Membership) AnnounceQuarantine(q Quarantine) {
	m.addQuarantine(m.lastCallAt, q, true)
}

// addQuarantine records an entry and, if announce is true, queues it for sending. It
// reports whether the entry is new, expires later than the known one or was disproved.
func (m *Membership) addQuarantine(now time.Time, q Quarantine, announce bool) bool {
	before := m.quarantines.digest
	added := m.quarantines.add(now, q)
	if m.quarantines.digest != before {
		m.encodePrefixes()
	}
	if added && announce {
		m.quarantineUpdates.put(quarantineKey(q.Fingerprint), nil)
	}
	return added
}

// expireQuarantines removes the entries that have expired.
func (m *Membership) expireQuarantines(now time.Time) {
	if m.quarantines.expire(now) {
		m.encodePrefixes()
	}
}

// receiveQuarantines records the entries of a datagram, and returns those that are new,
// expire later than the known ones or were disproved.
func (m *Membership) receiveQuarantines(now time.Time, c *wire.Control) []Quarantine {
	var added []Quarantine
	receive := func(list []*wire.Quarantine, announce bool) {
		for _, w := range list {
			if q, ok := quarantineFromWire(now, w); ok && m.addQuarantine(now, q, announce) {
				added = append(added, q)
			}
		}
	}
	receive(c.GetQuarantines(), true)
	receive(c.GetKnownQuarantines(), false)
	return added
}

// appendQuarantineUpdates appends queued quarantine entries. They are encoded
// only when they are sent, since they carry the time left until they expire.
func (m *Membership) appendQuarantineUpdates(now time.Time, b []byte, limit, room int) []byte {
	encodeKey := func(key string) []byte {
		q := m.quarantines.entries[parseQuarantineKey(key)]
		if !q.Until.After(now) {
			return nil
		}
		return encode(&wire.Control{Quarantines: []*wire.Quarantine{quarantineToWire(q, now)}})
	}
	return m.quarantineUpdates.fill(b, min(quarantineBytesPerDatagram, room), limit, encodeKey)
}

func quarantineKey(f model.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

func parseQuarantineKey(key string) model.Fingerprint {
	v, _ := strconv.ParseUint(key, 16, 64)
	return model.Fingerprint(v)
}
