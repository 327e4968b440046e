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
	// cautiousTime is how long after a crash unknown requests run on one
	// shard first.
	cautiousTime = 30 * time.Second
	// suspectTime is how long a suspect that was not tested stays suspect.
	suspectTime = 10 * time.Minute
	// isolatedTime is the least time that an isolated attempt may take, also
	// after its request was answered. An attempt cut off on a slow upstream would
	// leave the request suspect, and its next isolated attempt could take down
	// another upstream.
	isolatedTime = 5 * time.Second
	// maxSuspects bounds the number of suspects.
	maxSuspects = 1024
	// maxSurvivors bounds the number of remembered harmless fingerprints.
	maxSurvivors = 4096
)

// isolation finds out which requests crash upstreams. Everything in flight on
// an upstream whose connection breaks is suspect; a suspect then runs alone on
// an upstream, where it either survives or is confirmed.
type isolation struct {
	suspects map[model.Fingerprint]time.Time
	// confirmed holds fingerprints until the owner's quarantine has them.
	confirmed map[model.Fingerprint]time.Time
	survivors recentSet
	// pending are the live requests of suspects.
	pending []*request
	// running is the isolated attempt, if there is one.
	running *attempt
	// next is the part that waits for the reserved upstream to become idle.
	next     *part
	reserved *upstream
	// cautiousUntil ends the cautious mode.
	cautiousUntil time.Time
	// firsts holds, per unknown fingerprint, its only attempt.
	firsts map[model.Fingerprint]*attempt
}

func newIsolation() isolation {
	return isolation{
		suspects:  make(map[model.Fingerprint]time.Time),
		confirmed: make(map[model.Fingerprint]time.Time),
		firsts:    make(map[model.Fingerprint]*attempt),
		survivors: newRecentSet(maxSurvivors),
	}
}

// suspect reports whether the fingerprint may run only in isolation.
func (i *isolation) suspect(now time.Time, f model.Fingerprint) bool {
	until, ok := i.suspects[f]
	if ok && !until.After(now) {
		delete(i.suspects, f)
		return false
	}
	return ok
}

// unknown reports whether the fingerprint must run on one shard first.
func (i *isolation) unknown(now time.Time, f model.Fingerprint) bool {
	return now.Before(i.cautiousUntil) && !i.survivors.has(f)
}

// restrained reports whether the fingerprint must not run twice at once.
func (i *isolation) restrained(now time.Time, f model.Fingerprint) bool {
	return i.suspect(now, f) || i.unknown(now, f)
}

// mayStart reports whether normal dispatch may start a part of the request.
func (i *isolation) mayStart(now time.Time, r *request) bool {
	f := r.req.Fingerprint
	if r.isolated || i.suspect(now, f) {
		return false
	}
	return !i.unknown(now, f) || i.firsts[f] == nil
}

// started records the only attempt of an unknown fingerprint.
func (i *isolation) started(now time.Time, a *attempt) {
	f := a.part.request.req.Fingerprint
	if i.unknown(now, f) {
		i.firsts[f] = a
	}
}

// add puts a request of a suspect into the isolation list.
func (i *isolation) add(r *request) {
	if r.isolated {
		return
	}
	r.isolated = true
	i.pending = append(i.pending, r)
}

// accuse makes the fingerprint suspect and reports whether it was not before.
func (i *isolation) accuse(now time.Time, f model.Fingerprint) bool {
	i.survivors.remove(f)
	_, known := i.suspects[f]
	if !known && len(i.suspects) >= maxSuspects {
		i.forgetOldest()
	}
	i.suspects[f] = now.Add(suspectTime)
	return !known
}

func (i *isolation) forgetOldest() {
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
	if i.firsts[f] == a {
		delete(i.firsts, f)
	}
	if i.running == a {
		i.running = nil
		a.upstream.reserved = false
	}
	broken := lost(a, reply)
	switch {
	case broken && !a.crashed:
		s.crash(a)
	case !broken && reply.Ran == model.Ran:
		s.survived(a, f)
	}
}

// survived clears a suspect that ran alone and remembers harmless requests.
func (s *Scheduler) survived(a *attempt, f model.Fingerprint) {
	i := &s.isolation
	if !i.suspect(s.now, f) {
		i.survivors.add(f)
		return
	}
	if !a.alone {
		return
	}
	i.survivors.add(f)
	delete(i.suspects, f)
	i.release(f)
	s.count(CountSuspectCleared, a.prio, "")
}

// crash handles a connection that broke while the attempt was in flight.
func (s *Scheduler) crash(a *attempt) {
	i := &s.isolation
	i.cautiousUntil = s.now.Add(cautiousTime)
	if a.alone {
		s.confirm(a)
	} else {
		s.accuse(a)
	}
	for _, other := range a.upstream.running {
		other.crashed = true
		s.accuse(other)
	}
	s.holdSuspects()
}

