package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/backpressure"
	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/delegation"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

const (
	// memberMemory is how long an instance that can no longer be reached counts as a
	// sender. It may be cut off from this instance and not from the upstreams.
	memberMemory = 10 * time.Minute
	// leaverMemory replaces memberMemory for an instance that announced that it leaves: it
	// then has finished the requests that it had accepted.
	leaverMemory = 10 * time.Second
	// maxKnownInstances bounds the memory of instances.
	maxKnownInstances = 8192
	// A starting instance sends nothing to cold upstreams for startBudgetTime, and until
	// the instances that it knows have not grown by more than settleGrowth for settleTime.
	// It cannot know its place in the order before: of 295 instances that started together
	// in a test, it knew 52 after startBudgetTime.
	settleTime   = time.Second
	settleGrowth = 0.1
	// maxColdCopyAge bounds the age of the copy that is added to the cold time of a report.
	// In an outage of the platform the copy of an instance that starts may be many minutes
	// old, and the report says nothing about that time.
	maxColdCopyAge = 10 * time.Second
	// maxColdIDs is the largest number of upstreams that a log line about cold upstreams
	// names.
	maxColdIDs = 10
)

// coldLimitDetail says in log lines why an attempt was not sent.
const coldLimitDetail = "the upstream is cold, and this instance's share of its requests is used up"

// knownInstance is an instance that may send requests to upstreams.
type knownInstance struct {
	cores float64
	// leaving is true if the instance announced that it leaves, and goneAt is when it was
	// first missing among the members; zero while it is one.
	leaving bool
	goneAt  time.Time
}

// knownInstances holds the members of the present and of the recent past.
type knownInstances struct {
	byID map[model.InstanceID]*knownInstance
	// grownAt is when their number last was more than settleGrowth above base, which then
	// became the new base. base falls with their number.
	base    int
	grownAt time.Time
	// version changes whenever the instances or their capacities do.
	version uint64
}

// add returns the instance with the id, which it adds unless there are too many.
func (k *knownInstances) add(now time.Time, id model.InstanceID) *knownInstance {
	known := k.byID[id]
	if known != nil || len(k.byID) >= maxKnownInstances {
		return known
	}
	if k.byID == nil {
		k.byID = make(map[model.InstanceID]*knownInstance)
	}
	known = &knownInstance{}
	k.byID[id] = known
	k.version++
	if n := len(k.byID); float64(n) > (1+settleGrowth)*float64(k.base) {
		k.base, k.grownAt = n, now
	}
	return known
}

// addReported adds instances that another one considers alive.
func (k *knownInstances) addReported(now time.Time, ids []model.InstanceID) {
	for _, id := range ids {
		if k.byID[id] == nil {
			if known := k.add(now, id); known != nil {
				known.goneAt = now
			}
		}
	}
}

// update records the present members.
func (k *knownInstances) update(now time.Time, members []membership.Member) {
	present := make(map[model.InstanceID]bool, len(members))
	for i := range members {
		m := &members[i]
		present[m.ID] = true
		known := k.add(now, m.ID)
		if known == nil {
			continue
		}
		if cores := m.Cores(); cores > 0 && cores != known.cores {
			known.cores = cores
			k.version++
		}
		known.leaving, known.goneAt = m.State == membership.Leaving, time.Time{}
	}
	for id, known := range k.byID {
		if !present[id] && known.goneAt.IsZero() {
			known.goneAt = now
		}
	}
	k.forget(now)
}

// forget removes the instances that have been gone for long.
func (k *knownInstances) forget(now time.Time) {
	for id, known := range k.byID {
		if known.goneAt.IsZero() {
			continue
		}
		if gone := now.Sub(known.goneAt); gone > memberMemory || known.leaving && gone > leaverMemory {
			delete(k.byID, id)
			k.version++
		}
	}
	k.base = min(k.base, len(k.byID))
}

// coldSender is a known instance in the order of the senders to an upstream. hash is that of
// its id.
type coldSender struct {
	cores float64
	hash  uint64
}

