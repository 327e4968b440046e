package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
)

const (
	// crashCheckDelay is the time between the loss of a connection to an upstream and
	// the attempt to open a new one.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout bounds the attempt to open the new connection.
	crashCheckTimeout = 500 * time.Millisecond
	// minSilence is how long an upstream has been silent at least when its entry is removed
	// because it crashed: it has then missed two of its reports, one each 1.2 s.
	minSilence = 2 * time.Second
)

// Proofs of a crash in log lines.
const (
	proofRefused   = "connection_refused"
	proofRemoved   = "entry_removed"
	proofRestarted = "entry_of_new_process"
)

// checkUnanswered finds out whether an upstream crashed while it ran a request to which it
// gave no answer. A lost connection alone does not show that: an upstream that still runs
// accepts new connections. If there is no proof now, the registry may show it later.
func (r *requestRun) checkUnanswered(suspect quarantine.Suspect, u directory.Upstream, connectionBroken bool) {
	g, crash := r.g, suspect.Crash
	if connectionBroken {
		probe := g.probeAfterLoss(u)
		g.ports.Metrics.CrashChecked(probe.String())
		suspect.Unanswered = int(r.unanswered.Load())
		now := g.ports.Clock.Now()
		if probe == ProbeRefused && !g.mayEndAsPlanned(now, crash) {
			g.recordCrash(now, suspect, proofRefused)
			return
		}
		g.info(event.CrashNotConfirmed, event.Fields{"fingerprint": uint64(crash.Fingerprint), "request": suspect.RequestID, "unanswered": suspect.Unanswered, "upstream": crash.Upstream, "service": crash.Service, "probe": probe.String()}, "the connection to an upstream ended during a request, but the upstream is not known to have crashed")
		suspect.Accepting = probe == ProbeAccepted
	}
	// A query that any shard has answered since is no suspect: its parts time out often.
	if r.route.Gather == nil || !r.succeeded.Load() {
		g.addSuspect(suspect, u)
	}
}

