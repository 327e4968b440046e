package soak

import (
	"fmt"
	"sync"
	"time"
)

// request is a request of a caller, as the caller saw it.
type request struct {
	id, gateway string
	route       routeSpec
	method      string
	target      string
	body        string
	timeBudget  time.Duration
	// sent is when the last byte was written, ended when the answer was complete
	// or the connection failed, and abandoned when the caller closed the connection
	// without waiting for the answer.
	sent, ended, abandoned time.Time
	// reusedConn is true for a request on a connection that had been used before.
	reusedConn bool
	// lateInStop is true for a request that is sent to a gateway although it is stopping.
	lateInStop bool
	// status is zero without a complete answer.
	status  int
	failure string
}

// execution is an attempt of a request that reached an upstream.
type execution struct {
	id, upstream, service string
	dataCentre            string
	arrived, finished     time.Time
	// timeBudget is the time that the gateway gave the upstream; negative if it
	// stated none.
	timeBudget time.Duration
	// ran is false if the upstream declined the request.
	ran bool
	// cancelled is true if the connection closed while the upstream worked.
	cancelled bool
	// answerBroken is true if the upstream broke the connection before its answer
	// was complete.
	answerBroken bool
	status       int
	signature    string
	body         string
}

// configVersion is a version of the configuration that the operator wrote.
type configVersion struct {
	number uint64
	// sent is a time before the write to the store, and acked one after it.
	sent, acked time.Time
	// services holds the services of each route by the route's prefix, shards
	// included; shards holds only the shards of each route.
	services map[string][]string
	shards   map[string][]string
}

// ledger records what callers, upstreams and the operator see, which faults were
// active, and what the checks found.
type ledger struct {
	mu                    sync.Mutex
	requests              map[string]*request
	executions            map[string][]*execution
	executionsBySignature map[string]*execution
	versions              []configVersion
	// withdrawn holds the time at which the store acknowledged that an upstream
	// drains or is gone, by the upstream's id.
	withdrawn      map[string]time.Time
	faultIntervals []interval
	evacuations    []evacuation
	healthChecks   []healthCheck
	coldPeriods    []coldPeriod
	// launches holds the times at which processes of gateways started.
	launches   []time.Time
	violations []string
	// checkTotals holds how often each check was made, and faultTotals how often each
	// fault was injected.
	checkTotals map[string]int
	faultTotals map[string]int
}

// interval is a time in which a fault was active or planned work went on.
type interval struct {
	from, to time.Time
	// upstreamsOnly is true for faults of upstreams and callers, under which the
	// instances must still keep their time bounds.
	upstreamsOnly bool
	// planned is true for planned work, during which no request may lose its answer.
	planned bool
	// rollback is true for a rollback of the store, until everything is written again.
	rollback bool
	target   string
}

func newLedger() *ledger {
	return &ledger{
		requests: make(map[string]*request), executions: make(map[string][]*execution), executionsBySignature: make(map[string]*execution),
		withdrawn: make(map[string]time.Time), checkTotals: make(map[string]int), faultTotals: make(map[string]int),
	}
}

// addViolation records a violation of a check. The caller holds the lock.
func (l *ledger) addViolation(rule, format string, args ...any) {
	l.violations = append(l.violations, rule+": "+fmt.Sprintf(format, args...))
}

// countCheck counts that a check was made. The caller holds the lock.
func (l *ledger) countCheck(rule string) { l.checkTotals[rule]++ }

func (l *ledger) recordRequest(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

// recordArrival records an execution, and a violation if no caller sent such a
// request.
func (l *ledger) recordArrival(e *execution, method, target, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[e.id] = append(l.executions[e.id], e)
	r := l.requests[e.id]
	l.countCheck("unasked")
	if r == nil {
		l.addViolation("unasked", "upstream %s got request %q, which no caller sent", e.upstream, e.id)
		return
	}
	if r.method != method || r.target != target || r.body != body {
		l.addViolation("unasked", "upstream %s got request %s as %s %s with a body of %d bytes", e.upstream, e.id, method, target, len(body))
	}
}

// recordProgress calls set, which changes the execution, and records the present time
// as the end of the execution. A later call replaces that end.
func (l *ledger) recordProgress(e *execution, set func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set()
	e.finished = time.Now()
	if e.signature != "" {
		l.executionsBySignature[e.signature] = e
	}
}

func (l *ledger) recordWithdrawal(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.withdrawn[upstream]; !known {
		l.withdrawn[upstream] = time.Now()
	}
}

func (l *ledger) recordLaunch(when time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.launches = append(l.launches, when)
}

func (l *ledger) addFaultInterval(i interval) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faultIntervals = append(l.faultIntervals, i)
}

// recoveryTime is the time after the end of a fault in which the checks still treat
// it as active. They check no time bounds then.
const recoveryTime = 4 * time.Second

// noSystemFault reports whether no fault of an instance, a link or the store was
// active at any time from recoveryTime before the time from until the time to. The
// caller holds the lock.
func (l *ledger) noSystemFault(from, to time.Time) bool {
	for _, i := range l.faultIntervals {
		if !i.upstreamsOnly && !i.planned && i.from.Before(to) && i.to.After(from.Add(-recoveryTime)) {
			return false
		}
	}
	return true
}

// noFault is like noSystemFault, but also counts faults of upstreams and callers. The
// caller holds the lock.
func (l *ledger) noFault(from, to time.Time) bool {
	for _, i := range l.faultIntervals {
		if !i.planned && i.from.Before(to) && i.to.After(from.Add(-recoveryTime)) {
			return false
		}
	}
	return true
}

// inPlannedStop reports whether a planned stop of the instance was in progress at the
// given time. The caller holds the lock.
func (l *ledger) inPlannedStop(gateway string, when time.Time) bool {
	for _, i := range l.faultIntervals {
		if i.planned && i.target == gateway && !when.Before(i.from) && when.Before(i.to) {
			return true
		}
	}
	return false
}
