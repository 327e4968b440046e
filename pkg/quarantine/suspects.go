package quarantine

import (
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
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
	// departureLifetime is how long a departure is remembered. Attempts that were sent
	// before it end within this time.
	departureLifetime = time.Minute
	// maxCheckTime is how long the health check of a departed upstream takes at most.
	maxCheckTime = time.Second
	// maxDepartures bounds the number of remembered departures.
	maxDepartures = 1024
	// leavingServiceTime is how long an upstream certainly serves on after its removal
	// was read, if it leaves as planned. The platform lets it serve for three seconds
	// after the removal, and the removal is usually read within one.
	leavingServiceTime = 2 * time.Second
)

// Suspect is a request to which an upstream gave no answer, maybe because it crashed.
type Suspect struct {
	Crash
	// Query is true for a query over shards, and Trial if it was tried on this upstream
	// alone.
	Query, Trial bool
	// RequestID, Unanswered and Ending are for log lines: the id of the request, the number
	// of its attempts that had ended without an answer when the upstream was checked, and
	// how this one ended.
	RequestID  string
	Unanswered int
	Ending     string
	// SentAt is when the attempt began, and LostAt when it ended without an answer.
	SentAt, LostAt time.Time
	// Accepting is true if the upstream accepts new connections, or has answered a
	// request that was sent after LostAt. It crashed only if another process has
	// started under its id.
	Accepting bool
}

func (s *Suspect) expired(now time.Time) bool {
	if s.Accepting {
		return now.Sub(s.LostAt) > restartedLifetime
	}
	return now.Sub(s.LostAt) > suspectLifetime
}

// departureState says what is known of a departure.
type departureState int

const (
	// departureUnchecked: no request had been waiting for long when the entry was removed.
	departureUnchecked departureState = iota
	// departureChecking: a health check of the upstream is in progress.
	departureChecking
	// departurePlanned: the upstream reported that it leaves, or still answered after its
	// entry was removed.
	departurePlanned
	// departureCrashed: the upstream no longer answered when its entry was removed.
	departureCrashed
)

// departure says that an upstream reported that it leaves, or that its entry was removed
// without such a report.
type departure struct {
	// started identifies the process; see Crash.Started.
	started int64
	at      time.Time
	state   departureState
	// held are the suspects that wait for the health check.
	held []Suspect
}

// Suspects holds the requests for which only the registry of upstreams can show whether
// their upstream crashed. The removal of an entry alone does not show it, because an
// upstream may also leave that way without notice: it then continues to answer for some
// seconds, so a health check tells the two apart. Suspects does no I/O and reads no clock;
// its owner serialises access to it.
type Suspects struct {
	list []Suspect
	// departures holds the last departure of each upstream.
	departures map[string]*departure
	// lastCheck is when the last health check of a departed upstream began.
	lastCheck time.Time
}

// departureOf returns the departure of an upstream's process, or nil.
func (l *Suspects) departureOf(upstream string, started int64) *departure {
	if d := l.departures[upstream]; d != nil && d.started == started {
		return d
	}
	return nil
}

// Any reports whether there may be undecided suspects.
func (l *Suspects) Any(now time.Time) bool {
	return len(l.list) > 0 || now.Sub(l.lastCheck) <= maxCheckTime
}

// Decision is what must be done about a suspect whose upstream is no longer listed.
type Decision int

// Decisions.
const (
	// Wait: nothing is known yet.
	Wait Decision = iota
	// CheckHealth: the caller must check the health of the upstream and pass the result
	// to CheckFinished.
	CheckHealth
	// NoCrash: the upstream left as planned, or it cannot be known whether it did.
	NoCrash
	// Crashed: the upstream crashed.
	Crashed
)

// Add stores a suspect whose upstream is listed. If there are too many suspects, the
// oldest one is dropped.
func (l *Suspects) Add(now time.Time, s Suspect) {
	l.expire(now)
	if len(l.list) >= maxSuspects {
		l.list = slices.Delete(l.list, 0, 1)
	}
	l.list = append(l.list, s)
}

// AddDeparted decides on a suspect whose upstream is not listed any more.
func (l *Suspects) AddDeparted(now time.Time, s Suspect) Decision {
	d := l.departureOf(s.Upstream, s.Started)
	switch {
	case d == nil || s.Accepting:
		return NoCrash
	case d.state == departureCrashed:
		return Crashed
	case d.state == departureChecking:
		d.held = append(d.held, s)
		return Wait
	case d.state == departurePlanned || now.Sub(d.at) > leavingServiceTime:
		return NoCrash
	}
	d.state, d.held = departureChecking, []Suspect{s}
	l.lastCheck = now
	return CheckHealth
}

// MayEndAsPlanned reports whether an upstream may have ended because it left as planned.
func (l *Suspects) MayEndAsPlanned(now time.Time, c Crash) bool {
	d := l.departureOf(c.Upstream, c.Started)
	return d != nil && (d.state == departurePlanned || d.state != departureCrashed && now.Sub(d.at) > leavingServiceTime)
}

