package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	searchHost     = "search.example"
	searchTimeout  = 800 * time.Millisecond
	searchInterval = 50 * time.Millisecond
	searchWork     = 15 * time.Millisecond
	crashingPath   = "/search/crashes"
	shardCount     = 4
	leavesPerShard = 3
	// resendInterval is how often the caller of the crashing request sends it again.
	resendInterval = time.Second
	// stableWindow is stable_window_ms of the site.
	stableWindow   = 4.0
	maxLateRetries = 3
)

// crashLog keeps the times of the crashes and the ids of the requests that caused them.
type crashLog struct {
	mu       sync.Mutex
	times    []float64
	requests map[string]bool
}

// crashingRequest shows how often a query over shards reaches leaves again after three
// have crashed under it, if the crashed leaves fall silent.
func crashingRequest(rec *recorder, dir string, trouble bool) (int, error) {
	s, err := startStore(rec)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	crashes := &crashLog{requests: make(map[string]bool)}
	var shards []string
	for shard := range shardCount {
		service := fmt.Sprintf("shard-%d", shard+1)
		shards = append(shards, service)
		for i := range leavesPerShard {
			f, err := startLeaf(rec, s, fmt.Sprintf("i-%d%d", shard, i), service, fmt.Sprintf("zone-%d", i%3+1), "", searchWork)
			if err != nil {
				return notRun, err
			}
			f.onSilentCrash = func(f *leaf, id string) { crashes.add(rec, f, id) }
			f.crashesOn = func(path string) bool { return trouble && path == crashingPath }
		}
	}
	s.put("op/config", searchConfig(shards))
	gateways, err := startGateways(rec, dir, s.address, 3)
	defer func() { stopGateways(gateways) }()
	if err != nil {
		return notRun, err
	}
	c := newCallers(rec)
	end := make(chan struct{})
	for i, g := range gateways {
		go c.run([]*gatewayProcess{g}, searchHost, fmt.Sprintf("/search/%d", i), searchTimeout, searchInterval*time.Duration(len(gateways)), end)
	}
	sleepUntil(rec, 8)
	sent := make(map[string]float64)
	for i := 0; rec.since() < 60; i++ {
		g := gateways[i%len(gateways)]
		at := rec.since()
		sent[c.send(g.name, g.callerAddress(), searchHost, crashingPath, searchTimeout)] = at
		time.Sleep(resendInterval)
	}
	close(end)
	c.wg.Wait()
	if n, served := c.share(searchHost, 4, 8); n == 0 || served < 0.9 {
		return notRun, fmt.Errorf("the deployment did not serve its requests in calm time")
	}
	return crashes.judge(rec, sent), nil
}

func (l *crashLog) add(rec *recorder, f *leaf, id string) {
	l.mu.Lock()
	l.times = append(l.times, rec.since())
	l.requests[id] = true
	n := len(l.times)
	l.mu.Unlock()
	newID := fmt.Sprintf("%s.%d", strings.SplitN(f.currentID(), ".", 2)[0], n)
	f.crashSilently(id, newID, leafDowntime)
}

// judge counts the retries that were sent later than stableWindow after the third crash
// and reached a leaf.
func (l *crashLog) judge(rec *recorder, sent map[string]float64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.times) < 3 {
		rec.report("%d leaves crashed under the request, which was sent %d times", len(l.times), len(sent))
		return ruleHeld
	}
	late := 0
	for id, at := range sent {
		if l.requests[id] && at > l.times[2]+stableWindow {
			late++
		}
	}
	rec.report("%d leaves crashed under the request, which was sent %d times; the third at %.3f s", len(l.times), len(sent), l.times[2])
	rec.report("%d retries that were sent more than %.0f s later reached leaves; allowed %d", late, stableWindow, maxLateRetries)
	if late > maxLateRetries {
		rec.report("BUDGET is broken: the request goes on to reach leaves, and crashes them")
		return ruleBroken
	}
	return ruleHeld
}

func searchConfig(shards []string) map[string]any {
	route := map[string]any{"name": "r-search", "host": searchHost, "prefix": "/search/", "kind": "safe", "timeout_ms": 800, "latency_target_ms": 120, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": 20, "min_share": 0.75}
	config := config(7, route)
	var services []map[string]any
	for _, name := range shards {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 31, "protocol": "h1", "tls": false})
	}
	config["services"] = services
	return config
}
