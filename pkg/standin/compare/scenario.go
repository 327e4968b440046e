package compare

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// Most figures leave out the queries that arrive in the first warmUp of a run.
	// No query arrives after arrivalTime. A run ends at runTime, so that the last
	// query has time for the longest deadline (5 s).
	warmUp      = 2 * time.Second
	arrivalTime = 8 * time.Second
	runTime     = 14 * time.Second
	// faultAt is the virtual time at which a fault starts.
	faultAt     = 3 * time.Second
	callerCount = 5
)

// scenario is the offered load of each priority, as a fraction of the capacity,
// and optionally a fault, which is set up before the run.
type scenario struct {
	name  string
	load  [3]float64
	fault func(sim *simulation)
	// If suddenLoad is set, the offered load is lightLoad until faultAt, and load
	// from then on.
	suddenLoad bool
}

// decision is a decision of the product with the variants that make it in
// different ways (the product first) and the scenarios in which they are compared.
type decision struct {
	key, name string
	variants  []variant
	scenarios []scenario
}

var (
	lightLoad  = [3]float64{0.18, 0.14, 0.08}
	mediumLoad = [3]float64{0.25, 0.2, 0.15}
	// In a flood one priority offers 3 times the capacity, and each of the others
	// offers at most its guaranteed share (0.5, 0.3 and 0.2).
	mostUrgentFlood  = [3]float64{3, 0.3, 0.2}
	leastUrgentFlood = [3]float64{0.4, 0.3, 3}
)

func decisions() []decision {
	return []decision{
		{"a", "who schedules an upstream", schedulingVariants, []scenario{
			{name: "40% load", load: lightLoad},
			{name: "flood of the most urgent", load: mostUrgentFlood},
			{name: "flood of the least urgent", load: leastUrgentFlood},
			{name: "member lists differ, 60% load", load: mediumLoad, fault: differingMemberLists},
			{name: "member lists differ, flood of the least urgent", load: leastUrgentFlood, fault: differingMemberLists},
			{name: "the same, no queue at upstreams", load: leastUrgentFlood, fault: differingMemberListsNoQueue},
			{name: "home killed, 60% load", load: mediumLoad, fault: killHome},
			{name: "home paused 2 s, 60% load", load: mediumLoad, fault: pauseHome},
		}},
		{"b", "order among priorities", priorityVariants, []scenario{
			{name: "60% load", load: mediumLoad},
			{name: "flood of the least urgent", load: leastUrgentFlood},
			{name: "flood of the most urgent", load: mostUrgentFlood},
			{name: "sudden flood of the most urgent", load: mostUrgentFlood, suddenLoad: true},
		}},
		{"c", "refusal of work that cannot end in time", admissionVariants, []scenario{
			{name: "flood of the least urgent", load: leastUrgentFlood},
			{name: "flood of the most urgent", load: mostUrgentFlood},
		}},
		{"d", "replica choice", replicaVariants, []scenario{
			{name: "60% load", load: mediumLoad, fault: refreshReportedLoad},
			{name: "one replica 20 times slower", load: lightLoad, fault: slowOneReplica},
			{name: "flood of the most urgent", load: mostUrgentFlood, fault: refreshReportedLoad},
		}},
		{"e", "hedges", hedgeVariants, []scenario{
			{name: "40% load", load: lightLoad},
			{name: "one replica 20 times slower", load: lightLoad, fault: slowOneReplica},
			{name: "flood of the most urgent", load: mostUrgentFlood},
			{name: "slow replica and flood of the least urgent", load: leastUrgentFlood, fault: slowOneReplica},
		}},
		{"f", "retries", retryVariants, []scenario{
			{name: "upstreams shed 5%, 40% load", load: lightLoad, fault: shedAtUpstreams(0.05)},
			{name: "upstreams shed 10%, 40% load", load: lightLoad, fault: shedAtUpstreams(0.1)},
			{name: "upstreams shed 10%, flood of the least urgent", load: leastUrgentFlood, fault: shedAtUpstreams(0.1)},
			{name: "upstreams shed 60%, 40% load", load: lightLoad, fault: shedAtUpstreams(0.6)},
			{name: "an upstream left with one slot, 40% load", load: lightLoad, fault: leaveOneSlot},
			{name: "all replicas of a shard lost", load: lightLoad, fault: loseShard},
		}},
		{"g", "cold start", rampVariants, []scenario{
			{name: "an upstream restarts cold, 60% load", load: mediumLoad, fault: restartCold},
			{name: "an upstream restarts cold, flood of the least urgent", load: leastUrgentFlood, fault: restartCold},
		}},
	}
}

