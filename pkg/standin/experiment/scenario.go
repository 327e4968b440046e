// Package experiment runs load and faults against a deployment of separate
// processes, for sardineturn and for the baseline in turn, and compares the
// figures with the stated aims.
package experiment

import (
	"context"
	"math"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

// Phase lengths. A phase of 5 s has 80 to 130 requests of the most urgent
// priority, too few for a 99th percentile; scenarios that compare percentiles
// use the long phase.
const (
	warmupMS    = 2000
	phaseMS     = 5000
	longPhaseMS = 20000
)

// Names of phases.
const (
	phaseWarmup = "warmup"
	phaseSteady = "steady"
	phaseFault  = "fault"
	phaseAfter  = "after"
)

// steadyLoad is the load by priority as fractions of the service's capacity. Its
// sum of 0.4 leaves 60% utilization when one of three upstreams is lost.
var steadyLoad = [3]float64{0.18, 0.14, 0.08}

// floodFactor is the size of a flood in multiples of capacity.
const floodFactor = 3

// scenario is one experiment.
type scenario struct {
	name string
	// faultLoad replaces the steady load during the fault phase.
	faultLoad [3]float64
	// lengthMS is the length of the steady and the fault phase.
	lengthMS int
	// afterMS is the length of a last phase without the fault, if any.
	afterMS int
	// fault is called at the start of the fault phase, and undo at its end.
	fault func(context.Context, *deployment) error
	undo  func(context.Context, *deployment) error
	// orders adds a stream of orders, which the baseline does not serve.
	orders bool
	// relayed puts a relay between the instances, so that links can be cut.
	// Orders are then submitted through other instances than the owners of their
	// tickets.
	relayed bool
	// crashing adds a request that crashes upstreams to the fault phase.
	crashing bool
	// services are indexes of the customer's services; the first one when empty.
	services []int
	aims     []aim
}

// brokenPromises is the number of broken properties that the load tool found:
// answers that mix snapshots or requests, misstate coverage, say "not run"
// after a run, or orders that ran twice; and of invariants that the instances
// found broken.
func brokenPromises() aim {
	return aim{text: "broken properties of answers and orders", limit: 0, measure: func(o *outcome) float64 {
		if !o.report.ExecutionsChecked {
			return math.Inf(1)
		}
		total := float64(o.report.ViolationCount())
		for _, n := range o.invariants {
			total += n
		}
		return total
	}}
}

// aim is a stated target and how its figure is taken from a run.
type aim struct {
	text string
	// limit is the bound from the statement; the figure must not be above it,
	// or not below it if atLeast is true.
	limit   float64
	atLeast bool
	measure func(*outcome) float64
}

func (a aim) met(value float64) bool {
	if a.atLeast {
		return value >= a.limit
	}
	return value <= a.limit
}

func scenarios() []scenario {
	return []scenario{
		stragglerScenario(),
		floodScenario("flood-least-urgent", 2),
		floodScenario("flood-most-urgent", 0),
		shardLostScenario(),
		instanceScenario("instance-killed", func(ctx context.Context, d *deployment) error {
			return d.victim().KillAndUnlist(ctx)
		}, nil),
		instanceScenario("instance-paused", func(_ context.Context, d *deployment) error {
			d.paused = d.victim()
			d.paused.Pause()
			return nil
		}, func(_ context.Context, d *deployment) error {
			d.paused.Resume()
			return nil
		}),
		rolloutScenario(),
		leavingScenario(),
		cutScenario(),
		splitScenario(),
		crashingScenario(),
		servicesScenario(),
	}
}

func stragglerScenario() scenario {
	const slowdown = 20
	return scenario{
		name:      "straggler",
		lengthMS:  longPhaseMS,
		faultLoad: steadyLoad,
		fault: func(ctx context.Context, d *deployment) error {
			return d.host.SetFaults(ctx, d.upstreamName(0), map[string]any{"slowdown": slowdown})
		},
		aims: []aim{
			{text: "p99 of the most urgent with one replica 20 times slower, relative to fault-free", limit: 2, measure: func(o *outcome) float64 {
				return ratio(o.stream(phaseFault, 0).LatencyAll.P99, o.stream(phaseSteady, 0).LatencyAll.P99)
			}},
			{text: "extra upstream executions per request", limit: 0.05, measure: extraLoad},
			meanCoverage(),
		},
	}
}

func meanCoverage() aim {
	return aim{text: "mean coverage of the most urgent", limit: 0.99, atLeast: true, measure: func(o *outcome) float64 {
		return o.stream(phaseFault, 0).MeanCoverage
	}}
}

// extraLoad is the growth of executions per requested shard in the fault phase
// relative to the steady phase, minus one.
func extraLoad(o *outcome) float64 {
	return ratio(o.phase(phaseFault).ExecutionsPerRequest, o.phase(phaseSteady).ExecutionsPerRequest) - 1
}

func floodScenario(name string, flooding int) scenario {
	faultLoad := steadyLoad
	faultLoad[flooding] = floodFactor
	s := scenario{name: name, faultLoad: faultLoad}
	if flooding == 2 {
		s.aims = []aim{
			{text: "share of the most urgent within target", limit: 0.99, atLeast: true, measure: func(o *outcome) float64 {
				return o.stream(phaseFault, 0).OnTargetShare
			}},
			{text: "middle priority's success relative to its demand or guaranteed share", limit: 1, atLeast: true, measure: func(o *outcome) float64 {
				return o.keptShare(1)
			}},
		}
		return s
	}
	s.aims = []aim{
		{text: "middle priority's success relative to its demand or guaranteed share", limit: 0.95, atLeast: true, measure: func(o *outcome) float64 {
			return o.keptShare(1)
		}},
		{text: "least urgent's success relative to its demand or guaranteed share", limit: 0.95, atLeast: true, measure: func(o *outcome) float64 {
			return o.keptShare(2)
		}},
		{text: "goodput relative to nominal capacity", limit: 0.9, atLeast: true, measure: (*outcome).goodput},
		{text: "goodput relative to capacity at the logged service times", limit: 0.9, atLeast: true, measure: (*outcome).goodputOfMeasured},
	}
	return s
}

func shardLostScenario() scenario {
	return scenario{
		name:      "shard-lost",
		faultLoad: steadyLoad,
		fault: func(ctx context.Context, d *deployment) error {
			for _, n := range []int{0, 1} {
				if err := d.crash(ctx, n, phaseMS*time.Millisecond); err != nil {
					return err
				}
			}
			return nil
		},
		aims: []aim{
			{text: "requests of the most urgent answered within their deadline", limit: 0.99, atLeast: true, measure: func(o *outcome) float64 {
				return o.answeredShare(phaseFault, 0)
			}},
			{text: "retries and hedges relative to first attempts", limit: 0.1, measure: func(o *outcome) float64 {
				return ratio(o.faultAttempts["retry"]+o.faultAttempts["hedge"], o.faultAttempts["first"])
			}},
		},
	}
}

func instanceScenario(name string, fault, undo func(context.Context, *deployment) error) scenario {
	return scenario{
		name:      name,
		faultLoad: steadyLoad,
		fault:     fault,
		undo:      undo,
		afterMS:   phaseMS,
		orders:    true,
		aims: []aim{
			brokenPromises(),
			{text: "seconds until the most urgent is back to 95% within target", limit: 3, measure: func(o *outcome) float64 {
				return o.recovery(0, 0.95)
			}},
		},
	}
}

func rolloutScenario() scenario {
	return scenario{
		name:      "rolling-restart",
		faultLoad: steadyLoad,
		afterMS:   6 * phaseMS,
		orders:    true,
		fault: func(ctx context.Context, d *deployment) error {
			go d.rollout(ctx)
			return nil
		},
		aims: []aim{
			brokenPromises(),
			{text: "restarts of instances that did not end cleanly (1: at least one)", limit: 0, measure: (*outcome).uncleanRollout},
			{text: "requests cut off (connection errors) during a restart of all instances", limit: 0, measure: (*outcome).cutOff},
			{text: "share of the most urgent within target", limit: 0.99, atLeast: true, measure: func(o *outcome) float64 {
				return o.stream(phaseAfter, 0).OnTargetShare
			}},
		},
	}
}

func leavingScenario() scenario {
	return scenario{
		name:      "upstream-leaving",
		faultLoad: steadyLoad,
		fault: func(ctx context.Context, d *deployment) error {
			d.leftAt = time.Now()
			return d.host.SetFaults(ctx, d.upstreamName(0), map[string]any{"draining": true})
		},
		aims: []aim{
			{text: "executions on the leaving upstream from 3 s after the first sign", limit: 0, measure: func(o *outcome) float64 {
				return float64(o.lateExecutions)
			}},
			meanCoverage(),
		},
	}
}

const (
	ordersPerSecond = 10
	// orderResends is how often a caller sends an order again whose outcome is
	// open, through the next instance.
	orderResends = 3
)

// orderStream returns a stream of orders of the middle priority.
func orderStream(s launch.Service) load.Stream {
	p := s.Priorities[1]
	out := load.Stream{
		Name:       "orders",
		Service:    s.Name,
		Operation:  launch.OperationReserve,
		Priority:   p.Name,
		Callers:    5,
		Rate:       ordersPerSecond,
		DeadlineMS: p.DeadlineMS,
		TargetMS:   p.TargetMS,
		Order:      true,
		Resends:    orderResends,
	}
	for _, id := range s.ShardIDs() {
		out.Shards = append(out.Shards, string(id))
	}
	return out
}

// steadyStreams returns the steady load of the service, named by priority.
func steadyStreams(s launch.Service, factor float64) []load.Stream {
	out := load.Queries(s, steadyShares(factor)...)
	for n := range out {
		out[n].Name = out[n].Priority
	}
	return out
}

// steadyShares returns the steady load by priority as fractions of capacity.
func steadyShares(factor float64) []float64 {
	shares := make([]float64, 0, len(steadyLoad))
	for _, share := range steadyLoad {
		shares = append(shares, share*factor)
	}
	return shares
}

// choose returns the services that the scenario uses.
func (s scenario) choose(all []launch.Service) []launch.Service {
	if len(s.services) == 0 {
		return all[:1]
	}
	out := make([]launch.Service, 0, len(s.services))
	for _, n := range s.services {
		out = append(out, all[n])
	}
	return out
}

func (s scenario) length() int {
	if s.lengthMS > 0 {
		return s.lengthMS
	}
	return phaseMS
}

// faultStart is the time from the start of a run to the fault.
func (s scenario) faultStart() time.Duration {
	return time.Duration(warmupMS+s.length()) * time.Millisecond
}

// phases returns the run's phases.
func (s scenario) phases(st launch.Service, capacity float64) []load.Phase {
	rates := make(map[string]float64)
	for n, p := range st.Priorities {
		rates[p.Name] = capacity * s.faultLoad[n]
	}
	if s.crashing {
		rates[crashingName] = crashingPerSecond
	}
	out := []load.Phase{
		{Name: phaseWarmup, DurationMS: warmupMS},
		{Name: phaseSteady, DurationMS: s.length()},
		{Name: phaseFault, DurationMS: s.length(), Rates: rates},
	}
	if s.afterMS > 0 {
		out = append(out, load.Phase{Name: phaseAfter, DurationMS: s.afterMS})
	}
	return out
}
