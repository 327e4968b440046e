package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

const (
	// groupIdleTime is how long after a group's last request an instance that is no
	// longer its home keeps the group's state. Dropping the state frees memory.
	groupIdleTime = 2 * time.Minute
)

// homeTable holds the scheduling groups for which this instance acts as a home.
type homeTable struct {
	mu     sync.Mutex
	groups map[model.GroupKey]*homeGroup
	// leaving holds the addresses of upstreams that the platform lists as leaving.
	leaving map[string]bool
}

func (t *homeTable) all() []*homeGroup {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*homeGroup, 0, len(t.groups))
	for _, g := range t.groups {
		out = append(out, g)
	}
	return out
}

// leavingUpstreams returns the addresses of upstreams that the platform lists as
// leaving. The map may be read without a lock: setLeavingUpstreams replaces it
// and never modifies it.
func (t *homeTable) leavingUpstreams() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

func (t *homeTable) idle() bool {
	for _, g := range t.all() {
		if g.pending() > 0 {
			return false
		}
	}
	return true
}

// homeGroup runs the scheduler of one scheduling group at its home. mu guards the
// fields below it.
type homeGroup struct {
	instance *Instance
	key      model.GroupKey

	mu       sync.Mutex
	sched    groupScheduler
	revision uint64
	// waiters holds, by request id, the channels for the answers to requests.
	waiters map[model.AttemptID]chan model.GroupAnswer
	// running holds, by attempt id, the functions that cancel calls to upstreams.
	running  map[model.AttemptID]context.CancelFunc
	timer    port.Timer
	wakeAt   time.Time
	lastUsed time.Time
	stopped  bool
	// lastReply holds, by upstream name, the time of the last reply to an attempt
	// that the upstream ran. Replies that say that the upstream is draining don't
	// count.
	lastReply map[string]time.Time
	// statusKnown is closed when the first status reads of all upstreams have
	// ended. Requests wait for it, because a new home does not know yet which
	// upstreams are leaving and would send work to them.
	statusKnown chan struct{}
}

// group returns the state of a group and creates it if needed. The group's
// scheduler then uses doc or a later revision of it.
func (i *Instance) group(now time.Time, doc *document.Document, index int) *homeGroup {
	key := model.GroupKey{Service: doc.Service, Index: index}
	i.homes.mu.Lock()
	g := i.homes.groups[key]
	if g == nil {
		g = &homeGroup{
			instance:  i,
			key:       key,
			waiters:   make(map[model.AttemptID]chan model.GroupAnswer),
			running:   make(map[model.AttemptID]context.CancelFunc),
			lastReply: make(map[string]time.Time),
			sched: i.newScheduler(scheduler.Config{
				Document:        doc,
				Group:           doc.Groups()[index],
				LocalDataCentre: i.cfg.DataCentre,
				MaxInstances:    i.cfg.MaxInstances,
				NewID:           i.ports.NewID,
				Rand:            i.ports.NewRand(),
				Quarantine:      &i.quarantine,
			}, now),
			revision:    doc.Revision,
			lastUsed:    now,
			statusKnown: make(chan struct{}),
		}
		i.homes.groups[key] = g
		g.mu.Lock()
		g.applyLeavingUpstreams(now, i.homes.leaving)
		g.mu.Unlock()
		reads := g.pollStatus()
		go func() {
			reads.Wait()
			close(g.statusKnown)
		}()
	}
	i.homes.mu.Unlock()
	g.updateDocument(now, doc)
	return g
}

// updateDocument passes a document to the group's scheduler if it is newer than
// the one that the scheduler uses.
func (g *homeGroup) updateDocument(now time.Time, doc *document.Document) {
	groups := doc.Groups()
	leaving := g.instance.homes.leavingUpstreams()
	g.mu.Lock()
	defer g.mu.Unlock()
	if doc.Revision <= g.revision || g.key.Index >= len(groups) {
		return
	}
	g.revision = doc.Revision
	g.apply(now, g.sched.SetDocument(now, doc, groups[g.key.Index]))
	// The scheduler does not know yet whether the platform lists upstreams with a
	// new address as leaving.
	g.applyLeavingUpstreams(now, leaving)
}

