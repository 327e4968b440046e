package membership

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/port"
)

// SetListed replaces the instance list that was last read from the platform.
// The list supplies addresses to ping. A member that answers pings stays a
// member even if it is not listed.
func (m *Membership) SetListed(now time.Time, list []port.ListedInstance) {
	m.listReceived = true
	previous := m.listed
	for _, n := range previous {
		n.listed = false
	}
	m.listed = make([]*node, 0, len(list))
	for _, l := range list {
		m.applyListed(now, l)
	}
	for _, n := range previous {
		if !n.listed && n.Boot == 0 {
			m.removeNode(n)
			continue
		}
		m.updateLostPool(n)
	}
}

// applyListed merges one entry of the platform's list. It changes the address
// and the data centre of a member only while the member is dead.
func (m *Membership) applyListed(now time.Time, l port.ListedInstance) {
	if l.ID == m.self.ID || l.ID == "" {
		return
	}
	n := m.nodes[l.ID]
	if n == nil {
		n = m.addNode(l.ID)
		if n == nil {
			return
		}
		n.State = Dead
		n.retryAt = now
	}
	if !n.listed {
		n.listed = true
		m.listed = append(m.listed, n)
	}
	n.listedLeaving = l.Leaving
	if n.State == Dead {
		n.ControlAddress = l.ControlAddress
		n.DataCentre = l.DataCentre
	}
	m.updateLostPool(n)
}

// BootstrapComplete reports whether this instance has finished its bootstrap. It
// must have received the platform's list or an ack, and each listed member that
// is not leaving must have acked a ping or count as unreachable. A member counts
// as unreachable after maxBootstrapPings unanswered pings or, once any member has
// acked, if others report it dead. Once true, the result stays true.
func (m *Membership) BootstrapComplete(_ time.Time) bool {
	if m.bootstrapComplete {
		return true
	}
	m.bootstrapComplete = m.bootstrapped()
	return m.bootstrapComplete
}

func (m *Membership) bootstrapped() bool {
	if !m.listReceived && !m.anyMemberAcked {
		return false
	}
	maxPings := m.maxBootstrapPings()
	for _, n := range m.listed {
		if !n.listedLeaving && !n.bootstrapSettled(maxPings, m.anyMemberAcked) {
			return false
		}
	}
	return true
}

// maxBootstrapPings returns the number of unanswered pings after which
// bootstrap no longer waits for a member.
func (m *Membership) maxBootstrapPings() int {
	if m.anyMemberAcked {
		return unreachablePings
	}
	return allUnreachablePings
}
