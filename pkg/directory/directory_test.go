package directory

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func ids(d *Directory, service string) []string {
	var out []string
	for _, u := range d.Services()[service] {
		out = append(out, u.ID)
	}
	return out
}

// TestDrainingIsNotUsed guards against new work for an upstream that is leaving.
func TestDrainingIsNotUsed(t *testing.T) {
	d := New()
	d.Set(Upstream{ID: "b", Service: "s"})
	d.Set(Upstream{ID: "a", Service: "s"})
	must.Eq(t, []string{"a", "b"}, ids(d, "s"))
	d.Set(Upstream{ID: "a", Service: "s", State: Draining})
	must.Eq(t, []string{"b"}, ids(d, "s"))
	d.Remove(start, "b", false)
	must.SliceEmpty(t, ids(d, "s"))
}

// TestLapsedEntries guards against losing live upstreams after an outage of the
// platform, and against keeping dead ones for longer than the grace.
func TestLapsedEntries(t *testing.T) {
	d := New()
	d.Set(Upstream{ID: "back", Service: "s"})
	d.Set(Upstream{ID: "dead", Service: "s"})
	d.Set(Upstream{ID: "leaving", Service: "s", State: Draining})
	for _, id := range []string{"back", "dead", "leaving"} {
		d.Remove(start, id, true)
	}
	must.Eq(t, []string{"back", "dead"}, ids(d, "s"))
	must.Eq(t, 2, d.Len())
	d.Set(Upstream{ID: "back", Service: "s"})
	must.SliceEmpty(t, d.Expire(start.Add(LapseGrace-time.Millisecond)))
	must.Eq(t, []string{"dead"}, d.Expire(start.Add(LapseGrace)))
	must.Eq(t, []string{"back"}, ids(d, "s"))
}

// TestReturnedEntryCanGo guards against a removal that is ignored because an
// earlier one of the same id had lapsed.
func TestReturnedEntryCanGo(t *testing.T) {
	d := New()
	d.Set(Upstream{ID: "a", Service: "s"})
	d.Remove(start, "a", true)
	d.Set(Upstream{ID: "a", Service: "s"})
	d.Remove(start, "a", false)
	must.SliceEmpty(t, ids(d, "s"))
	must.SliceEmpty(t, d.Expire(start.Add(time.Hour)))
}
