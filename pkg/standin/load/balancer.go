package load

import (
	"context"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
)

// balancer models the platform's load balancer: it polls the readiness endpoint of
// each instance and chooses in turn among the instances that were ready. The
// result of a poll takes effect after a lag.
type balancer struct {
	targets      []Target
	pollInterval time.Duration
	lag          time.Duration
	probe        func(ctx context.Context, operator string) bool

	mu sync.Mutex
	// ready holds, by instance, the result of the latest poll that has taken effect.
	ready []bool
	// next, modulo the number of instances, is the index of the instance that pick
	// considers first.
	next int
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

// run polls all instances until ctx ends. The results of the first poll take effect
// without a lag, and then run calls firstPollDone.
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

// probeInstance reports whether an instance says that it is ready. No answer within
// the poll interval counts as not ready.
func (b *balancer) probeInstance(ctx context.Context, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, b.pollInterval)
	defer cancel()
	return b.probe(ctx, b.targets[i].Operator)
}

// pollInstance polls one instance until ctx ends.
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

// pick returns the index of the next ready instance other than avoid. It returns
// avoid if only that instance is ready, and false if none is. A negative avoid
// excludes no instance.
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
