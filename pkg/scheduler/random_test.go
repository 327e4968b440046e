package scheduler

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// step is one random action on the simulation.
type step struct {
	name string
	do   func(t *rapid.T, sim *simulation, s *Scheduler)
}

var steps = []step{
	{"submit", stepSubmit},
	{"submit", stepSubmit},
	{"submit", stepSubmit},
	{"order", stepOrder},
	{"again", stepResubmit},
	{"cancel", stepCancel},
	{"slow", func(t *rapid.T, sim *simulation, _ *Scheduler) {
		drawUpstream(t, sim).slowdown = rapid.SampledFrom([]float64{1, 3, 20, 200}).Draw(t, "slow")
	}},
	{"slots", func(t *rapid.T, sim *simulation, _ *Scheduler) {
		drawUpstream(t, sim).slots = rapid.IntRange(0, 3).Draw(t, "slots")
	}},
	{"down", func(t *rapid.T, sim *simulation, _ *Scheduler) {
		u := drawUpstream(t, sim)
		u.down = !u.down
	}},
	{"draining", func(t *rapid.T, sim *simulation, _ *Scheduler) {
		u := drawUpstream(t, sim)
		u.draining = !u.draining
	}},
	{"lying", func(t *rapid.T, sim *simulation, _ *Scheduler) {
		u := drawUpstream(t, sim)
		u.wrongEcho = !u.wrongEcho
	}},
	{"crash", func(t *rapid.T, sim *simulation, _ *Scheduler) { sim.crash(drawUpstream(t, sim)) }},
	{"leaving", stepLeaving},
	{"hint", stepStatusReport},
	{"document", stepDocument},
	{"pause", func(t *rapid.T, sim *simulation, _ *Scheduler) {
		sim.pause(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
		sim.advance(4 * time.Second)
	}},
}

func drawUpstream(t *rapid.T, sim *simulation) *fakeUpstream {
	return sim.upstreams[drawUpstreamName(t, sim)]
}

func drawUpstreamName(t *rapid.T, sim *simulation) string {
	return fmt.Sprintf("u%d", rapid.IntRange(0, len(sim.upstreams)-1).Draw(t, "upstream"))
}

func stepSubmit(t *rapid.T, sim *simulation, _ *Scheduler) {
	total := len(sim.doc.Snapshots[0].Shards)
	for range rapid.IntRange(1, 20).Draw(t, "count") {
		req := sim.newRequest(rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(1, total).Draw(t, "shards"))
		req.Deadline = sim.now.Add(time.Duration(rapid.IntRange(-1, 600).Draw(t, "deadline")) * time.Millisecond)
		req.Operation = rapid.SampledFrom([]string{"get", "get", "get", "get", "put", "no such"}).Draw(t, "operation")
		req.Fingerprint = model.Fingerprint(rapid.IntRange(1, 30).Draw(t, "fingerprint"))
		// Requests with this fingerprint crash each upstream that executes them.
		sim.submit(req).crashing = req.Fingerprint == 13
	}
}

func stepOrder(t *rapid.T, sim *simulation, _ *Scheduler) {
	req := sim.newRequest(rapid.IntRange(0, 2).Draw(t, "priority"), 1)
	req.NonIdempotent = true
	req.Operation = "put"
	req.OrderKey = "k"
	sim.submit(req)
}

// stepResubmit submits an answered request again under the same id, which must
// not run a second time.
func stepResubmit(t *rapid.T, sim *simulation, s *Scheduler) {
	if len(sim.submissions) == 0 {
		return
	}
	earlier := sim.submissions[rapid.IntRange(0, len(sim.submissions)-1).Draw(t, "which")]
	if !earlier.done || earlier.answer.Outcomes == nil {
		return
	}
	for _, a := range s.Submit(sim.now, earlier.req) {
		if d, ok := a.(Done); ok && d.Answer.ID == earlier.req.ID {
			if len(d.Answer.Outcomes) > 0 {
				t.Fatal("a request id was accepted twice")
			}
			continue
		}
		sim.applyActions([]Action{a})
	}
}

func stepCancel(t *rapid.T, sim *simulation, s *Scheduler) {
	for _, submitted := range sim.submissions {
		if !submitted.done && rapid.Bool().Draw(t, "cancel") {
			sim.applyActions(s.Cancel(sim.now, submitted.req.ID))
			if !submitted.done {
				t.Fatal("no answer to a cancelled request")
			}
			return
		}
	}
}

func stepLeaving(t *rapid.T, sim *simulation, s *Scheduler) {
	name := drawUpstreamName(t, sim)
	u := sim.upstreams[name]
	u.leaving = !u.leaving
	sim.applyActions(s.SetUpstreamLeaving(sim.now, name, u.leaving))
}

func stepStatusReport(t *rapid.T, sim *simulation, s *Scheduler) {
	status := port.UpstreamStatus{
		Healthy:   rapid.Bool().Draw(t, "healthy"),
		Draining:  rapid.Bool().Draw(t, "draining"),
		Snapshots: rapid.SampledFrom([][]model.SnapshotID{nil, {"v0"}, {"v1"}}).Draw(t, "snapshots"),
	}
	sim.applyActions(s.SetUpstreamStatus(sim.now, drawUpstreamName(t, sim), status))
}

// stepDocument applies a new document with another share and possibly another
// address, fewer slots or fewer upstreams.
func stepDocument(t *rapid.T, sim *simulation, s *Scheduler) {
	raw, _ := json.Marshal(sim.doc)
	d := &document.Document{}
	_ = json.Unmarshal(raw, d)
	d.Revision++
	d.Priorities[0].GuaranteedShare = rapid.Float64Range(0, 1).Draw(t, "share")
	if rapid.Bool().Draw(t, "address") {
		d.Upstreams[0].Address += "1"
		// An upstream with a new address counts as a new one: the scheduler
		// forgets that the old one was leaving, and attempts on the old one do
		// not count towards its limit.
		sim.upstreams["u0"].leaving = false
		sim.upstreams["u0"].ceiling = 99
	}
	if rapid.Bool().Draw(t, "fewer slots") {
		d.Upstreams[1].Slots = 2
	}
	if rapid.Bool().Draw(t, "remove") {
		for i := range d.Snapshots[0].Shards {
			d.Snapshots[0].Shards[i].Replicas = []string{"u0", "u1"}
		}
		d.Upstreams = d.Upstreams[:2]
	}
	sim.doc = d
	sim.applyActions(s.SetDocument(sim.now, d, d.Groups()[0]))
}

// TestRandomFaults guards against sequences of faults, cancellations, status
// reports, documents and pauses that violate an invariant: every request gets
// one answer in time, run states are reported correctly, orders run at most
// once, attempts in flight stay within the slots, extra attempts stay within
// the budget, and leaving upstreams get no new work.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), testDocument(rapid.IntRange(2, 4).Draw(t, "upstreams"), rapid.IntRange(1, 8).Draw(t, "shards")))
		s := sim.useScheduler(1)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			st := rapid.SampledFrom(steps).Draw(t, "step")
			st.do(t, sim, s)
			sim.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			checkCounters(t, s)
		}
		sim.advance(10 * time.Second)
		checkIdle(t, sim, s)
		extra := float64(sim.hedges + sim.retries)
		if first := float64(sim.starts) - extra; extra > extraBurstTokens+0.1*first+1 {
			t.Fatalf("%v extra attempts for %v first attempts", extra, first)
		}
		for _, f := range sim.faults {
			t.Fatal(f)
		}
	})
}

