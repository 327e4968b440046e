package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// platformStableWindow is stable_window_ms of the platform.
	platformStableWindow = 4 * time.Second
	// queryShards and upstreamsPerShard are the size of the index that the queries of a
	// queryCrashScenario search.
	queryShards       = 10
	upstreamsPerShard = 3
	// upstreamReportInterval is how often an upstream reports to the registry.
	upstreamReportInterval = 1200 * time.Millisecond
	// refusedAfterCrash is how long after the last crash ordinary queries may be refused:
	// the entry of the upstream lapses within 3.6 s, the check of its health takes 0.5 s,
	// the decision on a trial 2 s, the next trial 1 s and the spread of news 2 s.
	refusedAfterCrash = 9100 * time.Millisecond
	// burstSize requests are sent alike within burstTime.
	burstSize = 6
	burstTime = 260 * time.Millisecond
)

// queryCrashScenario sends a query over many shards that crashes the upstreams of all of
// them, in bursts to random instances, and ordinary queries beside it.
type queryCrashScenario struct {
	*alikeScenario
	sent int
	// queryStrings is true if the crashing query has another query string each time.
	queryStrings bool
	// restartedAt holds when each instance was last restarted.
	restartedAt map[int]time.Time
	// failed holds the targets of the ordinary queries that were not answered. refused
	// counts the refusals of ordinary queries that the crashing query caused, by code, and
	// lastRefused is the time of the last one.
	failed      []string
	refused     map[result.Code]int
	lastRefused time.Time
}

func newQueryCrashScenario(t *testing.T, ff *fakeFleet, seed uint64, instances int) *queryCrashScenario {
	var services []string
	for i := range queryShards {
		// Upstreams are named by their service and a number.
		services = append(services, "s"+string(rune('a'+i)))
	}
	r := gatherRoute(3, services...)
	r.Prefix = "/x/"
	s := &queryCrashScenario{alikeScenario: newAlikeScenario(t, ff, seed, instances, upstreamsPerShard, r), refused: make(map[result.Code]int), restartedAt: make(map[int]time.Time)}
	s.maxQueueTime = 60 * time.Millisecond
	s.downtime = func() time.Duration {
		return 3*time.Second + time.Duration(s.random.Int64N(int64(1500*time.Millisecond)))
	}
	return s
}

// lapseAtRandom makes entries lapse after three missed reports, one each
// upstreamReportInterval, that began at a random time. Otherwise they lapse as late as
// possible.
func (s *queryCrashScenario) lapseAtRandom() {
	s.lapse = func() time.Duration {
		return lapseTime - time.Duration(s.random.Int64N(int64(upstreamReportInterval)))
	}
}

// serve sends a query to a random instance and returns the code of the answer.
func (s *queryCrashScenario) serve(target string) result.Code {
	r := request(target)
	var g *Gateway
	s.withLock(func() {
		s.sent++
		r.ID = fmt.Sprint("request ", s.sent)
		n := s.random.IntN(s.instances)
		if r.Arrived.Sub(s.restartedAt[n]) > platformStableWindow {
			s.sentAt[r.ID] = r.Arrived
		}
		g = s.gateways[instanceAddress(n)]
	})
	return g.Serve(s.t.Context(), r).Code
}

// nextCrashingTarget returns the target of the crashing query, with another query string
// each time if queryStrings is set.
func (s *queryCrashScenario) nextCrashingTarget() string {
	if !s.queryStrings {
		return crashingTarget
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(crashingTarget, "?page=", s.random.IntN(1000))
}

// sendBursts sends the query for crashingTarget until the given time has passed.
func (s *queryCrashScenario) sendBursts(d time.Duration) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for end := time.Now().Add(d); time.Now().Before(end); {
		for range burstSize {
			var wait time.Duration
			s.withLock(func() { wait = time.Duration(s.random.Int64N(int64(burstTime))) })
			callers.Go(func() {
				time.Sleep(wait)
				s.serve(s.nextCrashingTarget())
			})
		}
		var pause time.Duration
		s.withLock(func() { pause = 400*time.Millisecond + time.Duration(s.random.Int64N(int64(1200*time.Millisecond))) })
		time.Sleep(burstTime + pause)
	}
}

// sendOrdinary sends an ordinary query at each interval until s.stop is closed: by turns
// one of its own and the same one for all. A query that is not answered is sent again
// once.
func (s *queryCrashScenario) sendOrdinary(interval time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(interval):
		}
		target := popularTarget
		if n%2 == 0 {
			target = fmt.Sprint("/x/", n)
		}
		s.callers.Go(func() {
			if s.serveOrdinary(target) {
				return
			}
			time.Sleep(100 * time.Millisecond)
			if !s.serveOrdinary(target) {
				s.withLock(func() { s.failed = append(s.failed, target) })
			}
		})
	}
}

