package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/result"
)

func (w *fakeCluster) refuseStoreCalls(ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.storeRefuses)
	for _, id := range ids {
		w.storeRefuses[id] = true
	}
}

func (w *fakeCluster) storeCallsByInstance() (total int, byInstance map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	byInstance = make(map[string]int)
	for id, n := range w.storeCalls {
		byInstance[id] = n
		total += n
	}
	return total, byInstance
}

func (w *fakeCluster) resetCounts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.storeCalls)
	clear(w.pollsReceived)
}

func startInstances(w *fakeCluster, n int) []*Gateway {
	var out []*Gateway
	for i := range n {
		out = append(out, w.start(i, n))
	}
	time.Sleep(propagationTime)
	return out
}

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

// TestOneReader guards against a fleet in which every instance reads the
// platform: its calls must not grow with the fleet.
func TestOneReader(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		gateways := startInstances(w, 12)
		w.resetCounts()
		time.Sleep(20 * time.Second)
		total, by := w.storeCallsByInstance()
		must.MapLen(t, 1, by)
		must.Between(t, 18, total, 22)
		w.configure(2, route("/y/", "s", true))
		time.Sleep(time.Second)
		for _, v := range configVersions(gateways) {
			must.Eq(t, 2, v)
		}
	})
}

// TestChangesSpreadInATree guards against a reader whose work grows with the fleet,
// and against changes that take long at the far end of the tree.
func TestChangesSpreadInATree(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		gateways := startInstances(w, 100)
		time.Sleep(10 * time.Second)
		w.resetCounts()
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		for id, n := range w.pollsReceived {
			// A poll lasts half a second; a tenth more covers restarts of the order.
			must.LessEq(t, feedFanout*2*10*11/10, n, must.Sprint(id))
		}
		w.mu.Unlock()
		total, _ := w.storeCallsByInstance()
		must.LessEq(t, 12, total)
		w.configure(2, route("/x/", "s", true))
		time.Sleep(time.Second)
		for _, v := range configVersions(gateways) {
			must.Eq(t, 2, v)
		}
	})
}

// TestReaderIsReplaced guards against changes that do not arrive because the
// platform turns the reader away.
func TestReaderIsReplaced(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		gateways := startInstances(w, 6)
		for version := uint64(2); version < 6; version++ {
			w.resetCounts()
			time.Sleep(2 * time.Second)
			_, by := w.storeCallsByInstance()
			var reader string
			for id := range by {
				reader = id
			}
			w.refuseStoreCalls(reader)
			time.Sleep(100 * time.Millisecond)
			w.configure(version, route("/x/", "s", true))
			// The bound for configurations is 3 s.
			time.Sleep(2500 * time.Millisecond)
			for _, v := range configVersions(gateways) {
				must.Eq(t, version, v)
			}
		}
	})
}

// TestOutageCostsFewCalls guards against a fleet that keeps calling a platform
// that is down, and against one that does not find it again.
func TestOutageCostsFewCalls(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		gateways := startInstances(w, 12)
		all := make([]string, 0, len(w.gateways))
		for id := range w.gateways {
			all = append(all, id)
		}
		w.refuseStoreCalls(all...)
		w.resetCounts()
		time.Sleep(20 * time.Second)
		total, _ := w.storeCallsByInstance()
		must.LessEq(t, 150, total)
		w.refuseStoreCalls()
		w.configure(2, route("/x/", "s", true))
		time.Sleep(5 * time.Second)
		for _, v := range configVersions(gateways) {
			must.Eq(t, 2, v)
		}
	})
}

// TestLapsedUpstreams guards against refusing requests because the upstreams'
// entries lapsed while the platform was down, and against using upstreams whose
// entries do not come back.
func TestLapsedUpstreams(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		w.addUpstream(directory.Upstream{ID: "u", Service: "s"})
		gateways := startInstances(w, 3)
		all := []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}
		w.refuseStoreCalls(all...)
		time.Sleep(5 * time.Second)
		w.removeUpstream("u")
		w.refuseStoreCalls()
		// Each instance keeps the upstream for the grace from when it learns of the
		// removal, which backoff spreads over three seconds.
		learned := make(map[*Gateway]time.Time)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for _, g := range gateways {
				if learned[g].IsZero() && g.revision() == w.revision {
					learned[g] = time.Now()
				}
				if at := learned[g]; !at.IsZero() && time.Since(at) < directory.LapseGrace-200*time.Millisecond {
					must.Eq(t, result.OK, g.Serve(t.Context(), request("/x/1")).Code)
				}
			}
		}
		must.MapLen(t, len(gateways), learned)
		time.Sleep(5 * time.Second)
		for _, g := range gateways {
			must.Eq(t, result.NoUpstream, g.Serve(t.Context(), request("/x/1")).Code)
		}
	})
}

// TestSeedsWithoutPower guards against an instance that waits for seeds that do not
// answer at all, while callers wait for it.
func TestSeedsWithoutPower(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		w.stoppedInstancesHang = true
		g := w.start(5, 3)
		time.Sleep(100 * time.Millisecond)
		ready, reason := g.Ready()
		must.True(t, ready, must.Sprint(reason))
	})
}

// TestRestartedFleet guards against a fleet that starts at once, without a copy
// anywhere, and waits for itself.
func TestRestartedFleet(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		for i := range 12 {
			w.start(i, 3)
		}
		// Callers wait 1 ms away: each tenth of a second is visible to them.
		time.Sleep(100 * time.Millisecond)
		for _, g := range w.gateways {
			ready, reason := g.Ready()
			must.True(t, ready, must.Sprint(reason))
		}
	})
}

// TestStartReadsLittle guards against instances that take themselves for the
// reader of the platform at the start of the system, because they know the seeds
// only: on deployments of 80 instances up to 80 of them made five calls each.
func TestStartReadsLittle(t *testing.T) {
	simulate(t, func(t *testing.T, w *fakeCluster) {
		w.configure(1, route("/x/", "s", true))
		const seeds, instances = 3, 30
		for i := range instances {
			w.startAs(i, seeds, true)
		}
		time.Sleep(propagationTime)
		_, by := w.storeCallsByInstance()
		// The seeds read first, and then the reader that all agree on.
		must.LessEq(t, seeds+1, len(by), must.Sprint(by))
	})
}

// TestRestartedReader guards against changes that nobody learns because the reader
// of the platform was restarted, and against taking that for an outage: upstreams
// that left got requests for 3.9 s (soak, seed 104).
func TestRestartedReader(t *testing.T) {
	const instances = 5
	for n := range 4 * instances {
		restarted, delay := n%instances, time.Duration(100+300*(n/instances))*time.Millisecond
		simulate(t, func(t *testing.T, w *fakeCluster) {
			w.configure(1, route("/x/", "s", true))
			w.addUpstream(directory.Upstream{ID: "u", Service: "s"})
			gateways := startInstances(w, instances)
			g := gateways[restarted]
			g.Leave()
			time.Sleep(2500 * time.Millisecond)
			g.Stop()
			w.mu.Lock()
			delete(w.gateways, string(g.cfg.ID))
			w.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			gateways[restarted] = w.start(restarted, instances)
			time.Sleep(delay)
			w.removeUpstream("u")
			time.Sleep(2 * time.Second)
			for _, g := range gateways {
				must.Eq(t, result.NoUpstream, g.Serve(t.Context(), request("/x/1")).Code, must.Sprint(restarted, g.cfg.ID))
			}
		})
	}
}
