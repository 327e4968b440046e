package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

const (
	// crashingTarget is the target of a request that crashes each upstream that runs it.
	crashingTarget = "/x/crash"
	// stableWindow is how long after a disturbance an instance counts as disturbed.
	stableWindow = 5 * time.Second
	// crashesBeforeCheck and toleratedRetries are the platform's rule: later than
	// stableWindow after the third crash, undisturbed instances may send three retries
	// of the request to upstreams.
	crashesBeforeCheck = 3
	toleratedRetries   = 3
	// lapseTime is how long the entry of a crashed upstream stays in the registry.
	lapseTime = 3600 * time.Millisecond
)

// crashEnd is the way in which the connections of a crashed upstream end.
type crashEnd int

const (
	// connectionsBreak: open connections break, and new ones are refused.
	connectionsBreak crashEnd = iota
	// connectionsHang: open and new connections are silent.
	connectionsHang
)

// crashScenario sends a request that crashes upstreams to random instances of a fleet,
// while some of the instances are disturbed, and counts the retries that reach upstreams.
type crashScenario struct {
	*fakeFleet
	t         *testing.T
	random    *rand.Rand
	instances int
	end       crashEnd
	downtime  time.Duration
	// newID makes a crashed upstream come back under another id, after its entry was
	// removed.
	newID bool
	// patience is how long callers wait for an answer; zero means until their timeout.
	patience time.Duration
	// queryStrings is true if the request has another query string each time.
	queryStrings bool

	// disturbedAt holds when the instance was last killed, started, cut or reconnected.
	disturbedAt map[int]time.Time
	starts      int64
	sent        int
	// crashes holds the time of each crash, and retries the ids of the requests that
	// reached upstreams from undisturbed instances later than stableWindow after the
	// third crash.
	crashes []time.Time
	retries map[string]bool
}

// newCrashScenario starts the instances and the upstreams of a service for idempotent
// requests.
func newCrashScenario(t *testing.T, ff *fakeFleet, seed uint64, instances, upstreams int) *crashScenario {
	return newCrashScenarioWith(t, ff, seed, instances, upstreams, route("/x/", "s", true))
}

// newCrashScenarioWith starts the instances and the upstreams of the service "s", and
// publishes the given route.
func newCrashScenarioWith(t *testing.T, ff *fakeFleet, seed uint64, instances, upstreams int, r routing.Route) *crashScenario {
	s := &crashScenario{
		fakeFleet: ff, t: t, random: rand.New(rand.NewPCG(seed, 0)), instances: instances, downtime: 2 * time.Second,
		disturbedAt: make(map[int]time.Time), retries: make(map[string]bool),
	}
	ff.configure(1, r)
	for i := range upstreams {
		ff.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", Started: 1})
	}
	ff.answer = s.answerOrCrash
	for i := range instances {
		ff.start(i, min(3, instances))
	}
	time.Sleep(4 * stableWindow)
	return s
}

// answerOrCrash is the upstreams' answer function.
func (s *crashScenario) answerOrCrash(ctx context.Context, c Call) Reply {
	if !strings.HasPrefix(c.Request.Target, crashingTarget) {
		return successReply(c, "")
	}
	s.mu.Lock()
	down := s.crashed[c.Upstream.Address]
	if !down {
		s.recordArrival(c)
		s.crashed[c.Upstream.Address] = true
		time.AfterFunc(s.downtime, func() { s.restartUpstream(c.Upstream) })
		if s.newID {
			time.AfterFunc(lapseTime, func() { s.unlist(c.Upstream.ID) })
		}
	}
	s.mu.Unlock()
	switch {
	case s.end == connectionsHang:
		select {
		case <-ctx.Done():
			return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Cancelled}
		case <-time.After(time.Until(c.Deadline)):
			return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.TimedOut}
		}
	case down:
		return Reply{Status: fanout.NotSent, UpstreamOutcome: balancer.Unreachable}
	default:
		return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.ConnectionLost, ConnectionBroken: true}
	}
}

