package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sardineturn/sardineturn/pkg/backpressure"
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

var errStoreDown = errors.New("the store is down")

// fakeFleet holds the instances of a gateway, which call each other in memory, and
// stands in for the platform's store of published keys and for the upstreams.
type fakeFleet struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	changes  []feed.Change
	// writes counts the writes to the store, also those that it has lost. The value of a
	// key is the number of the write, which is the index of what was written.
	writes    uint64
	configs   map[string]routing.Config
	upstreams map[string]directory.Upstream
	// oldVersion holds the ids of the instances whose version does not know eras.
	oldVersion map[string]bool
	changed    chan struct{}
	gateways   map[string]*Gateway
	// delegated counts the queries that instances asked other instances to run. While
	// queryConnectionsFail is true, each such call ends with a lost connection.
	delegated            int
	queryConnectionsFail bool
	// While memberSyncFails is true, calls that fetch members fail. Control datagrams
	// longer than maxDatagramBytes are lost; zero means no bound.
	memberSyncFails  bool
	maxDatagramBytes int
	// While peerCallsHang is true, delegated queries to any instance and calls for
	// changes to instances that are not running hang until their context ends, and calls
	// that fetch members fail.
	peerCallsHang bool
	// cut holds the ids of the instances that are cut off from all other instances.
	cut map[string]bool
	// storeRefuses holds the ids of the instances whose calls the store refuses or, if
	// storeHangs is true, does not answer.
	storeRefuses map[string]bool
	storeHangs   bool
	// listTime, if set, is how long the store takes to list all keys for the instance with
	// the id.
	listTime func(id string) time.Duration
	// storeCalls counts the calls to the store by the calling instance. pollsReceived
	// counts the calls for changes by the called instance.
	storeCalls, pollsReceived map[string]int
	// answer returns the reply of an upstream to a call. If answerTo is set, it is called
	// instead, with the id of the calling instance. attempts counts the calls.
	answer   func(ctx context.Context, c Call) Reply
	answerTo func(ctx context.Context, instance string, c Call) Reply
	attempts int
	// connect, if set, is called for each attempt and waits for a connection. Like the
	// adapter, the fake asks Call.MaySend then; attempts counts only what is sent.
	connect func(c Call)
	// crashed holds the addresses of the upstreams that refuse connections or, if
	// crashedSilently is true, do not answer.
	crashed         map[string]bool
	crashedSilently bool
	// coldPerSecond is the limit for cold upstreams in the configurations of configure.
	coldPerSecond float64
	// healthChecks counts the probes and health checks by address.
	healthChecks map[string]int
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		revision: 1, configs: make(map[string]routing.Config), upstreams: make(map[string]directory.Upstream), oldVersion: make(map[string]bool),
		changed: make(chan struct{}), gateways: make(map[string]*Gateway), storeRefuses: make(map[string]bool), cut: make(map[string]bool),
		storeCalls: make(map[string]int), pollsReceived: make(map[string]int), crashed: make(map[string]bool), healthChecks: make(map[string]int),
		answer: func(_ context.Context, c Call) Reply { return successReply(c, "0123456789abcdef") },
	}
}

func successReply(c Call, body string) Reply {
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

// delegatedQueries returns the number of queries that instances asked other instances to
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
	ff.writes++
	c.Revision = ff.revision
	if !c.Deleted {
		c.Value = []byte(fmt.Sprint(ff.writes))
	}
	ff.changes = append(ff.changes, c)
	close(ff.changed)
	ff.changed = make(chan struct{})
}

// configure publishes a configuration with the given version and routes.
func (ff *fakeFleet) configure(version uint64, routes ...routing.Route) {
	c := routing.Config{Version: version, Routes: routes, Services: make(map[string]routing.Service)}
	for _, r := range routes {
		for _, target := range r.Targets {
			c.Services[target.Service] = routing.Service{Name: target.Service, MaxConnections: 100, ColdPerSecond: ff.coldPerSecond}
		}
	}
	ff.mu.Lock()
	ff.configs[fmt.Sprint(ff.writes+1)] = c
	ff.mu.Unlock()
	ff.publish(feed.Change{Key: "config"})
}

// addUpstream publishes the registry entry of an upstream.
func (ff *fakeFleet) addUpstream(u directory.Upstream) {
	u.Address = u.ID + ":1"
	u.Slots = 2
	ff.mu.Lock()
	ff.upstreams[fmt.Sprint(ff.writes+1)] = u
	ff.mu.Unlock()
	ff.publish(feed.Change{Key: "upstream/" + u.ID})
}

// unlist publishes the removal of the registry entry of an upstream.
func (ff *fakeFleet) unlist(id string) { ff.publish(feed.Change{Key: "upstream/" + id, Deleted: true}) }

// Config implements Decoder.
func (ff *fakeFleet) Config(c feed.Change) (routing.Config, bool, error) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	return ff.configs[string(c.Value)], c.Key == "config", nil
}

