package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// node is a member with what this instance keeps about it. A listed member that
// has never answered has boot id 0 and state Dead.
type node struct {
	Member
	index [2]int

	listed        bool
	listedLeaving bool
	// answered is true once the member has acked a ping of this process.
	answered bool
	// attempts counts the unanswered pings while the member is lost.
	attempts int
	retryAt  time.Time
	inFlight bool
	urgent   bool
	// told is the epoch of this process in which the member acked a ping with
	// the full record.
	told uint32
	// missed counts direct acks missed in a row while indirect ones arrived.
	missed int
	// helpedAt is when a helper last reached the member.
	helpedAt  time.Time
	avoided   bool
	avoidedAt time.Time
	// pending is true while a suspicion runs. A leaving member keeps its
	// state meanwhile.
	pending  bool
	deadline time.Time
	// extended is the sum of extensions of deadline after late ticks.
	extended time.Duration
	// bootAt is when the member's process was first heard of.
	bootAt    time.Time
	diedAt    time.Time
	wasLeaver bool
}

// settled reports whether bootstrap need not wait for the member.
func (n *node) settled(attempts int, trustPeers bool) bool {
	if n.answered || n.attempts >= attempts {
		return true
	}
	return trustPeers && n.State == Dead && n.Boot != 0
}

type tombstone struct {
	node *node
	at   time.Time
}

const (
	liveSlot = iota
	lostSlot
)

// pool is a set of nodes that are visited in shuffled round-robin order. Each
// operation takes constant time: the shuffle advances one step per pick.
type pool struct {
	slot  int
	items []*node
	next  int
}

func (p *pool) add(n *node) {
	n.index[p.slot] = len(p.items)
	p.items = append(p.items, n)
}

func (p *pool) contains(n *node) bool {
	i := n.index[p.slot]
	return i < len(p.items) && p.items[i] == n
}

func (p *pool) remove(n *node) {
	if !p.contains(n) {
		return
	}
	hole := n.index[p.slot]
	if hole < p.next {
		p.next--
		p.swap(hole, p.next)
		hole = p.next
	}
	last := len(p.items) - 1
	p.swap(hole, last)
	p.items[last] = nil
	p.items = p.items[:last]
}

func (p *pool) swap(i, j int) {
	p.items[i], p.items[j] = p.items[j], p.items[i]
	p.items[i].index[p.slot] = i
	p.items[j].index[p.slot] = j
}

// pick returns the next node, or nil if there is none.
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

func (m *Membership) forget(n *node) {
	m.lost.remove(n)
	m.dropUrgent(n)
	delete(m.nodes, n.ID)
}

func (m *Membership) addUrgent(n *node) {
	if !n.urgent {
		n.urgent = true
		m.urgent = append(m.urgent, n)
	}
}

func (m *Membership) dropUrgent(n *node) {
	if n.urgent {
		n.urgent = false
		m.urgent = remove(m.urgent, n)
	}
}

func (m *Membership) startSuspicion(now time.Time, n *node) {
	m.addUrgent(n)
	n.deadline = now.Add(m.cfg.SuspicionTimeout)
	n.extended = 0
	if !n.pending {
		n.pending = true
		m.suspects = append(m.suspects, n)
	}
}

func (m *Membership) endSuspicion(n *node) {
	if n.pending {
		n.pending = false
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

// bury records the time of death and enforces the bound on tombstones.
func (m *Membership) bury(now time.Time, n *node) {
	n.diedAt = now
	m.tombstones = append(m.tombstones, tombstone{node: n, at: now})
	if len(m.tombstones) > maxTombstones {
		m.dropTombstone()
	}
}

func (m *Membership) dropTombstones(now time.Time) {
	for len(m.tombstones) > 0 && now.Sub(m.tombstones[0].at) >= m.cfg.TombstoneLifetime {
		m.dropTombstone()
	}
}

func (m *Membership) dropTombstone() {
	t := m.tombstones[0]
	m.tombstones = m.tombstones[1:]
	n := t.node
	if n.State != Dead || !n.diedAt.Equal(t.at) || m.nodes[n.ID] != n {
		return
	}
	if !n.listed {
		m.forget(n)
		return
	}
	n.Boot = 0
	n.Incarnation = 0
	n.wasLeaver = false
	m.settleLost(n)
}
