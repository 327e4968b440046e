package standins

import (
	"fmt"
	"time"
)

func init() { cases["leaving-answers"] = leavingAnswers }

const (
	// drainTime is the bound drain_ms.
	drainTime = 3 * time.Second
	// cutTime is how long one machine is cut off.
	cutTime = 9 * time.Second
)

// leavingAnswers cuts one machine off from the store and from the other machines. A leaf
// reports meanwhile that it leaves, and says so in its answers too.
func leavingAnswers(e *env) (int, error) {
	var addresses []string
	for range 3 {
		a, err := e.store.listen()
		if err != nil {
			return 0, err
		}
		addresses = append(addresses, a)
	}
	var leafs []*leaf
	for i := range 3 {
		l, err := e.startLeaf(fmt.Sprintf("i-booking-%d", i+1), bookingName, fmt.Sprintf("dc%d", i+1), 150*time.Millisecond)
		if err != nil {
			return 0, err
		}
		leafs = append(leafs, l)
	}
	e.store.putConfig(1, []route{bookingRoute(bookingName)}, bookingName)
	if err := e.startRelay(3); err != nil {
		return 0, err
	}
	if err := e.startGateways(3, func(i int) string { return addresses[i] }); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var callers []*caller
	for _, g := range e.gateways {
		c := e.newCaller(g)
		callers = append(callers, c)
		go c.every(50*time.Millisecond, stop, func() {
			c.send("POST", bookingHost, bookingPath+"vest", []byte(`{"item":"vest"}`), 2*time.Second)
		})
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		e.relay.setCut(0, true)
		e.store.setSilent(addresses[0], true)
	}
	time.Sleep(time.Second)
	leafs[0].leaving.Store(true)
	leafs[0].report("draining")
	// The leaf serves on for drain_ms and a little longer.
	time.Sleep(drainTime + 2*time.Second)
	leafs[0].exit()
	e.store.remove("servers/" + leafs[0].id)
	time.Sleep(cutTime - drainTime - 3*time.Second)
	e.relay.setCut(0, false)
	e.store.setSilent(addresses[0], false)
	time.Sleep(2 * time.Second)
	close(stop)

	// passed holds when each machine first passed on an answer with Server-Leaving.
	passed := make(map[int]time.Time)
	byID := make(map[string]sent)
	for _, c := range callers {
		for _, s := range c.answers() {
			byID[s.id] = s
			if s.leaving && (passed[s.gateway].IsZero() || s.answered.Before(passed[s.gateway])) {
				passed[s.gateway] = s.answered
			}
		}
	}
	broken, lost := 0, 0
	for _, r := range e.runs.all() {
		s := byID[r.id]
		at, ok := passed[s.gateway]
		if r.leaf != leafs[0].id || !ok || s.at.Sub(at) <= drainTime {
			continue
		}
		broken++
		e.record.logf("DRAIN: request %s, sent %s after gateway %d had passed on an answer with Server-Leaving, reached that leaf", r.id, s.at.Sub(at), s.gateway)
		if s.status < 200 || s.status >= 300 {
			lost++
			e.record.logf("the run of request %s ended with the leaf; the caller got status %d", r.id, s.status)
		}
	}
	e.record.logf("%d requests reached the leaf too late, %d of them were lost with it", broken, lost)
	return broken, nil
}
