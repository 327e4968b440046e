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

// These are the stated convergence times after the end of faults, for a fleet
// of up to 12 instances.
const (
	viewConvergenceTime    = 6 * time.Second
	catalogConvergenceTime = 8 * time.Second
)

// TestRandomFaults guards against views or catalogs that do not converge in the
// stated times after faults, against a document that returns to an older
// revision, and against a leave that is revoked. The random faults are loss,
// duplication and reordering of datagrams, cut links, kills, restarts, pauses,
// leaves, a stale instance list, document changes, and failures of the platform
// connection.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "instances")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), n, 3)
		pickInstance := func() int { return rapid.IntRange(0, n-1).Draw(t, "instance") }
		s.publish("a")
		run := func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "steps")) * simStep) }
		t.Repeat(map[string]func(*rapid.T){
			"run":  run,
			"run2": run,
			"network": func(t *rapid.T) {
				s.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
				s.duplicationRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplication")
				s.maxDelay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
			},
			"cut": func(t *rapid.T) {
				a, b := pickInstance(), pickInstance()
				s.cutLinks[[2]int{a, b}] = true
				s.cutLinks[[2]int{b, a}] = rapid.Bool().Draw(t, "both directions")
			},
			"split": func(t *rapid.T) {
				for a := range pickInstance() {
					for b := a; b < n; b++ {
						s.cutLinks[[2]int{a, b}], s.cutLinks[[2]int{b, a}] = true, true
					}
				}
			},
			"heal": func(*rapid.T) { clear(s.cutLinks) },
			"kill": func(*rapid.T) { s.procs[pickInstance()] = nil },
			"start": func(*rapid.T) {
				if i := pickInstance(); s.procs[i] == nil {
					s.start(i)
				}
			},
			"leave": func(*rapid.T) {
				if i := pickInstance(); s.isRunning(i) {
					s.announcedLeave[i] = true
					s.send(i, s.procs[i].m.Leave(s.now))
				}
			},
			"pause": func(t *rapid.T) {
				s.pausedUntil[pickInstance()] = s.now.Add(time.Duration(rapid.IntRange(10, 6000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"list":    func(t *rapid.T) { s.listStale = rapid.Bool().Draw(t, "stale") },
			"publish": func(t *rapid.T) { s.publish(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")) },
			"platform": func(t *rapid.T) {
				clear(s.platformCut)
				for range n / 3 {
					s.platformCut[pickInstance()] = true
				}
			},
		})
		s.endFaults()
		s.publish("a")
		s.run(viewConvergenceTime)
		must.NoError(t, s.viewsAgree())
		s.run(catalogConvergenceTime - viewConvergenceTime)
		must.NoError(t, s.catalogsAgree())
	})
}

// TestKilledMemberLeavesAllViews guards against a dead member that stays in a
// view and so remains the home of scheduling groups. The second case has late
// ticks, which extend the deadlines again and again.
func TestKilledMemberLeavesAllViews(t *testing.T) {
	for _, lag := range []time.Duration{0, 60 * time.Millisecond} {
		s := newSim(t, 1, 9, 3)
		s.tickLag = lag
		s.runUntil(2*time.Second, s.viewsAgree)
		s.procs[4] = nil
		noCandidate := s.runUntil(time.Second+20*lag, s.instance4IsNoCandidate)
		dead := s.runUntil(3*time.Second, s.viewsAgree)
		t.Logf("ticks late by %v: no candidate after %v, out of all views after %v", lag, noCandidate, noCandidate+dead)
	}
}

// TestPartitionHealsWithoutPlatformList guards against two sides of a partition
// that never find each other again when the platform's list cannot be read.
func TestPartitionHealsWithoutPlatformList(t *testing.T) {
	s := newSim(t, 2, 9, 3)
	s.runUntil(2*time.Second, s.viewsAgree)
	for i := range 9 {
		s.platformCut[i] = true
	}
	for a := range 4 {
		for b := 4; b < 9; b++ {
			s.cutLinks[[2]int{a, b}], s.cutLinks[[2]int{b, a}] = true, true
		}
	}
	s.run(10 * time.Minute)
	must.Len(t, 4, s.procs[0].m.Members())
	clear(s.cutLinks)
	t.Logf("views agree after %v", s.runUntil(viewConvergenceTime, s.viewsAgree))
}

// TestResumedProcessDeclaresNobodyDead guards against a resumed process that
// treats acks missed during its own pause as failures of other members, or that
// becomes a home before a member has answered.
func TestResumedProcessDeclaresNobodyDead(t *testing.T) {
	s := newSim(t, 3, 9, 3)
	s.runUntil(2*time.Second, s.viewsAgree)
	p := s.procs[0]
	s.pausedUntil[0] = s.now.Add(5 * time.Second)
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
	s.runUntil(viewConvergenceTime, s.viewsAgree)
}

// TestMemberReachedOnlyByHelpersIsNoCandidate guards against an instance that
// keeps a member among the candidates for homes although only helpers, and not
// the instance itself, can reach it.
func TestMemberReachedOnlyByHelpersIsNoCandidate(t *testing.T) {
	s := newSim(t, 4, 9, 3)
	s.runUntil(2*time.Second, s.viewsAgree)
	s.cutLinks[[2]int{0, 1}] = true
	s.run(3 * time.Second)
	must.Len(t, 8, s.procs[0].m.Candidates(s.now))
	must.Len(t, 9, s.procs[0].m.Members())
	must.Len(t, 9, s.procs[2].m.Candidates(s.now))
	clear(s.cutLinks)
	s.runUntil(time.Second, s.viewsAgree)
}

// TestSuccessorWithSlowerClockJoins guards against a process that the others
// ignore for good because the clock of the earlier process with its instance id
// was ahead.
func TestSuccessorWithSlowerClockJoins(t *testing.T) {
	s := newSim(t, 5, 3, 1)
	s.runUntil(2*time.Second, s.viewsAgree)
	s.procs[0] = nil
	s.now = s.now.Add(-time.Minute)
	s.start(0)
	s.now = s.now.Add(time.Minute)
	s.run(viewConvergenceTime)
	must.NoError(t, s.viewsAgree())
}

// TestBootstrapWithDeadMember guards against an instance that becomes ready
// before the live members have answered it, and against one that never becomes
// ready because a listed member is dead.
func TestBootstrapWithDeadMember(t *testing.T) {
	s := newSim(t, 6, 4, 1)
	s.runUntil(2*time.Second, s.viewsAgree)
	s.procs[3], s.listStale = nil, true
	s.run(5 * time.Second)
	s.start(0)
	must.False(t, s.procs[0].m.BootstrapComplete(s.now))
	took := s.runUntil(time.Second, func() error { return s.checkEach(-1, func(p *process) bool { return p.m.BootstrapComplete(s.now) }) })
	must.Len(t, 3, s.procs[0].m.Members())
	t.Logf("bootstrap complete after %v", took)
}

// TestChangesReachFleetAndUpdatesEnd guards against changes that reach a member
// only when it exchanges pings with the changed one, instead of being passed on
// by others, and against updates that are passed on for ever.
func TestChangesReachFleetAndUpdatesEnd(t *testing.T) {
	s := newSim(t, 7, 60, 3)
	s.publish("a")
	s.runUntil(4*time.Second, s.viewsAndCatalogsAgree)
	s.publish("a")
	t.Logf("document in force after %v", s.runUntil(time.Second, s.catalogsAgree))
	s.procs[4] = nil
	t.Logf("death known after %v", s.runUntil(2*time.Second, s.viewsAgree))
	s.listStale, s.listed = true, s.listed[:3]
	s.start(4)
	t.Logf("start known after %v", s.runUntil(800*time.Millisecond, s.viewsAgree))
	s.procs[9].m.AnnounceQuarantine(membership.Quarantine{Fingerprint: 1, Service: "a", Until: s.now.Add(time.Minute)})
	s.runUntil(time.Second, func() error { return s.checkEach(9, func(p *process) bool { return p.receivedQuarantines == 1 }) })
	s.start(5)
	s.runUntil(time.Second, func() error { return s.checkEach(9, func(p *process) bool { return p.receivedQuarantines == 1 }) })
	s.runUntil(time.Second, s.viewsAgree)
	s.send(6, s.procs[6].m.Leave(s.now))
	s.runUntil(100*time.Millisecond, func() error {
		return s.checkEach(6, func(p *process) bool { return len(p.m.Candidates(s.now)) == 59 })
	})
	s.run(20 * time.Second)
	before := s.sentBytes
	s.run(time.Second)
	must.Less(t, 60*1700, s.sentBytes-before)
}

// checkEach returns an error if check returns false for a running process. It
// skips the instance number given as except.
func (s *sim) checkEach(except int, check func(*process) bool) error {
	for i, p := range s.procs {
		if i != except && p != nil && !check(p) {
			return errUnreachable
		}
	}
	return nil
}

// viewsAndCatalogsAgree returns an error unless both all views and all catalogs
// agree.
func (s *sim) viewsAndCatalogsAgree() error { return errors.Join(s.viewsAgree(), s.catalogsAgree()) }

// TestShortStallCausesNoSuspicion guards against suspicions by a process that
// was stalled for less than the pause threshold and has not yet read the acks
// that arrived meanwhile.
func TestShortStallCausesNoSuspicion(t *testing.T) {
	s := newSim(t, 8, 9, 3)
	s.runUntil(2*time.Second, s.viewsAgree)
	for range 5 {
		s.pausedUntil[0] = s.now.Add(600 * time.Millisecond)
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

// BenchmarkConvergence reports how long changes take to reach all instances, in
// virtual time and without loss.
func BenchmarkConvergence(b *testing.B) {
	for _, n := range []int{9, 100, 400, 1600, 3100} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := newSim(b, 9, n, 12)
				s.skipStepChecks = true
				s.publish("a")
				s.run(15 * time.Second)
				must.NoError(b, s.viewsAndCatalogsAgree())
				s.publish("a")
				b.ReportMetric(float64(s.runUntil(8*time.Second, s.catalogsAgree).Milliseconds()), "document-ms")
				s.procs[4] = nil
				b.ReportMetric(float64(s.runUntil(4*time.Second, s.instance4IsNoCandidate).Milliseconds()), "no-candidate-ms")
				s.start(4)
				b.ReportMetric(float64(s.runUntil(20*time.Second, s.viewsAgree).Milliseconds()), "restart-ms")
			}
		})
	}
}

// instance4IsNoCandidate returns an error if any other running process has
// instance 4 among its candidates.
func (s *sim) instance4IsNoCandidate() error {
	return s.checkEach(4, func(p *process) bool {
		return !slices.ContainsFunc(p.m.Candidates(s.now), func(r membership.Member) bool { return r.ID == simID(4) })
	})
}
