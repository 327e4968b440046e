package membership_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sardineturn/sardineturn/pkg/membership"
)

// Times stated for a fleet of up to 12 instances after faults end.
const (
	viewTime    = 6 * time.Second
	catalogTime = 8 * time.Second
)

// TestRandomFaults guards against schedules of loss, duplication, reordering,
// cuts, kills, restarts, pauses, leaves and rollouts after which a document goes
// back, a leave is revoked, or views or catalogs do not converge in the stated
// times.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "instances")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), n, 3)
		pick := func() int { return rapid.IntRange(0, n-1).Draw(t, "instance") }
		s.publish("a")
		run := func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "steps")) * simStep) }
		t.Repeat(map[string]func(*rapid.T){
			"run":  run,
			"run2": run,
			"network": func(t *rapid.T) {
				s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
				s.dup = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplication")
				s.delay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
			},
			"cut": func(t *rapid.T) {
				a, b := pick(), pick()
				s.cut[[2]int{a, b}] = true
				s.cut[[2]int{b, a}] = rapid.Bool().Draw(t, "both directions")
			},
			"split": func(t *rapid.T) {
				for a := range pick() {
					for b := a; b < n; b++ {
						s.cut[[2]int{a, b}], s.cut[[2]int{b, a}] = true, true
					}
				}
			},
			"heal": func(*rapid.T) { clear(s.cut) },
			"kill": func(*rapid.T) { s.procs[pick()] = nil },
			"start": func(*rapid.T) {
				if i := pick(); s.procs[i] == nil {
					s.start(i)
				}
			},
			"leave": func(*rapid.T) {
				if i := pick(); s.runs(i) {
					s.left[i] = true
					s.send(i, s.procs[i].m.Leave(s.now))
				}
			},
			"pause": func(t *rapid.T) {
				s.paused[pick()] = s.now.Add(time.Duration(rapid.IntRange(10, 6000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"list":    func(t *rapid.T) { s.listStale = rapid.Bool().Draw(t, "stale") },
			"publish": func(t *rapid.T) { s.publish(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")) },
			"platform": func(t *rapid.T) {
				clear(s.platformCut)
				for range n / 3 {
					s.platformCut[pick()] = true
				}
			},
		})
		s.endFaults()
		s.publish("a")
		s.run(viewTime)
		must.NoError(t, s.viewsAgree())
		s.run(catalogTime - viewTime)
		must.NoError(t, s.catalogsAgree())
	})
}

// TestKilledMemberLeavesAllViews guards against a dead member that stays in a
// view, so that its groups wait for it, also if waits are extended again and
// again because every tick is late.
func TestKilledMemberLeavesAllViews(t *testing.T) {
	for _, lag := range []time.Duration{0, 60 * time.Millisecond} {
		s := newSim(t, 1, 9, 3)
		s.lag = lag
		s.until(2*time.Second, s.viewsAgree)
		s.procs[4] = nil
		noCandidate := s.until(time.Second+20*lag, s.noCandidate4)
		dead := s.until(3*time.Second, s.viewsAgree)
		t.Logf("ticks late by %v: no candidate after %v, out of all views after %v", lag, noCandidate, noCandidate+dead)
	}
}

// TestHealWithoutList guards against two sides of a partition that never find
// each other again when the platform's list cannot be read.
func TestHealWithoutList(t *testing.T) {
	s := newSim(t, 2, 9, 3)
	s.until(2*time.Second, s.viewsAgree)
	for i := range 9 {
		s.platformCut[i] = true
	}
	for a := range 4 {
		for b := 4; b < 9; b++ {
			s.cut[[2]int{a, b}], s.cut[[2]int{b, a}] = true, true
		}
	}
	s.run(10 * time.Minute)
	must.Len(t, 4, s.procs[0].m.Members())
	clear(s.cut)
	t.Logf("views agree after %v", s.until(viewTime, s.viewsAgree))
}

// TestPauseMakesNobodyDead guards against a resumed process that takes its own
// pause for the silence of others, or becomes a home before it knows better.
func TestPauseMakesNobodyDead(t *testing.T) {
	s := newSim(t, 3, 9, 3)
	s.until(2*time.Second, s.viewsAgree)
	p := s.procs[0]
	s.paused[0] = s.now.Add(5 * time.Second)
	s.run(5*time.Second - simStep)
	s.packets = nil
	s.now = s.now.Add(simStep)
	p.m.Tick(s.now)
	must.Len(t, 8, p.m.Candidates(s.now))
	must.Len(t, 9, p.m.Members())
	for range 20 {
		s.step()
		must.Len(t, 9, p.m.Members())
	}
	s.until(viewTime, s.viewsAgree)
}

// TestOneWayCutAvoids guards against a home that cannot be reached although
// helpers reach it.
func TestOneWayCutAvoids(t *testing.T) {
	s := newSim(t, 4, 9, 3)
	s.until(2*time.Second, s.viewsAgree)
	s.cut[[2]int{0, 1}] = true
	s.run(3 * time.Second)
	must.Len(t, 8, s.procs[0].m.Candidates(s.now))
	must.Len(t, 9, s.procs[0].m.Members())
	must.Len(t, 9, s.procs[2].m.Candidates(s.now))
	clear(s.cut)
	s.until(time.Second, s.viewsAgree)
}

// TestSlowClockOfSuccessor guards against a process that is ignored for good
// because its predecessor's clock was ahead.
func TestSlowClockOfSuccessor(t *testing.T) {
	s := newSim(t, 5, 3, 1)
	s.until(2*time.Second, s.viewsAgree)
	s.procs[0] = nil
	s.now = s.now.Add(-time.Minute)
	s.start(0)
	s.now = s.now.Add(time.Minute)
	s.run(viewTime)
	must.NoError(t, s.viewsAgree())
}

// TestBootstrap guards against an instance that becomes ready without asking
// the members that are alive, or never because one is dead.
func TestBootstrap(t *testing.T) {
	s := newSim(t, 6, 4, 1)
	s.until(2*time.Second, s.viewsAgree)
	s.procs[3], s.listStale = nil, true
	s.run(5 * time.Second)
	s.start(0)
	must.False(t, s.procs[0].m.BootstrapComplete(s.now))
	took := s.until(time.Second, func() error { return s.each(-1, func(p *process) bool { return p.m.BootstrapComplete(s.now) }) })
	must.Len(t, 3, s.procs[0].m.Members())
	t.Logf("confirmed after %v", took)
}

// TestFleet guards against changes that spread only as members meet each other,
// and against news that is passed on for ever.
func TestFleet(t *testing.T) {
	s := newSim(t, 7, 60, 3)
	s.publish("a")
	s.until(4*time.Second, s.settled)
	s.publish("a")
	t.Logf("document in force after %v", s.until(time.Second, s.catalogsAgree))
	s.procs[4] = nil
	t.Logf("death known after %v", s.until(2*time.Second, s.viewsAgree))
	s.listStale, s.listed = true, s.listed[:3]
	s.start(4)
	t.Logf("start known after %v", s.until(800*time.Millisecond, s.viewsAgree))
	s.procs[9].m.AnnounceQuarantine(membership.Quarantine{Fingerprint: 1, Service: "a", Until: s.now.Add(time.Minute)})
	s.until(time.Second, func() error { return s.each(9, func(p *process) bool { return p.quarantines == 1 }) })
	s.start(5)
	s.until(time.Second, func() error { return s.each(9, func(p *process) bool { return p.quarantines == 1 }) })
	s.until(time.Second, s.viewsAgree)
	s.send(6, s.procs[6].m.Leave(s.now))
	s.until(100*time.Millisecond, func() error {
		return s.each(6, func(p *process) bool { return len(p.m.Candidates(s.now)) == 59 })
	})
	s.run(20 * time.Second)
	before := s.bytes
	s.run(time.Second)
	must.Less(t, 60*1700, s.bytes-before)
}

// each reports a running process other than except for which ok is false.
func (s *sim) each(except int, ok func(*process) bool) error {
	for i, p := range s.procs {
		if i != except && p != nil && !ok(p) {
			return errUnreachable
		}
	}
	return nil
}

func (s *sim) settled() error { return errors.Join(s.viewsAgree(), s.catalogsAgree()) }

// TestShortStall guards against suspicions by a process that was stalled for
// less than a pause and has not read the acks that arrived meanwhile.
func TestShortStall(t *testing.T) {
	s := newSim(t, 8, 9, 3)
	s.until(2*time.Second, s.viewsAgree)
	for range 5 {
		s.paused[0] = s.now.Add(600 * time.Millisecond)
		s.run(600*time.Millisecond - simStep)
		s.send(0, s.procs[0].m.Tick(s.now.Add(simStep)))
		for range 100 {
			s.step()
			must.Len(t, 8, slices.DeleteFunc(slices.Clone(s.procs[0].m.Members()), func(r membership.Member) bool {
				return r.ID == simID(0) || r.State != membership.Alive
			}))
		}
	}
}

// BenchmarkConvergence prints how long changes take to reach all instances, in
// virtual time and without loss.
func BenchmarkConvergence(b *testing.B) {
	for _, n := range []int{9, 100, 400, 1600, 3100} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := newSim(b, 9, n, 12)
				s.unchecked = true
				s.publish("a")
				s.run(15 * time.Second)
				must.NoError(b, s.settled())
				s.publish("a")
				b.ReportMetric(float64(s.until(8*time.Second, s.catalogsAgree).Milliseconds()), "document-ms")
				s.procs[4] = nil
				b.ReportMetric(float64(s.until(4*time.Second, s.noCandidate4).Milliseconds()), "no-candidate-ms")
				s.start(4)
				b.ReportMetric(float64(s.until(20*time.Second, s.viewsAgree).Milliseconds()), "restart-ms")
			}
		})
	}
}

// noCandidate4 reports a process with instance 4 among its candidates.
func (s *sim) noCandidate4() error {
	return s.each(4, func(p *process) bool {
		return !slices.ContainsFunc(p.m.Candidates(s.now), func(r membership.Member) bool { return r.ID == simID(4) })
	})
}
