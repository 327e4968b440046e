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
	// DefaultAckTimeout is the wait for a direct ack before indirect pings.
	DefaultAckTimeout = 150 * time.Millisecond
	// DefaultSuspicionTimeout is the time in which a suspect can refute.
	DefaultSuspicionTimeout = time.Second
	// DefaultPauseThreshold is the gap between two calls that counts as a pause of
	// this process.
	DefaultPauseThreshold = time.Second
	// DefaultTombstoneLifetime is how long a dead member is remembered. It covers a
	// partition of one hour during which the platform's list is unreadable:
	// the two sides find each other again through remembered addresses.
	DefaultTombstoneLifetime = 2 * time.Hour
	// DefaultFanout is the number of members pinged in a round, and of
	// helpers asked for an indirect ping.
	DefaultFanout = 3
)

const (
	// MaxDatagram is the size limit of a datagram in bytes.
	MaxDatagram = 1200
	// maxNameBytes bounds each string of a member record, so that a sender
	// and one further record always fit into a datagram.
	maxNameBytes = 128
	// maxMembers bounds the member table against faulty datagrams.
	maxMembers = 16384
	// maxTombstones bounds the remembered dead members; the oldest go first.
	maxTombstones = 4096
	// maxIncarnation bounds accepted incarnations, so that a member can
	// always refute with a higher one.
	maxIncarnation = 1 << 31
	// bootstrapFanout is the number of listed members pinged in a round until
	// the view is confirmed. 3,100 members take 11 s.
	bootstrapFanout = 60
	// unreachableAttempts is the number of unanswered pings after which a
	// listed member is known to be unreachable.
	unreachableAttempts = 3
	// aloneAttempts is the number of unanswered pings of every listed member
	// after which none is taken to be alive.
	aloneAttempts = 10
	// lostBackoff bounds the time between two pings of a lost member.
	lostBackoff = 2 * time.Second
	// lateTolerance is the lateness of a tick from which timers are shifted:
	// acks may wait unread in the socket.
	lateTolerance = 25 * time.Millisecond
	// readSlack is added to all waits after a late tick.
	readSlack = 50 * time.Millisecond
	// joinWindow is the time after a join in which acks to the new member are
	// filled up with member records and quarantine entries.
	joinWindow = 10 * time.Second
	// filledAcks is the number of members in the mean whose acks to a new
	// member are filled up in a round of all.
	filledAcks = 64
	// leaveFanout is the number of members that are told of a leave directly.
	leaveFanout = 128
	// maxEvents bounds the events kept until TakeEvents.
	maxEvents = 4096
)

// Config configures a Membership. Zero values mean the defaults.
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
	// SmallFleetSize is the size below which more bytes may be spent.
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
