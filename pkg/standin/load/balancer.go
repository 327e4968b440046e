package load

import (
	"context"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
)

// balancer chooses instances in turn among those that its last effective poll
// found ready, as the platform's load balancer does.
type balancer struct {
	targets      []Target
	pollInterval time.Duration
	lag          time.Duration
	probe        func(ctx context.Context, operator string) bool

	mu    sync.Mutex
	ready []bool
	next  int
}

func newBalancer(c Config) *balancer {
	return &balancer{
		targets:      c.Instances,
		pollInterval: time.Duration(c.Balancer.PollMS) * time.Millisecond,
		lag:          time.Duration(c.Balancer.LagMS) * time.Millisecond,
		probe:        launch.Ready,
		ready:        make([]bool, len(c.Instances)),
	}
}

// run polls until ctx ends. The first poll takes effect before run calls
// started.
func (b *balancer) run(ctx context.Context, firstPollDone func()) {
	var wg sync.WaitGroup
	for i := range b.targets {
		wg.Go(func() { b.setReady(i, b.probeInstance(ctx, i)) })
	}
	wg.Wait()
	firstPollDone()
	for i := range b.targets {
		wg.Go(func() { b.pollInstance(ctx, i) })
	}
	wg.Wait()
}

func (b *balancer) probeInstance(ctx context.Context, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, b.pollInterval)
	defer cancel()
	return b.probe(ctx, b.targets[i].Operator)
}

func (b *balancer) pollInstance(ctx context.Context, i int) {
	ticker := time.NewTicker(b.pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		ready := b.probeInstance(ctx, i)
		time.AfterFunc(b.lag, func() { b.setReady(i, ready) })
	}
}

func (b *balancer) setReady(i int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = ready
}

// pick returns the next ready instance other than the one to avoid, the one to
// avoid if it is the only one, and false when none is ready.
func (b *balancer) pick(avoid int) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.targets {
		i := b.next % len(b.targets)
		b.next++
		if b.ready[i] && i != avoid {
			return i, true
		}
	}
	if avoid >= 0 && b.ready[avoid] {
		return avoid, true
	}
	return 0, false
}