// coldSenders is a copy of the known instances, among which the requests to cold upstreams
// are divided.
type coldSenders struct {
	self   coldSender
	others []coldSender
	// largest is the largest capacity.
	largest float64
	// settled is false while this instance starts.
	settled bool
	version uint64
}

// senders returns the known instances.
func (k *knownInstances) senders(self model.InstanceID, settled bool) *coldSenders {
	s := &coldSenders{settled: settled, version: k.versionWith(settled)}
	for id, known := range k.byID {
		sender := coldSender{cores: known.cores, hash: xxhash.Sum64String(string(id))}
		s.largest = max(s.largest, known.cores)
		if id == self {
			s.self = sender
		} else {
			s.others = append(s.others, sender)
		}
	}
	return s
}

// versionWith returns a version of the shares, which is not zero.
func (k *knownInstances) versionWith(settled bool) uint64 {
	if settled {
		return 2*k.version + 1
	}
	return 2*k.version + 2
}

// coldSenders returns the known instances, which it copies only if they have changed.
func (g *Gateway) coldSenders(now time.Time) *coldSenders {
	g.fleet.Lock()
	defer g.fleet.Unlock()
	k := &g.fleet.known
	k.forget(now)
	settled := now.Sub(g.started) >= startBudgetTime && now.Sub(k.grownAt) >= settleTime
	if last := g.fleet.coldSenders; last == nil || last.version != k.versionWith(settled) {
		g.fleet.coldSenders = k.senders(g.cfg.ID, settled)
	}
	return g.fleet.coldSenders
}

// share returns this instance's share of the requests to a cold upstream. shard is true if
// the upstream holds a shard of queries: these are sent by the instances that run queries
// for others. Unlike rateShare, it counts instances that cannot be reached, so that an
// instance that is cut off from others keeps its share.
func (s *coldSenders) share(upstream string, shard bool) backpressure.Share {
	upstreamHash := xxhash.Sum64String(upstream)
	orderOf := func(c *coldSender) sendOrder {
		return sendOrder{delegates: shard && delegation.Delegates(c.cores, s.largest), hash: mixHashes(upstreamHash, c.hash)}
	}
	own := orderOf(&s.self)
	share := backpressure.Share{Instances: 1 + len(s.others)}
	if !own.delegates {
		share.Senders++
	}
	for i := range s.others {
		other := orderOf(&s.others[i])
		if !other.delegates {
			share.Senders++
		}
		if other.before(own) {
			share.Rank++
		}
	}
	share.Senders = max(share.Senders, minBudgetInstances)
	if !s.settled {
		share.Senders = max(share.Senders, startBudgetInstances)
		share.Rank = share.Senders
	}
	share.Instances = max(share.Instances, share.Senders)
	return share
}

// coldLimiter updates the limits of cold upstreams of all services at one time.
type coldLimiter struct {
	g       *Gateway
	now     time.Time
	table   *routing.Table
	senders *coldSenders
	changes balancer.ColdChanges
	cold    int
}

func (g *Gateway) newColdLimiter(now time.Time, table *routing.Table) *coldLimiter {
	return &coldLimiter{g: g, now: now, table: table}
}

// limit updates the limits of a service. The lock of the service must be held.
func (l *coldLimiter) limit(s *service) {
	perSecond := l.table.Services[s.name].ColdPerSecond
	var shares balancer.ColdShares
	if perSecond > 0 {
		if l.senders == nil {
			l.senders = l.g.coldSenders(l.now)
		}
		shares.Version = 2 * l.senders.version
		if s.shard {
			shares.Version++
		}
		shares.Of = func(upstream string) backpressure.Share { return l.senders.share(upstream, s.shard) }
	}
	changes, cold := s.balancer.LimitCold(l.now, perSecond, l.g.settings().ColdBounds, shares)
	l.changes.Began = append(l.changes.Began, changes.Began...)
	l.changes.Ended = append(l.changes.Ended, changes.Ended...)
	l.cold += cold
}