func (s *Scheduler) accuse(a *attempt) {
	f := a.part.request.req.Fingerprint
	if s.blocked(f) {
		return
	}
	if s.isolation.accuse(s.now, f) {
		s.count(CountSuspect, a.prio, "")
	}
}

// holdSuspects moves the live requests of suspects into isolation. Their
// attempts elsewhere are stopped and wait for an isolated attempt. Orders are
// left running, since a stopped order could not be repeated.
func (s *Scheduler) holdSuspects() {
	for _, r := range s.sortedRequests() {
		if r.isolated || !s.isolation.suspect(s.now, r.req.Fingerprint) {
			continue
		}
		s.isolation.add(r)
		if !r.req.NonIdempotent {
			s.holdParts(r)
		}
		s.finishIfComplete(r)
	}
}

// holdParts stops the attempts of a suspect, except those on the upstream
// whose connection broke, which end by themselves.
func (s *Scheduler) holdParts(r *request) {
	for _, p := range r.parts {
		if p.state != partRunning || len(p.running) == 0 || crashed(p) {
			continue
		}
		s.detachAll(p)
		reply := port.UpstreamReply{Code: result.IsolationPending}
		if !s.requeue(p, reply, false) {
			s.finishPart(p, result.IsolationPending)
		}
	}
}

func crashed(p *part) bool {
	return slices.ContainsFunc(p.running, func(a *attempt) bool { return a.crashed })
}

// confirm quarantines the fingerprint of an isolated attempt that crashed its
// upstream, and ends the requests that have it.
func (s *Scheduler) confirm(a *attempt) {
	i := &s.isolation
	req := &a.part.request.req
	f := req.Fingerprint
	until := s.now.Add(quarantine.Duration)
	i.confirmed[f] = until
	delete(i.suspects, f)
	s.emit(QuarantineAdd{Fingerprint: f, Service: req.Group.Service, Until: until})
	a.detached = true
	a.part.removeRunning(a)
	a.part.ran.add(model.RunUnknown)
	for _, r := range s.sortedRequests() {
		if r.req.Fingerprint == f {
			s.endRequest(r, endQuarantined)
		}
	}
}

// isolate starts the next suspect once an upstream is idle for it.
func (s *Scheduler) isolate() {
	i := &s.isolation
	if i.running != nil {
		return
	}
	if i.next == nil || !s.stillIsolable(i.next, i.reserved) {
		s.reserveNext()
	}
	if i.next == nil || i.reserved.inFlight() > 0 || i.reserved.held {
		return
	}
	p, u := i.next, i.reserved
	i.next, i.reserved = nil, nil
	i.running = s.start(p, choice{upstream: u, probe: u.breaker.open}, reasonIsolated)
}

// reserveNext chooses the next suspect and keeps an upstream free for it. The
// most urgent and oldest suspect comes first.
func (s *Scheduler) reserveNext() {
	i := &s.isolation
	if i.reserved != nil {
		i.reserved.reserved = false
	}
	i.next, i.reserved = nil, nil
	var first *request
	for _, r := range i.pending {
		if first != nil && !s.moreUrgent(r, first) {
			continue
		}
		if p, u := s.isolable(r); p != nil {
			first, i.next, i.reserved = r, p, u
		}
	}
	if i.reserved != nil {
		i.reserved.reserved = true
	}
}

func (s *Scheduler) moreUrgent(a, b *request) bool {
	pa, pb := slices.Index(s.priorities, a.prio), slices.Index(s.priorities, b.prio)
	if pa != pb {
		return pa < pb
	}
	return a.seq < b.seq
}

// isolable returns a waiting part of the request and the upstream with the
// fewest attempts in flight that can run it.
func (s *Scheduler) isolable(r *request) (*part, *upstream) {
	for _, p := range r.parts {
		var best *upstream
		for _, u := range p.replicas {
			if s.stillIsolable(p, u) && (best == nil || u.inFlight() < best.inFlight()) {
				best = u
			}
		}
		if best != nil {
			return p, best
		}
	}
	return nil, nil
}

func (s *Scheduler) stillIsolable(p *part, u *upstream) bool {
	waiting := p.state == partWaiting && p.request.isolated && !p.request.done
	return waiting && !s.excluded(u) && u.breaker.allows(s.now)
}

// names returns the suspects in hexadecimal, sorted.
func (i *isolation) names() []string {
	out := make([]string, 0, len(i.suspects))
	for f := range i.suspects {
		out = append(out, strconv.FormatUint(uint64(f), 16))
	}
	slices.Sort(out)
	return out
}
