package feed

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// TestOutageDetector guards against taking a platform that turns some instances away for
// one that is unavailable, and against the opposite.
func TestOutageDetector(t *testing.T) {
	confirmedAt := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return confirmedAt.Add(time.Duration(ms) * time.Millisecond) }
	failing := []model.InstanceID{"a"}
	for name, c := range map[string]struct {
		prepare func(d *OutageDetector)
		now     int
		outage  bool
	}{
		"no call has failed":                {func(*OutageDetector) {}, 10_000, false},
		"own call failed":                   {func(d *OutageDetector) { d.CallFailed(at(1700)) }, 2500, true},
		"own watch failed":                  {func(d *OutageDetector) { d.CallFailed(at(0)) }, 2500, true},
		"own call failed, young copy":       {func(d *OutageDetector) { d.CallFailed(at(1700)) }, 2400, false},
		"own call failed before others had": {func(d *OutageDetector) { d.CallFailed(at(-1)) }, 10_000, false},
		"own call failed long ago and again": {func(d *OutageDetector) {
			d.CallFailed(at(-60_000))
			d.CallFailed(at(1700))
		}, 2500, true},
		"own call succeeded since": {func(d *OutageDetector) {
			d.CallFailed(at(1700))
			d.CallSucceeded(at(1800), confirmedAt)
		}, 2500, false},
		"others fail":             {func(d *OutageDetector) { d.SetFailing(at(1900), failing) }, 3100, true},
		"others fail, young copy": {func(d *OutageDetector) { d.SetFailing(at(1900), failing) }, 3000, false},
		"others fail since long ago": {func(d *OutageDetector) {
			d.SetFailing(at(-60_000), failing)
			d.SetFailing(at(1900), failing)
		}, 3100, false},
		"others no longer fail": {func(d *OutageDetector) {
			d.SetFailing(at(1900), failing)
			d.SetFailing(at(2000), nil)
		}, 3100, false},
	} {
		var d OutageDetector
		c.prepare(&d)
		must.Eq(t, c.outage, d.EndsOutage(at(c.now), confirmedAt), must.Sprint(name))
		must.Eq(t, c.outage, d.CallSucceeded(at(c.now), confirmedAt), must.Sprint(name))
	}
}
