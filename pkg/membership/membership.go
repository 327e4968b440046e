// Package membership detects failures of instances and disseminates member
// states between them, in the manner of SWIM. It is pure: every call takes the
// current time and returns the datagrams to send. One Membership is not safe
// for concurrent use.
//
// The work of one Tick or Receive does not grow with the fleet. It grows with
// the probes in flight (bounded per round), the members under suspicion and the
// logarithm of the fleet. Members, Candidates, BootstrapComplete and SetListed are
// linear in the fleet; Members and Candidates are computed again only after a
// change, which Version reports.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// Send is a datagram to send.
type Send struct {
	Address  string
	Datagram []byte
}

// Quarantine is an entry of the quarantine list.
type Quarantine struct {
	Fingerprint model.Fingerprint
	Service     string
	Until       time.Time
}

// Received is the content of a datagram that the caller acts on.
type Received struct {
	Sends []Send
	// Sender is the record that the sender gave of itself.
	Sender      Member
	CatalogHash uint64
	Documents   []port.DocumentVersion
	// Quarantines are the entries that were not known before.
	Quarantines []Quarantine
}

const bootRandomBits = 20

// NewBootID returns the boot id of a process started at start: the Unix time in
// milliseconds, followed by 20 random bits. Ids are therefore ordered by start
// time, and two processes started in the same millisecond differ.
func NewBootID(start time.Time, r *rand.Rand) model.BootID {
	ms := uint64(start.UnixMilli())
	return model.BootID(ms<<bootRandomBits | r.Uint64N(1<<bootRandomBits))
}

// Membership is one instance's view of all instances.
type Membership struct {
	cfg   Config
	self  Member
	nodes map[model.InstanceID]*node
	// live holds members that are alive, suspect or leaving; lost holds dead
	// ones and listed ones that have never answered.
	live pool
	lost pool
	// urgent holds members that are pinged in every round: suspect, avoided,
	// or without an ack to the last ping.
	urgent     []*node
	suspects   []*node
	tombstones []tombstone

	probes   []*probe
	relays   []relay
	sequence uint64
	trips    roundTrips
	// The token buckets of budget.go.
	probing, announcing, news, filling bucket
	// sinceLost counts the rounds since a lost member was pinged.
	sinceLost int

	nextRound time.Time
	lastRun   time.Time

	listed []*node
	// nextListed is the place in listed that bootstrap has reached.
	nextListed  int
	listSeen    bool
	confirmed   bool
	answeredAny bool
	resumed     bool
	superseded  bool

	catalogHash uint64
	prefix      []byte
	shortPrefix []byte
	// epoch counts what makes other members forget this process: a node that
	// was told this process's full record in an earlier epoch is told again.
	epoch       uint32
	updates     queue
	documents   queue
	quarantines queue
	quarantined map[model.Fingerprint]Quarantine
	events      []Event

	version        uint64
	membersAt      uint64
	membersCache   []Member
	candidatesAt   uint64
	candidateCache []Member
}

// New returns a Membership that knows only itself.
func New(cfg Config, now time.Time) *Membership {
	cfg.setDefaults()
	m := &Membership{
		cfg:         cfg,
		self:        cfg.Self,
		nodes:       make(map[model.InstanceID]*node),
		live:        pool{slot: liveSlot},
		lost:        pool{slot: lostSlot},
		sequence:    cfg.Rand.Uint64N(1 << 20),
		nextRound:   now,
		lastRun:     now,
		epoch:       1,
		version:     1,
		quarantined: make(map[model.Fingerprint]Quarantine),
		trips:       make(roundTrips),
		probing:     bucket{tokens: probeBurst},
		announcing:  bucket{tokens: documentBurst},
		news:        bucket{tokens: newsBurst},
		filling:     bucket{tokens: fillBurst},
	}
	m.self.State = Alive
	m.selfChanged()
	return m
}

// Self returns this instance's own record.
func (m *Membership) Self() Member { return m.self }