// recordArrival counts the crash and, if it comes late, the retry. s.mu must be locked.
func (s *crashScenario) recordArrival(c Call) {
	now := time.Now()
	var from int
	_, err := fmt.Sscanf(c.Request.ID, "from %d", &from)
	must.NoError(s.t, err)
	s.crashes = append(s.crashes, now)
	if len(s.crashes) > crashesBeforeCheck && now.Sub(s.crashes[crashesBeforeCheck-1]) > stableWindow && now.Sub(s.disturbedAt[from]) > stableWindow {
		s.retries[c.Request.ID] = true
	}
}

// restartUpstream starts a crashed upstream again, under its id or under a new one.
func (s *crashScenario) restartUpstream(u directory.Upstream) {
	s.withLock(func() {
		s.starts++
		u.Started = 1 + s.starts
		if s.newID {
			u.ID = fmt.Sprint("new", s.starts)
			return
		}
		delete(s.crashed, u.Address)
	})
	s.addUpstream(u)
}

// sendFor sends the crashing request to random instances for the given time.
func (s *crashScenario) sendFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.sendFrom(s.random.IntN(s.instances))
		time.Sleep(200*time.Millisecond + time.Duration(s.random.Int64N(int64(600*time.Millisecond))))
	}
}

// sendFrom sends the crashing request to instance n if it is running.
func (s *crashScenario) sendFrom(n int) {
	target := crashingTarget
	if s.queryStrings {
		target = fmt.Sprint(target, "?page=", s.random.IntN(1000))
	}
	s.sendTargetFrom(n, target)
}

// sendTargetFrom sends a request for the target to instance n if it is running.
func (s *crashScenario) sendTargetFrom(n int, target string) {
	var g *Gateway
	s.withLock(func() { g = s.gateways[instanceAddress(n)] })
	if g == nil {
		return
	}
	s.sent++
	r := request(target)
	r.ID = fmt.Sprintf("from %d: %d", n, s.sent)
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	if s.patience > 0 {
		defer time.AfterFunc(s.patience, cancel).Stop()
	}
	g.Serve(ctx, r)
}

// kill stops an instance without notice.
func (s *crashScenario) kill(n int) {
	var g *Gateway
	s.withLock(func() {
		g = s.gateways[instanceAddress(n)]
		delete(s.gateways, instanceAddress(n))
		s.disturbedAt[n] = time.Now()
	})
	g.Stop()
}

func (s *crashScenario) restart(n int) {
	s.start(n, min(3, s.instances))
	s.withLock(func() { s.disturbedAt[n] = time.Now() })
}

// setCut cuts an instance off from all other instances, or reconnects it.
func (s *crashScenario) setCut(n int, cut bool) {
	s.withLock(func() {
		s.cut[instanceAddress(n)] = cut
		s.disturbedAt[n] = time.Now()
	})
}

// check fails the test if too many retries reached upstreams.
func (s *crashScenario) check() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("%d sent, %d crashes, %d late retries", s.sent, len(s.crashes), len(s.retries))
	must.LessEq(s.t, toleratedRetries, len(s.retries))
}

// TestCrashingRequestAfterRestarts guards against a restarted instance that sends a
// request to upstreams although the others refuse it: instances announced such a request
// only once.
func TestCrashingRequestAfterRestarts(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulate(t, func(t *testing.T, ff *fakeFleet) {
				s := newCrashScenario(t, ff, seed, 9, 6)
				s.sendFor(4 * time.Second)
				for n := range s.instances {
					s.kill(n)
					s.sendFor(time.Second)
					s.restart(n)
					s.sendFor(6 * time.Second)
				}
				s.check()
			})
		})
	}
}

