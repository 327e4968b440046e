// Package experiment measures sardineturn in deployments of separate processes. Its
// scenarios apply load and faults, first to sardineturn and then to the baseline, and
// compare the figures with stated aims. The package also measures the processor time
// and memory of an instance.
package experiment

import (
	"context"
	"math"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

// Phase lengths. A phase of 5 s has 80 to 130 requests of the most urgent priority.
// These are too few for a 99th percentile, so scenarios that compare percentiles use
// the long phase.
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

// steadyLoad is the load without a fault, by priority, as fractions of the service's
// capacity. Its sum is 0.4, so that utilization is 60% when one of three upstreams is
// lost.
var steadyLoad = [3]float64{0.18, 0.14, 0.08}

// floodFactor is the load of the flooding priority as a multiple of the service's
// capacity.
const floodFactor = 3

// scenario describes one experiment: its load, its fault, and the aims that its
// figures are compared with.
type scenario struct {
	name string
	// faultLoad replaces steadyLoad during the fault phase.
	faultLoad [3]float64
	// lengthMS is the length of the steady phase and also of the fault phase; phaseMS
	// when 0.
	lengthMS int
	// afterMS is the length of the phase after the fault; there is none when 0.
	afterMS int
	// fault is called at the start of the fault phase, and undo at its end. Either may
	// be nil.
	fault func(context.Context, *deployment) error
	undo  func(context.Context, *deployment) error
	// orders adds a stream of orders to the load of the product. The baseline serves
	// no orders.
	orders bool
	// relayed sends the traffic between instances, and between instances and the
	// platform, through a relay that can cut links. Then each order is submitted
	// through another instance than the one that issued its ticket.
	relayed bool
	// sendsCrashingRequest adds to the fault phase a request that crashes upstreams.
	sendsCrashingRequest bool
	// services are the indexes in the customer's list of the services to start. When
	// empty, only the first service is started.
	services []int
	aims     []aim
}

// violationsAim returns the aim that no checked property is violated. Its figure is the
// number of violations that the load generator found, plus the number of broken
// invariants that the instances found. Violations are answers that mix snapshots or
// requests, misstate coverage, or wrongly say that a request ran or did not run, and
// orders that ran twice. The figure is infinite if the load generator could not check
// all executions.
func violationsAim() aim {
	return aim{text: "broken properties of answers and orders", limit: 0, measure: func(o *outcome) float64 {
		if !o.report.ExecutionsChecked {
			return math.Inf(1)
		}
		total := float64(o.report.ViolationCount())
		for _, n := range o.invariantViolations {
			total += n
		}
		return total
	}}
}

// aim is a stated target, together with the function that computes its figure from the
// outcome of a run.
type aim struct {
	text string
	// limit is the bound that the target states. The figure must not be above it, or
	// not below it if atLeast is true.
	limit   float64
	atLeast bool
	measure func(*outcome) float64
}

// met reports whether the figure meets the aim.
func (a aim) met(value float64) bool {
	if a.atLeast {
		return value >= a.limit
	}
	return value <= a.limit
}

// scenarios returns all scenarios except the recorded ones.
func scenarios() []scenario {
	return []scenario{
		stragglerScenario(),
		floodScenario("flood-least-urgent", 2),
		floodScenario("flood-most-urgent", 0),
		lostShardScenario(),
		instanceScenario("instance-killed", func(ctx context.Context, d *deployment) error {
			return d.faultTarget().KillAndUnlist(ctx)
		}, nil),
		instanceScenario("instance-paused", func(_ context.Context, d *deployment) error {
			d.pausedInstance = d.faultTarget()
			d.pausedInstance.Pause()
			return nil
		}, func(_ context.Context, d *deployment) error {
			d.pausedInstance.Resume()
			return nil
		}),
		rolloutScenario(),
		leavingUpstreamScenario(),
		isolatedInstanceScenario(),
		partitionScenario(),
		crashingScenario(),
		servicesScenario(),
	}
}

// stragglerScenario makes one upstream much slower than the others.
func stragglerScenario() scenario {
	const slowdown = 20
	return scenario{
		name:      "straggler",
		lengthMS:  longPhaseMS,
		faultLoad: steadyLoad,
		fault: func(ctx context.Context, d *deployment) error {
			return d.upstreamHost.SetFaults(ctx, d.upstreamName(0), map[string]any{"slowdown": slowdown})
		},
		aims: []aim{
			{text: "p99 of the most urgent with one replica 20 times slower, relative to fault-free", limit: 2, measure: func(o *outcome) float64 {
				return ratio(o.stream(phaseFault, 0).LatencyAll.P99, o.stream(phaseSteady, 0).LatencyAll.P99)
			}},
			{text: "extra upstream executions per request", limit: 0.05, measure: extraExecutions},
			meanCoverageAim(),
		},
	}
}

// meanCoverageAim returns the aim for the mean coverage of the most urgent priority in
// the fault phase.
func meanCoverageAim() aim {
	return aim{text: "mean coverage of the most urgent", limit: 0.99, atLeast: true, measure: func(o *outcome) float64 {
		return o.stream(phaseFault, 0).MeanCoverage
	}}
}

// extraExecutions returns the relative increase of upstream executions per request from
// the steady phase to the fault phase; 0.05 means 5% more.
func extraExecutions(o *outcome) float64 {
	return ratio(o.phase(phaseFault).ExecutionsPerRequest, o.phase(phaseSteady).ExecutionsPerRequest) - 1
}

// floodScenario raises the load of one priority to floodFactor times the capacity. The
// most urgent priority has the number 0.
func floodScenario(name string, floodingPriority int) scenario {
	faultLoad := steadyLoad
	faultLoad[floodingPriority] = floodFactor
	s := scenario{name: name, faultLoad: faultLoad}
	if floodingPriority == 2 {
		s.aims = []aim{
			{text: "share of the most urgent within target", limit: 0.99, atLeast: true, measure: func(o *outcome) float64 {
				return o.stream(phaseFault, 0).OnTargetShare
			}},
			{text: "middle priority's success relative to its demand or guaranteed share", limit: 1, atLeast: true, measure: func(o *outcome) float64 {
				return o.successOverDemandOrShare(1)
			}},
		}
		return s
	}
	s.aims = []aim{
		{text: "middle priority's success relative to its demand or guaranteed share", limit: 0.95, atLeast: true, measure: func(o *outcome) float64 {
			return o.successOverDemandOrShare(1)
		}},
		{text: "least urgent's success relative to its demand or guaranteed share", limit: 0.95, atLeast: true, measure: func(o *outcome) float64 {
			return o.successOverDemandOrShare(2)
		}},
		{text: "goodput relative to nominal capacity", limit: 0.9, atLeast: true, measure: (*outcome).goodput},
		{text: "goodput relative to capacity at the logged service times", limit: 0.9, atLeast: true, measure: (*outcome).goodputAtLoggedTimes},
	}
	return s
}

// lostShardScenario crashes all replicas of some shards.
func lostShardScenario() scenario {
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

// instanceScenario returns a scenario with a fault of one instance.
func instanceScenario(name string, fault, undo func(context.Context, *deployment) error) scenario {
	return scenario{
		name:      name,
		faultLoad: steadyLoad,
		fault:     fault,
		undo:      undo,
		afterMS:   phaseMS,
		orders:    true,
		aims: []aim{
			violationsAim(),
			{text: "seconds until the most urgent is back to 95% within target", limit: 3, measure: func(o *outcome) float64 {
				return o.recoverySeconds(0, 0.95)
			}},
		},
	}
}

// rolloutScenario restarts all instances, one after another.
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
			violationsAim(),
			{text: "restarts of instances that did not end cleanly (1: at least one)", limit: 0, measure: (*outcome).uncleanRollout},
			{text: "requests cut off (connection errors) during a restart of all instances", limit: 0, measure: (*outcome).requestsWithoutAnswer},
			{text: "share of the most urgent within target", limit: 0.99, atLeast: true, measure: func(o *outcome) float64 {
				return o.stream(phaseAfter, 0).OnTargetShare
			}},
		},
	}
}

