// Package bodymemory limits the memory that the bodies of callers' requests take
// together, by the priority of the requests. It does no I/O and reads no clock.
//
// It answers this load: callers send large bodies faster than upstreams take them, such as
// 225 requests a second of 256 KB on an instance with 184 MB. Without a limit the process
// exceeds its memory and is killed with all its requests. With it, the requests for which
// there is no memory are refused before their bodies are read, the least urgent first.
package bodymemory

import "time"

// Classes is the number of classes of priorities. Priority 0 is the most urgent; the last
// class has all priorities from Classes-1 on.
const Classes = 4

// ceilings are the fractions of the limit up to which a class may fill it, whoever holds
// what is already reserved. What lies above the ceiling of a class is left to more urgent
// ones.
var ceilings = [Classes]float64{1, 0.75, 0.5, 0.25}

// minShares are the fractions of the limit that a class may always use. While requests of a
// class arrive, the other classes cannot reserve the unused part of its share.
var minShares = [Classes]float64{0.25, 0.125, 0.125, 0.125}

const (
	// activeTime is how long after its latest request the share of a class is kept free.
	// It exceeds the longest Retry-After, so that the share is still free when a refused
	// caller returns.
	activeTime = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told
	// to return, before jitter. Callers ignore a time of more than a third of what they
	// still wait.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryJitter is the largest fraction by which the time is lengthened at random.
	// Callers that were refused together would otherwise return together.
	retryJitter = 0.5
)

// Limiter holds the reserved memory. It is not safe for concurrent use.
type Limiter struct {
	limit int64
	total int64
	held  [Classes]int64
	// askedAt is the time of the latest request of each class.
	askedAt [Classes]time.Time
	// returnAt is the latest time at which a refused caller of each class was told to
	// return.
	returnAt [Classes]time.Time
	releases rateMeter
}

// Reservation is the memory that is reserved for one body.
type Reservation struct {
	class int
	bytes int64
}

// New returns a limiter of the given number of bytes.
func New(limit int64) *Limiter { return &Limiter{limit: limit} }

// SetLimit changes the limit. What is reserved stays reserved, also above the limit.
func (l *Limiter) SetLimit(limit int64) { l.limit = limit }

// Limit returns the limit in bytes.
func (l *Limiter) Limit() int64 { return l.limit }

// Total returns the number of reserved bytes.
func (l *Limiter) Total() int64 { return l.total }

// Held returns the number of reserved bytes of each class.
func (l *Limiter) Held() [Classes]int64 { return l.held }

// ReleaseRate returns the recent rate of release in bytes per second.
func (l *Limiter) ReleaseRate(now time.Time) float64 { return l.releases.perSecond(now) }

// Class returns the class of a priority.
func Class(priority int) int { return min(max(priority, 0), Classes-1) }

// Reserve reserves bytes for a request of the priority. If they do not fit, it returns nil
// and the time after which the caller should return. draw is a random number in [0, 1).
func (l *Limiter) Reserve(now time.Time, priority int, bytes int64, draw float64) (*Reservation, time.Duration) {
	class := Class(priority)
	l.askedAt[class] = now
	if excess := l.excess(now, class, bytes); excess > 0 {
		return nil, l.retryAfter(now, class, bytes, excess, draw)
	}
	l.total += bytes
	l.held[class] += bytes
	return &Reservation{class: class, bytes: bytes}, 0
}

// Resize changes the size of a reservation and reports whether it fits; a smaller size
// always does.
func (l *Limiter) Resize(now time.Time, r *Reservation, bytes int64) bool {
	added := bytes - r.bytes
	if added > 0 && l.excess(now, r.class, added) > 0 {
		return false
	}
	l.total += added
	l.held[r.class] += added
	r.bytes = bytes
	l.releases.add(now, max(0, -added))
	return true
}

// Release ends a reservation. Further calls have no effect.
func (l *Limiter) Release(now time.Time, r *Reservation) { l.Resize(now, r, 0) }

// excess returns the number of bytes that must be released before the class can reserve
// the given bytes; zero if it can now.
func (l *Limiter) excess(now time.Time, class int, bytes int64) int64 {
	used := l.total + bytes + l.keptFree(now, class)
	bound := ceilings[class]
	// A body that is larger than the share fits if the class holds nothing else.
	if l.held[class] == 0 || l.held[class]+bytes <= l.share(class) {
		bound = 1
	}
	return max(0, used-int64(bound*float64(l.limit)))
}

// keptFree returns the sum of the unused shares of the other classes that have had a
// request recently.
func (l *Limiter) keptFree(now time.Time, class int) int64 {
	sum := int64(0)
	for other := range Classes {
		if other != class && !l.askedAt[other].IsZero() && now.Sub(l.askedAt[other]) < activeTime {
			sum += max(0, l.share(other)-l.held[other])
		}
	}
	return sum
}

func (l *Limiter) share(class int) int64 { return int64(minShares[class] * float64(l.limit)) }

// retryAfter returns the time after which a refused caller should return: when the excess
// is released at the recent rate, and when the callers of the class that were refused
// before have returned, each of which needs the time in which the size of its body is
// released.
func (l *Limiter) retryAfter(now time.Time, class int, bytes, excess int64, draw float64) time.Duration {
	wait := maxRetryAfter
	if rate := l.releases.perSecond(now); rate > 0 {
		untilReleased := min(float64(excess)/rate, maxRetryAfter.Seconds())
		afterOthers := l.returnAt[class].Sub(now).Seconds() + float64(bytes)/rate
		wait = time.Duration(min(max(untilReleased, afterOthers), maxRetryAfter.Seconds()) * float64(time.Second))
	}
	wait = max(wait, minRetryAfter)
	l.returnAt[class] = now.Add(wait)
	return wait + time.Duration(draw*retryJitter*float64(wait))
}

// rateMeter measures a rate over the last second.
type rateMeter struct {
	// start is the start of the current interval of one second.
	start             time.Time
	current, previous int64
}

const meterInterval = time.Second

func (m *rateMeter) advance(now time.Time) {
	switch elapsed := now.Sub(m.start); {
	case elapsed < meterInterval:
	case elapsed < 2*meterInterval:
		m.start, m.previous, m.current = m.start.Add(meterInterval), m.current, 0
	default:
		m.start, m.previous, m.current = now, 0, 0
	}
}

func (m *rateMeter) add(now time.Time, bytes int64) {
	m.advance(now)
	m.current += bytes
}

// perSecond returns the rate. Of the previous interval it counts the part that lies within
// the last second.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	past := 1 - float64(now.Sub(m.start))/float64(meterInterval)
	return float64(m.current) + float64(m.previous)*min(max(past, 0), 1)
}
