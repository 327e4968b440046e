package membership

import "time"

// supersedes reports whether record r replaces record cur of the same member.
// The rules define an order of records, so that the views of all instances
// converge regardless of the order in which records arrive.
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

// apply merges a member record that was received in a datagram.
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
	if n.announcedLeave && n.Boot == r.Boot && r.State != Dead {
		r.State = Leaving
	}
	m.setRecord(now, n, r)
}

// applyUnknown adds a member that is not in the table. It keeps the record of a
// dead member but does not disseminate it: without the record, older records
// that arrive later would bring the member back. It ignores the record of a live
// member that has no address.
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
		n.retryAt = now.Add(maxLostBackoff)
		m.updateLostPool(n)
		m.addTombstone(now, n)
		return
	}
	n.State = Dead
	m.setRecord(now, n, r)
}

// applySelf handles a record with this instance's id: it refutes a suspicion or
// death of this process, and detects other processes with the same id.
func (m *Membership) applySelf(r Member) {
	switch {
	case r.Boot > m.self.Boot:
		m.handleHigherBoot(r)
	case r.Boot < m.self.Boot:
		return
	case r.State != Suspect && r.State != Dead:
		return
	case r.Incarnation >= m.self.Incarnation:
		m.self.Incarnation = r.Incarnation + 1
		m.publishSelf()
	}
}

// handleHigherBoot handles a record with this instance's id and a higher boot
// id. During bootstrap, this process assumes that the record comes from an earlier
// process whose clock was ahead, and raises its own boot id above it. After
// bootstrap, it assumes that the record comes from a later process.
func (m *Membership) handleHigherBoot(r Member) {
	if m.bootstrapComplete {
		if !m.superseded {
			m.superseded = true
			m.version++
			m.addEvent(EventSuperseded, r)
		}
		return
	}
	m.self.Boot = r.Boot + 1
	m.recordEpoch++
	m.addEvent(EventBootRaised, m.self)
	m.publishSelf()
}

// setRecord replaces the record of a member, updates everything that depends on
// the member's state, and disseminates the record.
func (m *Membership) setRecord(now time.Time, n *node, r Member) {
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
		n.announcedLeave = false
		n.missedAcks = 0
		n.reachedByHelperAt = time.Time{}
		n.bootSeenAt = now
		n.hasAcked = false
		n.recordEpoch = 0
	}
	n.Member = r
	n.announcedLeave = n.announcedLeave || r.State == Leaving
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
	m.removeUrgentIfSettled(n)
	m.addStateEvents(old, r)
	if m.bootstrapComplete || old.Boot != 0 || r.State != Alive {
		// During bootstrap, this process receives the records of members that the
		// other members hold already, so it does not disseminate live ones.
		m.disseminate(n, old)
	}
}

// disseminate queues a changed record for sending. In a large fleet, a death that
// follows a suspicion of the same process replaces the suspicion in the queue
// and keeps its transmission count: a member that has received the suspicion
// declares the death by itself.
func (m *Membership) disseminate(n *node, old Member) {
	data := encodeMember(n.Member)
	if n.State == Suspect || n.State == Dead {
		data = encodeShortMember(n.Member)
	}
	if n.State == Dead && old.State == Suspect && old.Boot == n.Boot && !m.smallFleet() {
		m.memberUpdates.replaceData(string(n.ID), data, retransmits(len(m.live.items)+1)/2)
		return
	}
	m.memberUpdates.put(string(n.ID), data)
}

func (m *Membership) setDead(now time.Time, n *node) {
	m.live.remove(n)
	n.avoided = false
	n.recordEpoch = 0
	n.missedAcks = 0
	n.failedPings = 0
	n.retryAt = now.Add(m.cfg.Interval)
	m.updateLostPool(n)
	m.addTombstone(now, n)
}

// updateLostPool puts a dead member into the pool of lost members if it is to
// be pinged, and removes it otherwise. A member that has announced its leave is
// pinged only while it is listed, since most such members are replaced for
// good.
func (m *Membership) updateLostPool(n *node) {
	wanted := n.State == Dead && n.ControlAddress != "" && (n.listed || n.Boot != 0 && !n.announcedLeave)
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
	n.failedPings = 0
}

// removeUrgentIfSettled removes a member from the urgent list if it is not
// under suspicion, not avoided and has missed no acks.
func (m *Membership) removeUrgentIfSettled(n *node) {
	if !n.suspicionRunning && !n.avoided && n.missedAcks == 0 {
		m.removeUrgent(n)
	}
}

func (m *Membership) addStateEvents(old, r Member) {
	switch {
	case r.State == Dead:
		m.addEvent(EventDead, r)
	case old.State == Dead:
		m.addEvent(EventJoined, r)
	case old.Boot != r.Boot:
		m.addEvent(EventRestarted, r)
	}
	if r.State == Suspect {
		m.addEvent(EventSuspect, r)
	}
	if r.State == Leaving && (old.State != Leaving || old.Boot != r.Boot) {
		m.addEvent(EventLeaving, r)
	}
}
