package experiment

import (
	"math"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

// outcome holds what was measured in one run of a scenario with one program. The
// methods compute the figures that are compared with the aims.
type outcome struct {
	scenario               scenario
	service                launch.Service
	capacity               float64
	report                 load.Report
	executionsAfterLeaving int
	// crashes is the number of executions of the request that crashes upstreams.
	crashes int
	change  documentChange
	// invariantViolations counts the broken invariants that instances found
	// themselves, by the invariant's name. The counts of processes that ended are
	// lost.
	invariantViolations map[string]float64
	// rolloutErr names the instances that did not stop or start cleanly during a
	// rolling restart. It is nil if all did.
	rolloutErr error
	// meanServiceTime is the mean duration of the executions in the upstreams' log.
	meanServiceTime time.Duration
	// faultAttempts is the number of upstream attempts by kind from the start of
	// the fault to the end of the run, from the instances' metrics.
	faultAttempts map[string]float64
}

// phase returns the load report of the phase with the name.
func (o *outcome) phase(name string) load.PhaseReport {
	for _, p := range o.report.Phases {
		if p.Name == name {
			return p
		}
	}
	return load.PhaseReport{}
}

// stream returns the load report of the n-th priority in a phase. The most urgent
// priority has the number 0.
func (o *outcome) stream(phase string, n int) load.StreamReport {
	p := o.phase(phase)
	if n >= len(p.Streams) {
		return load.StreamReport{}
	}
	return p.Streams[n]
}

// ratio returns a divided by b, or NaN if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return math.NaN()
	}
	return a / b
}

// demandOrGuaranteedShare returns the number of queries that the product must serve
// for a priority in the fault phase: its demand, or its guaranteed share of the
// capacity if that is less.
func (o *outcome) demandOrGuaranteedShare(n int) float64 {
	seconds := float64(o.phase(phaseFault).DurationMS) / 1000
	share := o.service.Priorities[n].GuaranteedShare * o.capacity * seconds
	return min(share, float64(o.stream(phaseFault, n).Requests))
}

// successOverDemandOrShare returns the number of successful answers of a priority in
// the fault phase, divided by the result of demandOrGuaranteedShare.
func (o *outcome) successOverDemandOrShare(n int) float64 {
	return ratio(float64(o.stream(phaseFault, n).Success), o.demandOrGuaranteedShare(n))
}

// goodput returns the number of successful answers of all priorities in the fault
// phase, divided by the number that the capacity allows.
func (o *outcome) goodput() float64 {
	success := 0
	p := o.phase(phaseFault)
	for _, s := range p.Streams {
		success += s.Success
	}
	return ratio(float64(success), o.capacity*float64(p.DurationMS)/1000)
}

// goodputAtLoggedTimes returns the goodput relative to the capacity at the mean
// service time that the upstreams logged. This capacity is below the nominal one,
// because timers of the stand-ins end some tenths of a millisecond late.
func (o *outcome) goodputAtLoggedTimes() float64 {
	slots := float64(o.service.Upstreams * o.service.Slots)
	capacity := slots / o.meanServiceTime.Seconds() / float64(o.service.Shards)
	return o.goodput() * o.capacity / capacity
}

// answeredShare returns the share of a priority's requests that withoutAnswer does not
// count: those with an answer of any result code, and those that the load generator
// could not send.
func (o *outcome) answeredShare(phase string, n int) float64 {
	s := o.stream(phase, n)
	unanswered := withoutAnswer(s)
	return ratio(float64(s.Requests-unanswered), float64(s.Requests))
}

// withoutAnswer returns the number of requests whose connection failed, whose response
// was not valid, or that got no answer within the caller timeout. It does not count
// submitted orders without an answer, which have the code "order_open".
func withoutAnswer(s load.StreamReport) int {
	return s.Codes[load.CodeTransportError] + s.Codes[load.CodeCallerTimeout]
}

// requestsWithoutAnswer returns the number that withoutAnswer counts in all streams from
// the start of the fault on.
func (o *outcome) requestsWithoutAnswer() float64 {
	total := 0
	for _, name := range []string{phaseFault, phaseAfter} {
		for _, s := range o.phase(name).Streams {
			total += withoutAnswer(s)
		}
	}
	return float64(total)
}

// uncleanRollout returns 1 if an instance did not stop or start cleanly during a
// rolling restart, and otherwise 0.
func (o *outcome) uncleanRollout() float64 {
	if o.rolloutErr != nil {
		return 1
	}
	return 0
}

// recoverySeconds returns the time from the start of the fault phase to the end of the
// last window in which less than the given share of the n-th priority's requests were
// answered within target. It is 0 if there is no such window.
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
