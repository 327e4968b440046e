package membership

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/port"
)

// SetListed replaces the platform's list. It supplies addresses to ping; it
// never removes a member that answers.
func (m *Membership) SetListed(now time.Time, list []port.ListedInstance) {
	m.listSeen = true
	before := m.listed
	for _, n := range before {
		n.listed = false
	}
	m.listed = make([]*node, 0, len(list))
	for _, l := range list {
		m.setListed(now, l)
	}
	for _, n := range before {
		if !n.listed && n.Boot == 0 {
			m.forget(n)
			continue
		}
		m.settleLost(n)
	}
}

func (m *Membership) setListed(now time.Time, l port.ListedInstance) {
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
	m.settleLost(n)
}

// BootstrapComplete reports whether bootstrap is complete: every listed member has
// answered or is known to be unreachable, and at least one has answered if any
// is alive. Once true it stays true.
func (m *Membership) BootstrapComplete(_ time.Time) bool {
	if m.confirmed {
		return true
	}
	m.confirmed = m.bootstrapped()
	return m.confirmed
}

func (m *Membership) bootstrapped() bool {
	if !m.listSeen && !m.answeredAny {
		return false
	}
	attempts := m.bootstrapAttempts()
	for _, n := range m.listed {
		if !n.listedLeaving && !n.settled(attempts, m.answeredAny) {
			return false
		}
	}
	return true
}

// bootstrapAttempts is the number of unanswered pings after which bootstrap
// does not wait for a member any more.
func (m *Membership) bootstrapAttempts() int {
	if m.answeredAny {
		return unreachableAttempts
	}
	return aloneAttempts
}
