package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// warmSpread is the time over which an instance spreads the opening of
// connections after a change of members or documents, so that upstreams see no
// burst of new connections after a restart.
const warmUpSpread = 200 * time.Millisecond

// warmSoon arranges a look at which groups this instance is now the home of.
func (i *Instance) scheduleWarmUp() {
	i.schedule("warm", i.jitter(warmUpSpread), i.warmHomes)
}

func (i *Instance) jitter(limit time.Duration) time.Duration {
	i.random.mu.Lock()
	defer i.random.mu.Unlock()
	return time.Duration(i.random.source.Int64N(int64(limit)))
}

// warmHomes opens connections to the upstreams of the groups that this
// instance is the home of, so that their first requests need not wait for it:
// a new connection takes about 6 ms at some services.
func (i *Instance) warmHomes() {
	now := i.now()
	i.detectPause(now)
	if i.admissionCode() != result.OK {
		// A starting instance knows only itself and would open connections for
		// every group.
		return
	}
	i.catalog.mu.RLock()
	services := i.catalog.catalog.Services()
	i.catalog.mu.RUnlock()
	for _, service := range services {
		doc := i.document(service)
		for index := range doc.Groups() {
			if i.isHome(now, model.GroupKey{Service: service, Index: index}) {
				i.warmGroup(now, doc, index)
			}
		}
	}
}

// homeAddresses returns the upstreams of all groups held here.
func (i *Instance) homeUpstreamAddresses() map[string]bool {
	keep := make(map[string]bool)
	for _, g := range i.homes.all() {
		doc := i.document(g.key.Service)
		if doc == nil || g.key.Index >= len(doc.Groups()) {
			continue
		}
		for _, u := range doc.Groups()[g.key.Index].Upstreams {
			keep[u.Address] = true
		}
	}
	return keep
}

func (i *Instance) warmGroup(now time.Time, doc *document.Document, index int) {
	i.group(now, doc, index)
	for _, u := range doc.Groups()[index].Upstreams {
		limit := max(1, u.ConnectionLimit/i.cfg.MaxInstances)
		i.ports.Upstreams.Warm(u.Address, min(u.Slots, limit))
	}
}
