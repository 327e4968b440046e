package membership

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/wire"
)

// Errors of Receive.
var (
	// ErrMalformed means that the datagram is not a valid control message.
	ErrMalformed = errors.New("malformed control datagram")
	// ErrOtherCluster means that the datagram belongs to another cluster.
	ErrOtherCluster = errors.New("control datagram of another cluster")
	// ErrSameID means that the sender has this instance's id: either two
	// processes run with the same settings, or this process received its own
	// datagram.
	ErrSameID = errors.New("control datagram from a process with this instance's id")
)

const (
	// documentBytesPerDatagram and quarantineBytesPerDatagram bound the total
	// size of the document versions and of the quarantine entries in one
	// datagram, so that document versions, quarantine entries and member updates
	// cannot displace each other.
	documentBytesPerDatagram   = 400
	quarantineBytesPerDatagram = 250
)

const (
	kindPing     = wire.ControlKind_PING
	kindAck      = wire.ControlKind_ACK
	kindIndirect = wire.ControlKind_INDIRECT_PING
)

// message holds the parts of a datagram that are specific to it.
type message struct {
	kind     wire.ControlKind
	sequence uint64
	target   string
	// record is an encoded member record that the receiver must get.
	record []byte
	// shortSender selects the short form of the sender's record.
	shortSender bool
	// fillWithMembers uses the free space for member records, for a new member.
	fillWithMembers bool
	// withKnownQuarantines adds quarantine entries, for a member whose entries
	// differ from those of this instance.
	withKnownQuarantines bool
	// withoutUpdates leaves out all updates. Only the pings of an instance's own
	// probes and the direct acks to pings carry updates, so that indirect pings
	// do not multiply the traffic when many datagrams are lost.
	withoutUpdates bool
}

var (
	kindField     = fieldNumber("kind")
	sequenceField = fieldNumber("sequence")
	targetField   = fieldNumber("target_address")
)

