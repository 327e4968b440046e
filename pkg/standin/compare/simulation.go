package compare

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/placement"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/query"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

const (
	// maxInstances is the default of the setting max_instances.
	maxInstances = 10
	// killDetectionDelay and pauseDetectionDelay are the times from the kill or
	// pause of an instance until the other instances avoid it. returnDelay is the
	// time from its resumption until they use it again.
	killDetectionDelay  = time.Millisecond
	pauseDetectionDelay = 600 * time.Millisecond
	returnDelay         = time.Second
	// leaseCheckInterval is how often a home checks that the instance to which it
	// lent a slot still runs.
	leaseCheckInterval = 200 * time.Millisecond
)

// instance acts as an entry and, if it has a scheduler, as a home.
type instance struct {
	id         model.InstanceID
	dataCentre model.DataCentre
	sched      *scheduler.Scheduler
	wakeAt     time.Time
	// idleConnections counts the open connections without a call, by upstream.
	idleConnections map[string]int
	down            bool
	paused          bool
	// deferred holds the messages that arrived while the instance was paused.
	deferred []func()
	// requests maps the ids of the group requests that this home handles to
	// their queries.
	requests map[model.AttemptID]*simulatedQuery
}

// simulatedQuery is the state of a query from its arrival to its answer.
type simulatedQuery struct {
	number          int
	arrivedAt       time.Time
	priority        int
	entry           *instance
	state           *query.Query
	home            *instance
	groupRequestID  model.AttemptID
	attemptsByShard map[model.ShardID]int
	done            bool
	// answered is the number of shards that the answer covers, and total is the number
	// of all shards.
	answered int
	total    int
	latency  time.Duration
}

// simulation is one run of a variant in virtual time.
type simulation struct {
	clock
	size    size
	variant variant
	seed    uint64
	doc     *document.Document
	// homeDoc is the document that the schedulers use. The variant may have
	// changed it.
	homeDoc *document.Document
	rand    *rand.Rand
	// byName holds the upstreams by name.
	byName    map[string]*simulatedUpstream
	upstreams []*simulatedUpstream
	instances []*instance
	// homeOrder holds the instances in the rendezvous order of the group. The
	// first one that is not believed lost is the home.
	homeOrder []*instance
	// believedLost holds the instances that the others avoid.
	believedLost map[*instance]bool
	// If memberListsDiffer is set, every second entry uses a member list that
	// lacks the first instance of homeOrder.
	memberListsDiffer bool
	queries           []*simulatedQuery
	calls             map[model.AttemptID]*call

	firstAttempts, hedges, retries, shedCalls int
	brokenInvariants                          []string
}

func newSimulation(s size, v variant, seed uint64) *simulation {
	sim := &simulation{
		clock: newClock(),
		size:  s, variant: v, seed: seed,
		doc:          s.document(),
		homeDoc:      s.document(),
		rand:         rand.New(rand.NewPCG(seed, 2)),
		byName:       make(map[string]*simulatedUpstream),
		believedLost: make(map[*instance]bool),
		calls:        make(map[model.AttemptID]*call),
	}
	if v.changeDocument != nil {
		v.changeDocument(sim.homeDoc)
	}
	for i, u := range sim.doc.Upstreams {
		simulated := &simulatedUpstream{name: u.Name, dataCentre: s.dataCentre(i), slots: u.Slots, queueLimit: u.Slots, slowdown: 1}
		sim.byName[u.Name] = simulated
		sim.upstreams = append(sim.upstreams, simulated)
	}
	sim.startInstances()
	return sim
}

func (sim *simulation) startInstances() {
	var members []membership.Member
	byID := make(map[model.InstanceID]*instance)
	for i := range sim.size.instances {
		inst := &instance{
			id:              model.InstanceID(fmt.Sprintf("i%d", i)),
			dataCentre:      sim.size.dataCentre(i),
			idleConnections: make(map[string]int),
			requests:        make(map[model.AttemptID]*simulatedQuery),
		}
		sim.instances = append(sim.instances, inst)
		byID[inst.id] = inst
		members = append(members, membership.Member{ID: inst.id, DataCentre: inst.dataCentre})
	}
	for _, id := range placement.Homes(sim.doc.Groups()[0], members, len(members)) {
		sim.homeOrder = append(sim.homeOrder, byID[id])
	}
	for i, inst := range sim.homeOrder {
		if i == 0 || sim.variant.scheduling == byEachInstance {
			sim.startScheduler(inst)
			sim.openConnections(inst)
		}
	}
}