// HandleRunGroup implements port.PeerHandler: it runs a group request as the
// group's home. The entry of this instance also calls it directly.
func (i *Instance) HandleRunGroup(ctx context.Context, req model.GroupRequest) model.GroupAnswer {
	now := i.now()
	i.detectPause(now)
	if !i.claims.claim(req.ID, req.Deadline) {
		return model.GroupAnswer{ID: req.ID, Code: result.DuplicateAttempt, Snapshot: req.Snapshot}
	}
	defer i.claims.markAnswered(req.ID)
	doc, code := i.admitGroup(now, &req)
	if code != result.OK {
		i.ports.Metrics.GroupRefused(code, req.Priority)
		return model.GroupAnswer{ID: req.ID, Code: code, Snapshot: req.Snapshot}
	}
	// dropIdleGroups may stop the group between the calls of group and
	// submitAndWait; the second round then creates a new group.
	for range 2 {
		if answer, ok := i.group(now, doc, req.Group.Index).submitAndWait(ctx, now, req); ok {
			i.ports.Metrics.QueueDelay(req.Priority, answer.QueueDelay)
			return answer
		}
	}
	return model.GroupAnswer{ID: req.ID, Code: result.Leaving, Snapshot: req.Snapshot}
}

// admitGroup checks whether this instance may act as the home for the request. It
// returns the document to use, or the code of the refusal.
func (i *Instance) admitGroup(now time.Time, req *model.GroupRequest) (*document.Document, result.Code) {
	if code := i.admissionCode(); code != result.OK {
		return nil, code
	}
	if req.NonIdempotent && req.TargetBoot != i.currentBoot() {
		return nil, result.WrongIncarnation
	}
	doc := i.document(req.Group.Service)
	if doc == nil || doc.Revision < req.Revision {
		return nil, result.StaleGroup
	}
	groups := doc.Groups()
	if req.Group.Index < 0 || req.Group.Index >= len(groups) {
		return nil, result.StaleGroup
	}
	if doc.Revision > req.Revision && !groupStillHoldsShards(doc, req) {
		return nil, result.StaleGroup
	}
	if !i.mayBeHome(now, doc, req.Group.Index) {
		return nil, result.NotHomeCandidate
	}
	return doc, result.OK
}

// groupStillHoldsShards reports whether all shards of the request belong to its
// group in doc, which is newer than the document that the requester used.
func groupStillHoldsShards(doc *document.Document, req *model.GroupRequest) bool {
	snapshot := doc.FindSnapshot(req.Snapshot)
	if snapshot == nil {
		// The scheduler refuses the request because the snapshot is missing.
		return true
	}
	groupOf := doc.ShardGroups(snapshot)
	for _, id := range req.Shards {
		if g, ok := groupOf[id]; !ok || g != req.Group.Index {
			return false
		}
	}
	return true
}

// submitAndWait submits the request to the scheduler and waits for its answer. It
// returns false without submitting if the group was stopped. HandleRunGroup claims
// the request's id before, so waiters has no entry for a duplicate of the request.
func (g *homeGroup) submitAndWait(ctx context.Context, now time.Time, req model.GroupRequest) (model.GroupAnswer, bool) {
	answer := make(chan model.GroupAnswer, 1)
	now = g.awaitFirstStatus(now)
	g.mu.Lock()
	if g.stopped {
		g.mu.Unlock()
		return model.GroupAnswer{}, false
	}
	g.lastUsed = now
	g.waiters[req.ID] = answer
	g.apply(now, g.sched.Submit(now, req))
	g.mu.Unlock()

	if req.NonIdempotent {
		// An order attempt is never cancelled: the instance that issued the
		// order's ticket waits for the outcome or records it as unknown.
		return <-answer, true
	}
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		g.cancel(req.ID)
		return <-answer, true
	}
}

// cancel ends a request whose sender no longer waits for the answer.
func (g *homeGroup) cancel(id model.AttemptID) {
	now := g.instance.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(now, g.sched.Cancel(now, id))
	if w := g.waiters[id]; w != nil {
		delete(g.waiters, id)
		w <- model.GroupAnswer{ID: id, Code: result.Cancelled}
	}
}

// apply carries out the scheduler's actions and sets the timer for its next wake-up.
// It must be called with g.mu locked.
func (g *homeGroup) apply(now time.Time, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Start:
			g.start(a)
		case scheduler.Stop:
			if cancel := g.running[a.Attempt]; cancel != nil {
				cancel()
			}
		case scheduler.Done:
			if w := g.waiters[a.Answer.ID]; w != nil {
				delete(g.waiters, a.Answer.ID)
				w <- a.Answer
			}
		default:
			g.report(now, action)
		}
	}
	g.setTimer(now)
}