// Evacuation implements Decoder.
func (ff *fakeFleet) Evacuation(c feed.Change) (model.DataCentre, bool, error) {
	dc, ok := strings.CutPrefix(c.Key, "evacuate/")
	if ok && (dc == "" || string(c.Value) == "bad") {
		return model.DataCentre(dc), true, errors.New("invalid")
	}
	return model.DataCentre(dc), ok, nil
}

// Upstream implements Decoder.
func (ff *fakeFleet) Upstream(c feed.Change) (directory.Upstream, bool, error) {
	id, ok := strings.CutPrefix(c.Key, "upstream/")
	if c.Deleted || !ok {
		return directory.Upstream{ID: id}, ok, nil
	}
	ff.mu.Lock()
	defer ff.mu.Unlock()
	return ff.upstreams[string(c.Value)], true, nil
}

// rollBack makes the store return from a backup of the given revision.
func (ff *fakeFleet) rollBack(to uint64) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	ff.era++
	ff.revision = to
	ff.changes = slices.DeleteFunc(slices.Clone(ff.changes), func(c feed.Change) bool { return c.Revision > to })
	close(ff.changed)
	ff.changed = make(chan struct{})
}

// storeRevision returns the revision of the store.
func (ff *fakeFleet) storeRevision() uint64 {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	return ff.revision
}

// storePosition returns the position of the store as the instance sees it. The lock of the
// fleet must be held.
func (p instancePorts) storePosition() feed.Position {
	if p.oldVersion[p.id] {
		return feed.Position{Revision: p.revision}
	}
	return feed.Position{Era: p.era, Revision: p.revision}
}

// instancePorts implements port.Store, port.FeedPeers and port.QueryPeers for the
// instance with the id.
type instancePorts struct {
	*fakeFleet
	id string
}

// countStoreCall counts a call of the instance to the store, and returns errStoreDown if
// the store refuses the instance's calls.
func (p instancePorts) countStoreCall(ctx context.Context) error {
	p.mu.Lock()
	p.storeCalls[p.id]++
	refuses, hangs := p.storeRefuses[p.id], p.storeHangs
	p.mu.Unlock()
	if refuses && hangs {
		<-ctx.Done()
	}
	if refuses {
		return errStoreDown
	}
	return nil
}

// turnsAway reports whether the store refuses the instance's calls, and whether it leaves
// them without an answer.
func (p instancePorts) turnsAway() (refuses, hangs bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeRefuses[p.id], p.storeHangs
}

// reachable returns the running instance with the id, or nil if there is none or either of
// the two instances is cut off. The lock of the fleet must be held.
func (p instancePorts) reachable(to model.InstanceID) *Gateway {
	if p.cut[p.id] || p.cut[string(to)] {
		return nil
	}
	return p.gateways[string(to)]
}

