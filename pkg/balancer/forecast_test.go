package balancer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestForecast guards against a forecast that takes one pause of an upstream for overload,
// and against one that misses a slow upstream, a queue of unanswered attempts, or the end
// of either.
func TestForecast(t *testing.T) {
	slow := 8 * typical
	for name, c := range map[string]struct {
		took     []time.Duration
		inFlight int
		after    time.Duration
		want     time.Duration
	}{
		"no attempts":              {nil, 0, 0, 0},
		"one slow attempt":         {[]time.Duration{slow}, 0, 0, 0},
		"a pause among usual ones": {[]time.Duration{typical, slow, slow}, 0, 0, typical},
		"slow":                     {[]time.Duration{slow, slow, slow + typical}, 0, 0, slow},
		"slow until a second ago":  {[]time.Duration{slow, slow, slow}, 0, forecastValidity, 0},
		"fast again":               {[]time.Duration{slow, slow, slow, typical}, 0, 0, typical},
		"attempts without answer":  {nil, 3, 300 * time.Millisecond, 600 * time.Millisecond},
		"attempts that just began": {nil, 3, typical, 0},
		"slow and without answer":  {[]time.Duration{slow, slow}, 1, 300 * time.Millisecond, slow},
	} {
		u := newService("near").Find("u0")
		for _, took := range c.took {
			u.AttemptStarted(start.Add(-took))
			u.AttemptFinished(start, start.Add(-took), typical, Succeeded)
		}
		for range c.inFlight {
			u.AttemptStarted(start)
		}
		must.Eq(t, c.want, u.Forecast(start.Add(c.after), typical), must.Sprint(name))
	}
}

// TestServiceForecast guards against a service that counts as overloaded although one of its
// upstreams answers in time.
func TestServiceForecast(t *testing.T) {
	s := newService("near", "far")
	for _, u := range s.Upstreams() {
		for range forecastObservations {
			recordAttempt(u, start, 8*typical, Succeeded)
		}
	}
	now := start.Add(8 * typical)
	must.Positive(t, s.Forecast(now, typical))
	recordAttempt(s.Find("u1"), now, typical, Succeeded)
	must.LessEq(t, typical, s.Forecast(now.Add(typical), typical))
}