// restartInstances restarts one instance after the other, one each interval, until s.stop
// is closed.
func (s *queryCrashScenario) restartInstances(interval time.Duration) {
	for n := 0; ; n = (n + 1) % s.instances {
		select {
		case <-s.stop:
			return
		case <-time.After(interval):
		}
		var g *Gateway
		s.withLock(func() { g = s.gateways[instanceAddress(n)] })
		g.Stop()
		s.start(n, 3)
		s.withLock(func() { s.restartedAt[n] = time.Now() })
	}
}

func (s *queryCrashScenario) serveOrdinary(target string) bool {
	code := s.serve(target)
	s.withLock(func() {
		if code == result.Quarantined || code == result.IsolationPending {
			s.refused[code]++
			s.lastRefused = time.Now()
		}
	})
	return code == result.OK || code == result.PartialAnswer
}

// crashingQueryCase says how a crashing query is sent, and how its upstreams end.
type crashingQueryCase struct {
	instances int
	silent    bool
	// alone is how long before the bursts the query is sent once.
	alone time.Duration
	// answeredFor is how long the query is answered before it begins to crash upstreams.
	answeredFor time.Duration
	resetShare  float64
	// queueTime replaces maxQueueTime of the scenario.
	queueTime time.Duration
	// queryStrings is true if the query has another query string each time.
	queryStrings bool
	// restartEach, if set, is how often an instance is restarted.
	restartEach time.Duration
	// lapseAtRandom is true if entries do not all lapse as late as possible.
	lapseAtRandom bool
	// oneShard is true if the query crashes the upstreams of one shard only.
	oneShard bool
}

// checkCrashingQuery sends a crashing query for 40 seconds, and fails the test if too many
// requests reach upstreams later than platformStableWindow after the third crash.
func checkCrashingQuery(t *testing.T, seed uint64, c crashingQueryCase) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		s := newQueryCrashScenario(t, ff, seed, c.instances)
		s.silent, s.resetShare = c.silent, c.resetShare
		s.queryStrings = c.queryStrings
		if c.lapseAtRandom {
			s.lapseAtRandom()
		}
		if c.queueTime > 0 {
			s.maxQueueTime = c.queueTime
		}
		if c.oneShard {
			s.crashingService = "sa"
		}
		s.callers.Go(func() { s.sendOrdinary(20 * time.Millisecond) })
		time.Sleep(3 * time.Second)
		s.sendBursts(c.answeredFor)
		s.withLock(func() { s.crashesFrom = time.Now() })
		if c.restartEach > 0 {
			s.callers.Go(func() { s.restartInstances(c.restartEach) })
		}
		if c.alone > 0 {
			s.serve(crashingTarget)
			time.Sleep(c.alone)
		}
		s.sendBursts(40 * time.Second)
		close(s.stop)
		s.callers.Wait()
		t.Logf("%d upstreams crashed, %d late requests reached upstreams", len(s.crashes), len(s.lateRequests))
		must.LessEq(t, toleratedRetries, len(s.lateRequests))
	})
}

// TestQueryThatCrashesAllShards guards against a query that goes on to crash the upstreams
// of all shards: a run left one record however many upstreams it had crashed, so that
// too little was known against the query when they were back.
func TestQueryThatCrashesAllShards(t *testing.T) {
	for name, c := range map[string]crashingQueryCase{
		"three instances":        {instances: 3},
		"nine instances":         {instances: 9},
		"connections reset, too": {instances: 9, resetShare: 0.1},
		"once, then bursts":      {instances: 9, alone: 5 * time.Second},
		"once, long before":      {instances: 30, alone: time.Minute},
		"after it was answered":  {instances: 9, answeredFor: 5 * time.Second},
		"one shard":              {instances: 9, oneShard: true},
		"restarts":               {instances: 9, restartEach: 3 * time.Second},
		"other query strings":    {instances: 9, queryStrings: true},
		"long queues":            {instances: 9, queueTime: 400 * time.Millisecond},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) { checkCrashingQuery(t, seed, c) })
		}
	}
}

