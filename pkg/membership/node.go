package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// node is a member's record with the state that this instance keeps about the
// member. If this instance has no record of a listed member, the member's boot id
// is 0 and its state is Dead.
type node struct {
	Member
	// poolIndex holds the member's position in each pool, by the pool's id.
	poolIndex [2]int

	listed        bool
	listedLeaving bool
	// hasAcked is true once the member has directly acked a ping of this
	// process.
	hasAcked bool
	// failedPings counts the unanswered pings while the member is lost.
	failedPings  int
	retryAt      time.Time
	pingInFlight bool
	urgent       bool
	// recordEpoch is the record epoch of the last ping with this instance's
	// full record that the member has acked.
	recordEpoch uint32
	// missedAcks counts consecutive pings without a direct ack. It includes
	// only pings for which a helper reached the member or no helper was asked.
	missedAcks int
	// reachedByHelperAt is the time of the last ack that a helper passed on
	// from the member.
	reachedByHelperAt time.Time
	avoided           bool
	avoidedAt         time.Time
	// suspicionRunning is true while the suspicion timeout runs. A leaving
	// member stays in state Leaving meanwhile.
	suspicionRunning  bool
	suspicionDeadline time.Time
	// suspicionExtension is the total time by which suspicionDeadline has been
	// extended after late ticks.
	suspicionExtension time.Duration
	// bootSeenAt is when this instance first received a record of the member's
	// current process.
	bootSeenAt     time.Time
	diedAt         time.Time
	announcedLeave bool
	// quarantinesDiffer is true if the member's last datagram had another
	// quarantine digest than this instance.
	quarantinesDiffer bool
}

// bootstrapSettled reports whether bootstrap need not wait for the member. If
// trustPeers is true, it need not wait for a member that others report dead.
func (n *node) bootstrapSettled(maxPings int, trustPeers bool) bool {
	if n.hasAcked || n.failedPings >= maxPings {
		return true
	}
	return trustPeers && n.State == Dead && n.Boot != 0
}

type tombstone struct {
	node   *node
	diedAt time.Time
}

// livePoolID and lostPoolID are the indexes of the two pools in node.poolIndex.
const (
	livePoolID = iota
	lostPoolID
)

// pool is a set of nodes that are picked in shuffled round-robin order. Each
// operation takes constant time, since each pick does one step of the shuffle.
type pool struct {
	id    int
	items []*node
	next  int
}

func (p *pool) add(n *node) {
	n.poolIndex[p.id] = len(p.items)
	p.items = append(p.items, n)
}

func (p *pool) contains(n *node) bool {
	i := n.poolIndex[p.id]
	return i < len(p.items) && p.items[i] == n
}

func (p *pool) remove(n *node) {
	if !p.contains(n) {
		return
	}
	vacated := n.poolIndex[p.id]
	if vacated < p.next {
		p.next--
		p.swap(vacated, p.next)
		vacated = p.next
	}
	last := len(p.items) - 1
	p.swap(vacated, last)
	p.items[last] = nil
	p.items = p.items[:last]
}

func (p *pool) swap(i, j int) {
	p.items[i], p.items[j] = p.items[j], p.items[i]
	p.items[i].poolIndex[p.id] = i
	p.items[j].poolIndex[p.id] = j
}

// pick returns the next node, or nil if the pool is empty.
func (p *pool) pick(r *rand.Rand) *node {
	if len(p.items) == 0 {
		return nil
	}
	if p.next >= len(p.items) {
		p.next = 0
	}
	p.swap(p.next, p.next+r.IntN(len(p.items)-p.next))
	p.next++
	return p.items[p.next-1]
}

func (m *Membership) addNode(id model.InstanceID) *node {
	if len(m.nodes) >= maxMembers {
		return nil
	}
	n := &node{Member: Member{ID: id}}
	m.nodes[id] = n
	return n
}

func (m *Membership) removeNode(n *node) {
	m.lost.remove(n)
	m.removeUrgent(n)
	delete(m.nodes, n.ID)
}

func (m *Membership) addUrgent(n *node) {
	if !n.urgent {
		n.urgent = true
		m.urgent = append(m.urgent, n)
	}
}

func (m *Membership) removeUrgent(n *node) {
	if n.urgent {
		n.urgent = false
		m.urgent = remove(m.urgent, n)
	}
}

func (m *Membership) startSuspicion(now time.Time, n *node) {
	m.addUrgent(n)
	n.suspicionDeadline = now.Add(m.cfg.SuspicionTimeout)
	n.suspicionExtension = 0
	if !n.suspicionRunning {
		n.suspicionRunning = true
		m.suspects = append(m.suspects, n)
	}
}

func (m *Membership) endSuspicion(n *node) {
	if n.suspicionRunning {
		n.suspicionRunning = false
		m.suspects = remove(m.suspects, n)
	}
}

func remove(s []*node, n *node) []*node {
	i := slices.Index(s, n)
	if i < 0 {
		return s
	}
	return slices.Delete(s, i, i+1)
}

// addTombstone records the time of death of a member and enforces the bound on
// tombstones.
func (m *Membership) addTombstone(now time.Time, n *node) {
	n.diedAt = now
	m.tombstones = append(m.tombstones, tombstone{node: n, diedAt: now})
	if len(m.tombstones) > maxTombstones {
		m.removeOldestTombstone()
	}
}

func (m *Membership) expireTombstones(now time.Time) {
	for len(m.tombstones) > 0 && now.Sub(m.tombstones[0].diedAt) >= m.cfg.TombstoneLifetime {
		m.removeOldestTombstone()
	}
}

func (m *Membership) removeOldestTombstone() {
	t := m.tombstones[0]
	m.tombstones = m.tombstones[1:]
	n := t.node
	if n.State != Dead || !n.diedAt.Equal(t.diedAt) || m.nodes[n.ID] != n {
		return
	}
	if !n.listed {
		m.removeNode(n)
		return
	}
	n.Boot = 0
	n.Incarnation = 0
	n.announcedLeave = false
	m.updateLostPool(n)
}
