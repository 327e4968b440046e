package replay

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// Arguments and results of the membership's calls.
type (
	membershipOpenArgs struct {
		Self    membership.Member `json:"self"`
		Cluster string            `json:"cluster"`
		Seed    seed              `json:"seed"`
	}
	receiveArgs struct {
		From     string `json:"from"`
		Datagram []byte `json:"datagram"`
	}
	// sentDatagram describes a datagram by its length and the hash of its bytes.
	sentDatagram struct {
		To    string `json:"to"`
		Bytes int    `json:"bytes"`
		Hash  uint64 `json:"hash"`
	}
	// memberResult holds the result of a call and the membership's state after
	// the call.
	memberResult struct {
		Sends  []sentDatagram `json:"sends,omitempty"`
		Events []memberEvent  `json:"events,omitempty"`
		// Sender, CatalogHash, Documents and Quarantines are the content of a
		// received datagram; Error says why it was refused.
		Sender      model.InstanceID       `json:"sender,omitempty"`
		CatalogHash uint64                 `json:"catalog_hash,omitempty"`
		Documents   []port.DocumentVersion `json:"documents,omitempty"`
		Quarantines int                    `json:"quarantines,omitempty"`
		Error       string                 `json:"error,omitempty"`
		// Candidates is set if the membership's version differs from that after
		// the previous line.
		Candidates []model.InstanceID `json:"candidates,omitempty"`
		Version    uint64             `json:"version"`
	}
	memberEvent struct {
		Kind   string           `json:"kind"`
		Member model.InstanceID `json:"member"`
	}
)

func sentDatagrams(sends []membership.Send) []sentDatagram {
	out := make([]sentDatagram, 0, len(sends))
	for _, s := range sends {
		out = append(out, sentDatagram{To: s.Address, Bytes: len(s.Datagram), Hash: xxhash.Sum64(s.Datagram)})
	}
	return out
}

func receivedResult(r membership.Received, err error) memberResult {
	return memberResult{
		Sends:       sentDatagrams(r.Sends),
		Sender:      r.Sender.ID,
		CatalogHash: r.CatalogHash,
		Documents:   r.Documents,
		Quarantines: len(r.Quarantines),
		Error:       errorText(err),
	}
}

func memberEvents(events []membership.Event) []memberEvent {
	out := make([]memberEvent, 0, len(events))
	for _, e := range events {
		out = append(out, memberEvent{Kind: e.Kind.String(), Member: e.Member.ID})
	}
	return out
}

// withView adds the membership's version to a result. If the version differs from
// the last recorded one, it also adds the candidates.
func withView(m *membership.Membership, last *uint64, at time.Time, r memberResult) memberResult {
	r.Version = m.Version()
	if r.Version == *last {
		return r
	}
	*last = r.Version
	for _, c := range m.Candidates(at) {
		r.Candidates = append(r.Candidates, c.ID)
	}
	return r
}

// Membership is a membership whose calls are recorded.
type Membership struct {
	*membership.Membership
	recorder
	clock             func() time.Time
	recordedVersion   uint64
	bootstrapRecorded bool
}

// NewMembership returns a membership with the default intervals whose calls are
// recorded. It replaces the random source by one with a new seed, which it writes
// to the trace: a replay needs the seed to draw the same random numbers.
func (t *Trace) NewMembership(cfg membership.Config, now time.Time, clock func() time.Time) *Membership {
	now = withoutMonotonic(now)
	openArgs := membershipOpenArgs{Self: cfg.Self, Cluster: cfg.Cluster, Seed: newSeed(cfg.Rand)}
	m := &Membership{recorder: t.newRecorder(componentMembership, ""), clock: clock}
	m.Membership = openArgs.newMembership(now)
	m.record("open", now, openArgs, nil)
	return m
}

func (o membershipOpenArgs) newMembership(now time.Time) *membership.Membership {
	return membership.New(membership.Config{Self: o.Self, Cluster: o.Cluster, Rand: rand.New(o.Seed.source())}, now)
}

func (m *Membership) recordView(call string, now time.Time, args any, r memberResult) {
	m.record(call, now, args, withView(m.Membership, &m.recordedVersion, now, r))
}

// SetListed records membership.Membership.SetListed.
func (m *Membership) SetListed(now time.Time, list []port.ListedInstance) {
	now = withoutMonotonic(now)
	m.Membership.SetListed(now, list)
	m.recordView("listed", now, list, memberResult{})
}

// BootstrapComplete records the first call of
// membership.Membership.BootstrapComplete that returns true.
func (m *Membership) BootstrapComplete(now time.Time) bool {
	now = withoutMonotonic(now)
	complete := m.Membership.BootstrapComplete(now)
	if complete && !m.bootstrapRecorded {
		m.bootstrapRecorded = true
		m.recordView("confirmed", now, nil, memberResult{})
	}
	return complete
}

// Leave records membership.Membership.Leave.
func (m *Membership) Leave(now time.Time) []membership.Send {
	now = withoutMonotonic(now)
	sends := m.Membership.Leave(now)
	m.recordView("leave", now, nil, memberResult{Sends: sentDatagrams(sends)})
	return sends
}

