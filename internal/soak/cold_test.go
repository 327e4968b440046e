package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// coldPerSecond is the limit in the configuration. It is so low that the load of a run
	// exceeds it several times on the upstreams of shards.
	coldPerSecond = 4
	// coldExcess and coldSlack come from the users' rules.
	coldExcess, coldSlack = 1.5, 5
	// startColdTime is how long an upstream that replaces another one or is added is cold.
	startColdTime = 3 * time.Second
	// minColdTime is the shortest time for which running upstreams become cold.
	minColdTime = 5 * time.Second
	// coldKnownTime is the time after which an entry in the store is known to all instances.
	coldKnownTime = 3 * time.Second
	// beatTime is the time after which a cold upstream writes its entry again.
	beatTime = 1200 * time.Millisecond
)

// coldPeriod is a time in which an upstream was cold and all instances had to know it.
type coldPeriod struct {
	upstream          string
	acked, from, till time.Time
}

// cool makes an upstream cold and registers it again.
func (s *services) cool(u *upstream, d time.Duration) {
	till := time.Now().Add(d)
	u.mu.Lock()
	u.coldUntil = till
	u.mu.Unlock()
	s.registerAgain(u)
	now := time.Now()
	s.ledger.recordCold(coldPeriod{upstream: u.id, acked: now, from: now.Add(coldKnownTime), till: till})
}

func (l *ledger) recordCold(p coldPeriod) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldPeriods = append(l.coldPeriods, p)
}

// coolDataCentre makes the upstreams of a data centre cold.
func (s *services) coolDataCentre(dataCentre string, d time.Duration) {
	for _, u := range s.runningUpstreams(func(u *upstream) bool { return u.dataCentre == dataCentre }) {
		s.cool(u, d)
	}
}

// coolDataCentres makes the upstreams of one data centre after the other cold until the
// run ends.
func (h *harness) coolDataCentres(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 5))
	for h.waitUnlessStopped(time.Second + time.Duration(r.Int64N(int64(5*time.Second)))) {
		h.countFault("data centre cold")
		h.services.coolDataCentre(h.services.dataCentres[r.IntN(len(h.services.dataCentres))], minColdTime+time.Duration(r.Int64N(int64(3*time.Second))))
	}
}

// beat writes the entries of cold upstreams again until the run ends, so that an instance
// that starts does not take an old entry for a cold upstream.
func (h *harness) beat() {
	wasCold := make(map[*upstream]bool)
	for h.waitUnlessStopped(beatTime) {
		if h.store.isDown() {
			continue
		}
		now := time.Now()
		for _, u := range h.services.runningUpstreams(func(u *upstream) bool { return wasCold[u] || now.Before(u.coldTime()) }) {
			wasCold[u] = now.Before(u.coldTime())
			h.services.registerAgain(u)
		}
	}
}

func (u *upstream) coldTime() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.coldUntil
}

// coldLeftMS returns the rest of the cold time.
func (u *upstream) coldLeftMS() int64 { return max(0, time.Until(u.coldTime()).Milliseconds()) }

// checkCold checks that a cold upstream gets no more requests in any second than the
// limit allows, from all instances together. A running upstream that becomes cold is left
// out if a system fault was active until its entry had been in the store for
// coldKnownTime. Any upstream is left out if its link was cut, because the link delivers
// requests late and at once, or if the store was rolled back.
func (l *ledger) checkCold() {
	arrivals := make(map[string][]time.Time)
	for _, executions := range l.executions {
		for _, e := range executions {
			arrivals[e.upstream] = append(arrivals[e.upstream], e.arrived)
		}
	}
	for _, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
	}
	for _, p := range l.coldPeriods {
		known := p.from.Equal(p.acked) || l.noSystemFault(p.acked, p.from)
		if !known || l.linkFault(p.upstream, p.acked.Add(-recoveryTime), p.till) || l.rolledBack(p.acked, p.till) {
			continue
		}
		l.countCheck("cold upstream")
		times := slices.DeleteFunc(slices.Clone(arrivals[p.upstream]), func(t time.Time) bool { return t.Before(p.from) || !t.Before(p.till) })
		for i, from := range times {
			if n := countBetween(times[i:], from, from.Add(time.Second)); float64(n) > coldPerSecond*coldExcess+coldSlack {
				l.addViolation("cold", "upstream %s got %d requests in a second, %v after its entry was written", p.upstream, n, from.Sub(p.acked))
				break
			}
		}
	}
}
