package placement

import (
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// maxCached bounds the number of results that a Cache keeps. Results for
// earlier revisions of a document stay until the cache is cleared.
const maxCached = 8192

type cacheKey struct {
	group    model.GroupKey
	revision uint64
	limit    int
}

// Cache keeps results of Homes until the candidates change, since the cost of
// Homes is linear in the fleet size and each query needs its result. A Cache is
// not safe for concurrent use.
type Cache struct {
	version uint64
	homes   map[cacheKey][]model.InstanceID
}

// Homes returns the result of the function Homes for the group, candidates and
// limit. Version is the value of membership.Membership.Version at which the
// candidates were read, and revision is the revision of the group's document.
// The result is shared and must not be changed.
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