// TestQueryThatSilencesAllShards guards against a query that goes on to crash the upstreams
// of all shards because their connections fall silent and do not break.
func TestQueryThatSilencesAllShards(t *testing.T) {
	for name, c := range map[string]crashingQueryCase{
		"bursts":                             {instances: 9, silent: true},
		"once, then bursts":                  {instances: 9, silent: true, alone: 10 * time.Second},
		"bursts, lapse at random":            {instances: 9, silent: true, lapseAtRandom: true},
		"once, then bursts, lapse at random": {instances: 9, silent: true, alone: 10 * time.Second, lapseAtRandom: true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) { checkCrashingQuery(t, seed, c) })
		}
	}
}

// runOrdinaryQueries sends ordinary queries while another one crashes the upstreams of all
// shards for 20 seconds, and fails the test if one is quarantined, or refused at the end.
func runOrdinaryQueries(t *testing.T, ff *fakeFleet, seed uint64, silent, lapseAtRandom bool) *queryCrashScenario {
	s := newQueryCrashScenario(t, ff, seed, 9)
	s.silent = silent
	if lapseAtRandom {
		s.lapseAtRandom()
	}
	s.crashesFrom = time.Now()
	s.callers.Go(func() { s.sendOrdinary(10 * time.Millisecond) })
	s.sendBursts(20 * time.Second)
	time.Sleep(2 * crashDowntime)
	close(s.stop)
	s.callers.Wait()
	t.Logf("%d ordinary queries failed, refused: %v until %v", len(s.failed), s.refused, s.lastRefused.Sub(s.crashesFrom))
	must.Eq(t, 0, s.refused[result.Quarantined])
	codes := make(map[result.Code]int)
	for _, target := range append(s.failed, popularTarget) {
		codes[s.serve(target)]++
	}
	t.Log("later: ", codes)
	must.Eq(t, 0, codes[result.Quarantined]+codes[result.IsolationPending])
	return s
}

// TestOrdinaryQueriesBesideCrashingQuery guards against refusing ordinary queries because
// they were in progress when another query crashed the upstreams of all shards. All
// upstreams are back after crashDowntime.
func TestOrdinaryQueriesBesideCrashingQuery(t *testing.T) {
	for name, silent := range map[string]bool{"breaks": false, "silent": true} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) {
					s := runOrdinaryQueries(t, ff, seed, silent, false)
					must.LessEq(t, crashDowntime+2*time.Second, s.lastRefused.Sub(s.crashesFrom))
				})
			})
		}
	}
}

// TestOrdinaryQueriesAreServedAfterCrashes guards against ordinary queries that stay refused
// for longer than the decisions on crashes take.
func TestOrdinaryQueriesAreServedAfterCrashes(t *testing.T) {
	for name, silent := range map[string]bool{"breaks": false, "silent": true} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) {
					s := runOrdinaryQueries(t, ff, seed, silent, true)
					must.LessEq(t, refusedAfterCrash, s.lastRefused.Sub(s.crashes[len(s.crashes)-1]))
				})
			})
		}
	}
}

// TestUnansweredQueryIsHeldBack guards against an instance that runs a query again although
// the registry has not shown yet whether the upstreams that did not answer it have crashed,
// and against one that goes on to refuse it after another instance got an answer.
func TestUnansweredQueryIsHeldBack(t *testing.T) {
	for name, answeredElsewhere := range map[string]bool{"not answered": false, "answered elsewhere": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, ff *fakeFleet) {
				ff.configure(1, gatherRoute(3, "s", "r"))
				ff.addUpstream(directory.Upstream{ID: "us", Service: "s", Started: 1})
				ff.addUpstream(directory.Upstream{ID: "ur", Service: "r", Started: 1})
				ff.answer = waitForEnd
				gateways := startInstances(ff, 2)
				g, other := gateways[0], gateways[1]
				g.Serve(t.Context(), request("/q/1"))
				time.Sleep(100 * time.Millisecond)
				attempts := func() (n int) {
					ff.withLock(func() { n = ff.attempts })
					return n
				}
				before := attempts()
				if answeredElsewhere {
					f := request("/q/1").fingerprint()
					crash := quarantine.Crash{Fingerprint: f, Service: "s", Upstream: "earlier"}
					other.recordCrash(time.Now(), quarantine.Suspect{Crash: crash, Query: true}, proofRefused)
					time.Sleep(propagationTime)
					other.disproveCrashes(time.Now(), f, "s")
					time.Sleep(propagationTime)
				}
				a := g.Serve(t.Context(), request("/q/1"))
				must.Eq(t, !answeredElsewhere, a.Code == result.IsolationPending)
				must.Eq(t, answeredElsewhere, attempts() > before)
			})
		})
	}
}
