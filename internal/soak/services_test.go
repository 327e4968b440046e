package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "soak.example"
	// crashMark is part of the target of each request that crashes the upstream which
	// runs it.
	crashMark = "poison"
	// silentCrashMark is part of the target of those after which the connections of the
	// upstream fall silent.
	silentCrashMark     = crashMark + "-silent"
	upstreamsPerService = 3
	// entryLapseTime is the time from an upstream's crash until its entry lapses.
	entryLapseTime = time.Second
	// drainGrace is the time after the withdrawal of an upstream in which it may still
	// get new requests.
	drainGrace = 3 * time.Second
	// addressReuseDelay is the time from an upstream's crash until an upstream of
	// service q starts at its address, while the store is down.
	addressReuseDelay = 2 * time.Second
	// serveAfterWithdrawal is how long an upstream goes on serving after it is
	// registered as draining or its entry is removed.
	serveAfterWithdrawal = drainGrace + 3*time.Second
	// topRecords, minShare and maxAttempts are settings of the routes: how many records
	// the answer to a query over shards holds, the least share of shards that it must
	// cover, and the most attempts on a service.
	topRecords  = 10
	minShare    = 0.7
	maxAttempts = 3
)

// routeSpec is a route in the operator's configuration.
type routeSpec struct {
	Prefix        string
	unsafe        bool
	service       []string
	shards        []string
	latencyTarget time.Duration
}

// services holds the upstreams of a run and the operator's configuration.
type services struct {
	// run is part of the ids of the upstreams. Ports that crashed upstreams leave are
	// used again by other runs, whose upstreams must decline the requests.
	run         int
	ledger      *ledger
	store       *store
	fleet       *fleet
	dataCentres []string

	// configMu is held while a configuration is written, so that the versions arrive in
	// order.
	configMu sync.Mutex

	mu            sync.Mutex
	upstreams     []*upstream
	lastUpstream  int
	configNumber  uint64
	routes        map[string]routeSpec
	entrySequence int
	// evacuated holds the time until which instances may take a data centre for evacuated.
	evacuated map[string]time.Time
	// cold makes upstreams that start cold, and limits requests to cold upstreams.
	cold bool
	// crashWithAlike is shared with all upstreams; see upstream.
	crashWithAlike atomic.Bool
}

func shardNames(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint(prefix, i))
	}
	return out
}

var (
	// firstShards and secondShards are the two sets of shards between which planned
	// work switches the route /search/.
	firstShards  = shardNames("a", 4)
	secondShards = shardNames("b", 6)
	// riskyShards are searched by queries that crash their upstreams, and by ordinary ones
	// beside them.
	riskyShards = shardNames("w", 4)
	// plainServices holds the mean time of work of each service without shards.
	plainServices = map[string]time.Duration{"p": 15 * time.Millisecond, "q": 15 * time.Millisecond, "o": 20 * time.Millisecond, "v": 10 * time.Millisecond}
)

// shardWork is the mean time that an upstream works on one shard of a query.
const shardWork = 4 * time.Millisecond

func newServices(l *ledger, s *store, f *fleet, dataCentres []string, run int) *services {
	return &services{
		ledger: l, store: s, fleet: f, dataCentres: dataCentres, configNumber: 10, run: run, evacuated: make(map[string]time.Time),
		routes: map[string]routeSpec{
			"/search/": {Prefix: "/search/", shards: firstShards, latencyTarget: 80 * time.Millisecond},
			"/record/": {Prefix: "/record/", service: []string{"p"}, latencyTarget: 300 * time.Millisecond},
			"/order/":  {Prefix: "/order/", unsafe: true, service: []string{"o"}, latencyTarget: 300 * time.Millisecond},
			"/risky/":  {Prefix: "/risky/", service: []string{"v"}, latencyTarget: 300 * time.Millisecond},
		},
	}
}

const riskySearch = "/risky-search/"

// addRiskySearch starts the upstreams of riskyShards and adds the route to them.
func (s *services) addRiskySearch() error {
	for _, name := range riskyShards {
		if err := s.startService(name, shardWork); err != nil {
			return err
		}
	}
	s.configure(func(routes map[string]routeSpec) {
		routes[riskySearch] = routeSpec{Prefix: riskySearch, shards: riskyShards, latencyTarget: 80 * time.Millisecond}
	})
	return nil
}

