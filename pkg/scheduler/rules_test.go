package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// warmSimulation returns a simulation whose upstreams have served light load
// for 3 s, so that none of them is cold.
func warmSimulation() (*simulation, *Scheduler) {
	sim := newSimulation(seed, testDocument(3, testShards))
	s := sim.useScheduler(seed)
	offerLoad(sim, 3*time.Second, 0.2)
	sim.advance(500 * time.Millisecond)
	return sim, s
}

// TestCallersTakeTurns guards against a caller that fills the queue of a
// priority, so that another caller of the same priority must wait behind all of
// its requests.
func TestCallersTakeTurns(t *testing.T) {
	sim, _ := warmSimulation()
	sim.scheduleArrivals(0, testShards, 2*sim.capacity(), sim.now.Add(5*time.Second))
	var lightSubmissions []*submission
	for i := range 40 {
		sim.schedule(time.Duration(1000+100*i)*time.Millisecond, func() {
			req := sim.newRequest(0, testShards)
			req.Caller = "light"
			lightSubmissions = append(lightSubmissions, sim.submit(req))
		})
	}
	sim.advance(5 * time.Second)
	sim.finishAndCheck(t)
	served := 0
	for _, s := range lightSubmissions {
		if s.useful() {
			served++
		}
	}
	must.GreaterEq(t, 38, served)
}

// TestQueuedRequestThatCannotFinishIsRefused guards against starting a queued
// query that can no longer finish in time, because the work before it took
// unusually long.
func TestQueuedRequestThatCannotFinishIsRefused(t *testing.T) {
	sim, _ := warmSimulation()
	for _, u := range sim.upstreams {
		u.slowdown = 50
	}
	sim.drawServiceTime = func() time.Duration { return 5 * time.Millisecond }
	first := sim.newRequest(0, testShards)
	first.Deadline = sim.now.Add(time.Second)
	sim.submit(first)
	req := sim.newRequest(0, testShards)
	req.Deadline = sim.now.Add(258 * time.Millisecond)
	late := sim.submit(req)
	must.False(t, late.done)
	sim.advance(100 * time.Millisecond)
	for _, u := range sim.upstreams {
		u.slowdown = 1
	}
	sim.advance(time.Second)
	must.Eq(t, result.Overloaded, late.answer.Code)
	sim.finishAndCheck(t)
}

// TestBreakerLimitsAttempts guards against an unlimited number of attempts on
// an unreachable upstream, and against an upstream that gets no work after it
// is reachable again.
func TestBreakerLimitsAttempts(t *testing.T) {
	sim, _ := warmSimulation()
	u := sim.upstreams["u0"]
	u.down = true
	startsBefore := u.starts
	offerLoad(sim, 20*time.Second, 0.2)
	must.LessEq(t, startsBefore+25, u.starts)
	u.down = false
	startsBefore = u.starts
	offerLoad(sim, 20*time.Second, 0.2)
	must.GreaterEq(t, startsBefore+500, u.starts)
	sim.finishAndCheck(t)
}

// TestColdUpstreamRampsUp guards against sending the full load to an upstream
// that has just started.
func TestColdUpstreamRampsUp(t *testing.T) {
	sim := newSimulation(seed, testDocument(3, testShards))
	s := sim.useScheduler(seed)
	sim.submit(sim.newRequest(0, testShards))
	for _, u := range s.orderedUpstreams {
		must.Eq(t, 1, u.inFlight())
	}
	offerLoad(sim, time.Second, 0.5)
	for _, u := range s.orderedUpstreams {
		must.Eq(t, 3, int(u.limit))
	}
	sim.finishAndCheck(t)
}

// TestSheddingLowersLimit guards against sending as many attempts as before to
// an upstream that refuses some of them because other instances use it as well.
func TestSheddingLowersLimit(t *testing.T) {
	sim, s := warmSimulation()
	sim.upstreams["u0"].slots = 1
	offerLoad(sim, 5*time.Second, 0.4)
	sim.finishAndCheck(t)
	must.LessEq(t, 2, int(s.upstreams["u0"].limit))
	p0 := sim.tally(0, epoch)
	must.GreaterEq(t, 0.99*float64(p0.offered), float64(p0.useful))
}

