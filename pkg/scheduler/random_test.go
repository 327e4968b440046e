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

// step is one random action on a world.
type step struct {
	name string
	do   func(t *rapid.T, w *world, s *Scheduler)
}

var steps = []step{
	{"submit", stepSubmit},
	{"submit", stepSubmit},
	{"submit", stepSubmit},
	{"order", stepOrder},
	{"again", stepAgain},
	{"cancel", stepCancel},
	{"slow", func(t *rapid.T, w *world, _ *Scheduler) {
		anyUpstream(t, w).slow = rapid.SampledFrom([]float64{1, 3, 20, 200}).Draw(t, "slow")
	}},
	{"slots", func(t *rapid.T, w *world, _ *Scheduler) {
		anyUpstream(t, w).slots = rapid.IntRange(0, 3).Draw(t, "slots")
	}},
	{"down", func(t *rapid.T, w *world, _ *Scheduler) {
		u := anyUpstream(t, w)
		u.down = !u.down
	}},
	{"draining", func(t *rapid.T, w *world, _ *Scheduler) {
		u := anyUpstream(t, w)
		u.draining = !u.draining
	}},
	{"lying", func(t *rapid.T, w *world, _ *Scheduler) {
		u := anyUpstream(t, w)
		u.lying = !u.lying
	}},
	{"crash", func(t *rapid.T, w *world, _ *Scheduler) { w.crash(anyUpstream(t, w)) }},
	{"leaving", stepLeaving},
	{"hint", stepHint},
	{"document", stepDocument},
	{"pause", func(t *rapid.T, w *world, _ *Scheduler) {
		w.pause(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
		w.run(4 * time.Second)
	}},
}

func anyUpstream(t *rapid.T, w *world) *fakeUpstream {
	return w.upstreams[anyName(t, w)]
}

func anyName(t *rapid.T, w *world) string {
	return fmt.Sprintf("u%d", rapid.IntRange(0, len(w.upstreams)-1).Draw(t, "upstream"))
}

func stepSubmit(t *rapid.T, w *world, _ *Scheduler) {
	total := len(w.doc.Snapshots[0].Shards)
	for range rapid.IntRange(1, 20).Draw(t, "count") {
		req := w.request(rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(1, total).Draw(t, "shards"))
		req.Deadline = w.now.Add(time.Duration(rapid.IntRange(-1, 600).Draw(t, "deadline")) * time.Millisecond)
		req.Operation = rapid.SampledFrom([]string{"get", "get", "get", "get", "put", "no such"}).Draw(t, "operation")
		req.Fingerprint = model.Fingerprint(rapid.IntRange(1, 30).Draw(t, "fingerprint"))
		w.submit(req).crashing = req.Fingerprint == 13
	}
}

func stepOrder(t *rapid.T, w *world, _ *Scheduler) {
	req := w.request(rapid.IntRange(0, 2).Draw(t, "priority"), 1)
	req.NonIdempotent = true
	req.Operation = "put"
	req.OrderKey = "k"
	w.submit(req)
}

// stepAgain submits an id again, which must not run a second time.
func stepAgain(t *rapid.T, w *world, s *Scheduler) {
	if len(w.all) == 0 {
		return
	}
	sub := w.all[rapid.IntRange(0, len(w.all)-1).Draw(t, "which")]
	if !sub.done || sub.answer.Outcomes == nil {
		return
	}
	for _, a := range s.Submit(w.now, sub.req) {
		if d, ok := a.(Done); ok && d.Answer.ID == sub.req.ID {
			if len(d.Answer.Outcomes) > 0 {
				t.Fatal("a request id was accepted twice")
			}
			continue
		}
		w.apply([]Action{a})
	}
}

func stepCancel(t *rapid.T, w *world, s *Scheduler) {
	for _, sub := range w.all {
		if !sub.done && rapid.Bool().Draw(t, "cancel") {
			w.apply(s.Cancel(w.now, sub.req.ID))
			if !sub.done {
				t.Fatal("no answer to a cancelled request")
			}
			return
		}
	}
}

func stepLeaving(t *rapid.T, w *world, s *Scheduler) {
	name := anyName(t, w)
	u := w.upstreams[name]
	u.leaving = !u.leaving
	w.apply(s.SetUpstreamLeaving(w.now, name, u.leaving))
}

func stepHint(t *rapid.T, w *world, s *Scheduler) {
	st := port.UpstreamStatus{
		Healthy:   rapid.Bool().Draw(t, "healthy"),
		Draining:  rapid.Bool().Draw(t, "draining"),
		Snapshots: rapid.SampledFrom([][]model.SnapshotID{nil, {"v0"}, {"v1"}}).Draw(t, "snapshots"),
	}
	w.apply(s.SetUpstreamStatus(w.now, anyName(t, w), st))
}

// stepDocument changes shares, slots, an address or the set of upstreams.
func stepDocument(t *rapid.T, w *world, s *Scheduler) {
	raw, _ := json.Marshal(w.doc)
	d := &document.Document{}
	_ = json.Unmarshal(raw, d)
	d.Revision++
	d.Priorities[0].GuaranteedShare = rapid.Float64Range(0, 1).Draw(t, "share")
	if rapid.Bool().Draw(t, "address") {
		d.Upstreams[0].Address += "1"
		// A new address is another upstream, so that what the platform said
		// about the old one and the attempts there no longer count.
		w.upstreams["u0"].leaving = false
		w.upstreams["u0"].ceiling = 99
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
	w.doc = d
	w.apply(s.SetDocument(w.now, d, d.Groups()[0]))
}

// TestRandomFaults guards against any schedule of faults, cancellations,
// reports, documents and pauses that violates an invariant: one answer in
// time, replied run states, orders run at most once, slots, and no work for
// upstreams that leave.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), testDocument(rapid.IntRange(2, 4).Draw(t, "upstreams"), rapid.IntRange(1, 8).Draw(t, "shards")))
		s := w.useScheduler(1)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			st := rapid.SampledFrom(steps).Draw(t, "step")
			st.do(t, w, s)
			w.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			checkAccounts(t, s)
		}
		w.run(10 * time.Second)
		checkIdle(t, w, s)
		extra := float64(w.hedges + w.retries)
		if first := float64(w.starts) - extra; extra > extraBurst+0.1*first+1 {
			t.Fatalf("%v extra attempts for %v first attempts", extra, first)
		}
		for _, f := range w.faults {
			t.Fatal(f)
		}
	})
}

