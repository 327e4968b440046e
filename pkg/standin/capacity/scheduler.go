package capacity

import (
	"encoding/json"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// groupLoad puts load on the scheduler of one group in virtual time. It keeps a
// fixed number of requests open and answers the attempts in the order in which
// the scheduler started them.
type groupLoad struct {
	sched          *scheduler.Scheduler
	group          document.Group
	doc            *document.Document
	shards         []model.ShardID
	now            time.Time
	newID          func() model.AttemptID
	startedCalls   []port.UpstreamCall
	openRequests   int
	refused        int
	attempts       int
	shardResult    json.RawMessage
	requestPayload json.RawMessage
}

// noQuarantine is a quarantine that blocks no fingerprint.
type noQuarantine struct{}

func (noQuarantine) Blocked(time.Time, model.Fingerprint) bool { return false }

// chainedDocument returns a parsed document whose upstreams all belong to one
// scheduling group, because the replicas of each shard overlap with those of the
// next shard.
func chainedDocument(upstreams int) *document.Document {
	var raw map[string]any
	if err := json.Unmarshal(documentContent(0, 1, upstreams, 1, withinRegion(0, true)), &raw); err != nil {
		panic(err)
	}
	for _, v := range raw["snapshots"].([]any) {
		shards := v.(map[string]any)["shards"].([]any)
		upstreamNames := make([]any, len(shards))
		for i, s := range shards {
			upstreamNames[i] = s.(map[string]any)["replicas"].([]any)[0]
		}
		for i, s := range shards {
			var holders []any
			for replica := range min(replicas, len(upstreamNames)) {
				holders = append(holders, upstreamNames[(i+replica)%len(upstreamNames)])
			}
			s.(map[string]any)["replicas"] = holders
		}
	}
	content, err := json.Marshal(raw)
	if err != nil {
		panic(err)
	}
	return mustParse(content)
}

func newGroupLoad(d *document.Document, shards int, seed uint64) *groupLoad {
	l := &groupLoad{
		doc: d, group: d.Groups()[0], now: epoch, newID: sequentialIDs(),
		shardResult: payload(resultBytes), requestPayload: payload(payloadBytes),
	}
	groupOf := d.ShardGroups(d.Newest())
	for _, s := range d.Newest().Shards {
		if groupOf[s.ID] == 0 && len(l.shards) < shards {
			l.shards = append(l.shards, s.ID)
		}
	}
	l.sched = scheduler.New(scheduler.Config{
		Document: d, Group: l.group, LocalDataCentre: l.group.Upstreams[0].DataCentre, MaxInstances: maxInstances,
		NewID: l.newID, Rand: rand.New(rand.NewPCG(seed, 1)), Quarantine: noQuarantine{},
	}, l.now)
	return l
}

func (l *groupLoad) submit() {
	l.openRequests++
	l.applyActions(l.sched.Submit(l.now, model.GroupRequest{
		ID: l.newID(), Group: l.group.Key, Revision: l.doc.Revision, Operation: "lookup", Priority: "high", Caller: "caller",
		Payload: l.requestPayload, Snapshot: l.doc.Newest().ID, Shards: l.shards, LeastShards: 1, Deadline: l.now.Add(10 * time.Second),
	}))
}

func (l *groupLoad) applyActions(actions []scheduler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Start:
			l.startedCalls = append(l.startedCalls, a.Call)
		case scheduler.Done:
			l.openRequests--
			if a.Answer.Code != result.OK {
				l.refused++
			}
		}
	}
}

// finishOldest answers, of the attempts without an answer, the one that was
// started first.
func (l *groupLoad) finishOldest() {
	c := l.startedCalls[0]
	l.startedCalls = l.startedCalls[1:]
	l.attempts++
	l.now = l.now.Add(5 * time.Microsecond)
	l.applyActions(l.sched.Finish(l.now, c.Attempt, port.UpstreamReply{
		Code: result.OK, Ran: model.Ran, Attempt: c.Attempt, Snapshot: c.Snapshot, Shard: c.Shard, Result: l.shardResult,
	}))
}

// attemptCost runs the given number of attempts while it keeps openRequests
// requests open. It returns the time in microseconds and the bytes allocated, both
// per attempt.
func (l *groupLoad) attemptCost(attempts, openRequests int) []float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	attemptsBefore := l.attempts
	started := time.Now()
	for l.attempts < attemptsBefore+attempts {
		for l.openRequests < openRequests {
			l.submit()
		}
		l.finishOldest()
	}
	elapsed := time.Since(started)
	runtime.ReadMemStats(&after)
	if l.refused > 0 {
		panic("the scheduler refused a request of the measured load")
	}
	finished := l.attempts - attemptsBefore
	return []float64{microseconds(elapsed, finished), float64(after.TotalAlloc-before.TotalAlloc) / float64(finished)}
}

