package instance

import (
	"context"
	"sync"
	"time"
)

const (
	// statusInterval is how often a home reads its upstreams' health and load.
	// A leaving upstream must get no new work 3 s after the first sign.
	statusInterval = time.Second
	// statusTimeout bounds one such read.
	statusTimeout = 400 * time.Millisecond
	// firstStatusWait bounds the wait of a new home's first requests for the
	// first reads, which take a few milliseconds.
	firstStatusWait = 50 * time.Millisecond
)

// awaitStatus waits for the first status reads and returns the time.
func (g *homeGroup) awaitStatus(now time.Time) time.Time {
	select {
	case <-g.known:
		return now
	default:
	}
	select {
	case <-g.known:
	case <-g.i.after(firstStatusWait):
	}
	return g.i.now()
}

// pollStatus reads health and load of the group's upstreams and repeats until
// the group is removed. It returns at once; the reads can be waited for.
func (g *homeGroup) pollStatus() *sync.WaitGroup {
	var reads sync.WaitGroup
	doc := g.i.document(g.key.Service)
	if doc == nil {
		return &reads
	}
	groups := doc.Groups()
	if g.key.Index < len(groups) {
		for _, u := range groups[g.key.Index].Upstreams {
			if g.heardOf(u.Name) {
				continue
			}
			reads.Go(func() { g.readStatus(u.Name, u.Address) })
		}
	}
	g.i.schedule("status "+g.key.String(), statusInterval, func() { g.pollStatus() })
	return &reads
}

// heardOf reports whether the upstream has replied since the last poll. Replies
// say whether it drains, sheds or lacks a snapshot, so that a read of a busy
// upstream would only cost bytes of the budget for control.
func (g *homeGroup) heardOf(upstream string) bool {
	now := g.i.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.replied[upstream]
	return ok && now.Sub(at) < statusInterval
}

func (g *homeGroup) readStatus(name, address string) {
	ctx, cancel := context.WithTimeout(g.i.lifecycle.context(), statusTimeout)
	defer cancel()
	status, err := g.i.ports.Upstreams.Status(ctx, address)
	if err != nil {
		// An unreachable health endpoint says nothing that calls do not show
		// sooner.
		return
	}
	now := g.i.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(now, g.sched.SetUpstreamStatus(now, name, status))
}
