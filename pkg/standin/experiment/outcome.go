package experiment

import (
	"math"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

// outcome is the result of one scenario with one program.
type outcome struct {
	scenario               scenario
	service                launch.Service
	capacity               float64
	report                 load.Report
	executionsAfterLeaving int
	// crashes is the number of executions of the request that crashes upstreams.
	crashes int
	change  documentChange
	// invariants counts the violations that the instances found themselves, by
	// name. Those of ended processes are lost.
	invariantViolations map[string]float64
	// rolloutErr says which instances did not stop or start cleanly.
	rolloutErr error
	// meanService is the mean duration of executions, as the upstreams logged.
	meanServiceTime time.Duration
	// faultAttempts is the number of upstream attempts by kind from the start of
	// the fault to the end of the run, from the instances' metrics.
	faultAttempts map[string]float64
}

func (o *outcome) phase(name string) load.PhaseReport {
	for _, p := range o.report.Phases {
		if p.Name == name {
			return p
		}
	}
	return load.PhaseReport{}
}

// stream returns the report of the n-th priority in a phase.
func (o *outcome) stream(phase string, n int) load.StreamReport {
	p := o.phase(phase)
	if n >= len(p.Streams) {
		return load.StreamReport{}
	}
	return p.Streams[n]
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return math.NaN()
	}
	return a / b
}

// demandOrShare is what a priority is due in the fault phase: its demand, or
// its guaranteed share of capacity if that is less, in queries.
func (o *outcome) demandOrGuaranteedShare(n int) float64 {
	seconds := float64(o.phase(phaseFault).DurationMS) / 1000
	share := o.service.Priorities[n].GuaranteedShare * o.capacity * seconds
	return min(share, float64(o.stream(phaseFault, n).Requests))
}

// keptShare is the successful answers of a priority relative to what it is due.
func (o *outcome) successOverDemandOrShare(n int) float64 {
	return ratio(float64(o.stream(phaseFault, n).Success), o.demandOrGuaranteedShare(n))
}

// goodput is the successful answers of all priorities relative to capacity.
func (o *outcome) goodput() float64 {
	success := 0
	p := o.phase(phaseFault)
	for _, s := range p.Streams {
		success += s.Success
	}
	return ratio(float64(success), o.capacity*float64(p.DurationMS)/1000)
}

// goodputOfMeasured is the goodput relative to the capacity at the mean service
// time that the upstreams logged. Timers of the stand-ins overshoot by some
// tenths of a millisecond, so that it is below the nominal capacity.
func (o *outcome) goodputAtLoggedTimes() float64 {
	slots := float64(o.service.Upstreams * o.service.Slots)
	capacity := slots / o.meanServiceTime.Seconds() / float64(o.service.Shards)
	return o.goodput() * o.capacity / capacity
}

// answeredShare is the share of a priority's requests that got an answer of any
// code, so neither a connection error nor silence.
func (o *outcome) answeredShare(phase string, n int) float64 {
	s := o.stream(phase, n)
	lost := withoutAnswer(s)
	return ratio(float64(s.Requests-lost), float64(s.Requests))
}

// withoutAnswer counts requests whose connection broke or that got no answer in
// the time that the caller waits.
func withoutAnswer(s load.StreamReport) int {
	return s.Codes[load.CodeTransportError] + s.Codes[load.CodeCallerTimeout]
}

// cutOff is the number of requests that ended without an answer from the start
// of the fault on.
func (o *outcome) requestsWithoutAnswer() float64 {
	total := 0
	for _, name := range []string{phaseFault, phaseAfter} {
		for _, s := range o.phase(name).Streams {
			total += withoutAnswer(s)
		}
	}
	return float64(total)
}

// uncleanRollout is 1 if an instance did not stop or start cleanly.
func (o *outcome) uncleanRollout() float64 {
	if o.rolloutErr != nil {
		return 1
	}
	return 0
}

// recovery is the time in seconds from the start of the fault phase until the
// share within target of a priority stays at the level or above.
func (o *outcome) recoverySeconds(n int, level float64) float64 {
	series := o.report.Windows[n]
	first := int(o.scenario.faultStart().Milliseconds()) / series.WindowMS
	last := first - 1
	for w := first; w < len(series.Windows); w++ {
		win := series.Windows[w]
		if win.Requests > 0 && float64(win.OnTarget) < level*float64(win.Requests) {
			last = w
		}
	}
	return float64((last-first+1)*series.WindowMS) / 1000
}
