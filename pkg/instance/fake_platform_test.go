package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// fakePlatform holds every published state; index 0 of history is version 1.
type fakePlatform struct {
	sim     *simulation
	mu      sync.Mutex
	history []map[string][]byte
	changed chan struct{}
	down    bool
	// stale, if positive, is the version that readers see.
	staleVersion int
	// leavingSeen holds since when an upstream has been listed without a break.
	leavingVisibleSince map[string]time.Time
}

func newPlatform(sim *simulation) *fakePlatform {
	return &fakePlatform{sim: sim, changed: make(chan struct{}), leavingVisibleSince: make(map[string]time.Time)}
}

// publish changes documents; an older content may come back this way.
func (f *fakePlatform) publish(docs map[string][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[string][]byte)
	if n := len(f.history); n > 0 {
		for k, v := range f.history[n-1] {
			next[k] = v
		}
	}
	for k, v := range docs {
		next[k] = v
	}
	f.history = append(f.history, next)
	f.notifyWatchers()
}

func (f *fakePlatform) notifyWatchers() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// set changes what readers see. While the list is hidden, no sign of leaving
// upstreams can be seen in it.
func (f *fakePlatform) setVisibility(down bool, stale int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.staleVersion = down, stale
	for u := range f.leavingVisibleSince {
		f.leavingVisibleSince[u] = time.Now()
		if down {
			f.leavingVisibleSince[u] = time.Now().Add(time.Hour)
		}
	}
	f.notifyWatchers()
}

func (f *fakePlatform) setLeaving(address string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leavingVisibleSince, address)
	if leaving {
		f.leavingVisibleSince[address] = time.Now()
		if f.down {
			f.leavingVisibleSince[address] = time.Now().Add(time.Hour)
		}
	}
}

// listedSince returns since when the upstream has been visibly leaving.
func (f *fakePlatform) listedSince(address string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.leavingVisibleSince[address]
	return at, ok
}

func (f *fakePlatform) view() (int, map[string][]byte, bool, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := len(f.history)
	if f.staleVersion > 0 {
		v = min(v, f.staleVersion)
	}
	return v, f.history[v-1], f.down, f.changed
}

var errPlatformDown = result.Errorf(result.ConnectFailed, "the platform is down")

type platformPort struct{ process *process }

func (c platformPort) ReadDocuments(ctx context.Context, since uint64, wait time.Duration) (port.DocumentBatch, error) {
	f := c.process.sim.platform
	deadline := time.After(wait)
	if !c.process.awaitRunning() {
		return port.DocumentBatch{}, errPlatformDown
	}
	for waiting := true; ; {
		time.Sleep(2 * time.Millisecond)
		version, docs, down, changed := f.view()
		if down {
			c.process.awaitRunning()
			return port.DocumentBatch{}, errPlatformDown
		}
		if since == 0 || uint64(version) != since || !waiting || wait == 0 {
			batch := port.DocumentBatch{Version: uint64(version)}
			for s, d := range docs {
				if since == 0 || uint64(version) != since {
					batch.Documents = append(batch.Documents, port.RawDocument{Service: s, Content: d})
				}
			}
			c.process.awaitRunning()
			return batch, nil
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-c.process.dead:
		case <-ctx.Done():
			c.process.awaitRunning()
			return port.DocumentBatch{}, ctx.Err()
		}
		if !c.process.awaitRunning() {
			return port.DocumentBatch{}, errPlatformDown
		}
	}
}

func (c platformPort) ReadInstances(context.Context) (port.InstanceList, error) {
	sim := c.process.sim
	if !c.process.awaitRunning() {
		return port.InstanceList{}, errPlatformDown
	}
	time.Sleep(2 * time.Millisecond)
	if _, _, down, _ := sim.platform.view(); down {
		c.process.awaitRunning()
		return port.InstanceList{}, errPlatformDown
	}
	var list port.InstanceList
	for _, h := range sim.hosts {
		h.mu.Lock()
		list.Instances = append(list.Instances, port.ListedInstance{ID: h.id, ControlAddress: h.controlAddress, DataCentre: h.dataCentre, Leaving: h.leaving})
		h.mu.Unlock()
	}
	sim.platform.mu.Lock()
	for address := range sim.platform.leavingVisibleSince {
		list.Upstreams = append(list.Upstreams, port.ListedUpstream{Address: address, Leaving: true})
	}
	sim.platform.mu.Unlock()
	c.process.awaitRunning()
	return list, nil
}
