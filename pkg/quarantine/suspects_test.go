package quarantine

import (
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
		must.SliceLen(t, c.remove, l.UpstreamRemoved(after(c.after), "u"), must.Sprint(name))
	}
	var l Suspects
	for range 2 * maxSuspects {
		l.Add(epoch, silent)
	}
	must.SliceLen(t, maxSuspects, l.UpstreamRemoved(epoch, "u"))
}
