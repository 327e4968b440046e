package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// releaseWork and releaseSpread are the time of work of archive-pull.
	releaseWork     = 120 * time.Millisecond
	releaseSpread   = 0.5
	releaseInterval = 5 * time.Millisecond
	// Between leaveFrom and leaveTo, in seconds, leaveShare of the callers of the later
	// route leave within maxPatience, half of the latency target.
	leaveFrom, leaveTo = 10.0, 26.0
	leaveShare         = 0.3
	maxPatience        = 500 * time.Millisecond
	// releaseFrom is when the first leaf of the later route is replaced; another one
	// follows after each releaseGap.
	releaseFrom, releaseGap = 13.0, 1.0
	releaseCount            = 9
	// releaseServe is how long a leaf serves after its entry was removed: drain_ms and a
	// little longer.
	releaseServe = 4 * time.Second
)

// plannedRelease shows what becomes of a request that many callers send alike, on a
// route that a later configuration added, while the leaves of its service are replaced
// one after the other and some callers leave before the answer. No leaf crashes.
func plannedRelease(rec *recorder, dir string, trouble bool) (int, error) {
	s, err := startStore(rec)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	var later []*leaf
	add := func(service, prefix string, n int) (*leaf, error) {
		f, err := startLeaf(rec, s, fmt.Sprintf("i-%s%d", prefix, n), service, fmt.Sprintf("zone-%d", n%3+1), "", releaseWork)
		if err == nil {
			f.spread = releaseSpread
		}
		return f, err
	}
	for i := range leavesPerService {
		if _, err := add("records", "a", i); err != nil {
			return notRun, err
		}
		f, err := add("counter", "b", i)
		if err != nil {
			return notRun, err
		}
		later = append(later, f)
	}
	firstRoute := route("r-first", firstHost, "/records/", "records")
	s.put("op/config", config(7, firstRoute))
	gateways, err := startGateways(rec, dir, s.address, 3)
	defer func() { stopGateways(gateways) }()
	if err != nil {
		return notRun, err
	}
	first, second := newCallers(rec), newCallers(rec)
	second.next.Store(1 << 24)
	second.patience = func(timeout time.Duration) time.Duration {
		if at := rec.since(); trouble && at >= leaveFrom && at < leaveTo && rand.Float64() < leaveShare {
			return rand.N(maxPatience)
		}
		return timeout
	}
	end := make(chan struct{})
	go first.run(gateways, firstHost, firstPath, requestTimeout, requestInterval, end)
	sleepUntil(rec, 4)
	s.put("op/config", config(11, firstRoute, route("r-later", laterHost, "/opening-hours/", "counter")))
	sleepUntil(rec, 8)
	go second.run(gateways, laterHost, laterPath, requestTimeout, releaseInterval, end)
	for n := 0; trouble && n < releaseCount; n++ {
		sleepUntil(rec, releaseFrom+releaseGap*float64(n))
		f, err := add("counter", "c", n)
		if err != nil {
			return notRun, err
		}
		later = append(later, f)
		sleepUntil(rec, releaseFrom+releaseGap*(float64(n)+0.9))
		later[n].leaveWithoutNotice(releaseServe)
	}
	sleepUntil(rec, steadyTo)
	close(end)
	first.wg.Wait()
	second.wg.Wait()
	beforeSent, before := second.share(laterHost, 8, leaveFrom)
	firstSent, firstServed := first.share(firstHost, steadyFrom, steadyTo)
	laterSent, laterServed := second.share(laterHost, steadyFrom, steadyTo)
	rec.report("before the release: %d requests on the later route, %.3f served", beforeSent, before)
	rec.report("in steady state: %d requests on the first route, %.3f served; %d on the later route, %.3f served", firstSent, firstServed, laterSent, laterServed)
	switch {
	case before < 0.9 || firstServed < 0.9:
		return notRun, fmt.Errorf("the deployment did not serve its requests in calm time")
	case laterSent >= minLaterRequests && laterServed < firstServed/4:
		rec.report("CONFIG is broken: the later route is served less than a quarter as often as the first one")
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
