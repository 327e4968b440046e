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
	// EventBootRaised means that this process raised its own boot id, because
	// an earlier process with the same instance id had a higher one.
	EventBootRaised
	// EventSuperseded means that a later process runs under this process's
	// instance id; this process is no longer a candidate for homes.
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

// Event is a change of the membership, to be logged.
type Event struct {
	Kind   EventKind
	Member Member
}

// TakeEvents returns the events since the last call. Events beyond maxEvents
// are lost.
func (m *Membership) TakeEvents() []Event {
	out := m.events
	m.events = nil
	return out
}

func (m *Membership) addEvent(k EventKind, r Member) {
	if len(m.events) < maxEvents {
		m.events = append(m.events, Event{Kind: k, Member: r})
	}
}
