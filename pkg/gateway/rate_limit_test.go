package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

const (
	// The platform's rule: from limitGrace after an upstream first named its limit, it
	// gets in no limitWindow more than limitTolerance times the limit and limitSlack
	// requests from the instances that had its answer limitNotice before.
	limitGrace     = 4 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	limitNotice    = 500 * time.Millisecond
)

// limitScenario has instances that send requests to upstreams, some of which name a rate
// limit for a time.
type limitScenario struct {
	*fakeFleet
	t      *testing.T
	random *rand.Rand
	// work is how long an upstream takes for a request.
	work time.Duration

	state sync.Mutex
	// limits holds the limit that each upstream names now, and namedAt when it first did.
	limits  map[string]float64
	namedAt map[string]time.Time
	// told holds when each instance first had an answer of an upstream with a limit.
	told map[string]map[string]time.Time
	// arrivals holds the times of the requests to each upstream that count for the rule.
	arrivals map[string][]time.Time
	// answers counts the answers by code.
	answers map[result.Code]int
	slowest time.Duration
	wg      sync.WaitGroup
}

func newLimitScenario(t *testing.T, ff *fakeFleet, seed uint64, r routing.Route, services, perService int) *limitScenario {
	s := &limitScenario{
		fakeFleet: ff, t: t, random: rand.New(rand.NewPCG(seed, 0)), work: 8 * time.Millisecond,
		limits: make(map[string]float64), namedAt: make(map[string]time.Time), told: make(map[string]map[string]time.Time),
		arrivals: make(map[string][]time.Time), answers: make(map[result.Code]int),
	}
	ff.configure(1, r)
	for i := range services {
		for k := range perService {
			ff.addUpstream(directory.Upstream{ID: fmt.Sprintf("u%d-%d", i, k), Service: fmt.Sprint("s", i)})
		}
	}
	ff.answerTo = s.run
	return s
}

// run is the upstreams' answer function.
func (s *limitScenario) run(_ context.Context, instance string, c Call) Reply {
	id := c.Upstream.ID
	s.state.Lock()
	now := time.Now()
	if named, ok := s.namedAt[id]; ok && now.After(named.Add(limitGrace)) {
		if told, ok := s.told[id][instance]; ok && now.After(told.Add(limitNotice)) {
			s.arrivals[id] = append(s.arrivals[id], now)
		}
	}
	s.state.Unlock()
	time.Sleep(s.work)
	s.state.Lock()
	defer s.state.Unlock()
	reply := successReply(c, "0123456789abcdef")
	if reply.RateLimit = s.limits[id]; reply.RateLimit > 0 {
		if _, ok := s.told[id][instance]; !ok {
			s.told[id][instance] = time.Now()
		}
	}
	return reply
}

// name makes an upstream name a limit, or none if it is zero.
func (s *limitScenario) name(id string, limit float64) {
	s.state.Lock()
	defer s.state.Unlock()
	s.limits[id] = limit
	if limit > 0 {
		s.namedAt[id], s.told[id] = time.Now(), make(map[string]time.Time)
	} else {
		delete(s.namedAt, id)
	}
}

// send sends requests to random instances at the given rate for the given time. weights
// holds the relative rate of each instance; nil means equal rates.
func (s *limitScenario) send(instances []*Gateway, target string, perSecond float64, d time.Duration, weights []int) {
	var order []int
	for i := range instances {
		n := 1
		if weights != nil {
			n = weights[i]
		}
		for range n {
			order = append(order, i)
		}
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
		g := instances[order[s.random.IntN(len(order))]]
		s.wg.Go(func() {
			r := request(target)
			a := g.Serve(s.t.Context(), r)
			s.state.Lock()
			defer s.state.Unlock()
			s.answers[a.Code]++
			if a.RetryAfter > 0 {
				s.slowest = max(s.slowest, time.Since(r.Arrived))
			}
		})
	}
	s.wg.Wait()
}

// check fails the test if an upstream got more requests in a window than allowed.
func (s *limitScenario) check(limits map[string]float64) {
	s.t.Helper()
	s.state.Lock()
	defer s.state.Unlock()
	for id, limit := range limits {
		most, arrivals := 0, s.arrivals[id]
		for from, to := 0, 0; to < len(arrivals); to++ {
			for arrivals[to].Sub(arrivals[from]) > limitWindow {
				from++
			}
			most = max(most, to-from+1)
		}
		allowed := limitTolerance*limit*limitWindow.Seconds() + limitSlack
		s.t.Logf("%s: limit %.1f, at most %d requests in a window, %.0f allowed, %d in all, answers %v", id, limit, most, allowed, len(arrivals), s.answers)
		must.LessEq(s.t, int(allowed), most)
	}
}

