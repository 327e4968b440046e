package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/relay"
)

// fault is a kind of trouble. run starts it on targets that it chooses and
// returns what ends it.
type fault struct {
	name string
	// servers is true for faults of upstreams only, and planned for work that may
	// cut no request.
	servers, planned bool
	run              func(w *world, r *rand.Rand) (target string, undo func())
}

// world is what faults act on.
type world struct {
	ledger   *ledger
	store    *store
	fleet    *fleet
	services *services
	// rate is that of each caller, in thousandths of a request a second, and leave
	// the percentage of requests whose caller goes away early.
	rate, leave atomic.Int64
	running     sync.WaitGroup
	stop        chan struct{}
}

func (w *world) gateway(r *rand.Rand) *gatewayProcess {
	return w.fleet.gateways[r.IntN(len(w.fleet.gateways))]
}

func nothing() {}

// gatewayFaults end or suspend processes of the system.
var gatewayFaults = []fault{
	{name: "kill", run: func(w *world, r *rand.Rand) (string, func()) {
		g := w.gateway(r)
		g.current().Kill()
		return g.name, nothing
	}},
	{name: "kill most", run: func(w *world, r *rand.Rand) (string, func()) {
		for _, g := range w.fleet.gateways {
			if r.IntN(5) > 0 {
				go g.current().Kill()
			}
		}
		return "", nothing
	}},
	{name: "pause", run: func(w *world, r *rand.Rand) (string, func()) {
		p := w.gateway(r).current()
		p.Pause()
		return "", p.Resume
	}},
	{name: "terminate and kill", run: func(w *world, r *rand.Rand) (string, func()) {
		g := w.gateway(r)
		p := g.current()
		p.Signal(syscall.SIGTERM)
		return g.name, p.Kill
	}},
}

// linkFaults act on the connections of the system's processes.
var linkFaults = []fault{
	{name: "store cut", run: func(w *world, r *rand.Rand) (string, func()) {
		return w.cut(w.subset(r), []string{storeNode}, r)
	}},
	{name: "partition", run: func(w *world, r *rand.Rand) (string, func()) {
		one := w.subset(r)
		return w.cut(one, w.others(one), r)
	}},
	{name: "peers one way", run: func(w *world, r *rand.Rand) (string, func()) {
		one := w.subset(r)
		other := w.others(one)
		w.fleet.relay.SetMode(one, other, relay.Silent)
		return strings.Join(one, " "), func() { w.fleet.relay.SetMode(one, other, relay.Open) }
	}},
	{name: "store one way", run: func(w *world, r *rand.Rand) (string, func()) {
		one, other := w.subset(r), []string{storeNode}
		w.fleet.relay.SetMode(other, one, relay.Silent)
		return strings.Join(one, " "), func() { w.fleet.relay.SetMode(other, one, relay.Open) }
	}},
	{name: "connections reset", run: func(w *world, r *rand.Rand) (string, func()) {
		one := w.subset(r)
		w.fleet.relay.ResetConnections(one, append(w.fleet.names(), storeNode, callersNode))
		return strings.Join(one, " "), nothing
	}},
	{name: "links delayed", run: func(w *world, r *rand.Rand) (string, func()) {
		one, other := w.subset(r), append(w.fleet.names(), storeNode)
		w.fleet.relay.SetDelay(one, other, time.Duration(20+r.IntN(200))*time.Millisecond)
		return strings.Join(one, " "), func() { w.fleet.relay.SetDelay(one, other, 0) }
	}},
}

func (w *world) subset(r *rand.Rand) []string {
	names := w.fleet.names()
	r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:1+r.IntN(max(1, len(names)/2))]
}

// others returns the instances that are not among the given ones.
func (w *world) others(names []string) []string {
	return slices.DeleteFunc(w.fleet.names(), func(n string) bool { return slices.Contains(names, n) })
}

