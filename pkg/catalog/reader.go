package catalog

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Default intervals of a Reader.
const (
	// DefaultWatchWait is how long the platform may hold a watch before it
	// answers. A broken connection is noticed after at most this time plus the
	// margin that the platform adapter adds to it for the read's timeout.
	DefaultWatchWait = 2 * time.Second
	// DefaultMinInterval is the least time between the starts of two reads, in
	// case the platform answers a watch at once.
	DefaultMinInterval = 200 * time.Millisecond
	// DefaultMinBackoff and DefaultMaxBackoff bound the backoff after failures.
	DefaultMinBackoff = 250 * time.Millisecond
	DefaultMaxBackoff = 4 * time.Second
	// DefaultUnreachableFailures is the number of consecutive failures after
	// which the platform counts as unreachable.
	DefaultUnreachableFailures = 3
	// DefaultProbeInterval is the average time between two probes in a data
	// centre. A probe is a read by an instance that is not a reader and counts
	// the platform as unreachable.
	DefaultProbeInterval = 30 * time.Second
)

// ReaderConfig configures a Reader. Zero values mean the defaults.
type ReaderConfig struct {
	Rand                *rand.Rand
	WatchWait           time.Duration
	MinInterval         time.Duration
	MinBackoff          time.Duration
	MaxBackoff          time.Duration
	UnreachableFailures int
	ProbeInterval       time.Duration
}

func (c *ReaderConfig) setDefaults() {
	c.WatchWait = cmp.Or(c.WatchWait, DefaultWatchWait)
	c.MinInterval = cmp.Or(c.MinInterval, DefaultMinInterval)
	c.MinBackoff = cmp.Or(c.MinBackoff, DefaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	c.UnreachableFailures = cmp.Or(c.UnreachableFailures, DefaultUnreachableFailures)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
}

// Read describes a read of the platform's configuration service for the caller
// to start.
type Read struct {
	// Since and Wait are the arguments of port.Platform.ReadDocuments.
	Since uint64
	Wait  time.Duration
}

// Reader decides when this instance reads the platform's configuration service.
// An instance that is a reader keeps one watch open. Any other instance reads
// nothing, unless it counts the platform as unreachable. Then it probes the
// platform at random intervals, which grow with the number of members of the
// data centre that count the platform as unreachable. The rate of all probes in a data centre therefore does not
// grow with the fleet.
type Reader struct {
	cfg         ReaderConfig
	reader      bool
	unreachable bool
	// unreachableMembers is the number of members of the data centre that count
	// the platform as unreachable.
	unreachableMembers  int
	consecutiveFailures int
	lastVersion         uint64
	inFlight            bool
	nextRead            time.Time
}

// NewReader returns a Reader for an instance that is not a reader yet.
func NewReader(cfg ReaderConfig) *Reader {
	cfg.setDefaults()
	return &Reader{cfg: cfg}
}

// SetRole sets whether this instance is a reader and how many members of its
// data centre count the platform as unreachable. It reports whether the role
// changed. When this instance is no longer a reader, the caller cancels the
// read in flight.
func (r *Reader) SetRole(now time.Time, reader bool, unreachable int) bool {
	r.unreachableMembers = unreachable
	if r.reader == reader {
		return false
	}
	r.reader = reader
	if reader {
		r.nextRead = now
	} else if r.unreachable {
		r.nextRead = now.Add(r.probeDelay())
	}
	return true
}

// IsReader reports whether this instance is a reader.
func (r *Reader) IsReader() bool { return r.reader }

// Unreachable reports whether this instance counts the platform as unreachable.
func (r *Reader) Unreachable() bool { return r.unreachable }

// NextWake returns the time from which Next returns a read, or the zero time if
// no read is planned.
func (r *Reader) NextWake() time.Time {
	if r.inFlight || !r.reader && !r.unreachable {
		return time.Time{}
	}
	return r.nextRead
}

// Next returns the read to start now, if any. At most one is in flight.
func (r *Reader) Next(now time.Time) (Read, bool) {
	due := r.NextWake()
	if due.IsZero() || now.Before(due) {
		return Read{}, false
	}
	r.inFlight = true
	r.nextRead = now.Add(r.cfg.MinInterval)
	wait := r.cfg.WatchWait
	if r.consecutiveFailures > 0 || r.lastVersion == 0 {
		// The first read and reads after failures do not wait for a change, so
		// that the instance finds out at once whether the connection works.
		wait = 0
	}
	return Read{Since: r.lastVersion, Wait: wait}, true
}

// Cancelled records that the read in flight ended without a result.
func (r *Reader) Cancelled() { r.inFlight = false }

// Finished records the result of the read in flight. It reports whether
// Unreachable changed.
func (r *Reader) Finished(now time.Time, version uint64, err error) bool {
	r.inFlight = false
	wasUnreachable := r.unreachable
	if err != nil {
		r.recordFailure(now)
		return r.unreachable != wasUnreachable
	}
	r.consecutiveFailures = 0
	r.unreachable = false
	if version < r.lastVersion {
		// The platform was reset to an earlier version: read everything again.
		r.lastVersion = 0
		r.nextRead = now.Add(r.cfg.MaxBackoff)
		return wasUnreachable
	}
	r.lastVersion = version
	return wasUnreachable
}

func (r *Reader) recordFailure(now time.Time) {
	r.consecutiveFailures++
	if r.consecutiveFailures >= r.failureLimit() {
		r.unreachable = true
	}
	if r.reader {
		r.nextRead = now.Add(r.backoff())
		return
	}
	r.nextRead = now.Add(r.probeDelay())
}

// failureLimit returns the number of consecutive failures after which the
// platform counts as unreachable. It grows with the number of members that
// count the platform as unreachable already. With several such members, the
// platform itself is probably down. An instance that counts the platform as
// unreachable usually loses the role of reader to another one. Without the
// higher limit, an outage would move the role through the whole fleet.
func (r *Reader) failureLimit() int {
	return r.cfg.UnreachableFailures + r.unreachableMembers/2
}

// backoff returns a delay that doubles with each failure, with a random factor
// between one half and one.
func (r *Reader) backoff() time.Duration {
	d := r.cfg.MinBackoff << min(r.consecutiveFailures-1, 16)
	d = min(d, r.cfg.MaxBackoff)
	return d/2 + time.Duration(r.cfg.Rand.Int64N(int64(d/2)+1))
}

// probeDelay returns the random time until this instance's next probe. It is
// proportional to the number of members of the data centre that count the
// platform as unreachable, so their probes are spread over time.
func (r *Reader) probeDelay() time.Duration {
	d := r.cfg.ProbeInterval * time.Duration(max(r.unreachableMembers, 1))
	return d/2 + time.Duration(r.cfg.Rand.Int64N(int64(d)+1))
}
