package placement

import (
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// maxCached bounds the orders that a Cache keeps. Document changes leave unused
// ones behind.
const maxCached = 8192

type cacheKey struct {
	group    model.GroupKey
	revision uint64
	limit    int
}

// Cache keeps results of Homes until the candidates change, since Homes is
// linear in the fleet and is needed for each query. It is not safe for
// concurrent use.
type Cache struct {
	version uint64
	homes   map[cacheKey][]model.InstanceID
}

// Homes returns Homes(group, candidates, limit). Version is the value of
// membership.Membership.Version that belongs to the candidates, and revision is
// that of the group's document. The result is shared and must not be changed.
func (c *Cache) Homes(group document.Group, revision uint64, candidates []membership.Member, version uint64, limit int) []model.InstanceID {
	if c.homes == nil || c.version != version || len(c.homes) >= maxCached {
		c.homes = make(map[cacheKey][]model.InstanceID)
		c.version = version
	}
	key := cacheKey{group: group.Key, revision: revision, limit: limit}
	homes, ok := c.homes[key]
	if !ok {
		homes = Homes(group, candidates, limit)
		c.homes[key] = homes
	}
	return homes
}