func fieldNumber(name string) protowire.Number {
	fields := (&wire.Control{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		if string(fields.Get(i).Name()) == name {
			return fields.Get(i).Number()
		}
	}
	panic("wire.Control has no field " + name)
}

// encode encodes a part of a datagram. Encoded parts can be concatenated:
// protobuf merges the fields of concatenated messages.
func encode(c *wire.Control) []byte {
	b, err := proto.Marshal(c)
	if err != nil {
		// Only invalid UTF-8 makes Marshal fail, and records with invalid
		// UTF-8 are never accepted.
		return nil
	}
	return b
}

func encodeMember(r Member) []byte {
	return encode(&wire.Control{Members: []*wire.Member{toWire(r)}})
}

// encodeShortMember encodes a record without the fields that never change in a
// process. Members that have received the process's full record hold these
// fields already. Suspicions and deaths are sent in this form, which halves
// their size.
func encodeShortMember(r Member) []byte {
	r.ControlAddress = ""
	r.DataCentre = ""
	r.Capacity = 0
	return encodeMember(r)
}

func encodeDocument(v port.DocumentVersion) []byte {
	return encode(&wire.Control{Documents: []*wire.DocumentVersion{{Service: v.Service, Revision: v.Revision, Digest: v.Digest}}})
}

// encodePrefixes encodes the full and the short form of the beginning of each
// datagram, which stays the same until this instance's record or catalog hash
// changes. The short form leaves out the fields that never change in a process,
// which saves a third of a usual datagram.
func (m *Membership) encodePrefixes() {
	c := &wire.Control{
		Cluster:     m.cfg.Cluster,
		Sender:      toWire(m.self),
		CatalogHash: m.catalogHash,

		QuarantineDigest: m.quarantines.digest,
	}
	m.prefix = encode(c)
	c.Sender.ControlAddress = ""
	c.Sender.DataCentre = ""
	c.Sender.Capacity = 0
	m.shortPrefix = encode(c)
}

func toWire(r Member) *wire.Member {
	return &wire.Member{
		Id:                  string(r.ID),
		ControlAddress:      r.ControlAddress,
		DataCentre:          string(r.DataCentre),
		Boot:                uint64(r.Boot),
		Incarnation:         r.Incarnation,
		State:               wire.MemberState(r.State),
		PlatformUnreachable: r.PlatformUnreachable,
		Capacity:            r.Capacity,
	}
}

func fromWire(w *wire.Member) (Member, error) {
	r := Member{
		ID:                  model.InstanceID(w.GetId()),
		ControlAddress:      w.GetControlAddress(),
		DataCentre:          model.DataCentre(w.GetDataCentre()),
		Boot:                model.BootID(w.GetBoot()),
		Incarnation:         w.GetIncarnation(),
		State:               State(w.GetState()),
		PlatformUnreachable: w.GetPlatformUnreachable(),
		Capacity:            w.GetCapacity(),
	}
	switch {
	case r.ID == "" || r.Boot == 0:
		return r, fmt.Errorf("%w: incomplete member record", ErrMalformed)
	case len(r.ID) > maxNameBytes || len(r.ControlAddress) > maxNameBytes || len(r.DataCentre) > maxNameBytes:
		return r, fmt.Errorf("%w: member record with a name over %d bytes", ErrMalformed, maxNameBytes)
	case r.State < Alive || r.State > Dead:
		return r, fmt.Errorf("%w: member state %d", ErrMalformed, r.State)
	case r.Incarnation > maxIncarnation:
		return r, fmt.Errorf("%w: incarnation %d", ErrMalformed, r.Incarnation)
	}
	return r, nil
}

// buildDatagram encodes a message, followed by as many quarantine entries,
// member updates and document versions as the buckets and the datagram allow.
func (m *Membership) buildDatagram(now time.Time, address string, msg message) Send {
	b := make([]byte, 0, 256)
	if msg.shortSender {
		b = append(b, m.shortPrefix...)
	} else {
		b = append(b, m.prefix...)
	}
	b = protowire.AppendTag(b, kindField, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(msg.kind))
	b = protowire.AppendTag(b, sequenceField, protowire.VarintType)
	b = protowire.AppendVarint(b, msg.sequence)
	if msg.target != "" {
		b = protowire.AppendTag(b, targetField, protowire.BytesType)
		b = protowire.AppendString(b, msg.target)
	}
	b = append(b, msg.record...)
	if msg.withoutUpdates {
		return Send{Address: address, Datagram: b}
	}
	// If a ping or an ack is longer than usual, the additional bytes are charged
	// to the update bucket.
	m.updateBucket.spend(max(0, len(b)-len(m.shortPrefix)-kindAndSequenceBytes))
	return Send{Address: address, Datagram: m.appendUpdates(now, b, msg)}
}

// appendUpdates appends as many updates as the buckets allow.
func (m *Membership) appendUpdates(now time.Time, b []byte, msg message) []byte {
	limit := retransmits(len(m.live.items) + 1)
	lengthBefore := len(b)
	room := min(MaxDatagram-lengthBefore, max(m.updateBucket.tokens, 0))
	b = m.appendQuarantineUpdates(now, b, limit, room)
	b = m.memberUpdates.fill(b, lengthBefore+room-len(b), limit, nil)
	m.updateBucket.spend(len(b) - lengthBefore)
	lengthBefore = len(b)
	b = m.documentUpdates.fill(b, min(documentBytesPerDatagram, m.documentBucket.tokens, MaxDatagram-lengthBefore), limit, nil)
	m.documentBucket.spend(len(b) - lengthBefore)
	if msg.withKnownQuarantines {
		lengthBefore = len(b)
		b = m.quarantines.appendKnown(now, b, min(quarantineBytesPerDatagram, m.quarantineBucket.tokens, MaxDatagram-lengthBefore))
		m.quarantineBucket.spend(len(b) - lengthBefore)
	}
	if msg.fillWithMembers && (m.smallFleet() || m.joinBucket.tokens > 0) {
		lengthBefore = len(b)
		b = m.appendMemberRecords(b, MaxDatagram-len(b))
		m.joinBucket.spend(len(b) - lengthBefore)
	}
	return b
}

// appendMemberRecords fills the free space with records of live members,
// beginning at a random one.
func (m *Membership) appendMemberRecords(b []byte, room int) []byte {
	count := len(m.live.items)
	if count == 0 {
		return b
	}
	start := m.cfg.Rand.IntN(count)
	for i := range count {
		r := encodeMember(m.live.items[(start+i)%count].Member)
		if len(r) > room {
			break
		}
		room -= len(r)
		b = append(b, r...)
	}
	return b
}

// Receive handles a datagram. If the datagram is malformed or belongs to
// another cluster, it returns an error and changes nothing. If it returns
// ErrSameID, it has processed only the sender's record, which may show that
// another process uses this instance's id.
func (m *Membership) Receive(now time.Time, from string, datagram []byte) (Received, error) {
	c, sender, members, err := m.decode(datagram)
	if err != nil {
		return Received{}, err
	}
	m.detectPause(now)
	if sender.ID == m.self.ID {
		m.applySelf(sender)
		return Received{}, ErrSameID
	}
	n := m.applySender(now, sender)
	if n != nil {
		n.quarantinesDiffer = c.GetQuarantineDigest() != m.quarantines.digest
	}
	for _, r := range members {
		m.apply(now, r)
	}
	out := Received{Sender: sender, CatalogHash: c.GetCatalogHash()}
	if n != nil {
		out.Sends = m.respond(now, from, c, n)
	} else if c.GetKind() == kindPing {
		out.Sends = m.respondToUnknown(now, from, sender, c.GetSequence())
	}
	for _, d := range c.GetDocuments() {
		out.Documents = append(out.Documents, port.DocumentVersion{Service: d.GetService(), Revision: d.GetRevision(), Digest: d.GetDigest()})
	}
	out.Quarantines = m.receiveQuarantines(now, c)
	return out, nil
}

func (m *Membership) decode(datagram []byte) (*wire.Control, Member, []Member, error) {
	if len(datagram) > MaxDatagram {
		return nil, Member{}, nil, fmt.Errorf("%w: %d bytes", ErrMalformed, len(datagram))
	}
	c := &wire.Control{}
	if err := proto.Unmarshal(datagram, c); err != nil {
		return nil, Member{}, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if c.GetCluster() != m.cfg.Cluster {
		return nil, Member{}, nil, fmt.Errorf("%w: %q", ErrOtherCluster, c.GetCluster())
	}
	sender, err := fromWire(c.GetSender())
	if err != nil {
		return nil, Member{}, nil, err
	}
	if sender.State != Alive && sender.State != Leaving {
		return nil, Member{}, nil, fmt.Errorf("%w: sender calls itself %v", ErrMalformed, sender.State)
	}
	members := make([]Member, 0, len(c.GetMembers()))
	for _, w := range c.GetMembers() {
		r, err := fromWire(w)
		if err != nil {
			return nil, Member{}, nil, err
		}
		if r.ControlAddress == "" && (r.State == Alive || r.State == Leaving) {
			return nil, Member{}, nil, fmt.Errorf("%w: member record without an address", ErrMalformed)
		}
		members = append(members, r)
	}
	return c, sender, members, nil
}

// applySender merges the sender's own record and returns the sender's node. It
// returns nil if the record is in the short form and this instance holds no
// record of the sender's process or a later one, or if the member table is full.
func (m *Membership) applySender(now time.Time, r Member) *node {
	if r.ControlAddress == "" {
		n := m.nodes[r.ID]
		if n == nil || n.Boot < r.Boot {
			return nil
		}
	}
	m.apply(now, r)
	return m.nodes[r.ID]
}

// respondToUnknown acks a ping whose sender applySender could not find or add.
// The ack carries a record that declares the sender's process dead. The process
// refutes it, and thereby disseminates its full record.
func (m *Membership) respondToUnknown(now time.Time, from string, sender Member, sequence uint64) []Send {
	sender.ControlAddress = from
	sender.State = Dead
	return []Send{m.buildDatagram(now, from, message{kind: kindAck, sequence: sequence, record: encodeMember(sender)})}
}

// respond returns the datagrams to send in response to a message.
func (m *Membership) respond(now time.Time, from string, c *wire.Control, n *node) []Send {
	switch c.GetKind() {
	case kindPing:
		full := m.shouldFillAck(now, n)
		msg := message{kind: kindAck, sequence: c.GetSequence(), record: m.recordForSender(n, c), shortSender: m.knownBy(n), fillWithMembers: full, withKnownQuarantines: n.quarantinesDiffer}
		return []Send{m.buildDatagram(now, from, msg)}
	case kindIndirect:
		return m.relayPing(now, from, c)
	case kindAck:
		m.handleAck(now, n, c.GetSequence())
		return m.relayAck(now, c, n)
	default:
		return nil
	}
}

// shouldFillAck reports whether an ack to the member is filled up with member
// records. Only a new process needs them, and in a large fleet only some
// members send them: the new process pings all listed members itself, and each
// answers with its own record.
func (m *Membership) shouldFillAck(now time.Time, n *node) bool {
	if n.State == Dead || now.Sub(n.bootSeenAt) >= joinWindow {
		return false
	}
	return m.cfg.Rand.IntN(len(m.live.items)+1) < meanFilledAcks
}

// recordForSender returns the record that an ack to the sender must carry: the
// known record if the sender has an outdated boot id, otherwise a record that
// it has to refute, or nil.
func (m *Membership) recordForSender(n *node, c *wire.Control) []byte {
	if uint64(n.Boot) != c.GetSender().GetBoot() {
		return encodeMember(n.Member)
	}
	return m.recordToRefute(n)
}

// relayPing pings a target as a helper of the instance that sent the indirect
// ping.
func (m *Membership) relayPing(now time.Time, from string, c *wire.Control) []Send {
	target := c.GetTargetAddress()
	if target == "" || len(target) > maxNameBytes {
		return nil
	}
	for len(m.relays) > 0 && !now.Before(m.relays[0].expiresAt) {
		m.relays = m.relays[1:]
	}
	if len(m.relays) >= maxRelays {
		return nil
	}
	m.sequence++
	m.relays = append(m.relays, relay{
		sequence:          m.sequence,
		requester:         from,
		requesterSequence: c.GetSequence(),
		expiresAt:         now.Add(relayLifetime),
	})
	return []Send{m.buildDatagram(now, target, message{kind: kindPing, sequence: m.sequence, withoutUpdates: true})}
}

// relayAck passes an ack on to the instance that asked for the indirect ping.
// The passed-on ack carries the target's record, which may refute a suspicion.
func (m *Membership) relayAck(now time.Time, c *wire.Control, n *node) []Send {
	for i, r := range m.relays {
		if r.sequence != c.GetSequence() {
			continue
		}
		m.relays = append(m.relays[:i], m.relays[i+1:]...)
		if !now.Before(r.expiresAt) {
			return nil
		}
		msg := message{kind: kindAck, sequence: r.requesterSequence, record: encodeMember(n.Member), withoutUpdates: true}
		return []Send{m.buildDatagram(now, r.requester, msg)}
	}
	return nil
}
