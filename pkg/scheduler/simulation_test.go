package scheduler

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/internal/minheap"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

var epoch = time.Unix(1_700_000_000, 0)

// networkLatency is the one-way latency between the scheduler's instance and an
// upstream.
const networkLatency = 500 * time.Microsecond

type event struct {
	at  time.Time
	seq int
	do  func()
}

func (e event) before(other event) bool {
	return e.at.Before(other.at) || e.at.Equal(other.at) && e.seq < other.seq
}

// fakeUpstream is an upstream in virtual time. It executes up to slots calls at
// once; ceiling is the number of attempts in flight that the scheduler must not
// exceed.
type fakeUpstream struct {
	slots    int
	ceiling  int
	slowdown float64
	down     bool
	draining bool
	// wrongEcho makes the upstream echo the name of another shard.
	wrongEcho        bool
	leaving          bool
	starts           int
	crashes          int
	running          map[model.AttemptID]*fakeCall
	attemptsInFlight int
}

type fakeCall struct {
	call       port.UpstreamCall
	upstream   *fakeUpstream
	submission *submission
	ran        bool
	finished   bool
}

// submission is a submitted request and its history in the simulation.
type submission struct {
	req         model.GroupRequest
	submittedAt time.Time
	done        bool
	answer      model.GroupAnswer
	latency     time.Duration
	starts      int
	inFlight    int
	// ran holds the shards that an upstream executed. replied holds the shards
	// for which an upstream sent a valid result.
	ran     map[model.ShardID]bool
	replied map[model.ShardID]bool
	// maybeRan is true once an attempt that may have run has ended.
	maybeRan bool
	// crashing is true if the request crashes every upstream that executes it.
	crashing bool
}

// simulation runs a scheduler against fake upstreams in virtual time and records
// a fault for each violated invariant.
type simulation struct {
	now  time.Time
	rand *rand.Rand
	// arrivalRand is the random source of the arrivals.
	arrivalRand *rand.Rand
	doc         *document.Document
	sched       *Scheduler
	events      minheap.Heap[event]
	seq         int
	upstreams   map[string]*fakeUpstream
	calls       map[model.AttemptID]*fakeCall
	byPayload   map[string]*submission
	byID        map[model.AttemptID]*submission
	submissions []*submission
	// drawServiceTime returns a random time for which an upstream works on a
	// shard.
	drawServiceTime func() time.Duration
	faults          []string
	counts          map[CountName]int
	starts          int
	hedges          int
	retries         int
	// slotTime is the time for which upstreams worked on the calls of each
	// priority. It counts only calls that ended with a result.
	slotTime    map[string]time.Duration
	quarantined map[model.Fingerprint]bool
	// While paused is true, the scheduler's timers do not run, and submissions
	// and replies wait in deferred.
	paused    bool
	deferred  []func()
	resumedAt time.Time
}

// testDocument returns a document with three priorities, and with shards that
// have two replicas each on upstreams of three slots, like the services of the
// first customer.
func testDocument(upstreams, shards int) *document.Document {
	d := &document.Document{Service: "svc", Revision: 1}
	d.Priorities = []document.Priority{
		{Name: "p0", TargetMS: 120, DeadlineMS: 300, LeastCoverage: 0.9, GuaranteedShare: 0.5},
		{Name: "p1", TargetMS: 250, DeadlineMS: 500, LeastCoverage: 0.9, GuaranteedShare: 0.3},
		{Name: "p2", TargetMS: 1000, DeadlineMS: 2000, LeastCoverage: 0.9, GuaranteedShare: 0.2},
	}
	d.Operations = []document.Operation{{Name: "get"}, {Name: "put", NonIdempotent: true}}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, document.Upstream{
			Name:            fmt.Sprintf("u%d", i),
			DataCentre:      model.DataCentre(fmt.Sprintf("dc%d", i%3)),
			Address:         fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Slots:           3,
			ConnectionLimit: 30,
		})
	}
	snapshot := document.Snapshot{ID: "v1"}
	for i := range shards {
		snapshot.Shards = append(snapshot.Shards, document.Shard{
			ID:       model.ShardID(fmt.Sprintf("s%d", i)),
			Replicas: []string{fmt.Sprintf("u%d", i%upstreams), fmt.Sprintf("u%d", (i+1+i/upstreams%max(upstreams-1, 1))%upstreams)},
		})
	}
	d.Snapshots = []document.Snapshot{snapshot}
	return d
}

