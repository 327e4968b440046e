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

// submission is a submitted request and what the simulation knows about it. The
// maps ran and replied hold the shards that an upstream executed and for which
// it sent a valid result; maybeRan is true once an attempt ended that may have
// run; crashing requests crash every upstream that executes them.
type submission struct {
	req         model.GroupRequest
	submittedAt time.Time
	done        bool
	answer      model.GroupAnswer
	latency     time.Duration
	starts      int
	inFlight    int
	ran         map[model.ShardID]bool
	replied     map[model.ShardID]bool
	maybeRan    bool
	crashing    bool
}

// simulation runs a scheduler against fake upstreams in virtual time and checks
// the invariants.
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
	// slotTime is the upstream time used per priority. It counts only calls
	// that ended with a result.
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
func (w *simulation) capacity() float64 {
	slots := 0
	for _, u := range w.doc.Upstreams {
		slots += u.Slots
	}
	return float64(slots) / (float64(len(w.doc.Snapshots[0].Shards)) * 0.006)
}

func newSimulation(seed uint64, doc *document.Document) *simulation {
	w := &simulation{
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
	w.drawServiceTime = func() time.Duration {
		return 2*time.Millisecond + time.Duration(w.rand.ExpFloat64()*3e6)
	}
	for _, u := range doc.Upstreams {
		w.upstreams[u.Name] = &fakeUpstream{slots: u.Slots, ceiling: u.Slots, slowdown: 1, running: make(map[model.AttemptID]*fakeCall)}
	}
	return w
}

func (w *simulation) config(seed uint64) Config {
	return Config{
		Document:        w.doc,
		Group:           w.doc.Groups()[0],
		LocalDataCentre: "dc0",
		MaxInstances:    10,
		NewID:           w.newID,
		Rand:            rand.New(rand.NewPCG(seed, 2)),
		Quarantine:      w,
	}
}

// useScheduler creates a scheduler for the simulation to drive.
func (w *simulation) useScheduler(seed uint64) *Scheduler {
	s := New(w.config(seed), w.now)
	w.sched = s
	return s
}

func (w *simulation) Blocked(_ time.Time, f model.Fingerprint) bool { return w.quarantined[f] }

func (w *simulation) newID() model.AttemptID {
	var id model.AttemptID
	for i := range id {
		id[i] = byte(w.rand.Uint32())
	}
	return id
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.seq++
	w.events.Push(event{at: w.now.Add(max(d, 0)), seq: w.seq, do: do})
}

// advance advances virtual time by d.
func (w *simulation) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		next, ok := w.sched.NextWake()
		wakes := ok && !w.paused && !next.After(end)
		if w.events.Len() > 0 && !w.events.Min().at.After(end) && !(wakes && next.Before(w.events.Min().at)) {
			e := w.events.Pop()
			w.now = e.at
			e.do()
			continue
		}
		if !wakes {
			break
		}
		if next.After(w.now) {
			w.now = next
		}
		w.applyActions(w.sched.Tick(w.now))
		if again, ok := w.sched.NextWake(); ok && !again.After(w.now) {
			w.recordFault("NextWake is not after the Tick")
			return
		}
	}
	w.now = end
}

func (w *simulation) recordFault(format string, args ...any) {
	if len(w.faults) < 20 {
		w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
	}
}

// deliverUnlessPaused calls f now or, during a pause, at its end.
func (w *simulation) deliverUnlessPaused(f func()) {
	if w.paused {
		w.deferred = append(w.deferred, f)
		return
	}
	f()
}

// newRequest returns a query to the first n shards.
func (w *simulation) newRequest(prio, n int) model.GroupRequest {
	p := w.doc.Priorities[prio]
	req := model.GroupRequest{
		ID:        w.newID(),
		Group:     model.GroupKey{Service: w.doc.Service},
		Revision:  w.doc.Revision,
		Operation: "get",
		Priority:  p.Name,
		Caller:    model.CallerID(fmt.Sprintf("c%d", w.arrivalRand.IntN(3))),
		Snapshot:  "v1",
		Deadline:  w.now.Add(p.Deadline()),
	}
	for _, s := range w.doc.Snapshots[0].Shards[:n] {
		req.Shards = append(req.Shards, s.ID)
	}
	req.LeastShards = int(float64(n)*p.LeastCoverage + 0.999)
	req.Fingerprint = model.Fingerprint(w.arrivalRand.Uint64())
	return req
}