func (w *world) cut(one, other []string, r *rand.Rand) (string, func()) {
	mode := []relay.Mode{relay.Silent, relay.Broken}[r.IntN(2)]
	w.fleet.relay.SetModeBothWays(one, other, mode)
	return strings.Join(one, " "), func() { w.fleet.relay.SetModeBothWays(one, other, relay.Open) }
}

// failingMode returns a way in which the store fails.
func failingMode(r *rand.Rand) storeMode {
	return []storeMode{storeBusy, storeLimited, storeResets, storeSilent}[r.IntN(4)]
}

// storeFaults act on the platform's store.
var storeFaults = []fault{
	{name: "store down", run: func(w *world, r *rand.Rand) (string, func()) {
		mode := failingMode(r)
		w.store.set(func() { w.store.modes[""] = mode })
		lapsed := w.services.live(func(*upstream) bool { return r.IntN(4) == 0 })
		for _, u := range lapsed {
			w.store.remove("servers/" + u.id)
		}
		return "", func() {
			w.store.set(func() { delete(w.store.modes, "") })
			// Upstreams whose entries lapsed register again within two seconds.
			for _, u := range lapsed {
				time.AfterFunc(time.Duration(r.IntN(1500))*time.Millisecond, func() { w.services.renew(u) })
			}
		}
	}},
	{name: "store refuses some", run: func(w *world, r *rand.Rand) (string, func()) {
		mode := failingMode(r)
		names := w.subset(r)
		w.store.set(func() {
			for _, n := range names {
				w.store.modes[n] = mode
			}
		})
		return strings.Join(names, " "), func() {
			w.store.set(func() {
				for _, n := range names {
					delete(w.store.modes, n)
				}
			})
		}
	}},
	{name: "store slow", run: func(w *world, r *rand.Rand) (string, func()) {
		w.store.set(func() { w.store.delay = time.Duration(50+r.IntN(300)) * time.Millisecond })
		return "", func() { w.store.set(func() { w.store.delay = 0 }) }
	}},
	{name: "store loses answers", run: func(w *world, r *rand.Rand) (string, func()) {
		w.store.set(func() { w.store.lose = 0.4 })
		return "", func() { w.store.set(func() { w.store.lose = 0 }) }
	}},
	{name: "store forgets", run: func(w *world, r *rand.Rand) (string, func()) {
		w.store.forget()
		return "", nothing
	}},
	{name: "address reused while the store is down", run: func(w *world, r *rand.Rand) (string, func()) {
		w.store.set(func() { w.store.modes[""] = storeSilent })
		u := w.services.any(r)
		w.services.crash(u, 0)
		w.running.Go(func() {
			if w.wait(reuseTime) {
				_, _ = w.services.startUpstream("q", u.zone, u.address, u.work)
			}
		})
		return u.id, func() { w.store.set(func() { delete(w.store.modes, "") }) }
	}},
	{name: "forged entry", run: func(w *world, r *rand.Rand) (string, func()) {
		w.store.putText("servers/forged", []string{"not json", `{"service":"p","address":7}`, `{"service":"p","address":"127.0.0.1:9","zone":"z1","slots":1,"state":"new","cold_left_ms":0,"sequence":1}`}[r.IntN(3)])
		return "", nothing
	}},
}