// LastUndecided returns when the last attempt of the request was sent of which the registry
// may still show that it crashed its upstream. It returns false if there is none.
func (l *Suspects) LastUndecided(now time.Time, f model.Fingerprint) (sentAt time.Time, ok bool) {
	find := func(list []Suspect) {
		for i := range list {
			if s := &list[i]; s.Fingerprint == f && !s.Accepting && !s.expired(now) && s.SentAt.After(sentAt) {
				sentAt, ok = s.SentAt, true
			}
		}
	}
	find(l.list)
	if now.Sub(l.lastCheck) > maxCheckTime {
		return sentAt, ok
	}
	for _, d := range l.departures {
		if d.state == departureChecking {
			find(d.held)
		}
	}
	return sentAt, ok
}

// EndedAround reports whether another upstream ended without notice within
// simultaneousCrashTime of the given time.
func (l *Suspects) EndedAround(at time.Time, upstream string) bool {
	for id, d := range l.departures {
		if id != upstream && d.state != departurePlanned && d.at.Sub(at).Abs() <= simultaneousCrashTime {
			return true
		}
	}
	return false
}

// UpstreamAnswered records that an upstream answered a request that was sent at the given
// time. It had not crashed when earlier requests were lost.
func (l *Suspects) UpstreamAnswered(upstream string, started int64, sentAt time.Time) {
	for i := range l.list {
		s := &l.list[i]
		if s.Upstream == upstream && s.Started == started && sentAt.After(s.LostAt) {
			s.Accepting = true
		}
	}
}

// UpstreamDraining records that an upstream has reported that it leaves. The report shows
// that it ran, so the requests that it did not answer did not crash it.
func (l *Suspects) UpstreamDraining(now time.Time, upstream string, started int64) {
	l.take(now, func(s *Suspect) bool { return s.Upstream == upstream && s.Started == started })
	l.setDeparture(upstream, &departure{started: started, at: now, state: departurePlanned})
}

// UpstreamReady records that the entry of an upstream says that it takes requests, maybe
// again after a departure.
func (l *Suspects) UpstreamReady(upstream string, started int64) {
	if l.departureOf(upstream, started) != nil {
		delete(l.departures, upstream)
	}
}

// UpstreamRestarted removes and returns the requests that an earlier process with the
// upstream's id did not answer. An upstream that leaves as planned serves on after the
// removal of its entry, so one that is replaced sooner has crashed.
func (l *Suspects) UpstreamRestarted(now time.Time, upstream string, started int64) []Suspect {
	out := l.take(now, func(s *Suspect) bool { return s.Upstream == upstream && s.Started != started })
	d := l.departures[upstream]
	if d != nil && d.started != started && now.Sub(d.at) <= leavingServiceTime {
		out = append(out, d.held...)
		d.held, d.state = nil, departureCrashed
	}
	return out
}

// UpstreamRemoved records that the entry of a ready upstream was removed, and reports
// whether the caller must check the health of the upstream and pass the result to
// CheckFinished. waiting is true if the upstream has long not answered an attempt that is
// still in flight.
func (l *Suspects) UpstreamRemoved(now time.Time, upstream string, started int64, waiting bool) bool {
	l.expire(now)
	d := &departure{started: started, at: now, state: departureUnchecked}
	for _, s := range l.take(now, func(s *Suspect) bool { return s.Upstream == upstream && s.Started == started }) {
		if !s.Accepting {
			d.held = append(d.held, s)
		}
	}
	if waiting || len(d.held) > 0 {
		d.state = departureChecking
		l.lastCheck = now
	}
	l.setDeparture(upstream, d)
	return d.state == departureChecking
}

func (l *Suspects) setDeparture(upstream string, d *departure) {
	if l.departures == nil {
		l.departures = make(map[string]*departure)
	}
	if _, ok := l.departures[upstream]; !ok && len(l.departures) >= maxDepartures {
		l.dropOldestDeparture()
	}
	l.departures[upstream] = d
}

func (l *Suspects) dropOldestDeparture() {
	oldest := ""
	for upstream, d := range l.departures {
		if oldest == "" || d.at.Before(l.departures[oldest].at) {
			oldest = upstream
		}
	}
	delete(l.departures, oldest)
}

// CheckFinished records whether a removed upstream still answered its health check. It
// returns the requests during which the upstream crashed.
func (l *Suspects) CheckFinished(upstream string, started int64, answered bool) []Suspect {
	d := l.departureOf(upstream, started)
	if d == nil || d.state != departureChecking {
		return nil
	}
	if answered {
		d.state = departurePlanned
		return nil
	}
	held := d.held
	d.held, d.state = nil, departureCrashed
	return held
}

func (l *Suspects) take(now time.Time, taken func(*Suspect) bool) []Suspect {
	l.expire(now)
	var out []Suspect
	l.list = slices.DeleteFunc(l.list, func(s Suspect) bool {
		if !taken(&s) {
			return false
		}
		out = append(out, s)
		return true
	})
	return out
}

func (l *Suspects) expire(now time.Time) {
	l.list = slices.DeleteFunc(l.list, func(s Suspect) bool { return s.expired(now) })
	for p, d := range l.departures {
		if now.Sub(d.at) > departureLifetime {
			delete(l.departures, p)
		}
	}
}
