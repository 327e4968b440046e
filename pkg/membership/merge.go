package membership

import "time"

// supersedes reports whether record r replaces record cur of the same member.
// The rules form an order, so that the views of all instances converge
// whatever the order of arrival.
func supersedes(r, cur Member) bool {
	if r.Boot != cur.Boot {
		return r.Boot > cur.Boot
	}
	switch {
	case cur.State == Dead:
		return r.State != Dead && r.Incarnation > cur.Incarnation
	case r.State == Dead:
		return r.Incarnation >= cur.Incarnation
	case cur.State == Leaving:
		return r.State == Leaving && r.Incarnation > cur.Incarnation
	case r.State == Leaving:
		return true
	case r.Incarnation != cur.Incarnation:
		return r.Incarnation > cur.Incarnation
	default:
		return r.State > cur.State
	}
}

// apply merges a record that arrived in a datagram.
func (m *Membership) apply(now time.Time, r Member) {
	if r.ID == m.self.ID {
		m.applySelf(r)
		return
	}
	n := m.nodes[r.ID]
	if n == nil {
		m.applyUnknown(now, r)
		return
	}
	if !supersedes(r, n.Member) {
		return
	}
	if n.ControlAddress == "" && r.ControlAddress == "" && r.State != Dead {
		return
	}
	if n.wasLeaver && n.Boot == r.Boot && r.State != Dead {
		r.State = Leaving
	}
	m.set(now, n, r)
}

// applyUnknown adds a member. The death of an unknown member is remembered
// against late datagrams but not passed on.
func (m *Membership) applyUnknown(now time.Time, r Member) {
	if r.State != Dead && r.ControlAddress == "" {
		return
	}
	n := m.addNode(r.ID)
	if n == nil {
		return
	}
	if r.State == Dead {
		n.Member = r
		n.retryAt = now.Add(lostBackoff)
		m.settleLost(n)
		m.bury(now, n)
		return
	}
	n.State = Dead
	m.set(now, n, r)
}

// applySelf refutes a suspicion of this process and handles records of other
// processes under the same id.
func (m *Membership) applySelf(r Member) {
	switch {
	case r.Boot > m.self.Boot:
		m.replaced(r)
	case r.Boot < m.self.Boot:
		return
	case r.State != Suspect && r.State != Dead:
		return
	case r.Incarnation >= m.self.Incarnation:
		m.self.Incarnation = r.Incarnation + 1
		m.selfChanged()
	}
}

// replaced handles a record of a process with this instance's id and a higher
// boot id. Before bootstrap is complete it is a predecessor whose clock was
// ahead, and this process takes a higher boot id. Afterwards it is a successor.
func (m *Membership) replaced(r Member) {
	if m.confirmed {
		if !m.superseded {
			m.superseded = true
			m.version++
			m.event(EventSuperseded, r)
		}
		return
	}
	m.self.Boot = r.Boot + 1
	m.epoch++
	m.event(EventBootRaised, m.self)
	m.selfChanged()
}

// set replaces the record of a member, adjusts everything that depends on its
// state, and disseminates the record.
func (m *Membership) set(now time.Time, n *node, r Member) {
	old := n.Member
	if r.ControlAddress == "" {
		r.ControlAddress = old.ControlAddress
	}
	if r.DataCentre == "" {
		r.DataCentre = old.DataCentre
	}
	if r.Capacity == 0 {
		r.Capacity = old.Capacity
	}
	if r.Boot == old.Boot {
		r.Incarnation = max(r.Incarnation, old.Incarnation)
	} else {
		n.wasLeaver = false
		n.missed = 0
		n.helpedAt = time.Time{}
		n.bootAt = now
		n.answered = false
		n.told = 0
	}
	n.Member = r
	n.wasLeaver = n.wasLeaver || r.State == Leaving
	m.version++
	m.endSuspicion(n)
	switch {
	case r.State == Dead:
		m.setDead(now, n)
	case old.State == Dead:
		m.setLive(n)
	}
	if r.State == Suspect {
		m.startSuspicion(now, n)
	}
	m.settleUrgent(n)
	m.report(old, r)
	if m.confirmed || old.Boot != 0 || r.State != Alive {
		// What a starting process learns is news only to itself.
		m.spread(n, old)
	}
}

// spread passes a changed record on. A death that follows from a suspicion which
// has been passed on takes over its count of transmissions: who knows the
// suspicion finds the death without being told.
func (m *Membership) spread(n *node, old Member) {
	data := encodeMember(n.Member)
	if n.State == Suspect || n.State == Dead {
		data = encodeShortMember(n.Member)
	}
	if n.State == Dead && old.State == Suspect && old.Boot == n.Boot && !m.small() {
		m.updates.replace(string(n.ID), data, retransmits(len(m.live.items)+1)/2)
		return
	}
	m.updates.put(string(n.ID), data)
}

func (m *Membership) setDead(now time.Time, n *node) {
	m.live.remove(n)
	n.avoided = false
	n.told = 0
	n.missed = 0
	n.attempts = 0
	n.retryAt = now.Add(m.cfg.Interval)
	m.settleLost(n)
	m.bury(now, n)
}

// settleLost keeps a dead member among those that are pinged. A leaver is
// pinged only while it is listed, since most leavers are replaced for good.
func (m *Membership) settleLost(n *node) {
	wanted := n.State == Dead && n.ControlAddress != "" && (n.listed || n.Boot != 0 && !n.wasLeaver)
	switch {
	case wanted && !m.lost.contains(n):
		m.lost.add(n)
	case !wanted:
		m.lost.remove(n)
	}
}

func (m *Membership) setLive(n *node) {
	m.lost.remove(n)
	m.live.add(n)
	n.attempts = 0
}

// settleUrgent removes a member from the urgent list if nothing keeps it there.
func (m *Membership) settleUrgent(n *node) {
	if !n.pending && !n.avoided && n.missed == 0 {
		m.dropUrgent(n)
	}
}

func (m *Membership) report(old, r Member) {
	switch {
	case r.State == Dead:
		m.event(EventDead, r)
	case old.State == Dead:
		m.event(EventJoined, r)
	case old.Boot != r.Boot:
		m.event(EventRestarted, r)
	}
	if r.State == Suspect {
		m.event(EventSuspect, r)
	}
	if r.State == Leaving && (old.State != Leaving || old.Boot != r.Boot) {
		m.event(EventLeaving, r)
	}
}