// TestCallsOverrideStatusReports guards against wrong status reports that keep
// upstreams out of use although calls to them succeed, and against ignoring the
// draining report of a single upstream.
func TestCallsOverrideStatusReports(t *testing.T) {
	sim, s := warmSimulation()
	u := s.upstreams["u0"]
	sim.applyActions(s.SetUpstreamStatus(sim.now, "u0", port.UpstreamStatus{Healthy: true, Draining: true}))
	startsBefore := sim.upstreams["u0"].starts
	offerLoad(sim, time.Second, 0.2)
	must.Eq(t, startsBefore, sim.upstreams["u0"].starts)
	for _, name := range []string{"u1", "u2"} {
		sim.applyActions(s.SetUpstreamStatus(sim.now, name, port.UpstreamStatus{Healthy: true, Draining: true}))
	}
	offerLoad(sim, time.Second, 0.2)
	must.Greater(t, startsBefore, sim.upstreams["u0"].starts)
	for _, other := range s.orderedUpstreams {
		sim.applyActions(s.SetUpstreamStatus(sim.now, other.name, port.UpstreamStatus{Snapshots: []model.SnapshotID{"v0"}}))
		must.True(t, other.avoidedByReport(sim.now, "v1"))
	}
	offerLoad(sim, time.Second, 0.2)
	must.False(t, u.avoidedByReport(sim.now, "v1"))
	sim.finishAndCheck(t)
}

// TestCrashStopsOtherParts guards against parts of a suspect request that keep
// running on other upstreams after one upstream crashed, while the request
// waits for its isolated attempt. It also guards against a harmless suspect
// that gets no useful answer.
func TestCrashStopsOtherParts(t *testing.T) {
	sim, s := warmSimulation()
	submitted := sim.submit(sim.newRequest(0, testShards))
	sim.advance(2 * networkLatency)
	sim.crash(sim.upstreams["u0"])
	sim.advance(networkLatency)
	must.Len(t, 1, s.Status(sim.now).Suspects)
	for _, a := range s.attempts {
		must.True(t, a.detached || a.upstreamCrashed || a.isolated)
	}
	sim.advance(100 * time.Millisecond)
	must.True(t, submitted.useful())
	must.SliceEmpty(t, s.Status(sim.now).Suspects)
	sim.finishAndCheck(t)
}

// TestIsolatedAttemptOutlivesItsRequest guards against cutting off the isolated
// attempt of a suspect at the request's deadline. The request would stay
// suspect, and its next isolated attempt would crash another upstream.
func TestIsolatedAttemptOutlivesItsRequest(t *testing.T) {
	sim, s := warmSimulation()
	req := sim.newRequest(0, testShards)
	req.Deadline = sim.now.Add(100 * time.Millisecond)
	submitted := sim.submit(req)
	sim.advance(2 * networkLatency)
	for _, u := range sim.upstreams {
		u.slowdown = 100
	}
	sim.crash(sim.upstreams["u0"])
	sim.advance(200 * time.Millisecond)
	must.True(t, submitted.done)
	isolated := s.isolation.runningAttempt
	must.NotNil(t, isolated)
	sim.crash(sim.upstreams[isolated.upstream.name])
	sim.advance(networkLatency)
	must.MapContainsKey(t, sim.quarantined, req.Fingerprint)
	must.SliceEmpty(t, s.Status(sim.now).Suspects)
	sim.finishAndCheck(t)
}

// TestHedgeBudgetAllowsInitialBurst guards against budgets that forbid every
// hedge until many first attempts were made.
func TestHedgeBudgetAllowsInitialBurst(t *testing.T) {
	b := newBudgets(testDocument(1, 1).Budgets)
	b.countFirstAttempt()
	for range hedgeBurstTokens {
		must.True(t, b.takeHedge())
	}
	must.False(t, b.takeHedge())
	for range 20 {
		b.countFirstAttempt()
	}
	must.True(t, b.takeHedge())
	must.False(t, b.takeHedge())
}

// TestNoRetriesWhileShedding guards against retries that add load to an
// overloaded group. Refusals of less urgent work do not forbid retries, and
// retries after a draining reply remain allowed, because they only move the
// attempt to another upstream.
func TestNoRetriesWhileShedding(t *testing.T) {
	_, s := warmSimulation()
	p := s.priorities[1]
	failed := port.UpstreamReply{Code: result.UpstreamFailed}
	part := &part{request: &request{prio: p}}
	s.priorities[2].shedAt = s.now
	must.Eq(t, "", s.retryDenied(part, failed))
	p.shedAt = s.now
	must.Eq(t, "shedding", s.retryDenied(part, failed))
	must.Eq(t, "", s.retryDenied(part, port.UpstreamReply{Code: result.UpstreamDraining}))
}