func measureScheduler(o Options) []Series {
	bySize := Series{
		Name: "scheduler size", Title: "Scheduler: group of growing size, 10 shards per request, 10 open requests",
		Size: "upstreams", Seed: o.Seed, Repeats: 5,
		Columns: []Column{
			column("time", "us per attempt", Linear), column("allocated", "B per attempt", Linear),
			column("memory", "KB", Linear), column("status", "us per read", Linear),
		},
	}
	for _, n := range o.sizes(6, 15, 30, 60, 150, 600) {
		d := chainedDocument(n)
		l := newGroupLoad(d, 10, o.Seed)
		l.attemptCost(o.count(5000), 10)
		values := medianOf(bySize.Repeats, func() []float64 { return l.attemptCost(o.count(5000), 10) })
		bySize.add(float64(n), append(values, schedulerMemory(d, o.Seed)/1024, statusCost(o, l))...)
	}
	byLoad := Series{
		Name: "scheduler load", Title: "Scheduler: group of 30 upstreams, 10 shards per request, growing number of open requests",
		Size: "open requests", Seed: o.Seed, Repeats: 5,
		Columns: []Column{column("time", "us per attempt", Linear), column("allocated", "B per attempt", Linear), column("memory", "KB", Linear)},
	}
	d := parsedDocument(10, replicas)
	for _, openRequests := range o.sizes(1, 10, 30, 100, 300, 1000) {
		before := heapBytes()
		l := newGroupLoad(d, 10, o.Seed)
		l.attemptCost(o.count(5000), 10)
		values := medianOf(byLoad.Repeats, func() []float64 { return l.attemptCost(o.count(5000), openRequests) })
		memory := heapBytes() - before
		runtime.KeepAlive(l)
		byLoad.add(float64(openRequests), append(values, memory/1024)...)
	}
	byShards := Series{
		Name: "scheduler shards", Title: "Scheduler: group of 32 upstreams, growing number of shards per request, 10 open requests",
		Size: "shards per request", Seed: o.Seed, Repeats: 5,
		Columns: []Column{column("time", "us per attempt", Linear), column("allocated", "B per attempt", Linear)},
	}
	chained := chainedDocument(document.MaxMergedGroup)
	for _, shards := range o.sizes(1, 4, 10, 20, 32) {
		l := newGroupLoad(chained, shards, o.Seed)
		l.attemptCost(o.count(5000), 10)
		byShards.add(float64(shards), medianOf(byShards.Repeats, func() []float64 { return l.attemptCost(o.count(5000), 10) })...)
	}
	return []Series{bySize, byLoad, byShards, measureAnsweredMemory(o, d)}
}

// measureAnsweredMemory measures the heap that a scheduler still uses for requests
// that it has answered but whose deadline has not passed.
func measureAnsweredMemory(o Options, d *document.Document) Series {
	s := Series{
		Name: "scheduler answered", Title: "Scheduler: heap kept for answered requests of 10 shards until their deadline",
		Size: "answered requests", Seed: o.Seed, Repeats: 1,
		Columns: []Column{column("memory", "KB", Linear)},
	}
	for _, n := range o.sizes(1000, 2000, 4000, 8000) {
		l := newGroupLoad(d, 10, o.Seed)
		before := heapBytes()
		l.attemptCost(10*n, 10)
		l.startedCalls = slices.Clone(l.startedCalls)
		s.add(float64(n), (heapBytes()-before)/1024)
		runtime.KeepAlive(l)
	}
	return s
}

// schedulerMemory returns the bytes of heap that a scheduler without requests
// uses.
func schedulerMemory(d *document.Document, seed uint64) float64 {
	before := heapBytes()
	l := newGroupLoad(d, 10, seed)
	memory := heapBytes() - before
	runtime.KeepAlive(l)
	return memory
}

// statusCost returns the time in microseconds that the scheduler takes to apply
// one status of an upstream (health and load).
func statusCost(o Options, l *groupLoad) float64 {
	status := port.UpstreamStatus{Healthy: true, InFlight: 1, Slots: slotsPerUpstream, Snapshots: []model.SnapshotID{l.doc.Newest().ID}}
	n := o.count(2000)
	started := time.Now()
	for i := range n {
		l.applyActions(l.sched.SetUpstreamStatus(l.now, l.group.Upstreams[i%len(l.group.Upstreams)].Name, status))
	}
	return microseconds(time.Since(started), n)
}
