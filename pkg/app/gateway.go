package app

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/sardineturn/sardineturn/pkg/adapter/operatorhttp"
	"github.com/sardineturn/sardineturn/pkg/adapter/peergrpc"
	"github.com/sardineturn/sardineturn/pkg/adapter/peerudp"
	"github.com/sardineturn/sardineturn/pkg/adapter/upstreamhttp"
	"github.com/sardineturn/sardineturn/pkg/backpressure"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/gateway"
	"github.com/sardineturn/sardineturn/pkg/logqueue"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/retrybudget"
	"github.com/sardineturn/sardineturn/pkg/settings"
	"github.com/sardineturn/sardineturn/platform"
)

const (
	// gatewayCluster is the cluster name in control messages of gateways. It
	// distinguishes these messages from those of instances that serve documents.
	gatewayCluster = "gateway"
	// noRequestTime is the time without a new request after which a stopping process
	// closes idle connections before the end of its plan.
	noRequestTime = 300 * time.Millisecond
	// stopPollInterval is how often a stopping process checks whether requests still
	// arrive or are in progress.
	stopPollInterval = 20 * time.Millisecond
	// logFlushTimeout bounds the wait until the last log lines are written.
	logFlushTimeout = 200 * time.Millisecond
	// memoryLimitShare is the fraction of the machine's memory limit that is set as the
	// Go runtime's memory limit.
	memoryLimitShare = 0.8
	// gcPercent is the Go runtime's GC percentage. A higher value saves processor time
	// and costs memory, and both are charged for. The live heap of an instance is a few
	// megabytes.
	gcPercent = 100
)

// ServeGateway runs a gateway with the settings of a file until SIGTERM, SIGINT, the end of
// ctx or the failure of a listener, and then stops it gracefully. It reads the file again
// on SIGHUP, in intervals and at the beginning of the stop. If the settings are invalid at
// the start, the error is a *settings.Error.
func ServeGateway(ctx context.Context, settingsFile string) error {
	// A stop signal has a channel of its own, which signals to reload cannot fill.
	stops, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(stops)
	defer signal.Stop(hangups)
	live, err := loadGatewaySettings(settingsFile)
	if err != nil {
		return err
	}
	s := live.inForce()
	limitRuntime(s)
	var log logrus.FieldLogger
	var queue *logqueue.Queue
	failures := make(listenerFailures, 1)
	app := fx.New(GatewayModule(s), fx.Supply(failures, live), fx.Invoke(connectSettings), fx.Populate(&log, &queue))
	if err := app.Err(); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	event.Info(log, event.ProcessStarted, event.Fields{"settings": s}, "the gateway starts")
	err = app.Start(startCtx)
	if err == nil {
		watchCtx, stopWatch := context.WithCancel(context.Background())
		defer stopWatch()
		go live.watch(watchCtx, hangups)
		err = waitForStop(ctx, stops, failures)
		live.reload()
		event.Info(log, event.ShutdownStarted, event.Fields{"error": errorText(err)}, "the gateway stops")
		stopCtx, cancelStop := context.WithTimeout(context.Background(), live.inForce().StopTime())
		defer cancelStop()
		err = errors.Join(err, app.Stop(stopCtx))
	}
	event.Info(log, event.ShutdownFinished, event.Fields{"error": errorText(err), "dropped_lines": queue.Dropped()}, "the gateway has stopped")
	queue.Close()
	select {
	case <-queue.Done():
	case <-time.After(logFlushTimeout):
	}
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// waitForStop blocks until the process has to stop. It returns the error of a listener that
// failed, or nil if a signal or the end of ctx caused the stop.
func waitForStop(ctx context.Context, stops <-chan os.Signal, failures <-chan error) error {
	select {
	case <-stops:
		return nil
	case <-ctx.Done():
		return nil
	case err := <-failures:
		return err
	}
}

// connectSettings lets changed settings reach the parts of the gateway that hold copies.
func connectSettings(live *gatewaySettings, p gatewayParams, g *gateway.Gateway) {
	live.log, live.metrics = p.Log, p.Metrics
	live.apply = func(old, s settings.Gateway) {
		if s.Processors() != old.Processors() {
			limitProcessors(s)
		}
		limitMemory(s)
		setLogLevel(p.Log, s.LogLevel)
		p.Upstreams.LimitAnswerMemory(answerMemory(s))
		p.Store.SetAddress(s.StoreAddress)
		g.Reconfigure(gatewayConfig(s))
	}
}

// limitRuntime sets the processors and the memory limit of the Go runtime from the
// settings.
func limitRuntime(s settings.Gateway) {
	if s.Processors() > 0 {
		limitProcessors(s)
	}
	limitMemory(s)
	debug.SetGCPercent(gcPercent)
}

func limitProcessors(s settings.Gateway) {
	if n := s.Processors(); n > 0 {
		runtime.GOMAXPROCS(n)
	} else {
		runtime.SetDefaultGOMAXPROCS()
	}
}

func limitMemory(s settings.Gateway) {
	limit := int64(math.MaxInt64)
	if s.MemoryMB > 0 {
		limit = int64(s.MemoryMB * memoryLimitShare * (1 << 20))
	}
	debug.SetMemoryLimit(limit)
}

// GatewayModule returns the fx module of a gateway with the given settings.
func GatewayModule(s settings.Gateway) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Provide(
			newLogQueue,
			newGatewayLogger,
			newMetrics,
			newClock,
			newGatewaySocket,
			newGatewayPeers,
			newGatewayUpstreams,
			newGatewayStore,
			newGateway,
			newGatewayServer,
			newIngress,
		),
		fx.Invoke(registerGateway),
	)
}

