package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// evacuationPrefix is the prefix of the keys by which the operator evacuates data centres.
const evacuationPrefix = "op/evacuate/"

// evacuation is a time in which the operator wanted nothing to be sent to a data centre.
type evacuation struct {
	dataCentre string
	// acked is a time after the key was written, and removed one before it was removed;
	// zero if it never was.
	acked, removed time.Time
}

// healthCheck is a health check that reached an upstream.
type healthCheck struct {
	upstream, dataCentre string
	arrived              time.Time
}

// evacuate writes the key of a data centre.
func (s *services) evacuate(dataCentre, value string) {
	s.store.putText(evacuationPrefix+dataCentre, value)
	s.mu.Lock()
	s.evacuated[dataCentre] = time.Now().Add(time.Hour)
	s.mu.Unlock()
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.ledger.evacuations = append(s.ledger.evacuations, evacuation{dataCentre: dataCentre, acked: time.Now()})
}

// endEvacuation removes the key of a data centre.
func (s *services) endEvacuation(dataCentre string) {
	s.ledger.mu.Lock()
	for i := range s.ledger.evacuations {
		if e := &s.ledger.evacuations[i]; e.dataCentre == dataCentre && e.removed.IsZero() {
			e.removed = time.Now()
		}
	}
	s.ledger.mu.Unlock()
	s.store.remove(evacuationPrefix + dataCentre)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated[dataCentre] = time.Now().Add(configApplyTime)
}

// evacuateDataCentres evacuates one to three data centres at a time until the run ends.
// Half of the later evacuations begin together with a fault of the system or with planned work.
// names holds those that are evacuated already.
func (h *harness) evacuateDataCentres(seed uint64, kinds kindSelector, names []string) {
	r := rand.New(rand.NewPCG(seed, 4))
	for ; ; names = nil {
		if len(names) == 0 {
			if !h.waitUnlessStopped(500*time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second)))) {
				return
			}
			names = h.services.evacuateSome(r)
			switch beside := r.IntN(6); beside {
			case 0:
				f := slices.Concat(gatewayFaults, linkFaults, storeFaults)
				h.startFault(f[r.IntN(len(f))], r, time.Duration(r.Int64N(int64(time.Second))))
			case 1, 2:
				// SIGTERM with a new start, or SIGHUP.
				h.startFault(plannedWork[beside-1], r, time.Second)
			}
		}
		h.countFault("evacuation of " + []string{"one", "two", "all"}[len(names)-1])
		h.waitUnlessStopped(configApplyTime + time.Second + time.Duration(r.Int64N(int64(4*time.Second))))
		for _, name := range names {
			h.services.endEvacuation(name)
			if kinds.has(coldUpstreams) {
				h.services.coolDataCentre(name, minColdTime+time.Duration(r.Int64N(int64(minColdTime))))
			}
			time.Sleep(time.Duration(r.Int64N(int64(200 * time.Millisecond))))
		}
	}
}

// evacuateSome evacuates one data centre, often two and rarely all, and returns their
// names.
func (s *services) evacuateSome(r *rand.Rand) []string {
	names := slices.Clone(s.dataCentres)
	r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	n := []int{1, 1, 1, 1, 2, 2, 2, 3}[r.IntN(8)]
	names = names[:n]
	for _, name := range names {
		// The value has no meaning and is not always valid.
		s.evacuate(name, []string{"{}", "{}", "{}", "not json", "[]"}[r.IntN(5)])
	}
	if r.IntN(3) == 0 {
		// A key without a name and one of an unknown data centre have no effect.
		s.store.putText(evacuationPrefix, "{}")
		s.store.putText(evacuationPrefix+"nowhere", "{}")
	}
	return names
}

// recordUnservable records a fault of upstreams while the upstreams of a service in use are
// all evacuated, cold or gone, as instances may still see it: they may learn of the end of
// an evacuation after configApplyTime, and of the end of the cold time from the entry that
// follows it. Requests for the service need not succeed then.
func (h *harness) recordUnservable() {
	const every = 200 * time.Millisecond
	for h.waitUnlessStopped(every) {
		if now := time.Now(); !h.services.allServable(now) {
			h.ledger.addFaultInterval(interval{from: now.Add(-every), to: now.Add(every), upstreamsOnly: true})
		}
	}
}

func (s *services) allServable(now time.Time) bool {
	servable := make(map[string]bool)
	for _, u := range s.runningUpstreams(func(u *upstream) bool {
		return now.After(s.evacuated[u.dataCentre]) && now.After(u.coldTime().Add(beatTime))
	}) {
		servable[u.service] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.routes {
		if strings.HasPrefix(r.Prefix, "/risky") {
			continue
		}
		for _, name := range slices.Concat(r.service, r.shards) {
			if !servable[name] {
				return false
			}
		}
	}
	return true
}

func (l *ledger) recordHealthCheck(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healthChecks = append(l.healthChecks, healthCheck{upstream: u.id, dataCentre: u.dataCentre, arrived: time.Now()})
}

// checkEvacuations checks that nothing reaches an upstream of an evacuated data centre
// from configApplyTime after the store acknowledged the key until the operator removes
// it. Requests that an upstream declined with 421 have no record. A request does not
// count while a system fault is active, nor if the link to the upstream was cut after the
// caller sent it before the bound, because the link delivers the data late.
func (l *ledger) checkEvacuations() {
	for _, v := range l.evacuations {
		from, checked := v.acked.Add(configApplyTime), 0
		inForce := func(when time.Time) bool {
			return when.After(from) && (v.removed.IsZero() || when.Before(v.removed)) && l.inForceAt(v.acked, configApplyTime, when)
		}
		for id, executions := range l.executions {
			for _, e := range executions {
				if !inForce(e.arrived) {
					continue
				}
				checked++
				if e.dataCentre != v.dataCentre {
					continue
				}
				if r := l.requests[id]; r != nil && r.sent.Before(from) && l.linkFault(e.upstream, r.sent, e.arrived) {
					continue
				}
				l.addViolation("evacuation", "upstream %s in %s got request %s %v after the evacuation", e.upstream, v.dataCentre, id, e.arrived.Sub(v.acked))
			}
		}
		for _, c := range l.healthChecks {
			if c.dataCentre == v.dataCentre && inForce(c.arrived) && !l.linkFault(c.upstream, c.arrived.Add(-recoveryTime), c.arrived) {
				l.addViolation("evacuation", "upstream %s in %s got a health check %v after the evacuation", c.upstream, v.dataCentre, c.arrived.Sub(v.acked))
			}
		}
		l.checkTotals["request during an evacuation"] += checked
	}
}

// linkFault reports whether a fault of upstreams or callers that names the upstream was
// active between two times. The caller holds the lock.
func (l *ledger) linkFault(upstream string, from, to time.Time) bool {
	return slices.ContainsFunc(l.faultIntervals, func(i interval) bool {
		return i.upstreamsOnly && strings.Contains(i.target, upstream) && i.from.Before(to) && i.to.After(from)
	})
}
