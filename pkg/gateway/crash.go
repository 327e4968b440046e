package gateway

import (
	"context"
	"time"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
)

const (
	// crashCheckDelay is the time between the loss of a connection to an upstream and
	// the attempt to open a new one.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout bounds the attempt to open the new connection.
	crashCheckTimeout = 500 * time.Millisecond
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
func (g *Gateway) checkUnanswered(crash quarantine.Crash, address string, reply *Reply, gather bool) {
	suspect := quarantine.Suspect{Crash: crash, Ending: endingOf(reply), LostAt: g.ports.Clock.Now()}
	if reply.ConnectionBroken {
		probe := g.probeAfterLoss(address)
		g.ports.Metrics.CrashChecked(probe.String())
		if probe == ProbeRefused {
			g.recordCrash(g.ports.Clock.Now(), suspect, proofRefused)
			return
		}
		g.info(event.CrashNotConfirmed, event.Fields{"fingerprint": uint64(crash.Fingerprint), "upstream": crash.Upstream, "service": crash.Service, "probe": probe.String()}, "the connection to an upstream ended during a request, but the upstream is not known to have crashed")
		suspect.Accepting = probe == ProbeAccepted
	}
	// The parts of a query time out often, and when many upstreams go down together, all
	// queries of that time would be suspects.
	if !gather {
		g.addSuspect(suspect)
	}
}

func (g *Gateway) probeAfterLoss(address string) ProbeResult {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return g.ports.Upstreams.Probe(ctx, address)
}

// addSuspect stores a suspect until the registry shows whether its upstream crashed. The
// registry may show it already.
func (g *Gateway) addSuspect(s quarantine.Suspect) {
	p := &g.published
	p.Lock()
	listed, ok := p.directory.Lookup(s.Upstream)
	p.Unlock()
	now := g.ports.Clock.Now()
	switch {
	case ok && listed.Started != s.Started:
		g.recordRegistryCrashes(now, []quarantine.Suspect{s}, proofRestarted)
		return
	case !ok && !s.Accepting:
		g.recordRegistryCrashes(now, []quarantine.Suspect{s}, proofRemoved)
		return
	}
	g.quarantine.Lock()
	defer g.quarantine.Unlock()
	g.quarantine.suspects.Add(now, s)
}

// upstreamRestarted records the crashes that a new process under an upstream's id shows.
func (g *Gateway) upstreamRestarted(now time.Time, u directory.Upstream) {
	g.quarantine.Lock()
	crashes := g.quarantine.suspects.UpstreamRestarted(now, u.ID, u.Started)
	g.quarantine.Unlock()
	g.recordRegistryCrashes(now, crashes, proofRestarted)
}

// upstreamRemoved records the crashes that the removal of an upstream's entry shows.
func (g *Gateway) upstreamRemoved(now time.Time, id string) {
	g.quarantine.Lock()
	crashes := g.quarantine.suspects.UpstreamRemoved(now, id)
	g.quarantine.Unlock()
	g.recordRegistryCrashes(now, crashes, proofRemoved)
}

func (g *Gateway) recordRegistryCrashes(now time.Time, crashes []quarantine.Suspect, proof string) {
	for _, s := range crashes {
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

// recordCrash records that an upstream crashed while it ran a request, and announces it
// to the other instances. The crashes that different instances detect are added up,
// because a caller may send the request again through another instance.
func (g *Gateway) recordCrash(now time.Time, s quarantine.Suspect, proof string) {
	c := s.Crash
	g.quarantine.Lock()
	record, added := g.quarantine.set.AddCrash(now, c)
	crashes := g.quarantine.set.Crashes(now, c.Fingerprint)
	g.quarantine.Unlock()
	if !added {
		return
	}
	g.fleet.Lock()
	g.fleet.membership.AnnounceQuarantine(membership.Quarantine(record))
	g.fleet.Unlock()
	fields := event.Fields{"fingerprint": uint64(c.Fingerprint), "upstream": c.Upstream, "service": c.Service, "strikes": crashes, "proof": proof, "attempt_ended": s.Ending, "lost_ms_ago": now.Sub(s.LostAt).Milliseconds()}
	if crashes < quarantine.CrashLimit {
		g.info(event.RequestSuspect, fields, "an upstream crashed while it ran a request")
		return
	}
	g.ports.Metrics.RequestQuarantined()
	g.warn(event.RequestQuarantined, fields, "a request crashed upstreams and is refused")
}

// quarantined reports whether requests with the fingerprint are refused.
func (g *Gateway) quarantined(now time.Time, f model.Fingerprint) bool {
	g.quarantine.Lock()
	defer g.quarantine.Unlock()
	return g.quarantine.set.Blocked(now, f)
}

// mergeQuarantines stores the entries that another instance sent.
func (g *Gateway) mergeQuarantines(now time.Time, received []membership.Quarantine) {
	for _, q := range received {
		e := quarantine.Entry(q)
		g.quarantine.Lock()
		added := g.quarantine.set.Add(now, e)
		crashes := g.quarantine.set.Crashes(now, e.CrashOf)
		g.quarantine.Unlock()
		if !added {
			continue
		}
		fields := event.Fields{"service": e.Service, "fingerprint": uint64(e.CrashOf), "strikes": crashes}
		if crashes < quarantine.CrashLimit {
			g.info(event.CrashRecordReceived, fields, "another instance recorded that a request crashed an upstream")
			continue
		}
		g.info(event.RequestQuarantined, fields, "a request crashed upstreams, also of other instances, and is refused")
	}
}
