package gateway

import (
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/placement"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Reasons for which an instance declines a query that it could run but for its load. A
// sender that suspects the query does not run it unless it is cleared.
const (
	reasonOverloaded        = "too many queries are in progress"
	reasonClearedOverloaded = "too many queries are in progress; this one has been answered since the last crash"
)

// suspicion says what is known against a query over shards.
type suspicion int

const (
	// unsuspected: no crash is recorded under the query.
	unsuspected suspicion = iota
	// suspected: an upstream crashed while it ran the query, and none has answered it
	// since. The query must be tried before it may run.
	suspected
	// undecided: upstreams did not answer the query, and the registry may still show that
	// they crashed. The query must not run here until then.
	undecided
	// cleared: an upstream has answered the query since the last crash, but none of the
	// shard whose upstream crashed. The other shards run the query.
	cleared
)

// suspicion returns what is known against a query over shards.
func (g *Gateway) suspicion(now time.Time, f model.Fingerprint) suspicion {
	if !g.quarantine.countsCrashes.Load() && !g.quarantine.hasSuspects.Load() {
		return unsuspected
	}
	g.quarantine.Lock()
	crashedAt, _, ok := g.quarantine.set.LastCrash(now, f)
	sentAt, isUndecided := g.quarantine.suspects.LastUndecided(now, f)
	g.quarantine.Unlock()
	switch {
	case isUndecided && !g.answeredSince(now, f, quarantine.AnyShard, sentAt):
		return undecided
	case !ok:
		return unsuspected
	case g.answeredSince(now, f, quarantine.AnyShard, crashedAt):
		return cleared
	default:
		return suspected
	}
}

// loadReason returns the reason for declining a query for lack of processor time.
func (g *Gateway) loadReason(now time.Time, f model.Fingerprint, s suspicion) string {
	g.quarantine.Lock()
	acquitted := g.quarantine.set.Acquitted(now, f)
	g.quarantine.Unlock()
	if s == cleared || acquitted {
		return reasonClearedOverloaded
	}
	return reasonOverloaded
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
		case undecided:
			return newRefusal(result.IsolationPending)
		case cleared:
			r.withholdCrashedShards()
			return r.runHere()
		}
	}
	r.config.OnePartFirst = true
	a := r.runHere()
	switch {
	case r.query.NotRun():
		// Admission control may also have refused the query.
		r.endTrial(quarantine.TrialNotRun)
	case r.query.Alone():
		r.endTrial(quarantine.TrialUnanswered)
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
func (r *requestRun) endTrial(outcome quarantine.TrialOutcome) {
	now := r.now()
	if outcome == quarantine.TrialAnswered {
		// The upstream may have answered with a failure, which recordAnswer does not count.
		r.g.rememberAnswer(now, r.fingerprint, quarantine.AnyShard)
	}
	r.g.quarantine.Lock()
	r.g.quarantine.trials.End(now, r.fingerprint, outcome)
	close(r.g.quarantine.trialEnded)
	r.g.quarantine.trialEnded = nil
	r.g.quarantine.Unlock()
	r.g.ports.Metrics.CrashChecked(outcome.String())
	r.g.info(event.SuspectTried, event.Fields{"fingerprint": uint64(r.fingerprint), "request": r.request.ID, "outcome": outcome.String()}, "one part of a query that may have crashed upstreams ran alone")
}

// trialCrashed records that the upstream of a trial crashed, and decides later whether the
// query was the cause.
func (g *Gateway) trialCrashed(now time.Time, c quarantine.Crash) {
	g.quarantine.Lock()
	g.quarantine.trials.Crashed(now, c.Fingerprint)
	g.quarantine.Unlock()
	time.AfterFunc(quarantine.ConfirmDelay, func() { g.decideOnTrial(now, c) })
}

// decideOnTrial quarantines a query whose trial crashed an upstream at the given time, and
// announces that, unless other upstreams crashed at the same time or an upstream of the
// service has answered the query since.
func (g *Gateway) decideOnTrial(crashedAt time.Time, c quarantine.Crash) {
	q := &g.quarantine
	q.Lock()
	besideOthers := q.set.CrashedAround(crashedAt, c) || q.suspects.EndedAround(crashedAt, c.Upstream)
	now := g.ports.Clock.Now()
	confirmed := q.trials.Decide(c.Fingerprint, besideOthers) && slices.Contains(q.set.CrashedServices(now, c.Fingerprint), c.Service)
	var e quarantine.Entry
	if confirmed {
		e, confirmed = q.set.Confirm(now, c.Fingerprint, c.Service)
	}
	q.Unlock()
	fields := event.Fields{"fingerprint": uint64(c.Fingerprint), "upstream": c.Upstream, "service": c.Service, "beside_others": besideOthers}
	if !confirmed {
		g.info(event.RequestSuspect, fields, "an upstream crashed while a query was tried on it, which does not show yet that the query is the cause")
		return
	}
	g.announceQuarantine(e)
	g.ports.Metrics.RequestQuarantined()
	g.warn(event.RequestQuarantined, fields, "a query crashed an upstream that it was tried on, and is refused")
}

// refuseSuspect answers a query that must not run now.
func (r *requestRun) refuseSuspect() Answer {
	a := newRefusal(result.IsolationPending)
	r.g.logRefusal(r.now(), r.request, r.route, a)
	return a
}
