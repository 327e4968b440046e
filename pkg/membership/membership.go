// Package membership implements a SWIM-style membership protocol: it detects
// failures of instances and disseminates the states of members. The package
// does no input or output: a call takes the current time and returns the
// datagrams to send. A Membership is not safe for concurrent use.
//
// After bootstrap, the cost of a Tick or Receive does not grow linearly with the
// fleet. It depends on the probes in flight (bounded per round), the members
// under suspicion and the logarithm of the fleet size. The cost of Members,
// Candidates, BootstrapComplete and SetListed is linear in the fleet size;
// Members and Candidates are computed again only after a change of Version.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// Send is a datagram to be sent.
type Send struct {
	Address  string
	Datagram []byte
}

// Received is the result of a received datagram: the replies to send, and the
// content that concerns other components.
type Received struct {
	Sends []Send
	// Sender is the sender's own record.
	Sender      Member
	CatalogHash uint64
	Documents   []port.DocumentVersion
	// Quarantines holds the entries of the datagram that were new to this instance
	// or expire later than the known ones.
	Quarantines []Quarantine
}

const bootRandomBits = 20

// NewBootID returns the boot id of a process started at the given time: the
// Unix time in milliseconds, followed by 20 random bits. Boot ids of processes
// started in different milliseconds are therefore ordered by start time. The
// random bits make it unlikely that two processes started in the same
// millisecond have the same boot id.
func NewBootID(start time.Time, r *rand.Rand) model.BootID {
	ms := uint64(start.UnixMilli())
	return model.BootID(ms<<bootRandomBits | r.Uint64N(1<<bootRandomBits))
}

// Membership is one instance's view of all instances.
type Membership struct {
	cfg   Config
	self  Member
	nodes map[model.InstanceID]*node
	// live holds the members that are alive, suspect or leaving. lost holds the
	// dead members to ping, and listed members that have never acked.
	live pool
	lost pool
	// urgent holds the members that are pinged in addition to the regular pings,
	// in turn, up to Fanout in a round and as far as the probe bucket allows:
	// members under suspicion, avoided members, and members whose last ping got
	// no direct ack.
	urgent     []*node
	suspects   []*node
	tombstones []tombstone

	probes     []*probe
	relays     []relay
	sequence   uint64
	roundTrips roundTrips
	// The token buckets described in budget.go.
	probeBucket, documentBucket, updateBucket, joinBucket, quarantineBucket bucket
	// roundsSinceLostPing counts the rounds since a lost member was last
	// pinged.
	roundsSinceLostPing int

	nextRoundAt time.Time
	lastCallAt  time.Time

	listed []*node
	// bootstrapCursor is the index in listed of the member that bootstrap
	// considered last.
	bootstrapCursor   int
	listReceived      bool
	bootstrapComplete bool
	anyMemberAcked    bool
	resumed           bool
	superseded        bool

	catalogHash uint64
	// prefix and shortPrefix are the encoded beginnings of datagrams with the
	// full and with the short form of this instance's record.
	prefix      []byte
	shortPrefix []byte
	// recordEpoch is raised whenever other members may no longer hold this
	// process's full record (a pause of this process or a new boot id). A
	// member that received the full record in an earlier epoch gets it again.
	recordEpoch       uint32
	memberUpdates     queue
	documentUpdates   queue
	quarantineUpdates queue
	quarantines       quarantineList
	events            []Event

	version           uint64
	membersVersion    uint64
	membersCache      []Member
	candidatesVersion uint64
	candidatesCache   []Member
}

// New returns a Membership whose only member is this instance.
func New(cfg Config, now time.Time) *Membership {
	cfg.setDefaults()
	m := &Membership{
		cfg:            cfg,
		self:           cfg.Self,
		nodes:          make(map[model.InstanceID]*node),
		live:           pool{id: livePoolID},
		lost:           pool{id: lostPoolID},
		sequence:       cfg.Rand.Uint64N(1 << 20),
		nextRoundAt:    now,
		lastCallAt:     now,
		recordEpoch:    1,
		version:        1,
		quarantines:    quarantineList{entries: make(map[model.Fingerprint]Quarantine)},
		roundTrips:     make(roundTrips),
		probeBucket:    bucket{tokens: probeBurstBytes},
		documentBucket: bucket{tokens: documentBurstBytes},
		updateBucket:   bucket{tokens: updateBurstBytes},
		joinBucket:     bucket{tokens: joinBurstBytes},

		quarantineBucket: bucket{tokens: quarantineBurstBytes},
	}
	m.self.State = Alive
	m.publishSelf()
	return m
}

