package balancer

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/backpressure"
	"github.com/sardineturn/sardineturn/pkg/directory"
)

// coldLimitMemory is how long the limit of an upstream is kept after the upstream was last
// cold.
const coldLimitMemory = time.Minute

// coldLimitRecord is the limit of a cold upstream.
type coldLimitRecord struct {
	backpressure.ColdLimit
	// usedAt is when the upstream was last cold, and version that of its share.
	usedAt  time.Time
	version uint64
}

// ColdShares tells this instance's share of the requests to each cold upstream.
type ColdShares struct {
	// Version changes whenever shares may change; it is not zero.
	Version uint64
	// Of returns the share of an upstream. It takes time that grows with the number of
	// instances, so it is called only for a new Version.
	Of func(upstream string) backpressure.Share
}

// ColdChanges lists the upstreams whose limit for cold upstreams came into force or ended.
type ColdChanges struct{ Began, Ended []string }

// LimitCold sets the number of requests a second that cold upstreams tolerate, zero for no
// limit, the platform's bounds, and this instance's share of each upstream. It must be
// called after Update and whenever shares may have changed. cold is the number of
// upstreams to which a limit applies.
func (s *Service) LimitCold(now time.Time, perSecond float64, b backpressure.ColdBounds, shares ColdShares) (changes ColdChanges, cold int) {
	for _, u := range s.upstreams {
		r := s.coldLimits[u.ID]
		if perSecond <= 0 || !now.Before(u.ColdUntil) {
			if u.coldLimit != nil {
				changes.Ended = append(changes.Ended, u.ID)
			}
			u.coldLimit = nil
			continue
		}
		if r == nil {
			r = &coldLimitRecord{}
			if s.coldLimits == nil {
				s.coldLimits = make(map[string]*coldLimitRecord)
			}
			s.coldLimits[u.ID] = r
		}
		if u.coldLimit == nil {
			changes.Began = append(changes.Began, u.ID)
		}
		share := r.Share()
		if r.version != shares.Version {
			share, r.version = shares.Of(u.ID), shares.Version
		}
		r.Set(now, perSecond, b, share)
		r.usedAt = now
		u.coldLimit = &r.ColdLimit
		cold++
	}
	for id, r := range s.coldLimits {
		if now.Sub(r.usedAt) > coldLimitMemory {
			delete(s.coldLimits, id)
		}
	}
	return changes, cold
}

// ColdLimit returns the limit that applies to the upstream because it is cold, or nil.
func (u *Upstream) ColdLimit(now time.Time) *backpressure.ColdLimit {
	if u.coldLimit == nil || !now.Before(u.ColdUntil) {
		return nil
	}
	return u.coldLimit
}

// coldAllows reports whether the limit of a cold upstream allows a request now.
func (u *Upstream) coldAllows(now time.Time) bool {
	limit := u.ColdLimit(now)
	return limit == nil || limit.Allows(now)
}

// ColdLimited reports whether the service has upstreams, all of them at a limit, and at
// least one of them at its limit while it is cold.
func (s *Service) ColdLimited(now time.Time) bool {
	for _, u := range s.upstreams {
		if !u.coldAllows(now) {
			return s.RateLimited(now)
		}
	}
	return false
}

// allowedAt returns the time from which a first attempt may be sent to the upstream if no
// other is sent before.
func (u *Upstream) allowedAt(now time.Time) time.Time {
	at := u.RateLimit.AllowedAt(now, true)
	if limit := u.ColdLimit(now); limit != nil {
		at = later(at, earlier(limit.AllowedAt(now), u.ColdUntil))
	}
	return at
}

// retryAt returns when a caller whose request is refused now should send it again.
func (u *Upstream) retryAt(now time.Time) time.Time {
	at := u.RateLimit.RetryAt(now)
	if limit := u.ColdLimit(now); limit != nil {
		at = later(at, earlier(limit.RetryAt(now), u.ColdUntil))
	}
	return at
}

// sameReport reports whether two entries of an upstream differ in nothing but the time at
// which they were received.
func sameReport(a, b directory.Upstream) bool {
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	return a == b
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
