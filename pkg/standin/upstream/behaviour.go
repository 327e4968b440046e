package upstream

import "time"

// Behaviour holds the settings and faults of one upstream. All of them can be
// changed while it runs.
type Behaviour struct {
	Slots int `json:"slots"`
	// Queue is the number of requests that may wait for a slot.
	Queue int `json:"queue"`
	// ConnectionLimit is the largest number of open connections. Requests on
	// connections above the limit are refused.
	ConnectionLimit int `json:"connection_limit"`
	// AcceptCostMS is the time from accepting a connection until the upstream reads
	// from it.
	AcceptCostMS float64 `json:"accept_cost_ms"`

	// Service maps an operation to its service time; "" is the default.
	Service map[string]ServiceTime `json:"service"`
	// Slowdown multiplies all service times.
	Slowdown float64 `json:"slowdown"`
	// ShardSlowdown multiplies the service times of single shards.
	ShardSlowdown map[string]float64 `json:"shard_slowdown"`
	// ColdStartMS is the time after a start or restart during which service
	// times are multiplied by a factor that falls linearly from ColdFactor to 1.
	ColdStartMS float64 `json:"cold_start_ms"`
	ColdFactor  float64 `json:"cold_factor"`

	Draining bool `json:"draining"`
	// RefuseWhenDraining makes a draining upstream refuse new requests. Otherwise it
	// runs them. In both cases its answers say that it is draining.
	RefuseWhenDraining bool `json:"refuse_when_draining"`

	// Each of the following fields is the fraction of requests, 0 to 1, that get one
	// fault. ShedFraction: the request is shed. FailFraction: it fails after its
	// service time. WrongEchoFraction: the answer has a wrong attempt id.
	// TruncateFraction: the connection is closed in the middle of the answer.
	// InvalidFraction: the answer is invalid JSON.
	ShedFraction      float64 `json:"shed_fraction"`
	FailFraction      float64 `json:"fail_fraction"`
	WrongEchoFraction float64 `json:"wrong_echo_fraction"`
	TruncateFraction  float64 `json:"truncate_fraction"`
	InvalidFraction   float64 `json:"invalid_fraction"`
	// LateFraction is the fraction of requests that are answered LateMS after they
	// finished.
	LateFraction float64 `json:"late_fraction"`
	LateMS       float64 `json:"late_ms"`

	// IgnoreCancel makes the upstream run requests to their end although their
	// connection was closed.
	IgnoreCancel bool `json:"ignore_cancel"`
	// IgnoreDeadline makes the upstream run requests to their end although their
	// deadline has passed.
	IgnoreDeadline bool `json:"ignore_deadline"`

	// CrashMark is a text: the upstream crashes when it starts to run a request whose
	// payload contains it. With an empty CrashMark, no request crashes the upstream.
	CrashMark string `json:"crash_mark"`
	// CrashExit makes a crash end the whole process. Otherwise the crash is
	// simulated: all connections are reset and new ones are refused for
	// CrashRefuseMS.
	CrashExit     bool    `json:"crash_exit"`
	CrashRefuseMS float64 `json:"crash_refuse_ms"`

	// StatusLagMS makes the health and load endpoints report the state as it was this
	// long ago.
	StatusLagMS float64 `json:"status_lag_ms"`
	// StatusDelayMS is the time that the health and load endpoints take to answer.
	StatusDelayMS float64 `json:"status_delay_ms"`
	// Misreport, if set, replaces the state that the health and load endpoints
	// report.
	Misreport *Report `json:"misreport"`
}

// ServiceTime is a log-normal distribution of service times.
type ServiceTime struct {
	MedianMS float64 `json:"median_ms"`
	// Sigma is the standard deviation of the time's natural logarithm; 0 makes the
	// time constant.
	Sigma float64 `json:"sigma"`
}

// Report is the state that the health and load endpoints report.
type Report struct {
	Healthy   bool     `json:"healthy"`
	Draining  bool     `json:"draining"`
	InFlight  int      `json:"in_flight"`
	Slots     int      `json:"slots"`
	Snapshots []string `json:"snapshots"`
}

// DefaultBehaviour returns the settings of an upstream of the current size, which has
// 3 slots, without faults.
func DefaultBehaviour() Behaviour {
	return Behaviour{
		Slots:              3,
		Queue:              3,
		ConnectionLimit:    30,
		AcceptCostMS:       6,
		Service:            map[string]ServiceTime{"": {MedianMS: 10, Sigma: 0.4}},
		Slowdown:           1,
		ColdFactor:         1,
		RefuseWhenDraining: true,
		CrashMark:          "crash-upstream",
		CrashRefuseMS:      2000,
	}
}

// normalised returns the behaviour with values that are too low raised to the least
// valid value.
func (b Behaviour) normalised() Behaviour {
	b.Slots = max(0, b.Slots)
	b.Queue = max(0, b.Queue)
	b.Slowdown = max(0, b.Slowdown)
	b.ColdFactor = max(1, b.ColdFactor)
	return b
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
