package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	testShards = 12
	seed       = 20261204
)

// finishAndCheck lets 5 s of virtual time pass and fails the test for each
// unanswered request and each recorded fault.
func (sim *simulation) finishAndCheck(t *testing.T) {
	t.Helper()
	sim.advance(5 * time.Second)
	for _, s := range sim.submissions {
		if !s.done {
			sim.recordFault("request without an answer")
		}
	}
	for _, f := range sim.faults {
		t.Error(f)
	}
}

// offerLoad offers queries of each priority at the given multiples of the
// capacity.
func offerLoad(sim *simulation, duration time.Duration, loads ...float64) {
	for prio, multiple := range loads {
		if multiple > 0 {
			sim.scheduleArrivals(prio, len(sim.doc.Snapshots[0].Shards), multiple*sim.capacity(), sim.now.Add(duration))
		}
	}
	sim.advance(duration)
}

func logSummary(t *testing.T, sim *simulation, from time.Time) {
	for i := range sim.doc.Priorities {
		t.Logf("p%d %+v", i, sim.tally(i, from))
	}
	t.Logf("starts %d hedges %d retries %d counts %v slot time %v", sim.starts, sim.hedges, sim.retries, sim.counts, sim.slotTime)
}

const floodDuration = 20 * time.Second

// goodput returns the rate of useful answers as a fraction of the capacity.
func (sim *simulation) goodput(d time.Duration) float64 {
	useful := 0
	for i := range sim.doc.Priorities {
		useful += sim.tally(i, epoch).useful
	}
	return float64(useful) / (sim.capacity() * d.Seconds())
}

// refusedAtOnce returns the fraction of refusals that were given at the time of
// submission.
func (sim *simulation) refusedAtOnce() float64 {
	refused, atOnce := 0, 0
	for _, s := range sim.submissions {
		if s.answer.Code == result.OK {
			continue
		}
		refused++
		if s.latency == 0 {
			atOnce++
		}
	}
	return float64(atOnce) / float64(max(refused, 1))
}

// TestFloodFromLeastUrgent guards against a flood of the least urgent work that
// delays urgent work or takes the guaranteed share of the middle priority.
func TestFloodFromLeastUrgent(t *testing.T) {
	sim := newSimulation(seed, testDocument(3, testShards))
	sim.useScheduler(seed)
	offerLoad(sim, floodDuration, 0.3, 0.6, 3)
	sim.finishAndCheck(t)
	logSummary(t, sim, epoch)
	p0, p1 := sim.tally(0, epoch), sim.tally(1, epoch)
	must.GreaterEq(t, 0.99*float64(p0.offered), float64(p0.inTarget))
	must.GreaterEq(t, 0.3*sim.capacity()*floodDuration.Seconds(), float64(p1.useful))
	must.GreaterEq(t, 0.9, sim.goodput(floodDuration))
}

// TestFloodFromMostUrgent guards against a flood of urgent work that takes the
// guaranteed shares of the other priorities or wastes capacity on answers that
// come too late.
func TestFloodFromMostUrgent(t *testing.T) {
	for _, excess := range []float64{1, 1.5, 3} {
		sim := newSimulation(seed, testDocument(3, testShards))
		sim.useScheduler(seed)
		offerLoad(sim, floodDuration, 3, 0.3*excess, 0.2*excess)
		sim.finishAndCheck(t)
		logSummary(t, sim, epoch)
		for i := range 2 {
			share := sim.doc.Priorities[i+1].GuaranteedShare
			lessUrgent := sim.tally(i+1, epoch)
			guaranteed := min(share*sim.capacity()*floodDuration.Seconds(), float64(lessUrgent.offered))
			t.Logf("p%d keeps %.3f of its share", i+1, float64(lessUrgent.useful)/guaranteed)
			must.GreaterEq(t, 0.95*guaranteed, float64(lessUrgent.useful))
		}
		t.Logf("goodput %.3f", sim.goodput(floodDuration))
		must.GreaterEq(t, 0.9, sim.goodput(floodDuration))
		must.GreaterEq(t, 0.98, sim.refusedAtOnce())
	}
}

// TestIdleCreditIsLimitedAtFloodOnset guards against credit saved while idle
// that lets a sudden flood of urgent work displace the other priorities at its
// start.
func TestIdleCreditIsLimitedAtFloodOnset(t *testing.T) {
	const phaseDuration = 10 * time.Second
	for run := range uint64(3) {
		sim := newSimulation(run+1, testDocument(3, testShards))
		sim.useScheduler(run + 1)
		sim.schedule(phaseDuration, func() { sim.scheduleArrivals(0, testShards, 3*sim.capacity(), sim.now.Add(phaseDuration)) })
		offerLoad(sim, 2*phaseDuration, 0.2, 0.3, 0.2)
		sim.finishAndCheck(t)
		for i := range 2 {
			lessUrgent := sim.tally(i+1, epoch.Add(phaseDuration))
			guaranteed := min(sim.doc.Priorities[i+1].GuaranteedShare*sim.capacity()*phaseDuration.Seconds(), float64(lessUrgent.offered))
			t.Logf("seed %d: p%d keeps %.3f of its share", run+1, i+1, float64(lessUrgent.useful)/guaranteed)
			must.GreaterEq(t, 0.95*guaranteed, float64(lessUrgent.useful))
		}
	}
}