func (g *homeGroup) start(a scheduler.Start) {
	g.instance.ports.Metrics.AttemptSent(attemptKind(a))
	ctx, cancel := context.WithCancel(g.instance.lifecycle.context())
	g.running[a.Call.Attempt] = cancel
	go g.execute(ctx, a.Call)
}

// execute sends one attempt to its upstream and passes the reply to the scheduler.
func (g *homeGroup) execute(ctx context.Context, call port.UpstreamCall) {
	started := g.instance.now()
	reply := g.instance.ports.Upstreams.Execute(ctx, call)
	now := g.instance.now()
	g.instance.detectPause(now)
	g.instance.ports.Metrics.AttemptFinished(now.Sub(started))
	g.mu.Lock()
	defer g.mu.Unlock()
	if cancel := g.running[call.Attempt]; cancel != nil {
		cancel()
		delete(g.running, call.Attempt)
	}
	if reply.Ran == model.Ran && !reply.Draining {
		g.lastReply[call.Upstream] = now
	}
	g.apply(now, g.sched.Finish(now, call.Attempt, reply))
}

// setTimer schedules a call of tick at the scheduler's next wake-up time. It must
// be called with g.mu locked.
func (g *homeGroup) setTimer(now time.Time) {
	wake, ok := g.sched.NextWake()
	if !ok || g.stopped {
		return
	}
	if g.timer != nil {
		if g.wakeAt.Equal(wake) {
			return
		}
		g.timer.Stop()
	}
	g.wakeAt = wake
	g.timer = g.instance.ports.Clock.AfterFunc(max(wake.Sub(now), 0), g.tick)
}

func (g *homeGroup) tick() {
	now := g.instance.now()
	g.instance.detectPause(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	g.timer = nil
	g.apply(now, g.sched.Tick(now))
}

func (g *homeGroup) resume(now time.Time, gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(now, g.sched.Resume(now, gap))
}

func (g *homeGroup) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	if g.timer != nil {
		g.timer.Stop()
	}
	for _, cancel := range g.running {
		cancel()
	}
}

func (g *homeGroup) pending() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters) + len(g.running)
}

// applyLeavingUpstreams tells the scheduler for each upstream whether the platform
// lists its address as leaving. It must be called with g.mu locked.
func (g *homeGroup) applyLeavingUpstreams(now time.Time, leaving map[string]bool) {
	doc := g.instance.document(g.key.Service)
	if doc == nil {
		return
	}
	for _, u := range doc.Upstreams {
		g.apply(now, g.sched.SetUpstreamLeaving(now, u.Name, leaving[u.Address]))
	}
}

// setLeavingUpstreams stores which upstreams the platform lists as leaving and
// tells the schedulers of all groups.
func (i *Instance) setLeavingUpstreams(now time.Time, listed []port.ListedUpstream) {
	leaving := make(map[string]bool)
	for _, u := range listed {
		if u.Leaving {
			leaving[u.Address] = true
		}
	}
	i.homes.mu.Lock()
	i.homes.leaving = leaving
	i.homes.mu.Unlock()
	for _, g := range i.homes.all() {
		g.mu.Lock()
		g.applyLeavingUpstreams(now, leaving)
		g.mu.Unlock()
	}
}

// dropIdleGroups drops the state of groups that had no request for groupIdleTime
// and whose home is another instance. It closes the connections to upstreams that
// no remaining group uses.
func (i *Instance) dropIdleGroups(now time.Time) {
	dropped := false
	for _, g := range i.homes.all() {
		if !g.isIdle(now) || i.isHome(now, g.key) {
			continue
		}
		i.homes.mu.Lock()
		delete(i.homes.groups, g.key)
		i.homes.mu.Unlock()
		g.stop()
		i.unschedule("status " + g.key.String())
		dropped = true
	}
	if dropped {
		i.ports.Upstreams.Retain(i.homeUpstreamAddresses())
	}
}

// isIdle reports whether the group has no request or attempt in progress and had
// no request for groupIdleTime.
func (g *homeGroup) isIdle(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.lastUsed) > groupIdleTime && len(g.waiters) == 0 && len(g.running) == 0
}

// unschedule cancels the timer that schedule has set under this name, if there is
// one.
func (i *Instance) unschedule(name string) {
	l := &i.lifecycle
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.timers[name]; t != nil {
		t.Stop()
		delete(l.timers, name)
	}
}