// report logs the changes together, because all upstreams may start at once.
func (l *coldLimiter) report() {
	l.g.coldUpstreams.Store(int64(l.cold))
	l.g.ports.Metrics.SetColdUpstreams(l.cold)
	if len(l.changes.Began)+len(l.changes.Ended) == 0 {
		return
	}
	first := func(ids []string) []string { return ids[:min(len(ids), maxColdIDs)] }
	l.g.info(event.ColdLimitsChanged, event.Fields{
		"cold": l.cold, "began": len(l.changes.Began), "ended": len(l.changes.Ended),
		"began_upstreams": first(l.changes.Began), "ended_upstreams": first(l.changes.Ended),
	}, "upstreams became cold, or are no longer cold")
}

// updateColdLimits updates the limits of cold upstreams to the present members and time.
func (g *Gateway) updateColdLimits(now time.Time) {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	v := g.view.Load()
	if v == nil {
		return
	}
	l := g.newColdLimiter(now, v.table)
	for _, s := range v.services {
		s.mu.Lock()
		l.limit(s)
		s.mu.Unlock()
	}
	l.report()
}

// recordHealth records how long an upstream remains cold by its answer to a health check,
// which is newer than its entry.
func (g *Gateway) recordHealth(u directory.Upstream, h Health) {
	if !h.StatesCold {
		return
	}
	now := g.ports.Clock.Now()
	p := &g.published
	p.Lock()
	defer p.Unlock()
	if p.directory.SetColdUntil(u.ID, u.Started, now.Add(h.ColdFor)) {
		g.replaceView(now)
	}
}

// maxSendTime is how long after coldGate.open an attempt may be sent without being counted
// again. The connection may turn out to be closed before the first byte was written.
const maxSendTime = 50 * time.Millisecond

// coldGate decides whether an attempt may be sent to an upstream that may be cold. The lock
// of the service guards it. A nil coldGate allows everything.
type coldGate struct {
	service  *service
	upstream string
	clock    port.Clock
	// reserved is the limit at which the attempt is reserved, or nil.
	reserved *backpressure.ColdLimit
	// sentAt is when the attempt was counted; zero if it was not.
	sentAt time.Time
	denied bool
}

// newColdGate returns the gate for an attempt, or nil if the service has no limit for cold
// upstreams.
func (r *requestRun) newColdGate(s *service, upstream string) *coldGate {
	if r.view.table.Services[s.name].ColdPerSecond <= 0 {
		return nil
	}
	return &coldGate{service: s, upstream: upstream, clock: r.g.ports.Clock}
}

// reserve reserves the attempt if the upstream is cold, and reports whether it may be made.
// The lock of the service must be held.
func (c *coldGate) reserve(now time.Time) bool {
	if c == nil {
		return true
	}
	limit := c.limit(now)
	if limit == nil {
		return true
	}
	if !limit.Reserve(now) {
		c.denied = true
		return false
	}
	c.reserved = limit
	return true
}

// limit returns the limit of the upstream if it is cold, or nil.
func (c *coldGate) limit(now time.Time) *backpressure.ColdLimit {
	if u := c.service.balancer.Find(c.upstream); u != nil {
		return u.ColdLimit(now)
	}
	return nil
}

// open counts the attempt if the upstream is cold, and reports whether it may be sent now.
// The attempt may have waited for a connection since before the upstream became cold, or
// together with others: the bound holds for the times at which requests are sent.
func (c *coldGate) open() bool {
	if c == nil {
		return true
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	now := c.clock.Now()
	if c.limit(now) == nil || !c.sentAt.IsZero() && now.Sub(c.sentAt) <= maxSendTime {
		return true
	}
	if c.reserved == nil && !c.reserve(now) {
		return false
	}
	ok := c.reserved.SendReserved(now)
	c.reserved = nil
	if ok {
		c.sentAt = now
	}
	c.denied = !ok
	return ok
}

// close ends the reservation of an attempt that was not sent, and reports whether the
// limit kept it from being sent.
func (c *coldGate) close() (denied bool) {
	if c == nil {
		return false
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if c.reserved != nil {
		c.reserved.Release()
		c.reserved = nil
	}
	return c.denied
}
