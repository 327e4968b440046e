package launch

import (
	"context"
	"errors"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/relay"
)

const (
	loopback = "127.0.0.1"
	// StopGrace is how long a process may take to end after SIGTERM before it is
	// killed.
	StopGrace         = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	adminTimeout      = 10 * time.Second
)

// Config configures a Fleet.
type Config struct {
	// Sardineturn and Standin are the paths of the two binaries.
	Sardineturn string
	Standin     string
	// Dir is the directory for logs, settings files and traces.
	Dir     string
	Cluster string
	// ListLagMS is the time until a change of the platform's lists of instances and
	// upstreams is visible to readers.
	ListLagMS float64
	// BalancerLagMS, MaxInstances and LogLevel go into the settings of every
	// instance.
	BalancerLagMS int
	MaxInstances  int
	LogLevel      string
	// Seed seeds the random numbers of the stand-in upstreams.
	Seed uint64
	// Trace makes each instance record its decisions in a trace file in Dir.
	Trace bool
	// Relayed sends the traffic between instances, and between instances and the
	// platform, through a relay that can cut links.
	Relayed bool
	// Env is added to the environment of every process.
	Env []string
}

// Fleet is a set of processes: a stand-in platform, stand-in upstreams and
// instances.
type Fleet struct {
	config Config

	// PlatformAddress and PlatformAdmin are the "ip:port" of the platform's
	// listeners for readers and for admin requests.
	PlatformAddress string
	PlatformAdmin   string
	platform        *Process
	// Relay is nil unless Config.Relayed is set.
	Relay *relay.Relay

	mu        sync.Mutex
	hosts     []*UpstreamHost
	instances []*Instance
	stopped   bool
}

// NewFleet starts the platform and returns a fleet that has no upstreams and no
// instances yet.
func NewFleet(ctx context.Context, c Config) (*Fleet, error) {
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return nil, err
	}
	f := &Fleet{config: c}
	if c.Relayed {
		f.Relay = relay.New()
	}
	ready := struct {
		Address string `json:"address"`
		Admin   string `json:"admin"`
	}{}
	lag := "--list-lag-ms=" + strconv.FormatFloat(c.ListLagMS, 'g', -1, 64)
	var err error
	f.platform, err = f.start(ctx, "platform", c.Standin, []string{"platform", lag}, &ready)
	if err != nil {
		return nil, err
	}
	f.PlatformAddress, f.PlatformAdmin = ready.Address, ready.Admin
	return f, nil
}

// start starts a process with the fleet's environment and log directory.
func (f *Fleet) start(ctx context.Context, name, path string, args []string, ready any) (*Process, error) {
	return Start(ctx, Command{
		Name:   name,
		Path:   path,
		Args:   args,
		Env:    f.config.Env,
		LogDir: f.config.Dir,
		Ready:  ready,
	})
}

// Platform returns the platform's process.
func (f *Fleet) Platform() *Process { return f.platform }

// Hosts returns all processes of upstreams that were started, including processes
// that have ended.
func (f *Fleet) Hosts() []*UpstreamHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*UpstreamHost(nil), f.hosts...)
}

// Instances returns all instances that were started, including instances that have
// ended.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Instance(nil), f.instances...)
}

// SetPlatformFaults sends faults as the JSON body of POST /admin/faults to the
// platform. Fields that are absent keep their values, except view_version, which is
// cleared.
func (f *Fleet) SetPlatformFaults(ctx context.Context, faults any) error {
	return PostJSON(ctx, f.PlatformAdmin, "/admin/faults", faults, nil)
}

// Stop terminates all processes: instances first, then upstreams, then the
// platform. It returns the errors of processes that did not end cleanly. A second
// call does nothing.
func (f *Fleet) Stop() error {
	f.mu.Lock()
	if f.stopped {
		f.mu.Unlock()
		return nil
	}
	f.stopped = true
	var instances, hosts []*Process
	for _, i := range f.instances {
		instances = append(instances, i.Process)
	}
	for _, h := range f.hosts {
		hosts = append(hosts, h.Process)
	}
	f.mu.Unlock()
	err := errors.Join(terminateAll(instances), terminateAll(hosts), terminateAll([]*Process{f.platform}))
	if f.Relay != nil {
		f.Relay.Close()
	}
	return err
}

// terminateAll terminates the processes that still run, all at the same time.
func terminateAll(processes []*Process) error {
	errs := make([]error, len(processes))
	var wg sync.WaitGroup
	for n, p := range processes {
		if p.Running() {
			wg.Go(func() { errs[n] = p.Terminate(StopGrace) })
		}
	}
	wg.Wait()
	return errors.Join(errs...)
}
