package membership

import (
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// probe is a ping in flight.
type probe struct {
	sequence uint64
	node     *node
	sentAt   time.Time
	ackBy    time.Time
	failBy   time.Time
	// extended is the sum of extensions after late ticks.
	extended time.Duration
	// asked is true once indirect pings were sent.
	asked bool
	// told is the epoch in which the ping carried the full record.
	told uint32
	// viaHelper is true once a helper reported an ack.
	viaHelper bool
	// helpers is the number of members that were asked for an indirect ping.
	helpers int
}

// relay is a ping that this instance sent on behalf of another one.
type relay struct {
	sequence  uint64
	requester string
	theirs    uint64
	until     time.Time
}

const (
	maxRelays     = 64
	relayLifetime = time.Second
	// lostScan bounds how many lost members are looked at in a round.
	lostScan = 16
	// helperDraws bounds how many members are looked at to find helpers.
	helperDraws = 24
	// helpedTime is how long a member that a helper has reached counts as
	// reached by helpers. Others that reach it find its death.
	helpedTime = 3 * time.Second
)

// Tick sends due pings and ends due waits.
func (m *Membership) Tick(now time.Time) []Send {
	m.catchUp(now)
	out := m.advanceProbes(now, nil)
	m.expireSuspects(now)
	m.dropTombstones(now)
	if !now.Before(m.nextRound) {
		if now.Sub(m.nextRound) > lateTolerance {
			m.nextRound = now
		}
		m.nextRound = m.nextRound.Add(m.cfg.Interval)
		out = m.round(now, out)
	}
	return out
}

// NextWake returns when Tick is due next.
func (m *Membership) NextWake() time.Time {
	wake := m.nextRound
	for _, p := range m.probes {
		due := p.failBy
		if !p.asked {
			due = p.ackBy
		}
		wake = earlier(wake, due)
	}
	for _, n := range m.suspects {
		wake = earlier(wake, n.deadline)
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// catchUp handles a late tick. After a pause all waits start again. After a
// shorter delay they are extended by it and by the time to read the datagrams
// that arrived meanwhile. The sum of extensions of one wait is bounded, since in
// an overloaded process every tick is late.
func (m *Membership) catchUp(now time.Time) {
	if m.detectPause(now) {
		return
	}
	late := now.Sub(m.NextWake())
	if late <= lateTolerance {
		return
	}
	late += readSlack
	// The longest stall that is no pause is covered in full.
	limit := m.cfg.PauseThreshold + readSlack
	for _, p := range m.probes {
		shift := min(late, limit-p.extended)
		p.extended += shift
		p.ackBy = p.ackBy.Add(shift)
		p.failBy = p.failBy.Add(shift)
	}
	for _, n := range m.suspects {
		shift := min(late, limit-n.extended)
		n.extended += shift
		n.deadline = n.deadline.Add(shift)
	}
}

// detectPause compares the time with the last call.
func (m *Membership) detectPause(now time.Time) bool {
	gap := now.Sub(m.lastRun)
	m.lastRun = now
	if gap <= m.cfg.PauseThreshold {
		return false
	}
	m.Resume(now)
	return true
}

// restartTimers drops all pings in flight, so that acks of before a pause
// count for nothing, and starts all suspicions again.
func (m *Membership) restartTimers(now time.Time) {
	for _, p := range m.probes {
		p.node.inFlight = false
	}
	m.probes = m.probes[:0]
	m.relays = m.relays[:0]
	for _, n := range m.suspects {
		n.deadline = now.Add(m.cfg.SuspicionTimeout)
		n.extended = 0
	}
	m.nextRound = now
	m.lastRun = now
}

func (m *Membership) expireSuspects(now time.Time) {
	for i := 0; i < len(m.suspects); {
		n := m.suspects[i]
		if now.Before(n.deadline) {
			i++
			continue
		}
		r := n.Member
		r.State = Dead
		m.set(now, n, r)
	}
}

// round pings members: a few of the urgent ones, the next ones in shuffled
// order, and lost ones that are due.
func (m *Membership) round(now time.Time, out []Send) []Send {
	m.BootstrapComplete(now)
	m.refill()
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
		if !n.inFlight {
			out = m.pingMore(now, n, out)
		}
	}
	return out
}

// pickLive returns the next member without a ping in flight, or nil.
func (m *Membership) pickLive() *node {
	for range min(2*m.cfg.Fanout, len(m.live.items)) {
		if n := m.live.pick(m.cfg.Rand); !n.inFlight {
			return n
		}
	}
	return nil
}

// pingListed pings the listed members that bootstrap waits for. Those that are
// known to be alive through others are among them: in their shuffled order they
// would take minutes in a large fleet.
func (m *Membership) pingListed(now time.Time, out []Send) []Send {
	if m.confirmed {
		return out
	}
	attempts := m.bootstrapAttempts()
	budget := bootstrapFanout
	for range len(m.listed) {
		if budget == 0 {
			break
		}
		m.nextListed = (m.nextListed + 1) % len(m.listed)
		n := m.listed[m.nextListed]
		if !n.inFlight && !n.settled(attempts, m.answeredAny) {
			out = m.ping(now, n, out)
			budget--
		}
	}
	return out
}

func (m *Membership) pingLost(now time.Time, out []Send) []Send {
	budget := m.cfg.Fanout
	m.sinceLost++
	for range min(lostScan, len(m.lost.items)) {
		if budget == 0 || !m.mayPingLost() && m.sinceLost < lostRounds {
			break
		}
		n := m.lost.pick(m.cfg.Rand)
		if n.inFlight || now.Before(n.retryAt) {
			continue
		}
		out = m.pingMore(now, n, out)
		m.sinceLost = 0
		budget--
	}
	return out
}

// ping sends one of the round's usual pings.
func (m *Membership) ping(now time.Time, n *node, out []Send) []Send {
	return append(out, m.send(now, n.ControlAddress, m.newProbe(now, n)))
}

// pingMore sends a ping that the bucket for probes pays, with the ack.
func (m *Membership) pingMore(now time.Time, n *node, out []Send) []Send {
	return append(out, m.sendProbe(now, n.ControlAddress, m.newProbe(now, n), replyBytes))
}

// newProbe records a ping in flight. Pings of members that may be dead carry no
// news, which would count as sent.
func (m *Membership) newProbe(now time.Time, n *node) message {
	m.sequence++
	p := &probe{
		sequence: m.sequence,
		node:     n,
		sentAt:   now,
		ackBy:    now.Add(m.cfg.AckTimeout),
		failBy:   m.nextRound,
		asked:    n.State == Dead || n.pending,
	}
	n.inFlight = true
	m.probes = append(m.probes, p)
	msg := message{kind: kindPing, sequence: p.sequence, about: m.about(n), short: m.knownBy(n), bare: n.State == Dead || n.urgent}
	if !msg.short {
		p.told = m.epoch
	}
	return msg
}

// knownBy reports whether the member's process has this process's full record.
func (m *Membership) knownBy(n *node) bool { return n.told == m.epoch && n.State != Dead }

// about returns the record that a datagram to n must carry: n's own record if n
// has to refute it.
func (m *Membership) about(n *node) []byte {
	if n.Boot == 0 || n.State == Alive || n.State == Leaving {
		return nil
	}
	return encodeShortMember(n.Member)
}

func (m *Membership) advanceProbes(now time.Time, out []Send) []Send {
	var failed []*probe
	kept := m.probes[:0]
	for _, p := range m.probes {
		if !now.Before(p.failBy) {
			failed = append(failed, p)
			continue
		}
		kept = append(kept, p)
		if !p.asked && !now.Before(p.ackBy) {
			p.asked = true
			if wait := m.indirectWait(); wait > m.cfg.Interval-m.cfg.AckTimeout {
				p.failBy = now.Add(wait)
			}
			out = m.askHelpers(now, p, out)
		}
	}
	clear(m.probes[len(kept):])
	m.probes = kept
	for _, p := range failed {
		p.node.inFlight = false
		m.probeFailed(now, p)
	}
	return out
}

// askHelpers asks for indirect pings of a member that has not acked. A member
// under suspicion is not pinged through helpers again: it refutes the record
// that the suspicion spreads.
func (m *Membership) askHelpers(now time.Time, p *probe, out []Send) []Send {
	if now.Sub(p.node.helpedAt) < helpedTime {
		p.viaHelper = true
		return out
	}
	if !m.mayAsk() {
		return out
	}
	for _, h := range m.helpers(p.node) {
		msg := message{kind: kindIndirect, sequence: p.sequence, target: p.node.ControlAddress, short: m.knownBy(h), bare: true}
		out = append(out, m.sendProbe(now, h.ControlAddress, msg, relayBytes))
		p.helpers++
	}
	return out
}

// helpers picks members for indirect pings of the target: each in another data
// centre, and none in this one or the target's. A link that is cut between two
// data centres, or between two regions of two data centres, then leaves at least
// one helper that reaches both ends. If there are too few such data centres,
// other members fill up.
func (m *Membership) helpers(target *node) []*node {
	count := len(m.live.items)
	var picked, rest []*node
	used := map[model.DataCentre]bool{m.self.DataCentre: true, target.DataCentre: true}
	for range min(helperDraws, 2*count) {
		h := m.live.items[m.cfg.Rand.IntN(count)]
		if h == target || h.State != Alive || h.avoided || slices.Contains(rest, h) || slices.Contains(picked, h) {
			continue
		}
		if used[h.DataCentre] {
			rest = append(rest, h)
			continue
		}
		used[h.DataCentre] = true
		picked = append(picked, h)
		if len(picked) == m.cfg.Fanout {
			return picked
		}
	}
	missing := min(m.cfg.Fanout-len(picked), len(rest))
	return append(picked, rest[:missing]...)
}

// probeFailed handles a ping without a direct ack. A member that a helper
// reached is avoided after the second miss in a row: one lost datagram must not
// move its groups to another home.
func (m *Membership) probeFailed(now time.Time, p *probe) {
	n := p.node
	switch {
	case m.nodes[n.ID] != n:
		return
	case n.State == Dead:
		n.attempts++
		backoff := m.cfg.Interval << min(n.attempts-1, 10)
		n.retryAt = now.Add(min(backoff, lostBackoff))
	case p.viaHelper:
		n.missed++
		m.addUrgent(n)
		if n.missed > 1 {
			m.avoid(now, n)
		}
	case n.State == Alive && p.helpers == 0 && len(m.live.items) > 1:
		// Without the evidence of a helper, the member is avoided here and
		// pinged again, but nobody else is told.
		n.missed++
		m.avoid(now, n)
	case n.State == Alive:
		m.avoid(now, n)
		r := n.Member
		r.State = Suspect
		m.set(now, n, r)
	case n.State == Leaving && !n.pending:
		m.startSuspicion(now, n)
	}
}

// acked handles an ack to a ping of this process.
func (m *Membership) acked(now time.Time, sender *node, sequence uint64) {
	for i, p := range m.probes {
		if p.sequence != sequence {
			continue
		}
		if p.node != sender {
			p.viaHelper = true
			p.node.helpedAt = now
			return
		}
		m.probes = append(m.probes[:i], m.probes[i+1:]...)
		sender.inFlight = false
		if p.told != 0 {
			sender.told = p.told
		}
		m.trips.observe(sender.DataCentre, now.Sub(p.sentAt)-p.extended)
		m.answered(p, sender)
		return
	}
}

func (m *Membership) answered(p *probe, n *node) {
	n.answered = true
	n.attempts = 0
	n.missed = 0
	m.answeredAny = true
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
	m.settleUrgent(n)
}
