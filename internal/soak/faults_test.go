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

// fault is a kind of fault or of planned work. start begins it on targets that it
// chooses, and returns their names and a function that ends it.
type fault struct {
	name string
	// upstreamsOnly is true for faults of upstreams and callers. planned is true for
	// planned work, during which no request may lose its answer.
	upstreamsOnly, planned bool
	start                  func(h *harness, r *rand.Rand) (target string, undo func())
}

// harness holds the parts of a run that faults act on.
type harness struct {
	ledger   *ledger
	store    *store
	fleet    *fleet
	services *services
	// callerRate is the request rate of each caller, in thousandths of a request a
	// second, and abandonPercent the percentage of requests whose caller closes the
	// connection before the answer.
	callerRate, abandonPercent atomic.Int64
	running                    sync.WaitGroup
	stop                       chan struct{}
}

func (h *harness) randomGateway(r *rand.Rand) *gatewayProcess {
	return h.fleet.gateways[r.IntN(len(h.fleet.gateways))]
}

// noUndo is the undo function of faults that leave nothing to undo.
func noUndo() {}

// gatewayFaults kill, suspend or stop gateway processes.
var gatewayFaults = []fault{
	{name: "kill", start: func(h *harness, r *rand.Rand) (string, func()) {
		g := h.randomGateway(r)
		g.currentProcess().Kill()
		return g.name, noUndo
	}},
	{name: "kill most", start: func(h *harness, r *rand.Rand) (string, func()) {
		for _, g := range h.fleet.gateways {
			if r.IntN(5) > 0 {
				go g.currentProcess().Kill()
			}
		}
		return "", noUndo
	}},
	{name: "pause", start: func(h *harness, r *rand.Rand) (string, func()) {
		p := h.randomGateway(r).currentProcess()
		p.Pause()
		return "", p.Resume
	}},
	{name: "terminate and kill", start: func(h *harness, r *rand.Rand) (string, func()) {
		g := h.randomGateway(r)
		p := g.currentProcess()
		p.Signal(syscall.SIGTERM)
		return g.name, p.Kill
	}},
}

// linkFaults cut, reset or delay the connections of gateway processes.
var linkFaults = []fault{
	{name: "store cut", start: func(h *harness, r *rand.Rand) (string, func()) {
		return h.partition(h.randomGateways(r), []string{storeNode}, r)
	}},
	{name: "partition", start: func(h *harness, r *rand.Rand) (string, func()) {
		oneSide := h.randomGateways(r)
		return h.partition(oneSide, h.otherGateways(oneSide), r)
	}},
	{name: "peers one way", start: func(h *harness, r *rand.Rand) (string, func()) {
		oneSide := h.randomGateways(r)
		otherSide := h.otherGateways(oneSide)
		h.fleet.relay.SetMode(oneSide, otherSide, relay.Silent)
		return strings.Join(oneSide, " "), func() { h.fleet.relay.SetMode(oneSide, otherSide, relay.Open) }
	}},
	{name: "store one way", start: func(h *harness, r *rand.Rand) (string, func()) {
		oneSide, otherSide := h.randomGateways(r), []string{storeNode}
		h.fleet.relay.SetMode(otherSide, oneSide, relay.Silent)
		return strings.Join(oneSide, " "), func() { h.fleet.relay.SetMode(otherSide, oneSide, relay.Open) }
	}},
	{name: "connections reset", start: func(h *harness, r *rand.Rand) (string, func()) {
		oneSide := h.randomGateways(r)
		h.fleet.relay.ResetConnections(oneSide, append(h.fleet.gatewayNames(), storeNode, callersNode))
		return strings.Join(oneSide, " "), noUndo
	}},
	{name: "links delayed", start: func(h *harness, r *rand.Rand) (string, func()) {
		oneSide, otherSide := h.randomGateways(r), append(h.fleet.gatewayNames(), storeNode)
		h.fleet.relay.SetDelay(oneSide, otherSide, time.Duration(20+r.IntN(200))*time.Millisecond)
		return strings.Join(oneSide, " "), func() { h.fleet.relay.SetDelay(oneSide, otherSide, 0) }
	}},
}

// randomGateways returns the names of one or more gateways, at most half of them.
func (h *harness) randomGateways(r *rand.Rand) []string {
	names := h.fleet.gatewayNames()
	r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:1+r.IntN(max(1, len(names)/2))]
}

// otherGateways returns the names of the gateways that are not among the given ones.
func (h *harness) otherGateways(names []string) []string {
	return slices.DeleteFunc(h.fleet.gatewayNames(), func(n string) bool { return slices.Contains(names, n) })
}

