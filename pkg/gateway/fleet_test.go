package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/retrybudget"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

var errDown = errors.New("the store is down")

// fakeFleet is a store of published keys and the instances of a gateway, which call
// it and each other in memory. It also answers as the upstreams.
type fakeFleet struct {
	mu        sync.Mutex
	revision  uint64
	changes   []feed.Change
	configs   map[uint64]routing.Config
	upstreams map[uint64]directory.Upstream
	changed   chan struct{}
	gateways  map[string]*Gateway
	// delegated counts the queries that other instances were asked to run. While
	// queryConnectionsFail is true, each such call ends with a lost connection.
	delegated            int
	queryConnectionsFail bool
	// While memberSyncFails is true, calls that fetch members fail. Control datagrams
	// longer than maxDatagramBytes are lost; zero means no bound.
	memberSyncFails  bool
	maxDatagramBytes int
	// While peerCallsHang is true, delegated queries and calls for changes of instances
	// that are not running hang until their context ends, and calls that fetch members
	// fail.
	peerCallsHang bool
	// storeRefuses holds the ids of the instances whose calls the store refuses.
	storeRefuses map[string]bool
	// storeCalls counts the calls of the store by instance, pollsReceived the calls for
	// changes that each instance received from others.
	storeCalls, pollsReceived map[string]int
	// answer returns the reply of an upstream to a call.
	answer func(ctx context.Context, c Call) Reply
	// crashed holds the addresses of the upstreams that refuse connections.
	crashed map[string]bool
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		revision: 1, configs: make(map[uint64]routing.Config), upstreams: make(map[uint64]directory.Upstream),
		changed: make(chan struct{}), gateways: make(map[string]*Gateway), storeRefuses: make(map[string]bool),
		storeCalls: make(map[string]int), pollsReceived: make(map[string]int), crashed: make(map[string]bool),
		answer: func(_ context.Context, c Call) Reply { return ok(c, "0123456789abcdef") },
	}
}

func ok(c Call, body string) Reply {
	return Reply{Status: fanout.Succeeded, UpstreamOutcome: balancer.Succeeded, HTTPStatus: 200, Body: []byte(body), Signature: "signed by " + c.Upstream.ID}
}

// simulate calls f in a synctest bubble, in which time is virtual, and stops all
// instances at the end.
func simulate(t *testing.T, f func(t *testing.T, ff *fakeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ff := newFakeFleet()
		defer func() {
			for _, g := range ff.gateways {
				g.Stop()
			}
			// Wait until unneeded attempts and idle goroutines have ended.
			time.Sleep(time.Minute)
		}()
		f(t, ff)
	})
}

// withLock calls f while holding the lock of the fleet.
func (ff *fakeFleet) withLock(f func()) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	f()
}

// delegatedQueries returns the number of queries that other instances were asked to
// run.
func (ff *fakeFleet) delegatedQueries() int {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	return ff.delegated
}

func (ff *fakeFleet) publish(c feed.Change) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	ff.revision++
	c.Revision = ff.revision
	ff.changes = append(ff.changes, c)
	close(ff.changed)
	ff.changed = make(chan struct{})
}

// configure publishes a configuration with the given version and routes.
func (ff *fakeFleet) configure(version uint64, routes ...routing.Route) {
	c := routing.Config{Version: version, Routes: routes, Services: make(map[string]routing.Service)}
	for _, r := range routes {
		for _, target := range r.Targets {
			c.Services[target.Service] = routing.Service{Name: target.Service, MaxConnections: 100}
		}
	}
	ff.mu.Lock()
	ff.configs[ff.revision+1] = c
	ff.mu.Unlock()
	ff.publish(feed.Change{Key: "config"})
}

// addUpstream publishes the registry entry of an upstream.
func (ff *fakeFleet) addUpstream(u directory.Upstream) {
	u.Address = u.ID + ":1"
	u.Slots = 2
	ff.mu.Lock()
	ff.upstreams[ff.revision+1] = u
	ff.mu.Unlock()
	ff.publish(feed.Change{Key: "upstream/" + u.ID})
}