// capacity returns the number of queries to all shards that the upstreams can
// serve per second, at 6 ms per shard including the network.
func (sim *simulation) capacity() float64 {
	slots := 0
	for _, u := range sim.doc.Upstreams {
		slots += u.Slots
	}
	return float64(slots) / (float64(len(sim.doc.Snapshots[0].Shards)) * 0.006)
}

func newSimulation(seed uint64, doc *document.Document) *simulation {
	sim := &simulation{
		now:         epoch,
		events:      minheap.New(event.before),
		rand:        rand.New(rand.NewPCG(seed, 1)),
		arrivalRand: rand.New(rand.NewPCG(seed, 3)),
		doc:         doc,
		upstreams:   make(map[string]*fakeUpstream),
		calls:       make(map[model.AttemptID]*fakeCall),
		byPayload:   make(map[string]*submission),
		byID:        make(map[model.AttemptID]*submission),
		counts:      make(map[CountName]int),
		slotTime:    make(map[string]time.Duration),
		quarantined: make(map[model.Fingerprint]bool),
	}
	sim.drawServiceTime = func() time.Duration {
		return 2*time.Millisecond + time.Duration(sim.rand.ExpFloat64()*3e6)
	}
	for _, u := range doc.Upstreams {
		sim.upstreams[u.Name] = &fakeUpstream{slots: u.Slots, ceiling: u.Slots, slowdown: 1, running: make(map[model.AttemptID]*fakeCall)}
	}
	return sim
}

func (sim *simulation) config(seed uint64) Config {
	return Config{
		Document:        sim.doc,
		Group:           sim.doc.Groups()[0],
		LocalDataCentre: "dc0",
		MaxInstances:    10,
		NewID:           sim.newID,
		Rand:            rand.New(rand.NewPCG(seed, 2)),
		Quarantine:      sim,
	}
}

// useScheduler creates a scheduler for the simulation to drive.
func (sim *simulation) useScheduler(seed uint64) *Scheduler {
	s := New(sim.config(seed), sim.now)
	sim.sched = s
	return s
}

func (sim *simulation) Blocked(_ time.Time, f model.Fingerprint) bool { return sim.quarantined[f] }

func (sim *simulation) newID() model.AttemptID {
	var id model.AttemptID
	for i := range id {
		id[i] = byte(sim.rand.Uint32())
	}
	return id
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.seq++
	sim.events.Push(event{at: sim.now.Add(max(d, 0)), seq: sim.seq, do: do})
}

// advance advances virtual time by d.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for {
		next, ok := sim.sched.NextWake()
		wakes := ok && !sim.paused && !next.After(end)
		if sim.events.Len() > 0 && !sim.events.Min().at.After(end) && !(wakes && next.Before(sim.events.Min().at)) {
			e := sim.events.Pop()
			sim.now = e.at
			e.do()
			continue
		}
		if !wakes {
			break
		}
		if next.After(sim.now) {
			sim.now = next
		}
		sim.applyActions(sim.sched.Tick(sim.now))
		if again, ok := sim.sched.NextWake(); ok && !again.After(sim.now) {
			sim.recordFault("NextWake is not after the Tick")
			return
		}
	}
	sim.now = end
}

func (sim *simulation) recordFault(format string, args ...any) {
	if len(sim.faults) < 20 {
		sim.faults = append(sim.faults, fmt.Sprintf("%v: ", sim.now.Sub(epoch))+fmt.Sprintf(format, args...))
	}
}

