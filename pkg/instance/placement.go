package instance

import (
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/placement"
)

// homeCache keeps the order of homes per group, because computing it takes
// time linear in the fleet and each query needs it.
type homeCache struct {
	mu      sync.Mutex
	entries map[model.GroupKey]homeEntry
}

type homeEntry struct {
	version  uint64
	revision uint64
	order    []membership.Member
}

// homeOrder returns the members that may act as the group's home, the home
// first. At most MaxInstances may, which keeps the upstreams' connection
// limits in a fleet of any size.
func (i *Instance) homeOrder(now time.Time, doc *document.Document, index int) []membership.Member {
	group := doc.Groups()[index]
	i.control.mu.Lock()
	candidates := i.control.membership.Candidates(now)
	version := i.control.membership.Version()
	i.control.mu.Unlock()

	c := &i.homeCache
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.entries[group.Key]
	if ok && entry.version == version && entry.revision == doc.Revision {
		return entry.order
	}
	entry = homeEntry{version: version, revision: doc.Revision}
	byID := make(map[model.InstanceID]membership.Member, len(candidates))
	for _, m := range candidates {
		byID[m.ID] = m
	}
	for _, id := range placement.Homes(group, candidates, i.cfg.MaxInstances) {
		entry.order = append(entry.order, byID[id])
	}
	c.entries[group.Key] = entry
	return entry.order
}

// mayBeHome reports whether this instance is among those that may open
// connections to the group's upstreams.
func (i *Instance) mayBeHome(now time.Time, doc *document.Document, index int) bool {
	for _, m := range i.homeOrder(now, doc, index) {
		if m.ID == i.cfg.ID {
			return true
		}
	}
	return false
}