// runWithSlowUpstream offers less than half of the capacity that is left without
// one upstream, and makes one upstream slower by the given factor after 5 s. It
// returns the tally of the most urgent priority and the number of extra
// attempts per first attempt.
func runWithSlowUpstream(t *testing.T, slowdown float64, upstreams int) (tally, float64) {
	sim := newSimulation(seed, testDocument(upstreams, testShards))
	sim.useScheduler(seed)
	sim.schedule(5*time.Second, func() { sim.upstreams["u0"].slowdown = slowdown })
	offerLoad(sim, 30*time.Second, 0.1*float64(upstreams)/3, 0.1, 0.05)
	sim.finishAndCheck(t)
	logSummary(t, sim, epoch)
	extraAttempts := float64(sim.hedges + sim.retries)
	return sim.tally(0, epoch), extraAttempts / (float64(sim.starts) - extraAttempts)
}

// TestSlowReplica guards against one slow replica that delays queries, or whose
// hedges add too much load to the other replicas.
func TestSlowReplica(t *testing.T) {
	for _, upstreams := range []int{3, 7} {
		before, _ := runWithSlowUpstream(t, 1, upstreams)
		after, extra := runWithSlowUpstream(t, 20, upstreams)
		t.Logf("%d upstreams: p99 %v, was %v; extra %.4f", upstreams, after.p99, before.p99, extra)
		must.LessEq(t, 2*before.p99, after.p99)
		must.LessEq(t, 0.05, extra)
		must.GreaterEq(t, 0.999*float64(after.offered), float64(after.useful))
	}
}

// TestLostShardLimitsExtraAttempts guards against a retry storm, late answers
// or wrong coverage when all replicas of some shards are down.
func TestLostShardLimitsExtraAttempts(t *testing.T) {
	sim := newSimulation(seed, testDocument(7, testShards))
	for i := range sim.doc.Priorities {
		sim.doc.Priorities[i].LeastCoverage = 0.5
	}
	sim.useScheduler(seed)
	sim.schedule(5*time.Second, func() { sim.upstreams["u0"].down, sim.upstreams["u1"].down = true, true })
	offerLoad(sim, 30*time.Second, 0.3, 0.3, 0.2)
	sim.finishAndCheck(t)
	logSummary(t, sim, epoch)
	extraAttempts := float64(sim.hedges + sim.retries)
	must.LessEq(t, 0.1, extraAttempts/(float64(sim.starts)-extraAttempts))
	p0 := sim.tally(0, epoch.Add(5*time.Second))
	must.GreaterEq(t, 0.99*float64(p0.offered), float64(p0.inTarget))
	for _, s := range sim.submissions {
		if s.submittedAt.After(epoch.Add(8*time.Second)) && s.useful() && s.coverage() == testShards {
			t.Fatal("full coverage without the lost shards")
		}
	}
}

// TestCrashingRequest guards against a request that crashes one upstream after
// another while its caller keeps sending it.
func TestCrashingRequest(t *testing.T) {
	sim := newSimulation(seed, testDocument(7, testShards))
	sim.useScheduler(seed)
	for i := range 40 {
		sim.schedule(time.Duration(2000+100*i)*time.Millisecond, func() {
			req := sim.newRequest(0, testShards)
			req.Fingerprint = 666
			sim.submit(req).crashing = true
		})
	}
	offerLoad(sim, 20*time.Second, 0.3, 0.3, 0.2)
	sim.finishAndCheck(t)
	logSummary(t, sim, epoch)
	crashes := 0
	for _, u := range sim.upstreams {
		crashes += u.crashes
	}
	t.Logf("%d crashes, quarantined %v", crashes, sim.quarantined)
	must.LessEq(t, len(sim.upstreams)+1, crashes)
	must.MapLen(t, 1, sim.quarantined)
	must.True(t, sim.quarantined[666])
	p0 := sim.tally(0, epoch.Add(8*time.Second))
	must.GreaterEq(t, 0.99*float64(p0.offered), float64(p0.inTarget))
}

// crashWhenBusy crashes the upstream as soon as it executes a call.
func (sim *simulation) crashWhenBusy(name string) {
	u := sim.upstreams[name]
	if len(u.running) > 0 {
		sim.crash(u)
		return
	}
	sim.schedule(time.Millisecond, func() { sim.crashWhenBusy(name) })
}