// List implements port.Store.
func (p instancePorts) List(ctx context.Context) (feed.Delta, error) {
	if err := p.countStoreCall(ctx); err != nil {
		return feed.Delta{}, err
	}
	if p.listTime != nil {
		select {
		case <-time.After(p.listTime(p.id)):
		case <-ctx.Done():
			return feed.Delta{}, ctx.Err()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := feed.Delta{Position: p.storePosition(), Full: true}
	newest := make(map[string]feed.Change)
	for _, c := range p.changes {
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
func (p instancePorts) Watch(ctx context.Context, after feed.Position, wait time.Duration) (feed.Delta, error) {
	if err := p.countStoreCall(ctx); err != nil {
		return feed.Delta{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		d := feed.Delta{Position: p.storePosition()}
		gone := after.Revision > p.revision
		for _, c := range p.changes {
			if c.Revision > after.Revision {
				d.Changes = append(d.Changes, c)
			}
		}
		changed := p.changed
		p.mu.Unlock()
		refuses, hangs := p.turnsAway()
		if gone && !refuses {
			return feed.Delta{}, port.ErrHistoryGone
		}
		if len(d.Changes) > 0 && !refuses {
			return d, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if refuses && hangs {
				<-ctx.Done()
			}
			if refuses {
				return feed.Delta{}, errStoreDown
			}
			return d, nil
		case <-ctx.Done():
			return feed.Delta{}, ctx.Err()
		}
	}
}

// FetchChanges implements port.FeedPeers.
func (p instancePorts) FetchChanges(ctx context.Context, to model.InstanceID, after feed.Position, wait time.Duration) (feed.Delta, time.Duration, error) {
	p.mu.Lock()
	g := p.reachable(to)
	p.pollsReceived[string(to)]++
	hang := p.peerCallsHang
	// Without eras, an instance sends none and ignores those that it gets.
	callerIsOld, calledIsOld := p.oldVersion[p.id], p.oldVersion[string(to)]
	p.mu.Unlock()
	if g == nil && hang {
		<-ctx.Done()
	}
	if g == nil {
		return feed.Delta{}, 0, io.EOF
	}
	switch {
	case calledIsOld:
		after.Era = 0
	case callerIsOld:
		after.Era = feed.UnknownEra
	}
	d, age, ok := g.HandleFetchChanges(ctx, after, wait)
	if !ok {
		return feed.Delta{}, 0, io.EOF
	}
	if callerIsOld {
		d.Era = 0
	}
	return d, age, nil
}

// FetchMembers implements port.FeedPeers.
func (p instancePorts) FetchMembers(_ context.Context, to model.InstanceID, digest uint64) ([]model.InstanceID, error) {
	p.mu.Lock()
	g, fails := p.reachable(to), p.peerCallsHang || p.memberSyncFails
	p.mu.Unlock()
	if g == nil || fails {
		return nil, io.EOF
	}
	return g.HandleFetchMembers(digest), nil
}

// RunQuery implements port.QueryPeers.
func (p instancePorts) RunQuery(ctx context.Context, to model.InstanceID, q port.PeerQuery) (port.PeerAnswer, error) {
	p.mu.Lock()
	g, hang, connectionFails := p.reachable(to), p.peerCallsHang, p.queryConnectionsFail
	p.delegated++
	p.mu.Unlock()
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

// fakeControl implements port.Control.
type fakeControl struct{ instancePorts }

// Send implements port.Control.
func (c fakeControl) Send(to string, datagram []byte) {
	c.mu.Lock()
	g := c.gateways[to]
	lost := c.maxDatagramBytes > 0 && len(datagram) > c.maxDatagramBytes || c.cut[c.id] || c.cut[to]
	c.mu.Unlock()
	if g != nil && !lost {
		go g.HandleDatagram(c.id, datagram)
	}
}

// fakeUpstreams implements Upstreams.
type fakeUpstreams struct{ instancePorts }

// Send implements Upstreams.
func (u fakeUpstreams) Send(ctx context.Context, c Call) Reply {
	if u.connect != nil {
		u.connect(c)
	}
	if !c.MaySend() {
		return Reply{Status: fanout.NotSent, UpstreamOutcome: balancer.Unreachable}
	}
	u.mu.Lock()
	answer, answerTo := u.answer, u.answerTo
	u.attempts++
	u.mu.Unlock()
	if answerTo != nil {
		return answerTo(ctx, u.id, c)
	}
	return answer(ctx, c)
}

// Probe implements Upstreams.
func (u fakeUpstreams) Probe(ctx context.Context, address string) ProbeResult {
	u.mu.Lock()
	u.healthChecks[address]++
	crashed, silent := u.crashed[address], u.crashedSilently
	u.mu.Unlock()
	switch {
	case crashed && silent:
		<-ctx.Done()
		return ProbeUnanswered
	case crashed:
		return ProbeRefused
	default:
		return ProbeAccepted
	}
}

// CheckHealth implements Upstreams.
func (u fakeUpstreams) CheckHealth(ctx context.Context, listed directory.Upstream, _ string) Health {
	return Health{Probe: u.Probe(ctx, listed.Address)}
}

// Retain implements Upstreams.
func (fakeUpstreams) Retain(map[string]bool) {}

// CloseIdle implements Upstreams.
func (fakeUpstreams) CloseIdle(time.Duration) {}

// start starts instance n with the first seedCount instances as seeds. The start counts
// as a restart, because Config.FirstStart is false.
func (ff *fakeFleet) start(n int, seedCount int) *Gateway { return ff.startAs(n, seedCount, false) }

// startAs starts instance n with the first seedCount instances as seeds. firstStart is
// the setting Config.FirstStart.
func (ff *fakeFleet) startAs(n, seedCount int, firstStart bool) *Gateway {
	return ff.startWith(n, seedCount, Config{FirstStart: firstStart})
}

// instanceAddress returns the address of instance n, which is also its id.
func instanceAddress(n int) string { return fmt.Sprintf("10.0.0.%d:1", n) }

// startWith starts instance n with the first seedCount instances as seeds and with the
// given settings.
func (ff *fakeFleet) startWith(n, seedCount int, cfg Config) *Gateway {
	var seeds []Seed
	for i := range seedCount {
		seeds = append(seeds, Seed{ID: model.InstanceID(instanceAddress(i)), ControlAddress: instanceAddress(i)})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := instancePorts{fakeFleet: ff, id: instanceAddress(n)}
	cfg.ID, cfg.Cluster, cfg.DataCentre, cfg.ControlAddress, cfg.Settings.Seeds = model.InstanceID(p.id), "c", "z", p.id, seeds
	cfg.Settings.ColdBounds = backpressure.ColdBounds{Excess: 1.5, Slack: 5}
	cfg.Settings.RetryBudget = retrybudget.Limits{Ratio: 0.2, Allowance: 50, Window: 10 * time.Second}
	g := New(cfg, Ports{
		Clock: port.SystemClock{}, Upstreams: fakeUpstreams{p}, Decoder: ff, Store: p, FeedPeers: p, QueryPeers: p, Control: fakeControl{p}, Log: log,
	})
	ff.mu.Lock()
	ff.gateways[p.id] = g
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

func gatherRoute(topK int, services ...string) routing.Route {
	r := route("/q/", "", true)
	r.Targets = nil
	r.Gather = &routing.Gather{Services: services, TopK: topK, MinShare: 0.6}
	return r
}