// TestCrashingRequestAfterCut guards against an instance that sends a request to upstreams
// although the others refuse it, because it was cut off from them when they announced it.
func TestCrashingRequestAfterCut(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulate(t, func(t *testing.T, ff *fakeFleet) {
				const cutOff = 4
				s := newCrashScenario(t, ff, seed, 9, 6)
				for n := range cutOff {
					s.setCut(n, true)
				}
				for n := cutOff; n < s.instances; n++ {
					s.sendFrom(n)
					time.Sleep(time.Second)
				}
				time.Sleep(time.Duration(s.random.Int64N(int64(time.Minute))))
				for n := range cutOff {
					s.setCut(n, false)
				}
				time.Sleep(stableWindow)
				before := len(s.crashes)
				for n := range cutOff {
					s.sendFrom(n)
				}
				must.Eq(t, before, len(s.crashes), must.Sprint("crashes after the cut"))
			})
		})
	}
}

// TestManyCrashingRequestsAfterRestarts guards against a restarted instance that learns
// only some of the refused requests, because they do not fit into one datagram.
func TestManyCrashingRequestsAfterRestarts(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		s := newCrashScenario(t, ff, 1, 9, 6)
		const requests = 12
		sendAll := func() {
			for i := range requests {
				for n := range 3 {
					s.sendTargetFrom(n, fmt.Sprint(crashingTarget, i))
					time.Sleep(2500 * time.Millisecond)
				}
			}
		}
		sendAll()
		before := len(s.crashes)
		for n := range s.instances {
			s.kill(n)
			s.restart(n)
			time.Sleep(2 * stableWindow)
		}
		sendAll()
		must.Eq(t, before, len(s.crashes), must.Sprint("crashes after the restarts"))
	})
}

// TestCrashingRequestIsRecognised guards against a request that crashes one upstream after
// another without being recognised, because the connections of the crashed upstreams fall
// silent and do not break, or because the upstreams are back at once.
func TestCrashingRequestIsRecognised(t *testing.T) {
	for name, c := range map[string]struct {
		end      crashEnd
		downtime time.Duration
		newID    bool
		patience time.Duration
		// queryStrings is true if the request has another query string each time.
		queryStrings bool
	}{
		"silent":                   {end: connectionsHang, downtime: 2 * time.Second},
		"silent for long":          {end: connectionsHang, downtime: 6 * time.Second},
		"restarted at once":        {end: connectionsBreak, downtime: 10 * time.Millisecond},
		"restarted while silent":   {end: connectionsHang, downtime: 300 * time.Millisecond},
		"refused for some seconds": {end: connectionsBreak, downtime: 3 * time.Second},
		"silent, then replaced":    {end: connectionsHang, downtime: 4500 * time.Millisecond, newID: true},
		"refused, then replaced":   {end: connectionsBreak, downtime: 4500 * time.Millisecond, newID: true},
		"silent, callers leave":    {end: connectionsHang, downtime: 2 * time.Second, patience: 300 * time.Millisecond},
		"other query strings":      {end: connectionsBreak, downtime: 3 * time.Second, queryStrings: true},
		"callers leave, replaced":  {end: connectionsHang, downtime: 4500 * time.Millisecond, newID: true, patience: 300 * time.Millisecond},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) {
					s := newCrashScenario(t, ff, seed, 9, 6)
					s.end, s.crashedSilently, s.downtime = c.end, c.end == connectionsHang, c.downtime
					s.newID, s.patience, s.queryStrings = c.newID, c.patience, c.queryStrings
					s.sendFor(40 * time.Second)
					s.check()
				})
			})
		}
	}
}

// TestCrashingRequestInCalm guards against a request that crashes one upstream after
// another because its caller sends it through different instances at the same time.
func TestCrashingRequestInCalm(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulate(t, func(t *testing.T, ff *fakeFleet) {
				s := newCrashScenario(t, ff, seed, 9, 6)
				s.sendFor(40 * time.Second)
				s.check()
			})
		})
	}
}

// TestDelegatedCrashingRequest guards against an instance that runs a query itself after
// other instances, which know that the query crashes upstreams, have refused to run it.
func TestDelegatedCrashingRequest(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		small, large, calls := startSmallAndLarge(ff)
		// The instances still delegate to each other, but the announcement is lost.
		ff.withLock(func() { ff.maxDatagramBytes = 1 })
		large.quarantine.Lock()
		large.quarantine.set.Add(time.Now(), quarantine.Entry{Fingerprint: request("/q/1").fingerprint(), Until: time.Now().Add(time.Minute)})
		large.quarantine.Unlock()
		a := small.Serve(t.Context(), request("/q/1"))
		must.Eq(t, 1, ff.delegatedQueries())
		must.Eq(t, 0, calls())
		must.Eq(t, result.Quarantined, a.Code)
		must.Eq(t, model.NotRun, a.Ran)
	})
}