// deliverUnlessPaused calls f now or, during a pause, at its end.
func (sim *simulation) deliverUnlessPaused(f func()) {
	if sim.paused {
		sim.deferred = append(sim.deferred, f)
		return
	}
	f()
}

// newRequest returns a query to the first n shards.
func (sim *simulation) newRequest(prio, n int) model.GroupRequest {
	p := sim.doc.Priorities[prio]
	req := model.GroupRequest{
		ID:        sim.newID(),
		Group:     model.GroupKey{Service: sim.doc.Service},
		Revision:  sim.doc.Revision,
		Operation: "get",
		Priority:  p.Name,
		Caller:    model.CallerID(fmt.Sprintf("c%d", sim.arrivalRand.IntN(3))),
		Snapshot:  "v1",
		Deadline:  sim.now.Add(p.Deadline()),
	}
	for _, s := range sim.doc.Snapshots[0].Shards[:n] {
		req.Shards = append(req.Shards, s.ID)
	}
	req.LeastShards = int(float64(n)*p.LeastCoverage + 0.999)
	req.Fingerprint = model.Fingerprint(sim.arrivalRand.Uint64())
	return req
}

func (sim *simulation) submit(req model.GroupRequest) *submission {
	req.Payload = json.RawMessage(`"` + req.ID.String() + `"`)
	submitted := &submission{req: req, submittedAt: sim.now, ran: make(map[model.ShardID]bool), replied: make(map[model.ShardID]bool)}
	sim.byID[req.ID] = submitted
	sim.byPayload[string(req.Payload)] = submitted
	sim.submissions = append(sim.submissions, submitted)
	sim.deliverUnlessPaused(func() { sim.applyActions(sim.sched.Submit(sim.now, req)) })
	return submitted
}

// sendStatusReports gives the scheduler correct status reports of all upstreams
// every half second.
func (sim *simulation) sendStatusReports(s *Scheduler) {
	sim.schedule(500*time.Millisecond, func() {
		for _, u := range sim.doc.Upstreams {
			fake := sim.upstreams[u.Name]
			sim.applyActions(s.SetUpstreamStatus(sim.now, u.Name, port.UpstreamStatus{Healthy: !fake.down, Draining: fake.draining}))
		}
		sim.sendStatusReports(s)
	})
}

// scheduleArrivals submits queries of the priority at random intervals and the
// given rate per second until end.
func (sim *simulation) scheduleArrivals(prio, shards int, rate float64, end time.Time) {
	gap := time.Duration(sim.arrivalRand.ExpFloat64() / rate * 1e9)
	if sim.now.Add(gap).After(end) {
		return
	}
	sim.schedule(gap, func() {
		sim.submit(sim.newRequest(prio, shards))
		sim.scheduleArrivals(prio, shards, rate, end)
	})
}

func (sim *simulation) applyActions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			sim.startCall(a)
		case Stop:
			sim.cancelCall(a.Attempt)
		case Done:
			sim.recordAnswer(a.Answer)
		case Count:
			sim.counts[a.Name]++
		case Broken:
			sim.recordFault("invariant: %s", a.Invariant)
		case QuarantineAdd:
			sim.quarantined[a.Fingerprint] = true
		}
	}
}

func (sim *simulation) startCall(a Start) {
	submitted := sim.byPayload[string(a.Call.Payload)]
	u := sim.upstreams[a.Call.Upstream]
	c := &fakeCall{call: a.Call, upstream: u, submission: submitted}
	sim.calls[a.Call.Attempt] = c
	sim.starts++
	u.starts++
	u.attemptsInFlight++
	sim.checkStart(a, submitted, u)
	submitted.starts++
	submitted.inFlight++
	if a.Hedge {
		sim.hedges++
	}
	if a.Retry {
		sim.retries++
	}
	sim.schedule(networkLatency, func() { sim.beginExecution(c) })
}