func (sim *simulation) startScheduler(inst *instance) {
	inst.sched = scheduler.New(scheduler.Config{
		Document: sim.homeDoc, Group: sim.homeDoc.Groups()[0], LocalDataCentre: inst.dataCentre,
		MaxInstances: maxInstances, NewID: sim.newID, Rand: sim.rand, Overrides: sim.variant.overrides(sim),
	}, sim.now)
}

// openConnections opens one idle connection per slot to each upstream.
func (sim *simulation) openConnections(inst *instance) {
	for _, u := range sim.upstreams {
		inst.idleConnections[u.name] = u.slots
	}
}

func (sim *simulation) newID() model.AttemptID {
	var id model.AttemptID
	for i := 0; i < len(id); i += 8 {
		v := sim.rand.Uint64()
		for j := range 8 {
			id[i+j] = byte(v >> (8 * j))
		}
	}
	return id
}

// deliver makes an instance handle a message by calling f: at once, or if it is
// paused, when it resumes. It never calls f if the instance was killed.
func (sim *simulation) deliver(inst *instance, f func()) {
	switch {
	case inst.down:
	case inst.paused:
		inst.deferred = append(inst.deferred, f)
	default:
		f()
	}
}

// send delivers a message f to an instance after the one-way delay from the given
// data centre.
func (sim *simulation) send(from model.DataCentre, to *instance, f func()) {
	sim.after(oneWayDelay(from, to.dataCentre), func() { sim.deliver(to, f) })
}

// sendBetween is like send, but a message from an instance to itself has no
// delay.
func (sim *simulation) sendBetween(from, to *instance, f func()) {
	if from == to {
		sim.deliver(to, f)
		return
	}
	sim.send(from.dataCentre, to, f)
}

// homeFor returns the instance that an entry believes to be the home of the group.
func (sim *simulation) homeFor(entry *instance) *instance {
	if sim.variant.scheduling == byEachInstance {
		return entry
	}
	skipsFirst := sim.memberListsDiffer && slices.Index(sim.instances, entry)%2 == 1
	for i, inst := range sim.homeOrder {
		if !sim.believedLost[inst] && !(skipsFirst && i == 0) {
			return inst
		}
	}
	return sim.homeOrder[0]
}

// submit starts a query at its entry instance.
func (sim *simulation) submit(q *simulatedQuery, caller string) {
	sim.queries = append(sim.queries, q)
	q.attemptsByShard = make(map[model.ShardID]int)
	q.total = len(sim.doc.Newest().Shards)
	sim.deliver(q.entry, func() {
		p := sim.doc.Priorities[q.priority]
		state, actions, err := query.New(sim.now, model.Query{
			Service: sim.doc.Service, Operation: sim.doc.Operations[0].Name, Priority: p.Name, Caller: model.CallerID(caller),
			Payload: json.RawMessage(strconv.Itoa(q.number)), Deadline: q.arrivedAt.Add(p.Deadline()),
		}, sim.doc, query.Config{
			NewID:           sim.newID,
			Document:        func() *document.Document { return sim.doc },
			SnapshotAvoided: func(model.SnapshotID) bool { return false },
			QueueDelay:      func(model.GroupKey, string) time.Duration { return 0 },
		})
		if err != nil {
			q.done = true
			return
		}
		q.state = state
		sim.after(state.Deadline().Sub(sim.now), func() {
			sim.deliver(q.entry, func() { sim.applyQueryActions(q, state.Expire(sim.now)) })
		})
		sim.applyQueryActions(q, actions)
	})
}

func (sim *simulation) applyQueryActions(q *simulatedQuery, actions []query.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case query.Send:
			sim.sendToHome(q, a.Request)
		case query.Abort:
			home := q.home
			sim.sendBetween(q.entry, home, func() {
				if home.sched != nil {
					sim.applySchedulerActions(home, home.sched.Cancel(sim.now, a.ID))
				}
			})
		case query.Reply:
			q.done = true
			q.answered = a.Answer.Coverage.Answered
			q.latency += sim.now.Sub(q.arrivedAt)
		case query.Broken:
			sim.brokenInvariants = append(sim.brokenInvariants, a.Invariant)
		}
	}
}

