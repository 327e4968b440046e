package membership

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
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
	// ErrSameID means that the sender has this instance's id: two processes
	// run with the same settings, or the datagram is this process's own.
	ErrSameID = errors.New("control datagram from a process with this instance's id")
)

const (
	// documentBudget and quarantineBudget bound what a datagram spends on
	// each, so that many member updates cannot displace them or the reverse.
	documentBudget   = 400
	quarantineBudget = 250
	// maxQuarantines bounds the known entries.
	maxQuarantines = 1024
	// maxQuarantineTime bounds the lifetime of a received entry.
	maxQuarantineTime = time.Hour
	// quarantineSlack is the difference in expiry below which a received entry
	// is the known one: each hop adds its transit time.
	quarantineSlack = 5 * time.Second
)

const (
	kindPing     = wire.ControlKind_PING
	kindAck      = wire.ControlKind_ACK
	kindIndirect = wire.ControlKind_INDIRECT_PING
)

// message is what differs between two datagrams to be sent.
type message struct {
	kind     wire.ControlKind
	sequence uint64
	target   string
	// about is an encoded record that the receiver must get.
	about []byte
	// short asks for the short form of the sender's record.
	short bool
	// full asks to use the free space for member records, for a new member.
	full bool
	// bare leaves out updates. Only own pings and acks carry them, so that
	// indirect pings under heavy loss do not multiply the traffic.
	bare bool
}

