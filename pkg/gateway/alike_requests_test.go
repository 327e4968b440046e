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
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

const (
	// crashDowntime is how long a crashed upstream is away before another one takes its
	// place.
	crashDowntime = 4500 * time.Millisecond
	// popularTarget is the target of the requests that many callers send alike.
	popularTarget = "/x/popular"
)

// alikeScenario sends the same request from many callers to all instances of a fleet,
// while upstreams crash for reasons that have nothing to do with it.
type alikeScenario struct {
	*fakeFleet
	t         *testing.T
	random    *rand.Rand
	instances int
	// silent makes crashed upstreams fall silent. Otherwise their connections break and
	// new ones are refused.
	silent bool
	// crashesFrom, if set, is when requests for crashingTarget begin to crash upstreams.
	crashesFrom time.Time
	// crashingService, if set, is the only service whose upstreams crash.
	crashingService string
	// downtime returns how long a crashed upstream is away before another one takes its
	// place.
	downtime func() time.Duration
	// lapse returns how long the entry of a crashed upstream stays in the registry.
	lapse func() time.Duration
	// maxQueueTime is how long a request for crashingTarget waits at most before an
	// upstream begins to run it.
	maxQueueTime time.Duration
	// resetShare is the fraction of the requests whose connection an upstream resets
	// although it runs on.
	resetShare float64

	// running holds a channel for each upstream that runs, which is closed when it crashes.
	running map[string]chan struct{}
	starts  int64
	callers sync.WaitGroup
	stop    chan struct{}
	// crashes holds the time of each crash that a request caused, and lateRetries counts
	// the attempts that reached an upstream later than stableWindow after the third one.
	// lateRequests holds the ids of the requests that were sent later than
	// platformStableWindow after it and reached an upstream, and sentAt when each was sent.
	crashes      []time.Time
	lateRetries  int
	lateRequests map[string]bool
	sentAt       map[string]time.Time
}

func newAlikeScenario(t *testing.T, ff *fakeFleet, seed uint64, instances, upstreams int, r routing.Route) *alikeScenario {
	s := &alikeScenario{fakeFleet: ff, t: t, random: rand.New(rand.NewPCG(seed, 0)), instances: instances, running: make(map[string]chan struct{}), stop: make(chan struct{}), lateRequests: make(map[string]bool), sentAt: make(map[string]time.Time)}
	s.downtime = func() time.Duration { return crashDowntime }
	s.lapse = func() time.Duration { return lapseTime }
	ff.configure(1, r)
	ff.answer = s.answerOrEnd
	services := []string{"s"}
	if r.Gather != nil {
		services = r.Gather.Services
	}
	for _, service := range services {
		for range upstreams {
			s.startUpstream(service)
		}
	}
	for i := range instances {
		ff.start(i, min(3, instances))
	}
	time.Sleep(propagationTime)
	return s
}

func (s *alikeScenario) startUpstream(service string) {
	var u directory.Upstream
	s.withLock(func() {
		s.starts++
		u = directory.Upstream{ID: fmt.Sprint(service, s.starts), Service: service, Started: s.starts}
		s.running[u.ID] = make(chan struct{})
	})
	s.addUpstream(u)
}

// answerOrEnd is the upstreams' answer function.
func (s *alikeScenario) answerOrEnd(ctx context.Context, c Call) Reply {
	var ended chan struct{}
	var work, queued time.Duration
	var reset bool
	s.withLock(func() {
		ended = s.running[c.Upstream.ID]
		work = time.Duration((0.5 + s.random.ExpFloat64()) * float64(50*time.Millisecond))
		if s.maxQueueTime > 0 {
			queued = time.Duration(s.random.Int64N(int64(s.maxQueueTime)))
		}
		reset = s.resetShare > 0 && s.random.Float64() < s.resetShare
	})
	if ended == nil && s.silent {
		return waitForEnd(ctx, c)
	}
	if ended == nil {
		return Reply{Status: fanout.NotSent, UpstreamOutcome: balancer.Unreachable}
	}
	if reset {
		return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.ConnectionLost, ConnectionBroken: true}
	}
	go func() {
		if isCrashing(c) {
			time.Sleep(queued)
		}
		if s.isRunning(c.Upstream.ID) && s.crashesUpstream(c) {
			s.crash(c.Upstream.ID)
		}
	}()
	var deadline <-chan time.Time
	if s.maxQueueTime > 0 {
		deadline = time.After(time.Until(c.Deadline))
	}
	if isCrashing(c) {
		work += queued
	}
	select {
	case <-deadline:
		return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.TimedOut}
	case <-ended:
		if s.silent {
			return waitForEnd(ctx, c)
		}
		return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.ConnectionLost, ConnectionBroken: true}
	case <-ctx.Done():
		return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Cancelled}
	case <-time.After(work):
		return successReply(c, "0123456789abcdef")
	}
}

