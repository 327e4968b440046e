package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// evacuationRetryDelay is the shortest delay after which a caller is told to return whose
// request could run only in evacuated data centres. A random time of up to the same length
// is added. Evacuations last much longer than one of the usual short delays.
const evacuationRetryDelay = time.Second

// applyEvacuation applies a change of the key that requests the evacuation of a data
// centre. err is the error of decoding it. published must be locked.
func (g *Gateway) applyEvacuation(now time.Time, c feed.Change, dc model.DataCentre, err error, source string) {
	d := g.published.directory
	fields := event.Fields{"evacuated": dc, "revision": c.Revision, "source": source}
	switch {
	case dc == "":
		g.warn(event.EntryInvalid, event.Fields{"key": c.Key, "revision": c.Revision, "error": err.Error()}, "a key requests the evacuation of a data centre without a name; it is ignored")
		return
	case c.Deleted && c.Lapsed:
		d.LapseEvacuation(now, dc)
	case c.Deleted:
		if d.EndEvacuation(dc) {
			g.info(event.EvacuationEnded, fields, "the evacuation of a data centre has ended")
		}
	case d.Evacuate(dc):
		if err != nil {
			fields["error"] = err.Error()
		}
		g.warn(event.EvacuationStarted, fields, "a data centre is evacuated; its upstreams get no requests")
	}
	g.storeEvacuated()
}

// expireEvacuations ends the evacuations whose keys lapsed and were not written again in
// time, and reports whether there were any. published must be locked.
func (g *Gateway) expireEvacuations(now time.Time) bool {
	ended := g.published.directory.ExpireEvacuations(now)
	for _, dc := range ended {
		g.info(event.EvacuationEnded, event.Fields{"evacuated": dc, "lapsed": true}, "the lapsed key of an evacuation did not come back; the evacuation has ended")
	}
	if len(ended) > 0 {
		g.storeEvacuated()
	}
	return len(ended) > 0
}

// storeEvacuated stores the evacuated data centres of the directory for isEvacuated.
// published must be locked.
func (g *Gateway) storeEvacuated() {
	d := g.published.directory
	evacuated := make(map[model.DataCentre]bool)
	for _, dc := range d.Evacuated() {
		evacuated[dc] = true
	}
	g.ports.Metrics.SetEvacuated(len(evacuated))
	if len(evacuated) == 0 {
		g.evacuated.Store(nil)
		return
	}
	g.evacuated.Store(&evacuated)
}

// isEvacuated reports whether nothing may be sent to the upstreams of a data centre.
func (g *Gateway) isEvacuated(dc model.DataCentre) bool {
	evacuated := g.evacuated.Load()
	return evacuated != nil && (*evacuated)[dc]
}

// recordWithdrawal marks the reply to an attempt that was not sent because the data centre
// of its upstream was evacuated meanwhile, or because the upstream is cold. The attempt
// shows nothing about the upstream.
func (g *Gateway) recordWithdrawal(reply *Reply, u directory.Upstream, gate *coldGate) {
	denied := gate.close()
	switch {
	case reply.Status != fanout.NotSent:
	case g.isEvacuated(u.DataCentre):
		reply.UpstreamOutcome, reply.Detail = balancer.Cancelled, "the upstream's data centre is evacuated"
		g.ports.Metrics.AttemptWithdrawn(metrics.WithdrawnEvacuated)
	case denied:
		reply.UpstreamOutcome, reply.Detail = balancer.Cancelled, coldLimitDetail
		g.ports.Metrics.AttemptWithdrawn(metrics.WithdrawnCold)
	}
}

// withholdEvacuated leaves out the parts whose services have upstreams in evacuated data
// centres only. If too few parts remain, the request is refused before any of it is sent.
func (r *requestRun) withholdEvacuated() {
	if r.g.evacuated.Load() == nil {
		return
	}
	withheld := slices.Clone(r.config.Withheld)
	for _, name := range r.services {
		if r.allEvacuated(name) {
			withheld = append(withheld, name)
		}
	}
	r.config.Withheld = withheld
}

// allEvacuated reports whether a service has upstreams in evacuated data centres only.
func (r *requestRun) allEvacuated(serviceName string) bool {
	s := r.view.services[serviceName]
	if s == nil || r.g.evacuated.Load() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.AllWithheld()
}

// isEvacuatedPart reports whether the i-th part has no answer because the upstreams of its
// service are in evacuated data centres.
func (r *requestRun) isEvacuatedPart(i int) bool {
	switch r.query.MissingReason(i) {
	case fanout.Withheld, fanout.NoUpstream:
		return r.allEvacuated(r.services[i])
	default:
		return false
	}
}

func newEvacuationRefusal() Answer {
	a := newRefusal(result.Evacuated)
	a.RetryAfter = evacuationRetryDelay + rand.N(evacuationRetryDelay)
	return a
}