func differingMemberLists(sim *simulation) { sim.memberListsDiffer = true }

// differingMemberListsNoQueue does the same as differingMemberLists and removes the
// queues of the upstreams, so that they refuse each call that finds no free slot.
func differingMemberListsNoQueue(sim *simulation) {
	sim.memberListsDiffer = true
	for _, u := range sim.upstreams {
		u.queueLimit = 0
	}
}

// leaveOneSlot models an upstream whose other slots and queue places are occupied
// by work that doesn't come from these instances: it has one slot and no queue.
func leaveOneSlot(sim *simulation) {
	sim.upstreams[0].slots = 1
	sim.upstreams[0].queueLimit = 0
}

func killHome(s *simulation) { s.after(faultAt, func() { s.kill(s.homeOrder[0]) }) }

func pauseHome(s *simulation) { s.after(faultAt, func() { s.pause(s.homeOrder[0], 2*time.Second) }) }

func slowOneReplica(sim *simulation) {
	sim.after(faultAt, func() { sim.upstreams[0].slowdown = 20 })
	refreshReportedLoad(sim)
}

// refreshReportedLoad sets the load that the load endpoint of each upstream
// reports, and sets it again each second. The first upstream always reports no
// load.
func refreshReportedLoad(sim *simulation) {
	const interval = time.Second
	for _, u := range sim.upstreams {
		u.alwaysReportsIdle = u == sim.upstreams[0]
		if !u.alwaysReportsIdle {
			u.reportedLoad = float64(u.running + len(u.queue))
		}
	}
	sim.after(interval, func() { refreshReportedLoad(sim) })
}

func shedAtUpstreams(fraction float64) func(sim *simulation) {
	return func(sim *simulation) {
		for _, u := range sim.upstreams {
			u.shedFraction = fraction
		}
	}
}

// loseShard crashes both upstreams that hold the first shard.
func loseShard(sim *simulation) {
	sim.after(faultAt, func() {
		for _, name := range sim.doc.Newest().Shards[0].Replicas {
			sim.crashUpstream(sim.byName[name])
		}
	})
}

// restartCold crashes the first upstream and restarts it half a second later, in
// its cold state.
func restartCold(sim *simulation) {
	sim.after(faultAt, func() {
		sim.crashUpstream(sim.upstreams[0])
		sim.after(500*time.Millisecond, func() { sim.restartUpstream(sim.upstreams[0]) })
	})
}

// scheduleArrivals schedules the arrivals of all queries. They depend only on the
// size, the scenario's load and the seed, so that all variants get the same ones.
func (sim *simulation) scheduleArrivals(sc scenario) {
	r := rand.New(rand.NewPCG(sim.seed, 1))
	for priority, fraction := range sc.load {
		arrivalSeconds := 0.0
		for {
			rate := fraction * sim.size.capacity()
			if sc.suddenLoad && arrivalSeconds < faultAt.Seconds() {
				rate = lightLoad[priority] * sim.size.capacity()
			}
			arrivalSeconds += r.ExpFloat64() / rate
			if arrivalSeconds > arrivalTime.Seconds() {
				break
			}
			caller := fmt.Sprintf("c%d", r.IntN(callerCount))
			entry := r.IntN(len(sim.instances))
			sim.after(time.Duration(arrivalSeconds*float64(time.Second)), func() { sim.submitAtEntry(entry, priority, caller) })
		}
	}
}

// submitAtEntry submits a query at the entry that the load balancer chose, given
// by its index, or at the next instance if that entry is down or believed lost.
func (sim *simulation) submitAtEntry(entry, priority int, caller string) {
	inst := sim.instances[entry]
	if inst.down || sim.believedLost[inst] {
		inst = sim.instances[(entry+1)%len(sim.instances)]
	}
	sim.submit(&simulatedQuery{number: len(sim.queries), arrivedAt: sim.now, priority: priority, entry: inst}, caller)
}