// leavingUpstreamScenario makes one upstream signal that it is draining.
func leavingUpstreamScenario() scenario {
	return scenario{
		name:      "upstream-leaving",
		faultLoad: steadyLoad,
		fault: func(ctx context.Context, d *deployment) error {
			d.leavingSince = time.Now()
			return d.upstreamHost.SetFaults(ctx, d.upstreamName(0), map[string]any{"draining": true})
		},
		aims: []aim{
			{text: "executions on the leaving upstream from 3 s after the first sign", limit: 0, measure: func(o *outcome) float64 {
				return float64(o.executionsAfterLeaving)
			}},
			meanCoverageAim(),
		},
	}
}

const (
	ordersPerSecond = 10
	// orderResends is the largest number of times that a caller sends an order again,
	// after a send without an answer or after a refusal with a next ticket.
	orderResends = 3
)

// orderStream returns a stream of orders of the middle priority, which act on the
// service's shards in turn.
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
		MaxResends: orderResends,
	}
	for _, id := range s.ShardIDs() {
		out.Shards = append(out.Shards, string(id))
	}
	return out
}

// steadyStreams returns the streams of the service's steady load. Each has the name of
// its priority.
func steadyStreams(s launch.Service, factor float64) []load.Stream {
	out := load.QueryStreams(s, steadyShares(factor)...)
	for n := range out {
		out[n].Name = out[n].Priority
	}
	return out
}

// steadyShares returns the steady load multiplied by the factor, by priority, as
// fractions of the capacity.
func steadyShares(factor float64) []float64 {
	shares := make([]float64, 0, len(steadyLoad))
	for _, share := range steadyLoad {
		shares = append(shares, share*factor)
	}
	return shares
}

// selectServices returns the services that the scenario uses, out of the customer's list.
func (s scenario) selectServices(all []launch.Service) []launch.Service {
	if len(s.services) == 0 {
		return all[:1]
	}
	out := make([]launch.Service, 0, len(s.services))
	for _, n := range s.services {
		out = append(out, all[n])
	}
	return out
}

// lengthOrDefault returns the length of the steady phase and of the fault phase in ms.
func (s scenario) lengthOrDefault() int {
	if s.lengthMS > 0 {
		return s.lengthMS
	}
	return phaseMS
}

// faultStart returns the time from the start of a run to the start of the fault phase.
func (s scenario) faultStart() time.Duration {
	return time.Duration(warmupMS+s.lengthOrDefault()) * time.Millisecond
}

// phases returns the phases of a run, with the rates of the fault phase.
func (s scenario) phases(service launch.Service, capacity float64) []load.Phase {
	rates := make(map[string]float64)
	for n, p := range service.Priorities {
		rates[p.Name] = capacity * s.faultLoad[n]
	}
	if s.sendsCrashingRequest {
		rates[crashingStreamName] = crashingPerSecond
	}
	out := []load.Phase{
		{Name: phaseWarmup, DurationMS: warmupMS},
		{Name: phaseSteady, DurationMS: s.lengthOrDefault()},
		{Name: phaseFault, DurationMS: s.lengthOrDefault(), Rates: rates},
	}
	if s.afterMS > 0 {
		out = append(out, load.Phase{Name: phaseAfter, DurationMS: s.afterMS})
	}
	return out
}