func newLogQueue() *logqueue.Queue { return logqueue.New(os.Stdout, logqueue.DefaultLines) }

func newGatewayLogger(s settings.Gateway, q *logqueue.Queue) (logrus.FieldLogger, error) {
	return jsonLogger(s.LogLevel, q, s.Name)
}

func newGatewaySocket(s settings.Gateway) (*peerudp.Socket, error) {
	return peerudp.Listen(s.PeerBindAddress())
}

// answerMemoryShare is the share of the process's memory that answers of upstreams may
// take while they are read.
const answerMemoryShare = 0.25

const (
	// bodyMemoryShare is the share of the process's memory that the bodies of callers'
	// requests may take together. Answers may take two quarters.
	bodyMemoryShare = 0.125
	// minBodyMemory is the least limit on the bodies together. A minimum share, an eighth
	// of it, then has room for a body of 256 KB.
	minBodyMemory = 4 << 20
	// upstreamRequestBytes limits the bytes of requests in flight to one upstream: eight
	// bodies of 256 KB, for an upstream with 4 slots and as many places in its queue.
	upstreamRequestBytes = 2 << 20
)

// bodyMemory returns the limit on the memory of the bodies of requests, or zero for none.
func bodyMemory(s settings.Gateway) int64 {
	if s.MemoryMB <= 0 {
		return 0
	}
	return max(minBodyMemory, int64(s.MemoryMB*bodyMemoryShare*(1<<20)))
}

// answerMemory returns the limit on the memory of answers.
func answerMemory(s settings.Gateway) int64 {
	if s.MemoryMB <= 0 {
		return upstreamhttp.DefaultAnswerMemory
	}
	return int64(s.MemoryMB * answerMemoryShare * (1 << 20))
}

func newGatewayUpstreams(s settings.Gateway, clock port.Clock) *upstreamhttp.Client {
	client := upstreamhttp.NewWithoutTCPKeepAlive(clock)
	client.LimitAnswerMemory(answerMemory(s))
	if s.MemoryMB > 0 {
		client.LimitRequestBytes(upstreamRequestBytes)
	}
	return client
}

func newGatewayStore(s settings.Gateway) *platform.Store { return platform.NewStore(s.StoreAddress) }

func newGatewayPeers(s settings.Gateway, clock port.Clock) *peergrpc.Client {
	return peergrpc.NewClientFrom(clock, s.PeerSource())
}

type gatewayParams struct {
	fx.In
	Settings  settings.Gateway
	Clock     port.Clock
	Log       logrus.FieldLogger
	Metrics   *metrics.Metrics
	Control   *peerudp.Socket
	Peers     *peergrpc.Client
	Upstreams *upstreamhttp.Client
	Store     *platform.Store
}

func newGateway(p gatewayParams) *gateway.Gateway {
	s := p.Settings
	return gateway.New(gateway.Config{
		ID:             model.InstanceID(s.PeerAddress()),
		Cluster:        gatewayCluster,
		DataCentre:     s.DataCentre,
		ControlAddress: s.PeerAddress(),
		FirstStart:     s.FirstStart,
		Settings:       gatewayConfig(s),
	}, gateway.Ports{
		Clock:      p.Clock,
		Upstreams:  platform.NewUpstreams(p.Upstreams, p.Clock),
		Decoder:    platform.Decoder{},
		Store:      p.Store,
		FeedPeers:  p.Peers,
		QueryPeers: p.Peers,
		Control:    p.Control,
		Log:        p.Log,
		Metrics:    p.Metrics,
	})
}

// gatewayConfig returns the settings of the decision code.
func gatewayConfig(s settings.Gateway) gateway.Settings {
	return gateway.Settings{
		Seeds:        gatewaySeeds(s),
		Capacity:     s.Capacity(),
		LoadShedding: loadShedding(s),
		RetryBudget:  retryBudgetLimits(s),
		BodyMemory:   bodyMemory(s),
		ColdBounds:   backpressure.ColdBounds{Excess: s.Cold.Excess, Slack: s.Cold.Slack},
	}
}