func (w *simulation) submit(req model.GroupRequest) *submission {
	req.Payload = json.RawMessage(`"` + req.ID.String() + `"`)
	sub := &submission{req: req, submittedAt: w.now, ran: make(map[model.ShardID]bool), replied: make(map[model.ShardID]bool)}
	w.byID[req.ID] = sub
	w.byPayload[string(req.Payload)] = sub
	w.submissions = append(w.submissions, sub)
	w.deliverUnlessPaused(func() { w.applyActions(w.sched.Submit(w.now, req)) })
	return sub
}

// sendStatusReports gives the scheduler correct status reports of all upstreams
// every half second.
func (w *simulation) sendStatusReports(s *Scheduler) {
	w.schedule(500*time.Millisecond, func() {
		for _, u := range w.doc.Upstreams {
			f := w.upstreams[u.Name]
			w.applyActions(s.SetUpstreamStatus(w.now, u.Name, port.UpstreamStatus{Healthy: !f.down, Draining: f.draining}))
		}
		w.sendStatusReports(s)
	})
}

// arrivals submits queries of the priority at the given rate per second until
// end.
func (w *simulation) arrivals(prio, shards int, rate float64, end time.Time) {
	gap := time.Duration(w.arrivalRand.ExpFloat64() / rate * 1e9)
	if w.now.Add(gap).After(end) {
		return
	}
	w.schedule(gap, func() {
		w.submit(w.newRequest(prio, shards))
		w.arrivals(prio, shards, rate, end)
	})
}

func (w *simulation) applyActions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			w.startCall(a)
		case Stop:
			w.cancelCall(a.Attempt)
		case Done:
			w.recordAnswer(a.Answer)
		case Count:
			w.counts[a.Name]++
		case Broken:
			w.recordFault("invariant: %s", a.Invariant)
		case QuarantineAdd:
			w.quarantined[a.Fingerprint] = true
		}
	}
}

func (w *simulation) startCall(a Start) {
	sub := w.byPayload[string(a.Call.Payload)]
	u := w.upstreams[a.Call.Upstream]
	c := &fakeCall{call: a.Call, upstream: u, submission: sub}
	w.calls[a.Call.Attempt] = c
	w.starts++
	u.starts++
	u.attemptsInFlight++
	w.checkStart(a, sub, u)
	sub.starts++
	sub.inFlight++
	if a.Hedge {
		w.hedges++
	}
	if a.Retry {
		w.retries++
	}
	w.schedule(networkLatency, func() { w.beginExecution(c) })
}

func (w *simulation) checkStart(a Start, sub *submission, u *fakeUpstream) {
	switch {
	case u.attemptsInFlight > u.ceiling:
		w.recordFault("%d attempts in flight on %s", u.attemptsInFlight, a.Call.Upstream)
	case sub.done:
		w.recordFault("attempt after the answer")
	case !a.Call.Deadline.After(w.now):
		w.recordFault("attempt after the deadline")
	case a.Call.OrderKey == "" && a.Call.Operation == "put":
		w.recordFault("order without a key")
	case u.leaving:
		w.recordFault("attempt on leaving upstream %s", a.Call.Upstream)
	case sub.req.NonIdempotent && (a.Hedge || sub.inFlight > 0 || sub.maybeRan):
		w.recordFault("order started again")
	}
}

// beginExecution delivers the call to the upstream, which executes or refuses
// it.
func (w *simulation) beginExecution(c *fakeCall) {
	u := c.upstream
	switch {
	case c.finished:
		return
	case u.down:
		w.finishCall(c, result.ConnectFailed, model.NotRun)
	case u.draining:
		w.finishCall(c, result.UpstreamDraining, model.NotRun)
	case len(u.running) >= u.slots:
		w.finishCall(c, result.UpstreamShed, model.NotRun)
	default:
		u.running[c.call.Attempt] = c
		c.ran = true
		c.submission.ran[c.call.Shard] = true
		w.execute(c)
	}
}

