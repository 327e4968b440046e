package main

import (
	"fmt"
	"time"
)

const (
	firstHost, firstPath = "desk.example", "/records/2f"
	laterHost, laterPath = "counter.example", "/opening-hours/today"
	requestTimeout       = 3 * time.Second
	requestInterval      = 20 * time.Millisecond
	leafWork             = 100 * time.Millisecond
	leafDowntime         = 4500 * time.Millisecond
	leavesPerService     = 7
	// steadyFrom and steadyTo bound the span that is judged, in seconds. It begins more
	// than ten seconds after the last crashed leaf is back.
	steadyFrom, steadyTo = 32.0, 46.0
	minLaterRequests     = 20
)

// popularRequest shows what becomes of a request that many callers send alike, on a
// route that a later configuration added, once two leaves have crashed while they ran
// it.
func popularRequest(rec *recorder, dir string, trouble bool) (int, error) {
	s, err := startStore(rec)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	var later []*leaf
	for i := range leavesPerService {
		zone := fmt.Sprintf("zone-%d", i%3+1)
		if _, err := startLeaf(rec, s, fmt.Sprintf("i-a%d", i), "records", zone, "", leafWork); err != nil {
			return notRun, err
		}
		f, err := startLeaf(rec, s, fmt.Sprintf("i-b%d", i), "counter", zone, "", leafWork)
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
	c := newCallers(rec)
	end := make(chan struct{})
	go c.run(gateways, firstHost, firstPath, requestTimeout, requestInterval, end)
	sleepUntil(rec, 4)
	s.put("op/config", config(11, firstRoute, route("r-later", laterHost, "/opening-hours/", "counter")))
	sleepUntil(rec, 8)
	go c.run(gateways, laterHost, laterPath, requestTimeout, requestInterval, end)
	if trouble {
		for n, at := range []float64{11, 17} {
			sleepUntil(rec, at)
			f := busiest(later)
			f.crash()
			time.AfterFunc(leafDowntime, func() {
				if _, err := startLeaf(rec, s, fmt.Sprintf("i-c%d", n), f.service, f.zone, f.address, leafWork); err != nil {
					rec.report("a leaf could not start again: %v", err)
				}
			})
		}
	}
	sleepUntil(rec, steadyTo)
	close(end)
	c.wg.Wait()
	beforeSent, before := c.share(laterHost, 8, 11)
	firstSent, first := c.share(firstHost, steadyFrom, steadyTo)
	laterSent, laterShare := c.share(laterHost, steadyFrom, steadyTo)
	rec.report("before the crashes: %d requests on the later route, %.3f served", beforeSent, before)
	rec.report("in steady state: %d requests on the first route, %.3f served; %d on the later route, %.3f served", firstSent, first, laterSent, laterShare)
	switch {
	case before < 0.9 || first < 0.9:
		return notRun, fmt.Errorf("the deployment did not serve its requests in calm time")
	case laterSent >= minLaterRequests && laterShare < first/4:
		rec.report("CONFIG is broken: the later route is served less than a quarter as often as the first one")
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// busiest returns the leaf that runs the most requests.
func busiest(all []*leaf) *leaf {
	var best *leaf
	for _, f := range all {
		if !f.hasCrashed() && (best == nil || f.running.Load() > best.running.Load()) {
			best = f
		}
	}
	return best
}

func route(name, host, prefix, service string) map[string]any {
	return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": "safe", "timeout_ms": 3000, "latency_target_ms": 1000, "priority": 2, "service": service, "max_attempts": 2}
}

func config(version int, routes ...map[string]any) map[string]any {
	var services []map[string]any
	for _, name := range []string{"records", "counter"} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}
}

// sleepUntil waits until the given time after the start of the run, in seconds.
func sleepUntil(rec *recorder, at float64) {
	time.Sleep(time.Duration((at - rec.since()) * float64(time.Second)))
}
