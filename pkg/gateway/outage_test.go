package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// drainTime is how long an upstream serves after its entry was removed: no request
	// must reach it later.
	drainTime = 3 * time.Second
	// reportInterval is how often upstreams report to the platform, which removes the
	// entry of one that has missed three reports.
	reportInterval = 1200 * time.Millisecond
)

// readingOrder returns the instances in the order in which they read the platform.
func readingOrder(gateways []*Gateway) []*Gateway {
	ranks := make(map[*Gateway]int)
	for _, g := range gateways {
		ranks[g], _ = g.feedSources()
	}
	return slices.SortedFunc(slices.Values(gateways), func(a, b *Gateway) int { return ranks[a] - ranks[b] })
}

// turnAway makes the store refuse the calls of the first n instances in the order of
// readers, or leave them without an answer if silent is set.
func (ff *fakeFleet) turnAway(gateways []*Gateway, n int, silent bool) {
	var ids []string
	for _, g := range readingOrder(gateways)[:n] {
		ids = append(ids, string(g.cfg.ID))
	}
	ff.refuseStoreCalls(ids...)
	ff.withLock(func() { ff.storeHangs = silent })
}

// uses reports whether a gateway may send requests of the service "s" to the upstream.
func (g *Gateway) uses(upstream string) bool {
	s := g.view.Load().services["s"]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Find(upstream) != nil
}

// lastUse returns how long from now on any of the gateways uses the upstream.
func lastUse(gateways []*Gateway, upstream string) time.Duration {
	start, last := time.Now(), time.Duration(0)
	for time.Since(start) < 8*time.Second {
		if slices.ContainsFunc(gateways, func(g *Gateway) bool { return g.uses(upstream) }) {
			last = time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return last
}

// TestTurnedAwayReadersDelayNoRemoval guards against requests to upstreams that have left,
// because the platform turned the readers of the fleet away, and their old copy was taken
// for an outage in which the entries of running upstreams lapse (review case 4).
func TestTurnedAwayReadersDelayNoRemoval(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, turnedAway := range []int{1, 2, 3} {
			for phase := range 5 {
				t.Run(fmt.Sprintf("%d of 9, silent %v, phase %d", turnedAway, silent, phase), func(t *testing.T) {
					simulate(t, func(t *testing.T, ff *fakeFleet) {
						ff.configure(1, route("/x/", "s", true))
						ff.addUpstream(directory.Upstream{ID: "stays", Service: "s"})
						gateways := startInstances(ff, 9)
						time.Sleep(5 * time.Second)
						// Calls of instances that were turned away before have failed.
						for round := range 4 {
							ff.addUpstream(directory.Upstream{ID: "leaving", Service: "s", Started: int64(round)})
							time.Sleep(5 * time.Second)
							ff.turnAway(gateways, turnedAway, silent)
							time.Sleep(time.Duration(phase) * 500 * time.Millisecond)
							ff.unlist("leaving")
							// The store serves these instances again after three seconds.
							time.AfterFunc(3*time.Second, func() { ff.refuseStoreCalls() })
							must.Less(t, drainTime, lastUse(gateways, "leaving"))
						}
					})
				})
			}
		}
	}
}

// TestLostReadersDelayNoRemoval guards against requests to upstreams that have left,
// because several readers of the platform ended one after the other.
func TestLostReadersDelayNoRemoval(t *testing.T) {
	for _, lost := range []int{1, 2, 3, 4} {
		for phase := range 4 {
			t.Run(fmt.Sprintf("%d of 9, phase %d", lost, phase), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) {
					ff.configure(1, route("/x/", "s", true))
					ff.addUpstream(directory.Upstream{ID: "stays", Service: "s"})
					ff.addUpstream(directory.Upstream{ID: "leaving", Service: "s"})
					gateways := startInstances(ff, 9)
					time.Sleep(5 * time.Second)
					order := readingOrder(gateways)
					ff.withLock(func() { ff.peerCallsHang = true })
					for _, g := range order[:lost] {
						ff.withLock(func() { delete(ff.gateways, string(g.cfg.ID)) })
						g.Stop()
					}
					time.Sleep(time.Duration(phase) * 500 * time.Millisecond)
					ff.unlist("leaving")
					must.Less(t, drainTime, lastUse(order[lost:], "leaving"))
				})
			})
		}
	}
}

// TestOutageKeepsUpstreams guards against the opposite error: upstreams whose entries
// lapsed in an outage of the platform are dropped before they can register again.
func TestOutageKeepsUpstreams(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, outage := range []time.Duration{3800, 4200, 5000, 6500, 9000, 20000} {
			t.Run(fmt.Sprintf("%d ms, silent %v", outage, silent), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) {
					random := rand.New(rand.NewPCG(uint64(outage), 0))
					ff.configure(1, route("/x/", "s", true))
					upstreams := make([]directory.Upstream, 6)
					for i := range upstreams {
						upstreams[i] = directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", Started: 1}
						ff.addUpstream(upstreams[i])
					}
					gateways := startInstances(ff, 9)
					time.Sleep(5 * time.Second)
					// Two outages: in the second one, all instances have failed before.
					for range 2 {
						ff.turnAway(gateways, len(gateways), silent)
						start, end := time.Now(), time.Now().Add(outage*time.Millisecond)
						time.AfterFunc(time.Until(end), func() { ff.refuseStoreCalls() })
						for _, u := range upstreams {
							phase := time.Duration(random.Int64N(int64(reportInterval)))
							time.AfterFunc(3*reportInterval-phase, func() { ff.unlist(u.ID) })
							time.AfterFunc(time.Until(end)+phase, func() { ff.addUpstream(u) })
						}
						for time.Since(start) < outage*time.Millisecond+5*time.Second {
							for _, g := range gateways {
								must.Eq(t, result.OK, g.Serve(t.Context(), request("/x/1")).Code, must.Sprint(time.Since(start)))
							}
							time.Sleep(50 * time.Millisecond)
						}
						time.Sleep(10 * time.Second)
					}
				})
			})
		}
	}
}
