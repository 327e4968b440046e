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
	w       *world
	mu      sync.Mutex
	history []map[string][]byte
	changed chan struct{}
	down    bool
	// stale, if positive, is the version that readers see.
	stale int
	// leavingSeen holds since when an upstream has been listed without a break.
	leavingSeen map[string]time.Time
}

func newPlatform(w *world) *fakePlatform {
	return &fakePlatform{w: w, changed: make(chan struct{}), leavingSeen: make(map[string]time.Time)}
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
	f.wake()
}

func (f *fakePlatform) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// set changes what readers see. While the list is hidden, no sign of leaving
// upstreams can be seen in it.
func (f *fakePlatform) set(down bool, stale int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.stale = down, stale
	for u := range f.leavingSeen {
		f.leavingSeen[u] = time.Now()
		if down {
			f.leavingSeen[u] = time.Now().Add(time.Hour)
		}
	}
	f.wake()
}

func (f *fakePlatform) setLeaving(address string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leavingSeen, address)
	if leaving {
		f.leavingSeen[address] = time.Now()
		if f.down {
			f.leavingSeen[address] = time.Now().Add(time.Hour)
		}
	}
}

// listedSince returns since when the upstream has been visibly leaving.
func (f *fakePlatform) listedSince(address string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.leavingSeen[address]
	return at, ok
}

func (f *fakePlatform) view() (int, map[string][]byte, bool, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := len(f.history)
	if f.stale > 0 {
		v = min(v, f.stale)
	}
	return v, f.history[v-1], f.down, f.changed
}

var errPlatformDown = result.Errorf(result.ConnectFailed, "the platform is down")

type platformPort struct{ p *proc }

func (c platformPort) ReadDocuments(ctx context.Context, since uint64, wait time.Duration) (port.DocumentBatch, error) {
	f := c.p.w.plat
	deadline := time.After(wait)
	if !c.p.gate() {
		return port.DocumentBatch{}, errPlatformDown
	}
	for waiting := true; ; {
		time.Sleep(2 * time.Millisecond)
		version, docs, down, changed := f.view()
		if down {
			c.p.gate()
			return port.DocumentBatch{}, errPlatformDown
		}
		if since == 0 || uint64(version) != since || !waiting || wait == 0 {
			batch := port.DocumentBatch{Version: uint64(version)}
			for s, d := range docs {
				if since == 0 || uint64(version) != since {
					batch.Documents = append(batch.Documents, port.RawDocument{Service: s, Content: d})
				}
			}
			c.p.gate()
			return batch, nil
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-c.p.dead:
		case <-ctx.Done():
			c.p.gate()
			return port.DocumentBatch{}, ctx.Err()
		}
		if !c.p.gate() {
			return port.DocumentBatch{}, errPlatformDown
		}
	}
}

func (c platformPort) ReadInstances(context.Context) (port.InstanceList, error) {
	w := c.p.w
	if !c.p.gate() {
		return port.InstanceList{}, errPlatformDown
	}
	time.Sleep(2 * time.Millisecond)
	if _, _, down, _ := w.plat.view(); down {
		c.p.gate()
		return port.InstanceList{}, errPlatformDown
	}
	var list port.InstanceList
	for _, n := range w.nodes {
		n.mu.Lock()
		list.Instances = append(list.Instances, port.ListedInstance{ID: n.id, ControlAddress: n.control, DataCentre: n.dc, Leaving: n.leaving})
		n.mu.Unlock()
	}
	w.plat.mu.Lock()
	for address := range w.plat.leavingSeen {
		list.Upstreams = append(list.Upstreams, port.ListedUpstream{Address: address, Leaving: true})
	}
	w.plat.mu.Unlock()
	c.p.gate()
	return list, nil
}
