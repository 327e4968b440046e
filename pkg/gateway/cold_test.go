package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// TestColdUpstreamIsSpared guards against instances that together send a cold upstream more
// requests in a second than the platform allows: with concurrent requests, attempts that
// wait for a connection, instances that start while it is cold, and instances that are cut
// off from each other. It also guards against requests that fail although other upstreams
// have room, and against a limit that lasts.
func TestColdUpstreamIsSpared(t *testing.T) {
	const instances, limit, coldFor = 24, 10.0, 20 * time.Second
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.coldPerSecond = limit
		ff.configure(1, route("/x/", "s", true))
		for i := range 3 {
			ff.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: "s"})
		}
		random := rand.New(rand.NewPCG(1, 0))
		var arrivals []time.Time
		ff.connect = func(Call) {
			var wait time.Duration
			ff.withLock(func() { wait = time.Duration(random.IntN(4)) * 100 * time.Millisecond })
			time.Sleep(wait)
		}
		ff.answer = func(_ context.Context, c Call) Reply {
			if c.Upstream.ID == "u0" {
				ff.withLock(func() { arrivals = append(arrivals, time.Now()) })
			}
			time.Sleep(10 * time.Millisecond)
			if c.Upstream.ID != "u0" { // Slower, so that instances prefer the cold one.
				time.Sleep(100 * time.Millisecond)
			}
			return successReply(c, "")
		}
		gateways := make([]*Gateway, instances)
		for i := range gateways {
			gateways[i] = ff.start(i, 3)
		}
		time.Sleep(10 * time.Second)
		report := func(left time.Duration) {
			ff.addUpstream(directory.Upstream{ID: "u0", Service: "s", ColdFor: left})
		}
		report(coldFor)
		time.Sleep(propagationTime)
		ff.withLock(func() { arrivals = nil })
		var wg sync.WaitGroup
		codes := make(map[result.Code]int)
		for at := propagationTime; at < coldFor; at += 100 * time.Millisecond {
			switch at {
			case 6 * time.Second: // All instances of one third restart at once.
				for i := range instances / 3 {
					gateways[i].Stop()
					gateways[i] = ff.start(i, 3)
				}
			case 12 * time.Second:
				must.Eq(t, 1, gateways[0].Status().(Status).Cold)
				ff.withLock(func() {
					for i := range instances {
						ff.cut[instanceAddress(i)] = true
					}
				})
			}
			if at%(1200*time.Millisecond) == 0 {
				report(coldFor - at)
			}
			for _, g := range gateways {
				for range 3 {
					wg.Go(func() {
						a := g.Serve(t.Context(), request("/x/1"))
						ff.withLock(func() { codes[a.Code]++ })
					})
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		// Attempts whose answer is not needed may still run.
		var sent []time.Time
		ff.withLock(func() { sent = slices.Clone(arrivals) })
		most := 0
		for from, to := 0, 0; to < len(sent); to++ {
			for sent[to].Sub(sent[from]) >= time.Second {
				from++
			}
			most = max(most, to-from+1)
		}
		t.Logf("%d requests, at most %d in a second, answers %v", len(sent), most, codes)
		must.LessEq(t, int(1.5*limit+5), most)
		must.Greater(t, 60, len(sent))
		must.Eq(t, 1, len(codes), must.Sprint(codes))
		must.Positive(t, codes[result.OK])
		time.Sleep(2 * propagationTime)
		must.Eq(t, 0, gateways[0].Status().(Status).Cold)
	})
}