// upstreamFaults act on upstreams and callers.
var upstreamFaults = []fault{
	{name: "upstream crash", servers: true, run: func(w *world, r *rand.Rand) (string, func()) {
		u := w.services.any(r)
		w.services.crash(u, time.Duration(500+r.IntN(2500))*time.Millisecond)
		return u.id, nothing
	}},
	{name: "shard lost", servers: true, run: func(w *world, r *rand.Rand) (string, func()) {
		name := firstShards[r.IntN(len(firstShards))]
		for _, u := range w.services.live(func(u *upstream) bool { return u.service == name }) {
			w.services.crash(u, 1500*time.Millisecond)
		}
		return name, nothing
	}},
	behave("upstream slow", func(b *behaviour, r *rand.Rand) { b.slow = 4 + 10*r.Float64() }),
	behave("upstream errors", func(b *behaviour, r *rand.Rand) { b.errors = 0.2 + 0.6*r.Float64() }),
	behave("upstream sheds", func(b *behaviour, r *rand.Rand) { b.sheds = 0.2 + 0.6*r.Float64() }),
	behave("upstream mute", func(b *behaviour, r *rand.Rand) { b.mutes = 0.2 + 0.8*r.Float64() }),
	behave("answers lost", func(b *behaviour, r *rand.Rand) { b.loses = 0.3 }),
	behave("answers cut", func(b *behaviour, r *rand.Rand) { b.cuts = 0.3 }),
	behave("extra answers", func(b *behaviour, r *rand.Rand) { b.adds = 0.4 }),
	behave("idle connections closed", func(b *behaviour, r *rand.Rand) { b.closesIdle = true }),
	{name: "upstream link", servers: true, run: func(w *world, r *rand.Rand) (string, func()) {
		ids := []string{w.services.any(r).id, w.services.any(r).id}
		from := []string{gatewayNode}
		switch r.IntN(3) {
		case 0:
			w.fleet.relay.SetModeBothWays(from, ids, relay.Silent)
		case 1:
			w.fleet.relay.SetMode(ids, from, relay.Silent)
		default:
			w.fleet.relay.SetModeBothWays(from, ids, relay.Broken)
		}
		return strings.Join(ids, " "), func() { w.fleet.relay.SetModeBothWays(from, ids, relay.Open) }
	}},
	{name: "callers leave", servers: true, run: func(w *world, r *rand.Rand) (string, func()) {
		w.leave.Store(25)
		return "", func() { w.leave.Store(1) }
	}},
	{name: "callers leave silent upstreams", servers: true, run: func(w *world, r *rand.Rand) (string, func()) {
		w.leave.Store(50)
		silent := w.services.live(func(u *upstream) bool { return u.service == "p" })
		for _, u := range silent {
			u.set(behaviour{mutes: 1})
		}
		return "p", func() {
			w.leave.Store(1)
			for _, u := range silent {
				u.set(behaviour{})
			}
		}
	}},
	{name: "burst", servers: true, run: func(w *world, r *rand.Rand) (string, func()) {
		before := w.rate.Load()
		w.rate.Store(before * 3)
		return "", func() { w.rate.Store(before) }
	}},
	{name: "crashing request", servers: true, run: func(w *world, r *rand.Rand) (string, func()) {
		w.running.Go(func() { w.sendPoison(r.Uint64()) })
		return "", nothing
	}},
}

// behave changes how some upstreams treat requests for a time.
func behave(name string, change func(*behaviour, *rand.Rand)) fault {
	return fault{name: name, servers: true, run: func(w *world, r *rand.Rand) (string, func()) {
		var ids []string
		var changed []*upstream
		for range 1 + r.IntN(4) {
			u := w.services.any(r)
			var b behaviour
			change(&b, r)
			u.set(b)
			changed, ids = append(changed, u), append(ids, u.id)
		}
		return strings.Join(ids, " "), func() {
			for _, u := range changed {
				u.set(behaviour{})
			}
		}
	}}
}

