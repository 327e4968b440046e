package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// cautiousModeDuration is the time after a crash for which a request that
	// is not known to be harmless must first finish one attempt before its
	// other parts start.
	cautiousModeDuration = 30 * time.Second
	// suspectDuration is the time for which a fingerprint stays suspect if no
	// isolated attempt clears or confirms it.
	suspectDuration = 10 * time.Minute
	// minIsolatedTime is the least time that an isolated attempt of a query is
	// given, even after the query was answered. An attempt cut off on a slow
	// upstream would leave the fingerprint suspect, and its next isolated
	// attempt could crash another upstream.
	minIsolatedTime = 5 * time.Second
	// maxSuspects bounds the number of suspect fingerprints.
	maxSuspects = 1024
	// maxHarmless bounds the number of fingerprints that are remembered as
	// harmless.
	maxHarmless = 4096
)

// isolation finds out which requests crash upstreams. When the connection to an
// upstream breaks, the fingerprints of all attempts in flight on it become
// suspect. A suspect then runs alone on an upstream: if the upstream completes
// the attempt, the suspect is cleared; if the connection breaks, the suspect is
// quarantined.
type isolation struct {
	// suspects maps suspect fingerprints to the time until which they are suspect.
	suspects map[model.Fingerprint]time.Time
	// confirmed maps fingerprints that crashed an upstream in isolation to the
	// end of their quarantine. They are refused from here until
	// Config.Quarantine contains them.
	confirmed map[model.Fingerprint]time.Time
	harmless  fingerprintSet
	// pending holds the unfinished requests with a suspect fingerprint.
	pending []*request
	// runningAttempt is the isolated attempt in flight, or nil; there is at
	// most one.
	runningAttempt *attempt
	// nextPart is the part that waits until reservedUpstream has no attempts in
	// flight.
	nextPart         *part
	reservedUpstream *upstream
	// cautiousUntil is the end of the cautious mode, in which fingerprints that
	// are not known to be harmless run one attempt at a time.
	cautiousUntil time.Time
	// unprovenAttempts maps each unproven fingerprint to its only running
	// attempt.
	unprovenAttempts map[model.Fingerprint]*attempt
}

func newIsolation() isolation {
	return isolation{
		suspects:         make(map[model.Fingerprint]time.Time),
		confirmed:        make(map[model.Fingerprint]time.Time),
		unprovenAttempts: make(map[model.Fingerprint]*attempt),
		harmless:         newFingerprintSet(maxHarmless),
	}
}

// isSuspect reports whether requests with the fingerprint may run only in
// isolation.
func (i *isolation) isSuspect(now time.Time, f model.Fingerprint) bool {
	until, ok := i.suspects[f]
	if ok && !until.After(now) {
		delete(i.suspects, f)
		return false
	}
	return ok
}

// isUnproven reports whether the cautious mode is on and the fingerprint is not
// known to be harmless, so that it must run one attempt at a time.
func (i *isolation) isUnproven(now time.Time, f model.Fingerprint) bool {
	return now.Before(i.cautiousUntil) && !i.harmless.has(f)
}

// allowsOneAttemptOnly reports whether requests with the fingerprint must not
// have two attempts in flight at once.
func (i *isolation) allowsOneAttemptOnly(now time.Time, f model.Fingerprint) bool {
	return i.isSuspect(now, f) || i.isUnproven(now, f)
}

// mayStart reports whether normal dispatch may start a part of the request.
func (i *isolation) mayStart(now time.Time, r *request) bool {
	f := r.req.Fingerprint
	if r.isolated || i.isSuspect(now, f) {
		return false
	}
	return !i.isUnproven(now, f) || i.unprovenAttempts[f] == nil
}

// recordStart records the attempt if its fingerprint is unproven. In the cautious
// mode, no other attempt of the fingerprint starts until this one ends.
func (i *isolation) recordStart(now time.Time, a *attempt) {
	f := a.part.request.req.Fingerprint
	if i.isUnproven(now, f) {
		i.unprovenAttempts[f] = a
	}
}

// addPending adds a request with a suspect fingerprint to the requests that
// wait for isolation.
func (i *isolation) addPending(r *request) {
	if r.isolated {
		return
	}
	r.isolated = true
	i.pending = append(i.pending, r)
}

