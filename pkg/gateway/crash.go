package gateway

import (
	"context"
	"time"

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

// checkCrash finds out whether an upstream crashed while it ran a request. A lost
// connection alone does not show that: an upstream that still runs accepts new
// connections.
func (g *Gateway) checkCrash(f model.Fingerprint, u directory.Upstream) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	probe := g.ports.Upstreams.Probe(ctx, u.Address)
	g.ports.Metrics.CrashChecked(probe.String())
	if probe != ProbeRefused {
		g.info(event.CrashNotConfirmed, event.Fields{"fingerprint": uint64(f), "upstream": u.ID, "service": u.Service, "probe": probe.String()}, "the connection to an upstream ended during a request, but the upstream is not known to have crashed")
		return
	}
	g.recordCrash(g.ports.Clock.Now(), f, u)
}

// recordCrash records that an upstream crashed while it ran a request with the
// fingerprint, and announces it to the other instances. The crashes that different
// instances detect are added up, because a caller may send the request again through
// another instance.
func (g *Gateway) recordCrash(now time.Time, f model.Fingerprint, u directory.Upstream) {
	g.quarantine.Lock()
	record, added := g.quarantine.set.AddCrash(now, quarantine.Crash{Fingerprint: f, Service: u.Service, Upstream: u.ID, Started: u.Started})
	crashes := g.quarantine.set.Crashes(now, f)
	g.quarantine.Unlock()
	if !added {
		return
	}
	g.fleet.Lock()
	g.fleet.membership.AnnounceQuarantine(membership.Quarantine(record))
	g.fleet.Unlock()
	fields := event.Fields{"fingerprint": uint64(f), "upstream": u.ID, "service": u.Service, "strikes": crashes}
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
