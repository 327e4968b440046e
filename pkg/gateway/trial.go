package gateway

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/placement"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Outcomes of a trial in log lines and metrics.
const (
	trialAnswered   = "trial_answered"
	trialNotRun     = "trial_not_run"
	trialUnanswered = "trial_unanswered"
)

// reasonOverloaded is why an instance declines a query for lack of processor time. It does
// not suspect the query then.
const reasonOverloaded = "too many queries are in progress"

// suspicion says what is known against a query over shards.
type suspicion int

const (
	// unsuspected: no crash is recorded under the query.
	unsuspected suspicion = iota
	// suspected: an upstream crashed while it ran the query, and none has answered it
	// since. The query must be tried before it may run.
	suspected
	// cleared: an upstream has answered the query since the last crash, but none of the
	// shard whose upstream crashed. The other shards run the query.
	cleared
)

// suspicion returns what is known against a query over shards.
func (g *Gateway) suspicion(now time.Time, f model.Fingerprint) suspicion {
	if !g.quarantine.countsCrashes.Load() {
		return unsuspected
	}
	g.quarantine.Lock()
	crashedAt, _, ok := g.quarantine.set.LastCrash(now, f)
	g.quarantine.Unlock()
	switch {
	case !ok:
		return unsuspected
	case g.answeredSince(now, f, quarantine.AnyShard, crashedAt):
		return cleared
	default:
		return suspected
	}
}

// trialHome returns the instance that tries the suspects of all.
func (g *Gateway) trialHome() model.InstanceID {
	g.fleet.Lock()
	defer g.fleet.Unlock()
	if home, ok := placement.TrialHome(g.fleet.membership.Members()); ok {
		return home
	}
	return g.cfg.ID
}

// runSuspect tries a suspect, here or at the instance that does so for all.
func (r *requestRun) runSuspect() Answer {
	home := r.g.trialHome()
	if home == r.g.cfg.ID {
		a := r.runTrial()
		if r.query == nil {
			r.g.logRefusal(r.now(), r.request, r.route, a)
		}
		return a
	}
	r.suspect = true
	r.g.delegates.mu.Lock()
	r.g.delegates.table.QueryStarted(home)
	r.g.delegates.mu.Unlock()
	return r.runDelegated(home)
}

// runCleared runs a query without the parts of the shards whose upstreams crashed under it.
// Now and then it tries the query instead.
func (r *requestRun) runCleared() Answer {
	if r.g.repeatTrial(r.now(), r.fingerprint) {
		return r.runSuspect()
	}
	r.withholdCrashedShards()
	return r.delegateOrRunHere()
}

func (g *Gateway) repeatTrial(now time.Time, f model.Fingerprint) bool {
	g.quarantine.Lock()
	defer g.quarantine.Unlock()
	return g.quarantine.trials.Repeat(now, f)
}

func (r *requestRun) withholdCrashedShards() {
	r.g.quarantine.Lock()
	defer r.g.quarantine.Unlock()
	r.config.Withheld = r.g.quarantine.set.CrashedServices(r.now(), r.fingerprint)
}

// suspectAnswered records what another instance's answer to a suspect shows.
func (r *requestRun) suspectAnswered(a port.PeerAnswer) {
	switch a.Code {
	case result.OK:
		for _, service := range r.services {
			r.g.disproveCrashes(r.now(), r.fingerprint, service)
		}
	case result.PartialAnswer:
		r.g.rememberAnswer(r.now(), r.fingerprint, quarantine.AnyShard)
	}
}

// runTrial runs one part of a suspect alone, and the others if an upstream answers it. It
// waits for the end of another trial, which may clear this query, but not so long that the
// caller could not send the query again in time.
func (r *requestRun) runTrial() Answer {
	timer := time.NewTimer(r.route.LatencyTarget / 4)
	defer timer.Stop()
	for {
		began, ended := r.beginTrial()
		if began {
			break
		}
		if ended == nil {
			return newRefusal(result.IsolationPending)
		}
		select {
		case <-ended:
		case <-timer.C:
			return newRefusal(result.IsolationPending)
		case <-r.callerGone:
			return newRefusal(result.IsolationPending)
		}
		if r.g.quarantined(r.now(), r.fingerprint, true) {
			return newRefusal(result.Quarantined)
		}
		switch r.g.suspicion(r.now(), r.fingerprint) {
		case unsuspected:
			return r.runHere()
		case cleared:
			r.withholdCrashedShards()
			return r.runHere()
		}
	}
	r.config.OnePartFirst = true
	a := r.runHere()
	switch {
	case !r.query.Alone():
	case r.query.NotRun():
		r.endTrial(trialNotRun)
	default:
		r.endTrial(trialUnanswered)
	}
	return a
}

// beginTrial reports whether a trial may begin now. If not, ended is closed when the running
// trial has ended; it is nil if none is running.
func (r *requestRun) beginTrial() (began bool, ended <-chan struct{}) {
	q := &r.g.quarantine
	q.Lock()
	defer q.Unlock()
	now := r.now()
	if !q.trials.Begin(now, r.fingerprint) {
		return false, q.trialEnded
	}
	q.trialEnded = make(chan struct{})
	_, r.config.FirstService, _ = q.set.LastCrash(now, r.fingerprint)
	return true, nil
}

// endTrial records the outcome of a trial.
func (r *requestRun) endTrial(outcome string) {
	now := r.now()
	if outcome == trialAnswered {
		r.g.rememberAnswer(now, r.fingerprint, quarantine.AnyShard)
	}
	r.g.quarantine.Lock()
	r.g.quarantine.trials.End(now, r.fingerprint, outcome == trialUnanswered)
	close(r.g.quarantine.trialEnded)
	r.g.quarantine.trialEnded = nil
	r.g.quarantine.Unlock()
	r.g.ports.Metrics.CrashChecked(outcome)
	r.g.info(event.SuspectTried, event.Fields{"fingerprint": uint64(r.fingerprint), "request": r.request.ID, "outcome": outcome}, "one part of a query that may have crashed upstreams ran alone")
}

// confirmSuspect quarantines a suspect under which an upstream crashed in a trial, if an
// earlier crash is recorded, and announces that.
func (g *Gateway) confirmSuspect(now time.Time, c quarantine.Crash) {
	g.quarantine.Lock()
	e, added := g.quarantine.set.Confirm(now, c.Fingerprint, c.Service)
	g.quarantine.Unlock()
	if added {
		g.announceQuarantine(e)
	}
}

// refuseSuspect answers a suspect that the instance that tries suspects cannot take.
func (r *requestRun) refuseSuspect() Answer {
	a := newRefusal(result.IsolationPending)
	r.g.logRefusal(r.now(), r.request, r.route, a)
	return a
}
