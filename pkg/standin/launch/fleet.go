package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/settings"
	"github.com/sardineturn/sardineturn/pkg/standin/platform"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

const (
	loopback = "127.0.0.1"
	// StopGrace is how long a process may take to end after SIGTERM.
	StopGrace    = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	adminTimeout = 10 * time.Second
)

// Config configures a Fleet.
type Config struct {
	// Sardineturn and Standin are the paths of the two binaries.
	Sardineturn string
	Standin     string
	// Dir receives logs and settings files.
	Dir     string
	Cluster string
	// ListLagMS is the lag of the platform's instance list.
	ListLagMS     float64
	BalancerLagMS int
	MaxInstances  int
	LogLevel      string
	Seed          uint64
	// Trace makes each instance record its decisions to a file in Dir.
	Trace bool
	// Env is added to the environment of every process.
	Env []string
}

// Fleet is a platform, stand-in upstreams and instances.
type Fleet struct {
	config Config

	// PlatformAddress and PlatformAdmin are "ip:port".
	PlatformAddress string
	PlatformAdmin   string
	platform        *Process

	mu        sync.Mutex
	hosts     []*UpstreamHost
	instances []*Instance
	stopped   bool
}

// UpstreamHost is a process with the upstreams of one service.
type UpstreamHost struct {
	*Process
	Service   Service
	Admin     string            `json:"admin"`
	Upstreams []upstream.Listed `json:"upstreams"`
	Document  document.Document
}

// Instance is a process of sardineturn.
type Instance struct {
	*Process
	Settings settings.Settings

	fleet        *Fleet
	settingsFile string
}

// NewFleet starts the platform.
func NewFleet(ctx context.Context, c Config) (*Fleet, error) {
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return nil, err
	}
	f := &Fleet{config: c}
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

// Hosts returns the started upstream processes.
func (f *Fleet) Hosts() []*UpstreamHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*UpstreamHost(nil), f.hosts...)
}

// Instances returns the started instances.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Instance(nil), f.instances...)
}

// StartService starts the service's upstreams in one process, gives them their
// shards, lists them, and writes the service's document with revision 1.
func (f *Fleet) StartService(ctx context.Context, s Service) (*UpstreamHost, error) {
	behaviour, err := json.Marshal(s.Behaviour())
	if err != nil {
		return nil, err
	}
	h := &UpstreamHost{Service: s}
	args := []string{
		"upstream",
		"--count=" + strconv.Itoa(s.Upstreams),
		"--prefix=" + s.Name + "-u",
		"--seed=" + strconv.FormatUint(f.config.Seed, 10),
		"--behaviour=" + string(behaviour),
	}
	h.Process, err = f.start(ctx, "upstream-"+s.Name, f.config.Standin, args, h)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	h.Document = s.Document(1, "v1", h.Upstreams)
	for _, u := range h.Upstreams {
		path := "/admin/index?upstream=" + url.QueryEscape(u.Name)
		if err := PostJSON(ctx, h.Admin, path, IndexOf(h.Document, u.Name), nil); err != nil {
			return nil, err
		}
		if err := f.ListUpstream(ctx, u.Address, false); err != nil {
			return nil, err
		}
	}
	return h, f.WriteDocument(ctx, h.Document)
}

// WriteDocument writes a document on behalf of the service's owner.
func (f *Fleet) WriteDocument(ctx context.Context, d document.Document) error {
	return PostJSON(ctx, f.PlatformAdmin, "/admin/documents", d, nil)
}

// ChangeDocument changes the document of a service, raises its revision and
// writes it. The document of h is replaced.
func (f *Fleet) ChangeDocument(ctx context.Context, h *UpstreamHost, change func(*document.Document)) error {
	change(&h.Document)
	h.Document.Revision++
	return f.WriteDocument(ctx, h.Document)
}

// ListUpstream writes an upstream's entry in the platform's list.
func (f *Fleet) ListUpstream(ctx context.Context, address string, leaving bool) error {
	return PostJSON(ctx, f.PlatformAdmin, "/admin/upstreams", platform.Upstream{Address: address, Leaving: leaving}, nil)
}

// SetPlatformFaults overlays faults of the platform, in the form of its admin
// interface.
func (f *Fleet) SetPlatformFaults(ctx context.Context, faults any) error {
	return PostJSON(ctx, f.PlatformAdmin, "/admin/faults", faults, nil)
}

// SetFaults overlays faults of the named upstream, or of all when it is empty.
func (h *UpstreamHost) SetFaults(ctx context.Context, name string, faults any) error {
	path := "/admin/faults"
	if name != "" {
		path += "?upstream=" + url.QueryEscape(name)
	}
	return PostJSON(ctx, h.Admin, path, faults, nil)
}