// checkCounters compares the scheduler's counters of waiting parts and of
// attempts in flight with its requests and attempts.
func checkCounters(t *rapid.T, s *Scheduler) {
	waiting, inFlight := map[*priority]int{}, map[*priority]int{}
	for _, r := range s.requests {
		n := 0
		for _, p := range r.parts {
			if p.state == partWaiting {
				n++
			}
		}
		if n != r.waitingParts {
			t.Fatalf("request has %d waiting shards, but its counter says %d", n, r.waitingParts)
		}
		waiting[r.prio] += n
	}
	for _, a := range s.attempts {
		inFlight[a.prio]++
	}
	for _, p := range s.priorities {
		queued := 0
		for _, q := range p.callers {
			queued += q.waitingParts
		}
		for _, r := range p.active {
			queued += r.waitingParts
		}
		if waiting[p] != p.waitingParts || queued != p.waitingParts || inFlight[p] != p.inFlight {
			t.Fatalf("priority %s: %d parts waiting and %d queued, counter says %d; %d in flight, counter says %d",
				p.name, waiting[p], queued, p.waitingParts, inFlight[p], p.inFlight)
		}
	}
	if _, err := json.Marshal(s.Status(s.now)); err != nil {
		t.Fatal(err)
	}
}

// checkIdle checks that every request was answered and that the scheduler holds
// no state of finished requests.
func checkIdle(t *rapid.T, sim *simulation, s *Scheduler) {
	for _, submitted := range sim.submissions {
		if !submitted.done {
			t.Fatalf("no answer to a request of %s", submitted.req.Priority)
		}
	}
	if len(s.requests)+len(s.attempts)+len(s.isolation.pending)+len(s.isolation.unprovenAttempts) > 0 || s.isolation.runningAttempt != nil {
		t.Fatalf("%d requests and %d attempts are left", len(s.requests), len(s.attempts))
	}
	for _, u := range s.orderedUpstreams {
		if u.reserved && s.isolation.nextPart == nil {
			t.Fatalf("upstream %s is reserved, but no suspect waits for it", u.name)
		}
	}
}
