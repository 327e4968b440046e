package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// step is one fault of a plan.
type step struct {
	kind string
	at   time.Duration
	a, b int
	dur  time.Duration
}

// faultKinds maps each kind to its injection, which ends with the fault.
var faultKinds = map[string]func(*driver, step){
	"kill":       (*driver).killNode,
	"cut":        func(d *driver, s step) { d.cutNodes(s, true) },
	"cut_oneway": func(d *driver, s step) { d.cutNodes(s, false) },
	"split":      (*driver).split,
	"pause":      (*driver).pauseNode,
	"platform_down": func(d *driver, s step) {
		d.platform(s, true, 0)
	},
	"platform_stale": func(d *driver, s step) { d.platform(s, false, 1+s.a) },
	"rollback":       (*driver).rollback,
	"messages":       (*driver).messages,
	"order_copies":   (*driver).messages,
	"index":          func(d *driver, s step) { d.publishIndex(s, false) },
	"repartition":    func(d *driver, s step) { d.publishIndex(s, true) },
	"invalid":        (*driver).publishInvalid,
	"race":           (*driver).publishRace,
	"restart":        (*driver).rollingRestart,
	"crash_request":  (*driver).crashRequest,
	"upstream_lost":  func(d *driver, s step) { d.upstream(s).lose(nil, s.dur) },
	"upstream_slow":  (*driver).slowUpstream,
	"leaving":        (*driver).leavingUpstream,
	"flood":          (*driver).flood,
}

