package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/admission"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// limitRoute makes queries of gatherRoute late until one at a time may run, and leaves as
// many running.
func limitRoute(g *Gateway, running int) {
	r := admission.Route{Name: "/q/", Group: "s", LatencyTarget: 100 * time.Millisecond, Timeout: time.Second}
	now := time.Now()
	for range 4 {
		g.admission.controller.Begin(now, r, false)
		now = now.Add(300 * time.Millisecond)
		g.admission.controller.End(now, r, 300*time.Millisecond, admission.Late)
	}
	for range running {
		g.admission.controller.Begin(now, r, true)
	}
}

// runsOf returns how many queries of gatherRoute are counted as running.
func runsOf(g *Gateway) int {
	for _, s := range g.admission.controller.Status(time.Now()) {
		if s.Route == "/q/" {
			return s.Running
		}
	}
	return -1
}

// TestTrialEndsWhenRefused guards against a trial that never ends, and so forbids all later
// trials, because admission control refuses its query.
func TestTrialEndsWhenRefused(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, gatherRoute(3, "s"))
		ff.addUpstream(directory.Upstream{ID: "u", Service: "s", Started: 1})
		ff.answer = func(_ context.Context, c Call) Reply { return successReply(c, "0123456789abcdef") }
		g := ff.startWith(0, 1, Config{Settings: Settings{LoadShedding: ShedAlways}})
		time.Sleep(propagationTime)
		f := request("/q/1").fingerprint()
		g.recordCrash(time.Now(), quarantine.Suspect{Crash: quarantine.Crash{Fingerprint: f, Service: "s", Upstream: "earlier"}, Query: true}, proofRefused)
		limitRoute(g, 2)
		must.Eq(t, result.Overloaded, g.Serve(t.Context(), request("/q/1")).Code)
		g.admission.controller = admission.NewController()
		must.Eq(t, result.OK, g.Serve(t.Context(), request("/q/1")).Code)
	})
}

// TestPanicEndsRequest guards against a request that counts as running for ever because its
// execution panicked, which the HTTP server survives.
func TestPanicEndsRequest(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		r := gatherRoute(3, "s")
		ff.configure(1, r)
		g := ff.startWith(0, 1, Config{Settings: Settings{LoadShedding: ShedAlways}})
		time.Sleep(propagationTime)
		limitRoute(g, 0)
		run := g.newRequestRun(g.view.Load(), request("/q/1"), &r, r.Gather.Services, 1, 0, 0)
		run.held = nil
		func() {
			defer func() { must.NotNil(t, recover()) }()
			run.execute()
		}()
		must.Eq(t, 0, runsOf(g))
	})
}

// TestCallerLeavesLate guards against overload that is never seen because callers leave
// before their late requests have ended.
func TestCallerLeavesLate(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		r := gatherRoute(3, "s")
		ff.configure(1, r)
		ff.addUpstream(directory.Upstream{ID: "u", Service: "s"})
		g := ff.startWith(0, 1, Config{Settings: Settings{LoadShedding: ShedAlways}})
		time.Sleep(propagationTime)
		run := g.newRequestRun(g.view.Load(), request("/q/1"), &r, r.Gather.Services, 1, 0, 0)
		run.query = fanout.New(run.config, run)
		run.query.Begin(time.Now())
		run.callerLeft = true
		must.Eq(t, admission.Neutral, run.admissionOutcome(run.answerBy, Answer{}))
		must.Eq(t, admission.Unanswered, run.admissionOutcome(run.answerBy.Add(time.Second), Answer{}))
	})
}
