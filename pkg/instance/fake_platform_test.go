package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// fakePlatform is the platform's configuration service and instance list.
type fakePlatform struct {
	sim *simulation
	mu  sync.Mutex
	// history holds, for each published version, the documents by service. Index 0 is
	// version 1.
	history []map[string][]byte
	// changed is closed and replaced whenever watches must check the documents again.
	changed chan struct{}
	down    bool
	// staleVersion, if positive, is the highest version that readers see.
	staleVersion int
	// leavingVisibleSince holds, by address, the upstreams that are listed as leaving,
	// with the time since which readers have been able to read this without
	// interruption. The time is in the future while the platform is down.
	leavingVisibleSince map[string]time.Time
}

func newPlatform(sim *simulation) *fakePlatform {
	return &fakePlatform{sim: sim, changed: make(chan struct{}), leavingVisibleSince: make(map[string]time.Time)}
}

// publish makes a new version of the platform's state, in which docs replace the
// documents of their services. docs may hold older contents than before.
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

// notifyWatchers ends the waiting of all watches. It must be called with f.mu
// locked.
func (f *fakePlatform) notifyWatchers() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// setVisibility takes the platform down or brings it up, and sets the highest version
// that readers see, or 0 for the newest. It restarts the times in
// leavingVisibleSince, because nobody can read the list while the platform is down.
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

// setLeaving adds the upstream's address to those listed as leaving, or removes it.
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

// listedSince returns the time since which readers have been able to see that the
// upstream is listed as leaving, and false if it is not listed.
func (f *fakePlatform) listedSince(address string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, ok := f.leavingVisibleSince[address]
	return since, ok
}

// view returns what readers see: the version, its documents, whether the platform
// is down, and a channel that is closed at the next change.
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

// platformPort implements port.Platform for one process.
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