func (g *Gateway) probeAfterLoss(u directory.Upstream) ProbeResult {
	time.Sleep(crashCheckDelay)
	if g.isEvacuated(u.DataCentre) {
		return ProbeSkipped
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return g.ports.Upstreams.Probe(ctx, u.Address)
}

// mayEndAsPlanned reports whether an upstream may have ended because it left as planned.
func (g *Gateway) mayEndAsPlanned(now time.Time, c quarantine.Crash) bool {
	g.quarantine.Lock()
	defer g.quarantine.Unlock()
	return g.quarantine.suspects.MayEndAsPlanned(now, c)
}

// addSuspect stores a suspect until the registry shows whether its upstream crashed. The
// registry may show it already.
func (g *Gateway) addSuspect(s quarantine.Suspect, u directory.Upstream) {
	now := g.ports.Clock.Now()
	decision, proof := g.decideOnSuspect(now, s)
	switch decision {
	case quarantine.Crashed:
		g.recordRegistryCrashes(now, []quarantine.Suspect{s}, proof)
	case quarantine.CheckHealth:
		g.checkRemoved(u, g.healthPath(u.Service))
	}
}

// decideOnSuspect stores a suspect whose upstream is listed, and otherwise returns what is
// known of the upstream. proof is set if it crashed.
func (g *Gateway) decideOnSuspect(now time.Time, s quarantine.Suspect) (d quarantine.Decision, proof string) {
	// The entry must not be removed between the look-up and the storing of the suspect.
	p := &g.published
	p.Lock()
	defer p.Unlock()
	listed, ok := p.directory.Lookup(s.Upstream)
	g.quarantine.Lock()
	defer g.quarantine.Unlock()
	switch {
	case ok && listed.Started != s.Started && g.quarantine.suspects.MayEndAsPlanned(now, s.Crash):
		return quarantine.NoCrash, ""
	case ok && listed.Started != s.Started:
		return quarantine.Crashed, proofRestarted
	case ok && listed.State == directory.Draining:
		return quarantine.NoCrash, ""
	case ok:
		g.quarantine.suspects.Add(now, s)
		g.quarantine.hasSuspects.Store(true)
		return quarantine.Wait, ""
	default:
		d = g.quarantine.suspects.AddDeparted(now, s)
		g.quarantine.hasSuspects.Store(g.quarantine.suspects.Any(now))
		return d, proofRemoved
	}
}

// upstreamAnswered records that an upstream answered an attempt that was sent at the given
// time, whatever the answer said.
func (g *Gateway) upstreamAnswered(u directory.Upstream, sentAt time.Time) {
	if !g.quarantine.hasSuspects.Load() {
		return
	}
	g.quarantine.Lock()
	defer g.quarantine.Unlock()
	g.quarantine.suspects.UpstreamAnswered(u.ID, u.Started, sentAt)
	g.quarantine.hasSuspects.Store(g.quarantine.suspects.Any(g.ports.Clock.Now()))
}

// upstreamListed records what a new or changed entry shows about earlier requests: the
// crash of an earlier process, or that the upstream leaves as planned.
func (g *Gateway) upstreamListed(now time.Time, u directory.Upstream) {
	g.quarantine.Lock()
	crashes := g.quarantine.suspects.UpstreamRestarted(now, u.ID, u.Started)
	switch u.State {
	case directory.Ready:
		g.quarantine.suspects.UpstreamReady(u.ID, u.Started)
	case directory.Draining:
		g.quarantine.suspects.UpstreamDraining(now, u.ID, u.Started)
	}
	g.quarantine.Unlock()
	g.recordRegistryCrashes(now, crashes, proofRestarted)
}

// upstreamRemoved finds out whether a ready upstream whose entry was removed crashed or
// left as planned, if requests are waiting for it. published must be locked.
func (g *Gateway) upstreamRemoved(now time.Time, u directory.Upstream) {
	waiting := g.oldestAttempt(now, u) >= minSilence
	g.quarantine.Lock()
	check := g.quarantine.suspects.UpstreamRemoved(now, u.ID, u.Started, waiting)
	g.quarantine.hasSuspects.Store(g.quarantine.suspects.Any(now))
	g.quarantine.Unlock()
	if !check {
		return
	}
	path := ""
	if t := g.published.table; t != nil {
		path = t.Services[u.Service].HealthPath
	}
	go g.checkRemoved(u, path)
}

// oldestAttempt returns how long the oldest attempt in flight on an upstream has taken so
// far. It is zero for a shard of queries, whose attempts end within their latency target.
func (g *Gateway) oldestAttempt(now time.Time, u directory.Upstream) time.Duration {
	v := g.view.Load()
	if v == nil || v.services[u.Service] == nil {
		return 0
	}
	s := v.services[u.Service]
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.balancer.Find(u.ID); b != nil && !s.shard {
		return b.OldestInFlight(now)
	}
	return 0
}

// checkRemoved records the crashes of an upstream whose entry was removed and that does
// not answer a health check. Without a path, an accepted connection counts as an answer. In
// an evacuated data centre nothing is sent, and the upstream counts as not crashed.
func (g *Gateway) checkRemoved(u directory.Upstream, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	var probe ProbeResult
	switch {
	case g.isEvacuated(u.DataCentre):
		probe = ProbeSkipped
	case path == "":
		probe = g.ports.Upstreams.Probe(ctx, u.Address)
	default:
		health := g.ports.Upstreams.CheckHealth(ctx, u, path)
		probe = health.Probe
		g.recordHealth(u, health)
	}
	g.ports.Metrics.CrashChecked(probe.String())
	g.quarantine.Lock()
	crashes := g.quarantine.suspects.CheckFinished(u.ID, u.Started, probe == ProbeAccepted || probe == ProbeSkipped)
	g.quarantine.Unlock()
	g.info(event.RemovalChecked, event.Fields{"upstream": u.ID, "service": u.Service, "probe": probe.String(), "requests": len(crashes)}, "the health of an upstream whose entry was removed was checked")
	g.recordRegistryCrashes(g.ports.Clock.Now(), crashes, proofRemoved)
}

func (g *Gateway) healthPath(service string) string {
	if v := g.view.Load(); v != nil {
		return v.table.Services[service].HealthPath
	}
	return ""
}

// maxQueryRecords bounds the number of crash records of queries for one upstream. The cause
// is among the attempts that were sent first: later ones met an upstream that had crashed.
const maxQueryRecords = 3

// recordRegistryCrashes records that an upstream crashed, as the registry shows, while it
// ran the given requests.
func (g *Gateway) recordRegistryCrashes(now time.Time, crashes []quarantine.Suspect, proof string) {
	slices.SortFunc(crashes, func(a, b quarantine.Suspect) int { return a.SentAt.Compare(b.SentAt) })
	queries := 0
	for _, s := range crashes {
		if s.Query && !s.Trial {
			if queries++; queries > maxQueryRecords {
				continue
			}
		}
		g.ports.Metrics.CrashChecked("registry")
		g.recordCrash(now, s, proof)
	}
}

// endingOf says, for log lines, how an attempt without an answer ended.
func endingOf(reply *Reply) string {
	switch {
	case reply.ConnectionBroken:
		return "connection_broken"
	case reply.UpstreamOutcome == balancer.Cancelled:
		return "cancelled"
	case reply.UpstreamOutcome == balancer.TimedOut:
		return "timed_out"
	default:
		return "invalid_answer"
	}
}
