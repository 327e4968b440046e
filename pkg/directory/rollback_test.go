package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestEntriesFromBackup guards against using an upstream that has left because the
// platform, back from a backup, lists an entry of before, and against the opposite: not
// using one that runs.
func TestEntriesFromBackup(t *testing.T) {
	entry := func(started, sequence int64, state State) Upstream {
		return Upstream{ID: "a", Service: "s", Started: started, Sequence: sequence, State: state}
	}
	set := func(u Upstream) func(*Directory) { return func(d *Directory) { d.Set(u) } }
	remove := func(lapsed bool) func(*Directory) { return func(d *Directory) { d.Remove(start, "a", lapsed) } }
	ready, draining := entry(7, 40, Ready), entry(7, 50, Draining)
	for name, c := range map[string]struct {
		// before holds the steps before the change of era, and after those after it.
		before, after []func(*Directory)
		// used holds whether the upstream is used at once, when LapseGrace has passed, and
		// when ReturnDelay has passed.
		used [3]bool
	}{
		"draining lost":                   {[]func(*Directory){set(ready), set(draining)}, []func(*Directory){set(ready)}, [3]bool{false, false, false}},
		"draining lost, sequence reached": {[]func(*Directory){set(ready), set(draining)}, []func(*Directory){set(entry(7, 50, Ready))}, [3]bool{false, false, false}},
		"draining lost, ready again":      {[]func(*Directory){set(ready), set(draining)}, []func(*Directory){set(ready), set(entry(7, 51, Ready))}, [3]bool{true, true, true}},
		"draining lost, restarted":        {[]func(*Directory){set(ready), set(draining)}, []func(*Directory){set(entry(8, 1, Ready))}, [3]bool{true, true, true}},
		"draining lost, without born":     {[]func(*Directory){set(entry(0, 40, Ready)), set(entry(0, 50, Draining))}, []func(*Directory){set(entry(0, 40, Ready))}, [3]bool{true, true, true}},
		"draining and removal lost":       {[]func(*Directory){set(ready), set(draining), remove(false)}, []func(*Directory){set(ready)}, [3]bool{false, false, true}},
		"draining lapsed":                 {[]func(*Directory){set(ready), set(draining)}, []func(*Directory){remove(true), set(ready)}, [3]bool{false, false, true}},
		"removal lost, still listed":      {[]func(*Directory){set(ready), remove(false)}, []func(*Directory){set(ready)}, [3]bool{false, false, true}},
		"removal lost, expired":           {[]func(*Directory){set(ready), remove(false)}, []func(*Directory){set(ready), remove(false)}, [3]bool{false, false, false}},
		"removal lost, expired lapsed":    {[]func(*Directory){set(ready), remove(false)}, []func(*Directory){set(ready), remove(true)}, [3]bool{false, false, false}},
		"removal lost, reports":           {[]func(*Directory){set(ready), remove(false)}, []func(*Directory){set(ready), set(entry(7, 41, Ready))}, [3]bool{true, true, true}},
		"removal lost, restarted":         {[]func(*Directory){set(ready), remove(false)}, []func(*Directory){set(entry(8, 1, Ready))}, [3]bool{true, true, true}},
		"removal lost, without born":      {[]func(*Directory){set(entry(0, 40, Ready)), remove(false)}, []func(*Directory){set(entry(0, 40, Ready))}, [3]bool{true, true, true}},
		"removal lost, two rollbacks":     {[]func(*Directory){set(ready), remove(false)}, []func(*Directory){set(entry(7, 38, Ready)), func(d *Directory) { d.EraChanged(start) }, set(entry(7, 39, Ready))}, [3]bool{false, false, true}},
		"sequence lowered before removal": {[]func(*Directory){set(ready)}, []func(*Directory){set(entry(7, 30, Ready)), remove(false), set(entry(7, 35, Ready))}, [3]bool{false, false, true}},
		"lapsed":                          {[]func(*Directory){set(ready)}, []func(*Directory){remove(true)}, [3]bool{true, false, false}},
		"lapsed, listed again":            {[]func(*Directory){set(ready)}, []func(*Directory){remove(true), set(entry(7, 39, Ready))}, [3]bool{true, true, true}},
		"lapsed before the rollback":      {[]func(*Directory){set(ready), remove(true), func(d *Directory) { d.Expire(start.Add(LapseGrace)) }}, []func(*Directory){set(ready)}, [3]bool{true, true, true}},
		"older entry of a running one":    {[]func(*Directory){set(ready)}, []func(*Directory){set(entry(7, 30, Ready))}, [3]bool{true, true, true}},
		"earlier lifetime, listed again":  {[]func(*Directory){set(entry(8, 3, Ready))}, []func(*Directory){set(ready), set(entry(8, 4, Ready))}, [3]bool{true, true, true}},
		"earlier lifetime, expired":       {[]func(*Directory){set(entry(8, 3, Ready))}, []func(*Directory){set(ready), remove(false)}, [3]bool{false, false, false}},
		"earlier lifetime, still listed":  {[]func(*Directory){set(entry(8, 3, Ready))}, []func(*Directory){set(ready)}, [3]bool{true, false, true}},
	} {
		d := New()
		for _, step := range c.before {
			step(d)
		}
		d.EraChanged(start)
		for _, step := range c.after {
			step(d)
		}
		used := [3]bool{len(d.Services()["s"]) == 1}
		d.Confirmed(start.Add(LapseGrace))
		d.Expire(start.Add(LapseGrace))
		must.SliceEmpty(t, d.Readmit(start.Add(ReturnDelay-time.Millisecond)))
		used[1] = len(d.Services()["s"]) == 1
		d.Readmit(start.Add(ReturnDelay))
		used[2] = len(d.Services()["s"]) == 1
		must.Eq(t, c.used, used, must.Sprint(name))
	}
}

