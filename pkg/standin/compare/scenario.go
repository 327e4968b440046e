package compare

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// warmUp is left out of the figures. arrivalTime ends the arrivals, and
	// runTime covers the longest deadline after it.
	warmUp      = 2 * time.Second
	arrivalTime = 8 * time.Second
	runTime     = 14 * time.Second
	// faultTime is when a fault starts.
	faultTime = 3 * time.Second
	callers   = 5
)

// scenario is offered load by priority, as fractions of capacity, and a fault.
type scenario struct {
	name  string
	load  [3]float64
	fault func(w *world)
	// sudden makes the load start at faultTime, after a light one.
	sudden bool
}

// decision is what is decided, the ways to decide it, and the scenarios in
// which they differ.
type decision struct {
	key, name string
	ways      []way
	scenarios []scenario
}

var (
	lightLoad  = [3]float64{0.18, 0.14, 0.08}
	mediumLoad = [3]float64{0.25, 0.2, 0.15}
	// In the floods the other priorities offer what their shares guarantee.
	urgentFlood = [3]float64{3, 0.3, 0.2}
	lateFlood   = [3]float64{0.4, 0.3, 3}
)

func decisions() []decision {
	return []decision{
		{"a", "who schedules an upstream", schedulingWays, []scenario{
			{name: "40% load", load: lightLoad},
			{name: "flood of the most urgent", load: urgentFlood},
			{name: "flood of the least urgent", load: lateFlood},
			{name: "member lists differ, 60% load", load: mediumLoad, fault: splitLists},
			{name: "member lists differ, flood of the least urgent", load: lateFlood, fault: splitLists},
			{name: "the same, no queue at upstreams", load: lateFlood, fault: splitListsNoQueue},
			{name: "home killed, 60% load", load: mediumLoad, fault: homeKilled},
			{name: "home paused 2 s, 60% load", load: mediumLoad, fault: homePaused},
		}},
		{"b", "order among priorities", priorityWays, []scenario{
			{name: "60% load", load: mediumLoad},
			{name: "flood of the least urgent", load: lateFlood},
			{name: "flood of the most urgent", load: urgentFlood},
			{name: "sudden flood of the most urgent", load: urgentFlood, sudden: true},
		}},
		{"c", "refusal of work that cannot end in time", admissionWays, []scenario{
			{name: "flood of the least urgent", load: lateFlood},
			{name: "flood of the most urgent", load: urgentFlood},
		}},
		{"d", "replica choice", replicaWays, []scenario{
			{name: "60% load", load: mediumLoad, fault: reportLoad},
			{name: "one replica 20 times slower", load: lightLoad, fault: slowReplica},
			{name: "flood of the most urgent", load: urgentFlood, fault: reportLoad},
		}},
		{"e", "hedges", hedgeWays, []scenario{
			{name: "40% load", load: lightLoad},
			{name: "one replica 20 times slower", load: lightLoad, fault: slowReplica},
			{name: "flood of the most urgent", load: urgentFlood},
			{name: "slow replica and flood of the least urgent", load: lateFlood, fault: slowReplica},
		}},
		{"f", "retries", retryWays, []scenario{
			{name: "upstreams shed 5%, 40% load", load: lightLoad, fault: shedding(0.05)},
			{name: "upstreams shed 10%, 40% load", load: lightLoad, fault: shedding(0.1)},
			{name: "upstreams shed 10%, flood of the least urgent", load: lateFlood, fault: shedding(0.1)},
			{name: "upstreams shed 60%, 40% load", load: lightLoad, fault: shedding(0.6)},
			{name: "an upstream left with one slot, 40% load", load: lightLoad, fault: oneSlot},
			{name: "all replicas of a shard lost", load: lightLoad, fault: shardLost},
		}},
		{"g", "cold start", rampWays, []scenario{
			{name: "an upstream restarts cold, 60% load", load: mediumLoad, fault: coldStart},
			{name: "an upstream restarts cold, flood of the least urgent", load: lateFlood, fault: coldStart},
		}},
	}
}

func splitLists(w *world) { w.split = true }

func splitListsNoQueue(w *world) {
	w.split = true
	for _, u := range w.order {
		u.queueLimit = 0
	}
}

// oneSlot is an upstream that serves others as well.
func oneSlot(w *world) {
	w.order[0].slots = 1
	w.order[0].queueLimit = 0
}

func homeKilled(w *world) { w.after(faultTime, func() { w.kill(w.ranked[0]) }) }

func homePaused(w *world) { w.after(faultTime, func() { w.pause(w.ranked[0], 2*time.Second) }) }

func slowReplica(w *world) {
	w.after(faultTime, func() { w.order[0].slow = 20 })
	reportLoad(w)
}

// reportLoad refreshes each second what the load endpoints show. One upstream
// always shows no load.
func reportLoad(w *world) {
	const interval = time.Second
	for _, u := range w.order {
		u.misleads = u == w.order[0]
		if !u.misleads {
			u.reported = float64(u.running + len(u.queue))
		}
	}
	w.after(interval, func() { reportLoad(w) })
}

func shedding(fraction float64) func(w *world) {
	return func(w *world) {
		for _, u := range w.order {
			u.shed = fraction
		}
	}
}

// shardLost ends the two upstreams that hold the first shard.
func shardLost(w *world) {
	w.after(faultTime, func() {
		for _, name := range w.doc.Newest().Shards[0].Replicas {
			w.crash(w.servers[name])
		}
	})
}

func coldStart(w *world) {
	w.after(faultTime, func() {
		w.crash(w.order[0])
		w.after(500*time.Millisecond, func() { w.restart(w.order[0]) })
	})
}

// offer schedules the arrivals. They depend on the size, the load and the seed
// alone.
func (w *world) offer(sc scenario) {
	r := rand.New(rand.NewPCG(w.seed, 1))
	for priority, fraction := range sc.load {
		at := 0.0
		for {
			rate := fraction * w.size.capacity()
			if sc.sudden && at < faultTime.Seconds() {
				rate = lightLoad[priority] * w.size.capacity()
			}
			at += r.ExpFloat64() / rate
			if at > arrivalTime.Seconds() {
				break
			}
			caller := fmt.Sprintf("c%d", r.IntN(callers))
			entry := r.IntN(len(w.instances))
			w.after(time.Duration(at*float64(time.Second)), func() { w.arriveAt(entry, priority, caller) })
		}
	}
}

// arriveAt submits a query to the entry that the balancer chose, or to the
// next one that the balancer knows to be up.
func (w *world) arriveAt(entry, priority int, caller string) {
	x := w.instances[entry]
	if x.down || w.avoided[x] {
		x = w.instances[(entry+1)%len(w.instances)]
	}
	w.submit(&queryRun{number: len(w.queries), at: w.now, priority: priority, entry: x}, caller)
}
