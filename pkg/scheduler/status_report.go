package scheduler

import (
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// statusReportTTL is the time for which a health or snapshot report influences
// the choice of replicas. A draining report stays valid until the next report.
const statusReportTTL = 5 * time.Second

// statusReport is the last report of an upstream's health and load endpoints.
// The results of calls take precedence: a success after an unhealthy report
// cancels that report.
type statusReport struct {
	at        time.Time
	unhealthy bool
	draining  bool
	// snapshots lists the snapshots that the upstream has according to the
	// report. If it is empty, the report does not say which snapshots the
	// upstream has.
	snapshots []model.SnapshotID
}

// SetUpstreamStatus records a report of an upstream's health and load
// endpoints. A draining report excludes the upstream, unless it is assumed to be
// wrong; see draining. Any other report only changes preferences between upstreams
// and the time of the next probe, because it may be late or wrong.
func (s *Scheduler) SetUpstreamStatus(now time.Time, name string, status port.UpstreamStatus) []Action {
	s.beginStep(now)
	if u := s.upstreams[name]; u != nil {
		s.applyStatusReport(u, status)
	}
	return s.finishStep()
}

func (s *Scheduler) applyStatusReport(u *upstream, status port.UpstreamStatus) {
	u.statusReport = statusReport{
		at:        s.now,
		unhealthy: !status.Healthy,
		draining:  status.Draining,
		snapshots: slices.Clone(status.Snapshots),
	}
	if !status.Healthy || status.Draining {
		return
	}
	if !u.drainedAt.IsZero() && s.now.Sub(u.drainedAt) >= minDrainingDuration {
		u.drainedAt = time.Time{}
		u.resetRamp()
	}
	s.advanceProbe(u)
}

// advanceProbe makes the next probe of an open breaker due earlier, after the
// upstream has reported that it is healthy: breakerMinOpenTime after the breaker
// opened.
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

// SetUpstreamLeaving records whether the platform's list marks an upstream as
// leaving.
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

// avoidedByReport reports whether a recent report says that the upstream is
// unhealthy, or lists snapshots without the given one.
func (u *upstream) avoidedByReport(now time.Time, snapshot model.SnapshotID) bool {
	if u.statusReport.at.IsZero() || now.Sub(u.statusReport.at) > statusReportTTL {
		return false
	}
	if u.statusReport.unhealthy {
		return true
	}
	return len(u.statusReport.snapshots) > 0 && !slices.Contains(u.statusReport.snapshots, snapshot)
}

// applySuccess cancels the parts of the report that a successful call on the
// snapshot contradicts.
func (r *statusReport) applySuccess(snapshot model.SnapshotID) {
	r.unhealthy = false
	if len(r.snapshots) > 0 && !slices.Contains(r.snapshots, snapshot) {
		r.snapshots = append(r.snapshots, snapshot)
	}
}