func (sim *simulation) sendToHome(q *simulatedQuery, req model.GroupRequest) {
	home := sim.homeFor(q.entry)
	q.home, q.groupRequestID = home, req.ID
	if sim.variant.changeRequest != nil {
		sim.variant.changeRequest(sim, &req)
	}
	sim.sendBetween(q.entry, home, func() {
		if home.sched == nil {
			sim.startScheduler(home)
		}
		home.requests[req.ID] = q
		sim.applySchedulerActions(home, home.sched.Submit(sim.now, req))
	})
}

// failOver makes the other instances avoid a lost instance and tells the queries that
// entered through them that their open group requests to the lost instance have failed.
func (sim *simulation) failOver(lost *instance) {
	sim.believedLost[lost] = true
	for _, q := range sim.queries {
		if q.done || q.state == nil || q.home != lost || q.entry == lost {
			continue
		}
		sim.deliver(q.entry, func() {
			sim.applyQueryActions(q, q.state.GroupFailed(sim.now, q.groupRequestID, result.PeerLost, model.RunUnknown))
		})
	}
}

// applySchedulerActions carries out the actions that the scheduler of a home has
// returned, and schedules its next tick.
func (sim *simulation) applySchedulerActions(home *instance, actions []scheduler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Start:
			sim.startCall(home, a)
		case scheduler.Stop:
			sim.cancelCall(a.Attempt)
		case scheduler.Done:
			sim.deliverAnswer(home, a.Answer)
		case scheduler.Broken:
			sim.brokenInvariants = append(sim.brokenInvariants, a.Invariant)
		}
	}
	sim.scheduleWake(home)
}

// scheduleWake schedules the next tick of a home's scheduler for the time that the
// scheduler returns from NextWake.
func (sim *simulation) scheduleWake(home *instance) {
	nextWake, ok := home.sched.NextWake()
	if !ok || home.wakeAt.After(sim.now) && !nextWake.Before(home.wakeAt) {
		return
	}
	home.wakeAt = nextWake
	sim.after(nextWake.Sub(sim.now), func() {
		sim.deliver(home, func() {
			if home.wakeAt.Equal(nextWake) {
				home.wakeAt = time.Time{}
				sim.applySchedulerActions(home, home.sched.Tick(sim.now))
			}
		})
	})
}

// deliverAnswer sends a home's answer to the entry of the query. With slot leases
// the entry makes the calls itself and has their results one message delay earlier
// than the home. A successful answer is then delivered without delay, and that
// message delay is subtracted from the query's latency.
func (sim *simulation) deliverAnswer(home *instance, answer model.GroupAnswer) {
	q := home.requests[answer.ID]
	delete(home.requests, answer.ID)
	if q == nil {
		return
	}
	receive := func() { sim.applyQueryActions(q, q.state.GroupAnswered(sim.now, answer.ID, answer)) }
	if sim.variant.scheduling == byLease && answer.Code == result.OK && q.entry != home {
		if !q.done {
			q.latency = -oneWayDelay(home.dataCentre, q.entry.dataCentre)
		}
		sim.deliver(q.entry, receive)
		return
	}
	sim.sendBetween(home, q.entry, receive)
}

func (sim *simulation) startCall(home *instance, a scheduler.Start) {
	number, _ := strconv.Atoi(string(a.Call.Payload))
	q := sim.queries[number]
	c := &call{request: a.Call, query: q, upstream: sim.byName[a.Call.Upstream], home: home, sender: home, attemptIndex: q.attemptsByShard[a.Call.Shard]}
	q.attemptsByShard[a.Call.Shard]++
	sim.calls[a.Call.Attempt] = c
	switch {
	case a.Hedge:
		sim.hedges++
	case a.Retry:
		sim.retries++
	default:
		sim.firstAttempts++
	}
	if sim.variant.scheduling == byLease && q.entry != home {
		c.sender = q.entry
		sim.watchLease(c)
	}
	sim.sendBetween(home, c.sender, func() { sim.sendCall(c) })
}

// watchLease checks every leaseCheckInterval, until the call has ended, that the
// instance to which its slot was lent still runs. If that instance is down or paused,
// watchLease reports to the home's scheduler that the call has ended, and the scheduler
// uses the slot again.
func (sim *simulation) watchLease(c *call) {
	sim.after(leaseCheckInterval, func() {
		switch {
		case sim.calls[c.request.Attempt] != c:
		case c.sender.down || c.sender.paused:
			sim.reportEnd(c, port.UpstreamReply{Code: result.CancelledWhileRun})
		default:
			sim.watchLease(c)
		}
	})
}

