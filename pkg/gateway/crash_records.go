package gateway

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
)

// recordCrash records that an upstream crashed while it ran a request, and announces it
// to the other instances. The crashes that different instances detect are added up,
// because a caller may send the request again through another instance. A request that
// another upstream of the service answered meanwhile did not cause the crash.
func (g *Gateway) recordCrash(now time.Time, s quarantine.Suspect, proof string) {
	c := s.Crash
	fields := event.Fields{"fingerprint": uint64(c.Fingerprint), "request": s.RequestID, "unanswered": s.Unanswered, "upstream": c.Upstream, "service": c.Service, "proof": proof, "attempt_ended": s.Ending, "lost_ms_ago": now.Sub(s.LostAt).Milliseconds()}
	answeredBy := c.Service
	if s.Query && proof != proofRefused {
		// Only queries without any answer wait for the registry.
		answeredBy = quarantine.AnyShard
	}
	if g.answeredSince(now, c.Fingerprint, answeredBy, s.SentAt) {
		g.ports.Metrics.CrashChecked("answered_elsewhere")
		g.info(event.CrashExcused, fields, "an upstream crashed while it ran a request that other upstreams answer")
		return
	}
	if s.Trial {
		g.trialCrashed(now, c)
	}
	g.quarantine.Lock()
	record, added := g.quarantine.set.AddCrash(now, s.SentAt, c)
	g.quarantine.countsCrashes.Store(g.quarantine.set.CountsCrashes())
	crashes, blocked := g.quarantine.set.Crashes(now, c.Fingerprint), g.blocked(now, c.Fingerprint, s.Query)
	g.quarantine.Unlock()
	if !added {
		return
	}
	g.announceQuarantine(record)
	fields["strikes"] = crashes
	if !blocked {
		g.info(event.RequestSuspect, fields, "an upstream crashed while it ran a request")
		return
	}
	g.ports.Metrics.RequestQuarantined()
	g.warn(event.RequestQuarantined, fields, "a request crashed upstreams and is refused")
}

func (g *Gateway) announceQuarantine(e quarantine.Entry) {
	g.fleet.Lock()
	defer g.fleet.Unlock()
	g.fleet.membership.AnnounceQuarantine(membership.Quarantine(e))
}

// blocked reports whether requests with the fingerprint are refused. The records of crashes
// do not block a query over shards, which is in progress on many upstreams at a time: they
// make it a suspect, and a trial decides. quarantine must be locked.
func (g *Gateway) blocked(now time.Time, f model.Fingerprint, query bool) bool {
	if query {
		return g.quarantine.set.Confirmed(now, f)
	}
	return g.quarantine.set.Blocked(now, f, func(service string) bool {
		return g.answeredSince(now, f, service, time.Time{})
	})
}

// quarantined reports whether requests with the fingerprint are refused.
func (g *Gateway) quarantined(now time.Time, f model.Fingerprint, query bool) bool {
	g.quarantine.Lock()
	defer g.quarantine.Unlock()
	return g.blocked(now, f, query)
}

// isShard reports whether the service is a shard of queries.
func (g *Gateway) isShard(name string) bool {
	v := g.view.Load()
	if v == nil {
		return false
	}
	s := v.services[name]
	return s != nil && s.isShard()
}

// answeredSince reports whether upstreams of the service have answered a request with the
// fingerprint since the given time, as far as this instance remembers.
func (g *Gateway) answeredSince(now time.Time, f model.Fingerprint, service string, since time.Time) bool {
	g.answers.Lock()
	defer g.answers.Unlock()
	return g.answers.memory.AnsweredSince(now, f, service, since)
}

// rememberAnswer records that upstreams of the service have answered a request with the
// fingerprint. service is empty if all upstreams of a query over shards answered.
func (g *Gateway) rememberAnswer(now time.Time, f model.Fingerprint, service string) {
	g.answers.Lock()
	defer g.answers.Unlock()
	g.answers.memory.Add(now, f, service)
}

// disproveCrashes drops the crash records of a request on the upstreams of a service,
// here and at the other instances, because one of these upstreams has answered it.
func (g *Gateway) disproveCrashes(now time.Time, f model.Fingerprint, service string) {
	if !g.quarantine.countsCrashes.Load() {
		return
	}
	g.quarantine.Lock()
	disproved := g.quarantine.set.Answered(now, f, service)
	g.quarantine.countsCrashes.Store(g.quarantine.set.CountsCrashes())
	g.quarantine.Unlock()
	for _, e := range disproved {
		g.announceQuarantine(e)
	}
	if len(disproved) > 0 {
		g.info(event.RequestCleared, event.Fields{"fingerprint": uint64(f), "service": service, "records": len(disproved)}, "an upstream answered a request that was recorded as crashing upstreams")
	}
}

// mergeQuarantines stores the entries that another instance sent.
func (g *Gateway) mergeQuarantines(now time.Time, received []membership.Quarantine) {
	for _, q := range received {
		e := quarantine.Entry(q)
		query := g.isShard(e.Service)
		g.quarantine.Lock()
		added := g.quarantine.set.Add(now, e)
		g.quarantine.countsCrashes.Store(g.quarantine.set.CountsCrashes())
		f := e.CrashOf
		if f == 0 {
			f = e.Fingerprint
		}
		crashes, blocked := g.quarantine.set.Crashes(now, f), g.blocked(now, f, query)
		g.quarantine.Unlock()
		fields := event.Fields{"service": e.Service, "fingerprint": uint64(f), "strikes": crashes}
		switch {
		case !added:
		case e.Disproved:
			if query {
				g.rememberAnswer(now, f, quarantine.AnyShard)
			}
			g.info(event.RequestCleared, fields, "another instance announced that an upstream answered a request that was recorded as crashing upstreams")
		case blocked:
			g.info(event.RequestQuarantined, fields, "a request crashed upstreams, also of other instances, and is refused")
		default:
			g.info(event.CrashRecordReceived, fields, "another instance recorded that a request crashed an upstream")
		}
	}
}
