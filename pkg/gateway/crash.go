package gateway

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
)

const (
	// crashCheckDelay is the time between the loss of a connection to an upstream and
	// the attempt to open a new one.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout bounds the attempt to open the new connection.
	crashCheckTimeout = 500 * time.Millisecond
	// maxCrashes is the number of upstreams that a request may crash; after that, all
	// instances refuse the request.
	maxCrashes = 2
	// crashRecordPrefix distinguishes the service names in announced crash records from
	// those in announced quarantine entries.
	crashRecordPrefix = "strike:"
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
// fingerprint. The crashes that different instances detect are added up, because a
// caller may send the request again through another instance. Each crash below
// maxCrashes is therefore announced to the other instances as a quarantine entry with a
// fingerprint of its own, and the last one as the quarantine entry of the request.
func (g *Gateway) recordCrash(now time.Time, f model.Fingerprint, u directory.Upstream) {
	for n := 1; n < maxCrashes; n++ {
		if record := crashRecordFingerprint(f, n); !g.quarantined(now, record) {
			g.info(event.RequestSuspect, event.Fields{"fingerprint": uint64(f), "upstream": u.ID, "service": u.Service, "strikes": n}, "an upstream crashed while it ran a request")
			g.addQuarantine(now, record, crashRecordPrefix+u.Service)
			return
		}
	}
	g.ports.Metrics.RequestQuarantined()
	g.warn(event.RequestQuarantined, event.Fields{"fingerprint": uint64(f), "upstream": u.ID, "service": u.Service, "strikes": maxCrashes}, "a request crashed upstreams and is refused")
	g.addQuarantine(now, f, u.Service)
}

// crashRecordFingerprint returns the fingerprint under which the n-th crash caused by a
// request is announced.
func crashRecordFingerprint(f model.Fingerprint, n int) model.Fingerprint {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(f))
	binary.LittleEndian.PutUint64(b[8:], uint64(n))
	return quarantine.Fingerprint("strike", "", b[:])
}
