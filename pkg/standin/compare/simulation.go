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
	// maxInstances is the default of the setting.
	maxInstances = 10
	// lossDelay and pauseDelay are the times until the other instances avoid an
	// instance that was killed or stopped. returnDelay is the time until they
	// use a resumed one again.
	lossDelay   = time.Millisecond
	pauseDelay  = 600 * time.Millisecond
	returnDelay = time.Second
	// leaseTime is how long a slot that was lent to a lost instance stays lent.
	leaseTime = 200 * time.Millisecond
)

// instance has the roles of entry and, with a scheduler, of home.
type instance struct {
	id         model.InstanceID
	dataCentre model.DataCentre
	sched      *scheduler.Scheduler
	wakeAt     time.Time
	// idle counts open connections without a call, by upstream.
	idle   map[string]int
	down   bool
	paused bool
	held   []func()
	// requests are the group requests at this home.
	requests map[model.AttemptID]*queryRun
}

// queryRun is one query from its arrival to its answer.
type queryRun struct {
	number   int
	at       time.Time
	priority int
	entry    *instance
	query    *query.Query
	home     *instance
	sent     model.AttemptID
	attempts map[model.ShardID]int
	done     bool
	answered int
	total    int
	latency  time.Duration
}

// world is one run of a way.
type world struct {
	clock
	size      size
	way       way
	seed      uint64
	doc       *document.Document
	homeDoc   *document.Document
	rng       *rand.Rand
	servers   map[string]*server
	order     []*server
	instances []*instance
	// ranked are the instances in rendezvous order of the group.
	ranked  []*instance
	avoided map[*instance]bool
	// split makes every second entry see a list without the first home.
	split   bool
	queries []*queryRun
	calls   map[model.AttemptID]*call

	firsts, hedges, retries, shed int
	broken                        []string
}

func newWorld(s size, v way, seed uint64) *world {
	w := &world{
		clock: newClock(),
		size:  s, way: v, seed: seed,
		doc:     s.document(),
		homeDoc: s.document(),
		rng:     rand.New(rand.NewPCG(seed, 2)),
		servers: make(map[string]*server),
		avoided: make(map[*instance]bool),
		calls:   make(map[model.AttemptID]*call),
	}
	if v.document != nil {
		v.document(w.homeDoc)
	}
	for i, u := range w.doc.Upstreams {
		x := &server{name: u.Name, dataCentre: s.dataCentre(i), slots: u.Slots, queueLimit: u.Slots, slow: 1}
		w.servers[u.Name] = x
		w.order = append(w.order, x)
	}
	w.startInstances()
	return w
}

func (w *world) startInstances() {
	var members []membership.Member
	byID := make(map[model.InstanceID]*instance)
	for i := range w.size.instances {
		x := &instance{
			id:         model.InstanceID(fmt.Sprintf("i%d", i)),
			dataCentre: w.size.dataCentre(i),
			idle:       make(map[string]int),
			requests:   make(map[model.AttemptID]*queryRun),
		}
		w.instances = append(w.instances, x)
		byID[x.id] = x
		members = append(members, membership.Member{ID: x.id, DataCentre: x.dataCentre})
	}
	for _, id := range placement.Homes(w.doc.Groups()[0], members, len(members)) {
		w.ranked = append(w.ranked, byID[id])
	}
	for i, x := range w.ranked {
		if i == 0 || w.way.scheduling == alone {
			w.becomeHome(x)
			w.warm(x)
		}
	}
}

func (w *world) becomeHome(x *instance) {
	x.sched = scheduler.New(scheduler.Config{
		Document: w.homeDoc, Group: w.homeDoc.Groups()[0], LocalDataCentre: x.dataCentre,
		MaxInstances: maxInstances, NewID: w.newID, Rand: w.rng, Overrides: w.way.rules(w),
	}, w.now)
}

// warm opens a connection per slot.
func (w *world) warm(x *instance) {
	for _, u := range w.order {
		x.idle[u.name] = u.slots
	}
}

func (w *world) newID() model.AttemptID {
	var id model.AttemptID
	for i := 0; i < len(id); i += 8 {
		v := w.rng.Uint64()
		for j := range 8 {
			id[i+j] = byte(v >> (8 * j))
		}
	}
	return id
}

// deliver calls f at the instance now, or when it resumes.
func (w *world) deliver(x *instance, f func()) {
	switch {
	case x.down:
	case x.paused:
		x.held = append(x.held, f)
	default:
		f()
	}
}

// send calls f at the instance after the way from another place.
func (w *world) send(from model.DataCentre, to *instance, f func()) {
	w.after(delay(from, to.dataCentre), func() { w.deliver(to, f) })
}

