package instance

import (
	"context"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// host is a simulated machine, on which at most one process runs at a time.
type host struct {
	sim            *simulation
	index          int
	id             model.InstanceID
	controlAddress string
	dataCentre     model.DataCentre

	mu           sync.Mutex
	process      *process
	processCount uint64
	leaving      bool
}

// process is a run of the program on a host, with one instance.
type process struct {
	sim      *simulation
	host     *host
	instance *Instance
	// dead is closed when the process is killed.
	dead chan struct{}

	mu      sync.Mutex
	killed  bool
	resumed chan struct{} // Closed at the end of a pause; nil while not paused.
	// pauseCount is the number of pauses so far.
	pauseCount    int
	upstreamCalls map[string]int // Calls in flight by the upstream's name.
	peerRequests  atomic.Int64   // Requests of peers that are in transit or being handled.
	peersClosed   atomic.Bool    // True once the process accepts no new calls of peers.
	// callersClosed is true once the process accepts no new requests of callers, and
	// callerRequests is the number of callers' requests in progress.
	callersClosed  atomic.Bool
	callerRequests atomic.Int64
}

func (h *host) currentProcess() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// start runs a new process on the host. It keeps no state of the previous process.
func (h *host) start() {
	h.mu.Lock()
	h.processCount++
	h.leaving = false
	p := &process{sim: h.sim, host: h, dead: make(chan struct{}), upstreamCalls: make(map[string]int)}
	rng := mathrand.New(mathrand.NewPCG(h.sim.seed, uint64(h.index)<<32|h.processCount))
	h.mu.Unlock()
	var mu sync.Mutex
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(seedLogHook{h.sim})
	p.instance = New(Config{
		ID: h.id, DataCentre: h.dataCentre, Cluster: "soak", ControlAddress: h.controlAddress,
		MaxInstances: len(h.sim.hosts), MaxTickets: 1 << 14, AssertInvariants: true,
		Trace: h.sim.newTrace(),
	}, Ports{
		Clock: processClock{p}, Upstreams: upstreamPort{p}, Platform: platformPort{p},
		Peers: peerPort{p}, Control: controlPort{p}, Log: log, Metrics: metrics.New(tally.NoopScope),
		NewID: func() model.AttemptID {
			mu.Lock()
			defer mu.Unlock()
			var id model.AttemptID
			for i := range id {
				id[i] = byte(rng.Uint32())
			}
			return id
		},
		NewRand: func() *mathrand.Rand {
			mu.Lock()
			defer mu.Unlock()
			return mathrand.New(mathrand.NewPCG(rng.Uint64(), rng.Uint64()))
		},
	})
	h.mu.Lock()
	h.process = p
	h.mu.Unlock()
	h.sim.mu.Lock()
	h.sim.allInstances = append(h.sim.allInstances, p.instance)
	h.sim.mu.Unlock()
	p.instance.Start(context.Background())
}

// kill ends the process without notice: its calls fail and all its goroutines stop
// at their next call of awaitRunning.
func (h *host) kill() {
	h.mu.Lock()
	p := h.process
	h.process = nil
	h.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.killed = true
	close(p.dead)
	p.mu.Unlock()
	p.resume()
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil && !p.killed {
		p.resumed = make(chan struct{})
		p.pauseCount++
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// pauses returns the number of pauses so far.
func (p *process) pauses() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauseCount
}

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

// awaitRunning blocks while the process is paused and returns true once it runs. If
// the process has been killed, it blocks until the simulation ends and returns
// false, so that a killed process does nothing more and its goroutines can end.
func (p *process) awaitRunning() bool {
	for {
		p.mu.Lock()
		killed, resumed := p.killed, p.resumed
		p.mu.Unlock()
		switch {
		case killed:
			<-p.sim.end
			return false
		case resumed != nil:
			<-resumed
		default:
			return true
		}
	}
}

// seedLogHook prints the seed when an instance logs an error, such as a violated
// invariant, because the panic that follows ends the test process.
type seedLogHook struct{ sim *simulation }

func (seedLogHook) Levels() []logrus.Level { return []logrus.Level{logrus.ErrorLevel} }

func (h seedLogHook) Fire(e *logrus.Entry) error {
	_, err := fmt.Fprintf(os.Stderr, "soak seed %d at %s: %s %v\n", h.sim.seed, time.Now().Format("05.000"), e.Message, e.Data)
	return err
}

// processClock implements port.Clock. Its timers wait while the process is paused.
type processClock struct{ process *process }

func (processClock) Now() time.Time { return time.Now() }

func (c processClock) AfterFunc(d time.Duration, f func()) port.Timer {
	t := &processTimer{}
	t.timer = time.AfterFunc(d, func() {
		c.process.awaitRunning()
		if t.state.CompareAndSwap(0, 1) {
			f()
		}
	})
	return t
}

// processTimer is a timer that can still be stopped after its time has come, while
// its process is paused. state is 0 at first, 1 once the function has been started
// and 2 once the timer has been stopped.
type processTimer struct {
	timer *time.Timer
	state atomic.Int32
}

func (t *processTimer) Stop() bool {
	t.timer.Stop()
	return t.state.CompareAndSwap(0, 2)
}
