package quarantine

import (
	"slices"
	"time"
)

const (
	// suspectLifetime is how long the registry may take to show that an upstream that
	// fell silent has ended: the entry of a crashed upstream is removed after three
	// missed reports.
	suspectLifetime = 10 * time.Second
	// restartedLifetime replaces suspectLifetime for an upstream that accepts
	// connections: if it crashed, it is already running again and registers at once.
	restartedLifetime = 3 * time.Second
	// maxSuspects bounds the number of suspects.
	maxSuspects = 256
)

// Suspect is a request to which an upstream gave no answer, maybe because it crashed.
type Suspect struct {
	Crash
	// Ending says, for log lines, how the attempt ended.
	Ending string
	// LostAt is when the attempt ended without an answer.
	LostAt time.Time
	// Accepting is true if the upstream accepts new connections. It crashed only if
	// another process has started under its id.
	Accepting bool
}

func (s *Suspect) expired(now time.Time) bool {
	if s.Accepting {
		return now.Sub(s.LostAt) > restartedLifetime
	}
	return now.Sub(s.LostAt) > suspectLifetime
}

// Suspects holds the requests for which only the registry of upstreams can show whether
// their upstream crashed. It does no I/O and reads no clock; its owner serialises access
// to it.
type Suspects struct {
	list []Suspect
}

// Add stores a suspect. If there are too many, the oldest one is dropped.
func (l *Suspects) Add(now time.Time, s Suspect) {
	l.expire(now)
	if len(l.list) >= maxSuspects {
		l.list = slices.Delete(l.list, 0, 1)
	}
	l.list = append(l.list, s)
}

// UpstreamRestarted removes and returns the requests that an earlier process with the
// upstream's id did not answer.
func (l *Suspects) UpstreamRestarted(now time.Time, upstream string, started int64) []Suspect {
	return l.take(now, func(s *Suspect) bool { return s.Upstream == upstream && s.Started != started })
}

// UpstreamRemoved removes and returns the requests that an upstream did not answer whose
// entry was removed without notice.
func (l *Suspects) UpstreamRemoved(now time.Time, upstream string) []Suspect {
	return l.take(now, func(s *Suspect) bool { return s.Upstream == upstream && !s.Accepting })
}

func (l *Suspects) take(now time.Time, crashed func(*Suspect) bool) []Suspect {
	l.expire(now)
	var out []Suspect
	l.list = slices.DeleteFunc(l.list, func(s Suspect) bool {
		if !crashed(&s) {
			return false
		}
		out = append(out, s)
		return true
	})
	return out
}

func (l *Suspects) expire(now time.Time) {
	l.list = slices.DeleteFunc(l.list, func(s Suspect) bool { return s.expired(now) })
}
