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
	targets []Target
	poll    time.Duration
	lag     time.Duration
	probe   func(ctx context.Context, operator string) bool

	mu    sync.Mutex
	ready []bool
	next  int
}

func newBalancer(c Config) *balancer {
	return &balancer{
		targets: c.Instances,
		poll:    time.Duration(c.Balancer.PollMS) * time.Millisecond,
		lag:     time.Duration(c.Balancer.LagMS) * time.Millisecond,
		probe:   launch.Ready,
		ready:   make([]bool, len(c.Instances)),
	}
}

// run polls until ctx ends. The first poll takes effect before run calls
// started.
func (b *balancer) run(ctx context.Context, started func()) {
	var wg sync.WaitGroup
	for i := range b.targets {
		wg.Go(func() { b.set(i, b.ask(ctx, i)) })
	}
	wg.Wait()
	started()
	for i := range b.targets {
		wg.Go(func() { b.watch(ctx, i) })
	}
	wg.Wait()
}

func (b *balancer) ask(ctx context.Context, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, b.poll)
	defer cancel()
	return b.probe(ctx, b.targets[i].Operator)
}

func (b *balancer) watch(ctx context.Context, i int) {
	ticker := time.NewTicker(b.poll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		ready := b.ask(ctx, i)
		time.AfterFunc(b.lag, func() { b.set(i, ready) })
	}
}

func (b *balancer) set(i int, ready bool) {
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