// partition cuts all links between the two sides in both directions, either silently
// or with resets.
func (h *harness) partition(oneSide, otherSide []string, r *rand.Rand) (string, func()) {
	mode := []relay.Mode{relay.Silent, relay.Broken}[r.IntN(2)]
	h.fleet.relay.SetModeBothWays(oneSide, otherSide, mode)
	return strings.Join(oneSide, " "), func() { h.fleet.relay.SetModeBothWays(oneSide, otherSide, relay.Open) }
}

// randomFailureMode returns a random mode in which the store fails.
func randomFailureMode(r *rand.Rand) storeMode {
	return []storeMode{storeBusy, storeLimited, storeResets, storeSilent}[r.IntN(4)]
}

// storeFaults act on the stand-in for the platform's store and on its entries.
var storeFaults = []fault{
	{name: "store down", start: func(h *harness, r *rand.Rand) (string, func()) {
		mode := randomFailureMode(r)
		h.store.update(func() { h.store.modes[""] = mode })
		lapsed := h.services.runningUpstreams(func(*upstream) bool { return r.IntN(4) == 0 })
		for _, u := range lapsed {
			h.store.remove("servers/" + u.id)
		}
		return "", func() {
			h.store.update(func() { delete(h.store.modes, "") })
			// Upstreams whose entries lapsed register again within two seconds.
			for _, u := range lapsed {
				time.AfterFunc(time.Duration(r.IntN(1500))*time.Millisecond, func() { h.services.registerAgain(u) })
			}
		}
	}},
	{name: "store refuses some", start: func(h *harness, r *rand.Rand) (string, func()) {
		mode := randomFailureMode(r)
		names := h.randomGateways(r)
		h.store.update(func() {
			for _, n := range names {
				h.store.modes[n] = mode
			}
		})
		return strings.Join(names, " "), func() {
			h.store.update(func() {
				for _, n := range names {
					delete(h.store.modes, n)
				}
			})
		}
	}},
	{name: "store slow", start: func(h *harness, r *rand.Rand) (string, func()) {
		h.store.update(func() { h.store.delay = time.Duration(50+r.IntN(300)) * time.Millisecond })
		return "", func() { h.store.update(func() { h.store.delay = 0 }) }
	}},
	{name: "store loses answers", start: func(h *harness, r *rand.Rand) (string, func()) {
		h.store.update(func() { h.store.loseShare = 0.4 })
		return "", func() { h.store.update(func() { h.store.loseShare = 0 }) }
	}},
	{name: "store forgets", start: func(h *harness, r *rand.Rand) (string, func()) {
		h.store.dropHistory()
		return "", noUndo
	}},
	{name: "address reused while the store is down", start: func(h *harness, r *rand.Rand) (string, func()) {
		h.store.update(func() { h.store.modes[""] = storeSilent })
		u := h.services.any(r)
		h.services.crash(u, 0)
		h.running.Go(func() {
			if h.waitUnlessStopped(addressReuseDelay) {
				_, _ = h.services.startUpstream("q", u.dataCentre, u.address, u.meanWork)
			}
		})
		return u.id, func() { h.store.update(func() { delete(h.store.modes, "") }) }
	}},
	{name: "forged entry", start: func(h *harness, r *rand.Rand) (string, func()) {
		h.store.putText("servers/forged", []string{"not json", `{"service":"p","address":7}`, `{"service":"p","address":"127.0.0.1:9","zone":"z1","slots":1,"state":"new","cold_left_ms":0,"sequence":1}`}[r.IntN(3)])
		return "", noUndo
	}},
}

