package membership

import (
	"time"
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
	limit := m.cfg.Pause + readSlack
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
	if gap <= m.cfg.Pause {
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
		n.deadline = now.Add(m.cfg.Suspicion)
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
	m.Confirmed(now)
	out = m.pingUrgent(now, out)
	for range m.cfg.Fanout {
		if n := m.pickLive(); n != nil {
			out = m.ping(now, n, out)
		}
	}
	return m.pingLost(now, out)
}

func (m *Membership) pingUrgent(now time.Time, out []Send) []Send {
	count := min(m.cfg.Fanout, len(m.urgent))
	for range count {
		n := m.urgent[0]
		copy(m.urgent, m.urgent[1:])
		m.urgent[len(m.urgent)-1] = n
		if !n.inFlight {
			out = m.ping(now, n, out)
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

func (m *Membership) pingLost(now time.Time, out []Send) []Send {
	budget, scan := m.cfg.Fanout, lostScan
	if !m.confirmed {
		budget, scan = bootstrapFanout, 4*bootstrapFanout
	}
	for range min(scan, len(m.lost.items)) {
		n := m.lost.pick(m.cfg.Rand)
		if n.inFlight || now.Before(n.retryAt) {
			continue
		}
		out = m.ping(now, n, out)
		if budget--; budget == 0 {
			break
		}
	}
	return out
}

func (m *Membership) ping(now time.Time, n *node, out []Send) []Send {
	m.sequence++
	p := &probe{
		sequence: m.sequence,
		node:     n,
		sentAt:   now,
		ackBy:    now.Add(m.cfg.AckTimeout),
		failBy:   m.nextRound,
		asked:    n.State == Dead,
	}
	n.inFlight = true
	m.probes = append(m.probes, p)
	msg := message{kind: kindPing, sequence: p.sequence, about: m.about(n), short: m.knownBy(n)}
	if !msg.short {
		p.told = m.epoch
	}
	return append(out, m.send(now, n.ControlAddress, msg))
}

// knownBy reports whether the member's process has this process's full record.
func (m *Membership) knownBy(n *node) bool { return n.told == m.epoch && n.State != Dead }

// about returns the record that a datagram to n must carry: n's own record if n
// has to refute it.
func (m *Membership) about(n *node) []byte {
	if n.Boot == 0 || n.State == Alive || n.State == Leaving {
		return nil
	}
	return encodeMember(n.Member)
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

func (m *Membership) askHelpers(now time.Time, p *probe, out []Send) []Send {
	count := m.cfg.Fanout
	for range min(2*m.cfg.Fanout, len(m.live.items)) {
		h := m.live.items[m.cfg.Rand.IntN(len(m.live.items))]
		if h == p.node || h.State != Alive || h.avoided {
			continue
		}
		msg := message{kind: kindIndirect, sequence: p.sequence, target: p.node.ControlAddress, short: m.knownBy(h), bare: true}
		out = append(out, m.send(now, h.ControlAddress, msg))
		if count--; count == 0 {
			break
		}
	}
	return out
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
		if !m.confirmed {
			backoff = 0
		}
		n.retryAt = now.Add(min(backoff, lostBackoff))
	case p.viaHelper:
		n.missed++
		m.addUrgent(n)
		if n.missed > 1 {
			m.avoid(now, n)
		}
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
			return
		}
		m.probes = append(m.probes[:i], m.probes[i+1:]...)
		sender.inFlight = false
		if p.told != 0 {
			sender.told = p.told
		}
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
