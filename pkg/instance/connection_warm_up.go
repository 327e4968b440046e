package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// warmUpSpread is the longest random delay between a change of members or documents
// and the opening of connections. It keeps instances from opening connections to
// the upstreams all at once after a restart.
const warmUpSpread = 200 * time.Millisecond

// scheduleWarmUp schedules a call of warmHomes after a random delay of up to
// warmUpSpread.
func (i *Instance) scheduleWarmUp() {
	i.schedule("warm", i.jitter(warmUpSpread), i.warmHomes)
}

// jitter returns a random duration below limit.
func (i *Instance) jitter(limit time.Duration) time.Duration {
	i.random.mu.Lock()
	defer i.random.mu.Unlock()
	return time.Duration(i.random.source.Int64N(int64(limit)))
}

// warmHomes opens connections to the upstreams of the groups that this instance is
// the home of, so that the first requests need not wait for a new connection,
// which takes about 6 ms at some services.
func (i *Instance) warmHomes() {
	now := i.now()
	i.detectPause(now)
	if i.admissionCode() != result.OK {
		// A starting instance does not know the other members yet, so it would regard
		// itself as the home of every group.
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

// homeUpstreamAddresses returns the addresses of the upstreams of all groups whose
// scheduler runs at this instance.
func (i *Instance) homeUpstreamAddresses() map[string]bool {
	addresses := make(map[string]bool)
	for _, g := range i.homes.all() {
		doc := i.document(g.key.Service)
		if doc == nil || g.key.Index >= len(doc.Groups()) {
			continue
		}
		for _, u := range doc.Groups()[g.key.Index].Upstreams {
			addresses[u.Address] = true
		}
	}
	return addresses
}

// warmGroup creates the group's state if needed and opens connections to the group's
// upstreams. It opens at most one connection per slot of an upstream, and at most
// this instance's share of the upstream's connection limit.
func (i *Instance) warmGroup(now time.Time, doc *document.Document, index int) {
	i.group(now, doc, index)
	for _, u := range doc.Groups()[index].Upstreams {
		limit := max(1, u.ConnectionLimit/i.cfg.MaxInstances)
		i.ports.Upstreams.Warm(u.Address, min(u.Slots, limit))
	}
}
