package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// slowShards is a fleet in which the upstreams of the first shards are slow from slowAt on
// and run one request at a time.
type slowShards struct {
	mu     sync.Mutex
	slots  map[string]chan struct{}
	slow   map[string]time.Duration
	slowAt time.Time
	// calls counts the attempts on each service since slowAt, and cancelled those that
	// ended because they were cancelled.
	calls     map[string]int
	cancelled int
}

func (s *slowShards) answer(ctx context.Context, c Call) Reply {
	work := 10 * time.Millisecond
	s.mu.Lock()
	if !time.Now().Before(s.slowAt) {
		s.calls[c.Upstream.Service]++
		if d := s.slow[c.Upstream.Service]; d > 0 {
			work = d
		}
	}
	slot := s.slots[c.Upstream.ID]
	s.mu.Unlock()
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-ctx.Done():
		return s.cancel()
	}
	select {
	case <-time.After(work):
		return successReply(c, "0123456789abcdef")
	case <-ctx.Done():
		return s.cancel()
	}
}

func (s *slowShards) cancel() Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled++
	return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Cancelled}
}

// runSlowShards sends queries over ten shards, of which two have slow upstreams after a
// second, and returns the state of the shards and the answers since then.
func runSlowShards(t *testing.T, ff *fakeFleet, shedding LoadShedding, minShare float64) (*slowShards, []Answer, []time.Duration) {
	const shards = 10
	s := &slowShards{slots: make(map[string]chan struct{}), slow: map[string]time.Duration{"s0": 400 * time.Millisecond, "s1": 400 * time.Millisecond}, calls: make(map[string]int)}
	var services []string
	for i := range shards {
		services = append(services, fmt.Sprint("s", i))
		for k := range 3 {
			id := fmt.Sprint("u", i, "-", k)
			s.slots[id] = make(chan struct{}, 1)
			ff.addUpstream(directory.Upstream{ID: id, Service: services[i], Slots: 1})
		}
	}
	r := gatherRoute(3, services...)
	r.Gather.MinShare = minShare
	ff.configure(1, r)
	ff.answer = s.answer
	g := ff.startWith(0, 1, Config{Settings: Settings{LoadShedding: shedding}})
	time.Sleep(propagationTime)
	s.slowAt = time.Now().Add(time.Second)
	var answers []Answer
	var took []time.Duration
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Go(func() {
			q := request(fmt.Sprint("/q/", i))
			a := g.Serve(t.Context(), q)
			if q.Arrived.After(s.slowAt.Add(time.Second)) {
				s.mu.Lock()
				defer s.mu.Unlock()
				answers, took = append(answers, a), append(took, time.Since(q.Arrived))
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return s, answers, took
}

// TestOverloadedShardsAreSpared guards against queries that send parts to overloaded shards
// which they do not need and would not wait for.
func TestOverloadedShardsAreSpared(t *testing.T) {
	calls := make(map[LoadShedding]int)
	for _, shedding := range []LoadShedding{ShedNever, ShedAlways} {
		simulate(t, func(t *testing.T, ff *fakeFleet) {
			s, answers, _ := runSlowShards(t, ff, shedding, 0.6)
			calls[shedding] = s.calls["s0"] + s.calls["s1"]
			for _, a := range answers {
				must.Eq(t, result.PartialAnswer, a.Code)
			}
		})
	}
	t.Log("attempts on overloaded shards without and with load shedding:", calls[ShedNever], calls[ShedAlways])
	must.Less(t, calls[ShedNever]/2, calls[ShedAlways])
}

// TestOverloadIsRefusedAtOnce guards against queries that need overloaded shards and all
// wait in their queues until they fail. With load shedding some are answered, the others
// are refused at once, before they run, and are told when to return.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	answered := make(map[LoadShedding]int)
	for _, shedding := range []LoadShedding{ShedNever, ShedAlways} {
		simulate(t, func(t *testing.T, ff *fakeFleet) {
			_, answers, took := runSlowShards(t, ff, shedding, 1)
			for i, a := range answers {
				switch {
				case a.Merged != nil:
					answered[shedding]++
				case a.Code == result.Overloaded:
					must.Eq(t, model.NotRun, a.Ran)
					must.Positive(t, a.RetryAfter)
					must.LessEq(t, 5*time.Millisecond, took[i])
				}
			}
		})
	}
	t.Log("queries answered without and with load shedding:", answered[ShedNever], answered[ShedAlways])
	must.Greater(t, answered[ShedNever], answered[ShedAlways])
}