func isCrashing(c Call) bool { return strings.HasPrefix(c.Request.Target, crashingTarget) }

func (s *alikeScenario) isRunning(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id] != nil
}

// crashesUpstream reports whether a request crashes the upstream that begins to run it, and
// counts it then.
func (s *alikeScenario) crashesUpstream(c Call) bool {
	now := time.Now()
	if !isCrashing(c) || s.crashingService != "" && s.crashingService != c.Upstream.Service || s.crashesFrom.IsZero() || now.Before(s.crashesFrom) {
		return false
	}
	s.withLock(func() {
		s.crashes = append(s.crashes, now)
		if len(s.crashes) > crashesBeforeCheck && now.Sub(s.crashes[crashesBeforeCheck-1]) > stableWindow {
			s.lateRetries++
		}
		if sent, ok := s.sentAt[c.Request.ID]; ok && len(s.crashes) > crashesBeforeCheck && sent.Sub(s.crashes[crashesBeforeCheck-1]) > platformStableWindow {
			s.lateRequests[c.Request.ID] = true
		}
	})
	return true
}

// crash ends an upstream. Another one takes its place after s.downtime.
func (s *alikeScenario) crash(id string) {
	s.withLock(func() {
		if s.running[id] == nil {
			return
		}
		close(s.running[id])
		delete(s.running, id)
		s.crashed[id+":1"], s.crashedSilently = true, s.silent
		time.AfterFunc(s.lapse(), func() { s.unlist(id) })
		time.AfterFunc(s.downtime(), func() { s.startUpstream(strings.TrimRight(id, "0123456789")) })
	})
}

// crashSome ends n upstreams of the service at the same time.
func (s *alikeScenario) crashSome(service string, n int) {
	var ids []string
	s.withLock(func() {
		for id := range s.running {
			if strings.TrimRight(id, "0123456789") == service && len(ids) < n {
				ids = append(ids, id)
			}
		}
	})
	for _, id := range ids {
		s.crash(id)
	}
}

// send sends requests for the target, one each interval, to random instances until s.stop
// is closed.
func (s *alikeScenario) send(target string, interval time.Duration) {
	s.callers.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(interval):
			}
			var g *Gateway
			s.withLock(func() { g = s.gateways[instanceAddress(s.random.IntN(s.instances))] })
			if g != nil {
				s.callers.Go(func() { g.Serve(s.t.Context(), request(target)) })
			}
		}
	})
}

// checkServed stops the callers and fails the test unless all instances serve the target.
func (s *alikeScenario) checkServed(target string) {
	s.t.Helper()
	close(s.stop)
	s.callers.Wait()
	for n := range s.instances {
		must.Eq(s.t, result.OK, s.gateways[instanceAddress(n)].Serve(s.t.Context(), request(target)).Code, must.Sprint("instance ", n))
	}
}

// TestAlikeRequestsOutliveCrashes guards against refusing a request that many callers send
// alike because upstreams crashed for other reasons while they ran it: nothing that was
// answered in between counted (review case 2).
func TestAlikeRequestsOutliveCrashes(t *testing.T) {
	toOne, query := route("/x/", "s", true), gatherRoute(3, "s", "r")
	query.Prefix = "/x/"
	// together crashes n upstreams of the service "s" at the same time, rounds times.
	type crashes struct{ together, rounds int }
	for name, c := range map[string]struct {
		route               routing.Route
		instances           int
		interval            time.Duration
		crashes             crashes
		silent              bool
		restarted, cutAlone bool
	}{
		"one after the other":          {route: toOne, instances: 3, interval: 10 * time.Millisecond, crashes: crashes{1, 4}},
		"one after the other, silent":  {route: toOne, instances: 3, interval: 10 * time.Millisecond, crashes: crashes{1, 4}, silent: true},
		"two at once":                  {route: toOne, instances: 3, interval: 10 * time.Millisecond, crashes: crashes{2, 3}},
		"all at once":                  {route: toOne, instances: 3, interval: 10 * time.Millisecond, crashes: crashes{4, 3}},
		"all at once, silent":          {route: toOne, instances: 3, interval: 10 * time.Millisecond, crashes: crashes{4, 3}, silent: true},
		"many instances":               {route: toOne, instances: 30, interval: 20 * time.Millisecond, crashes: crashes{4, 3}},
		"query, one after the other":   {route: query, instances: 3, interval: 10 * time.Millisecond, crashes: crashes{1, 4}},
		"query, all of a shard":        {route: query, instances: 3, interval: 10 * time.Millisecond, crashes: crashes{4, 3}},
		"instance restarted meanwhile": {route: toOne, instances: 5, interval: 10 * time.Millisecond, crashes: crashes{1, 4}, restarted: true},
		"instance cut off meanwhile":   {route: toOne, instances: 5, interval: 10 * time.Millisecond, crashes: crashes{1, 4}, cutAlone: true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) {
					s := newAlikeScenario(t, ff, seed, c.instances, 4, c.route)
					s.silent = c.silent
					s.send(popularTarget, c.interval)
					time.Sleep(3 * time.Second)
					for round := range c.crashes.rounds {
						if c.cutAlone {
							s.withLock(func() { s.cut[instanceAddress(1)] = round%2 == 0 })
						}
						s.crashSome("s", c.crashes.together)
						time.Sleep(6 * time.Second)
						if c.restarted {
							n := instanceAddress(round)
							s.gateways[n].Stop()
							s.withLock(func() { delete(s.gateways, n) })
							s.start(round, 3)
						}
					}
					s.withLock(func() { clear(s.cut) })
					time.Sleep(2 * crashDowntime)
					s.checkServed(popularTarget)
				})
			})
		}
	}
}

