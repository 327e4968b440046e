package soak

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/sardineturn/sardineturn/pkg/settings"
)

// stopTimes are the stop times, in seconds, that changed settings state; none is longer
// than stopGrace.
var stopTimes = []float64{3.5, 4, 4.25, 5, 6}

// changeSettings changes the settings files of random gateways until the run ends: with and
// without SIGHUP, sometimes with invalid content in between, in quick succession, and just
// before or during a stop. The retry budget never exceeds the one that is checked.
func (h *harness) changeSettings(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	for h.waitUnlessStopped(100*time.Millisecond + time.Duration(r.Int64N(int64(1500*time.Millisecond)))) {
		g := h.randomGateway(r)
		h.countFault("settings change")
		for range 1 + r.IntN(3) {
			if r.IntN(4) == 0 {
				invalid := []string{"", "{", `{"stop_s": "4"}`, `{"stop_s": -1}`, "null"}[r.IntN(5)]
				_ = g.writeSettingsFile(invalid)
				g.hangUp(r.IntN(3))
				time.Sleep(time.Duration(r.Int64N(int64(300 * time.Millisecond))))
			}
			_ = g.changeSettings(func(s *settings.Gateway) {
				s.StopS = stopTimes[r.IntN(len(stopTimes))]
				s.MemoryMB = 200 + 100*r.Float64()
				s.LoadShedding = []settings.LoadShedding{settings.LoadSheddingOff, settings.LoadSheddingOn, settings.LoadSheddingAuto}[r.IntN(3)]
				s.Budget.Allowance = retryBudget.Allowance * (0.5 + r.Float64()/2)
			})
			// More signals in a row than a process may queue.
			g.hangUp([]int{0, 0, 1, 1, 8}[r.IntN(5)])
		}
		if r.IntN(3) == 0 {
			h.terminateBesideKeptConnections(g, r)
		}
	}
}

// keptConnections is the number of connections that callers keep to a gateway until its
// process is gone, and keptPause the time after which the next of them is used. It is
// shorter than the time without a request after which a stopping process ends.
const (
	keptConnections = 30
	keptPause       = 200 * time.Millisecond
)

// terminateBesideKeptConnections stops a gateway while callers go on sending on the
// connections that they have.
func (h *harness) terminateBesideKeptConnections(g *gatewayProcess, r *rand.Rand) {
	var callers []*caller
	for range keptConnections {
		c := &caller{ledger: h.ledger, fleet: h.fleet, services: h.services, index: int(r.Uint32()), fixedGateway: g, random: rand.New(rand.NewPCG(r.Uint64(), 0)), stop: h.stop}
		if c.connect() {
			callers = append(callers, c)
		}
	}
	terminate := fault{name: "terminate beside kept connections", planned: true, start: func(*harness, *rand.Rand) (string, func()) {
		return h.terminate(g), noUndo
	}}
	h.startFault(terminate, r, time.Second)
	for i, c := range callers {
		h.running.Go(func() {
			defer c.closeConn()
			if h.waitUnlessStopped(time.Duration(i) * keptPause) {
				request := c.newRequest()
				request.lateInStop = true
				c.send(request)
			}
		})
	}
}

// hangUp sends SIGHUP to the process several times in a row.
func (g *gatewayProcess) hangUp(times int) {
	p := g.currentProcess()
	if g.isStarting() {
		return
	}
	for range times {
		p.Signal(syscall.SIGHUP)
	}
}

// writeSettingsFile writes a text that need not be valid to the settings file.
func (g *gatewayProcess) writeSettingsFile(text string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return replaceFile(g.settingsFile, []byte(text))
}

// changeSettings changes the settings and writes them to the settings file. The stop time
// does not become longer while a stop may be under way, because SIGKILL comes by the time
// of its beginning.
func (g *gatewayProcess) changeSettings(change func(*settings.Gateway)) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.settings.StopS
	change(&g.settings)
	if time.Since(g.stopBegan) <= stopGrace+time.Second {
		g.settings.StopS = min(g.settings.StopS, old)
	}
	text, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	return replaceFile(g.settingsFile, text)
}

// replaceFile replaces a file as a whole.
func replaceFile(path string, content []byte) error {
	if err := os.WriteFile(path+".new", content, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