// checkStart records a fault if the scheduler must not start the attempt.
func (sim *simulation) checkStart(a Start, submitted *submission, u *fakeUpstream) {
	switch {
	case u.attemptsInFlight > u.ceiling:
		sim.recordFault("%d attempts in flight on %s", u.attemptsInFlight, a.Call.Upstream)
	case submitted.done:
		sim.recordFault("attempt after the answer")
	case !a.Call.Deadline.After(sim.now):
		sim.recordFault("attempt after the deadline")
	case a.Call.OrderKey == "" && a.Call.Operation == "put":
		sim.recordFault("order without a key")
	case u.leaving:
		sim.recordFault("attempt on leaving upstream %s", a.Call.Upstream)
	case submitted.req.NonIdempotent && (a.Hedge || submitted.inFlight > 0 || submitted.maybeRan):
		sim.recordFault("order started again")
	}
}

// beginExecution delivers the call to the upstream, which executes or refuses
// it.
func (sim *simulation) beginExecution(c *fakeCall) {
	u := c.upstream
	switch {
	case c.finished:
		return
	case u.down:
		sim.finishCall(c, result.ConnectFailed, model.NotRun)
	case u.draining:
		sim.finishCall(c, result.UpstreamDraining, model.NotRun)
	case len(u.running) >= u.slots:
		sim.finishCall(c, result.UpstreamShed, model.NotRun)
	default:
		u.running[c.call.Attempt] = c
		c.ran = true
		c.submission.ran[c.call.Shard] = true
		sim.execute(c)
	}
}

func (sim *simulation) execute(c *fakeCall) {
	work := time.Duration(float64(sim.drawServiceTime()) * c.upstream.slowdown)
	if c.submission.crashing {
		sim.schedule(time.Millisecond, func() {
			if !c.finished {
				sim.crash(c.upstream)
			}
		})
		return
	}
	sim.schedule(work, func() {
		if !c.finished {
			sim.slotTime[c.submission.req.Priority] += work
			sim.finishCall(c, result.OK, model.Ran)
		}
	})
}

// crash makes all calls that the upstream executes end with a broken connection,
// and takes the upstream down for a second.
func (sim *simulation) crash(u *fakeUpstream) {
	u.crashes++
	u.down = true
	for _, c := range sortedCalls(u.running) {
		sim.finishCall(c, result.UpstreamLost, model.RunUnknown)
	}
	sim.schedule(time.Second, func() { u.down = false })
}

func sortedCalls(m map[model.AttemptID]*fakeCall) []*fakeCall {
	var out []*fakeCall
	for _, c := range m {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *fakeCall) int {
		return slices.Compare(a.call.Attempt[:], b.call.Attempt[:])
	})
	return out
}

// cancelCall cancels a call that the scheduler has stopped.
func (sim *simulation) cancelCall(id model.AttemptID) {
	c := sim.calls[id]
	if c == nil || c.finished {
		return
	}
	ran := model.NotRun
	if c.ran {
		ran = model.RunUnknown
	}
	sim.finishCall(c, result.CancelledWhileRun, ran)
}

func (sim *simulation) finishCall(c *fakeCall, code result.Code, ran model.RunState) {
	c.finished = true
	delete(c.upstream.running, c.call.Attempt)
	r := port.UpstreamReply{
		Code: code, Ran: ran, Attempt: c.call.Attempt, Snapshot: c.call.Snapshot, Shard: c.call.Shard,
		ConnectionBroken: code == result.UpstreamLost,
		Draining:         code == result.UpstreamDraining,
	}
	if code == result.OK {
		r.Result = json.RawMessage(`"` + string(c.call.Shard) + `"`)
		if c.upstream.wrongEcho {
			r.Shard += "x"
		} else {
			c.submission.replied[c.call.Shard] = true
		}
	}
	sim.schedule(networkLatency, func() {
		sim.deliverUnlessPaused(func() {
			c.upstream.attemptsInFlight--
			c.submission.inFlight--
			c.submission.maybeRan = c.submission.maybeRan || ran != model.NotRun
			sim.applyActions(sim.sched.Finish(sim.now, c.call.Attempt, r))
		})
	})
}