// TestCrashingRequestBesideAlikeRequests guards against the opposite error: a request that
// crashes each upstream that begins to run it stays in use because ordinary requests, or
// the same request before, are answered. Ordinary requests must not be refused with it.
func TestCrashingRequestBesideAlikeRequests(t *testing.T) {
	for name, c := range map[string]struct {
		silent bool
		// answeredFor is how long the request is answered before it begins to crash
		// upstreams.
		answeredFor time.Duration
	}{
		"from the start":              {},
		"from the start, silent":      {silent: true},
		"after it was answered":       {answeredFor: 10 * time.Second},
		"after it was answered, once": {answeredFor: 400 * time.Millisecond},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) {
					s := newAlikeScenario(t, ff, seed, 9, 8, route("/x/", "s", true))
					s.silent = c.silent
					s.crashesFrom = time.Now().Add(c.answeredFor)
					s.send(popularTarget, 10*time.Millisecond)
					s.send(crashingTarget, 400*time.Millisecond)
					time.Sleep(c.answeredFor + 40*time.Second)
					s.withLock(func() {
						t.Logf("%d crashes, %d late retries", len(s.crashes), s.lateRetries)
						must.LessEq(t, toleratedRetries, s.lateRetries)
					})
					s.checkServed(popularTarget)
				})
			})
		}
	}
}

// TestCrashesProvedLate guards against counting crashes against a request that was answered
// after them, because the registry shows crashes seconds later. Crashes without an answer
// in between must count, unless they came together and the request was answered before.
func TestCrashesProvedLate(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		s := newAlikeScenario(t, ff, 1, 1, 3, route("/x/", "s", true))
		g := s.gateways[instanceAddress(0)]
		serve := func() result.Code { return g.Serve(t.Context(), request(popularTarget)).Code }
		record := func(sentAt time.Time, upstreams ...string) {
			for _, id := range upstreams {
				crash := quarantine.Crash{Fingerprint: request(popularTarget).fingerprint(), Service: "s", Upstream: id}
				g.recordCrash(time.Now(), quarantine.Suspect{Crash: crash, SentAt: sentAt}, proofRemoved)
			}
		}
		sentAt := time.Now()
		must.Eq(t, result.OK, serve())
		record(sentAt, "a", "b")
		time.Sleep(time.Minute)
		record(sentAt, "c", "d")
		must.Eq(t, 0, g.quarantine.set.Len())
		must.Eq(t, result.OK, serve())
		// Unneeded hedges end.
		time.Sleep(time.Second)

		record(time.Now(), "e", "f")
		must.False(t, g.quarantined(time.Now(), request(popularTarget).fingerprint(), false))
		time.Sleep(3 * time.Second)
		record(time.Now(), "g")
		must.Eq(t, result.Quarantined, serve())
	})
}

// TestOneCrashIsCountedOnce guards against refusing a request after a single crash, because
// one instance saw its connection break and another one only that its attempt timed out,
// which the registry explains seconds later.
func TestOneCrashIsCountedOnce(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		ff.addUpstream(directory.Upstream{ID: "u", Service: "s", Started: 1})
		gateways := startInstances(ff, 2)
		ff.withLock(func() {
			ff.answerTo = func(ctx context.Context, instance string, c Call) Reply {
				if instance == instanceAddress(0) {
					return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.ConnectionLost, ConnectionBroken: true}
				}
				return waitForEnd(ctx, c)
			}
			ff.crashed["u:1"] = true
		})
		var callers sync.WaitGroup
		for _, g := range gateways {
			callers.Go(func() { g.Serve(t.Context(), request("/x/1")) })
		}
		callers.Wait()
		time.Sleep(lapseTime)
		ff.unlist("u")
		time.Sleep(stableWindow)
		ff.withLock(func() {
			ff.answerTo = func(_ context.Context, _ string, c Call) Reply { return successReply(c, "") }
		})
		ff.addUpstream(directory.Upstream{ID: "v", Service: "s", Started: 2})
		time.Sleep(propagationTime)
		for _, g := range gateways {
			must.Eq(t, result.OK, g.Serve(t.Context(), request("/x/1")).Code)
		}
	})
}
