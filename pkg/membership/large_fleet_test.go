package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	headerBytes = 28
	// maxMeanRoundBytes is the number of bytes, as a mean over the fleet, that
	// an instance of a large fleet may send in a round. maxBurstBytes may be
	// added once for its full buckets.
	maxMeanRoundBytes = 700
	maxBurstBytes     = 5000
	// largeFleetViewConvergenceTime is the time until all views agree under the
	// limits of a large fleet, where lost members are pinged one at a time.
	largeFleetViewConvergenceTime = 60 * time.Second
)

// TestRandomFaultsWithinBudget guards against instances of a large fleet that
// exceed their traffic budget, and against a live member that stays dead or
// avoided or a document that is late because the budget is used up. Links
// between data centres fail, the fleet is partitioned, instances are killed and
// datagrams are delayed.
func TestRandomFaultsWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(6, 16).Draw(t, "instances")
		dcs := rapid.IntRange(2, 6).Draw(t, "data centres")
		s := newSimWithSmallFleetSize(t, rapid.Uint64().Draw(t, "seed"), n, dcs, 1)
		s.publish("a")
		s.run(5 * time.Second)
		must.NoError(t, s.viewsAgree())
		startedAt, bytesBefore := s.now, s.sentBytes+headerBytes*s.sentDatagrams
		steps := 0
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				if steps++; steps < 6 {
					s.run(time.Duration(rapid.IntRange(1, 500).Draw(t, "steps")) * simStep)
				}
			},
			"apart": func(t *rapid.T) {
				a, b := rapid.IntRange(0, dcs-1).Draw(t, "a"), rapid.IntRange(0, dcs-1).Draw(t, "b")
				s.cutLinksBetween(func(x, y int) bool { return x%dcs == a && y%dcs == b && a != b })
			},
			"split": func(t *rapid.T) {
				boundary := rapid.IntRange(1, n-1).Draw(t, "at")
				s.cutLinksBetween(func(x, y int) bool { return x < boundary && y >= boundary })
			},
			"heal": func(*rapid.T) { clear(s.cutLinks) },
			"kill": func(t *rapid.T) { s.procs[rapid.IntRange(2, n-1).Draw(t, "instance")] = nil },
			"delay": func(t *rapid.T) {
				s.maxDelay = rapid.SampledFrom([]time.Duration{2, 40, 80}).Draw(t, "ms") * time.Millisecond
			},
			"publish": func(t *rapid.T) { s.publish(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")) },
		})
		s.endFaults()
		s.publish("a")
		s.run(catalogConvergenceTime)
		must.NoError(t, s.catalogsAgree())
		s.runUntil(largeFleetViewConvergenceTime, s.viewsAgree)
		rounds := int(s.now.Sub(startedAt)/(200*time.Millisecond)) + 1
		must.LessEq(t, n*(rounds*maxMeanRoundBytes+maxBurstBytes), s.sentBytes+headerBytes*s.sentDatagrams-bytesBefore)
	})
}

// cutLinksBetween cuts the links in both directions between all pairs of
// instances for which isCut returns true.
func (s *sim) cutLinksBetween(isCut func(a, b int) bool) {
	for a := range s.procs {
		for b := range s.procs {
			if isCut(a, b) {
				s.cutLinks[[2]int{a, b}], s.cutLinks[[2]int{b, a}] = true, true
			}
		}
	}
}

// TestLostLinkBetweenDataCentresCausesNoSuspicion guards against suspicions of
// members that helpers can reach, when two data centres lose contact and acks
// are slow. They arise if all helpers are in one of the two data centres, or if
// the wait for indirect acks is too short for the measured round trip.
func TestLostLinkBetweenDataCentresCausesNoSuspicion(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 70 * time.Millisecond} {
		s := newSimWithSmallFleetSize(t, 10, 24, 6, 1)
		s.maxDelay = delay
		s.runUntil(4*time.Second, s.viewsAgree)
		s.run(10 * time.Second)
		s.cutLinksBetween(func(a, b int) bool { return a%6 == 0 && b%6 == 1 })
		before := s.suspicions
		s.run(30 * time.Second)
		must.Eq(t, before, s.suspicions, must.Sprint(delay))
	}
}

// TestBootstrapOfLargeFleet guards against a slow bootstrap of a new instance in
// a large fleet. It arises if members whose records others have already sent are
// pinged only by the regular pings, which take long to reach every member.
func TestBootstrapOfLargeFleet(t *testing.T) {
	s := newSim(t, 11, 180, 3)
	s.skipStepChecks = true
	s.run(10 * time.Second)
	s.start(0)
	s.runUntil(2*time.Second, func() error {
		if s.procs[0].m.BootstrapComplete(s.now) {
			return nil
		}
		return errUnreachable
	})
}
