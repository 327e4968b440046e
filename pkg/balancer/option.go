package balancer

import (
	"slices"
	"time"
)

// Obstacle is a reason for which Pick does not choose an upstream, or chooses it only if
// there is no other.
type Obstacle int

// Obstacles. The first two do not keep the first attempt of a part from an upstream if
// there is no other.
const (
	NoObstacle Obstacle = iota
	// ObstacleBlocked: earlier attempts failed, or the upstream was full.
	ObstacleBlocked
	// ObstacleUnresponsive: the last attempts ended without an answer, and one that will
	// show whether the upstream answers again is in flight.
	ObstacleUnresponsive
	// ObstacleRateLimit: this instance's share of the upstream's rate limit is used up.
	ObstacleRateLimit
	// ObstacleCold: this instance's share of the requests to the cold upstream is used up.
	ObstacleCold
)

// String returns the obstacle's name in explanations.
func (o Obstacle) String() string {
	return [...]string{"", "blocked", "unresponsive", "rate_limit", "cold_limit"}[o]
}

// avoidance returns the obstacle for which the upstream is avoided, if any.
func (u *Upstream) avoidance(now time.Time) Obstacle {
	switch {
	case u.Blocked(now):
		return ObstacleBlocked
	case u.Unresponsive() && len(u.inFlight) > 0:
		return ObstacleUnresponsive
	default:
		return NoObstacle
	}
}

// obstacle returns the reason for which the upstream must not get an attempt now, if any.
func (u *Upstream) obstacle(now time.Time, first bool) Obstacle {
	if o := u.avoidance(now); o != NoObstacle && !first {
		return o
	}
	switch {
	case !u.RateLimit.Allows(now, first):
		return ObstacleRateLimit
	case !u.coldAllows(now):
		return ObstacleCold
	default:
		return NoObstacle
	}
}

// Option is an upstream as Pick sees it for the first attempt of a part.
type Option struct {
	Upstream *Upstream
	// Obstacle is why the upstream cannot be chosen, and Avoidance why it is chosen only
	// if there is no other.
	Obstacle, Avoidance Obstacle
	// Cost is what Pick compares.
	Cost time.Duration
	// AllowedAt is when the limits of the upstream allow an attempt if no other is sent
	// before.
	AllowedAt time.Time
}

// Options returns the upstreams that may get attempts as Pick sees them. Like Pick, it
// brings the limits up to now; call it on a Clone to change nothing.
func (s *Service) Options(now time.Time, typical time.Duration) []Option {
	out := make([]Option, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		out = append(out, Option{Upstream: u, Obstacle: u.obstacle(now, true), Avoidance: u.avoidance(now), Cost: s.cost(now, u, typical), AllowedAt: u.allowedAt(now)})
	}
	return out
}

// Clone returns a copy of the service on which Pick decides as on the original, and leaves
// the original as it is. LimitCold must not be called on it.
func (s *Service) Clone() *Service {
	return &Service{local: s.local, upstreams: cloneUpstreams(s.upstreams), withheld: cloneUpstreams(s.withheld), offset: s.offset}
}

func cloneUpstreams(list []*Upstream) []*Upstream {
	out := make([]*Upstream, len(list))
	for i, u := range list {
		c := *u
		c.inFlight = slices.Clone(u.inFlight)
		if u.coldLimit != nil {
			limit := *u.coldLimit
			c.coldLimit = &limit
		}
		out[i] = &c
	}
	return out
}