func (sim *simulation) recordAnswer(a model.GroupAnswer) {
	submitted := sim.byID[a.ID]
	if a.Code == result.DuplicateAttempt {
		return
	}
	if submitted.done {
		sim.recordFault("second answer to a request")
	}
	submitted.done = true
	submitted.answer = a
	submitted.latency = sim.now.Sub(submitted.submittedAt)
	if sim.now.After(submitted.req.Deadline) && sim.now.After(submitted.submittedAt) && !sim.justResumed() {
		sim.recordFault("answer after the deadline")
	}
	if a.Code != result.OK {
		if submitted.starts > 0 || len(a.Outcomes) > 0 {
			sim.recordFault("refusal with code %v of a request that was started", a.Code)
		}
		return
	}
	if len(a.Outcomes) != len(submitted.req.Shards) {
		sim.recordFault("%d outcomes for %d shards", len(a.Outcomes), len(submitted.req.Shards))
	}
	for i, o := range a.Outcomes {
		sim.checkOutcome(submitted, submitted.req.Shards[i], o)
	}
}

func (sim *simulation) checkOutcome(submitted *submission, shard model.ShardID, o model.ShardOutcome) {
	switch {
	case o.Shard != shard:
		sim.recordFault("outcome of another shard")
	case o.Ran == model.NotRun && submitted.ran[shard]:
		sim.recordFault("shard %s ran, but is reported as not run (%v)", shard, o.Code)
	case o.Code == result.OK && !submitted.replied[shard]:
		sim.recordFault("result from a reply that does not match the attempt")
	case o.Code == result.OK && string(o.Result) != `"`+string(shard)+`"`:
		sim.recordFault("result of another shard")
	case o.Code == result.OK && o.Ran != model.Ran:
		sim.recordFault("result of a shard that did not run")
	}
}

// justResumed reports whether a pause ended at the current time. Answers that
// were due during the pause are then late without a fault of the scheduler.
func (sim *simulation) justResumed() bool { return sim.resumedAt.Equal(sim.now) }

// pause keeps the scheduler from running for d, as if its process were stopped.
func (sim *simulation) pause(d time.Duration) {
	sim.paused = true
	sim.schedule(d, func() {
		sim.paused = false
		sim.resumedAt = sim.now
		sim.applyActions(sim.sched.Resume(sim.now, d))
		deferred := sim.deferred
		sim.deferred = nil
		for _, f := range deferred {
			f()
		}
	})
}

// useful reports whether the submission got a useful answer.
func (s *submission) useful() bool { return s.coverage() >= s.req.LeastShards }

func (s *submission) coverage() int {
	n := 0
	for _, o := range s.answer.Outcomes {
		if o.Code == result.OK {
			n++
		}
	}
	return n
}

// tally summarises the submissions of one priority since a start time.
type tally struct {
	offered, useful, refused, partial int
	inTarget                          int
	p50, p99                          time.Duration
}

func (sim *simulation) tally(prio int, from time.Time) tally {
	var t tally
	var latencies []time.Duration
	p := sim.doc.Priorities[prio]
	for _, s := range sim.submissions {
		if s.req.Priority != p.Name || s.submittedAt.Before(from) || !s.done {
			continue
		}
		t.offered++
		switch {
		case s.useful():
			t.useful++
			latencies = append(latencies, s.latency)
			if s.latency <= p.Target() {
				t.inTarget++
			}
		case s.answer.Code != result.OK:
			t.refused++
		default:
			t.partial++
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		t.p50 = latencies[len(latencies)/2]
		t.p99 = latencies[len(latencies)*99/100]
	}
	return t
}
