package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// refuseStoreCalls makes the store refuse the calls of exactly the given instances.
func (ff *fakeFleet) refuseStoreCalls(ids ...string) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	clear(ff.storeRefuses)
	for _, id := range ids {
		ff.storeRefuses[id] = true
	}
}

func (ff *fakeFleet) storeCallsByInstance() (total int, byInstance map[string]int) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	byInstance = make(map[string]int)
	for id, n := range ff.storeCalls {
		byInstance[id] = n
		total += n
	}
	return total, byInstance
}

func (ff *fakeFleet) resetCounts() {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	clear(ff.storeCalls)
	clear(ff.pollsReceived)
}

// startInstances starts n instances, all of which are seeds.
func startInstances(ff *fakeFleet, n int) []*Gateway {
	var out []*Gateway
	for i := range n {
		out = append(out, ff.start(i, n))
	}
	time.Sleep(propagationTime)
	return out
}

// configVersions returns the version of the configuration in force at each gateway, or
// zero for a gateway without one.
func configVersions(gateways []*Gateway) []uint64 {
	var out []uint64
	for _, g := range gateways {
		v := uint64(0)
		if view := g.view.Load(); view != nil {
			v = view.table.Version
		}
		out = append(out, v)
	}
	return out
}

// TestOneReader guards against a fleet in which more than one instance reads the
// platform: the number of calls to the platform must not grow with the fleet.
func TestOneReader(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		gateways := startInstances(ff, 12)
		ff.resetCounts()
		time.Sleep(20 * time.Second)
		total, byInstance := ff.storeCallsByInstance()
		must.MapLen(t, 1, byInstance)
		must.Between(t, 18, total, 22)
		ff.configure(2, route("/y/", "s", true))
		time.Sleep(time.Second)
		for _, v := range configVersions(gateways) {
			must.Eq(t, 2, v)
		}
	})
}

// TestChangesSpreadInATree guards against a reader whose load grows with the size of
// the fleet, and against changes that take too long to reach the leaves of the feed
// tree.
func TestChangesSpreadInATree(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		gateways := startInstances(ff, 100)
		time.Sleep(10 * time.Second)
		ff.resetCounts()
		time.Sleep(10 * time.Second)
		ff.mu.Lock()
		for id, n := range ff.pollsReceived {
			// A poll lasts half a second, so each instance polls twice a second for ten
			// seconds. The bound allows a tenth more for polls that are repeated when the
			// order of readers changes.
			must.LessEq(t, feedFanout*2*10*11/10, n, must.Sprint(id))
		}
		ff.mu.Unlock()
		total, _ := ff.storeCallsByInstance()
		must.LessEq(t, 12, total)
		ff.configure(2, route("/x/", "s", true))
		time.Sleep(time.Second)
		for _, v := range configVersions(gateways) {
			must.Eq(t, 2, v)
		}
	})
}

// TestReaderIsReplaced guards against changes that do not reach the instances because
// the platform refuses the calls of the reader.
func TestReaderIsReplaced(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		gateways := startInstances(ff, 6)
		for version := uint64(2); version < 6; version++ {
			ff.resetCounts()
			time.Sleep(2 * time.Second)
			_, byInstance := ff.storeCallsByInstance()
			var reader string
			for id := range byInstance {
				reader = id
			}
			ff.refuseStoreCalls(reader)
			time.Sleep(100 * time.Millisecond)
			ff.configure(version, route("/x/", "s", true))
			// The instances must have a configuration in force within 3 s.
			time.Sleep(2500 * time.Millisecond)
			for _, v := range configVersions(gateways) {
				must.Eq(t, version, v)
			}
		}
	})
}

// TestOutageCostsFewCalls guards against a fleet that calls the platform too often
// while the platform is down, and against a fleet that does not read the platform again
// afterwards.
func TestOutageCostsFewCalls(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		gateways := startInstances(ff, 12)
		instanceIDs := make([]string, 0, len(ff.gateways))
		for id := range ff.gateways {
			instanceIDs = append(instanceIDs, id)
		}
		ff.refuseStoreCalls(instanceIDs...)
		ff.resetCounts()
		time.Sleep(20 * time.Second)
		total, _ := ff.storeCallsByInstance()
		must.LessEq(t, 150, total)
		ff.refuseStoreCalls()
		ff.configure(2, route("/x/", "s", true))
		time.Sleep(5 * time.Second)
		for _, v := range configVersions(gateways) {
			must.Eq(t, 2, v)
		}
	})
}

