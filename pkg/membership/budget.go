package membership

import "time"

// In each round, an instance sends three regular pings, up to bootstrapFanout
// pings during bootstrap, and the acks to the pings that it receives. These are
// always allowed. In addition, it sends what five token buckets allow: further
// probes, announcements of documents, other updates, the member records that
// fill up acks to new members, and the quarantine entries that a member lacks. In a large fleet this makes about 650 bytes per
// round after bootstrap. Both directions together then stay under 6.5 KB/s, and
// with documents under the limit of 7 KB/s. A small fleet may send several times
// as much, so that a failure of several members at once is detected without
// delay.
const (
	// datagramHeaderBytes is the size of the IPv4 and UDP headers of a
	// datagram.
	datagramHeaderBytes = 28
	// probeBytesPerRound, documentBytesPerRound, updateBytesPerRound and
	// joinBytesPerRound are added to the token buckets in each round. Document
	// announcements have a bucket of their own, so that they cannot delay the
	// updates about many members that fail together, nor such updates the
	// announcements. An instance that an announcement does not reach notices the
	// new document by the catalog hash.
	probeBytesPerRound    = 70
	documentBytesPerRound = 20
	updateBytesPerRound   = 110
	joinBytesPerRound     = 10
	// quarantineBytesPerRound is for entries that are sent to members whose entries
	// differ; new entries are paid from the update bucket.
	quarantineBytesPerRound = 40
	// probeBurstBytes, documentBurstBytes, updateBurstBytes and joinBurstBytes
	// are the capacities of the buckets. A full probe bucket pays for indirect
	// pings through three helpers at once; a full document bucket pays for
	// announcing a change to all members.
	probeBurstBytes      = 1300
	documentBurstBytes   = 800
	updateBurstBytes     = 200
	joinBurstBytes       = 1300
	quarantineBurstBytes = 500
	// DefaultSmallFleetSize is the number of other known members below which
	// the amounts and capacities of the buckets are multiplied by
	// smallFleetFactor.
	DefaultSmallFleetSize = 64
	smallFleetFactor      = 6
	// ackChargeBytes is charged in addition to a ping, for the ack to it.
	ackChargeBytes = 80
	// indirectPingChargeBytes is charged in addition to an indirect ping, for
	// the helper's ping, the ack to it and the ack that the helper passes on.
	indirectPingChargeBytes = 290
	// kindAndSequenceBytes is the usual encoded size of a ping's kind and
	// sequence number.
	kindAndSequenceBytes = 8
	// maxDebtBytes bounds how far the content of a bucket can fall below zero.
	maxDebtBytes = 1300
	// maxRoundsBetweenLostPings is the number of rounds after which one lost
	// member is pinged even if the probe bucket is empty, so that the two sides
	// of a partition find each other again.
	maxRoundsBetweenLostPings = 10
)

// bucket is a token bucket counted in bytes and refilled once per round. Its
// content becomes negative if more is spent than it holds.
type bucket struct{ tokens int }

func (b *bucket) refill(fill, burst int) { b.tokens = min(b.tokens+fill, burst) }

func (b *bucket) spend(n int) { b.tokens = max(b.tokens-n, -maxDebtBytes) }

// smallFleet reports whether the fleet is below Config.SmallFleetSize, where
// all members together cause little traffic.
func (m *Membership) smallFleet() bool { return len(m.nodes) < m.cfg.SmallFleetSize }

func (m *Membership) refillBuckets() {
	factor := 1
	if m.smallFleet() {
		factor = smallFleetFactor
	}
	m.probeBucket.refill(factor*probeBytesPerRound, factor*probeBurstBytes)
	m.documentBucket.refill(factor*documentBytesPerRound, factor*documentBurstBytes)
	m.updateBucket.refill(factor*updateBytesPerRound, factor*updateBurstBytes)
	m.joinBucket.refill(factor*joinBytesPerRound, factor*joinBurstBytes)
	m.quarantineBucket.refill(factor*quarantineBytesPerRound, factor*quarantineBurstBytes)
}

// mayAskHelpers reports whether the probe bucket allows indirect pings. All
// helpers of a probe are asked or none, since a smaller number of them may all
// be cut off from the target.
func (m *Membership) mayAskHelpers() bool { return m.probeBucket.tokens > 0 }

// mayPingUrgent reports whether the probe bucket allows an urgent ping.
// Indirect pings come first: a quarter of probeBurstBytes is reserved for them.
func (m *Membership) mayPingUrgent() bool { return m.probeBucket.tokens > probeBurstBytes/4 }

// mayPingLost reports whether the probe bucket allows a ping of a lost member.
// Such pings come last: half of probeBurstBytes is reserved for indirect and
// urgent pings.
func (m *Membership) mayPingLost() bool { return m.probeBucket.tokens > probeBurstBytes/2 }

// buildChargedDatagram builds a probe in addition to the regular pings of a
// round. It charges the probe bucket with the datagram and with causedBytes,
// the size of the datagrams that others send because of it.
func (m *Membership) buildChargedDatagram(now time.Time, address string, msg message, causedBytes int) Send {
	d := m.buildDatagram(now, address, msg)
	m.probeBucket.spend(len(d.Datagram) + datagramHeaderBytes + causedBytes)
	return d
}