// StartInstance lists a new instance at the platform and starts it. It does
// not wait until the instance is ready.
func (f *Fleet) StartInstance(ctx context.Context, dataCentre model.DataCentre) (*Instance, error) {
	s, err := f.newSettings(dataCentre)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	number := len(f.instances) + 1
	f.mu.Unlock()
	if f.config.Trace {
		s.TraceFile = filepath.Join(f.config.Dir, fmt.Sprintf("instance-%d.trace.jsonl", number))
	}
	i := &Instance{fleet: f, Settings: s}
	i.settingsFile = filepath.Join(f.config.Dir, fmt.Sprintf("instance-%d.json", number))
	content, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(i.settingsFile, content, 0o644); err != nil {
		return nil, err
	}
	if err := f.list(ctx, s, false); err != nil {
		return nil, err
	}
	name := fmt.Sprintf("instance-%d", number)
	i.Process, err = f.start(ctx, name, f.config.Sardineturn, []string{"serve", "--settings", i.settingsFile}, nil)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, i)
	return i, nil
}

func (f *Fleet) newSettings(dataCentre model.DataCentre) (settings.Settings, error) {
	var addresses [4]string
	for n := range addresses {
		address, err := FreeAddress(loopback)
		if err != nil {
			return settings.Settings{}, err
		}
		addresses[n] = address
	}
	s := settings.Default()
	s.InstanceID = model.InstanceID(addresses[0])
	s.DataCentre = dataCentre
	s.Cluster = f.config.Cluster
	s.GRPCAddress = addresses[0]
	s.ControlAddress = addresses[1]
	s.CallerAddress = addresses[2]
	s.OperatorAddress = addresses[3]
	s.PlatformURL = "http://" + f.PlatformAddress
	s.MaxInstances = f.config.MaxInstances
	s.BalancerLagMS = f.config.BalancerLagMS
	s.LogLevel = f.config.LogLevel
	return s, nil
}

// list writes the instance's entry in the platform's list.
func (f *Fleet) list(ctx context.Context, s settings.Settings, leaving bool) error {
	entry := platform.Instance{ID: string(s.InstanceID), ControlAddress: s.ControlAddress, DataCentre: string(s.DataCentre), Leaving: leaving}
	return PostJSON(ctx, f.PlatformAdmin, "/admin/instances", entry, nil)
}

func (f *Fleet) unlist(ctx context.Context, s settings.Settings) error {
	return PostJSON(ctx, f.PlatformAdmin, "/admin/instances/remove", platform.Instance{ID: string(s.InstanceID)}, nil)
}

// WaitReady waits until the instance's readiness endpoint answers 200.
func (i *Instance) WaitReady(ctx context.Context) error {
	for {
		if Ready(ctx, i.Settings.OperatorAddress) {
			return nil
		}
		select {
		case <-i.Done():
			return fmt.Errorf("%s ended before it was ready (log: %s)", i.Name, i.LogFile)
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready (log: %s): %w", i.Name, i.LogFile, ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}

// Ready asks an instance's readiness endpoint once.
func Ready(ctx context.Context, operatorAddress string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddress+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Restart starts the instance again with the same settings after it ended.
func (i *Instance) Restart(ctx context.Context) error {
	if i.Running() {
		return fmt.Errorf("%s is still running", i.Name)
	}
	if err := i.fleet.list(ctx, i.Settings, false); err != nil {
		return err
	}
	args := []string{"serve", "--settings", i.settingsFile}
	p, err := i.fleet.start(ctx, i.Name, i.fleet.config.Sardineturn, args, nil)
	if err != nil {
		return err
	}
	i.Process = p
	return nil
}

// Lose kills the instance with SIGKILL. The platform removes it from the list.
func (i *Instance) Lose(ctx context.Context) error {
	i.Kill()
	return i.fleet.unlist(ctx, i.Settings)
}

// Leave stops the instance as a rollout does: the platform lists it as leaving,
// the process gets SIGTERM, and its entry is removed at its end.
func (i *Instance) Leave(ctx context.Context) error {
	listed := i.fleet.list(ctx, i.Settings, true)
	ended := i.Terminate(StopGrace)
	return errors.Join(listed, ended, i.fleet.unlist(ctx, i.Settings))
}

// Stop ends all processes: instances first, then upstreams, then the platform.
// It returns the errors of processes that did not end cleanly.
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
	return errors.Join(terminateAll(instances), terminateAll(hosts), terminateAll([]*Process{f.platform}))
}

// terminateAll stops the processes that still run, all at the same time.
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

// PostJSON sends an admin request and decodes the answer into out unless it is
// nil.
func PostJSON(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return call(ctx, http.MethodPost, "http://"+address+path, body, out)
}

// GetJSON reads an admin answer.
func GetJSON(ctx context.Context, address, path string, out any) error {
	return call(ctx, http.MethodGet, "http://"+address+path, nil, out)
}

func call(ctx context.Context, method, target string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, target, resp.StatusCode, bytes.TrimSpace(answer))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(answer, out)
}
