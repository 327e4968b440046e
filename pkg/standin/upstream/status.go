package upstream

import (
	"net/http"
	"sort"
	"time"
)

// timedReport is the true state of the upstream at a past time.
type timedReport struct {
	recordedAt time.Time
	report     Report
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	report := u.report()
	writeJSON(w, map[string]bool{"healthy": report.Healthy, "draining": report.Draining})
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	report := u.report()
	writeJSON(w, map[string]any{"in_flight": report.InFlight, "slots": report.Slots, "snapshots": report.Snapshots})
}

// report waits for StatusDelayMS and returns the state that the health and load
// endpoints report.
func (u *Upstream) report() Report {
	b := u.Behaviour()
	time.Sleep(milliseconds(b.StatusDelayMS))
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.recordReport(now)
	switch {
	case b.Misreport != nil:
		return *b.Misreport
	case b.StatusLagMS > 0:
		return u.reportAt(now.Add(-milliseconds(b.StatusLagMS)))
	default:
		return u.currentReport()
	}
}

// recordReport adds the present state to the history, unless the last entry is newer than
// minReportInterval. If StatusLagMS is not set, it clears the history instead. The caller
// holds the lock.
func (u *Upstream) recordReport(now time.Time) {
	if u.behaviour.StatusLagMS <= 0 {
		u.history = nil
		return
	}
	if n := len(u.history); n > 0 && now.Sub(u.history[n-1].recordedAt) < minReportInterval {
		return
	}
	u.history = append(u.history, timedReport{recordedAt: now, report: u.currentReport()})
	if len(u.history) > maxReports {
		u.history = u.history[len(u.history)-maxReports:]
	}
}

// currentReport returns the true state. The caller holds the lock.
func (u *Upstream) currentReport() Report {
	report := Report{
		Healthy:   true,
		Draining:  u.behaviour.Draining,
		InFlight:  u.running,
		Slots:     u.behaviour.Slots,
		Snapshots: []string{},
	}
	for snapshot := range u.shardsBySnapshot {
		report.Snapshots = append(report.Snapshots, snapshot)
	}
	sort.Strings(report.Snapshots)
	return report
}

// reportAt returns the last state recorded at or before the given time, or the first
// recorded one if there is none. The caller holds the lock.
func (u *Upstream) reportAt(t time.Time) Report {
	i := sort.Search(len(u.history), func(i int) bool { return u.history[i].recordedAt.After(t) })
	return u.history[max(0, i-1)].report
}
