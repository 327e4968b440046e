package instance

import (
	"context"
	"sync"
	"time"
)

const (
	// statusInterval is the time between two reads of an upstream's health and load
	// by a home. An upstream may get new work for at most 3 s after it first shows
	// that it is leaving.
	statusInterval = time.Second
	// statusTimeout is the timeout of one read of an upstream's health and load.
	statusTimeout = 400 * time.Millisecond
	// firstStatusWait is the longest time that the first requests at a new home wait
	// for the first status reads, which take a few milliseconds.
	firstStatusWait = 50 * time.Millisecond
)

// awaitFirstStatus waits until the first status reads have ended, but no longer than
// firstStatusWait, and returns the current time.
func (g *homeGroup) awaitFirstStatus(now time.Time) time.Time {
	select {
	case <-g.statusKnown:
		return now
	default:
	}
	select {
	case <-g.statusKnown:
	case <-g.instance.after(firstStatusWait):
	}
	return g.instance.now()
}

// pollStatus starts reads of the health and load of the group's upstreams, except
// those that replied to an attempt recently, and schedules the next call. The calls
// end when the group is dropped. pollStatus returns at once; the returned wait group
// is done when all reads have ended.
func (g *homeGroup) pollStatus() *sync.WaitGroup {
	var reads sync.WaitGroup
	doc := g.instance.document(g.key.Service)
	if doc == nil {
		return &reads
	}
	groups := doc.Groups()
	if g.key.Index < len(groups) {
		for _, u := range groups[g.key.Index].Upstreams {
			if g.repliedRecently(u.Name) {
				continue
			}
			reads.Go(func() { g.readStatus(u.Name, u.Address) })
		}
	}
	g.instance.schedule("status "+g.key.String(), statusInterval, func() { g.pollStatus() })
	return &reads
}

// repliedRecently reports whether the upstream has run an attempt and replied within
// the last statusInterval, and the reply did not say that the upstream is draining.
// Replies say whether an upstream is draining, sheds load or lacks a snapshot.
// A status read of a busy upstream would add nothing and only use up the bandwidth
// allowed for control traffic.
func (g *homeGroup) repliedRecently(upstream string) bool {
	now := g.instance.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	repliedAt, ok := g.lastReply[upstream]
	return ok && now.Sub(repliedAt) < statusInterval
}

func (g *homeGroup) readStatus(name, address string) {
	ctx, cancel := context.WithTimeout(g.instance.lifecycle.context(), statusTimeout)
	defer cancel()
	status, err := g.instance.ports.Upstreams.Status(ctx, address)
	if err != nil {
		// The error is ignored: if the upstream can't be reached, calls to it fail
		// sooner.
		return
	}
	now := g.instance.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(now, g.sched.SetUpstreamStatus(now, name, status))
}
