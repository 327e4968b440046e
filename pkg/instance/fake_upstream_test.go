package instance

import (
	"context"
	"encoding/json"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// drainMode is how an upstream itself shows that it is leaving.
type drainMode int

const (
	notDraining drainMode = iota
	// drainRefusing means that the upstream refuses new work with a reply marked as
	// draining and reports draining in its status.
	drainRefusing
	// drainMarking means that the upstream serves new work, marks its replies as
	// draining and reports draining in its status.
	drainMarking
)

// fakeUpstream is an upstream with slots, a connection limit and snapshots. mu
// guards the fields below it.
type fakeUpstream struct {
	sim  *simulation
	spec document.Upstream
	mu   sync.Mutex
	rng  *mathrand.Rand
	down bool
	// broken is closed and replaced when the upstream breaks all its connections.
	broken        chan struct{}
	running       int
	connections   int
	snapshots     map[model.SnapshotID]bool
	slowFactor    float64
	drainMode     drainMode
	drainingSince time.Time
	// upSince is when the upstream last came back after it was down.
	upSince   time.Time
	lastReply port.UpstreamReply
}

// upstreamPort implements port.Upstreams for one process.
type upstreamPort struct{ process *process }

// payload is the payload of callers' requests. Tag identifies the request, and an
// upstream that runs a request with Crash goes down.
type payload struct {
	Tag   string `json:"tag"`
	Crash bool   `json:"crash,omitempty"`
}

// fakeResult is the result that upstreams return.
type fakeResult struct {
	Tag      string           `json:"tag"`
	Shard    model.ShardID    `json:"shard"`
	Snapshot model.SnapshotID `json:"snapshot"`
}

func (c upstreamPort) Execute(ctx context.Context, call port.UpstreamCall) port.UpstreamReply {
	p, sim := c.process, c.process.sim
	if !p.awaitRunning() || ctx.Err() != nil {
		return port.UpstreamReply{Code: result.Cancelled, Ran: model.NotRun}
	}
	if time.Until(call.Deadline) < time.Millisecond {
		return port.UpstreamReply{Code: result.DeadlineExceeded, Ran: model.NotRun}
	}
	upstream := sim.upstreams[call.Address]
	broken := upstream.connect(p, call)
	if broken == nil {
		time.Sleep(time.Millisecond)
		p.awaitRunning()
		return port.UpstreamReply{Code: result.ConnectFailed, Ran: model.NotRun}
	}
	defer upstream.disconnect(p)
	sim.recordDispatch(p, call)
	reply := make(chan port.UpstreamReply, 1)
	cancelled := make(chan struct{})
	go upstream.serve(p, call, broken, cancelled, reply)
	r := port.UpstreamReply{Code: result.NoAnswerInTime}
	select {
	case r = <-reply:
	case <-broken:
		r = port.UpstreamReply{Code: result.UpstreamLost, ConnectionBroken: true}
	case <-ctx.Done():
		r.Code = result.CancelledWhileRun
	case <-time.After(time.Until(call.Deadline)):
	case <-p.dead:
	}
	close(cancelled)
	p.awaitRunning()
	if r.ConnectionBroken {
		sim.recordBrokenConnection(p, call)
	}
	return r
}

// connect counts a connection for the call and checks the connection limits. It
// returns the channel that is closed when the connection breaks, or nil if the
// upstream is down.
func (u *fakeUpstream) connect(p *process, call port.UpstreamCall) chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return nil
	}
	u.connections++
	p.mu.Lock()
	p.upstreamCalls[call.Upstream]++
	callsOfSender := p.upstreamCalls[call.Upstream]
	p.mu.Unlock()
	u.sim.check("connections", u.connections <= u.spec.ConnectionLimit, "%d calls to %s, limit %d", u.connections, call.Upstream, u.spec.ConnectionLimit)
	u.sim.check("connections per instance", callsOfSender <= call.MaxConnections, "%d calls of one instance to %s, share %d", callsOfSender, call.Upstream, call.MaxConnections)
	return u.broken
}

func (u *fakeUpstream) disconnect(p *process) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.killed { // The connections of a killed process broke when it was killed.
		u.connections--
		p.upstreamCalls[u.spec.Name]--
	}
}

// closeConnectionsOf frees the connections of a killed process.
func (u *fakeUpstream) closeConnectionsOf(p *process) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	u.connections -= p.upstreamCalls[u.spec.Name]
	p.upstreamCalls[u.spec.Name] = 0
}

