package membership

import "time"

// The bytes that an instance sends in a round are three pings and their acks,
// which are always sent, and what four token buckets allow: for further probes,
// for announced documents, for other news, and for acks that are filled up for
// new members. In a large fleet that is about 650 bytes in a round;
// both directions together then stay under 6.5 KB/s, and documents fit under the
// limit of 7 KB/s besides. A small fleet may spend several times as much, so
// that a failure of several of its members at once is found without delay.
const (
	// datagramHeader is what IPv4 and UDP add to a datagram.
	datagramHeader = 28
	// probeBytes, documentBytes, newsBytes and fillBytes fill the buckets in each round.
	// Documents have their own, so that neither they nor the members that are
	// lost together can delay the other. What a document's announcements do
	// not reach learns of it by the catalog hash.
	probeBytes    = 70
	documentBytes = 20
	newsBytes     = 110
	fillBytes     = 10
	// probeBurst, documentBurst, newsBurst and fillBurst are what the buckets hold after
	// a quiet time. A full bucket for probes lets an instance ask three
	// helpers at once; one for documents announces a change to all.
	probeBurst    = 1300
	documentBurst = 800
	newsBurst     = 200
	fillBurst     = 1300
	// DefaultSmallFleetSize is the size below which the buckets are larger, by
	// smallFactor.
	DefaultSmallFleetSize = 64
	smallFactor           = 6
	// replyBytes is charged to a ping for the ack.
	replyBytes = 80
	// relayBytes is charged to an indirect ping for the helper's ping, its ack
	// and the ack that the helper passes on.
	relayBytes = 290
	// usualFields is the length of a ping's kind and sequence number.
	usualFields = 8
	// maxDebt bounds what a bucket can owe.
	maxDebt = 1300
	// lostRounds is the number of rounds after which one lost member is pinged
	// whatever the bucket holds, so that a split fleet finds itself again.
	lostRounds = 10
)

// bucket is a token bucket in bytes that is refilled once in a round. What is
// spent beyond its content is owed.
type bucket struct{ tokens int }

func (b *bucket) refill(fill, burst int) { b.tokens = min(b.tokens+fill, burst) }

func (b *bucket) spend(n int) { b.tokens = max(b.tokens-n, -maxDebt) }

// small reports whether the fleet is so small that all of its members together
// make little traffic.
func (m *Membership) small() bool { return len(m.nodes) < m.cfg.SmallFleetSize }

func (m *Membership) refill() {
	factor := 1
	if m.small() {
		factor = smallFactor
	}
	m.probing.refill(factor*probeBytes, factor*probeBurst)
	m.announcing.refill(factor*documentBytes, factor*documentBurst)
	m.news.refill(factor*newsBytes, factor*newsBurst)
	m.filling.refill(factor*fillBytes, factor*fillBurst)
}

// mayAsk reports whether helpers may be asked: three or none, since fewer may
// all be cut off from the target.
func (m *Membership) mayAsk() bool { return m.probing.tokens > 0 }

// mayPingUrgent and mayPingLost leave what the bucket holds to the helpers
// first, and to the members under suspicion or avoided next.
func (m *Membership) mayPingUrgent() bool { return m.probing.tokens > probeBurst/4 }

func (m *Membership) mayPingLost() bool { return m.probing.tokens > probeBurst/2 }

// sendProbe builds a probe that goes beyond the usual ones, and charges it with
// the datagrams that it causes.
func (m *Membership) sendProbe(now time.Time, address string, msg message, caused int) Send {
	d := m.send(now, address, msg)
	m.probing.spend(len(d.Datagram) + datagramHeader + caused)
	return d
}