// between is like send, without a way for an instance's message to itself.
func (w *world) between(from, to *instance, f func()) {
	if from == to {
		w.deliver(to, f)
		return
	}
	w.send(from.dataCentre, to, f)
}

// homeFor returns the home of the group in the eyes of an entry.
func (w *world) homeFor(entry *instance) *instance {
	if w.way.scheduling == alone {
		return entry
	}
	second := w.split && slices.Index(w.instances, entry)%2 == 1
	for i, x := range w.ranked {
		if !w.avoided[x] && !(second && i == 0) {
			return x
		}
	}
	return w.ranked[0]
}

// submit starts a query at its entry.
func (w *world) submit(q *queryRun, caller string) {
	w.queries = append(w.queries, q)
	q.attempts = make(map[model.ShardID]int)
	q.total = len(w.doc.Newest().Shards)
	w.deliver(q.entry, func() {
		p := w.doc.Priorities[q.priority]
		state, actions, err := query.New(w.now, model.Query{
			Service: w.doc.Service, Operation: w.doc.Operations[0].Name, Priority: p.Name, Caller: model.CallerID(caller),
			Payload: json.RawMessage(strconv.Itoa(q.number)), Deadline: q.at.Add(p.Deadline()),
		}, w.doc, query.Config{
			NewID:           w.newID,
			Document:        func() *document.Document { return w.doc },
			SnapshotAvoided: func(model.SnapshotID) bool { return false },
			QueueDelay:      func(model.GroupKey, string) time.Duration { return 0 },
		})
		if err != nil {
			q.done = true
			return
		}
		q.query = state
		w.after(state.Deadline().Sub(w.now), func() {
			w.deliver(q.entry, func() { w.applyQuery(q, state.Expire(w.now)) })
		})
		w.applyQuery(q, actions)
	})
}

func (w *world) applyQuery(q *queryRun, actions []query.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case query.Send:
			w.sendToHome(q, a.Request)
		case query.Abort:
			home := q.home
			w.between(q.entry, home, func() {
				if home.sched != nil {
					w.apply(home, home.sched.Cancel(w.now, a.ID))
				}
			})
		case query.Reply:
			q.done = true
			q.answered = a.Answer.Coverage.Answered
			q.latency += w.now.Sub(q.at)
		case query.Broken:
			w.broken = append(w.broken, a.Invariant)
		}
	}
}

func (w *world) sendToHome(q *queryRun, req model.GroupRequest) {
	home := w.homeFor(q.entry)
	q.home, q.sent = home, req.ID
	if w.way.request != nil {
		w.way.request(w, &req)
	}
	w.between(q.entry, home, func() {
		if home.sched == nil {
			w.becomeHome(home)
		}
		home.requests[req.ID] = q
		w.apply(home, home.sched.Submit(w.now, req))
	})
}

// failOver tells the entries that a home is lost.
func (w *world) failOver(lost *instance) {
	w.avoided[lost] = true
	for _, q := range w.queries {
		if q.done || q.query == nil || q.home != lost || q.entry == lost {
			continue
		}
		w.deliver(q.entry, func() {
			w.applyQuery(q, q.query.GroupFailed(w.now, q.sent, result.PeerLost, model.RunUnknown))
		})
	}
}

// apply carries out what a home's scheduler decided.
func (w *world) apply(home *instance, actions []scheduler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Start:
			w.start(home, a)
		case scheduler.Stop:
			w.stop(a.Attempt)
		case scheduler.Done:
			w.finish(home, a.Answer)
		case scheduler.Broken:
			w.broken = append(w.broken, a.Invariant)
		}
	}
	w.schedule(home)
}

// schedule makes the home tick when its scheduler asks for it.
func (w *world) schedule(home *instance) {
	at, ok := home.sched.NextWake()
	if !ok || home.wakeAt.After(w.now) && !at.Before(home.wakeAt) {
		return
	}
	home.wakeAt = at
	w.after(at.Sub(w.now), func() {
		w.deliver(home, func() {
			if home.wakeAt.Equal(at) {
				home.wakeAt = time.Time{}
				w.apply(home, home.sched.Tick(w.now))
			}
		})
	})
}

// finish passes a home's answer on to the entry. With leases the entry has the
// results before the home knows of them.
func (w *world) finish(home *instance, answer model.GroupAnswer) {
	q := home.requests[answer.ID]
	delete(home.requests, answer.ID)
	if q == nil {
		return
	}
	receive := func() { w.applyQuery(q, q.query.GroupAnswered(w.now, answer.ID, answer)) }
	if w.way.scheduling == leases && answer.Code == result.OK && q.entry != home {
		if !q.done {
			q.latency = -delay(home.dataCentre, q.entry.dataCentre)
		}
		w.deliver(q.entry, receive)
		return
	}
	w.between(home, q.entry, receive)
}

