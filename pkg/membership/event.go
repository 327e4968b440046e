package membership

// EventKind is the kind of a membership change.
type EventKind int

// Event kinds.
const (
	EventJoined EventKind = iota
	EventSuspect
	EventDead
	EventLeaving
	EventRestarted
	// EventBootRaised means that this process raised its boot id, since its
	// predecessor under the same id had a higher one.
	EventBootRaised
	// EventSuperseded means that a later process runs under this process's
	// id; this process is no candidate any more.
	EventSuperseded
)

// String returns the kind's name.
func (k EventKind) String() string {
	names := [...]string{"joined", "suspect", "dead", "leaving", "restarted", "boot_raised", "superseded"}
	if k < 0 || int(k) >= len(names) {
		return "undefined"
	}
	return names[k]
}

// Event is a membership change, for logs.
type Event struct {
	Kind   EventKind
	Member Member
}

// TakeEvents returns the events since the last call.
func (m *Membership) TakeEvents() []Event {
	out := m.events
	m.events = nil
	return out
}

func (m *Membership) event(k EventKind, r Member) {
	if len(m.events) < maxEvents {
		m.events = append(m.events, Event{Kind: k, Member: r})
	}
}
