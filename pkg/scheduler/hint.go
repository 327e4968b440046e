package scheduler

import (
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// hintHold is how long a report of an upstream's endpoints is considered.
const hintHold = 5 * time.Second

// hint is what an upstream's health and load endpoints said. Calls outvote it:
// a success after an unhealthy report cancels that report.
type hint struct {
	at        time.Time
	unhealthy bool
	draining  bool
	// snapshots are the reported index versions; empty means not reported.
	snapshots []model.SnapshotID
}

// SetUpstreamStatus records a report of an upstream's endpoints. Reports may lag or
// mislead: they change preferences, and only draining excludes an upstream.
func (s *Scheduler) SetUpstreamStatus(now time.Time, name string, st port.UpstreamStatus) []Action {
	s.begin(now)
	if u := s.upstreams[name]; u != nil {
		s.applyHint(u, st)
	}
	return s.finishStep()
}

func (s *Scheduler) applyHint(u *upstream, st port.UpstreamStatus) {
	u.hint = hint{
		at:        s.now,
		unhealthy: !st.Healthy,
		draining:  st.Draining,
		snapshots: slices.Clone(st.Snapshots),
	}
	if !st.Healthy || st.Draining {
		return
	}
	if !u.drainedAt.IsZero() && s.now.Sub(u.drainedAt) >= drainMinimum {
		u.drainedAt = time.Time{}
		u.chill()
	}
	s.hurryProbe(u)
}

// hurryProbe lets the test of an open breaker happen now when the upstream
// reports health, but not sooner than the shortest open time.
func (s *Scheduler) hurryProbe(u *upstream) {
	b := &u.breaker
	earliest := b.openedAt.Add(breakerBase)
	if !b.open || !earliest.Before(b.retryAt) {
		return
	}
	b.retryAt = earliest
	if earliest.After(s.now) {
		s.wakeAt(earliest)
	}
}

// SetUpstreamLeaving records what the platform's list says about an upstream.
func (s *Scheduler) SetUpstreamLeaving(now time.Time, name string, leaving bool) []Action {
	s.begin(now)
	u := s.upstreams[name]
	if u != nil && u.leaving != leaving {
		u.leaving = leaving
		if !leaving {
			u.chill()
		}
	}
	return s.finishStep()
}

// avoidedByHint reports whether a recent report speaks against the upstream.
func (u *upstream) avoidedByHint(now time.Time, snapshot model.SnapshotID) bool {
	if u.hint.at.IsZero() || now.Sub(u.hint.at) > hintHold {
		return false
	}
	if u.hint.unhealthy {
		return true
	}
	return len(u.hint.snapshots) > 0 && !slices.Contains(u.hint.snapshots, snapshot)
}

// outvote cancels reports that a successful call contradicts.
func (h *hint) outvote(snapshot model.SnapshotID) {
	h.unhealthy = false
	if len(h.snapshots) > 0 && !slices.Contains(h.snapshots, snapshot) {
		h.snapshots = append(h.snapshots, snapshot)
	}
}
