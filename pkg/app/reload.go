package app

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/settings"
)

// settingsPollInterval is how often the settings file is read. It may change without a
// signal.
const settingsPollInterval = time.Second

// gatewaySettings holds the settings in force of a running gateway. A part of the program
// that acts on a setting at a later time asks inForce for it then, and one that holds a
// copy gets the new value from apply. docs/gateway-settings.md says when each takes effect.
type gatewaySettings struct {
	current atomic.Pointer[settings.Gateway]

	// mu guards the fields below and lets only one reload run at a time.
	mu   sync.Mutex
	file *settings.GatewayFile
	// readError is the text of the error if the file could not be read the last time.
	readError string
	log       logrus.FieldLogger
	metrics   *metrics.Metrics
	// apply puts settings into force in the parts that hold copies of the old ones.
	apply func(old, s settings.Gateway)
}

// loadGatewaySettings reads the settings that a gateway starts with.
func loadGatewaySettings(path string) (*gatewaySettings, error) {
	g := &gatewaySettings{file: settings.NewGatewayFile(path)}
	s, _, err := g.file.Read()
	if err != nil {
		return nil, err
	}
	g.current.Store(&s)
	return g, nil
}

// inForce returns the settings in force.
func (g *gatewaySettings) inForce() settings.Gateway { return *g.current.Load() }

// watch reloads the settings on each signal and in intervals until ctx ends.
func (g *gatewaySettings) watch(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
		}
		g.reload()
	}
}

// reload reads the settings file and, if it has changed and is valid, puts the settings
// into force. Otherwise the previous ones stay in force.
func (g *gatewaySettings) reload() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next, changed, err := g.file.Read()
	if !changed {
		g.readError = ""
		return
	}
	if err != nil {
		if text := err.Error(); text != g.readError {
			g.readError = text
			g.metrics.SettingsReloaded(false)
			event.Warn(g.log, event.SettingsInvalid, event.Fields{"error": text}, "the changed settings are invalid; the previous ones stay in force")
		}
		return
	}
	g.readError = ""
	old := g.inForce()
	inForce, fixed := old.AtRunTime(next)
	g.current.Store(&inForce)
	g.apply(old, inForce)
	g.metrics.SettingsReloaded(true)
	event.Info(g.log, event.SettingsChanged, event.Fields{"settings": inForce, "at_next_start": fixed}, "the changed settings are in force")
}
