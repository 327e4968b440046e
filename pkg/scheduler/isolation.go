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
	// cautiousModeDuration is how long after a crash unknown requests run on one
	// shard first.
	cautiousModeDuration = 30 * time.Second
	// suspectDuration is how long a suspect that was not tested stays suspect.
	suspectDuration = 10 * time.Minute
	// minIsolatedTime is the least time that an isolated attempt may take, also
	// after its request was answered. An attempt cut off on a slow upstream would
	// leave the request suspect, and its next isolated attempt could take down
	// another upstream.
	minIsolatedTime = 5 * time.Second
	// maxSuspects bounds the number of suspects.
	maxSuspects = 1024
	// maxHarmless bounds the number of remembered harmless fingerprints.
	maxHarmless = 4096
)

// isolation finds out which requests crash upstreams. Everything in flight on
// an upstream whose connection breaks is suspect; a suspect then runs alone on
// an upstream, where it either survives or is confirmed.
type isolation struct {
	suspects map[model.Fingerprint]time.Time
	// confirmed holds fingerprints until the owner's quarantine has them.
	confirmed map[model.Fingerprint]time.Time
	harmless  fingerprintSet
	// pending are the live requests of suspects.
	pending []*request
	// runningAttempt is the isolated attempt, if there is one.
	runningAttempt *attempt
	// nextPart is the part that waits for the reserved upstream to become idle.
	nextPart         *part
	reservedUpstream *upstream
	// cautiousUntil ends the cautious mode.
	cautiousUntil time.Time
	// firstAttempts holds, per unknown fingerprint, its only attempt.
	firstAttempts map[model.Fingerprint]*attempt
}

func newIsolation() isolation {
	return isolation{
		suspects:      make(map[model.Fingerprint]time.Time),
		confirmed:     make(map[model.Fingerprint]time.Time),
		firstAttempts: make(map[model.Fingerprint]*attempt),
		harmless:      newFingerprintSet(maxHarmless),
	}
}

// isSuspect reports whether the fingerprint may run only in isolation.
func (i *isolation) isSuspect(now time.Time, f model.Fingerprint) bool {
	until, ok := i.suspects[f]
	if ok && !until.After(now) {
		delete(i.suspects, f)
		return false
	}
	return ok
}

// isUnproven reports whether the fingerprint must run on one shard first.
func (i *isolation) isUnproven(now time.Time, f model.Fingerprint) bool {
	return now.Before(i.cautiousUntil) && !i.harmless.has(f)
}

// allowsOneAttemptOnly reports whether the fingerprint must not run twice at once.
func (i *isolation) allowsOneAttemptOnly(now time.Time, f model.Fingerprint) bool {
	return i.isSuspect(now, f) || i.isUnproven(now, f)
}

// mayStart reports whether normal dispatch may start a part of the request.
func (i *isolation) mayStart(now time.Time, r *request) bool {
	f := r.req.Fingerprint
	if r.isolated || i.isSuspect(now, f) {
		return false
	}
	return !i.isUnproven(now, f) || i.firstAttempts[f] == nil
}

// recordStart records the only attempt of an unknown fingerprint.
func (i *isolation) recordStart(now time.Time, a *attempt) {
	f := a.part.request.req.Fingerprint
	if i.isUnproven(now, f) {
		i.firstAttempts[f] = a
	}
}

// addPending puts a request of a suspect into the isolation list.
func (i *isolation) addPending(r *request) {
	if r.isolated {
		return
	}
	r.isolated = true
	i.pending = append(i.pending, r)
}

// markSuspect makes the fingerprint suspect and reports whether it was not before.
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
	var until time.Time
	for f, u := range i.suspects {
		if until.IsZero() || u.Before(until) || u.Equal(until) && f < oldest {
			oldest, until = f, u
		}
	}
	delete(i.suspects, oldest)
	i.release(oldest)
}

// release returns the requests of a fingerprint to normal dispatch.
func (i *isolation) release(f model.Fingerprint) {
	i.pending = slices.DeleteFunc(i.pending, func(r *request) bool {
		if r.req.Fingerprint != f {
			return false
		}
		r.isolated = false
		return true
	})
}

// blocked reports whether requests with the fingerprint are refused.
func (s *Scheduler) blocked(f model.Fingerprint) bool {
	until, ok := s.isolation.confirmed[f]
	if ok && until.After(s.now) {
		return true
	}
	delete(s.isolation.confirmed, f)
	return s.cfg.Quarantine != nil && s.cfg.Quarantine.Blocked(s.now, f)
}

// observeIsolation applies a reply to the state of its fingerprint.
func (s *Scheduler) observeIsolation(a *attempt, reply port.UpstreamReply) {
	i := &s.isolation
	f := a.part.request.req.Fingerprint
	if i.firstAttempts[f] == a {
		delete(i.firstAttempts, f)
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

// recordHarmless clears a suspect that ran alone and remembers harmless requests.
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

// isolateSuspects moves the live requests of suspects into isolation. Their
// attempts elsewhere are stopped and wait for an isolated attempt. Orders are
// left running, since a stopped order could not be repeated.
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

// stopSuspectParts stops the attempts of a suspect, except those on the upstream
// whose connection broke, which end by themselves.
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

// quarantineCrasher quarantines the fingerprint of an isolated attempt that crashed its
// upstream, and ends the requests that have it.
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

// startIsolatedAttempt starts the next suspect once an upstream is idle for it.
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

// reserveForNextSuspect chooses the next suspect and keeps an upstream free for it. The
// most urgent and oldest suspect comes first.
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

func (s *Scheduler) moreUrgent(a, b *request) bool {
	pa, pb := slices.Index(s.priorities, a.prio), slices.Index(s.priorities, b.prio)
	if pa != pb {
		return pa < pb
	}
	return a.seq < b.seq
}

// findIsolationTarget returns a waiting part of the request and the upstream with the
// fewest attempts in flight that can run it.
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

// suspectNames returns the suspects in hexadecimal, sorted.
func (i *isolation) suspectNames() []string {
	out := make([]string, 0, len(i.suspects))
	for f := range i.suspects {
		out = append(out, strconv.FormatUint(uint64(f), 16))
	}
	slices.Sort(out)
	return out
}