// unlist removes the registry entry of an upstream.
func (ff *fakeFleet) unlist(id string) { ff.publish(feed.Change{Key: "upstream/" + id, Deleted: true}) }

// Config implements Decoder.
func (ff *fakeFleet) Config(c feed.Change) (routing.Config, bool, error) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	return ff.configs[c.Revision], c.Key == "config", nil
}

// Upstream implements Decoder.
func (ff *fakeFleet) Upstream(c feed.Change) (directory.Upstream, bool, error) {
	id, ok := strings.CutPrefix(c.Key, "upstream/")
	if c.Deleted || !ok {
		return directory.Upstream{ID: id}, ok, nil
	}
	ff.mu.Lock()
	defer ff.mu.Unlock()
	return ff.upstreams[c.Revision], true, nil
}

// instancePorts implements the store and the peers for one instance, with the given id.
type instancePorts struct {
	*fakeFleet
	id string
}

func (a instancePorts) call() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.storeCalls[a.id]++
	if a.storeRefuses[a.id] {
		return errDown
	}
	return nil
}

// List implements port.Store.
func (a instancePorts) List(context.Context) (feed.Delta, error) {
	if err := a.call(); err != nil {
		return feed.Delta{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	d := feed.Delta{Revision: a.revision, Full: true}
	newest := make(map[string]feed.Change)
	for _, c := range a.changes {
		newest[c.Key] = c
	}
	for _, c := range newest {
		if !c.Deleted {
			d.Changes = append(d.Changes, c)
		}
	}
	return d, nil
}

// Watch implements port.Store.
func (a instancePorts) Watch(ctx context.Context, after uint64, wait time.Duration) (feed.Delta, error) {
	if err := a.call(); err != nil {
		return feed.Delta{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a.mu.Lock()
		d := feed.Delta{Revision: a.revision}
		for _, c := range a.changes {
			if c.Revision > after {
				d.Changes = append(d.Changes, c)
			}
		}
		changed := a.changed
		a.mu.Unlock()
		if len(d.Changes) > 0 {
			return d, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return d, nil
		case <-ctx.Done():
			return feed.Delta{}, ctx.Err()
		}
	}
}

// FetchChanges implements port.FeedPeers.
func (a instancePorts) FetchChanges(ctx context.Context, to model.InstanceID, after uint64, wait time.Duration) (feed.Delta, time.Duration, error) {
	a.mu.Lock()
	g := a.gateways[string(to)]
	a.pollsReceived[string(to)]++
	hang := a.peerCallsHang
	a.mu.Unlock()
	if g == nil && hang {
		<-ctx.Done()
	}
	if g == nil {
		return feed.Delta{}, 0, io.EOF
	}
	d, age, ok := g.HandleFetchChanges(ctx, after, wait)
	if !ok {
		return feed.Delta{}, 0, io.EOF
	}
	return d, age, nil
}

// FetchMembers implements port.FeedPeers.
func (a instancePorts) FetchMembers(_ context.Context, to model.InstanceID, digest uint64) ([]model.InstanceID, error) {
	a.mu.Lock()
	g, fails := a.gateways[string(to)], a.peerCallsHang || a.memberSyncFails
	a.mu.Unlock()
	if g == nil || fails {
		return nil, io.EOF
	}
	return g.HandleFetchMembers(digest), nil
}

// RunQuery implements port.QueryPeers.
func (a instancePorts) RunQuery(ctx context.Context, to model.InstanceID, q port.PeerQuery) (port.PeerAnswer, error) {
	a.mu.Lock()
	g, hang, connectionFails := a.gateways[string(to)], a.peerCallsHang, a.queryConnectionsFail
	a.delegated++
	a.mu.Unlock()
	switch {
	case hang:
		<-ctx.Done()
		return port.PeerAnswer{}, result.Wrap(result.PeerLost, ctx.Err())
	case connectionFails:
		return port.PeerAnswer{}, result.Wrap(result.PeerLost, io.EOF)
	case g == nil:
		return port.PeerAnswer{}, result.Wrap(result.PeerUnreachable, io.EOF)
	default:
		return g.HandleRunQuery(ctx, q), nil
	}
}

// Connect implements port.QueryPeers.
func (instancePorts) Connect(model.InstanceID) {}

// sender implements port.Control.
type fakeControl struct{ instancePorts }

// Send implements port.Control.
func (s fakeControl) Send(to string, datagram []byte) {
	s.mu.Lock()
	g, lost := s.gateways[to], s.maxDatagramBytes > 0 && len(datagram) > s.maxDatagramBytes
	s.mu.Unlock()
	if g != nil && !lost {
		go g.HandleDatagram(s.id, datagram)
	}
}

// caller implements Upstreams.
type fakeUpstreams struct{ *fakeFleet }

// Send implements Upstreams.
func (u fakeUpstreams) Send(ctx context.Context, c Call) Reply {
	u.mu.Lock()
	answer := u.answer
	u.mu.Unlock()
	return answer(ctx, c)
}

// RefusesConnections implements Upstreams.
func (u fakeUpstreams) RefusesConnections(_ context.Context, address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashed[address]
}

// Retain implements Upstreams.
func (fakeUpstreams) Retain(map[string]bool) {}

// CloseIdle implements Upstreams.
func (fakeUpstreams) CloseIdle(time.Duration) {}

// start starts instance n with the first total instances as seeds.
func (ff *fakeFleet) start(n int, total int) *Gateway { return ff.startAs(n, total, false) }

// startAs starts instance n with the first seedCount instances as seeds.
func (ff *fakeFleet) startAs(n, seedCount int, firstStart bool) *Gateway {
	return ff.startWith(n, seedCount, Config{FirstStart: firstStart})
}

// startWith starts instance n with the first seedCount instances as seeds and with the
// given settings.
func (ff *fakeFleet) startWith(n, seedCount int, cfg Config) *Gateway {
	id := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }
	var seeds []Seed
	for i := range seedCount {
		seeds = append(seeds, Seed{ID: model.InstanceID(id(i)), ControlAddress: id(i)})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := instancePorts{fakeFleet: ff, id: id(n)}
	cfg.ID, cfg.Cluster, cfg.DataCentre, cfg.ControlAddress, cfg.Seeds = model.InstanceID(a.id), "c", "z", a.id, seeds
	cfg.RetryBudget = retrybudget.Limits{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}
	g := New(cfg, Ports{
		Clock: port.SystemClock{}, Upstreams: fakeUpstreams{ff}, Decoder: ff, Store: a, FeedPeers: a, QueryPeers: a, Control: fakeControl{a}, Log: log,
	})
	ff.mu.Lock()
	ff.gateways[a.id] = g
	ff.mu.Unlock()
	g.Start()
	return g
}

func request(target string) *Request {
	return &Request{ID: "1", Method: "GET", Host: "a.example", Target: target, CallerTimeout: 800 * time.Millisecond, Arrived: time.Now()}
}

// route returns a route to one service. Requests of a route that is not idempotent run
// at most once.
func route(prefix, service string, idempotent bool) routing.Route {
	return routing.Route{
		Name: prefix, Host: "a.example", Prefix: prefix, Idempotent: idempotent, Timeout: time.Second,
		LatencyTarget: 100 * time.Millisecond, MaxAttempts: 2, Targets: []routing.Target{{Service: service, Weight: 1}},
	}
}

func gatherRoute(top int, services ...string) routing.Route {
	r := route("/q/", "", true)
	r.Targets = nil
	r.Gather = &routing.Gather{Services: services, TopK: top, MinShare: 0.6}
	return r
}