// TestRequestWhileAllUpstreamsAreCold guards against a request that waits or runs, or that
// is refused without the reason or the time to return, while the shares of all upstreams
// are used up, and against a share that is used twice by requests that come together.
func TestRequestWhileAllUpstreamsAreCold(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.coldPerSecond = 2
		ff.configure(1, route("/x/", "s", true))
		for i := range 2 {
			ff.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", ColdFor: time.Minute})
		}
		g := ff.start(0, 1)
		r := request("/x/1")
		time.Sleep(time.Second)
		r.Arrived = time.Now()
		a := g.Serve(t.Context(), r)
		must.Eq(t, result.UpstreamRateLimited, a.Code, must.Sprint("an instance that starts has no share"))
		must.Eq(t, model.NotRun, a.Ran)
		must.Between(t, 20*time.Millisecond, a.RetryAfter, 2*time.Second)
		must.Eq(t, 0, time.Since(r.Arrived))
		must.Eq(t, 0, ff.attempts)
		time.Sleep(10 * time.Second)
		e, err := g.Explain("s", "", "")
		must.NoError(t, err)
		must.Positive(t, e.(Explanation).Upstreams[0].ColdMS)
		must.Positive(t, *e.(Explanation).Upstreams[0].ColdPerSecond)
		var wg sync.WaitGroup
		codes := make(map[result.Code]int)
		for range 50 {
			wg.Go(func() {
				a := g.Serve(t.Context(), request("/x/1"))
				ff.withLock(func() { codes[a.Code]++ })
			})
		}
		wg.Wait()
		must.Eq(t, map[result.Code]int{result.OK: 2, result.UpstreamRateLimited: 48}, codes)
		must.Eq(t, 2, ff.attempts)
	})
}

// TestUpstreamBecomesColdWhileAttemptsWait guards against attempts that are all sent when a
// connection is available, although the upstream has become cold since it was chosen, and
// against a refusal of the others without the reason.
func TestUpstreamBecomesColdWhileAttemptsWait(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.coldPerSecond = 2
		ff.configure(1, route("/x/", "s", false))
		ff.addUpstream(directory.Upstream{ID: "u", Service: "s"})
		ff.connect = func(Call) { time.Sleep(300 * time.Millisecond) }
		g := ff.start(0, 1)
		time.Sleep(10 * time.Second)
		time.AfterFunc(10*time.Millisecond, func() {
			ff.addUpstream(directory.Upstream{ID: "u", Service: "s", ColdFor: time.Minute})
		})
		answers := make(chan Answer, 20)
		for range 20 {
			go func() { answers <- g.Serve(t.Context(), request("/x/1")) }()
		}
		codes := make(map[result.Code]int)
		for range 20 {
			a := <-answers
			codes[a.Code]++
			must.Eq(t, a.Code != result.OK, a.Ran == model.NotRun)
		}
		must.Eq(t, map[result.Code]int{result.OK: 1, result.UpstreamRateLimited: 19}, codes)
		must.Eq(t, 1, ff.attempts)
	})
}

// TestUnreachableInstancesKeepTheirShares guards against an instance that takes over the
// shares of others that it cannot reach, and against shares that stay unused after an
// instance has left.
func TestUnreachableInstancesKeepTheirShares(t *testing.T) {
	now := time.Unix(1000, 0)
	var members []membership.Member
	for i := range 20 {
		members = append(members, membership.Member{ID: model.InstanceID(instanceAddress(i)), State: membership.Alive, Capacity: membership.CapacityFromCores(0.5)})
	}
	var k knownInstances
	rank := func() int { return k.senders(members[0].ID, true).share("u", true).Rank }
	k.update(now, members)
	must.Positive(t, rank())
	k.addReported(now.Add(time.Second), []model.InstanceID{"a", "b"})
	must.Eq(t, now, k.grownAt)
	k.addReported(now.Add(time.Second), []model.InstanceID{"c"})
	must.Eq(t, now.Add(time.Second), k.grownAt, must.Sprint("grown by more than a tenth"))
	before := rank()
	k.update(now, members[:1])
	k.update(now.Add(memberMemory), members[:1])
	must.Eq(t, before, rank())
	k.update(now.Add(memberMemory+2*time.Second), members[:1])
	must.Eq(t, 0, rank())
	for i := range members[1:] {
		members[1+i].State = membership.Leaving
	}
	k.update(now, members)
	before = rank()
	must.Positive(t, before)
	k.update(now, members[:1])
	must.Eq(t, before, rank())
	k.update(now.Add(leaverMemory+time.Second), members[:1])
	must.Eq(t, 0, rank())
}

