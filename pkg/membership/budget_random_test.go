package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	headerBytes = 28
	// roundBytes is what an instance of a large fleet may send in a round in
	// the mean over the fleet, and burstBytes what its buckets add once.
	roundBytes = 700
	burstBytes = 5000
	// boundedViewTime is the time until views agree within the bounds of a
	// large fleet, where lost members are pinged one at a time.
	boundedViewTime = 60 * time.Second
)

// TestRandomFaultsWithinBudget guards against cuts between data centres, splits
// and losses that make instances of a large fleet send more than their budget,
// after which a live member stays dead or avoided, or a document is late.
func TestRandomFaultsWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(6, 16).Draw(t, "instances")
		dcs := rapid.IntRange(2, 6).Draw(t, "data centres")
		s := newSimBounded(t, rapid.Uint64().Draw(t, "seed"), n, dcs, 1)
		s.publish("a")
		s.run(5 * time.Second)
		must.NoError(t, s.viewsAgree())
		began, before := s.now, s.bytes+headerBytes*s.datagrams
		steps := 0
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				if steps++; steps < 6 {
					s.run(time.Duration(rapid.IntRange(1, 500).Draw(t, "steps")) * simStep)
				}
			},
			"apart": func(t *rapid.T) {
				a, b := rapid.IntRange(0, dcs-1).Draw(t, "a"), rapid.IntRange(0, dcs-1).Draw(t, "b")
				s.cutBetween(func(x, y int) bool { return x%dcs == a && y%dcs == b && a != b })
			},
			"split": func(t *rapid.T) {
				at := rapid.IntRange(1, n-1).Draw(t, "at")
				s.cutBetween(func(x, y int) bool { return x < at && y >= at })
			},
			"heal": func(*rapid.T) { clear(s.cut) },
			"kill": func(t *rapid.T) { s.procs[rapid.IntRange(2, n-1).Draw(t, "instance")] = nil },
			"delay": func(t *rapid.T) {
				s.delay = rapid.SampledFrom([]time.Duration{2, 40, 80}).Draw(t, "ms") * time.Millisecond
			},
			"publish": func(t *rapid.T) { s.publish(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")) },
		})
		s.endFaults()
		s.publish("a")
		s.run(catalogTime)
		must.NoError(t, s.catalogsAgree())
		s.until(boundedViewTime, s.viewsAgree)
		rounds := int(s.now.Sub(began)/(200*time.Millisecond)) + 1
		must.LessEq(t, n*(rounds*roundBytes+burstBytes), s.bytes+headerBytes*s.datagrams-before)
	})
}

// cutBetween cuts the links in both directions for which between holds.
func (s *sim) cutBetween(between func(a, b int) bool) {
	for a := range s.procs {
		for b := range s.procs {
			if between(a, b) {
				s.cut[[2]int{a, b}], s.cut[[2]int{b, a}] = true, true
			}
		}
	}
}

// TestRegionsApart guards against suspicions of members that helpers reach, when
// two data centres lose contact and acks take long: helpers on one of the two
// sides, or a wait that is too short for the measured round trip.
func TestRegionsApart(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 70 * time.Millisecond} {
		s := newSimBounded(t, 10, 24, 6, 1)
		s.delay = delay
		s.until(4*time.Second, s.viewsAgree)
		s.run(10 * time.Second)
		s.cutBetween(func(a, b int) bool { return a%6 == 0 && b%6 == 1 })
		before := s.suspicions
		s.run(30 * time.Second)
		must.Eq(t, before, s.suspicions, must.Sprint(delay))
	}
}

// TestBootstrapOfLargeFleet guards against a new instance that waits for the
// usual round of pings to meet each member that others have told it of.
func TestBootstrapOfLargeFleet(t *testing.T) {
	s := newSim(t, 11, 180, 3)
	s.unchecked = true
	s.run(10 * time.Second)
	s.start(0)
	s.until(2*time.Second, func() error {
		if s.procs[0].m.BootstrapComplete(s.now) {
			return nil
		}
		return errUnreachable
	})
}
