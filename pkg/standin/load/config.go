// Package load is an open-loop load generator over the caller interface, with a
// simple load balancer. It checks every answer for the properties that callers
// rely on, and compares the outcome with the executions that the upstream
// stand-ins logged.
package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Config describes a load run. Times are milliseconds since its start.
type Config struct {
	Seed      uint64   `json:"seed"`
	Instances []Target `json:"instances"`
	// UpstreamAdmins are the admin addresses of upstream stand-ins; without
	// them, executions are neither counted nor checked.
	UpstreamAdmins []string       `json:"upstream_admins"`
	Balancer       BalancerConfig `json:"balancer"`
	Streams        []Stream       `json:"streams"`
	// Phases follow each other; the run ends with the last one.
	Phases []Phase `json:"phases"`
	// WindowMS is the length of the windows of the time series.
	WindowMS int `json:"window_ms"`
	// MaxInFlight bounds requests in flight in the generator. Requests above
	// it are counted as not sent.
	MaxInFlight int `json:"max_in_flight"`
	// SettleMS is the time between the last answer and the reading of the
	// execution log, in which a request that was refused must not start.
	SettleMS int `json:"settle_ms"`
}

// Target is one instance.
type Target struct {
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
}

// BalancerConfig describes the platform's load balancer.
type BalancerConfig struct {
	PollMS int `json:"poll_ms"`
	// LagMS is the time from a poll until its result takes effect.
	LagMS int `json:"lag_ms"`
}

// Stream is a flow of requests of one service, operation and priority.
type Stream struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Priority  string `json:"priority"`
	// Callers is the number of caller names that take turns.
	Callers int `json:"callers"`
	// Rate is the number of requests per second, with exponential gaps.
	Rate          float64  `json:"rate"`
	DeadlineMS    int      `json:"deadline_ms"`
	TargetMS      int      `json:"target_ms"`
	LeastCoverage float64  `json:"least_coverage"`
	Shards        []string `json:"shards"`
	PayloadBytes  int      `json:"payload_bytes"`
	// DistinctPayloads is the number of payloads that take turns in a phase; 0
	// makes all distinct. Requests that share a payload cannot be told apart in
	// the execution log, so "not run" is not checked for them.
	DistinctPayloads int `json:"distinct_payloads"`
	// Mark is put into the payload, for instance to crash upstreams.
	Mark string `json:"mark"`
	// Order makes the requests orders with a ticket; each acts on one of
	// Shards, in turn.
	Order bool `json:"order"`
	// Elsewhere submits an order through another instance than the one that
	// issued its ticket, as a caller behind a balancer may.
	ViaOtherInstance bool `json:"elsewhere"`
	// Resends is how often a request whose connection failed, or an order whose
	// outcome is open, is sent again through the next instance.
	MaxResends int `json:"resends"`
}

// Phase is a part of the run.
type Phase struct {
	Name       string `json:"name"`
	DurationMS int    `json:"duration_ms"`
	// Rates replace the rates of the named streams.
	Rates map[string]float64 `json:"rates"`
}

// Defaults of a Config.
const (
	defaultPollMS      = 200
	defaultWindowMS    = 1000
	defaultMaxInFlight = 10000
	defaultSettleMS    = 500
	defaultDeadlineMS  = 1000
)

// ReadConfig reads a Config from a JSON file.
func ReadConfig(file string) (Config, error) {
	var c Config
	content, err := os.ReadFile(file)
	if err != nil {
		return c, err
	}
	if err := json.Unmarshal(content, &c); err != nil {
		return c, fmt.Errorf("%s: %w", file, err)
	}
	return c, nil
}

// normalised fills in defaults and checks the configuration.
func (c Config) normalised() (Config, error) {
	c.Balancer.PollMS = orDefault(c.Balancer.PollMS, defaultPollMS)
	c.WindowMS = orDefault(c.WindowMS, defaultWindowMS)
	c.MaxInFlight = orDefault(c.MaxInFlight, defaultMaxInFlight)
	c.SettleMS = orDefault(c.SettleMS, defaultSettleMS)
	if len(c.Instances) == 0 || len(c.Streams) == 0 || len(c.Phases) == 0 {
		return c, fmt.Errorf("instances, streams and phases are needed")
	}
	names := make(map[string]bool)
	c.Streams = append([]Stream(nil), c.Streams...)
	for i := range c.Streams {
		s := &c.Streams[i]
		if s.Name == "" {
			s.Name = s.Service + "/" + s.Priority
		}
		if names[s.Name] {
			return c, fmt.Errorf("two streams have the name %q", s.Name)
		}
		names[s.Name] = true
		if s.Order && len(s.Shards) == 0 {
			return c, fmt.Errorf("stream %q has orders and needs shards", s.Name)
		}
		if s.Order && s.DistinctPayloads > 0 {
			return c, fmt.Errorf("stream %q has orders, which need distinct payloads", s.Name)
		}
		s.Callers = orDefault(s.Callers, 1)
		s.DeadlineMS = orDefault(s.DeadlineMS, defaultDeadlineMS)
		s.TargetMS = orDefault(s.TargetMS, s.DeadlineMS)
	}
	for _, p := range c.Phases {
		for name := range p.Rates {
			if !names[name] {
				return c, fmt.Errorf("phase %q sets the rate of an unknown stream %q", p.Name, name)
			}
		}
	}
	return c, nil
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}

// rate returns the stream's rate in the phase.
func (p Phase) rate(s Stream) float64 {
	if r, ok := p.Rates[s.Name]; ok {
		return r
	}
	return s.Rate
}

func (p Phase) duration() time.Duration { return time.Duration(p.DurationMS) * time.Millisecond }

// duration returns the length of all phases.
func (c Config) duration() time.Duration {
	var total time.Duration
	for _, p := range c.Phases {
		total += p.duration()
	}
	return total
}
