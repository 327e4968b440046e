package instance

import (
	"slices"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/placement"
)

// homeCache caches the ranking of homes for each group, and the candidates by id.
// Each query needs them, and computing them takes time linear in the number of
// instances.
type homeCache struct {
	mu         sync.Mutex
	rankings   placement.Cache
	version    uint64
	candidates map[model.InstanceID]membership.Member
}

// homeOrder returns the instances that may act as the group's home in rendezvous
// order: the first is the home. There are at most MaxInstances of them, so that
// their connections together stay within the upstreams' connection limits however
// many instances there are. The result is shared and must not be changed.
func (i *Instance) homeOrder(now time.Time, doc *document.Document, index int) []model.InstanceID {
	i.control.mu.Lock()
	candidates := i.control.membership.Candidates(now)
	version := i.control.membership.Version()
	i.control.mu.Unlock()

	c := &i.homeCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.candidates == nil || c.version != version {
		c.setCandidates(candidates, version)
	}
	return c.rankings.Homes(doc.Groups()[index], doc.Revision, candidates, version, i.cfg.MaxInstances)
}

// setCandidates stores the candidates of the given version of the member list.
// It must be called with c.mu locked.
func (c *homeCache) setCandidates(candidates []membership.Member, version uint64) {
	c.version = version
	c.candidates = make(map[model.InstanceID]membership.Member, len(candidates))
	for _, m := range candidates {
		c.candidates[m.ID] = m
	}
}

func (c *homeCache) candidate(id model.InstanceID) (membership.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.candidates[id]
	return m, ok
}

// pickHome returns the group's first home in rendezvous order that is not in
// exclude, or the first home if all are. It returns false if there is none.
func (i *Instance) pickHome(now time.Time, doc *document.Document, index int, exclude []model.InstanceID) (membership.Member, bool) {
	homes := i.homeOrder(now, doc, index)
	if len(homes) == 0 {
		return membership.Member{}, false
	}
	for _, id := range homes {
		if !slices.Contains(exclude, id) {
			return i.homeCache.candidate(id)
		}
	}
	return i.homeCache.candidate(homes[0])
}

// mayBeHome reports whether this instance may act as the group's home and open
// connections to its upstreams.
func (i *Instance) mayBeHome(now time.Time, doc *document.Document, index int) bool {
	return slices.Contains(i.homeOrder(now, doc, index), i.cfg.ID)
}

// isHome reports whether this instance is the group's home: the first in the order
// of homeOrder.
func (i *Instance) isHome(now time.Time, key model.GroupKey) bool {
	doc := i.document(key.Service)
	if doc == nil || key.Index >= len(doc.Groups()) {
		return false
	}
	homes := i.homeOrder(now, doc, key.Index)
	return len(homes) > 0 && homes[0] == i.cfg.ID
}

// currentBoot returns the boot id by which members know this process. It can be
// higher than the one chosen at start: if the clock is behind that of the previous
// process of this instance, the new process raises its boot id above the old one.
func (i *Instance) currentBoot() model.BootID {
	i.control.mu.Lock()
	defer i.control.mu.Unlock()
	return i.control.membership.Self().Boot
}