// SetPlatformUnreachable records membership.Membership.SetPlatformUnreachable.
func (m *Membership) SetPlatformUnreachable(now time.Time, v bool) {
	now = withoutMonotonic(now)
	m.Membership.SetPlatformUnreachable(now, v)
	m.recordView("platform", now, v, memberResult{})
}

// SetCatalogHash records membership.Membership.SetCatalogHash.
func (m *Membership) SetCatalogHash(h uint64) {
	m.Membership.SetCatalogHash(h)
	m.recordView("hash", withoutMonotonic(m.clock()), h, memberResult{})
}

// AnnounceDocument records membership.Membership.AnnounceDocument.
func (m *Membership) AnnounceDocument(v port.DocumentVersion) {
	m.Membership.AnnounceDocument(v)
	m.recordView("document", withoutMonotonic(m.clock()), v, memberResult{})
}

// AnnounceQuarantine records membership.Membership.AnnounceQuarantine.
func (m *Membership) AnnounceQuarantine(q membership.Quarantine) {
	q.Until = withoutMonotonic(q.Until)
	m.Membership.AnnounceQuarantine(q)
	m.recordView("quarantine", withoutMonotonic(m.clock()), q, memberResult{})
}

// Avoid records membership.Membership.Avoid.
func (m *Membership) Avoid(now time.Time, id model.InstanceID) {
	now = withoutMonotonic(now)
	m.Membership.Avoid(now, id)
	m.recordView("avoid", now, id, memberResult{})
}

// Resume records membership.Membership.Resume.
func (m *Membership) Resume(now time.Time) {
	now = withoutMonotonic(now)
	m.Membership.Resume(now)
	m.recordView("resume", now, nil, memberResult{})
}

// TakeEvents records membership.Membership.TakeEvents if there are any events.
func (m *Membership) TakeEvents() []membership.Event {
	events := m.Membership.TakeEvents()
	if len(events) > 0 {
		m.recordView("events", withoutMonotonic(m.clock()), nil, memberResult{Events: memberEvents(events)})
	}
	return events
}

// Tick records membership.Membership.Tick.
func (m *Membership) Tick(now time.Time) []membership.Send {
	now = withoutMonotonic(now)
	sends := m.Membership.Tick(now)
	m.recordView("tick", now, nil, memberResult{Sends: sentDatagrams(sends)})
	return sends
}

// Receive records membership.Membership.Receive.
func (m *Membership) Receive(now time.Time, from string, datagram []byte) (membership.Received, error) {
	now = withoutMonotonic(now)
	received, err := m.Membership.Receive(now, from, datagram)
	m.recordView("receive", now, receiveArgs{From: from, Datagram: datagram}, receivedResult(received, err))
	return received, err
}

// replayedMembership is a membership whose recorded calls are repeated.
type replayedMembership struct {
	*membership.Membership
	version uint64
}

func (p *player) playMembership(l line) (any, error) {
	if l.Call == "open" {
		openArgs, err := decode[membershipOpenArgs](l.Args)
		if err != nil {
			return nil, err
		}
		p.memberships[l.objectKey()] = &replayedMembership{Membership: openArgs.newMembership(l.Time)}
		return nil, nil
	}
	m, err := openObject(p.memberships, l)
	if err != nil {
		return nil, err
	}
	r, err := m.call(l)
	if err != nil {
		return nil, err
	}
	return withView(m.Membership, &m.version, l.Time, r), nil
}

func (m *replayedMembership) call(l line) (memberResult, error) {
	switch l.Call {
	case "listed":
		list, err := decode[[]port.ListedInstance](l.Args)
		m.SetListed(l.Time, list)
		return memberResult{}, err
	case "confirmed":
		m.BootstrapComplete(l.Time)
		return memberResult{}, nil
	case "leave":
		return memberResult{Sends: sentDatagrams(m.Leave(l.Time))}, nil
	case "platform":
		v, err := decode[bool](l.Args)
		m.SetPlatformUnreachable(l.Time, v)
		return memberResult{}, err
	case "hash":
		h, err := decode[uint64](l.Args)
		m.SetCatalogHash(h)
		return memberResult{}, err
	case "document":
		v, err := decode[port.DocumentVersion](l.Args)
		m.AnnounceDocument(v)
		return memberResult{}, err
	case "quarantine":
		q, err := decode[membership.Quarantine](l.Args)
		m.AnnounceQuarantine(q)
		return memberResult{}, err
	case "avoid":
		id, err := decode[model.InstanceID](l.Args)
		m.Avoid(l.Time, id)
		return memberResult{}, err
	case "resume":
		m.Resume(l.Time)
		return memberResult{}, nil
	case "events":
		return memberResult{Events: memberEvents(m.TakeEvents())}, nil
	case "tick":
		return memberResult{Sends: sentDatagrams(m.Tick(l.Time))}, nil
	case "receive":
		a, err := decode[receiveArgs](l.Args)
		if err != nil {
			return memberResult{}, err
		}
		return receivedResult(m.Receive(l.Time, a.From, a.Datagram)), nil
	default:
		return memberResult{}, unknownCall(l)
	}
}
