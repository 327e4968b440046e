// Package app assembles a process from its settings. The process runs either an instance
// that serves documents or a gateway. The package creates it and its adapters, starts
// them in order and stops them gracefully.
package app

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/sardineturn/sardineturn/pkg/adapter/callerhttp"
	"github.com/sardineturn/sardineturn/pkg/adapter/operatorhttp"
	"github.com/sardineturn/sardineturn/pkg/adapter/peergrpc"
	"github.com/sardineturn/sardineturn/pkg/adapter/peerudp"
	"github.com/sardineturn/sardineturn/pkg/adapter/platformhttp"
	"github.com/sardineturn/sardineturn/pkg/adapter/upstreamhttp"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/instance"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/replay"
	"github.com/sardineturn/sardineturn/pkg/settings"
)

const (
	startTimeout = 15 * time.Second
	// drainTimeout bounds the wait for requests in progress after the load balancer has
	// noticed that the instance is leaving. The longest deadline in a sample document
	// is 30 s.
	drainTimeout = 60 * time.Second
	// minRetryDelay is the shortest delay after which a caller that was refused at the
	// concurrency limit is told to retry. A random time of up to half of it is added.
	minRetryDelay = 200 * time.Millisecond
)

// Serve runs an instance until SIGTERM, SIGINT, the end of ctx or the failure of a
// listener, and then stops it gracefully. A signal during the stop exits the process at
// once.
func Serve(ctx context.Context, s settings.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)

	failures := make(listenerFailures, 1)
	app := fx.New(Module(s), fx.Supply(failures))
	if err := app.Err(); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	// Only this channel may receive signals. If app.Wait were used as well, both would
	// get the first signal, and one of the two would be handled as a second signal.
	var failure error
	select {
	case <-signals:
	case <-ctx.Done():
	case failure = <-failures:
	}
	go exitOnSecondSignal(signals)
	stopCtx, cancel := context.WithTimeout(context.Background(), s.BalancerLag()+drainTimeout)
	defer cancel()
	return errors.Join(failure, app.Stop(stopCtx))
}

// listenerFailures receives the error of a listener that fails while the process runs.
type listenerFailures chan error

func exitOnSecondSignal(signals <-chan os.Signal) {
	<-signals
	os.Exit(1)
}

// Module returns the fx module of an instance process with the given settings.
func Module(s settings.Settings) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Provide(
			newLogger,
			newMetrics,
			newClock,
			newControlSocket,
			newPeerClient,
			newUpstreams,
			newPlatform,
			newTrace,
			newInstance,
			newPeerServer,
			newCallerServer,
			newOperatorServer,
		),
		fx.Invoke(register),
	)
}

func newClock() port.Clock { return port.SystemClock{} }

func newLogger(s settings.Settings) (logrus.FieldLogger, error) {
	return jsonLogger(s.LogLevel, os.Stderr, s.InstanceID)
}

// jsonLogger returns a logger that writes JSON lines with a field for the instance.
func jsonLogger(levelName string, out io.Writer, instance any) (logrus.FieldLogger, error) {
	log := logrus.New()
	level, err := logrus.ParseLevel(levelName)
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log.WithField("instance", instance), nil
}

// setLogLevel changes the level of a logger that jsonLogger returned.
func setLogLevel(log logrus.FieldLogger, levelName string) {
	if entry, ok := log.(*logrus.Entry); ok {
		if level, err := logrus.ParseLevel(levelName); err == nil {
			entry.Logger.SetLevel(level)
		}
	}
}

// metricsResult provides the metrics and the HTTP handler that serves them.
type metricsResult struct {
	fx.Out
	Metrics *metrics.Metrics
	Handler http.Handler `name:"scrape"`
}

func newMetrics(lc fx.Lifecycle, log logrus.FieldLogger) metricsResult {
	m, handler, closer := metrics.NewPrometheus(func(err error) {
		event.Warn(log, event.InternalError, event.Fields{"error": err.Error()}, "a metric could not be registered")
	})
	lc.Append(fx.StopHook(closer.Close))
	return metricsResult{Metrics: m, Handler: handler}
}

func newControlSocket(s settings.Settings) (*peerudp.Socket, error) {
	return peerudp.Listen(s.ControlAddress)
}

func newPeerClient(s settings.Settings, clock port.Clock) *peergrpc.Client {
	return peergrpc.NewClientFrom(clock, s.PeerSource())
}

func newPlatform(s settings.Settings) port.Platform { return platformhttp.New(s.PlatformURL) }

func newUpstreams(clock port.Clock) *upstreamhttp.Client { return upstreamhttp.New(clock) }

// jitteredRetryDelay returns a delay with a random part, so that refused callers do not
// all retry at the same time.
func jitteredRetryDelay() time.Duration {
	return minRetryDelay + rand.N(minRetryDelay/2)
}

// newTrace opens the trace file from the settings. It returns nil if the settings name
// none.
func newTrace(lc fx.Lifecycle, s settings.Settings) (*replay.Trace, error) {
	if s.TraceFile == "" {
		return nil, nil
	}
	// A restarted process appends to the trace of the previous one.
	f, err := os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	trace := replay.NewTrace(f)
	lc.Append(fx.StopHook(func() error { return errors.Join(trace.Err(), f.Close()) }))
	return trace, nil
}

