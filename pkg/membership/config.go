package membership

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Default intervals and bounds.
const (
	// DefaultInterval is the time between two probe rounds.
	DefaultInterval = 200 * time.Millisecond
	// DefaultAckTimeout is the time to wait for a direct ack before indirect
	// pings are sent.
	DefaultAckTimeout = 150 * time.Millisecond
	// DefaultSuspicionTimeout is the time that a suspect has to refute the
	// suspicion before it is declared dead.
	DefaultSuspicionTimeout = time.Second
	// DefaultPauseThreshold is the time between two calls of Tick or Receive
	// above which this process counts as paused.
	DefaultPauseThreshold = time.Second
	// DefaultTombstoneLifetime is how long a dead member is remembered. It
	// covers a network partition of one hour during which the platform's list
	// cannot be read: the two sides find each other again through the
	// remembered addresses.
	DefaultTombstoneLifetime = 2 * time.Hour
	// DefaultFanout is the number of members that get a regular ping in each
	// round, the largest number of urgent and of lost members that are pinged in
	// addition, and the number of helpers that are asked for an indirect ping.
	DefaultFanout = 3
)

const (
	// MaxDatagram is the maximum size of a datagram in bytes.
	MaxDatagram = 1200
	// maxNameBytes bounds each string of a member record, so that the sender's
	// record and one other record always fit into a datagram.
	maxNameBytes = 128
	// maxMembers bounds the member table, in case faulty datagrams name many
	// members.
	maxMembers = 16384
	// maxTombstones bounds the number of remembered dead members; the oldest
	// are removed first.
	maxTombstones = 4096
	// maxIncarnation bounds the incarnations that are accepted, so that a
	// member can always refute a suspicion with a higher one.
	maxIncarnation = 1 << 31
	// bootstrapFanout is the number of listed members that are pinged in each
	// round during bootstrap. Pinging 3,100 members takes 11 s.
	bootstrapFanout = 60
	// unreachablePings is the number of unanswered pings after which a listed
	// member counts as unreachable.
	unreachablePings = 3
	// allUnreachablePings replaces unreachablePings until any member has acked:
	// after this number of unanswered pings of each listed member, this
	// instance assumes that no other one is alive.
	allUnreachablePings = 10
	// maxLostBackoff bounds the backoff before a lost member may be pinged again.
	maxLostBackoff = 2 * time.Second
	// lateTickTolerance is the delay of a tick above which deadlines are
	// extended, because acks may still wait unread in the socket.
	lateTickTolerance = 25 * time.Millisecond
	// socketReadAllowance is added to all deadlines after a late tick, for
	// reading the datagrams that have arrived meanwhile.
	socketReadAllowance = 50 * time.Millisecond
	// joinWindow is the time after a process joins in which acks to it are
	// filled up with member records.
	joinWindow = 10 * time.Second
	// meanFilledAcks is the mean number of members that fill up their ack to a
	// new member when each member is pinged by it once.
	meanFilledAcks = 64
	// leaveFanout is the number of members to which a leaving instance sends its
	// leave directly. The others receive it as an update.
	leaveFanout = 128
	// maxEvents bounds the number of events kept until TakeEvents is called.
	maxEvents = 4096
)

// Config configures a Membership. Zero durations and numbers mean the defaults.
type Config struct {
	Self    Member
	Cluster string
	Rand    *rand.Rand

	Interval          time.Duration
	AckTimeout        time.Duration
	SuspicionTimeout  time.Duration
	PauseThreshold    time.Duration
	TombstoneLifetime time.Duration
	Fanout            int
	// SmallFleetSize is the number of other known members below which an
	// instance may send more bytes per round.
	SmallFleetSize int
}

func (c *Config) setDefaults() {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.AckTimeout = cmp.Or(c.AckTimeout, DefaultAckTimeout)
	c.SuspicionTimeout = cmp.Or(c.SuspicionTimeout, DefaultSuspicionTimeout)
	c.PauseThreshold = cmp.Or(c.PauseThreshold, DefaultPauseThreshold)
	c.TombstoneLifetime = cmp.Or(c.TombstoneLifetime, DefaultTombstoneLifetime)
	c.Fanout = cmp.Or(c.Fanout, DefaultFanout)
	c.SmallFleetSize = cmp.Or(c.SmallFleetSize, DefaultSmallFleetSize)
}