// serve handles a call at the upstream. A delayed request is run even if the
// instance that sent it has cancelled it by then.
func (u *fakeUpstream) serve(sender *process, call port.UpstreamCall, broken, cancelled chan struct{}, reply chan port.UpstreamReply) {
	sim, faults := u.sim, u.sim.currentMessageFaults()
	time.Sleep(sim.networkDelay())
	if sim.chance(faults.delayed / 4) {
		time.Sleep(sim.randomBetween(10*time.Millisecond, time.Second))
	} else {
		select {
		case <-cancelled:
			return
		default:
		}
	}
	r, admitted := u.admit(sender, call, broken)
	if admitted {
		u.execute(sender, call, broken, cancelled)
		r = u.finishCall(u.maybeMisrouteCall(faults, call), broken)
	}
	if sim.chance(faults.lost / 4) {
		return
	}
	u.mu.Lock()
	if r.Code == result.OK {
		u.lastReply, r = r, u.maybeMisrouteReply(faults, r)
	}
	u.mu.Unlock()
	reply <- r
}

// maybeMisrouteCall appends a digit to the call's shard id, and replaces its snapshot
// by one that the upstream holds, each with the probability faults.misrouted. The
// reply then names that shard or snapshot.
func (u *fakeUpstream) maybeMisrouteCall(faults messageFaults, call port.UpstreamCall) port.UpstreamCall {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rng.Float64() < faults.misrouted {
		call.Shard += "0"
	}
	for id := range u.snapshots {
		if u.rng.Float64() < faults.misrouted {
			call.Snapshot = id
		}
	}
	return call
}

// maybeMisrouteReply replaces, with the probability faults.misrouted, a reply by the
// reply to an earlier request. It must be called with u.mu locked.
func (u *fakeUpstream) maybeMisrouteReply(faults messageFaults, r port.UpstreamReply) port.UpstreamReply {
	if u.lastReply.Code != 0 && u.rng.Float64() < faults.misrouted {
		return u.lastReply
	}
	return r
}

// admit decides whether the upstream runs the call. If so, it returns true, records
// the execution and checks that the upstream has not been leaving for longer than
// leavingBound. If not, it returns the refusal.
func (u *fakeUpstream) admit(sender *process, call port.UpstreamCall, broken chan struct{}) (port.UpstreamReply, bool) {
	listed, leaving := u.sim.platform.listedSince(call.Address)
	u.mu.Lock()
	defer u.mu.Unlock()
	reply := port.UpstreamReply{Ran: model.NotRun, Attempt: call.Attempt, Shard: call.Shard, Snapshot: call.Snapshot, Draining: u.drainMode != notDraining}
	switch {
	case u.broken != broken || u.down:
		return port.UpstreamReply{Code: result.UpstreamLost, ConnectionBroken: true}, false
	case u.drainMode == drainRefusing:
		reply.Code = result.UpstreamDraining
	case !u.snapshots[call.Snapshot]:
		reply.Code = result.SnapshotMissing
	case u.running >= u.spec.Slots:
		reply.Code = result.UpstreamShed
	default:
		u.running++
		u.sim.recordExecution(sender, call)
		u.sim.check("leaving listed", !leaving || time.Since(listed) <= leavingBound, "%s runs on %s listed as leaving since %s", call.Attempt, u.spec.Name, time.Since(listed))
		shown := u.drainVisibleSince()
		u.sim.check("leaving drains", u.drainMode == notDraining || time.Since(shown) <= leavingBound, "%s runs on %s draining since %s", call.Attempt, u.spec.Name, time.Since(shown))
		return reply, true
	}
	return reply, false
}

// drainVisibleSince returns the time since which instances have been able to see that
// the upstream is draining. They can't see it while the upstream is down. It must be
// called with u.mu locked.
func (u *fakeUpstream) drainVisibleSince() time.Time {
	if u.upSince.After(u.drainingSince) {
		return u.upSince
	}
	return u.drainingSince
}

// execute waits for the random running time of the call, or until its connection
// breaks or it is cancelled. Then it takes the upstream down if the payload has Crash
// set.
func (u *fakeUpstream) execute(sender *process, call port.UpstreamCall, broken, cancelled chan struct{}) {
	u.mu.Lock()
	d := time.Duration((2 + u.rng.ExpFloat64()*4) * u.slowFactor * float64(time.Millisecond))
	u.mu.Unlock()
	select {
	case <-time.After(d):
	case <-broken:
	case <-cancelled:
	}
	if decodePayload(call.Payload).Crash {
		u.sim.recordCrash(u, sender, call, broken)
	}
}