func (w *world) start(home *instance, a scheduler.Start) {
	number, _ := strconv.Atoi(string(a.Call.Payload))
	q := w.queries[number]
	c := &call{start: a.Call, query: q, server: w.servers[a.Call.Upstream], home: home, client: home, served: q.attempts[a.Call.Shard]}
	q.attempts[a.Call.Shard]++
	w.calls[a.Call.Attempt] = c
	switch {
	case a.Hedge:
		w.hedges++
	case a.Retry:
		w.retries++
	default:
		w.firsts++
	}
	if w.way.scheduling == leases && q.entry != home {
		c.client = q.entry
		w.lend(c)
	}
	w.between(home, c.client, func() { w.connect(c) })
}

// lend makes the home take a slot back from an instance that no longer renews
// its lease.
func (w *world) lend(c *call) {
	w.after(leaseTime, func() {
		switch {
		case w.calls[c.start.Attempt] != c:
		case c.client.down || c.client.paused:
			w.tell(c, port.UpstreamReply{Code: result.CancelledWhileRun})
		default:
			w.lend(c)
		}
	})
}

// connect sends the call, on a new connection if none is idle.
func (w *world) connect(c *call) {
	if c.over {
		return
	}
	wait := delay(c.client.dataCentre, c.server.dataCentre)
	if c.client.idle[c.server.name] > 0 {
		c.client.idle[c.server.name]--
	} else {
		wait += w.size.connectTime()
	}
	w.after(wait, func() { w.arrive(c) })
}

// reply brings the upstream's reply to the home.
func (w *world) reply(c *call, code result.Code, ran model.RunState) {
	c.over = true
	r := port.UpstreamReply{
		Code: code, Ran: ran, Attempt: c.start.Attempt, Snapshot: c.start.Snapshot, Shard: c.start.Shard,
		ConnectionBroken: code == result.UpstreamLost,
	}
	w.send(c.server.dataCentre, c.client, func() {
		if code == result.OK || code == result.UpstreamShed {
			c.client.idle[c.server.name]++
		}
		w.between(c.client, c.home, func() { w.tell(c, r) })
	})
}

// tell reports an attempt's end to the home's scheduler, once.
func (w *world) tell(c *call, r port.UpstreamReply) {
	if w.calls[c.start.Attempt] != c || c.home.down {
		return
	}
	delete(w.calls, c.start.Attempt)
	r.Attempt, r.Snapshot, r.Shard = c.start.Attempt, c.start.Snapshot, c.start.Shard
	w.apply(c.home, c.home.sched.Finish(w.now, c.start.Attempt, r))
}

// stop cancels a call. Its connection is closed and replaced.
func (w *world) stop(id model.AttemptID) {
	c := w.calls[id]
	if c == nil {
		return
	}
	w.between(c.home, c.client, func() {
		if c.over {
			return
		}
		c.over = true
		w.after(delay(c.client.dataCentre, c.server.dataCentre), func() { w.leave(c) })
		w.after(w.size.connectTime(), func() { c.client.idle[c.server.name]++ })
		w.after(0, func() {
			w.between(c.client, c.home, func() { w.tell(c, port.UpstreamReply{Code: result.CancelledWhileRun}) })
		})
	})
}

// live returns the calls under way in a fixed order.
func (w *world) live() []*call {
	var out []*call
	for _, c := range w.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.query.number, b.query.number), cmp.Compare(a.start.Shard, b.start.Shard), slices.Compare(a.start.Attempt[:], b.start.Attempt[:]))
	})
	return out
}

// kill ends an instance with its queries and calls.
func (w *world) kill(x *instance) {
	x.down = true
	for _, c := range w.live() {
		if c.client == x || c.home == x {
			c.over = true
			w.after(delay(c.client.dataCentre, c.server.dataCentre), func() { w.leave(c) })
		}
	}
	w.after(lossDelay, func() { w.failOver(x) })
}

// pause stops an instance for a time without ending anything.
func (w *world) pause(x *instance, d time.Duration) {
	x.paused = true
	w.after(pauseDelay, func() { w.failOver(x) })
	w.after(d, func() {
		x.paused = false
		if x.sched != nil {
			w.apply(x, x.sched.Resume(w.now, d))
		}
		held := x.held
		x.held = nil
		for _, f := range held {
			f()
		}
	})
	w.after(d+returnDelay, func() { delete(w.avoided, x) })
}