// TestCrashesDetectedApart guards against crashes that are lost because two instances
// detected them without knowing of each other.
func TestCrashesDetectedApart(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		s := newCrashScenario(t, ff, 1, 3, 8)
		s.setCut(0, true)
		s.sendFrom(0)
		s.sendFrom(1)
		time.Sleep(propagationTime)
		s.setCut(0, false)
		time.Sleep(stableWindow)
		before := len(s.crashes)
		for n := range s.instances {
			s.sendFrom(n)
		}
		must.Eq(t, before, len(s.crashes))
	})
}

// TestCrashingRequestsOfOtherKinds guards against a request that must not run twice, or a
// query over shards, that crashes one upstream after another because it is recognised in
// another way than an idempotent request to one service.
func TestCrashingRequestsOfOtherKinds(t *testing.T) {
	query := gatherRoute(3, "s")
	query.Prefix = "/x/"
	for name, c := range map[string]struct {
		route routing.Route
		end   crashEnd
	}{
		"runs once, breaks": {route("/x/", "s", false), connectionsBreak},
		"runs once, hangs":  {route("/x/", "s", false), connectionsHang},
		"query, breaks":     {query, connectionsBreak},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) {
					s := newCrashScenarioWith(t, ff, seed, 9, 6, c.route)
					s.end, s.crashedSilently = c.end, c.end == connectionsHang
					s.sendFor(40 * time.Second)
					s.check()
				})
			})
		}
	}
}

// TestSilentUpstreamsAreNoProof guards against refusing a request because upstreams that
// crashed for another reason did not answer it.
func TestSilentUpstreamsAreNoProof(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		for i := range 4 {
			ff.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", Started: 1})
		}
		silent := map[string]bool{}
		ff.answer = func(ctx context.Context, c Call) Reply {
			var hangs bool
			ff.withLock(func() { hangs = silent[c.Upstream.ID] })
			if !hangs {
				time.Sleep(5 * time.Millisecond)
				return successReply(c, "")
			}
			<-ctx.Done()
			return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Cancelled}
		}
		g := ff.start(0, 1)
		time.Sleep(propagationTime)
		for round := range 4 {
			u := directory.Upstream{ID: fmt.Sprint("u", round), Service: "s", Started: 2}
			ff.withLock(func() { silent[u.ID] = true })
			for range 100 {
				must.NotEq(t, result.Quarantined, g.Serve(t.Context(), request("/x/1")).Code)
				time.Sleep(20 * time.Millisecond)
			}
			ff.withLock(func() { silent[u.ID] = false })
			ff.addUpstream(u)
		}
		time.Sleep(propagationTime)
		must.Eq(t, result.OK, g.Serve(t.Context(), request("/x/1")).Code)
	})
}

// TestCrashingRequestOfManyAttempts guards against a request to one service that goes on to
// crash upstreams, because its first run crashed three of them and left one record.
func TestCrashingRequestOfManyAttempts(t *testing.T) {
	for _, attempts := range []int{2, 3, 4} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(attempts, " attempts, seed ", seed), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) {
					r := route("/x/", "s", true)
					r.MaxAttempts = attempts
					s := newCrashScenarioWith(t, ff, seed, 9, 40, r)
					s.sendFrom(0)
					time.Sleep(2 * stableWindow)
					var callers sync.WaitGroup
					for n := range s.instances {
						g := s.gateways[instanceAddress(n)]
						callers.Go(func() {
							r := request(crashingTarget)
							r.ID = fmt.Sprintf("from %d: burst", n)
							g.Serve(t.Context(), r)
						})
						time.Sleep(30 * time.Millisecond)
					}
					callers.Wait()
					s.check()
				})
			})
		}
	}
}
