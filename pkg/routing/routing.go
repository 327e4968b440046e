// Package routing holds the configuration of routes and finds the route of a
// request. It is pure; a Table does not change once it is built.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one version of the routes and services.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route says where the requests of one host and path prefix go and how they
// are treated. A route has either Targets or a Gather.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is fully useful.
	LatencyTarget time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams of a service that may run a request.
	MaxAttempts int
	Targets     []Target
	Gather      *Gather
}

// Target is a service and its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Gather describes a query that is sent to one upstream of each shard.
type Gather struct {
	// Services are the shards, one service each.
	Services []string
	// TopK is the number of records of an answer.
	TopK int
	// MinShare is the fraction of shards below which an answer is of no use.
	MinShare float64
}

// MinParts is the least number of shards that an answer needs.
func (g *Gather) MinParts() int {
	n := len(g.Services)
	for least := 1; least < n; least++ {
		if float64(least) >= g.MinShare*float64(n) {
			return least
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
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table finds routes in one version of the configuration.
type Table struct {
	Config
	hosts map[string][]*Route
}

// NewTable indexes the configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, hosts: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest prefix of path among those of the
// host, or nil. The host may carry a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// ChooseService returns the target whose part of the weights holds draw, a number in
// [0, 1). It returns false if no target has a positive weight.
func (r *Route) ChooseService(draw float64) (string, bool) {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	rest := draw * total
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if rest < t.Weight {
			return t.Service, true
		}
		rest -= t.Weight
	}
	return "", false
}
