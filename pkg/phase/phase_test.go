package phase

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/result"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestPausedInstanceServesOnlyAfterAllConditionsHold guards against an instance
// that keeps serving after a pause, or serves again before all conditions hold.
func TestPausedInstanceServesOnlyAfterAllConditionsHold(t *testing.T) {
	m := New(start)
	_, paused := m.Observe(start.Add(time.Minute))
	must.False(t, paused, must.Sprint("a slow start is no pause"))
	allMet := Conditions{Members: true, Candidate: true, Documents: true}
	must.True(t, m.TryServe(start, allMet))
	must.Eq(t, result.OK, m.RefusalCode())
	_, paused = m.Observe(start.Add(time.Minute + PauseThreshold))
	must.False(t, paused)
	gap, paused := m.Observe(start.Add(2 * time.Minute))
	must.True(t, paused)
	must.Eq(t, time.Minute-PauseThreshold, gap)
	must.Eq(t, result.JustResumed, m.RefusalCode())
	for _, c := range []Conditions{{Members: true, Candidate: true}, {Members: true, Documents: true}, {Candidate: true, Documents: true}} {
		must.False(t, m.TryServe(start, c))
	}
	must.True(t, m.TryServe(start, allMet))
	must.Eq(t, Serving, m.Phase())
}

// TestLeave guards against a leaving instance that serves again, and against a
// stop that counts as graceful while work is left.
func TestLeave(t *testing.T) {
	m := New(start)
	must.False(t, m.Stop(start))
	m.Leave(start)
	must.Eq(t, result.Leaving, m.RefusalCode())
	must.False(t, m.TryServe(start, Conditions{Members: true, Candidate: true, Documents: true}))
	_, _ = m.Observe(start.Add(time.Minute))
	must.Eq(t, Leaving, m.Phase())
	for _, w := range []Work{{Requests: 1}, {Groups: true}, {Orders: true}} {
		must.False(t, m.Drained(start, w))
		must.False(t, m.Stop(start))
	}
	must.True(t, m.Drained(start, Work{}))
	must.True(t, m.Stop(start))
}