// loadShedding applies the rule of the value auto: an evacuation can move the load of a
// data centre to the others with any configuration; without evacuations the routes decide.
func loadShedding(s settings.Gateway) gateway.LoadShedding {
	switch {
	case s.LoadShedding == settings.LoadSheddingOn:
		return gateway.ShedAlways
	case s.LoadShedding != settings.LoadSheddingAuto:
		return gateway.ShedNever
	case s.EvacuationMS > 0:
		return gateway.ShedAlways
	default:
		return gateway.ShedByRoutes
	}
}

func gatewaySeeds(s settings.Gateway) []gateway.Seed {
	var seeds []gateway.Seed
	for _, address := range s.SeedAddresses() {
		seeds = append(seeds, gateway.Seed{ID: model.InstanceID(address), ControlAddress: address})
	}
	return seeds
}

func retryBudgetLimits(s settings.Gateway) retrybudget.Limits {
	return retrybudget.Limits{
		Ratio:     s.Budget.Ratio,
		Allowance: s.Budget.Allowance,
		Window:    s.BudgetWindow(),
	}
}

func newGatewayServer(g *gateway.Gateway) *peergrpc.GatewayServer {
	return peergrpc.NewGatewayServer(g)
}

func newIngress(g *gateway.Gateway, clock port.Clock) *platform.Ingress {
	return platform.NewIngress(g, clock)
}

// gatewayRegistration holds the components that its methods start and stop use.
type gatewayRegistration struct {
	fx.In
	Lifecycle fx.Lifecycle
	Failures  listenerFailures
	Settings  settings.Gateway
	Live      *gatewaySettings
	Log       logrus.FieldLogger
	Gateway   *gateway.Gateway
	Control   *peerudp.Socket
	Peers     *peergrpc.Client
	Upstreams *upstreamhttp.Client
	Server    *peergrpc.GatewayServer
	Ingress   *platform.Ingress
	Scrape    http.Handler `name:"scrape"`
}

func registerGateway(r gatewayRegistration) {
	operator := operatorhttp.NewServer(r.Settings.OperatorAddress, operatorhttp.NewHandler(r.Gateway, r.Scrape, true, r.Log), r.Log)
	r.Lifecycle.Append(fx.Hook{OnStart: operator.Start, OnStop: operator.Stop})
	if r.Settings.MetricsPort > 0 {
		address := net.JoinHostPort(r.Settings.IP, strconv.Itoa(int(r.Settings.MetricsPort)))
		scrape := operatorhttp.NewServer(address, r.Scrape, r.Log)
		r.Lifecycle.Append(fx.Hook{OnStart: scrape.Start, OnStop: scrape.Stop})
	}
	r.Lifecycle.Append(fx.Hook{OnStart: r.start, OnStop: r.stop})
}

func (r *gatewayRegistration) start(context.Context) error {
	peers, err := net.Listen("tcp", r.Settings.PeerBindAddress())
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", r.Settings.CallerAddress)
	if err != nil {
		return errors.Join(err, peers.Close())
	}
	r.Gateway.Start()
	r.Control.Start(r.Gateway)
	serve := func(name string, run func() error) { serveListener(r.Log, r.Failures, name, run) }
	go serve("peer", func() error { return r.Server.Serve(peers) })
	go serve("caller", func() error { return r.Ingress.Serve(callers) })
	go r.Ingress.EnforceLimits()
	return nil
}

// stop makes the gateway not ready, closes each caller's connection after its next
// answer, and keeps serving until the load balancer has noticed. As long as requests arrive
// after that, it stays and refuses those that cannot be answered in time: a caller whose
// connection is closed instead does not know whether its request has run. The times follow
// the stop time in force, also if it becomes shorter meanwhile.
func (r *gatewayRegistration) stop(ctx context.Context) error {
	plan := newStopPlan(time.Now(), r.Live.inForce().StopTime())
	r.Gateway.Leave(plan.answerBy())
	r.Ingress.CloseConnections()
	running, end := context.WithCancel(ctx)
	defer end()
	go r.followPlan(running, end, plan)
	for time.Now().Before(plan.noticeUntil()) ||
		time.Now().Before(plan.acceptUntil()) && r.Ingress.SinceLastRequest() < noRequestTime {
		time.Sleep(stopPollInterval)
	}
	err := r.Ingress.Stop(running)
	for r.Gateway.ActiveRequests() > 0 && running.Err() == nil {
		time.Sleep(stopPollInterval)
	}
	r.Gateway.Stop()
	r.Server.Stop()
	r.Peers.Close()
	r.Upstreams.Close()
	return errors.Join(err, r.Control.Close())
}

// followPlan calls end when all connections must have been closed, and shortens the plan if
// the stop time in force becomes shorter.
func (r *gatewayRegistration) followPlan(ctx context.Context, end func(), plan *stopPlan) {
	for time.Now().Before(plan.closeBy()) && ctx.Err() == nil {
		sleep(ctx, stopPollInterval)
		if plan.shorten(r.Live.inForce().StopTime()) {
			r.Gateway.Leave(plan.answerBy())
		}
	}
	end()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