// TestCrashInCautiousMode guards against a crashing request that takes down
// several upstreams at once within 30 s of an earlier crash, because its parts
// start together. During that time the scheduler must start only one part of an
// unproven request at first.
func TestCrashInCautiousMode(t *testing.T) {
	sim := newSimulation(seed, testDocument(7, testShards))
	sim.useScheduler(seed)
	offerLoad(sim, 2*time.Second, 0.3, 0.3, 0.2)
	sim.crashWhenBusy("u0")
	offerLoad(sim, 3*time.Second, 0.3, 0.3, 0.2)
	for i := range 20 {
		sim.schedule(time.Duration(100*i)*time.Millisecond, func() {
			req := sim.newRequest(0, testShards)
			req.Fingerprint = 666
			sim.submit(req).crashing = true
		})
	}
	offerLoad(sim, 10*time.Second, 0.3, 0.3, 0.2)
	sim.finishAndCheck(t)
	logSummary(t, sim, epoch)
	crashes := -1
	for _, u := range sim.upstreams {
		crashes += u.crashes
	}
	must.LessEq(t, 2, crashes)
	must.Eq(t, map[model.Fingerprint]bool{666: true}, sim.quarantined)
}

// TestLeavingUpstreamGetsNoNewWork guards against new attempts on an upstream
// that is leaving or draining, and against requests that fail because of it. The
// simulation records a fault for each attempt on a leaving upstream.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	sim := newSimulation(seed, testDocument(3, testShards))
	s := sim.useScheduler(seed)
	sim.schedule(5*time.Second, func() {
		sim.upstreams["u1"].leaving = true
		sim.applyActions(s.SetUpstreamLeaving(sim.now, "u1", true))
	})
	sim.schedule(8*time.Second, func() {
		sim.upstreams["u1"].leaving = false
		sim.applyActions(s.SetUpstreamLeaving(sim.now, "u1", false))
	})
	startsBefore := 0
	sim.schedule(10*time.Second, func() {
		sim.upstreams["u2"].draining = true
		startsBefore = sim.upstreams["u2"].starts
	})
	offerLoad(sim, 15*time.Second, 0.2, 0.1, 0.1)
	sim.finishAndCheck(t)
	logSummary(t, sim, epoch)
	must.LessEq(t, startsBefore+3, sim.upstreams["u2"].starts)
	for i := range 3 {
		must.Eq(t, sim.tally(i, epoch).offered, sim.tally(i, epoch).useful)
	}
}

// TestPauseDropsExpiredWork guards against dispatching expired work after a
// pause of the process, and against counting the pause as latency of the
// upstreams.
func TestPauseDropsExpiredWork(t *testing.T) {
	sim := newSimulation(seed, testDocument(3, testShards))
	s := sim.useScheduler(seed)
	sim.schedule(5*time.Second, func() { sim.pause(4 * time.Second) })
	offerLoad(sim, 20*time.Second, 0.2, 0.2, 0.2)
	for _, u := range s.orderedUpstreams {
		must.Eq(t, StateActive, s.state(u))
	}
	sim.finishAndCheck(t)
	logSummary(t, sim, epoch)
	p0 := sim.tally(0, epoch.Add(9500*time.Millisecond))
	must.GreaterEq(t, 0.95*float64(p0.offered), float64(p0.inTarget))
}

// TestOrdersRunAtMostOnce guards against an order that is started again
// although it may have run; the simulation records a fault for each such start.
// It also guards against orders that fail although they certainly did not run
// and could be sent to another upstream: nearly all orders must succeed.
func TestOrdersRunAtMostOnce(t *testing.T) {
	sim := newSimulation(seed, testDocument(3, testShards))
	sim.sendStatusReports(sim.useScheduler(seed))
	for i := range 600 {
		sim.schedule(time.Duration(i)*20*time.Millisecond, func() {
			req := sim.newRequest(i%3, 1)
			req.Operation = "put"
			req.OrderKey = "k"
			req.NonIdempotent = true
			sim.submit(req)
		})
	}
	sim.schedule(2*time.Second, func() { sim.upstreams["u0"].draining = true })
	sim.schedule(4*time.Second, func() { sim.upstreams["u0"].draining = false })
	sim.schedule(6*time.Second, func() { sim.crash(sim.upstreams["u1"]) })
	sim.schedule(9*time.Second, func() { sim.upstreams["u2"].slowdown = 200 })
	offerLoad(sim, 12*time.Second, 0.2, 0.2, 0.2)
	sim.finishAndCheck(t)
	logSummary(t, sim, epoch)
	ran := 0
	for _, s := range sim.submissions {
		if s.req.NonIdempotent && s.useful() {
			ran++
		}
	}
	must.GreaterEq(t, 590, ran)
}
