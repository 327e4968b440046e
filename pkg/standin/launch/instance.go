package launch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/settings"
	"github.com/sardineturn/sardineturn/pkg/standin/platform"
	"github.com/sardineturn/sardineturn/pkg/standin/relay"
)

// Instance is a process of the sardineturn program in its serve mode.
type Instance struct {
	*Process
	Settings settings.Settings

	fleet        *Fleet
	settingsFile string
}

// StartInstance adds a new instance to the platform's instance list and starts its
// process. It does not wait until the instance is ready.
func (f *Fleet) StartInstance(ctx context.Context, dataCentre model.DataCentre) (*Instance, error) {
	f.mu.Lock()
	number := len(f.instances) + 1
	f.mu.Unlock()
	name := fmt.Sprintf("instance-%d", number)
	s, err := f.newSettings(dataCentre)
	if err == nil && f.Relay != nil {
		err = f.routeThroughRelay(&s, name, number)
	}
	if err != nil {
		return nil, err
	}
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
	if err := f.setInstanceEntry(ctx, s, false); err != nil {
		return nil, err
	}
	i.Process, err = f.start(ctx, name, f.config.Sardineturn, []string{"serve", "--settings", i.settingsFile}, nil)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, i)
	return i, nil
}

// newSettings returns the settings of a new instance, with free addresses for its
// listeners.
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

// firstRelayedIPByte is the last byte of 127.0.0.11, the IP address of the first
// instance behind a relay.
const firstRelayedIPByte = 11

// routeThroughRelay changes the settings so that the relay listens on the addresses that
// the instance advertises, and the instance listens on an IP address of its own. The
// instance also connects to peers from this IP address, by which the relay recognises it.
// The instance reaches the platform through the relay, too.
func (f *Fleet) routeThroughRelay(s *settings.Settings, name string, number int) error {
	instanceIP := fmt.Sprintf("127.0.0.%d", firstRelayedIPByte+number-1)
	controlAddress, err := FreeAddress(instanceIP)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(string(s.InstanceID))
	if err != nil {
		return err
	}
	s.GRPCAddress = net.JoinHostPort(instanceIP, port)
	s.AdvertisedControlAddress, s.ControlAddress = s.ControlAddress, controlAddress
	s.PeerSourceAddress = instanceIP
	err = f.Relay.Add(relay.Node{
		Name:              name,
		PeerAdvertised:    string(s.InstanceID),
		ControlAdvertised: s.AdvertisedControlAddress,
		Peer:              s.GRPCAddress,
		Control:           s.ControlAddress,
	})
	if err != nil {
		return err
	}
	platformAddress, err := f.Relay.Forward(name, PlatformNode, f.PlatformAddress)
	s.PlatformURL = "http://" + platformAddress
	return err
}

// PlatformNode is the relay's node name of the platform. The node name of an instance is
// the name of its process.
const PlatformNode = "platform"

// setInstanceEntry adds the instance's entry to the platform's instance list or
// replaces it.
func (f *Fleet) setInstanceEntry(ctx context.Context, s settings.Settings, leaving bool) error {
	control := cmp.Or(s.AdvertisedControlAddress, s.ControlAddress)
	entry := platform.Instance{ID: string(s.InstanceID), ControlAddress: control, DataCentre: string(s.DataCentre), Leaving: leaving}
	return PostJSON(ctx, f.PlatformAdmin, "/admin/instances", entry, nil)
}

// removeInstanceEntry removes the instance from the platform's instance list.
func (f *Fleet) removeInstanceEntry(ctx context.Context, s settings.Settings) error {
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
		case <-time.After(readyPollInterval):
		}
	}
}

// Ready reports whether an instance's readiness endpoint answers 200 to a single
// request.
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

// Restart starts the instance again after it ended, with the same settings, and adds
// its entry to the platform's list again.
func (i *Instance) Restart(ctx context.Context) error {
	if i.Running() {
		return fmt.Errorf("%s is still running", i.Name)
	}
	if err := i.fleet.setInstanceEntry(ctx, i.Settings, false); err != nil {
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

// KillAndUnlist kills the instance with SIGKILL and removes it from the platform's
// list.
func (i *Instance) KillAndUnlist(ctx context.Context) error {
	i.Kill()
	return i.fleet.removeInstanceEntry(ctx, i.Settings)
}

// Leave stops the instance as a rollout does: it lists the instance as leaving at the
// platform, sends SIGTERM to the process, and removes the entry after the process has
// ended.
func (i *Instance) Leave(ctx context.Context) error {
	listErr := i.fleet.setInstanceEntry(ctx, i.Settings, true)
	stopErr := i.Terminate(StopGrace)
	return errors.Join(listErr, stopErr, i.fleet.removeInstanceEntry(ctx, i.Settings))
}