// upstreamFaults act on upstreams and callers.
var upstreamFaults = []fault{
	{name: "upstream crash", upstreamsOnly: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		u := h.services.any(r)
		h.services.crash(u, time.Duration(500+r.IntN(2500))*time.Millisecond)
		return u.id, noUndo
	}},
	{name: "shard lost", upstreamsOnly: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		name := firstShards[r.IntN(len(firstShards))]
		for _, u := range h.services.runningUpstreams(func(u *upstream) bool { return u.service == name }) {
			h.services.crash(u, 1500*time.Millisecond)
		}
		return name, noUndo
	}},
	behaviourFault("upstream slow", func(b *behaviour, r *rand.Rand) { b.slowdown = 4 + 10*r.Float64() }),
	behaviourFault("upstream errors", func(b *behaviour, r *rand.Rand) { b.errorShare = 0.2 + 0.6*r.Float64() }),
	behaviourFault("upstream sheds", func(b *behaviour, r *rand.Rand) { b.shedShare = 0.2 + 0.6*r.Float64() }),
	behaviourFault("upstream mute", func(b *behaviour, r *rand.Rand) { b.silentShare = 0.2 + 0.8*r.Float64() }),
	behaviourFault("answers lost", func(b *behaviour, r *rand.Rand) { b.loseShare = 0.3 }),
	behaviourFault("answers cut", func(b *behaviour, r *rand.Rand) { b.cutShare = 0.3 }),
	behaviourFault("extra answers", func(b *behaviour, r *rand.Rand) { b.extraShare = 0.4 }),
	behaviourFault("idle connections closed", func(b *behaviour, r *rand.Rand) { b.closesIdle = true }),
	{name: "upstream link", upstreamsOnly: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		ids := []string{h.services.any(r).id, h.services.any(r).id}
		from := []string{gatewayNode}
		switch r.IntN(3) {
		case 0:
			h.fleet.relay.SetModeBothWays(from, ids, relay.Silent)
		case 1:
			h.fleet.relay.SetMode(ids, from, relay.Silent)
		default:
			h.fleet.relay.SetModeBothWays(from, ids, relay.Broken)
		}
		return strings.Join(ids, " "), func() { h.fleet.relay.SetModeBothWays(from, ids, relay.Open) }
	}},
	{name: "callers leave", upstreamsOnly: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		h.abandonPercent.Store(25)
		return "", func() { h.abandonPercent.Store(1) }
	}},
	{name: "callers leave silent upstreams", upstreamsOnly: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		h.abandonPercent.Store(50)
		silent := h.services.runningUpstreams(func(u *upstream) bool { return u.service == "p" })
		for _, u := range silent {
			u.setBehaviour(behaviour{silentShare: 1})
		}
		return "p", func() {
			h.abandonPercent.Store(1)
			for _, u := range silent {
				u.setBehaviour(behaviour{})
			}
		}
	}},
	{name: "burst", upstreamsOnly: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		before := h.callerRate.Load()
		h.callerRate.Store(before * 3)
		return "", func() { h.callerRate.Store(before) }
	}},
	{name: "crashing request", upstreamsOnly: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		seed, silent := r.Uint64(), r.IntN(2) == 0
		h.running.Go(func() { h.sendCrashingRequests(seed, silent) })
		return "", noUndo
	}},
}

// behaviourFault returns a fault that changes the behaviour of up to four random
// upstreams.
func behaviourFault(name string, change func(*behaviour, *rand.Rand)) fault {
	return fault{name: name, upstreamsOnly: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		var ids []string
		var changed []*upstream
		for range 1 + r.IntN(4) {
			u := h.services.any(r)
			var b behaviour
			change(&b, r)
			u.setBehaviour(b)
			changed, ids = append(changed, u), append(ids, u.id)
		}
		return strings.Join(ids, " "), func() {
			for _, u := range changed {
				u.setBehaviour(behaviour{})
			}
		}
	}}
}

// terminate begins a planned stop of a gateway, and returns the gateway's name.
func (h *harness) terminate(g *gatewayProcess) string {
	h.running.Go(func() {
		from := time.Now()
		err := g.terminate()
		h.ledger.checkStop(g.name, err, from)
	})
	return g.name
}

// plannedWork holds planned changes by operators, during which no request may lose
// its answer.
var plannedWork = []fault{
	{name: "terminate", planned: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		return h.terminate(h.randomGateway(r)), noUndo
	}},
	{name: "reload signal", planned: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		h.randomGateway(r).currentProcess().Signal(syscall.SIGHUP)
		return "", noUndo
	}},
	{name: "drain", planned: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		u := h.services.any(r)
		nextService := ""
		if r.IntN(2) == 0 {
			nextService = "q"
		}
		_, _ = h.services.startUpstream(u.service, u.dataCentre, "", u.meanWork)
		h.services.drain(u, nextService)
		return u.id, noUndo
	}},
	{name: "unlisted", planned: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		u := h.services.any(r)
		_, _ = h.services.startUpstream(u.service, u.dataCentre, "", u.meanWork)
		h.services.removeEntry(u)
		return u.id, noUndo
	}},
	{name: "scale out", planned: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		u := h.services.any(r)
		_, _ = h.services.startUpstream(u.service, u.dataCentre, "", u.meanWork)
		return u.service, noUndo
	}},
	{name: "route moved", planned: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		h.services.configure(func(routes map[string]routeSpec) {
			spec := routes["/record/"]
			spec.service = [][]string{{"p"}, {"q"}, {"p", "q"}}[r.IntN(3)]
			routes["/record/"] = spec
		})
		return "", noUndo
	}},
	{name: "route added or removed", planned: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		prefix := []string{"/extra0/", "/extra1/", "/extra2/"}[r.IntN(3)]
		h.services.configure(func(routes map[string]routeSpec) {
			if _, configured := routes[prefix]; configured {
				delete(routes, prefix)
			} else {
				routes[prefix] = routeSpec{Prefix: prefix, service: []string{"q"}, latencyTarget: 300 * time.Millisecond}
			}
		})
		return prefix, noUndo
	}},
	{name: "configuration storm", planned: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		for range 8 {
			h.services.configure(func(routes map[string]routeSpec) {
				spec := routes["/record/"]
				spec.service = [][]string{{"p"}, {"q"}}[r.IntN(2)]
				routes["/record/"] = spec
			})
			time.Sleep(50 * time.Millisecond)
		}
		return "", noUndo
	}},
	{name: "reshard", planned: true, start: func(h *harness, r *rand.Rand) (string, func()) {
		for _, name := range secondShards {
			if len(h.services.runningUpstreams(func(u *upstream) bool { return u.service == name })) == 0 {
				_ = h.services.startService(name, shardWork)
			}
		}
		h.running.Go(func() {
			if !h.waitUnlessStopped(time.Second) {
				return
			}
			h.services.configure(func(routes map[string]routeSpec) {
				spec := routes["/search/"]
				if spec.shards[0] == firstShards[0] {
					spec.shards = secondShards
				} else {
					spec.shards = firstShards
				}
				routes["/search/"] = spec
			})
		})
		return "", noUndo
	}},
}