// Self returns this instance's own record.
func (m *Membership) Self() Member { return m.self }

// Version returns a number that changes whenever the result of Members or
// Candidates may change.
func (m *Membership) Version() uint64 { return m.version }

// Members returns this instance and all other members that are not dead. The
// result is shared and must not be changed.
func (m *Membership) Members() []Member {
	if m.membersVersion == m.version {
		return m.membersCache
	}
	out := make([]Member, 0, len(m.live.items)+1)
	out = append(out, m.self)
	for _, n := range m.live.items {
		out = append(out, n.Member)
	}
	m.membersCache, m.membersVersion = out, m.version
	return out
}

// Candidates returns the members that may be homes now: alive and not avoided.
// It leaves out this instance if the instance is leaving or superseded. After a
// pause, it also leaves out this instance until any member has acked, unless
// there are no other live members. The result is shared and must not be changed.
func (m *Membership) Candidates(_ time.Time) []Member {
	if m.candidatesVersion == m.version {
		return m.candidatesCache
	}
	out := make([]Member, 0, len(m.live.items)+1)
	if m.isCandidate() {
		out = append(out, m.self)
	}
	for _, n := range m.live.items {
		if n.State == Alive && !n.avoided {
			out = append(out, n.Member)
		}
	}
	m.candidatesCache, m.candidatesVersion = out, m.version
	return out
}

func (m *Membership) isCandidate() bool {
	if m.self.State == Leaving || m.superseded {
		return false
	}
	return !m.resumed || len(m.live.items) == 0
}

// Leave announces that this instance is leaving. An announced leave cannot be
// revoked.
func (m *Membership) Leave(now time.Time) []Send {
	if m.self.State == Leaving {
		return nil
	}
	m.self.State = Leaving
	m.self.Incarnation++
	m.publishSelf()
	count := len(m.live.items)
	if count == 0 {
		return nil
	}
	var out []Send
	start := m.cfg.Rand.IntN(count)
	for i := range min(leaveFanout, count) {
		n := m.live.items[(start+i)%count]
		out = append(out, m.buildDatagram(now, n.ControlAddress, message{kind: kindAck, record: m.recordToRefute(n), withoutUpdates: true}))
	}
	return out
}

// SetPlatformUnreachable publishes whether this instance fails to read the
// platform's configuration.
func (m *Membership) SetPlatformUnreachable(_ time.Time, v bool) {
	if m.self.PlatformUnreachable == v {
		return
	}
	m.self.PlatformUnreachable = v
	m.self.Incarnation++
	m.publishSelf()
}

// SetCapacity publishes a changed capacity of this process, in thousandths of a core.
func (m *Membership) SetCapacity(capacity uint32) {
	if m.self.Capacity == capacity {
		return
	}
	m.self.Capacity = capacity
	m.self.Incarnation++
	// The short form of the record lacks the capacity.
	m.recordEpoch++
	m.publishSelf()
}

// SetCatalogHash sets the catalog hash that all datagrams of this instance
// carry.
func (m *Membership) SetCatalogHash(h uint64) {
	if m.catalogHash == h {
		return
	}
	m.catalogHash = h
	m.encodePrefixes()
}

// AnnounceDocument queues an announcement to other instances that this one has a
// version of a document. A version that exceeds documentBytesPerDatagram is not
// announced; other instances then notice it by the catalog hash.
func (m *Membership) AnnounceDocument(v port.DocumentVersion) {
	if data := encodeDocument(v); len(data) <= documentBytesPerDatagram {
		m.documentUpdates.put(v.Service, data)
	}
}

// Avoid excludes a member from Candidates until it acks a ping that is sent at
// or after now. It must be called when a request to the member has failed.
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

// Resume records that this process was paused: it is no candidate until a
// member has acked a ping that is sent from now on.
func (m *Membership) Resume(now time.Time) {
	m.restartTimers(now)
	m.resumed = true
	m.recordEpoch++
	m.version++
}

// publishSelf disseminates this instance's own record after a change.
func (m *Membership) publishSelf() {
	m.version++
	m.encodePrefixes()
	m.memberUpdates.put(string(m.self.ID), encodeMember(m.self))
}