// markSuspect makes the fingerprint suspect and reports whether it was not
// suspect before. At maxSuspects it evicts the suspect whose time ends first.
func (i *isolation) markSuspect(now time.Time, f model.Fingerprint) bool {
	i.harmless.remove(f)
	_, known := i.suspects[f]
	if !known && len(i.suspects) >= maxSuspects {
		i.evictOldestSuspect()
	}
	i.suspects[f] = now.Add(suspectDuration)
	return !known
}

func (i *isolation) evictOldestSuspect() {
	var oldest model.Fingerprint
	var oldestUntil time.Time
	for f, until := range i.suspects {
		if oldestUntil.IsZero() || until.Before(oldestUntil) || until.Equal(oldestUntil) && f < oldest {
			oldest, oldestUntil = f, until
		}
	}
	delete(i.suspects, oldest)
	i.release(oldest)
}

// release returns the requests with the fingerprint to normal dispatch.
func (i *isolation) release(f model.Fingerprint) {
	i.pending = slices.DeleteFunc(i.pending, func(r *request) bool {
		if r.req.Fingerprint != f {
			return false
		}
		r.isolated = false
		return true
	})
}

// blocked reports whether requests with the fingerprint are refused because
// they crash upstreams.
func (s *Scheduler) blocked(f model.Fingerprint) bool {
	until, ok := s.isolation.confirmed[f]
	if ok && until.After(s.now) {
		return true
	}
	delete(s.isolation.confirmed, f)
	return s.cfg.Quarantine != nil && s.cfg.Quarantine.Blocked(s.now, f)
}

// observeIsolation updates the isolation state of the attempt's fingerprint
// after a reply.
func (s *Scheduler) observeIsolation(a *attempt, reply port.UpstreamReply) {
	i := &s.isolation
	f := a.part.request.req.Fingerprint
	if i.unprovenAttempts[f] == a {
		delete(i.unprovenAttempts, f)
	}
	if i.runningAttempt == a {
		i.runningAttempt = nil
		a.upstream.reserved = false
	}
	connectionBroke := connectionLost(a, reply)
	switch {
	case connectionBroke && !a.upstreamCrashed:
		s.handleCrash(a)
	case !connectionBroke && reply.Ran == model.Ran:
		s.recordHarmless(a, f)
	}
}

// recordHarmless records that an attempt ran without a crash. It clears a
// suspect if the attempt was isolated, and remembers fingerprints that are not
// suspect as harmless.
func (s *Scheduler) recordHarmless(a *attempt, f model.Fingerprint) {
	i := &s.isolation
	if !i.isSuspect(s.now, f) {
		i.harmless.add(f)
		return
	}
	if !a.isolated {
		return
	}
	i.harmless.add(f)
	delete(i.suspects, f)
	i.release(f)
	s.count(CountSuspectCleared, a.prio, "")
}

// handleCrash handles a connection that broke while the attempt was in flight.
// It quarantines the fingerprint if the attempt was isolated, makes it suspect
// otherwise, and makes the fingerprints of all other attempts on the upstream
// suspect.
func (s *Scheduler) handleCrash(a *attempt) {
	i := &s.isolation
	i.cautiousUntil = s.now.Add(cautiousModeDuration)
	if a.isolated {
		s.quarantineCrasher(a)
	} else {
		s.markSuspect(a)
	}
	for _, other := range a.upstream.running {
		other.upstreamCrashed = true
		s.markSuspect(other)
	}
	s.isolateSuspects()
}

func (s *Scheduler) markSuspect(a *attempt) {
	f := a.part.request.req.Fingerprint
	if s.blocked(f) {
		return
	}
	if s.isolation.markSuspect(s.now, f) {
		s.count(CountSuspect, a.prio, "")
	}
}

// isolateSuspects moves the unfinished requests with a suspect fingerprint into
// isolation. Their attempts on other upstreams are stopped, and their parts
// wait for an isolated attempt. Orders are left running, because a stopped
// order could not be repeated.
func (s *Scheduler) isolateSuspects() {
	for _, r := range s.sortedRequests() {
		if r.isolated || !s.isolation.isSuspect(s.now, r.req.Fingerprint) {
			continue
		}
		s.isolation.addPending(r)
		if !r.req.NonIdempotent {
			s.stopSuspectParts(r)
		}
		s.finishIfComplete(r)
	}
}