// registerAgain registers an upstream again unless it was stopped or withdrawn.
func (s *services) registerAgain(u *upstream) {
	u.mu.Lock()
	stopped := u.stopped
	u.mu.Unlock()
	s.ledger.mu.Lock()
	_, leaving := s.ledger.withdrawn[u.id]
	s.ledger.mu.Unlock()
	if !stopped && !leaving {
		s.register(u, stateReady)
	}
}

// waitUnlessStopped waits for d and reports true. If the run ends before, it returns
// false at once.
func (h *harness) waitUnlessStopped(d time.Duration) bool {
	select {
	case <-h.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// startFault starts a fault, records it in the ledger, and ends it after the given
// duration or at the end of the run. The ledger records planned work as lasting for
// stopGrace and one more second.
func (h *harness) startFault(f fault, r *rand.Rand, duration time.Duration) {
	from := time.Now()
	target, undo := f.start(h, r)
	h.countFault(f.name)
	until := from.Add(duration)
	if f.planned {
		until = from.Add(stopGrace + time.Second)
	}
	h.ledger.addFaultInterval(interval{from: from, to: until, upstreamsOnly: f.upstreamsOnly, planned: f.planned, target: target})
	h.running.Go(func() {
		h.waitUnlessStopped(duration)
		undo()
	})
}

func (h *harness) countFault(name string) {
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	h.ledger.faultTotals[name]++
}

// answerInvalidStatuses makes upstreams answer with invalid statuses until the run ends.
func (h *harness) answerInvalidStatuses(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	f := behaviourFault("invalid status", func(b *behaviour, r *rand.Rand) { b.statusShare = 0.1 + 0.4*r.Float64() })
	for h.waitUnlessStopped(time.Second + time.Duration(r.Int64N(int64(3*time.Second)))) {
		h.startFault(f, r, 500*time.Millisecond+time.Duration(r.Int64N(int64(1500*time.Millisecond))))
	}
}

// crashBesideAlike makes an upstream crash while it runs a request that many callers send
// alike, which is not the cause.
var crashBesideAlike = fault{name: "crash beside alike requests", upstreamsOnly: true, start: func(h *harness, _ *rand.Rand) (string, func()) {
	h.services.crashWithAlike.Store(true)
	return "any", noUndo
}}

// crashUpstreamsBesideAlike crashes one upstream after another until the run ends.
func (h *harness) crashUpstreamsBesideAlike(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	for h.waitUnlessStopped(2*time.Second + time.Duration(r.Int64N(int64(3*time.Second)))) {
		h.startFault(crashBesideAlike, r, time.Second)
	}
}

// sendCrashingQueries sends the same query over shards, which crashes all upstreams that run
// it, until the run ends, and ordinary queries over these shards by turns.
func (h *harness) sendCrashingQueries(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	silent := r.IntN(2) == 0
	c := &caller{ledger: h.ledger, fleet: h.fleet, services: h.services, index: int(seed % 1000), random: r}
	for n := 0; h.waitUnlessStopped(50*time.Millisecond + time.Duration(r.Int64N(int64(300*time.Millisecond)))); n++ {
		c.sendRiskyQuery(seed, n%2 == 0, silent)
	}
}

// sendCrashingRequests sends the same request, which crashes each upstream that runs
// it, until the run ends, like a caller that retries. If silent is true, the connections
// of the crashed upstreams fall silent instead of breaking.
func (h *harness) sendCrashingRequests(seed uint64, silent bool) {
	r := rand.New(rand.NewPCG(seed, 1))
	c := &caller{ledger: h.ledger, fleet: h.fleet, services: h.services, index: int(seed % 1000), random: r}
	for h.waitUnlessStopped(200*time.Millisecond + time.Duration(r.Int64N(int64(600*time.Millisecond)))) {
		c.sendCrashingRequest(seed, silent)
	}
}