var (
	numKind     = fieldNumber("kind")
	numSequence = fieldNumber("sequence")
	numTarget   = fieldNumber("target_address")
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

// encode encodes part of a datagram. Parts are concatenated: protobuf merges
// the fields of concatenated encodings.
func encode(c *wire.Control) []byte {
	b, err := proto.Marshal(c)
	if err != nil {
		// Only invalid UTF-8 fails, and a record with it is not accepted.
		return nil
	}
	return b
}

func encodeMember(r Member) []byte {
	return encode(&wire.Control{Members: []*wire.Member{toWire(r)}})
}

// encodeShortMember leaves out what the members that know the process know
// already. Suspicions and deaths take this form, which halves them.
func encodeShortMember(r Member) []byte {
	r.ControlAddress = ""
	r.DataCentre = ""
	r.Capacity = 0
	return encodeMember(r)
}

func encodeDocument(v port.DocumentVersion) []byte {
	return encode(&wire.Control{Documents: []*wire.DocumentVersion{{Service: v.Service, Revision: v.Revision, Digest: v.Digest}}})
}

func encodeQuarantine(q Quarantine, now time.Time) []byte {
	return encode(&wire.Control{Quarantines: []*wire.Quarantine{{
		Fingerprint: uint64(q.Fingerprint),
		Service:     q.Service,
		TimeLeftMs:  q.Until.Sub(now).Milliseconds(),
	}}})
}

// encodePrefix encodes the part that all datagrams share until this instance's
// record or catalog changes. The short form leaves out what never changes in a
// process; it saves a third of a usual datagram.
func (m *Membership) encodePrefix() {
	c := &wire.Control{
		Cluster:     m.cfg.Cluster,
		Sender:      toWire(m.self),
		CatalogHash: m.catalogHash,
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

// send builds a datagram: the message itself, then quarantine entries, document
// versions and member updates as far as they fit.
func (m *Membership) send(now time.Time, address string, msg message) Send {
	b := make([]byte, 0, 256)
	if msg.short {
		b = append(b, m.shortPrefix...)
	} else {
		b = append(b, m.prefix...)
	}
	b = protowire.AppendTag(b, numKind, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(msg.kind))
	b = protowire.AppendTag(b, numSequence, protowire.VarintType)
	b = protowire.AppendVarint(b, msg.sequence)
	if msg.target != "" {
		b = protowire.AppendTag(b, numTarget, protowire.BytesType)
		b = protowire.AppendString(b, msg.target)
	}
	b = append(b, msg.about...)
	if msg.bare {
		return Send{Address: address, Datagram: b}
	}
	// What makes a ping or an ack longer than the usual one counts as news.
	m.news.spend(max(0, len(b)-len(m.shortPrefix)-usualFields))
	return Send{Address: address, Datagram: m.appendNews(now, b, msg.full)}
}

// appendNews adds what the buckets allow.
func (m *Membership) appendNews(now time.Time, b []byte, full bool) []byte {
	limit := retransmits(len(m.live.items) + 1)
	own := len(b)
	room := min(MaxDatagram-own, max(m.news.tokens, 0))
	b = m.fillQuarantines(now, b, limit, room)
	b = m.updates.fill(b, own+room-len(b), limit, nil)
	m.news.spend(len(b) - own)
	own = len(b)
	b = m.documents.fill(b, min(documentBudget, m.announcing.tokens, MaxDatagram-own), limit, nil)
	m.announcing.spend(len(b) - own)
	if full && (m.small() || m.filling.tokens > 0) {
		own = len(b)
		b = m.appendQuarantines(now, b, MaxDatagram-len(b))
		b = m.appendMembers(b, MaxDatagram-len(b))
		m.filling.spend(len(b) - own)
	}
	return b
}

// appendMembers uses the free space for records from a random place on.
func (m *Membership) appendMembers(b []byte, room int) []byte {
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

// fillQuarantines encodes entries when they are sent, since they carry the time
// left.
func (m *Membership) fillQuarantines(now time.Time, b []byte, limit, room int) []byte {
	render := func(key string) []byte {
		q := m.quarantined[parseQuarantineKey(key)]
		if !q.Until.After(now) {
			return nil
		}
		return encodeQuarantine(q, now)
	}
	return m.quarantines.fill(b, min(quarantineBudget, room), limit, render)
}

// appendQuarantines adds the known entries for a new member.
func (m *Membership) appendQuarantines(now time.Time, b []byte, room int) []byte {
	budget := min(quarantineBudget, room)
	for _, f := range slices.Sorted(maps.Keys(m.quarantined)) {
		q := m.quarantined[f]
		data := encodeQuarantine(q, now)
		if !q.Until.After(now) || len(data) > budget {
			continue
		}
		budget -= len(data)
		b = append(b, data...)
	}
	return b
}

func quarantineKey(f model.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }

func parseQuarantineKey(key string) model.Fingerprint {
	v, _ := strconv.ParseUint(key, 16, 64)
	return model.Fingerprint(v)
}

// learnQuarantine records an entry and reports whether it is new.
func (m *Membership) learnQuarantine(now time.Time, q Quarantine) bool {
	old, known := m.quarantined[q.Fingerprint]
	if known && q.Until.Sub(old.Until) < quarantineSlack {
		return false
	}
	if !known && len(m.quarantined) >= maxQuarantines {
		maps.DeleteFunc(m.quarantined, func(_ model.Fingerprint, old Quarantine) bool { return !old.Until.After(now) })
	}
	if !known && len(m.quarantined) >= maxQuarantines {
		return false
	}
	m.quarantined[q.Fingerprint] = q
	m.quarantines.put(quarantineKey(q.Fingerprint), nil)
	return true
}

// Receive handles a datagram. It returns an error and changes nothing if the
// datagram is malformed or of another cluster. With ErrSameID, a later process
// under this instance's id is taken note of.
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
	for _, r := range members {
		m.apply(now, r)
	}
	out := Received{Sender: sender, CatalogHash: c.GetCatalogHash()}
	if n != nil {
		out.Sends = m.answer(now, from, c, n)
	} else if c.GetKind() == kindPing {
		out.Sends = m.answerUnknown(now, from, sender, c.GetSequence())
	}
	for _, d := range c.GetDocuments() {
		out.Documents = append(out.Documents, port.DocumentVersion{Service: d.GetService(), Revision: d.GetRevision(), Digest: d.GetDigest()})
	}
	for _, w := range c.GetQuarantines() {
		left := time.Duration(min(max(w.GetTimeLeftMs(), 0), maxQuarantineTime.Milliseconds())) * time.Millisecond
		q := Quarantine{Fingerprint: model.Fingerprint(w.GetFingerprint()), Service: w.GetService(), Until: now.Add(left)}
		if left > 0 && len(q.Service) <= maxNameBytes && m.learnQuarantine(now, q) {
			out.Quarantines = append(out.Quarantines, q)
		}
	}
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

// applySender merges the sender's own record. It returns nil if the record is in
// the short form and the process is not known.
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

// answerUnknown acks a ping of a process that is not known and sent the short
// form of its record. The record in the ack makes it refute, which sends its full
// record as an update.
func (m *Membership) answerUnknown(now time.Time, from string, sender Member, sequence uint64) []Send {
	sender.ControlAddress = from
	sender.State = Dead
	return []Send{m.send(now, from, message{kind: kindAck, sequence: sequence, about: encodeMember(sender)})}
}

// answer returns the datagrams that a message requires.
func (m *Membership) answer(now time.Time, from string, c *wire.Control, n *node) []Send {
	switch c.GetKind() {
	case kindPing:
		full := m.fillsAck(now, n)
		msg := message{kind: kindAck, sequence: c.GetSequence(), about: m.aboutSender(n, c), short: m.knownBy(n), full: full}
		return []Send{m.send(now, from, msg)}
	case kindIndirect:
		return m.pingForOther(now, from, c)
	case kindAck:
		m.acked(now, n, c.GetSequence())
		return m.relayAck(now, c, n)
	default:
		return nil
	}
}

// fillsAck reports whether an ack to the member is filled up with member records.
// Only a new process needs them, and not from every member of a large fleet: it
// pings all listed members itself, and each answers with its own record.
func (m *Membership) fillsAck(now time.Time, n *node) bool {
	if n.State == Dead || now.Sub(n.bootAt) >= joinWindow {
		return false
	}
	return m.cfg.Rand.IntN(len(m.live.items)+1) < filledAcks
}

// aboutSender also tells a process with an outdated boot id of the one known.
func (m *Membership) aboutSender(n *node, c *wire.Control) []byte {
	if uint64(n.Boot) != c.GetSender().GetBoot() {
		return encodeMember(n.Member)
	}
	return m.about(n)
}

func (m *Membership) pingForOther(now time.Time, from string, c *wire.Control) []Send {
	target := c.GetTargetAddress()
	if target == "" || len(target) > maxNameBytes {
		return nil
	}
	for len(m.relays) > 0 && !now.Before(m.relays[0].until) {
		m.relays = m.relays[1:]
	}
	if len(m.relays) >= maxRelays {
		return nil
	}
	m.sequence++
	m.relays = append(m.relays, relay{
		sequence:  m.sequence,
		requester: from,
		theirs:    c.GetSequence(),
		until:     now.Add(relayLifetime),
	})
	return []Send{m.send(now, target, message{kind: kindPing, sequence: m.sequence, bare: true})}
}

// relayAck passes an ack on to the instance that asked for the ping, with the
// target's record, which may refute a suspicion.
func (m *Membership) relayAck(now time.Time, c *wire.Control, n *node) []Send {
	for i, r := range m.relays {
		if r.sequence != c.GetSequence() {
			continue
		}
		m.relays = append(m.relays[:i], m.relays[i+1:]...)
		if !now.Before(r.until) {
			return nil
		}
		msg := message{kind: kindAck, sequence: r.theirs, about: encodeMember(n.Member), bare: true}
		return []Send{m.send(now, r.requester, msg)}
	}
	return nil
}
