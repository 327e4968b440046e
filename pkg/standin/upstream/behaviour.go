package upstream

import "time"

// Behaviour holds the settings and faults of one upstream. All of them can be
// changed while it runs.
type Behaviour struct {
	Slots int `json:"slots"`
	// Queue is the number of requests that may wait for a slot.
	Queue           int     `json:"queue"`
	ConnectionLimit int     `json:"connection_limit"`
	AcceptCostMS    float64 `json:"accept_cost_ms"`

	// Service maps an operation to its service time; "" is the default.
	Service map[string]ServiceTime `json:"service"`
	// Slowdown multiplies all service times.
	Slowdown float64 `json:"slowdown"`
	// ShardSlowdown multiplies the service times of single shards.
	ShardSlowdown map[string]float64 `json:"shard_slowdown"`
	// ColdStartMS is the time after a start or restart during which service
	// times are multiplied by a factor that falls from ColdFactor to 1.
	ColdStartMS float64 `json:"cold_start_ms"`
	ColdFactor  float64 `json:"cold_factor"`

	Draining bool `json:"draining"`
	// RefuseWhenDraining refuses new work while draining; otherwise it is
	// served and marked.
	RefuseWhenDraining bool `json:"refuse_when_draining"`

	// Fractions of requests, 0 to 1, that get a fault.
	ShedFraction      float64 `json:"shed_fraction"`
	FailFraction      float64 `json:"fail_fraction"`
	WrongEchoFraction float64 `json:"wrong_echo_fraction"`
	TruncateFraction  float64 `json:"truncate_fraction"`
	InvalidFraction   float64 `json:"invalid_fraction"`
	// LateFraction of requests get their answer LateMS after they finished.
	LateFraction float64 `json:"late_fraction"`
	LateMS       float64 `json:"late_ms"`

	// IgnoreCancel runs cancelled requests to their end.
	IgnoreCancel bool `json:"ignore_cancel"`
	// IgnoreDeadline runs expired requests to their end.
	IgnoreDeadline bool `json:"ignore_deadline"`

	// CrashMark in a payload crashes the upstream when the request starts.
	CrashMark string `json:"crash_mark"`
	// CrashExit ends the whole process; otherwise the crash is simulated: all
	// connections break and new ones are refused for CrashRefuseMS.
	CrashExit     bool    `json:"crash_exit"`
	CrashRefuseMS float64 `json:"crash_refuse_ms"`

	// StatusLagMS is the age of what health and load report.
	StatusLagMS float64 `json:"status_lag_ms"`
	// StatusDelayMS is the time that health and load take to answer.
	StatusDelayMS float64 `json:"status_delay_ms"`
	// Misreport replaces what health and load report.
	Misreport *Report `json:"misreport"`
}

// ServiceTime is a log-normal distribution.
type ServiceTime struct {
	MedianMS float64 `json:"median_ms"`
	// Sigma is the standard deviation of the logarithm; 0 is a constant time.
	Sigma float64 `json:"sigma"`
}

// Report is what the health and load endpoints say.
type Report struct {
	Healthy   bool     `json:"healthy"`
	Draining  bool     `json:"draining"`
	InFlight  int      `json:"in_flight"`
	Slots     int      `json:"slots"`
	Snapshots []string `json:"snapshots"`
}

// DefaultBehaviour is an upstream of the current size with 3 slots.
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

// normalised returns the behaviour with impossible values replaced.
func (b Behaviour) normalised() Behaviour {
	b.Slots = max(0, b.Slots)
	b.Queue = max(0, b.Queue)
	b.Slowdown = max(0, b.Slowdown)
	b.ColdFactor = max(1, b.ColdFactor)
	return b
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