// TestLostEntryNeedsConfirmation guards against removing an upstream whose lost entry was
// written again in time, but is not known here yet because the reader of the platform
// failed. Entries that lapsed in an outage do not wait.
func TestLostEntryNeedsConfirmation(t *testing.T) {
	d := New()
	d.Set(Upstream{ID: "outage", Service: "s"})
	d.Set(Upstream{ID: "rollback", Service: "s"})
	d.Remove(start, "outage", true)
	d.EraChanged(start)
	d.Remove(start, "rollback", true)
	d.Confirmed(start.Add(LapseGrace - time.Millisecond))
	must.Eq(t, []string{"outage"}, d.Expire(start.Add(LapseGrace)))
	must.SliceEmpty(t, d.Expire(start.Add(time.Minute)))
	d.Confirmed(start.Add(LapseGrace))
	must.Eq(t, []string{"rollback"}, d.Expire(start.Add(time.Minute)))
}

// TestNoEraNoCheck guards against refusing entries of a platform that never changes its
// era: an upstream may then be ready again with any sequence.
func TestNoEraNoCheck(t *testing.T) {
	d := New()
	ready := Upstream{ID: "a", Service: "s", Started: 7, Sequence: 5}
	draining := ready
	draining.State = Draining
	for _, u := range []Upstream{ready, draining, ready} {
		must.True(t, d.Set(u))
	}
	d.Remove(start, "a", false)
	must.True(t, d.Set(ready))
	must.Eq(t, []string{"a"}, readyIDs(d, "s"))
}

// TestDeparturesAreBounded guards against memory that grows with each upstream that leaves.
func TestDeparturesAreBounded(t *testing.T) {
	d := New()
	for i := range maxDepartures + 10 {
		id := fmt.Sprint(i)
		d.Set(Upstream{ID: id, Service: "s", Started: 7})
		d.Remove(start, id, false)
	}
	d.EraChanged(start)
	must.MapLen(t, maxDepartures, d.rollback.departures)
	must.SliceLen(t, maxDepartures, d.rollback.order)
	must.True(t, d.Set(Upstream{ID: "9", Service: "s", Started: 7}))
	must.False(t, d.Set(Upstream{ID: "10", Service: "s", Started: 7}))
}

// TestLapsedEvacuation guards against an evacuation that ends because the platform, back from
// a backup, has lost its key, and against one that never ends although the key stays away.
func TestLapsedEvacuation(t *testing.T) {
	lapse := func(d *Directory) {
		d.Evacuate("z")
		d.LapseEvacuation(start, "z")
		d.LapseEvacuation(start.Add(time.Second), "z")
	}
	d := New()
	lapse(d)
	d.Confirmed(start.Add(LapseGrace - time.Millisecond))
	must.SliceEmpty(t, d.ExpireEvacuations(start.Add(time.Minute)))
	must.SliceLen(t, 1, d.Evacuated())
	d.Confirmed(start.Add(LapseGrace))
	must.SliceLen(t, 1, d.ExpireEvacuations(start.Add(LapseGrace)))
	must.SliceEmpty(t, d.Evacuated())
	lapse(d)
	d.Evacuate("z")
	must.SliceEmpty(t, d.ExpireEvacuations(start.Add(time.Minute)))
	must.SliceLen(t, 1, d.Evacuated())
	d.LapseEvacuation(start, "unknown")
	must.SliceLen(t, 1, d.Evacuated())
}

// TestSecondRollback guards against an upstream or an evacuation that ends although its key
// may have been written again: the platform returns from a second backup within the grace
// after the first return or after an outage, and writers have that time again.
func TestSecondRollback(t *testing.T) {
	for _, rolledBackBefore := range []bool{true, false} {
		d := New()
		d.Set(Upstream{ID: "u", Service: "s", Started: 7, Sequence: 3})
		d.Evacuate("z")
		if rolledBackBefore {
			d.EraChanged(start)
		}
		d.Remove(start, "u", true)
		d.LapseEvacuation(start, "z")
		second := start.Add(LapseGrace - time.Millisecond)
		d.EraChanged(second)
		end := second.Add(LapseGrace)
		d.Confirmed(end)
		must.SliceEmpty(t, d.Expire(end.Add(-time.Millisecond)))
		must.SliceEmpty(t, d.ExpireEvacuations(end.Add(-time.Millisecond)))
		must.SliceLen(t, 1, d.Expire(end))
		must.SliceLen(t, 1, d.ExpireEvacuations(end))
	}
}