func (u *fakeUpstream) finishCall(call port.UpstreamCall, broken chan struct{}) port.UpstreamReply {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.broken != broken {
		return port.UpstreamReply{Code: result.UpstreamLost, ConnectionBroken: true}
	}
	u.running--
	content, _ := json.Marshal(fakeResult{decodePayload(call.Payload).Tag, call.Shard, call.Snapshot})
	return port.UpstreamReply{
		Code: result.OK, Ran: model.Ran, Attempt: call.Attempt, Shard: call.Shard, Snapshot: call.Snapshot,
		Result: content, Draining: u.drainMode != notDraining,
	}
}

// breakConnections takes the upstream down and breaks all its connections; it comes
// back after d with nothing running. If broken is not nil, it must be the channel
// that connect returned. breakConnections returns false and does nothing if the
// upstream is down or its connections have been broken since that call of connect.
func (u *fakeUpstream) breakConnections(broken chan struct{}, d time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down || broken != nil && u.broken != broken {
		return false
	}
	u.down, u.running = true, 0
	close(u.broken)
	u.broken = make(chan struct{})
	time.AfterFunc(d, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.down, u.upSince = false, time.Now()
	})
	return true
}

// Warm implements port.Upstreams. It does nothing: the fake counts calls in flight
// as connections, and opening one takes no time.
func (c upstreamPort) Warm(string, int) {}

// Retain implements port.Upstreams. It does nothing, since calls hold no idle
// connections.
func (c upstreamPort) Retain(map[string]bool) {}

func (c upstreamPort) Status(ctx context.Context, address string) (port.UpstreamStatus, error) {
	if !c.process.awaitRunning() {
		return port.UpstreamStatus{}, errPlatformDown
	}
	u := c.process.sim.upstreams[address]
	time.Sleep(c.process.sim.networkDelay())
	u.mu.Lock()
	s := port.UpstreamStatus{Healthy: true, Draining: u.drainMode != notDraining, InFlight: u.running, Slots: u.spec.Slots}
	for id := range u.snapshots {
		s.Snapshots = append(s.Snapshots, id)
	}
	down := u.down
	u.mu.Unlock()
	c.process.awaitRunning()
	if down || ctx.Err() != nil {
		return port.UpstreamStatus{}, errPlatformDown
	}
	return s, nil
}

func decodePayload(content []byte) payload {
	var p payload
	_ = json.Unmarshal(content, &p)
	return p
}

func (sim *simulation) recordExecution(sender *process, call port.UpstreamCall) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.executions = append(sim.executions, execution{time.Now(), decodePayload(call.Payload).Tag, call.Shard, call.Snapshot, call.Upstream, sender, call.OrderKey})
}

// crashRecordFor returns the record of a crashing request at its home, or nil if
// the call's payload does not crash upstreams. It must be called with sim.mu locked.
func (sim *simulation) crashRecordFor(sender *process, call port.UpstreamCall) *crashRecord {
	p := decodePayload(call.Payload)
	if !p.Crash {
		return nil
	}
	key := crashKey{sender, p.Tag}
	if sim.crashRecords[key] == nil {
		sim.crashRecords[key] = &crashRecord{sentBeforeCrashKnown: make(map[string]bool)}
	}
	return sim.crashRecords[key]
}

// recordDispatch records that the home sent a crashing request to the call's
// upstream, unless a call for that request has already ended with a broken
// connection.
func (sim *simulation) recordDispatch(sender *process, call port.UpstreamCall) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if r := sim.crashRecordFor(sender, call); r != nil && !r.crashKnown {
		r.sentBeforeCrashKnown[call.Upstream] = true
	}
}

// recordBrokenConnection records that a call for a crashing request ended with a
// broken connection. From then on, the home knows of a crash.
func (sim *simulation) recordBrokenConnection(sender *process, call port.UpstreamCall) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if r := sim.crashRecordFor(sender, call); r != nil {
		r.crashKnown = true
	}
}

// recordCrash takes the upstream down, counts the crash in the request's record at
// its home, and checks the count. The request may crash the upstreams to which the
// home sent it before the home knew of a crash, and at most one more.
func (sim *simulation) recordCrash(u *fakeUpstream, sender *process, call port.UpstreamCall, broken chan struct{}) {
	if !u.breakConnections(broken, sim.randomBetween(500*time.Millisecond, 3*time.Second)) {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	r := sim.crashRecordFor(sender, call)
	r.crashes++
	sim.checkCounts["crash request"]++
	if r.crashes > len(r.sentBeforeCrashKnown)+1 {
		sim.recordViolationLocked("crash request", "%s took down %d upstreams; its home had sent it to %d before it learned of a crash", decodePayload(call.Payload).Tag, r.crashes, len(r.sentBeforeCrashKnown))
	}
}