// TestRateLimitIsShared guards against instances that together send an upstream more
// requests than the limit that it named, because each of them knows only its own.
func TestRateLimitIsShared(t *testing.T) {
	for name, c := range map[string]struct {
		instances, upstreams, limited int
		rate, limit                   float64
		query, uneven                 bool
	}{
		"two of three replicas":            {instances: 8, upstreams: 3, limited: 2, rate: 180, limit: 32, query: true},
		"all replicas":                     {instances: 8, upstreams: 3, limited: 3, rate: 180, limit: 32, query: true},
		"one service":                      {instances: 9, upstreams: 6, limited: 4, rate: 100, limit: 8},
		"uneven load":                      {instances: 8, upstreams: 3, limited: 3, rate: 180, limit: 40, query: true, uneven: true},
		"more instances than requests":     {instances: 40, upstreams: 3, limited: 3, rate: 60, limit: 2.5},
		"limit below one request a second": {instances: 12, upstreams: 2, limited: 2, rate: 20, limit: 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, ff *fakeFleet) {
				r := route("/x/", "s0", true)
				if c.query {
					r = gatherRoute(3, "s0", "s1", "s2")
					r.Prefix = "/x/"
				}
				s := newLimitScenario(t, ff, 1, r, 3, c.upstreams)
				var instances []*Gateway
				var weights []int
				for i := range c.instances {
					instances = append(instances, ff.start(i, 3))
					weights = append(weights, 1+7*(i%2))
				}
				if !c.uneven {
					weights = nil
				}
				time.Sleep(10 * time.Second)
				s.send(instances, "/x/1", c.rate, 2*time.Second, weights)
				limits := make(map[string]float64)
				for i := range c.limited {
					id := fmt.Sprint("u0-", i)
					limits[id] = c.limit
					s.name(id, c.limit)
				}
				s.send(instances, "/x/1", c.rate, 30*time.Second, weights)
				s.check(limits)
			})
		})
	}
}

// TestRateLimitEnds guards against an upstream that gets too few requests after it has
// ended its limit.
func TestRateLimitEnds(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		s := newLimitScenario(t, ff, 1, route("/x/", "s0", true), 1, 1)
		instances := []*Gateway{ff.start(0, 2), ff.start(1, 2)}
		time.Sleep(propagationTime)
		s.name("u0-0", 10)
		s.send(instances, "/x/1", 50, 10*time.Second, nil)
		s.name("u0-0", 0)
		s.send(instances, "/x/1", 50, 2*time.Second, nil)
		clear(s.answers)
		s.send(instances, "/x/1", 50, 4*time.Second, nil)
		must.MapLen(t, 1, s.answers)
		must.Positive(t, s.answers[result.OK])
	})
}

// TestLimitedRequestIsRefusedAtOnce guards against a request that waits, runs on some of
// its shards only or is reported as possibly run, although the limits of its upstreams
// are used up, and against a caller that is told to return too early.
func TestLimitedRequestIsRefusedAtOnce(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		r := gatherRoute(3, "s0", "s1", "s2")
		r.Gather.MinShare = 1
		s := newLimitScenario(t, ff, 1, r, 3, 1)
		g := ff.start(0, 1)
		time.Sleep(propagationTime)
		s.name("u0-0", 2)
		must.Eq(t, result.OK, g.Serve(t.Context(), request("/q/1")).Code)
		sent := func() (n int) {
			ff.withLock(func() { n = ff.attempts })
			return n
		}
		refused := 0
		for range 20 {
			before, r := sent(), request("/q/1")
			a := g.Serve(t.Context(), r)
			if a.Code == result.OK {
				continue
			}
			refused++
			must.Eq(t, result.UpstreamRateLimited, a.Code)
			must.Eq(t, "not_run", a.Ran.String())
			must.Eq(t, before, sent())
			must.Eq(t, 0, time.Since(r.Arrived))
			must.Between(t, 400*time.Millisecond, a.RetryAfter, 600*time.Millisecond)
			time.Sleep(a.RetryAfter)
			must.Eq(t, result.OK, g.Serve(t.Context(), request("/q/1")).Code)
		}
		must.Positive(t, refused)
	})
}