// TestLapsedUpstreams guards against refusing requests because the entries of the
// upstreams lapsed while the platform was down, and against sending requests to
// upstreams whose entries do not come back after the outage.
func TestLapsedUpstreams(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		ff.addUpstream(directory.Upstream{ID: "u", Service: "s"})
		gateways := startInstances(ff, 3)
		instanceIDs := []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}
		ff.refuseStoreCalls(instanceIDs...)
		time.Sleep(5 * time.Second)
		ff.unlist("u")
		ff.refuseStoreCalls()
		// Each instance keeps the upstream for directory.LapseGrace after it reads the
		// removal. The instances read it at different times within three seconds,
		// because their backoffs differ.
		noticedAt := make(map[*Gateway]time.Time)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for _, g := range gateways {
				if noticedAt[g].IsZero() && g.position().Revision == ff.revision {
					noticedAt[g] = time.Now()
				}
				if at := noticedAt[g]; !at.IsZero() && time.Since(at) < directory.LapseGrace-200*time.Millisecond {
					must.Eq(t, result.OK, g.Serve(t.Context(), request("/x/1")).Code)
				}
			}
		}
		must.MapLen(t, len(gateways), noticedAt)
		time.Sleep(5 * time.Second)
		for _, g := range gateways {
			must.Eq(t, result.NoUpstream, g.Serve(t.Context(), request("/x/1")).Code)
		}
	})
}

// TestSeedsWithoutPower guards against a starting instance that keeps callers waiting
// because the seeds lost power and its calls to them hang.
func TestSeedsWithoutPower(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		ff.peerCallsHang = true
		g := ff.start(5, 3)
		time.Sleep(100 * time.Millisecond)
		ready, reason := g.Ready()
		must.True(t, ready, must.Sprint(reason))
	})
}

// TestRestartedFleet guards against instances that wait too long for a copy from each
// other when all of them are restarted at once and none has a copy.
func TestRestartedFleet(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		for i := range 12 {
			ff.start(i, 3)
		}
		// The network round trip to callers is about 1 ms, so callers notice a delay of
		// a tenth of a second.
		time.Sleep(100 * time.Millisecond)
		for _, g := range ff.gateways {
			ready, reason := g.Ready()
			must.True(t, ready, must.Sprint(reason))
		}
	})
}

// TestStartMakesFewStoreCalls guards against instances that consider themselves the
// reader of the platform when the system starts, because they know only the seeds. In
// deployments of 80 instances, up to 80 of them made five calls each.
func TestStartMakesFewStoreCalls(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		const seeds, instances = 3, 30
		for i := range instances {
			ff.startAs(i, seeds, true)
		}
		time.Sleep(propagationTime)
		_, byInstance := ff.storeCallsByInstance()
		// The seeds read the platform first, and then the first instance in the order of
		// readers, once all instances know each other.
		must.LessEq(t, seeds+1, len(byInstance), must.Sprint(byInstance))
	})
}

// TestRestartedReader guards against changes that do not reach the instances because the
// reader of the platform was restarted. It also guards against instances that take the
// restart for an outage of the platform, and therefore treat removed entries as lapsed:
// upstreams that had left then got requests for 3.9 s (soak, seed 104).
func TestRestartedReader(t *testing.T) {
	const instances = 5
	for n := range 4 * instances {
		restarted, delay := n%instances, time.Duration(100+300*(n/instances))*time.Millisecond
		simulate(t, func(t *testing.T, ff *fakeFleet) {
			ff.configure(1, route("/x/", "s", true))
			ff.addUpstream(directory.Upstream{ID: "u", Service: "s"})
			gateways := startInstances(ff, instances)
			g := gateways[restarted]
			g.Leave(time.Now().Add(time.Minute))
			time.Sleep(2500 * time.Millisecond)
			g.Stop()
			ff.mu.Lock()
			delete(ff.gateways, string(g.cfg.ID))
			ff.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			gateways[restarted] = ff.start(restarted, instances)
			time.Sleep(delay)
			ff.unlist("u")
			time.Sleep(2 * time.Second)
			for _, g := range gateways {
				must.Eq(t, result.NoUpstream, g.Serve(t.Context(), request("/x/1")).Code, must.Sprint(restarted, g.cfg.ID))
			}
		})
	}
}

// TestMassRestart guards against instances that restart together and all wait for the
// whole content from the platform, whose link they share. With 295 instances each of them
// waited for over a second, and callers were refused for as long.
func TestMassRestart(t *testing.T) {
	const fullLoadTime, lightLoadTime = 1200 * time.Millisecond, 400 * time.Millisecond
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.addUpstream(directory.Upstream{ID: "u", Service: "s"})
		ff.configure(1, route("/x/", "s", true))
		// The store serves the instances with much processor time soon, because the
		// others stop reading.
		ff.listTime = func(id string) time.Duration {
			if id == "10.0.0.0:1" {
				return lightLoadTime
			}
			return fullLoadTime
		}
		start := time.Now()
		gateways := []*Gateway{ff.startWith(0, 1, Config{Settings: Settings{Capacity: 0.8}})}
		for i := range 12 {
			gateways = append(gateways, ff.startWith(1+i, 1, Config{Settings: Settings{Capacity: 0.2}}))
		}
		for _, g := range gateways {
			<-g.viewAvailable
		}
		must.Less(t, lightLoadTime+250*time.Millisecond, time.Since(start))
	})
}
