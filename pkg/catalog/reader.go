package catalog

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Default intervals of a Reader.
const (
	// DefaultWatchWait is how long a watch waits at the platform. A broken
	// connection is noticed after at most this time and the adapter's timeout.
	DefaultWatchWait = 2 * time.Second
	// DefaultMinInterval is the least time between two reads, in case the
	// platform does not hold a watch.
	DefaultMinInterval = 200 * time.Millisecond
	// DefaultMinBackoff and DefaultMaxBackoff bound the wait after a failure.
	DefaultMinBackoff = 250 * time.Millisecond
	DefaultMaxBackoff = 4 * time.Second
	// DefaultUnreachableFailures is the number of failures in a row from which
	// the platform counts as unreachable.
	DefaultUnreachableFailures = 3
	// DefaultProbeInterval is the time between two reads of unreachable
	// instances that are not readers, over all of them in a data centre.
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

// Read is a read of the platform's configuration service to start.
type Read struct {
	// Since and Wait are the arguments of port.Platform.ReadDocuments.
	Since uint64
	Wait  time.Duration
}

// Reader decides when to read the platform's configuration service. A reader
// holds one watch. An instance that is no reader reads nothing, unless it counts
// the platform as unreachable: then it tries now and then, at a rate that over a
// data centre does not grow with the fleet.
type Reader struct {
	cfg         ReaderConfig
	reader      bool
	unreachable bool
	// others is the number of members of the data centre that count the
	// platform as unreachable.
	others   int
	failures int
	since    uint64
	inFlight bool
	next     time.Time
}

// NewReader returns a Reader of an instance that is no reader yet.
func NewReader(cfg ReaderConfig) *Reader {
	cfg.setDefaults()
	return &Reader{cfg: cfg}
}

// SetRole states whether this instance is a reader, and how many members of its
// data centre count the platform as unreachable. It reports whether the role
// changed. The caller cancels a read in flight when the role is lost.
func (r *Reader) SetRole(now time.Time, reader bool, unreachable int) bool {
	r.others = unreachable
	if r.reader == reader {
		return false
	}
	r.reader = reader
	if reader {
		r.next = now
	} else if r.unreachable {
		r.next = now.Add(r.trialWait())
	}
	return true
}

// IsReader returns the role set last.
func (r *Reader) IsReader() bool { return r.reader }

// Unreachable reports whether the platform counts as unreachable from here.
func (r *Reader) Unreachable() bool { return r.unreachable }

// NextWake returns when Next is due, or the zero time if nothing is planned.
func (r *Reader) NextWake() time.Time {
	if r.inFlight || !r.reader && !r.unreachable {
		return time.Time{}
	}
	return r.next
}

// Next returns the read to start now, if any. At most one is in flight.
func (r *Reader) Next(now time.Time) (Read, bool) {
	due := r.NextWake()
	if due.IsZero() || now.Before(due) {
		return Read{}, false
	}
	r.inFlight = true
	r.next = now.Add(r.cfg.MinInterval)
	wait := r.cfg.WatchWait
	if r.failures > 0 || r.since == 0 {
		// The first read and a read after failures return at once, so that
		// a working connection is known at once.
		wait = 0
	}
	return Read{Since: r.since, Wait: wait}, true
}

// Cancelled ends the read in flight without a result.
func (r *Reader) Cancelled() { r.inFlight = false }

// Finished ends the read in flight with its result. It reports whether
// Unreachable changed.
func (r *Reader) Finished(now time.Time, version uint64, err error) bool {
	r.inFlight = false
	before := r.unreachable
	if err != nil {
		r.failed(now)
		return r.unreachable != before
	}
	r.failures = 0
	r.unreachable = false
	if version < r.since {
		// The platform was reset to an earlier version: read everything again.
		r.since = 0
		r.next = now.Add(r.cfg.MaxBackoff)
		return before
	}
	r.since = version
	return before
}

func (r *Reader) failed(now time.Time) {
	r.failures++
	if r.failures >= r.failureLimit() {
		r.unreachable = true
	}
	if r.reader {
		r.next = now.Add(r.backoff())
		return
	}
	r.next = now.Add(r.trialWait())
}

// failureLimit grows with the number of members that failed before, since then
// the platform itself is probably down: an outage must not pass the reader's
// role through the whole fleet.
func (r *Reader) failureLimit() int {
	return r.cfg.UnreachableFailures + r.others/2
}

// backoff doubles with each failure and has a jitter of one half to one.
func (r *Reader) backoff() time.Duration {
	d := r.cfg.MinBackoff << min(r.failures-1, 16)
	d = min(d, r.cfg.MaxBackoff)
	return d/2 + time.Duration(r.cfg.Rand.Int64N(int64(d/2)+1))
}

// trialWait spreads the trials of all unreachable members of the data centre.
func (r *Reader) trialWait() time.Duration {
	d := r.cfg.ProbeInterval * time.Duration(max(r.others, 1))
	return d/2 + time.Duration(r.cfg.Rand.Int64N(int64(d)+1))
}
