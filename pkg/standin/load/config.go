// Package load generates load over the caller interface. It is open-loop: send times
// do not depend on answers. A model of the platform's load balancer chooses the
// instance for each request. The package checks in every answer the properties that
// callers rely on, and checks the answers against the executions that the stand-in
// upstreams logged.
package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Config describes a load run.
type Config struct {
	Seed      uint64   `json:"seed"`
	Instances []Target `json:"instances"`
	// UpstreamAdmins are the addresses of the admin listeners of stand-in
	// upstreams. Without them, executions are neither counted nor checked.
	UpstreamAdmins []string       `json:"upstream_admins"`
	Balancer       BalancerConfig `json:"balancer"`
	Streams        []Stream       `json:"streams"`
	// Phases follow one another. After the last phase, no new request is sent.
	Phases []Phase `json:"phases"`
	// WindowMS is the period that one point of the time series covers.
	WindowMS int `json:"window_ms"`
	// MaxInFlight limits the requests that wait for an answer at the same time. A
	// request above the limit is not sent, and is counted with the code "not_sent".
	MaxInFlight int `json:"max_in_flight"`
	// SettleMS is the time from the last answer until the execution logs are read,
	// so that the logs contain late executions of refused requests. These are
	// violations.
	SettleMS int `json:"settle_ms"`
}

// Target holds the addresses of one instance's listeners for callers and operators.
type Target struct {
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
}

// BalancerConfig describes the model of the platform's load balancer.
type BalancerConfig struct {
	// PollMS is the interval between two readiness polls of an instance.
	PollMS int `json:"poll_ms"`
	// LagMS is the time from a poll until its result takes effect.
	LagMS int `json:"lag_ms"`
}

// Stream describes requests of one service, operation and priority.
type Stream struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Priority  string `json:"priority"`
	// Callers is the number of different callers that the requests name, in turn.
	Callers int `json:"callers"`
	// Rate is the mean number of requests per second; the gaps between them are
	// distributed exponentially.
	Rate          float64  `json:"rate"`
	DeadlineMS    int      `json:"deadline_ms"`
	TargetMS      int      `json:"target_ms"`
	LeastCoverage float64  `json:"least_coverage"`
	Shards        []string `json:"shards"`
	PayloadBytes  int      `json:"payload_bytes"`
	// DistinctPayloads is the number of payloads that the requests of a phase use in
	// turn; 0 gives each request its own. The execution logs do not distinguish
	// requests with the same payload, so answers of "not run" to them are not checked.
	DistinctPayloads int `json:"distinct_payloads"`
	// Mark is the value of the payload's field "mark". A stand-in upstream crashes
	// when it runs a request whose payload contains the upstream's crash mark.
	Mark string `json:"mark"`
	// Order makes the requests orders instead of queries. Each order has a ticket
	// and acts on one of Shards, in turn.
	Order bool `json:"order"`
	// ViaOtherInstance submits an order through another instance than the one that
	// issued its ticket, as happens to callers behind a load balancer.
	ViaOtherInstance bool `json:"elsewhere"`
	// MaxResends is the largest number of times that a request is sent again: through
	// the next instance if it got no answer, and through the same instance if it is an
	// order that was refused with a next ticket.
	MaxResends int `json:"resends"`
}

// Phase is a period of the run with constant rates.
type Phase struct {
	Name       string `json:"name"`
	DurationMS int    `json:"duration_ms"`
	// Rates replaces the rates of streams, by stream name.
	Rates map[string]float64 `json:"rates"`
}

// Defaults of fields of Config, BalancerConfig and Stream.
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

// normalised returns the configuration with defaults for absent fields, or an error
// if it is invalid.
func (c Config) normalised() (Config, error) {
	c.Balancer.PollMS = orDefault(c.Balancer.PollMS, defaultPollMS)
	c.WindowMS = orDefault(c.WindowMS, defaultWindowMS)
	c.MaxInFlight = orDefault(c.MaxInFlight, defaultMaxInFlight)
	c.SettleMS = orDefault(c.SettleMS, defaultSettleMS)
	if len(c.Instances) == 0 || len(c.Streams) == 0 || len(c.Phases) == 0 {
		return c, fmt.Errorf("the load configuration needs at least one instance, stream and phase")
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
			return c, fmt.Errorf("stream %q has orders and must name shards", s.Name)
		}
		if s.Order && s.DistinctPayloads > 0 {
			return c, fmt.Errorf("stream %q has orders, so distinct_payloads must be 0", s.Name)
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

// orDefault returns the value if it is positive and otherwise the fallback.
func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}

// rate returns the stream's rate in the phase, in requests per second.
func (p Phase) rate(s Stream) float64 {
	if r, ok := p.Rates[s.Name]; ok {
		return r
	}
	return s.Rate
}

func (p Phase) duration() time.Duration { return time.Duration(p.DurationMS) * time.Millisecond }

// duration returns the sum of the lengths of all phases.
func (c Config) duration() time.Duration {
	var total time.Duration
	for _, p := range c.Phases {
		total += p.duration()
	}
	return total
}
