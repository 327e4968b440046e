package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/backpressure"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/model"
)

const typical = 10 * time.Millisecond

var start = time.Unix(1000, 0)

// newService returns the balancer of an instance in the data centre "near", for a
// service with one upstream in each of the given data centres.
func newService(dataCentres ...model.DataCentre) *Service {
	s := NewService("near")
	var list []directory.Upstream
	for i, dc := range dataCentres {
		list = append(list, directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: dc, Slots: 2, Started: 1})
	}
	s.Update(start, list)
	return s
}

// recordAttempt records an attempt on the upstream that ended at now.
func recordAttempt(u *Upstream, now time.Time, took time.Duration, o Outcome) {
	u.AttemptStarted(now.Add(-took))
	u.AttemptFinished(now, now.Add(-took), typical, o)
}

// TestLocalUpstreamPreferred guards against attempts on an upstream in another
// data centre while a local one is as fast, and against a preference for the
// local one while it is much slower.
func TestLocalUpstreamPreferred(t *testing.T) {
	s := newService("near", "far", "far")
	for range 10 {
		must.Eq(t, "u0", s.Pick(start, typical, nil, false).ID)
	}
	for range 6 {
		recordAttempt(s.Find("u0"), start, 8*typical, Succeeded)
	}
	must.NotEq(t, "u0", s.Pick(start, typical, nil, false).ID)
	must.Eq(t, "u0", s.Pick(start.Add(30*time.Second), typical, nil, false).ID)
}

// TestSinglePauseHasShortEffect guards against an upstream that is passed over for
// a long time because it paused once.
func TestSinglePauseHasShortEffect(t *testing.T) {
	s := newService("near", "far")
	recordAttempt(s.Find("u0"), start, 15*typical, Succeeded)
	must.Eq(t, "u0", s.Pick(start.Add(3*time.Second), typical, nil, false).ID)
}

// TestStalledUpstream guards against new attempts on an upstream that does not
// answer the attempts that are already in flight.
func TestStalledUpstream(t *testing.T) {
	s := newService("near", "far")
	s.Find("u0").AttemptStarted(start)
	must.Eq(t, "u1", s.Pick(start.Add(3*typical), typical, nil, false).ID)
}

// TestRepeatedFailuresBlock guards against attempts on an upstream that is down,
// and against an upstream that is never tried again after many failures.
func TestRepeatedFailuresBlock(t *testing.T) {
	s := newService("near", "far")
	u := s.Find("u0")
	recordAttempt(u, start, 0, Unreachable)
	must.True(t, u.Blocked(start))
	must.Eq(t, "u1", s.Pick(start, typical, nil, true).ID)
	must.Nil(t, s.Pick(start, typical, []string{"u1"}, false))
	must.Eq(t, "u0", s.Pick(start, typical, []string{"u1"}, true).ID)
	for range 20 {
		recordAttempt(u, start, 0, Unreachable)
	}
	must.False(t, u.Blocked(start.Add(maxBlock)))
}

// TestUnresponsiveUpstream guards against sending many attempts at once to an
// upstream that does not answer, each time its block ends.
func TestUnresponsiveUpstream(t *testing.T) {
	s := newService("near", "far")
	u := s.Find("u0")
	recordAttempt(u, start, typical, ConnectionLost)
	must.False(t, u.Unresponsive())
	recordAttempt(u, start, typical, ConnectionLost)
	must.True(t, u.Unresponsive())
	later := start.Add(time.Minute)
	must.Eq(t, "u0", s.Pick(later, typical, nil, false).ID)
	u.AttemptStarted(later)
	must.Eq(t, "u1", s.Pick(later, typical, nil, false).ID)
	u.AttemptFinished(later, later, typical, Succeeded)
	must.False(t, u.Unresponsive())
}

// TestProbeInFlight guards against queries that send a part to an upstream whose
// last attempts timed out while another attempt already probes it. It also
// guards against withholding queries in the same way from an upstream that
// breaks some of its connections but answers on the others.
func TestProbeInFlight(t *testing.T) {
	for outcome, probeInFlight := range map[Outcome]bool{TimedOut: true, ConnectionLost: false} {
		u := newService("near").Find("u0")
		recordAttempt(u, start, typical, outcome)
		recordAttempt(u, start, typical, outcome)
		must.False(t, u.ProbeInFlight())
		u.AttemptStarted(start)
		must.Eq(t, probeInFlight, u.ProbeInFlight())
		u.AttemptFinished(start, start, typical, Succeeded)
		u.AttemptStarted(start)
		must.False(t, u.ProbeInFlight())
	}
}

// TestShedding guards against choosing an upstream that declines part of its
// requests as if it were healthy, because it answers the others.
func TestShedding(t *testing.T) {
	s := newService("near", "far")
	u := s.Find("u0")
	for range 4 {
		recordAttempt(u, start, 0, Shed)
		recordAttempt(u, start, typical, Succeeded)
	}
	must.Eq(t, "u1", s.Pick(start.Add(time.Second), typical, nil, false).ID)
}

// TestRestartUnderTheSameID guards against a new process that is blocked because of
// the failures of an earlier process with the same id.
func TestRestartUnderTheSameID(t *testing.T) {
	s := newService("near")
	recordAttempt(s.Find("u0"), start, 0, Unreachable)
	entry := s.Find("u0").Upstream
	s.Update(start, []directory.Upstream{entry})
	must.True(t, s.Find("u0").Blocked(start))
	entry.Started = 2
	s.Update(start, []directory.Upstream{entry})
	must.False(t, s.Find("u0").Blocked(start))
}

// TestColdStart guards against counting an upstream as cold for longer because an
// update of the list repeats its unchanged entry.
func TestColdStart(t *testing.T) {
	s := newService("near", "far")
	list := []directory.Upstream{s.Find("u0").Upstream, s.Find("u1").Upstream}
	list[0].ColdFor = 3 * time.Second
	s.Update(start, list)
	must.Eq(t, "u1", s.Pick(start, typical, nil, false).ID)
	s.Update(start.Add(2900*time.Millisecond), list)
	must.Eq(t, "u0", s.Pick(start.Add(3*time.Second), typical, nil, false).ID)
}

// TestLatencyEstimates guards against an estimate of the typical latency that
// rises because of single outliers.
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

// TestWithheldUpstream guards against attempts on a withheld upstream, and against the
// loss of what is known of an upstream while it is withheld: it would get the requests
// that it had declined before.
func TestWithheldUpstream(t *testing.T) {
	s := newService("near", "far")
	u := s.Find("u0")
	list := []directory.Upstream{u.Upstream, s.Find("u1").Upstream}
	u.RateLimit.Observe(start, start, 5, backpressure.Share{Instances: 1, Senders: 1})
	s.Update(start, list[1:], list[0])
	must.Nil(t, s.Find("u0"))
	must.Eq(t, "u1", s.Pick(start, typical, nil, true).ID)
	must.Nil(t, s.Pick(start, typical, []string{"u1"}, true))
	must.False(t, s.AllWithheld())
	s.Update(start, nil, list...)
	must.True(t, s.AllWithheld())
	s.Update(start, list)
	must.Eq(t, u, s.Find("u0"))
	must.Eq(t, 5, s.Find("u0").RateLimit.Limit())
}
