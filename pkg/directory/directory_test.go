package directory

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
)

var start = time.Unix(1000, 0)

// readyIDs returns the ids of the ready upstreams of a service.
func readyIDs(d *Directory, service string) []string {
	var out []string
	for _, u := range d.Services()[service] {
		out = append(out, u.ID)
	}
	return out
}

// TestDrainingIsNotUsed guards against new requests for an upstream that is
// draining or was removed.
func TestDrainingIsNotUsed(t *testing.T) {
	d := New()
	d.Set(Upstream{ID: "b", Service: "s"})
	d.Set(Upstream{ID: "a", Service: "s"})
	must.Eq(t, []string{"a", "b"}, readyIDs(d, "s"))
	d.Set(Upstream{ID: "a", Service: "s", State: Draining})
	must.Eq(t, []string{"b"}, readyIDs(d, "s"))
	d.Remove(start, "b", false)
	must.SliceEmpty(t, readyIDs(d, "s"))
}

// TestLapsedEntries guards against removing live upstreams because their entries
// lapsed in an outage of the platform, and against keeping dead ones for longer
// than LapseGrace.
func TestLapsedEntries(t *testing.T) {
	d := New()
	d.Set(Upstream{ID: "back", Service: "s"})
	d.Set(Upstream{ID: "dead", Service: "s"})
	d.Set(Upstream{ID: "leaving", Service: "s", State: Draining})
	for _, id := range []string{"back", "dead", "leaving"} {
		d.Remove(start, id, true)
	}
	must.Eq(t, []string{"back", "dead"}, readyIDs(d, "s"))
	must.Eq(t, 2, d.Len())
	d.Set(Upstream{ID: "back", Service: "s"})
	must.SliceEmpty(t, d.Expire(start.Add(LapseGrace-time.Millisecond)))
	must.Eq(t, []string{"dead"}, d.Expire(start.Add(LapseGrace)))
	must.Eq(t, []string{"back"}, readyIDs(d, "s"))
}

// TestRemoveAfterLapsedEntryReturned guards against a removal that is ignored or
// delayed because an earlier entry of the same id had lapsed.
func TestRemoveAfterLapsedEntryReturned(t *testing.T) {
	d := New()
	d.Set(Upstream{ID: "a", Service: "s"})
	d.Remove(start, "a", true)
	d.Set(Upstream{ID: "a", Service: "s"})
	d.Remove(start, "a", false)
	must.SliceEmpty(t, readyIDs(d, "s"))
	must.SliceEmpty(t, d.Expire(start.Add(time.Hour)))
}

// TestEvacuatedDataCentres guards against upstreams of an evacuated data centre that are
// listed as usable, and against an evacuation that affects other data centres or lasts
// after its end.
func TestEvacuatedDataCentres(t *testing.T) {
	d := New()
	must.True(t, d.Evacuate("x"))
	must.False(t, d.Evacuate("x"))
	d.Set(Upstream{ID: "a", Service: "s", DataCentre: "x"})
	d.Set(Upstream{ID: "b", Service: "s", DataCentre: "y"})
	d.Set(Upstream{ID: "c", Service: "s", DataCentre: "x", State: Draining})
	must.Eq(t, []string{"b"}, readyIDs(d, "s"))
	must.Len(t, 1, d.Withheld()["s"])
	must.Eq(t, []model.DataCentre{"x"}, d.Evacuated())
	must.False(t, d.EndEvacuation("y"))
	must.True(t, d.EndEvacuation("x"))
	must.Eq(t, []string{"a", "b"}, readyIDs(d, "s"))
	must.MapEmpty(t, d.Withheld())
}
