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

// node is a machine; proc is one process run on it.
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

type process struct {
	sim      *simulation
	host     *host
	instance *Instance
	dead     chan struct{}

	mu      sync.Mutex
	killed  bool
	resumed chan struct{} // Not nil while paused.
	// paused is the number of pauses so far.
	pauseCount    int
	upstreamCalls map[string]int // Calls in flight by upstream.
	peerRequests  atomic.Int64   // Requests of peers on the way or being handled.
	peersClosed   atomic.Bool    // No new peer calls are accepted.
	// stopping is true when the listener of callers is closed, and callers
	// counts the requests of callers.
	callersClosed  atomic.Bool
	callerRequests atomic.Int64
}

func (h *host) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// start runs a new process on the node, which keeps nothing of the last one.
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

// kill ends the process without notice: its connections break and nothing of
// it acts any more.
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

// gate holds the caller while the process is paused. A killed process stays
// held until the run is over, so that its goroutines can end; gate then
// returns false.
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

// seedHook names the seed when the program itself reports a broken invariant,
// because the panic that follows ends the test process.
type seedLogHook struct{ sim *simulation }

func (seedLogHook) Levels() []logrus.Level { return []logrus.Level{logrus.ErrorLevel} }

func (h seedLogHook) Fire(e *logrus.Entry) error {
	_, err := fmt.Fprintf(os.Stderr, "soak seed %d at %s: %s %v\n", h.sim.seed, time.Now().Format("05.000"), e.Message, e.Data)
	return err
}

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

// procTimer can still be stopped while its process is paused.
type processTimer struct {
	timer *time.Timer
	state atomic.Int32
}

func (t *processTimer) Stop() bool {
	t.timer.Stop()
	return t.state.CompareAndSwap(0, 2)
}