// stopSuspectParts stops the attempts of a suspect request. Their parts wait for
// an isolated attempt or, if no retry is allowed, end. Parts with an attempt on
// the upstream whose connection broke are skipped, because that attempt ends by
// itself.
func (s *Scheduler) stopSuspectParts(r *request) {
	for _, p := range r.parts {
		if p.state != partRunning || len(p.running) == 0 || hasAttemptOnCrashedUpstream(p) {
			continue
		}
		s.stopAttempts(p)
		reply := port.UpstreamReply{Code: result.IsolationPending}
		if !s.requeueForRetry(p, reply, false) {
			s.finishPart(p, result.IsolationPending)
		}
	}
}

func hasAttemptOnCrashedUpstream(p *part) bool {
	return slices.ContainsFunc(p.running, func(a *attempt) bool { return a.upstreamCrashed })
}

// quarantineCrasher quarantines the fingerprint of an isolated attempt that
// crashed its upstream, and ends all unfinished requests with that fingerprint.
func (s *Scheduler) quarantineCrasher(a *attempt) {
	i := &s.isolation
	req := &a.part.request.req
	f := req.Fingerprint
	until := s.now.Add(quarantine.Duration)
	i.confirmed[f] = until
	delete(i.suspects, f)
	s.emit(QuarantineAdd{Fingerprint: f, Service: req.Group.Service, Until: until})
	a.detached = true
	a.part.removeRunning(a)
	a.part.runs.add(model.RunUnknown)
	for _, r := range s.sortedRequests() {
		if r.req.Fingerprint == f {
			s.endRequest(r, endQuarantined)
		}
	}
}

// startIsolatedAttempt starts the next suspect part once the upstream reserved
// for it is idle.
func (s *Scheduler) startIsolatedAttempt() {
	i := &s.isolation
	if i.runningAttempt != nil {
		return
	}
	if i.nextPart == nil || !s.canIsolate(i.nextPart, i.reservedUpstream) {
		s.reserveForNextSuspect()
	}
	if i.nextPart == nil || i.reservedUpstream.inFlight() > 0 || i.reservedUpstream.backingOff {
		return
	}
	p, u := i.nextPart, i.reservedUpstream
	i.nextPart, i.reservedUpstream = nil, nil
	i.runningAttempt = s.startAttempt(p, replicaChoice{upstream: u, probe: u.breaker.open}, reasonIsolated)
}

// reserveForNextSuspect chooses the next suspect part and keeps an upstream
// free for it. The most urgent and then the oldest request comes first.
func (s *Scheduler) reserveForNextSuspect() {
	i := &s.isolation
	if i.reservedUpstream != nil {
		i.reservedUpstream.reserved = false
	}
	i.nextPart, i.reservedUpstream = nil, nil
	var first *request
	for _, r := range i.pending {
		if first != nil && !s.moreUrgent(r, first) {
			continue
		}
		if p, u := s.findIsolationTarget(r); p != nil {
			first, i.nextPart, i.reservedUpstream = r, p, u
		}
	}
	if i.reservedUpstream != nil {
		i.reservedUpstream.reserved = true
	}
}

// moreUrgent reports whether a comes before b: by priority, then by age.
func (s *Scheduler) moreUrgent(a, b *request) bool {
	pa, pb := slices.Index(s.priorities, a.prio), slices.Index(s.priorities, b.prio)
	if pa != pb {
		return pa < pb
	}
	return a.seq < b.seq
}

// findIsolationTarget returns a waiting part of the request and, of the
// upstreams that can run it in isolation, the one with the fewest attempts in
// flight.
func (s *Scheduler) findIsolationTarget(r *request) (*part, *upstream) {
	for _, p := range r.parts {
		var best *upstream
		for _, u := range p.replicas {
			if s.canIsolate(p, u) && (best == nil || u.inFlight() < best.inFlight()) {
				best = u
			}
		}
		if best != nil {
			return p, best
		}
	}
	return nil, nil
}

func (s *Scheduler) canIsolate(p *part, u *upstream) bool {
	waiting := p.state == partWaiting && p.request.isolated && !p.request.done
	return waiting && !s.excluded(u) && u.breaker.allows(s.now)
}

// suspectFingerprints returns the suspect fingerprints in hexadecimal, sorted.
func (i *isolation) suspectFingerprints() []string {
	out := make([]string, 0, len(i.suspects))
	for f := range i.suspects {
		out = append(out, strconv.FormatUint(uint64(f), 16))
	}
	slices.Sort(out)
	return out
}