// Version changes whenever the result of Members or Candidates may change.
func (m *Membership) Version() uint64 { return m.version }

// Members returns this instance and all members that are not dead. The result
// is shared and must not be changed.
func (m *Membership) Members() []Member {
	if m.membersAt == m.version {
		return m.membersCache
	}
	out := make([]Member, 0, len(m.live.items)+1)
	out = append(out, m.self)
	for _, n := range m.live.items {
		out = append(out, n.Member)
	}
	m.membersCache, m.membersAt = out, m.version
	return out
}

// Candidates returns the members that may be homes now: alive and not avoided.
// It includes this instance unless it is leaving, superseded or just resumed.
// The result is shared and must not be changed.
func (m *Membership) Candidates(_ time.Time) []Member {
	if m.candidatesAt == m.version {
		return m.candidateCache
	}
	out := make([]Member, 0, len(m.live.items)+1)
	if m.selfCandidate() {
		out = append(out, m.self)
	}
	for _, n := range m.live.items {
		if n.State == Alive && !n.avoided {
			out = append(out, n.Member)
		}
	}
	m.candidateCache, m.candidatesAt = out, m.version
	return out
}

func (m *Membership) selfCandidate() bool {
	if m.self.State == Leaving || m.superseded {
		return false
	}
	return !m.resumed || len(m.live.items) == 0
}

// Leave announces that this instance is leaving. It cannot be taken back.
func (m *Membership) Leave(now time.Time) []Send {
	if m.self.State == Leaving {
		return nil
	}
	m.self.State = Leaving
	m.self.Incarnation++
	m.selfChanged()
	count := len(m.live.items)
	if count == 0 {
		return nil
	}
	var out []Send
	start := m.cfg.Rand.IntN(count)
	for i := range min(leaveFanout, count) {
		n := m.live.items[(start+i)%count]
		out = append(out, m.send(now, n.ControlAddress, message{kind: kindAck, about: m.about(n), bare: true}))
	}
	return out
}

// SetPlatformUnreachable publishes whether this instance's reads of the
// platform's configuration fail.
func (m *Membership) SetPlatformUnreachable(_ time.Time, v bool) {
	if m.self.PlatformUnreachable == v {
		return
	}
	m.self.PlatformUnreachable = v
	m.self.Incarnation++
	m.selfChanged()
}

// SetCatalogHash sets the catalog hash that datagrams carry.
func (m *Membership) SetCatalogHash(h uint64) {
	if m.catalogHash == h {
		return
	}
	m.catalogHash = h
	m.encodePrefix()
}

// AnnounceDocument tells other instances that this one has the document.
// A version that does not fit spreads by the catalog hash alone.
func (m *Membership) AnnounceDocument(v port.DocumentVersion) {
	if data := encodeDocument(v); len(data) <= documentBudget {
		m.documents.put(v.Service, data)
	}
}

// AnnounceQuarantine tells other instances of a quarantine entry. Entries that
// arrive in datagrams are passed on without this call.
func (m *Membership) AnnounceQuarantine(q Quarantine) {
	m.learnQuarantine(m.lastRun, q)
}

// Avoid excludes a member from Candidates until it acks a ping that is sent
// after now. The caller's call to it has failed.
func (m *Membership) Avoid(now time.Time, id model.InstanceID) {
	n := m.nodes[id]
	if n == nil || n.State == Dead {
		return
	}
	m.avoid(now, n)
}

func (m *Membership) avoid(now time.Time, n *node) {
	n.avoidedAt = now
	m.addUrgent(n)
	if !n.avoided {
		n.avoided = true
		m.version++
	}
}

// Resume states that this process was paused: it is no candidate until a
// member has answered a ping that is sent from now on.
func (m *Membership) Resume(now time.Time) {
	m.restartTimers(now)
	m.resumed = true
	m.epoch++
	m.version++
}

// selfChanged publishes a change of this instance's own record.
func (m *Membership) selfChanged() {
	m.version++
	m.encodePrefix()
	m.updates.put(string(m.self.ID), encodeMember(m.self))
}