type instanceParams struct {
	fx.In
	Settings  settings.Settings
	Clock     port.Clock
	Log       logrus.FieldLogger
	Metrics   *metrics.Metrics
	Control   *peerudp.Socket
	Peers     *peergrpc.Client
	Upstreams *upstreamhttp.Client
	Platform  port.Platform
	Trace     *replay.Trace
}

func newInstance(p instanceParams) *instance.Instance {
	s := p.Settings
	return instance.New(instance.Config{
		ID:               s.InstanceID,
		DataCentre:       s.DataCentre,
		Cluster:          s.Cluster,
		ControlAddress:   cmp.Or(s.AdvertisedControlAddress, p.Control.Address()),
		Seeds:            s.Seeds,
		MaxInstances:     s.MaxInstances,
		MaxTickets:       s.Limits.MaxTickets,
		AssertInvariants: s.AssertInvariants,
		Trace:            p.Trace,
	}, instance.Ports{
		Clock:     p.Clock,
		Upstreams: p.Upstreams,
		Platform:  p.Platform,
		Peers:     p.Peers,
		Control:   p.Control,
		Log:       p.Log,
		Metrics:   p.Metrics,
		NewID:     instance.NewAttemptID,
		NewRand:   instance.NewRand,

		OpenConnections: p.Upstreams.TotalConnections,
	})
}

func newPeerServer(i *instance.Instance, clock port.Clock) *peergrpc.Server {
	return peergrpc.NewServer(i, clock)
}

func newCallerServer(s settings.Settings, i *instance.Instance, clock port.Clock) *http.Server {
	return callerhttp.NewServer(i, clock, callerhttp.Config{
		MaxBodyBytes:  s.Limits.MaxBodyBytes,
		MaxConcurrent: s.Limits.MaxConcurrentRequests,
		RetryDelay:    jitteredRetryDelay,
	})
}

type operatorParams struct {
	fx.In
	Settings settings.Settings
	Log      logrus.FieldLogger
	Instance *instance.Instance
	Scrape   http.Handler `name:"scrape"`
}

func newOperatorServer(p operatorParams) *operatorhttp.Server {
	handler := operatorhttp.NewHandler(operatorAdapter{p.Instance}, p.Scrape, p.Settings.Profiling, p.Log)
	return operatorhttp.NewServer(p.Settings.OperatorAddress, handler, p.Log)
}

// operatorAdapter implements operatorhttp.Inspector for an instance.
type operatorAdapter struct{ *instance.Instance }

// Status implements operatorhttp.Inspector.
func (a operatorAdapter) Status() any { return a.Instance.Status() }

// Explain implements operatorhttp.Inspector.
func (a operatorAdapter) Explain(service, priority, shard string) (any, error) {
	return a.Instance.Explain(service, priority, model.ShardID(shard))
}

// registration holds the components that its methods start and stop use.
type registration struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Failures   listenerFailures
	Settings   settings.Settings
	Log        logrus.FieldLogger
	Instance   *instance.Instance
	Control    *peerudp.Socket
	Peers      *peergrpc.Client
	Upstreams  *upstreamhttp.Client
	PeerServer *peergrpc.Server
	Caller     *http.Server
	Operator   *operatorhttp.Server
}

func register(r registration) {
	r.Lifecycle.Append(fx.Hook{OnStart: r.start, OnStop: r.stop})
}

func (r *registration) start(ctx context.Context) error {
	peers, err := net.Listen("tcp", r.Settings.GRPCAddress)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", r.Settings.CallerAddress)
	if err != nil {
		return err
	}
	if err := r.Operator.Start(ctx); err != nil {
		return err
	}
	r.Instance.Start(context.Background())
	r.Control.Start(r.Instance)
	serve := func(name string, run func() error) { serveListener(r.Log, r.Failures, name, run) }
	go serve("peer", func() error { return r.PeerServer.Serve(peers) })
	go serve("caller", func() error { return r.Caller.Serve(callers) })
	return nil
}

// serveListener runs a listener. If the listener fails, the process stops: without it,
// the instance would seem to run but would not serve anyone.
func serveListener(log logrus.FieldLogger, failures listenerFailures, name string, run func() error) {
	err := run()
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	event.Error(log, event.ListenerFailed, event.Fields{"listener": name, "error": err.Error()}, "a listener failed")
	select {
	case failures <- err:
	default:
	}
}

// stop announces that the instance is leaving, keeps serving for the time that the load
// balancer needs to notice, and then waits for the requests in progress.
func (r *registration) stop(ctx context.Context) error {
	r.Instance.Leave()
	// With keep-alive, a caller could send a request on an idle connection just when the
	// server closes it.
	r.Caller.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(r.Settings.BalancerLag()):
	case <-ctx.Done():
	}
	err := errors.Join(
		r.Caller.Shutdown(ctx),
		r.Instance.Drain(ctx),
	)
	r.stopPeers(ctx)
	r.Instance.Stop()
	r.Peers.Close()
	r.Upstreams.Close()
	return errors.Join(err, r.Operator.Stop(ctx), r.Control.Close())
}

// stopPeers waits for the calls from other instances to finish, and cancels them when
// ctx ends.
func (r *registration) stopPeers(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.PeerServer.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		r.PeerServer.Stop()
	}
}
