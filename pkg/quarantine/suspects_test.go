package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSuspects guards against a crash that the registry shows and that is not recorded,
// and against recording one because of a removal that has nothing to do with the
// unanswered request.
func TestSuspects(t *testing.T) {
	crash := Crash{Fingerprint: 7, Upstream: "u", Started: 1}
	silent, accepting := Suspect{Crash: crash, LostAt: epoch}, Suspect{Crash: crash, LostAt: epoch, Accepting: true}
	after := func(d time.Duration) time.Time { return epoch.Add(d) }
	for name, c := range map[string]struct {
		suspect           Suspect
		after             time.Duration
		restarted, remove int
	}{
		"silent":                     {silent, 5 * time.Second, 1, 1},
		"silent, too late":           {silent, suspectLifetime + time.Millisecond, 0, 0},
		"accepting":                  {accepting, 2 * time.Second, 1, 0},
		"accepting, restarted later": {accepting, restartedLifetime + time.Millisecond, 0, 0},
	} {
		var l Suspects
		l.Add(epoch, c.suspect)
		must.SliceEmpty(t, l.UpstreamRestarted(after(c.after), "u", 1), must.Sprint(name))
		must.SliceEmpty(t, l.UpstreamRestarted(after(c.after), "other", 2), must.Sprint(name))
		must.SliceLen(t, c.restarted, l.UpstreamRestarted(after(c.after), "u", 2), must.Sprint(name))
		must.SliceEmpty(t, l.UpstreamRestarted(after(c.after), "u", 2), must.Sprint(name))
		l = Suspects{}
		l.Add(epoch, c.suspect)
		must.SliceLen(t, c.remove, removeUpstream(&l, after(c.after), false), must.Sprint(name))
		l = Suspects{}
		l.Add(epoch, c.suspect)
		must.SliceEmpty(t, removeUpstream(&l, after(c.after), true), must.Sprint(name))
	}
	var l Suspects
	for range 2 * maxSuspects {
		l.Add(epoch, silent)
	}
	must.SliceLen(t, maxSuspects, removeUpstream(&l, epoch, false))
}

// removeUpstream removes the entry of the upstream "u" and returns the requests that
// crashed it. answers says whether the upstream answers the health check.
func removeUpstream(l *Suspects, now time.Time, answers bool) []Suspect {
	if !l.UpstreamRemoved(now, "u", 1, false) {
		return nil
	}
	return l.CheckFinished("u", 1, answers)
}

// TestPlannedDeparture guards against a crash record of a request that was lost for
// another reason before its upstream left without notice, and against losing the crash of
// an upstream that did not leave as planned.
func TestPlannedDeparture(t *testing.T) {
	s := Suspect{Crash: Crash{Fingerprint: 7, Upstream: "u", Started: 1}, LostAt: epoch}
	after := func(d time.Duration) time.Time { return epoch.Add(d) }
	removedAt, lateAt := after(time.Second), after(time.Second+leavingServiceTime+time.Millisecond)

	t.Run("answered a later request", func(t *testing.T) {
		var l Suspects
		l.Add(epoch, s)
		l.UpstreamAnswered("u", 1, after(time.Millisecond))
		must.False(t, l.UpstreamRemoved(removedAt, "u", 1, false))
		must.SliceEmpty(t, l.UpstreamRestarted(lateAt, "u", 2))
	})
	t.Run("answered only an earlier request", func(t *testing.T) {
		var l Suspects
		l.Add(epoch, s)
		l.UpstreamAnswered("u", 1, epoch)
		l.UpstreamAnswered("u", 2, after(time.Millisecond))
		must.True(t, l.UpstreamRemoved(removedAt, "u", 1, false))
		must.SliceLen(t, 1, l.CheckFinished("u", 1, false))
	})
	t.Run("reported that it leaves", func(t *testing.T) {
		var l Suspects
		l.Add(epoch, s)
		l.UpstreamDraining(removedAt, "u", 1)
		must.True(t, l.MayEndAsPlanned(removedAt, s.Crash))
		must.Eq(t, NoCrash, l.AddDeparted(removedAt, s))
		must.SliceEmpty(t, l.UpstreamRestarted(lateAt, "u", 2))
	})
	t.Run("answers after its removal", func(t *testing.T) {
		var l Suspects
		l.Add(epoch, s)
		must.True(t, l.UpstreamRemoved(removedAt, "u", 1, false))
		must.Eq(t, Wait, l.AddDeparted(removedAt, s))
		must.SliceEmpty(t, l.CheckFinished("u", 1, true))
		must.Eq(t, NoCrash, l.AddDeparted(removedAt, s))
		must.True(t, l.MayEndAsPlanned(removedAt, s.Crash))
		must.SliceEmpty(t, l.UpstreamRestarted(lateAt, "u", 2))
	})
	t.Run("replaced right after its removal", func(t *testing.T) {
		var l Suspects
		l.Add(epoch, s)
		must.True(t, l.UpstreamRemoved(removedAt, "u", 1, false))
		// The new process under the id answered the health check.
		must.SliceEmpty(t, l.CheckFinished("u", 1, true))
		must.SliceLen(t, 1, l.UpstreamRestarted(removedAt, "u", 2))
		must.Eq(t, Crashed, l.AddDeparted(removedAt, s))
	})
	t.Run("silent", func(t *testing.T) {
		var l Suspects
		must.True(t, l.UpstreamRemoved(removedAt, "u", 1, true))
		must.Eq(t, Wait, l.AddDeparted(removedAt, s))
		must.SliceLen(t, 1, l.CheckFinished("u", 1, false))
		must.Eq(t, Crashed, l.AddDeparted(lateAt, s))
		must.False(t, l.MayEndAsPlanned(lateAt, s.Crash))
	})
	t.Run("lost after the removal", func(t *testing.T) {
		var l Suspects
		must.False(t, l.UpstreamRemoved(removedAt, "u", 1, false))
		must.Eq(t, NoCrash, l.AddDeparted(lateAt, s))
		must.True(t, l.MayEndAsPlanned(lateAt, s.Crash))
		must.False(t, l.MayEndAsPlanned(removedAt, s.Crash))
		must.Eq(t, CheckHealth, l.AddDeparted(removedAt, s))
		must.SliceLen(t, 1, l.CheckFinished("u", 1, false))
	})
	t.Run("takes requests again", func(t *testing.T) {
		var l Suspects
		l.UpstreamDraining(removedAt, "u", 1)
		l.UpstreamReady("u", 1)
		must.False(t, l.MayEndAsPlanned(lateAt, s.Crash))
	})
	t.Run("many departures", func(t *testing.T) {
		var l Suspects
		for i := range maxDepartures + 1 {
			l.UpstreamRemoved(after(time.Duration(i)), fmt.Sprint(i), 1, false)
		}
		must.MapLen(t, maxDepartures, l.departures)
		must.MapNotContainsKey(t, l.departures, "0")
		l.expire(after(time.Hour))
		must.MapEmpty(t, l.departures)
	})
}