func planOf(kinds []string, seed int) []step {
	slices.Sort(kinds)
	generator := rapid.Custom(func(t *rapid.T) []step {
		n := rapid.IntRange(1, 8).Draw(t, "faults")
		var steps []step
		for range n {
			s := step{
				// The seed spreads the kinds, since rapid prefers early values.
				kind: kinds[(rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")+seed)%len(kinds)],
				at:   time.Duration(rapid.IntRange(0, int(faultTime/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
				a:    rapid.IntRange(0, 59).Draw(t, "a"),
				b:    rapid.IntRange(0, 59).Draw(t, "b"),
				dur:  time.Duration(rapid.IntRange(100, 6000).Draw(t, "dur")) * time.Millisecond,
			}
			steps = append(steps, s)
			if rapid.IntRange(0, 3).Draw(t, "again") == 0 { // The same fault twice.
				s.at += s.dur / 2
				steps = append(steps, s)
			}
		}
		return steps
	})
	return generator.Example(seed)
}

func (d *driver) publishIndex(s step, repartition bool) {
	doc := d.next(services[s.a%2])
	shards := len(doc.Newest().Shards)
	if repartition {
		shards = 2 + s.b%8
	}
	d.addSnapshot(doc, shards)
	id := doc.Newest().ID
	for _, u := range doc.Upstreams {
		up := d.ups[u.Address]
		time.AfterFunc(d.between(0, 2*time.Second), func() {
			up.mu.Lock()
			defer up.mu.Unlock()
			up.snapshots[id] = true
		})
	}
	time.Sleep(time.Duration(s.b%3) * 500 * time.Millisecond)
	d.publish(doc)
}

func (d *driver) publishInvalid(s step) {
	service := services[s.a%2]
	d.mu.Lock()
	c := *d.docs[service]
	d.mu.Unlock()
	c.Revision += 100
	c.Upstreams = nil
	content, _ := json.Marshal(c)
	d.plat.publish(map[string][]byte{service: content})
	time.Sleep(s.dur)
	d.publish(d.next(service))
}

// publishRace lets two operators publish different content with one revision.
func (d *driver) publishRace(s step) {
	one := d.next(services[s.a%2])
	other := *one
	other.Priorities = slices.Clone(other.Priorities)
	other.Priorities[0].Worth = 7
	d.publish(one)
	time.Sleep(d.between(0, 300*time.Millisecond))
	d.publish(&other)
}

// rollback brings an older value back, under a higher version of the platform.
func (d *driver) rollback(s step) {
	d.plat.mu.Lock()
	old := d.plat.history[s.b%len(d.plat.history)]
	d.plat.mu.Unlock()
	d.plat.publish(old)
	time.Sleep(s.dur)
}

func (d *driver) platform(s step, down bool, stale int) {
	d.plat.set(down, stale)
	time.Sleep(s.dur)
	d.plat.set(false, 0)
}

func (d *driver) node(n int) *node { return d.nodes[n%len(d.nodes)] }

func (d *driver) upstream(s step) *fakeUpstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.docs[services[s.a%2]].Upstreams
	return d.ups[u[s.b%len(u)].Address]
}

func (d *driver) killNode(s step) {
	n := d.node(s.a)
	d.restarts <- struct{}{}
	defer func() { <-d.restarts }()
	p := n.current()
	if p == nil {
		return
	}
	n.kill()
	for _, u := range d.ups {
		u.dropCallsOf(p)
	}
	time.Sleep(s.dur / 2)
	n.start()
}

func (d *driver) setCut(from, to int, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from != to {
		d.cut[[2]int{from, to}] = cut
	}
}

func (d *driver) cutNodes(s step, both bool) {
	a, b := s.a%fleet, s.b%fleet
	for _, on := range []bool{true, false} {
		d.setCut(a, b, on)
		if both {
			d.setCut(b, a, on)
		}
		if on {
			time.Sleep(s.dur)
		}
	}
}

// split cuts the fleet into two sides.
func (d *driver) split(s step) {
	side := func(n int) bool { return (s.a+s.b)>>n&1 == 1 }
	for _, on := range []bool{true, false} {
		for a := range fleet {
			for b := range fleet {
				if side(a) != side(b) {
					d.setCut(a, b, on)
				}
			}
		}
		if on {
			time.Sleep(s.dur)
		}
	}
}

func (d *driver) pauseNode(s step) {
	if p := d.node(s.a).current(); p != nil {
		p.pause()
		time.Sleep(s.dur)
		p.resume()
	}
}

func (d *driver) messages(s step) {
	set := func(m mess) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.mess = m
	}
	f := 0.01 + float64(s.b)/400
	if s.kind == "order_copies" {
		set(mess{lost: f, late: f, twice: f, orderTwice: 0.2})
	} else {
		set(mess{lost: f, late: f, twice: f, crossed: f / 2})
	}
	time.Sleep(s.dur)
	set(mess{})
}

// rollingRestart stops up to three instances gracefully, one after another, as
// the process does.
func (d *driver) rollingRestart(s step) {
	for k := range 1 + s.b%3 {
		d.gracefulRestart(d.node(s.a + k))
	}
}

func (d *driver) gracefulRestart(n *node) {
	d.restarts <- struct{}{}
	defer func() { <-d.restarts }()
	p := n.current()
	// A paused process handles the signal after it has resumed.
	if p == nil || !p.gate() {
		return
	}
	pauses := p.pauses()
	p.inst.Leave()
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	time.Sleep(balancerLag)
	p.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err := p.inst.Drain(ctx)
	time.Sleep(time.Millisecond) // Answers on the way to callers.
	busy := 0
	for _, u := range d.ups {
		p.mu.Lock()
		busy += p.calls[u.document.Name]
		p.mu.Unlock()
	}
	callers := p.callers.Load()
	p.closed.Store(true)
	for p.inside.Load() > 0 && ctx.Err() == nil { // The peer server stops gracefully.
		time.Sleep(10 * time.Millisecond)
	}
	d.check("graceful stop", p.pauses() != pauses || err == nil && callers == 0 && p.inside.Load() == 0 && busy == 0,
		"%s stopped with %d requests of callers, %d of peers, %d at upstreams: %v", n.id, callers, p.inside.Load(), busy, err)
	p.inst.Stop()
	n.kill()
	for _, u := range d.ups {
		u.dropCallsOf(p)
	}
	time.Sleep(d.between(100*time.Millisecond, time.Second))
	n.start()
}

// crashRequest sends a request that crashes each upstream that runs it, again
// and again through different instances.
func (d *driver) crashRequest(s step) {
	tag := fmt.Sprintf("crash-%d", d.tags.Add(1))
	for range 2 + s.b%5 {
		d.load.Go(func() { d.query(services[s.a%2], "top", tag, true) })
		time.Sleep(s.dur / 8)
	}
}

func (d *driver) slowUpstream(s step) {
	u := d.upstream(s)
	for _, slow := range []float64{20, 1} {
		u.mu.Lock()
		u.slow = slow
		u.mu.Unlock()
		if slow > 1 {
			time.Sleep(s.dur)
		}
	}
}

// leavingUpstream makes an upstream leave, one at a time, in one of the ways in
// which it can be seen, and lets it come back.
func (d *driver) leavingUpstream(s step) {
	d.mu.Lock()
	taken := d.leaves[services[s.a%2]]
	d.leaves[services[s.a%2]] = true
	d.mu.Unlock()
	if taken {
		return
	}
	u := d.upstream(s)
	mode := []drainMode{serving, drainRefuses, drainMarks}[(s.a+s.b)/2%3]
	set := func(m drainMode) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.drain, u.drainedAt = m, time.Now()
	}
	if mode == serving {
		d.plat.setLeaving(u.document.Address, true)
	}
	set(mode)
	time.Sleep(4*time.Second + s.dur)
	set(serving)
	d.plat.setLeaving(u.document.Address, false)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaves[services[s.a%2]] = false
}

func (d *driver) flood(s step) {
	priority := []string{"top", "middle", "low"}[s.b%3]
	end := time.Now().Add(s.dur / 2)
	for time.Now().Before(end) {
		d.load.Go(func() { d.query(services[s.a%2], priority, "", false) })
		time.Sleep(2 * time.Millisecond)
	}
}
