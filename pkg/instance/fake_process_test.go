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
type node struct {
	w       *world
	index   int
	id      model.InstanceID
	control string
	dc      model.DataCentre

	mu      sync.Mutex
	proc    *proc
	boots   uint64
	leaving bool
}

type proc struct {
	w    *world
	n    *node
	inst *Instance
	dead chan struct{}

	mu      sync.Mutex
	killed  bool
	resumed chan struct{} // Not nil while paused.
	// paused is the number of pauses so far.
	paused int
	calls  map[string]int // Calls in flight by upstream.
	inside atomic.Int64   // Requests of peers on the way or being handled.
	closed atomic.Bool    // No new peer calls are accepted.
	// stopping is true when the listener of callers is closed, and callers
	// counts the requests of callers.
	stopping atomic.Bool
	callers  atomic.Int64
}

func (n *node) current() *proc {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// start runs a new process on the node, which keeps nothing of the last one.
func (n *node) start() {
	n.mu.Lock()
	n.boots++
	n.leaving = false
	p := &proc{w: n.w, n: n, dead: make(chan struct{}), calls: make(map[string]int)}
	rng := mathrand.New(mathrand.NewPCG(n.w.seed, uint64(n.index)<<32|n.boots))
	n.mu.Unlock()
	var mu sync.Mutex
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(seedHook{n.w})
	p.inst = New(Config{
		ID: n.id, DataCentre: n.dc, Cluster: "soak", ControlAddress: n.control,
		MaxInstances: len(n.w.nodes), MaxTickets: 1 << 14, AssertInvariants: true,
		Trace: n.w.newTrace(),
	}, Ports{
		Clock: procClock{p}, Upstreams: upstreamPort{p}, Platform: platformPort{p},
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
	n.mu.Lock()
	n.proc = p
	n.mu.Unlock()
	n.w.mu.Lock()
	n.w.instances = append(n.w.instances, p.inst)
	n.w.mu.Unlock()
	p.inst.Start(context.Background())
}

// kill ends the process without notice: its connections break and nothing of
// it acts any more.
func (n *node) kill() {
	n.mu.Lock()
	p := n.proc
	n.proc = nil
	n.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.killed = true
	close(p.dead)
	p.mu.Unlock()
	p.resume()
}

func (p *proc) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil && !p.killed {
		p.resumed = make(chan struct{})
		p.paused++
	}
}

func (p *proc) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *proc) pauses() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

func (p *proc) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}

// gate holds the caller while the process is paused. A killed process stays
// held until the run is over, so that its goroutines can end; gate then
// returns false.
func (p *proc) gate() bool {
	for {
		p.mu.Lock()
		killed, resumed := p.killed, p.resumed
		p.mu.Unlock()
		switch {
		case killed:
			<-p.w.end
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
type seedHook struct{ w *world }

func (seedHook) Levels() []logrus.Level { return []logrus.Level{logrus.ErrorLevel} }

func (h seedHook) Fire(e *logrus.Entry) error {
	_, err := fmt.Fprintf(os.Stderr, "soak seed %d at %s: %s %v\n", h.w.seed, time.Now().Format("05.000"), e.Message, e.Data)
	return err
}

type procClock struct{ p *proc }

func (procClock) Now() time.Time { return time.Now() }

func (c procClock) AfterFunc(d time.Duration, f func()) port.Timer {
	t := &procTimer{}
	t.timer = time.AfterFunc(d, func() {
		c.p.gate()
		if t.state.CompareAndSwap(0, 1) {
			f()
		}
	})
	return t
}

// procTimer can still be stopped while its process is paused.
type procTimer struct {
	timer *time.Timer
	state atomic.Int32
}

func (t *procTimer) Stop() bool {
	t.timer.Stop()
	return t.state.CompareAndSwap(0, 2)
}
