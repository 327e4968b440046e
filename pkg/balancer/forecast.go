package balancer

import (
	"math"
	"time"
)

const (
	// forecastObservations is the number of the latest attempts that a forecast rests on.
	// A pause of an upstream makes one or two attempts slow, an overloaded or slow upstream
	// all of them.
	forecastObservations = 3
	// forecastValidity is how long an attempt counts for forecasts.
	forecastValidity = time.Second
)

// recentRatios holds, of the latest attempts, the ratio of the latency to the typical one.
type recentRatios struct {
	at    [forecastObservations]time.Time
	ratio [forecastObservations]float64
	next  int
}

// unansweredFactor is the assumed ratio of the latency of an attempt to the time after which
// it was given up: it would have taken as much longer again.
const unansweredFactor = 2

// record adds an attempt that took the given time, unless it shows nothing about the time
// that the upstream takes.
func (r *recentRatios) record(now time.Time, took, typical time.Duration, o Outcome) {
	ratio := float64(took) / float64(max(typical, time.Millisecond))
	switch o {
	case Succeeded:
	case Failed, Cancelled, TimedOut:
		if ratio <= 1 {
			return
		}
		ratio *= unansweredFactor
	default:
		return
	}
	r.at[r.next], r.ratio[r.next] = now, ratio
	r.next = (r.next + 1) % forecastObservations
}

// Forecast returns how long an attempt that starts now will take at least, judging by the
// latest attempts, and zero if these do not show that the upstream is slow or has a queue.
// While fewer than forecastObservations have ended, stalled ones in flight count too, and
// the oldest of them is assumed to take unansweredFactor times as long as so far. typical is
// the typical latency of such a request.
func (u *Upstream) Forecast(now time.Time, typical time.Duration) time.Duration {
	n, least := 0, time.Duration(math.MaxInt64)
	for i := range u.recent.at {
		if now.Sub(u.recent.at[i]) < forecastValidity {
			n++
			least = min(least, time.Duration(u.recent.ratio[i]*float64(typical)))
		}
	}
	if n < forecastObservations {
		n += u.stalled(now, typical)
		least = min(least, unansweredFactor*u.OldestInFlight(now))
	}
	if n < forecastObservations {
		return 0
	}
	return least
}

// stalled returns the number of attempts in flight that have stalled.
func (u *Upstream) stalled(now time.Time, typical time.Duration) int {
	n := 0
	for _, startedAt := range u.inFlight {
		if now.Sub(startedAt) > stallFactor*typical {
			n++
		}
	}
	return n
}

// Forecast returns the shortest forecast among the upstreams that are not avoided.
func (s *Service) Forecast(now time.Time, typical time.Duration) time.Duration {
	least, n := time.Duration(0), 0
	for _, u := range s.upstreams {
		if u.avoided(now) {
			continue
		}
		if f := u.Forecast(now, typical); n == 0 || f < least {
			least = f
			n++
		}
	}
	return least
}
