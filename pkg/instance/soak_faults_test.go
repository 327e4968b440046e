package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// plannedFault is one fault of a plan. target and parameter are arbitrary numbers
// from which the function that injects the fault chooses the affected host, upstream
// or service and details such as probabilities.
type plannedFault struct {
	kind              string
	at                time.Duration
	target, parameter int
	duration          time.Duration
}

// faultKinds maps each kind to the function that injects the fault and returns when
// the fault is over.
var faultKinds = map[string]func(*driver, plannedFault){
	"kill":       (*driver).killHost,
	"cut":        func(d *driver, fault plannedFault) { d.cutLink(fault, true) },
	"cut_oneway": func(d *driver, fault plannedFault) { d.cutLink(fault, false) },
	"split":      (*driver).partitionFleet,
	"pause":      (*driver).pauseHost,
	"platform_down": func(d *driver, fault plannedFault) {
		d.disturbPlatform(fault, true, 0)
	},
	"platform_stale": func(d *driver, fault plannedFault) { d.disturbPlatform(fault, false, 1+fault.target) },
	"rollback":       (*driver).rollback,
	"messages":       (*driver).disturbMessages,
	"order_copies":   (*driver).disturbMessages,
	"index":          func(d *driver, fault plannedFault) { d.publishSnapshot(fault, false) },
	"repartition":    func(d *driver, fault plannedFault) { d.publishSnapshot(fault, true) },
	"invalid":        (*driver).publishInvalid,
	"race":           (*driver).publishConflict,
	"restart":        (*driver).rollingRestart,
	"crash_request":  (*driver).crashRequest,
	"upstream_lost":  func(d *driver, fault plannedFault) { d.targetUpstream(fault).breakConnections(nil, fault.duration) },
	"upstream_slow":  (*driver).slowUpstream,
	"leaving":        (*driver).leavingUpstream,
	"flood":          (*driver).floodQueries,
}