// checkAccounts compares the scheduler's counters with its objects.
func checkAccounts(t *rapid.T, s *Scheduler) {
	waiting, inFlight := map[*priority]int{}, map[*priority]int{}
	for _, r := range s.requests {
		n := 0
		for _, p := range r.parts {
			if p.state == partWaiting {
				n++
			}
		}
		if n != r.waiting {
			t.Fatalf("request has %d waiting shards, counted %d", n, r.waiting)
		}
		waiting[r.prio] += n
	}
	for _, a := range s.attempts {
		inFlight[a.prio]++
	}
	for _, p := range s.priorities {
		queued := 0
		for _, q := range p.callers {
			queued += q.parts
		}
		for _, r := range p.active {
			queued += r.waiting
		}
		if waiting[p] != p.waitingParts || queued != p.waitingParts || inFlight[p] != p.inFlight {
			t.Fatalf("%s: %d waiting, %d queued, counted %d; %d in flight, counted %d",
				p.name, waiting[p], queued, p.waitingParts, inFlight[p], p.inFlight)
		}
	}
	if _, err := json.Marshal(s.Status(s.now)); err != nil {
		t.Fatal(err)
	}
}

func checkIdle(t *rapid.T, w *world, s *Scheduler) {
	for _, sub := range w.all {
		if !sub.done {
			t.Fatalf("no answer to a request of %s", sub.req.Priority)
		}
	}
	if len(s.requests)+len(s.attempts)+len(s.isolation.pending)+len(s.isolation.firsts) > 0 || s.isolation.running != nil {
		t.Fatalf("%d requests and %d attempts are left", len(s.requests), len(s.attempts))
	}
	for _, u := range s.order {
		if u.reserved && s.isolation.next == nil {
			t.Fatalf("%s is reserved for nothing", u.name)
		}
	}
}
