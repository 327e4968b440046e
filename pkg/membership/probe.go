package membership

import (
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// probe is a ping in flight.
type probe struct {
	sequence     uint64
	node         *node
	sentAt       time.Time
	ackDeadline  time.Time
	failDeadline time.Time
	// extension is the total time by which the deadlines have been extended
	// after late ticks.
	extension time.Duration
	// helpersAsked is true once helpers have been considered for indirect
	// pings, and from the start for members that are not probed through
	// helpers.
	helpersAsked bool
	// recordEpoch is the record epoch in which the ping carried this
	// instance's full record, or 0 if it carried the short form.
	recordEpoch uint32
	// reachedByHelper is true if a helper passed on an ack to this ping, or
	// reached the member shortly before.
	reachedByHelper bool
	// helperCount is the number of helpers that were asked for an indirect
	// ping.
	helperCount int
}

// relay is a ping that this instance sent as a helper of another one.
type relay struct {
	sequence          uint64
	requester         string
	requesterSequence uint64
	expiresAt         time.Time
}

const (
	maxRelays     = 64
	relayLifetime = time.Second
	// maxLostScanned bounds the number of lost members that are considered in a
	// round.
	maxLostScanned = 16
	// maxHelperDraws bounds the number of members drawn at random to find
	// helpers.
	maxHelperDraws = 24
	// reachedByHelperLifetime is how long a member counts as reached by helpers
	// after a helper has reached it. If it dies in this time, the members that
	// can reach it directly detect its death.
	reachedByHelperLifetime = 3 * time.Second
)

// Tick returns the pings that are due and processes all deadlines that have
// passed.
func (m *Membership) Tick(now time.Time) []Send {
	m.compensateLateTick(now)
	out := m.advanceProbes(now, nil)
	m.expireSuspects(now)
	m.expireTombstones(now)
	if !now.Before(m.nextRoundAt) {
		if now.Sub(m.nextRoundAt) > lateTickTolerance {
			m.nextRoundAt = now
		}
		m.nextRoundAt = m.nextRoundAt.Add(m.cfg.Interval)
		out = m.runRound(now, out)
	}
	return out
}

// NextWake returns the time at which Tick must be called next.
func (m *Membership) NextWake() time.Time {
	wake := m.nextRoundAt
	for _, p := range m.probes {
		due := p.failDeadline
		if !p.helpersAsked {
			due = p.ackDeadline
		}
		wake = earlier(wake, due)
	}
	for _, n := range m.suspects {
		wake = earlier(wake, n.suspicionDeadline)
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// compensateLateTick handles a late tick. After a pause, all timers restart.
// After a shorter delay, the deadlines are extended by the delay and by the
// time to read the datagrams that have arrived meanwhile. The total extension
// of each deadline is bounded, since in an overloaded process every tick is
// late.
func (m *Membership) compensateLateTick(now time.Time) {
	if m.detectPause(now) {
		return
	}
	late := now.Sub(m.NextWake())
	if late <= lateTickTolerance {
		return
	}
	late += socketReadAllowance
	// The limit covers the longest stall that does not count as a pause.
	limit := m.cfg.PauseThreshold + socketReadAllowance
	for _, p := range m.probes {
		shift := min(late, limit-p.extension)
		p.extension += shift
		p.ackDeadline = p.ackDeadline.Add(shift)
		p.failDeadline = p.failDeadline.Add(shift)
	}
	for _, n := range m.suspects {
		shift := min(late, limit-n.suspicionExtension)
		n.suspicionExtension += shift
		n.suspicionDeadline = n.suspicionDeadline.Add(shift)
	}
}

// detectPause calls Resume and returns true if the time since the last call
// exceeds the pause threshold.
func (m *Membership) detectPause(now time.Time) bool {
	gap := now.Sub(m.lastCallAt)
	m.lastCallAt = now
	if gap <= m.cfg.PauseThreshold {
		return false
	}
	m.Resume(now)
	return true
}

// restartTimers drops all pings in flight, so that acks to pings sent before a
// pause have no effect, and restarts all suspicion timeouts.
func (m *Membership) restartTimers(now time.Time) {
	for _, p := range m.probes {
		p.node.pingInFlight = false
	}
	m.probes = m.probes[:0]
	m.relays = m.relays[:0]
	for _, n := range m.suspects {
		n.suspicionDeadline = now.Add(m.cfg.SuspicionTimeout)
		n.suspicionExtension = 0
	}
	m.nextRoundAt = now
	m.lastCallAt = now
}

func (m *Membership) expireSuspects(now time.Time) {
	for i := 0; i < len(m.suspects); {
		n := m.suspects[i]
		if now.Before(n.suspicionDeadline) {
			i++
			continue
		}
		r := n.Member
		r.State = Dead
		m.setRecord(now, n, r)
	}
}

// runRound pings members: some of the urgent ones, the next ones in shuffled
// order, those that bootstrap waits for, and lost ones that are due.
func (m *Membership) runRound(now time.Time, out []Send) []Send {
	m.BootstrapComplete(now)
	m.refillBuckets()
	m.expireQuarantines(now)
	out = m.pingUrgent(now, out)
	for range m.cfg.Fanout {
		if n := m.pickLive(); n != nil {
			out = m.ping(now, n, out)
		}
	}
	out = m.pingListed(now, out)
	return m.pingLost(now, out)
}

func (m *Membership) pingUrgent(now time.Time, out []Send) []Send {
	count := min(m.cfg.Fanout, len(m.urgent))
	for range count {
		if !m.mayPingUrgent() {
			break
		}
		n := m.urgent[0]
		copy(m.urgent, m.urgent[1:])
		m.urgent[len(m.urgent)-1] = n
		if !n.pingInFlight {
			out = m.pingCharged(now, n, out)
		}
	}
	return out
}

// pickLive returns the next live member without a ping in flight, or nil if it
// finds none.
func (m *Membership) pickLive() *node {
	for range min(2*m.cfg.Fanout, len(m.live.items)) {
		if n := m.live.pick(m.cfg.Rand); !n.pingInFlight {
			return n
		}
	}
	return nil
}

// pingListed pings the listed members that bootstrap waits for. These include
// members that others report to be alive: the regular pings in shuffled order
// would take minutes to reach all of them in a large fleet.
func (m *Membership) pingListed(now time.Time, out []Send) []Send {
	if m.bootstrapComplete {
		return out
	}
	maxPings := m.maxBootstrapPings()
	budget := bootstrapFanout
	for range len(m.listed) {
		if budget == 0 {
			break
		}
		m.bootstrapCursor = (m.bootstrapCursor + 1) % len(m.listed)
		n := m.listed[m.bootstrapCursor]
		if !n.pingInFlight && !n.bootstrapSettled(maxPings, m.anyMemberAcked) {
			out = m.ping(now, n, out)
			budget--
		}
	}
	return out
}

func (m *Membership) pingLost(now time.Time, out []Send) []Send {
	budget := m.cfg.Fanout
	m.roundsSinceLostPing++
	for range min(maxLostScanned, len(m.lost.items)) {
		if budget == 0 || !m.mayPingLost() && m.roundsSinceLostPing < maxRoundsBetweenLostPings {
			break
		}
		n := m.lost.pick(m.cfg.Rand)
		if n.pingInFlight || now.Before(n.retryAt) {
			continue
		}
		out = m.pingCharged(now, n, out)
		m.roundsSinceLostPing = 0
		budget--
	}
	return out
}

// ping sends one of the regular pings of a round, which no bucket is charged
// for.
func (m *Membership) ping(now time.Time, n *node, out []Send) []Send {
	return append(out, m.buildDatagram(now, n.ControlAddress, m.newProbe(now, n)))
}

// pingCharged sends a ping and charges the probe bucket with it and its ack.
func (m *Membership) pingCharged(now time.Time, n *node, out []Send) []Send {
	return append(out, m.buildChargedDatagram(now, n.ControlAddress, m.newProbe(now, n), ackChargeBytes))
}

// newProbe records a ping in flight and returns its message. Pings of members
// that may be dead carry no updates: an update counts as sent even if nobody
// receives it.
func (m *Membership) newProbe(now time.Time, n *node) message {
	m.sequence++
	p := &probe{
		sequence:     m.sequence,
		node:         n,
		sentAt:       now,
		ackDeadline:  now.Add(m.cfg.AckTimeout),
		failDeadline: m.nextRoundAt,
		helpersAsked: n.State == Dead || n.suspicionRunning,
	}
	n.pingInFlight = true
	m.probes = append(m.probes, p)
	msg := message{kind: kindPing, sequence: p.sequence, record: m.recordToRefute(n), shortSender: m.knownBy(n), withoutUpdates: n.State == Dead || n.urgent, withKnownQuarantines: n.quarantinesDiffer}
	if !msg.shortSender {
		p.recordEpoch = m.recordEpoch
	}
	return msg
}

// knownBy reports whether the member's process holds this process's full
// record, so that the short form is enough.
func (m *Membership) knownBy(n *node) bool { return n.recordEpoch == m.recordEpoch && n.State != Dead }

// recordToRefute returns the encoded record that a datagram to n must carry:
// the record that declares n suspect or dead, so that n can refute it;
// otherwise nil.
func (m *Membership) recordToRefute(n *node) []byte {
	if n.Boot == 0 || n.State == Alive || n.State == Leaving {
		return nil
	}
	return encodeShortMember(n.Member)
}

func (m *Membership) advanceProbes(now time.Time, out []Send) []Send {
	var failed []*probe
	kept := m.probes[:0]
	for _, p := range m.probes {
		if !now.Before(p.failDeadline) {
			failed = append(failed, p)
			continue
		}
		kept = append(kept, p)
		if !p.helpersAsked && !now.Before(p.ackDeadline) {
			p.helpersAsked = true
			if wait := m.indirectAckTimeout(); wait > m.cfg.Interval-m.cfg.AckTimeout {
				p.failDeadline = now.Add(wait)
			}
			out = m.askHelpers(now, p, out)
		}
	}
	clear(m.probes[len(kept):])
	m.probes = kept
	for _, p := range failed {
		p.node.pingInFlight = false
		m.probeFailed(now, p)
	}
	return out
}

// askHelpers sends indirect pings of a member that has not acked a direct one.
// It is not called for a member under suspicion, which can refute the suspicion
// that others disseminate.
func (m *Membership) askHelpers(now time.Time, p *probe, out []Send) []Send {
	if now.Sub(p.node.reachedByHelperAt) < reachedByHelperLifetime {
		p.reachedByHelper = true
		return out
	}
	if !m.mayAskHelpers() {
		return out
	}
	for _, h := range m.pickHelpers(p.node) {
		msg := message{kind: kindIndirect, sequence: p.sequence, target: p.node.ControlAddress, shortSender: m.knownBy(h), withoutUpdates: true}
		out = append(out, m.buildChargedDatagram(now, h.ControlAddress, msg, indirectPingChargeBytes))
		p.helperCount++
	}
	return out
}

// pickHelpers picks helpers for indirect pings of the target: each in a different
// data centre, and none in this instance's data centre or the target's. If the
// link between two data centres fails, or the links between two regions of two
// data centres each, at least one helper then reaches both ends. If there are
// too few such data centres, other members are used as well.
func (m *Membership) pickHelpers(target *node) []*node {
	count := len(m.live.items)
	var picked, others []*node
	usedDataCentres := map[model.DataCentre]bool{m.self.DataCentre: true, target.DataCentre: true}
	for range min(maxHelperDraws, 2*count) {
		h := m.live.items[m.cfg.Rand.IntN(count)]
		if h == target || h.State != Alive || h.avoided || slices.Contains(others, h) || slices.Contains(picked, h) {
			continue
		}
		if usedDataCentres[h.DataCentre] {
			others = append(others, h)
			continue
		}
		usedDataCentres[h.DataCentre] = true
		picked = append(picked, h)
		if len(picked) == m.cfg.Fanout {
			return picked
		}
	}
	fillCount := min(m.cfg.Fanout-len(picked), len(others))
	return append(picked, others[:fillCount]...)
}

// probeFailed handles a ping without a direct ack. A member that a helper has
// reached is avoided only after the second consecutive miss: one lost datagram
// must not move its scheduling groups to another home.
func (m *Membership) probeFailed(now time.Time, p *probe) {
	n := p.node
	switch {
	case m.nodes[n.ID] != n:
		return
	case n.State == Dead:
		n.failedPings++
		backoff := m.cfg.Interval << min(n.failedPings-1, 10)
		n.retryAt = now.Add(min(backoff, maxLostBackoff))
	case p.reachedByHelper:
		n.missedAcks++
		m.addUrgent(n)
		if n.missedAcks > 1 {
			m.avoid(now, n)
		}
	case n.State == Alive && p.helperCount == 0 && len(m.live.items) > 1:
		// Since no helper was asked, this instance avoids the member and pings
		// it again, but does not disseminate a suspicion.
		n.missedAcks++
		m.avoid(now, n)
	case n.State == Alive:
		m.avoid(now, n)
		r := n.Member
		r.State = Suspect
		m.setRecord(now, n, r)
	case n.State == Leaving && !n.suspicionRunning:
		m.startSuspicion(now, n)
	}
}

// handleAck handles an ack to a ping of this process. An ack from another
// instance than the pinged one was passed on by a helper.
func (m *Membership) handleAck(now time.Time, sender *node, sequence uint64) {
	for i, p := range m.probes {
		if p.sequence != sequence {
			continue
		}
		if p.node != sender {
			p.reachedByHelper = true
			p.node.reachedByHelperAt = now
			return
		}
		m.probes = append(m.probes[:i], m.probes[i+1:]...)
		sender.pingInFlight = false
		if p.recordEpoch != 0 {
			sender.recordEpoch = p.recordEpoch
		}
		m.roundTrips.observe(sender.DataCentre, now.Sub(p.sentAt)-p.extension)
		m.recordDirectAck(p, sender)
		return
	}
}

func (m *Membership) recordDirectAck(p *probe, n *node) {
	n.hasAcked = true
	n.failedPings = 0
	n.missedAcks = 0
	m.anyMemberAcked = true
	if m.resumed {
		m.resumed = false
		m.version++
	}
	if n.avoided && !p.sentAt.Before(n.avoidedAt) {
		n.avoided = false
		m.version++
	}
	if n.State == Leaving {
		m.endSuspicion(n)
	}
	m.removeUrgentIfSettled(n)
}