// randomPlan returns a plan of up to 8 faults of the given kinds, some of them
// twice. It depends on the kinds and the seed alone.
func randomPlan(kinds []string, seed int) []plannedFault {
	slices.Sort(kinds)
	generator := rapid.Custom(func(t *rapid.T) []plannedFault {
		n := rapid.IntRange(1, 8).Draw(t, "faults")
		var plan []plannedFault
		for range n {
			fault := plannedFault{
				// rapid prefers low values; adding the seed makes all kinds likely.
				kind:      kinds[(rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")+seed)%len(kinds)],
				at:        time.Duration(rapid.IntRange(0, int(faultWindow/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
				target:    rapid.IntRange(0, 59).Draw(t, "a"),
				parameter: rapid.IntRange(0, 59).Draw(t, "b"),
				duration:  time.Duration(rapid.IntRange(100, 6000).Draw(t, "dur")) * time.Millisecond,
			}
			plan = append(plan, fault)
			if rapid.IntRange(0, 3).Draw(t, "again") == 0 { // The same fault again, overlapping in time.
				fault.at += fault.duration / 2
				plan = append(plan, fault)
			}
		}
		return plan
	})
	return generator.Example(seed)
}

// publishSnapshot publishes a document with a new snapshot. If repartition is true,
// the snapshot may have another number of shards. Each upstream loads the snapshot
// up to 2 s after the call, so some may load it after the document is published.
func (d *driver) publishSnapshot(fault plannedFault, repartition bool) {
	doc := d.nextRevision(services[fault.target%2])
	shards := len(doc.Newest().Shards)
	if repartition {
		shards = 2 + fault.parameter%8
	}
	d.addSnapshot(doc, shards)
	id := doc.Newest().ID
	for _, u := range doc.Upstreams {
		upstream := d.upstreams[u.Address]
		time.AfterFunc(d.randomBetween(0, 2*time.Second), func() {
			upstream.mu.Lock()
			defer upstream.mu.Unlock()
			upstream.snapshots[id] = true
		})
	}
	time.Sleep(time.Duration(fault.parameter%3) * 500 * time.Millisecond)
	d.publish(doc)
}

// publishInvalid publishes a document without upstreams, which is invalid, and a
// valid one with a lower revision after it.
func (d *driver) publishInvalid(fault plannedFault) {
	service := services[fault.target%2]
	d.mu.Lock()
	c := *d.latestDocuments[service]
	d.mu.Unlock()
	c.Revision += 100
	c.Upstreams = nil
	content, _ := json.Marshal(c)
	d.platform.publish(map[string][]byte{service: content})
	time.Sleep(fault.duration)
	d.publish(d.nextRevision(service))
}

// publishConflict publishes two documents with the same revision but different
// content, as two operators can do at the same time.
func (d *driver) publishConflict(fault plannedFault) {
	one := d.nextRevision(services[fault.target%2])
	other := *one
	other.Priorities = slices.Clone(other.Priorities)
	other.Priorities[0].Worth = 7
	d.publish(one)
	time.Sleep(d.randomBetween(0, 300*time.Millisecond))
	d.publish(&other)
}

// rollback makes the platform return to an older state of its documents, as a new
// version of the platform.
func (d *driver) rollback(fault plannedFault) {
	d.platform.mu.Lock()
	old := d.platform.history[fault.parameter%len(d.platform.history)]
	d.platform.mu.Unlock()
	d.platform.publish(old)
	time.Sleep(fault.duration)
}

// disturbPlatform takes the platform down, or makes readers see an old version,
// for the duration of the fault.
func (d *driver) disturbPlatform(fault plannedFault, down bool, stale int) {
	d.platform.setVisibility(down, stale)
	time.Sleep(fault.duration)
	d.platform.setVisibility(false, 0)
}

func (d *driver) hostAt(n int) *host { return d.hosts[n%len(d.hosts)] }

// targetUpstream returns the upstream that the fault affects.
func (d *driver) targetUpstream(fault plannedFault) *fakeUpstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.latestDocuments[services[fault.target%2]].Upstreams
	return d.upstreams[u[fault.parameter%len(u)].Address]
}

// killHost kills the process of a host without notice and starts a new one.
func (d *driver) killHost(fault plannedFault) {
	h := d.hostAt(fault.target)
	d.restartLock <- struct{}{}
	defer func() { <-d.restartLock }()
	p := h.currentProcess()
	if p == nil {
		return
	}
	h.kill()
	for _, u := range d.upstreams {
		u.closeConnectionsOf(p)
	}
	time.Sleep(fault.duration / 2)
	h.start()
}

// setCut cuts or restores the link between two hosts in one direction.
func (d *driver) setCut(from, to int, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from != to {
		d.cutLinks[[2]int{from, to}] = cut
	}
}

// cutLink cuts the link between two hosts, in one direction or in both.
func (d *driver) cutLink(fault plannedFault, bothDirections bool) {
	a, b := fault.target%fleetSize, fault.parameter%fleetSize
	for _, on := range []bool{true, false} {
		d.setCut(a, b, on)
		if bothDirections {
			d.setCut(b, a, on)
		}
		if on {
			time.Sleep(fault.duration)
		}
	}
}

// partitionFleet cuts all links between two sets of hosts.
func (d *driver) partitionFleet(fault plannedFault) {
	side := func(n int) bool { return (fault.target+fault.parameter)>>n&1 == 1 }
	for _, on := range []bool{true, false} {
		for a := range fleetSize {
			for b := range fleetSize {
				if side(a) != side(b) {
					d.setCut(a, b, on)
				}
			}
		}
		if on {
			time.Sleep(fault.duration)
		}
	}
}

func (d *driver) pauseHost(fault plannedFault) {
	if p := d.hostAt(fault.target).currentProcess(); p != nil {
		p.pause()
		time.Sleep(fault.duration)
		p.resume()
	}
}

// disturbMessages injects faults of single messages for the duration of the fault.
// The kind order_copies duplicates 20% of the orders between instances and
// misroutes nothing.
func (d *driver) disturbMessages(fault plannedFault) {
	set := func(m messageFaults) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.messageFaults = m
	}
	probability := 0.01 + float64(fault.parameter)/400
	if fault.kind == "order_copies" {
		set(messageFaults{lost: probability, delayed: probability, duplicated: probability, orderDuplicated: 0.2})
	} else {
		set(messageFaults{lost: probability, delayed: probability, duplicated: probability, misrouted: probability / 2})
	}
	time.Sleep(fault.duration)
	set(messageFaults{})
}

// rollingRestart restarts up to three instances gracefully, one after another.
func (d *driver) rollingRestart(fault plannedFault) {
	for k := range 1 + fault.parameter%3 {
		d.gracefulRestart(d.hostAt(fault.target + k))
	}
}

// gracefulRestart stops an instance in the steps of the real program's shutdown,
// checks that no work was cut off, and starts a new process. A stop that a pause
// interrupts is not checked.
func (d *driver) gracefulRestart(h *host) {
	d.restartLock <- struct{}{}
	defer func() { <-d.restartLock }()
	p := h.currentProcess()
	// A paused process handles the shutdown signal only after its pause.
	if p == nil || !p.awaitRunning() {
		return
	}
	pauses := p.pauses()
	p.instance.Leave()
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	time.Sleep(balancerLag)
	p.callersClosed.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err := p.instance.Drain(ctx)
	time.Sleep(time.Millisecond) // Lets answers reach their callers.
	busy := 0
	for _, u := range d.upstreams {
		p.mu.Lock()
		busy += p.upstreamCalls[u.spec.Name]
		p.mu.Unlock()
	}
	callers := p.callerRequests.Load()
	p.peersClosed.Store(true)
	for p.peerRequests.Load() > 0 && ctx.Err() == nil { // The server for peers waits for its requests.
		time.Sleep(10 * time.Millisecond)
	}
	d.check("graceful stop", p.pauses() != pauses || err == nil && callers == 0 && p.peerRequests.Load() == 0 && busy == 0,
		"%s stopped with %d requests of callers, %d of peers, %d at upstreams: %v", h.id, callers, p.peerRequests.Load(), busy, err)
	p.instance.Stop()
	h.kill()
	for _, u := range d.upstreams {
		u.closeConnectionsOf(p)
	}
	time.Sleep(d.randomBetween(100*time.Millisecond, time.Second))
	h.start()
}

// crashRequest sends a request that crashes each upstream that runs it. It sends it
// two to six times, each time through a randomly chosen instance.
func (d *driver) crashRequest(fault plannedFault) {
	tag := fmt.Sprintf("crash-%d", d.lastTag.Add(1))
	for range 2 + fault.parameter%5 {
		d.load.Go(func() { d.query(services[fault.target%2], "top", tag, true) })
		time.Sleep(fault.duration / 8)
	}
}

// slowUpstream makes an upstream 20 times slower for the duration of the fault.
func (d *driver) slowUpstream(fault plannedFault) {
	u := d.targetUpstream(fault)
	for _, factor := range []float64{20, 1} {
		u.mu.Lock()
		u.slowFactor = factor
		u.mu.Unlock()
		if factor > 1 {
			time.Sleep(fault.duration)
		}
	}
}

// leavingUpstream makes an upstream leave and come back. Either the platform lists the
// upstream as leaving, or the upstream refuses new work, or it marks its replies. At
// most one upstream of a service leaves at a time.
func (d *driver) leavingUpstream(fault plannedFault) {
	d.mu.Lock()
	alreadyLeaving := d.leavingServices[services[fault.target%2]]
	d.leavingServices[services[fault.target%2]] = true
	d.mu.Unlock()
	if alreadyLeaving {
		return
	}
	u := d.targetUpstream(fault)
	mode := []drainMode{notDraining, drainRefusing, drainMarking}[(fault.target+fault.parameter)/2%3]
	set := func(m drainMode) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.drainMode, u.drainingSince = m, time.Now()
	}
	if mode == notDraining {
		d.platform.setLeaving(u.spec.Address, true)
	}
	set(mode)
	time.Sleep(4*time.Second + fault.duration)
	set(notDraining)
	d.platform.setLeaving(u.spec.Address, false)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leavingServices[services[fault.target%2]] = false
}

// floodQueries sends 500 queries per second of one priority for half of the
// fault's duration.
func (d *driver) floodQueries(fault plannedFault) {
	priority := []string{"top", "middle", "low"}[fault.parameter%3]
	end := time.Now().Add(fault.duration / 2)
	for time.Now().Before(end) {
		d.load.Go(func() { d.query(services[fault.target%2], priority, "", false) })
		time.Sleep(2 * time.Millisecond)
	}
}
