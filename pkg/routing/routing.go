// Package routing holds the configuration of routes and finds the route of a
// request. It does no I/O; a Table does not change once it is built.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one version of the routes, the services and the limits for callers.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route defines which services answer the requests of one host and path prefix,
// and how. A route has either Targets or a Gather.
type Route struct {
	Name string
	// Host is a host name in lower case without a port.
	Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string
	// Idempotent is true if requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is fully useful.
	LatencyTarget time.Duration
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of upstreams of a service that may run the
	// same request.
	MaxAttempts int
	Targets     []Target
	Gather      *Gather
}

// Target is a service that gets a share of a route's requests. The share is its
// weight divided by the sum of the positive weights of all targets; a target
// without a positive weight gets no requests.
type Target struct {
	Service string
	Weight  float64
}

// Gather describes a query that is sent to one upstream of each shard.
type Gather struct {
	// Services lists the services that hold the shards, one for each shard.
	Services []string
	// TopK is the largest number of records in an answer.
	TopK int
	// MinShare is the smallest fraction of the shards that makes an answer useful.
	MinShare float64
}

// MinParts returns the smallest number of shards that makes an answer useful.
func (g *Gather) MinParts() int {
	n := len(g.Services)
	for parts := 1; parts < n; parts++ {
		if float64(parts) >= g.MinShare*float64(n) {
			return parts
		}
	}
	return n
}

// Service is a set of upstreams that can answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that an upstream accepts from
	// all instances together.
	MaxConnections int
	// ColdPerSecond is the number of requests a second that a cold upstream tolerates from
	// all instances together; zero means no limit.
	ColdPerSecond float64
}

// Limits holds the limits on what callers may send and how long they may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// defaultMaxBodyBytes is the limit on bodies if the configuration has none.
const defaultMaxBodyBytes = 1 << 20

// BodyLimit returns the size limit of request bodies.
func (l Limits) BodyLimit() int64 {
	if l.MaxBodyBytes > 0 {
		return l.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// Table finds routes in one version of the configuration.
type Table struct {
	Config
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
	// urgentNeedsLonger is the result of UrgentNeedsLonger.
	urgentNeedsLonger bool
}

// NewTable returns a table of the routes of a configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, hosts: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.urgentNeedsLonger = urgentNeedsLonger(c.Routes)
	return t
}

// UrgentNeedsLonger reports whether a query over shards has a less urgent query beside it on
// the same shards that is to be answered sooner. Upstreams that serve requests in the order
// of their arrival then favour the less urgent one, whose parts take less time.
func (t *Table) UrgentNeedsLonger() bool { return t.urgentNeedsLonger }

func urgentNeedsLonger(routes []Route) bool {
	// least holds, of the queries on a shard, the shortest latency target of each priority.
	least := make(map[string]map[int]time.Duration)
	for i := range routes {
		r := &routes[i]
		if r.Gather == nil {
			continue
		}
		for _, name := range r.Gather.Services {
			targets := least[name]
			if targets == nil {
				targets = make(map[int]time.Duration)
				least[name] = targets
			}
			if d, has := targets[r.Priority]; !has || r.LatencyTarget < d {
				targets[r.Priority] = r.LatencyTarget
			}
		}
	}
	for _, targets := range least {
		for urgent, longer := range targets {
			for priority, shorter := range targets {
				if urgent < priority && shorter < longer {
					return true
				}
			}
		}
	}
	return false
}

// Match returns the route of the host with the longest prefix that path begins
// with, or nil. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ShardServices returns the services that are shards of a query.
func (t *Table) ShardServices() map[string]bool {
	shards := make(map[string]bool)
	for i := range t.Routes {
		if g := t.Routes[i].Gather; g != nil {
			for _, name := range g.Services {
				shards[name] = true
			}
		}
	}
	return shards
}

// normaliseHost returns the host in lower case and without its port.
func normaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// ChooseService returns the service of one of the targets, in proportion to their
// weights. draw is a random number in [0, 1). It returns false if no target has a
// positive weight.
func (r *Route) ChooseService(draw float64) (string, bool) {
	remaining := draw * r.totalWeight()
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if remaining < t.Weight {
			return t.Service, true
		}
		remaining -= t.Weight
	}
	return "", false
}

func (r *Route) totalWeight() float64 {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	return total
}

// Share returns the fraction of the route's requests that a target gets.
func (r *Route) Share(t Target) float64 {
	if t.Weight <= 0 {
		return 0
	}
	return t.Weight / r.totalWeight()
}