// sendCall sends the call to its upstream, on a new connection if the sender has no
// idle one.
func (sim *simulation) sendCall(c *call) {
	if c.ended {
		return
	}
	delay := oneWayDelay(c.sender.dataCentre, c.upstream.dataCentre)
	if c.sender.idleConnections[c.upstream.name] > 0 {
		c.sender.idleConnections[c.upstream.name]--
	} else {
		delay += sim.size.connectTime()
	}
	sim.after(delay, func() { sim.receiveCall(c) })
}

// replyToSender sends the upstream's reply to the instance that sent the call, which
// forwards it to the home.
func (sim *simulation) replyToSender(c *call, code result.Code, ran model.RunState) {
	c.ended = true
	r := port.UpstreamReply{
		Code: code, Ran: ran, Attempt: c.request.Attempt, Snapshot: c.request.Snapshot, Shard: c.request.Shard,
		ConnectionBroken: code == result.UpstreamLost,
	}
	sim.send(c.upstream.dataCentre, c.sender, func() {
		if code == result.OK || code == result.UpstreamShed {
			c.sender.idleConnections[c.upstream.name]++
		}
		sim.sendBetween(c.sender, c.home, func() { sim.reportEnd(c, r) })
	})
}

// reportEnd reports to the home's scheduler that an attempt has ended. It ignores
// all reports after the first one of an attempt.
func (sim *simulation) reportEnd(c *call, r port.UpstreamReply) {
	if sim.calls[c.request.Attempt] != c || c.home.down {
		return
	}
	delete(sim.calls, c.request.Attempt)
	r.Attempt, r.Snapshot, r.Shard = c.request.Attempt, c.request.Snapshot, c.request.Shard
	sim.applySchedulerActions(c.home, c.home.sched.Finish(sim.now, c.request.Attempt, r))
}

// cancelCall cancels a call. Its sender closes the connection and opens a new one in
// its place.
func (sim *simulation) cancelCall(id model.AttemptID) {
	c := sim.calls[id]
	if c == nil {
		return
	}
	sim.sendBetween(c.home, c.sender, func() {
		if c.ended {
			return
		}
		c.ended = true
		sim.after(oneWayDelay(c.sender.dataCentre, c.upstream.dataCentre), func() { sim.removeFromUpstream(c) })
		sim.after(sim.size.connectTime(), func() { c.sender.idleConnections[c.upstream.name]++ })
		sim.after(0, func() {
			sim.sendBetween(c.sender, c.home, func() { sim.reportEnd(c, port.UpstreamReply{Code: result.CancelledWhileRun}) })
		})
	})
}

// callsInFlight returns the calls whose end has not been reported to the home, in an
// order that does not depend on the iteration order of the map.
func (sim *simulation) callsInFlight() []*call {
	var out []*call
	for _, c := range sim.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.query.number, b.query.number), cmp.Compare(a.request.Shard, b.request.Shard), slices.Compare(a.request.Attempt[:], b.request.Attempt[:]))
	})
	return out
}

// kill stops an instance for good. The calls that it sent, or that it scheduled as a
// home, are removed from their upstreams, and its queries get no answer.
func (sim *simulation) kill(inst *instance) {
	inst.down = true
	for _, c := range sim.callsInFlight() {
		if c.sender == inst || c.home == inst {
			c.ended = true
			sim.after(oneWayDelay(c.sender.dataCentre, c.upstream.dataCentre), func() { sim.removeFromUpstream(c) })
		}
	}
	sim.after(killDetectionDelay, func() { sim.failOver(inst) })
}

// pause stops an instance for the time d. Its queries and calls continue to exist,
// and messages to it wait until it resumes.
func (sim *simulation) pause(inst *instance, d time.Duration) {
	inst.paused = true
	sim.after(pauseDetectionDelay, func() { sim.failOver(inst) })
	sim.after(d, func() {
		inst.paused = false
		if inst.sched != nil {
			sim.applySchedulerActions(inst, inst.sched.Resume(sim.now, d))
		}
		deferred := inst.deferred
		inst.deferred = nil
		for _, f := range deferred {
			f()
		}
	})
	sim.after(d+returnDelay, func() { delete(sim.believedLost, inst) })
}
