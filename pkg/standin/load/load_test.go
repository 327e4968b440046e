package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// TestScheduleFollowsPhases guards against send times that differ between two runs
// with the same seed, and against a phase's rate that takes effect before the phase
// starts or after it ends.
func TestScheduleFollowsPhases(t *testing.T) {
	s := Stream{Name: "a", Rate: 100}
	phases := []Phase{
		{DurationMS: 10_000},
		{DurationMS: 10_000, Rates: map[string]float64{"a": 1000}},
		{DurationMS: 10_000, Rates: map[string]float64{"a": 0}},
		{DurationMS: 10_000},
	}
	collect := func() (times []time.Duration, counts [4]int) {
		for sch := newSchedule(7, s, phases); ; {
			sendTime, phase, ok := sch.next()
			if !ok {
				return times, counts
			}
			must.Eq(t, phase, int(sendTime/(10*time.Second)))
			times = append(times, sendTime)
			counts[phase]++
		}
	}
	times, counts := collect()
	again, _ := collect()
	must.Eq(t, times, again)
	// The tolerances are five standard deviations of a Poisson count.
	must.InDelta(t, 1000, float64(counts[0]), 160)
	must.InDelta(t, 10_000, float64(counts[1]), 500)
	must.Eq(t, 0, counts[2])
	must.InDelta(t, 1000, float64(counts[3]), 160)
}

// TestBalancerSeesLostInstanceAfterLag guards against a balancer that avoids a lost
// instance at once. It would hide failures that callers of a real balancer see.
func TestBalancerSeesLostInstanceAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Config{Instances: make([]Target, 2), Balancer: BalancerConfig{PollMS: 100, LagMS: 1000}})
		var down atomic.Bool
		b.targets[0].Operator = "a"
		b.probe = func(_ context.Context, operator string) bool { return operator != "a" || !down.Load() }
		ctx, cancel := context.WithCancel(t.Context())
		go b.run(ctx, func() {})
		synctest.Wait()
		countPicksOfFirst := func() (n int) {
			for range 10 {
				if i, _ := b.pick(-1); i == 0 {
					n++
				}
			}
			return n
		}
		must.Eq(t, 5, countPicksOfFirst())
		down.Store(true)
		time.Sleep(1050 * time.Millisecond)
		must.Eq(t, 5, countPicksOfFirst())
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 0, countPicksOfFirst())
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// TestGeneratorIsOpenLoop guards against a generator that waits for an answer before
// it sends the next request, which hides the queueing delay of a stalled system.
func TestGeneratorIsOpenLoop(t *testing.T) {
	var arrived atomic.Int64
	release := make(chan struct{})
	var once sync.Once
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ready" {
			return
		}
		if arrived.Add(1) == 20 {
			once.Do(func() { close(release) })
		}
		<-release
		_ = json.NewEncoder(w).Encode(Answer{Code: codeOK, CodeName: "ok", Ran: "ran"})
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	report, err := Run(t.Context(), Config{
		Seed:      1,
		Instances: []Target{{Caller: address, Operator: address}},
		Streams:   []Stream{{Name: "a", Rate: 200, DeadlineMS: 600_000}},
		Phases:    []Phase{{DurationMS: 500}},
	})
	must.NoError(t, err)
	s := report.Phases[0].Streams[0]
	must.GreaterEq(t, 20, s.Requests)
	must.Eq(t, s.Requests, s.Success)
	// The server answers nothing until the 20th request arrives. The first request
	// waits longest, for at least the time between these two sends, and this wait
	// must show in the latencies: the maximum is above the median.
	must.Greater(t, s.Latency.P50, s.Latency.Max)
	must.False(t, report.ExecutionsChecked)
}

// shardResult returns a result as a stand-in upstream produces it.
func shardResult(shard, snapshot, request string) ShardResult {
	value, _ := json.Marshal(upstreamResult{Shard: shard, Snapshot: snapshot, Request: request})
	return ShardResult{Shard: shard, Result: value}
}

// TestCheckerDetectsEachViolation guards against a check that misses a violation of its
// property, or that reports a correct answer as a violation.
func TestCheckerDetectsEachViolation(t *testing.T) {
	validAnswer := func() Answer {
		return Answer{
			Code: codeOK, Ran: "ran", Snapshot: "v1",
			Coverage: Coverage{Answered: 1, Total: 1},
			Results:  []ShardResult{shardResult("s", "v1", "me")},
		}
	}
	checkChangedAnswer := func(change func(*Answer)) func(*checker) {
		return func(c *checker) {
			a := validAnswer()
			change(&a)
			c.checkQuery("me", a)
		}
	}
	execution := func(request, key string) upstream.Execution {
		return upstream.Execution{Request: request, OrderKey: key}
	}
	checkExecutions := func(c *checker, all ...upstream.Execution) {
		for _, e := range all {
			c.countExecution(e)
		}
		c.compareWithExecutions()
	}
	cases := []struct {
		name, want string
		run        func(*checker)
	}{
		{"good", "", checkChangedAnswer(func(*Answer) {})},
		{"other caller's answer", checkOwnAnswer, checkChangedAnswer(func(a *Answer) { a.Results[0] = shardResult("s", "v1", "you") })},
		{"mixed snapshots", checkOneSnapshot, checkChangedAnswer(func(a *Answer) { a.Results[0] = shardResult("s", "v0", "me") })},
		{"missing result", checkCoverage, checkChangedAnswer(func(a *Answer) { a.Results = nil })},
		{"unlisted missing shard", checkCoverage, checkChangedAnswer(func(a *Answer) { a.Coverage.Total, a.Code = 2, codePartial })},
		{"unmarked partial", checkPartialMarked, checkChangedAnswer(func(a *Answer) {
			a.Coverage = Coverage{Answered: 1, Total: 2, Missing: []MissingShard{{Shard: "t"}}}
		})},
		{"not run but ran", checkNotRun, func(c *checker) {
			c.checkQuery("me", Answer{Code: 3000, Ran: "not_run"})
			checkExecutions(c, execution("me", ""))
		}},
		{"order twice", checkAtMostOnce, func(c *checker) { checkExecutions(c, execution("o", "o"), execution("o", "o")) }},
		{"order not run but ran", checkNotRun, func(c *checker) {
			c.recordOrder("o", OrderAnswer{Code: 3000, Ran: "not_run"})
			checkExecutions(c, execution("o", "o"))
		}},
		{"order lost", checkOrderRan, func(c *checker) {
			c.recordOrder("o", OrderAnswer{Code: 4000, Ran: "ran"})
			checkExecutions(c)
		}},
		{"order unknown", "", func(c *checker) {
			c.recordOrder("o", OrderAnswer{Code: 4002, Ran: "unknown"})
			checkExecutions(c, execution("o", "o"))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newChecker()
			tc.run(c)
			if tc.want == "" {
				must.MapEmpty(t, c.violations)
				return
			}
			must.MapLen(t, 1, c.violations)
			must.NotNil(t, c.violations[tc.want])
		})
	}
}
