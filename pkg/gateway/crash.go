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
	// crashCheckDelay is the wait before a new connection is tried to an
	// upstream whose connection broke.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout bounds that connection attempt.
	crashCheckTimeout = 500 * time.Millisecond
	// maxCrashes is the number of crashed upstreams after which a request is
	// refused everywhere.
	maxCrashes = 2
	// crashRecordPrefix tells the announcements of strikes from those of requests that
	// are refused.
	crashRecordPrefix = "strike:"
)

// checkCrash finds out whether an upstream has crashed while it ran a request. A
// connection that breaks alone is no sign: then new ones are accepted.
func (g *Gateway) checkCrash(f model.Fingerprint, u directory.Upstream) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if !g.ports.Upstreams.RefusesConnections(ctx, u.Address) {
		return
	}
	g.recordCrash(g.ports.Clock.Now(), f, u)
}

// recordCrash records that a request was running on an upstream when it crashed. The
// strikes of all instances count, because a caller sends the request again
// through another one; each is announced like a quarantine entry of its own.
func (g *Gateway) recordCrash(now time.Time, f model.Fingerprint, u directory.Upstream) {
	for n := 1; n < maxCrashes; n++ {
		if mark := crashRecordFingerprint(f, n); !g.quarantined(now, mark) {
			g.info(event.RequestSuspect, event.Fields{"fingerprint": uint64(f), "upstream": u.ID, "service": u.Service, "strikes": n}, "an upstream crashed while it ran a request")
			g.addQuarantine(now, mark, crashRecordPrefix+u.Service)
			return
		}
	}
	g.ports.Metrics.RequestQuarantined()
	g.warn(event.RequestQuarantined, event.Fields{"fingerprint": uint64(f), "upstream": u.ID, "service": u.Service, "strikes": maxCrashes}, "a request crashed upstreams and is refused")
	g.addQuarantine(now, f, u.Service)
}

// crashRecordFingerprint is the fingerprint under which the n-th strike of a request is
// announced.
func crashRecordFingerprint(f model.Fingerprint, n int) model.Fingerprint {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(f))
	binary.LittleEndian.PutUint64(b[8:], uint64(n))
	return quarantine.Fingerprint("strike", "", b[:])
}
