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
	// maxStrikes is the number of crashed upstreams after which a request is
	// refused everywhere.
	maxStrikes = 2
	// markPrefix tells the announcements of strikes from those of requests that
	// are refused.
	markPrefix = "strike:"
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
	g.strike(g.ports.Clock.Now(), f, u)
}

// strike records that a request was running on an upstream when it crashed. The
// strikes of all instances count, because a caller sends the request again
// through another one; each is announced like a quarantine entry of its own.
func (g *Gateway) strike(now time.Time, f model.Fingerprint, u directory.Upstream) {
	for n := 1; n < maxStrikes; n++ {
		if mark := strikeMark(f, n); !g.blocked(now, mark) {
			g.info(event.RequestSuspect, event.Fields{"fingerprint": uint64(f), "upstream": u.ID, "service": u.Service, "strikes": n}, "an upstream crashed while it ran a request")
			g.addQuarantine(now, mark, markPrefix+u.Service)
			return
		}
	}
	g.ports.Metrics.RequestQuarantined()
	g.warn(event.RequestQuarantined, event.Fields{"fingerprint": uint64(f), "upstream": u.ID, "service": u.Service, "strikes": maxStrikes}, "a request crashed upstreams and is refused")
	g.addQuarantine(now, f, u.Service)
}

// strikeMark is the fingerprint under which the n-th strike of a request is
// announced.
func strikeMark(f model.Fingerprint, n int) model.Fingerprint {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(f))
	binary.LittleEndian.PutUint64(b[8:], uint64(n))
	return quarantine.Fingerprint("strike", "", b[:])
}