func (w *simulation) execute(c *fakeCall) {
	work := time.Duration(float64(w.drawServiceTime()) * c.upstream.slowdown)
	if c.submission.crashing {
		w.schedule(time.Millisecond, func() {
			if !c.finished {
				w.crash(c.upstream)
			}
		})
		return
	}
	w.schedule(work, func() {
		if !c.finished {
			w.slotTime[c.submission.req.Priority] += work
			w.finishCall(c, result.OK, model.Ran)
		}
	})
}

// crash breaks all connections of the upstream and takes it down for a second.
func (w *simulation) crash(u *fakeUpstream) {
	u.crashes++
	u.down = true
	for _, c := range sortedCalls(u.running) {
		w.finishCall(c, result.UpstreamLost, model.RunUnknown)
	}
	w.schedule(time.Second, func() { u.down = false })
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
func (w *simulation) cancelCall(id model.AttemptID) {
	c := w.calls[id]
	if c == nil || c.finished {
		return
	}
	ran := model.NotRun
	if c.ran {
		ran = model.RunUnknown
	}
	w.finishCall(c, result.CancelledWhileRun, ran)
}

func (w *simulation) finishCall(c *fakeCall, code result.Code, ran model.RunState) {
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
	w.schedule(networkLatency, func() {
		w.deliverUnlessPaused(func() {
			c.upstream.attemptsInFlight--
			c.submission.inFlight--
			c.submission.maybeRan = c.submission.maybeRan || ran != model.NotRun
			w.applyActions(w.sched.Finish(w.now, c.call.Attempt, r))
		})
	})
}

func (w *simulation) recordAnswer(a model.GroupAnswer) {
	sub := w.byID[a.ID]
	if a.Code == result.DuplicateAttempt {
		return
	}
	if sub.done {
		w.recordFault("second answer to a request")
	}
	sub.done = true
	sub.answer = a
	sub.latency = w.now.Sub(sub.submittedAt)
	if w.now.After(sub.req.Deadline) && w.now.After(sub.submittedAt) && !w.justResumed() {
		w.recordFault("answer after the deadline")
	}
	if a.Code != result.OK {
		if sub.starts > 0 || len(a.Outcomes) > 0 {
			w.recordFault("refusal with code %v of a request that was started", a.Code)
		}
		return
	}
	if len(a.Outcomes) != len(sub.req.Shards) {
		w.recordFault("%d outcomes for %d shards", len(a.Outcomes), len(sub.req.Shards))
	}
	for i, o := range a.Outcomes {
		w.checkOutcome(sub, sub.req.Shards[i], o)
	}
}

func (w *simulation) checkOutcome(sub *submission, shard model.ShardID, o model.ShardOutcome) {
	switch {
	case o.Shard != shard:
		w.recordFault("outcome of another shard")
	case o.Ran == model.NotRun && sub.ran[shard]:
		w.recordFault("shard %s ran, but is reported as not run (%v)", shard, o.Code)
	case o.Code == result.OK && !sub.replied[shard]:
		w.recordFault("result from a reply that does not match the attempt")
	case o.Code == result.OK && string(o.Result) != `"`+string(shard)+`"`:
		w.recordFault("result of another shard")
	case o.Code == result.OK && o.Ran != model.Ran:
		w.recordFault("result of a shard that did not run")
	}
}

func (w *simulation) justResumed() bool { return w.resumedAt.Equal(w.now) }

// pause keeps the scheduler from running for d, as if its process were stopped.
func (w *simulation) pause(d time.Duration) {
	w.paused = true
	w.schedule(d, func() {
		w.paused = false
		w.resumedAt = w.now
		w.applyActions(w.sched.Resume(w.now, d))
		held := w.deferred
		w.deferred = nil
		for _, f := range held {
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

func (w *simulation) tally(prio int, from time.Time) tally {
	var t tally
	var latencies []time.Duration
	p := w.doc.Priorities[prio]
	for _, s := range w.submissions {
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