// TestSharesAfterCommonStart guards against too many instances that take a share of a cold
// upstream after all instances have started together and know few others, and against
// shares that nobody takes for long.
func TestSharesAfterCommonStart(t *testing.T) {
	const instances, sharers, upstreams = 120, 8, 5
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		var gateways []*Gateway
		for i := range instances {
			gateways = append(gateways, ff.start(i, 3))
		}
		var active [upstreams]int
		for range 30 {
			time.Sleep(200 * time.Millisecond)
			active = [upstreams]int{}
			for _, g := range gateways {
				senders := g.coldSenders(time.Now())
				for u := range upstreams {
					if senders.share(fmt.Sprint("u", u), false).Rank < sharers {
						active[u]++
					}
				}
			}
			for _, n := range active {
				must.LessEq(t, sharers*5/4, n)
			}
		}
		for _, n := range active {
			must.GreaterEq(t, sharers-1, n)
		}
	})
}

// TestColdTimeOfReports guards against a cold time that ends too early because the replica
// is old, because a report is equal to the one before, or because the answer to a health
// check is newer, and against a health check of another process that counts.
func TestColdTimeOfReports(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.coldPerSecond = 10
		ff.configure(1, route("/x/", "s", true))
		g := ff.start(0, 1)
		time.Sleep(propagationTime)
		coldUntil := func() time.Time {
			s := g.view.Load().services["s"]
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.balancer.Find("u").ColdUntil
		}
		apply := func(age time.Duration) {
			ff.addUpstream(directory.Upstream{ID: "u", Service: "s", ColdFor: 8 * time.Second})
			g.applyDelta(time.Now(), feed.Delta{Position: feed.Position{Revision: ff.revision}, Changes: ff.changes[len(ff.changes)-1:]}, time.Now().Add(-age), "test")
		}
		ff.withLock(func() { ff.storeRefuses[instanceAddress(0)] = true })
		time.Sleep(propagationTime)
		apply(2 * time.Second)
		must.Eq(t, time.Now().Add(10*time.Second), coldUntil())
		time.Sleep(time.Second)
		apply(0)
		must.Eq(t, time.Now().Add(8*time.Second), coldUntil())
		g.recordHealth(directory.Upstream{ID: "u", Started: 7}, Health{ColdFor: time.Hour, StatesCold: true})
		g.recordHealth(directory.Upstream{ID: "u"}, Health{ColdFor: time.Hour})
		must.Eq(t, time.Now().Add(8*time.Second), coldUntil())
		g.recordHealth(directory.Upstream{ID: "u"}, Health{ColdFor: time.Minute, StatesCold: true})
		must.Eq(t, time.Now().Add(time.Minute), coldUntil())
	})
}

// TestColdTimeFromOldCopy guards against upstreams that count as cold for minutes because an
// instance got its first copy during a long outage of the platform: the age of the copy, of
// which only the recent part matters, was added in full.
func TestColdTimeFromOldCopy(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.coldPerSecond = 10
		ff.configure(1, route("/x/", "s", true))
		ff.addUpstream(directory.Upstream{ID: "u", Service: "s", ColdFor: 8 * time.Second})
		ff.withLock(func() { ff.storeRefuses[instanceAddress(0)] = true })
		g := ff.start(0, 1)
		time.Sleep(propagationTime)
		g.applyDelta(time.Now(), feed.Delta{Position: feed.Position{Revision: ff.revision}, Full: true, Changes: ff.changes}, time.Now().Add(-10*time.Minute), "test")
		u, ok := g.published.directory.Lookup("u")
		must.True(t, ok)
		must.Eq(t, 8*time.Second+maxColdCopyAge, time.Until(u.ColdUntil))
	})
}

// TestInstancesThatReturn guards against an instance that forgot most of the others after a
// long partition and takes shares of cold upstreams at once when they return, before it
// knows them all.
func TestInstancesThatReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	var members []membership.Member
	for i := range 20 {
		members = append(members, membership.Member{ID: model.InstanceID(instanceAddress(i)), State: membership.Alive})
	}
	var k knownInstances
	k.update(now, members)
	k.update(now, members[:1])
	now = now.Add(memberMemory + time.Second)
	k.update(now, members[:1])
	must.MapLen(t, 1, k.byID)
	k.update(now, members[:10])
	must.Eq(t, now, k.grownAt)
}
