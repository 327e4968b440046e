package gateway

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/placement"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Outcomes of a trial in log lines and metrics.
const (
	trialAnswered   = "trial_answered"
	trialNotRun     = "trial_not_run"
	trialUnanswered = "trial_unanswered"
)

// suspected reports whether a query over shards must be tried before it may run: an
// upstream crashed while it ran the query, and no upstream has answered it since.
func (g *Gateway) suspected(now time.Time, f model.Fingerprint) bool {
	if !g.quarantine.countsCrashes.Load() {
		return false
	}
	g.quarantine.Lock()
	crashedAt, ok := g.quarantine.set.LastCrash(now, f)
	g.quarantine.Unlock()
	return ok && !g.answeredSince(now, f, quarantine.AnyShard, crashedAt)
}

// trialHome returns the instance that tries the suspect with the fingerprint.
func (g *Gateway) trialHome(f model.Fingerprint) model.InstanceID {
	g.fleet.Lock()
	defer g.fleet.Unlock()
	if home, ok := placement.TrialHome(f, g.fleet.membership.Members()); ok {
		return home
	}
	return g.cfg.ID
}

// runSuspect tries a suspect, here or at the instance that does so for all.
func (r *requestRun) runSuspect() Answer {
	home := r.g.trialHome(r.fingerprint)
	if home == r.g.cfg.ID {
		if a, began := r.runTrial(); began {
			return a
		}
		return r.refuseSuspect()
	}
	r.suspect = true
	r.g.delegates.mu.Lock()
	r.g.delegates.table.QueryStarted(home)
	r.g.delegates.mu.Unlock()
	return r.runDelegated(home)
}

// runTrial runs one part of a suspect alone, and the others if an upstream answers it. It
// returns false, and nothing has run, while another trial of the query is running or
// undecided.
func (r *requestRun) runTrial() (a Answer, began bool) {
	if !r.beginTrial() {
		return Answer{}, false
	}
	r.config.OnePartFirst = true
	a = r.runHere()
	switch {
	case !r.query.Alone():
	case r.query.NotRun():
		r.endTrial(trialNotRun)
	default:
		r.endTrial(trialUnanswered)
	}
	return a, true
}

func (r *requestRun) beginTrial() bool {
	r.g.quarantine.Lock()
	defer r.g.quarantine.Unlock()
	return r.g.quarantine.trials.Begin(r.now(), r.fingerprint)
}

// endTrial records the outcome of a trial.
func (r *requestRun) endTrial(outcome string) {
	now := r.now()
	if outcome == trialAnswered {
		r.g.rememberAnswer(now, r.fingerprint, quarantine.AnyShard)
	}
	r.g.quarantine.Lock()
	r.g.quarantine.trials.End(now, r.fingerprint, outcome == trialUnanswered)
	r.g.quarantine.Unlock()
	r.g.ports.Metrics.CrashChecked(outcome)
	r.g.info(event.SuspectTried, event.Fields{"fingerprint": uint64(r.fingerprint), "request": r.request.ID, "outcome": outcome}, "one part of a query that may have crashed upstreams ran alone")
}

// refuseSuspect answers a suspect that cannot be tried now.
func (r *requestRun) refuseSuspect() Answer {
	a := newRefusal(result.IsolationPending)
	r.g.logRefusal(r.now(), r.request, r.route, a)
	return a
}