// plannedWork is what operators do; it may cut no request.
var plannedWork = []fault{
	{name: "terminate", planned: true, run: func(w *world, r *rand.Rand) (string, func()) {
		g := w.gateway(r)
		w.running.Go(func() {
			from := time.Now()
			err := g.terminate()
			w.ledger.checkStop(g.name, err, from)
		})
		return g.name, nothing
	}},
	{name: "reload signal", planned: true, run: func(w *world, r *rand.Rand) (string, func()) {
		w.gateway(r).current().Signal(syscall.SIGHUP)
		return "", nothing
	}},
	{name: "drain", planned: true, run: func(w *world, r *rand.Rand) (string, func()) {
		u := w.services.any(r)
		reuse := ""
		if r.IntN(2) == 0 {
			reuse = "q"
		}
		_, _ = w.services.startUpstream(u.service, u.zone, "", u.work)
		w.services.drain(u, reuse)
		return u.id, nothing
	}},
	{name: "unlisted", planned: true, run: func(w *world, r *rand.Rand) (string, func()) {
		u := w.services.any(r)
		_, _ = w.services.startUpstream(u.service, u.zone, "", u.work)
		w.services.unlist(u)
		return u.id, nothing
	}},
	{name: "scale out", planned: true, run: func(w *world, r *rand.Rand) (string, func()) {
		u := w.services.any(r)
		_, _ = w.services.startUpstream(u.service, u.zone, "", u.work)
		return u.service, nothing
	}},
	{name: "route moved", planned: true, run: func(w *world, r *rand.Rand) (string, func()) {
		w.services.configure(func(routes map[string]routeSpec) {
			spec := routes["/record/"]
			spec.service = [][]string{{"p"}, {"q"}, {"p", "q"}}[r.IntN(3)]
			routes["/record/"] = spec
		})
		return "", nothing
	}},
	{name: "route added or removed", planned: true, run: func(w *world, r *rand.Rand) (string, func()) {
		prefix := []string{"/extra0/", "/extra1/", "/extra2/"}[r.IntN(3)]
		w.services.configure(func(routes map[string]routeSpec) {
			if _, there := routes[prefix]; there {
				delete(routes, prefix)
			} else {
				routes[prefix] = routeSpec{Prefix: prefix, service: []string{"q"}, target: 300 * time.Millisecond}
			}
		})
		return prefix, nothing
	}},
	{name: "configuration storm", planned: true, run: func(w *world, r *rand.Rand) (string, func()) {
		for range 8 {
			w.services.configure(func(routes map[string]routeSpec) {
				spec := routes["/record/"]
				spec.service = [][]string{{"p"}, {"q"}}[r.IntN(2)]
				routes["/record/"] = spec
			})
			time.Sleep(50 * time.Millisecond)
		}
		return "", nothing
	}},
	{name: "reshard", planned: true, run: func(w *world, r *rand.Rand) (string, func()) {
		for _, name := range secondShards {
			if len(w.services.live(func(u *upstream) bool { return u.service == name })) == 0 {
				_ = w.services.startService(name, shardWork)
			}
		}
		w.running.Go(func() {
			if !w.wait(time.Second) {
				return
			}
			w.services.configure(func(routes map[string]routeSpec) {
				spec := routes["/search/"]
				if spec.shards[0] == firstShards[0] {
					spec.shards = secondShards
				} else {
					spec.shards = firstShards
				}
				routes["/search/"] = spec
			})
		})
		return "", nothing
	}},
}

// renew registers an upstream again if it lives.
func (s *services) renew(u *upstream) {
	u.mu.Lock()
	stopped := u.stopped
	u.mu.Unlock()
	s.ledger.mu.Lock()
	_, leaving := s.ledger.withdrawn[u.id]
	s.ledger.mu.Unlock()
	if !stopped && !leaving {
		s.register(u, "ready")
	}
}

// wait reports whether the run still goes on after a time.
func (w *world) wait(d time.Duration) bool {
	select {
	case <-w.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// start carries out a fault and ends it after a time.
func (w *world) start(f fault, r *rand.Rand, duration time.Duration) {
	from := time.Now()
	target, undo := f.run(w, r)
	w.ledger.mu.Lock()
	w.ledger.faults[f.name]++
	w.ledger.mu.Unlock()
	until := from.Add(duration)
	if f.planned {
		until = from.Add(stopGrace + time.Second)
	}
	w.ledger.disturb(interval{from: from, to: until, servers: f.servers, planned: f.planned, target: target})
	w.running.Go(func() {
		w.wait(duration)
		undo()
	})
}

// sendPoison sends a request that crashes each upstream that runs it, again and
// again, as its caller does.
func (w *world) sendPoison(seed uint64) {
	c := &caller{ledger: w.ledger, fleet: w.fleet, services: w.services, number: int(seed % 1000), random: rand.New(rand.NewPCG(seed, 1))}
	for range 20 {
		if !w.wait(350 * time.Millisecond) {
			return
		}
		c.poison(seed)
	}
}