// startAll starts the upstreams of all services except secondShards, registers them
// and publishes the first configuration.
func (s *services) startAll() error {
	for _, name := range firstShards {
		if err := s.startService(name, shardWork); err != nil {
			return err
		}
	}
	for name, work := range plainServices {
		if err := s.startService(name, work); err != nil {
			return err
		}
	}
	s.configure(func(map[string]routeSpec) {})
	return nil
}

func (s *services) startService(name string, work time.Duration) error {
	for i := range upstreamsPerService {
		if _, err := s.launchUpstream(name, s.dataCentres[i%len(s.dataCentres)], "", work, 0); err != nil {
			return err
		}
	}
	return nil
}

// startUpstream starts an upstream in a running service, and registers it. It may be cold.
func (s *services) startUpstream(service, dataCentre, address string, work time.Duration) (*upstream, error) {
	coldFor := time.Duration(0)
	if s.cold {
		coldFor = startColdTime
	}
	return s.launchUpstream(service, dataCentre, address, work, coldFor)
}

// launchUpstream starts an upstream that is cold for the given time, and registers it. If no address is given, every
// second upstream is reached through the relay, so that its links can be cut.
func (s *services) launchUpstream(service, dataCentre, address string, work, coldFor time.Duration) (*upstream, error) {
	s.mu.Lock()
	s.lastUpstream++
	number := s.lastUpstream
	s.mu.Unlock()
	u, err := startUpstream(s.ledger, fmt.Sprintf("i-%d-%04d", s.run, number), service, dataCentre, address, work)
	if err != nil {
		return nil, err
	}
	if number%2 == 0 && address == "" {
		if u.published, err = s.fleet.relay.Forward(gatewayNode, u.id, u.address); err != nil {
			return nil, err
		}
	}
	u.onCrash, u.crashWithAlike = func() { s.crash(u, time.Second) }, &s.crashWithAlike
	u.onSilentCrash = func() { s.crashSilently(u) }
	if u.sendsCold = s.cold; coldFor > 0 {
		u.coldUntil = time.Now().Add(coldFor)
	}
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	s.register(u, stateReady)
	if coldFor > 0 {
		// No instance has sent anything before it knew the entry.
		now := time.Now()
		s.ledger.recordCold(coldPeriod{upstream: u.id, acked: now, from: now, till: u.coldTime()})
	}
	return u, nil
}

// States of an upstream. stateRemoved has no entry.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

// register writes the entry of an upstream. An upstream that drains or was removed does
// not become ready again.
func (s *services) register(u *upstream, state string) {
	u.entryMu.Lock()
	defer u.entryMu.Unlock()
	if u.state == stateRemoved || u.state == stateDraining && state == stateReady {
		return
	}
	u.state = state
	s.mu.Lock()
	s.entrySequence++
	n := s.entrySequence
	s.mu.Unlock()
	s.store.put("servers/"+u.id, u.entry(state, n))
}

// deregister removes the entry of an upstream for good.
func (s *services) deregister(u *upstream) {
	u.entryMu.Lock()
	defer u.entryMu.Unlock()
	u.state = stateRemoved
	s.store.remove("servers/" + u.id)
}

// runningUpstreams returns the running upstreams that accept selects.
func (s *services) runningUpstreams(accept func(*upstream) bool) []*upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*upstream
	for _, u := range s.upstreams {
		u.mu.Lock()
		stopped := u.stopped
		u.mu.Unlock()
		if !stopped && accept(u) {
			out = append(out, u)
		}
	}
	return out
}

// any returns a random running upstream whose service has more than one.
// It chooses upstreams that execute orders more often, because most guarantees
// concern orders.
func (s *services) any(r *rand.Rand) *upstream {
	all := s.runningUpstreams(func(u *upstream) bool { return u.service != "v" })
	if orders := s.runningUpstreams(func(u *upstream) bool { return u.service == "o" }); len(orders) > 1 && r.IntN(3) == 0 {
		all = orders
	}
	for range 50 {
		u := all[r.IntN(len(all))]
		if len(s.runningUpstreams(func(o *upstream) bool { return o.service == u.service })) > 1 {
			return u
		}
	}
	return all[0]
}

