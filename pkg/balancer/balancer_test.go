package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/model"
)

const usual = 10 * time.Millisecond

var start = time.Unix(1000, 0)

// newService returns a service with an upstream in each of the data centres; an
// instance in "near" chooses.
func newService(dataCentres ...model.DataCentre) *Service {
	s := NewService("near")
	var list []directory.Upstream
	for i, dc := range dataCentres {
		list = append(list, directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: dc, Slots: 2, Started: 1})
	}
	s.Update(start, list)
	return s
}

func finish(u *Upstream, now time.Time, took time.Duration, o Outcome) {
	u.AttemptStarted(now.Add(-took))
	u.AttemptFinished(now, now.Add(-took), usual, o)
}

// TestLocalFirst guards against work that crosses data centres without a reason,
// and against a local upstream that is preferred although it is slow.
func TestLocalFirst(t *testing.T) {
	s := newService("near", "far", "far")
	for range 10 {
		must.Eq(t, "u0", s.Pick(start, usual, nil, false).ID)
	}
	for range 6 {
		finish(s.Find("u0"), start, 8*usual, Succeeded)
	}
	must.NotEq(t, "u0", s.Pick(start, usual, nil, false).ID)
	must.Eq(t, "u0", s.Pick(start.Add(30*time.Second), usual, nil, false).ID)
}

// TestOnePauseIsForgotten guards against an upstream that is avoided for long
// because it paused once.
func TestOnePauseIsForgotten(t *testing.T) {
	s := newService("near", "far")
	finish(s.Find("u0"), start, 15*usual, Succeeded)
	must.Eq(t, "u0", s.Pick(start.Add(3*time.Second), usual, nil, false).ID)
}

// TestStalledUpstream guards against work for an upstream that does not answer
// the attempts in flight.
func TestStalledUpstream(t *testing.T) {
	s := newService("near", "far")
	s.Find("u0").AttemptStarted(start)
	must.Eq(t, "u1", s.Pick(start.Add(3*usual), usual, nil, false).ID)
}

// TestFailuresInARow guards against attempts on an upstream that is down, and
// against one that is never tried again.
func TestFailuresInARow(t *testing.T) {
	s := newService("near", "far")
	u := s.Find("u0")
	finish(u, start, 0, Unreachable)
	must.True(t, u.Blocked(start))
	must.Eq(t, "u1", s.Pick(start, usual, nil, true).ID)
	must.Nil(t, s.Pick(start, usual, []string{"u1"}, false))
	must.Eq(t, "u0", s.Pick(start, usual, []string{"u1"}, true).ID)
	for range 20 {
		finish(u, start, 0, Unreachable)
	}
	must.False(t, u.Blocked(start.Add(maxBlock)))
}

// TestDoubtfulUpstream guards against a wave of attempts on an upstream that is
// silent, each time that its block ends.
func TestDoubtfulUpstream(t *testing.T) {
	s := newService("near", "far")
	u := s.Find("u0")
	finish(u, start, usual, ConnectionLost)
	must.False(t, u.Unresponsive())
	finish(u, start, usual, ConnectionLost)
	must.True(t, u.Unresponsive())
	later := start.Add(time.Minute)
	must.Eq(t, "u0", s.Pick(later, usual, nil, false).ID)
	u.AttemptStarted(later)
	must.Eq(t, "u1", s.Pick(later, usual, nil, false).ID)
	u.AttemptFinished(later, later, usual, Succeeded)
	must.False(t, u.Unresponsive())
}

// TestProbed guards against queries that send their part to an upstream that does
// not answer while an attempt is on its way already, and against giving up one
// that resets a part of its connections and answers the rest.
func TestProbed(t *testing.T) {
	for outcome, probed := range map[Outcome]bool{TimedOut: true, ConnectionLost: false} {
		u := newService("near").Find("u0")
		finish(u, start, usual, outcome)
		finish(u, start, usual, outcome)
		must.False(t, u.ProbeInFlight())
		u.AttemptStarted(start)
		must.Eq(t, probed, u.ProbeInFlight())
		u.AttemptFinished(start, start, usual, Succeeded)
		u.AttemptStarted(start)
		must.False(t, u.ProbeInFlight())
	}
}

// TestShedding guards against an upstream that declines part of its requests and
// is chosen again at once because it answers the others.
func TestShedding(t *testing.T) {
	s := newService("near", "far")
	u := s.Find("u0")
	for range 4 {
		finish(u, start, 0, Shed)
		finish(u, start, usual, Succeeded)
	}
	must.Eq(t, "u1", s.Pick(start.Add(time.Second), usual, nil, false).ID)
}

// TestRestartUnderTheSameID guards against blaming a new process for what its
// predecessor did.
func TestRestartUnderTheSameID(t *testing.T) {
	s := newService("near")
	finish(s.Find("u0"), start, 0, Unreachable)
	entry := s.Find("u0").Upstream
	s.Update(start, []directory.Upstream{entry})
	must.True(t, s.Find("u0").Blocked(start))
	entry.Started = 2
	s.Update(start, []directory.Upstream{entry})
	must.False(t, s.Find("u0").Blocked(start))
}

// TestColdStart guards against a cold time that begins again with each change of
// the list.
func TestColdStart(t *testing.T) {
	s := newService("near", "far")
	list := []directory.Upstream{s.Find("u0").Upstream, s.Find("u1").Upstream}
	list[0].ColdFor = 3 * time.Second
	s.Update(start, list)
	must.Eq(t, "u1", s.Pick(start, usual, nil, false).ID)
	s.Update(start.Add(2900*time.Millisecond), list)
	must.Eq(t, "u0", s.Pick(start.Add(3*time.Second), usual, nil, false).ID)
}

// TestLatencyEstimates guards against estimates that follow single outliers.
func TestLatencyEstimates(t *testing.T) {
	l := NewLatency()
	for i := range 200 {
		d := 8 * time.Millisecond
		if i%20 == 0 {
			d = 150 * time.Millisecond
		}
		l.Add(d)
	}
	must.Eq(t, 8*time.Millisecond, l.Median())
}
