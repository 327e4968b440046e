package scheduler

import (
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// statusReportTTL is how long a report of an upstream's endpoints is considered.
const statusReportTTL = 5 * time.Second

// statusReport is what an upstream's health and load endpoints said. Calls outvote it:
// a success after an unhealthy report cancels that report.
type statusReport struct {
	at        time.Time
	unhealthy bool
	draining  bool
	// snapshots are the reported index versions; empty means not reported.
	snapshots []model.SnapshotID
}

// SetUpstreamStatus records a report of an upstream's endpoints. Reports may lag or
// mislead: they change preferences, and only draining excludes an upstream.
func (s *Scheduler) SetUpstreamStatus(now time.Time, name string, st port.UpstreamStatus) []Action {
	s.beginStep(now)
	if u := s.upstreams[name]; u != nil {
		s.applyStatusReport(u, st)
	}
	return s.finishStep()
}

func (s *Scheduler) applyStatusReport(u *upstream, st port.UpstreamStatus) {
	u.statusReport = statusReport{
		at:        s.now,
		unhealthy: !st.Healthy,
		draining:  st.Draining,
		snapshots: slices.Clone(st.Snapshots),
	}
	if !st.Healthy || st.Draining {
		return
	}
	if !u.drainedAt.IsZero() && s.now.Sub(u.drainedAt) >= minDrainingDuration {
		u.drainedAt = time.Time{}
		u.resetRamp()
	}
	s.advanceProbe(u)
}

// advanceProbe lets the test of an open breaker happen now when the upstream
// reports health, but not sooner than the shortest open time.
func (s *Scheduler) advanceProbe(u *upstream) {
	b := &u.breaker
	earliest := b.openedAt.Add(breakerMinOpenTime)
	if !b.open || !earliest.Before(b.nextProbeAt) {
		return
	}
	b.nextProbeAt = earliest
	if earliest.After(s.now) {
		s.wakeAt(earliest)
	}
}

// SetUpstreamLeaving records what the platform's list says about an upstream.
func (s *Scheduler) SetUpstreamLeaving(now time.Time, name string, leaving bool) []Action {
	s.beginStep(now)
	u := s.upstreams[name]
	if u != nil && u.leaving != leaving {
		u.leaving = leaving
		if !leaving {
			u.resetRamp()
		}
	}
	return s.finishStep()
}

// avoidedByReport reports whether a recent report speaks against the upstream.
func (u *upstream) avoidedByReport(now time.Time, snapshot model.SnapshotID) bool {
	if u.statusReport.at.IsZero() || now.Sub(u.statusReport.at) > statusReportTTL {
		return false
	}
	if u.statusReport.unhealthy {
		return true
	}
	return len(u.statusReport.snapshots) > 0 && !slices.Contains(u.statusReport.snapshots, snapshot)
}

// applySuccess cancels reports that a successful call contradicts.
func (h *statusReport) applySuccess(snapshot model.SnapshotID) {
	h.unhealthy = false
	if len(h.snapshots) > 0 && !slices.Contains(h.snapshots, snapshot) {
		h.snapshots = append(h.snapshots, snapshot)
	}
}