// crash stops an upstream without notice. Its entry lapses after entryLapseTime. A
// new upstream of the service starts at the address after downtime, but not before
// the entry has lapsed; if downtime is zero, none starts.
func (s *services) crash(u *upstream, downtime time.Duration) {
	u.stop()
	go func() {
		time.Sleep(entryLapseTime)
		s.deregister(u)
		s.ledger.recordWithdrawal(u.id)
		if downtime > 0 {
			time.Sleep(max(0, downtime-entryLapseTime))
			_, _ = s.startUpstream(u.service, u.dataCentre, u.address, u.meanWork)
		}
	}()
}

// crashSilently makes an upstream answer no request any more. Its entry lapses after
// entryLapseTime, and a new upstream of the service then starts at another address.
func (s *services) crashSilently(u *upstream) {
	u.mu.Lock()
	u.silent, u.stopped = true, true
	u.mu.Unlock()
	go func() {
		time.Sleep(entryLapseTime)
		s.deregister(u)
		s.ledger.recordWithdrawal(u.id)
		_, _ = s.startUpstream(u.service, u.dataCentre, "", u.meanWork)
		time.Sleep(serveAfterWithdrawal)
		u.stop()
	}()
}

// drain registers an upstream as draining and stops it after serveAfterWithdrawal.
// If nextService is not empty, an upstream of that service then gets the address.
func (s *services) drain(u *upstream, nextService string) {
	s.register(u, stateDraining)
	s.ledger.recordWithdrawal(u.id)
	go func() {
		time.Sleep(serveAfterWithdrawal)
		u.stop()
		s.deregister(u)
		if nextService != "" {
			time.Sleep(2 * time.Second)
			_, _ = s.startUpstream(nextService, u.dataCentre, u.address, u.meanWork)
		}
	}()
}

// removeEntry removes the entry of an upstream and stops the upstream after
// serveAfterWithdrawal.
func (s *services) removeEntry(u *upstream) {
	s.deregister(u)
	s.ledger.recordWithdrawal(u.id)
	time.AfterFunc(serveAfterWithdrawal, u.stop)
}

// configure changes the routes and publishes them as a new version of the
// configuration.
func (s *services) configure(change func(map[string]routeSpec)) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.mu.Lock()
	change(s.routes)
	s.configNumber += 1 + uint64(s.lastUpstream%3)
	v := configVersion{number: s.configNumber, services: make(map[string][]string), shards: make(map[string][]string)}
	var routes []any
	serviceNames := make(map[string]bool)
	for _, r := range s.routes {
		v.services[r.Prefix] = append(append([]string(nil), r.service...), r.shards...)
		v.shards[r.Prefix] = r.shards
		for _, name := range v.services[r.Prefix] {
			serviceNames[name] = true
		}
		routes = append(routes, routeEntry(r))
	}
	var serviceEntries []any
	for name := range serviceNames {
		entry := map[string]any{"name": name, "health_path": healthPath, "max_conns": maxConns}
		if s.cold {
			entry["cold_per_s"] = coldPerSecond
		}
		serviceEntries = append(serviceEntries, entry)
	}
	s.mu.Unlock()
	v.sent = time.Now()
	s.ledger.recordConfig(v)
	s.store.put("op/config", map[string]any{
		"version": v.number, "routes": routes, "services": serviceEntries,
		"limits": map[string]any{"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	s.ledger.recordConfigAck(v.number)
}

func routeEntry(r routeSpec) map[string]any {
	e := map[string]any{
		"name": "route " + r.Prefix, "host": host, "prefix": r.Prefix, "kind": "safe", "timeout_ms": 3000,
		"latency_target_ms": r.latencyTarget.Milliseconds(), "priority": 0, "max_attempts": maxAttempts,
	}
	if r.unsafe {
		e["kind"] = "unsafe"
	}
	switch {
	case len(r.shards) > 0:
		e["gather"], e["top_k"], e["min_share"] = r.shards, topRecords, minShare
	case len(r.service) == 1:
		e["service"] = r.service[0]
	default:
		var split []any
		for i, name := range r.service {
			split = append(split, map[string]any{"service": name, "weight": 1 + 2*i})
		}
		e["traffic_split"] = split
	}
	return e
}

func (l *ledger) recordConfig(v configVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, v)
}

func (l *ledger) recordConfigAck(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.versions {
		if l.versions[i].number == number {
			l.versions[i].acked = time.Now()
		}
	}
}

func (s *services) close() {
	s.mu.Lock()
	all := append([]*upstream(nil), s.upstreams...)
	s.mu.Unlock()
	for _, u := range all {
		u.stop()
	}
}
