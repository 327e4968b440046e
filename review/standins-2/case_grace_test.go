package standins

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["shorter-grace"] = shorterGrace }

const (
	// keptConnections is the number of connections that callers keep to the machine that is
	// stopped. Each carries one request after SIGTERM.
	keptConnections = 80
	// longWork is how long the leafs work on a request, and longWait how long its caller
	// waits.
	longWork = 700 * time.Millisecond
	longWait = 1200 * time.Millisecond
	// lastSentExcused is the time after SIGTERM until which a request must have been sent if
	// its leaf may still be at work in the last sixth of grace_s.
	lastSentExcused = 3 * time.Second
)

// shorterGrace changes the bound grace_s in the settings, and stops a machine by it: SIGTERM,
// and SIGKILL after grace_s.
func shorterGrace(e *env) (int, error) {
	address, err := e.store.listen()
	if err != nil {
		return 0, err
	}
	for i := range 3 {
		if _, err := e.startLeaf(fmt.Sprintf("i-booking-%d", i+1), bookingName, fmt.Sprintf("dc%d", i+1), longWork); err != nil {
			return 0, err
		}
	}
	e.store.putConfig(1, []route{bookingRoute(bookingName)}, bookingName)
	if err := e.startGateways(3, func(int) string { return address }); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	g := e.gateways[0]
	var callers []*caller
	var opening sync.WaitGroup
	for range keptConnections {
		c := e.newCaller(g)
		c.name = fmt.Sprintf("g0-c%02d", len(callers))
		callers = append(callers, c)
		opening.Go(func() {
			c.send("POST", bookingHost, bookingPath+"vest", []byte(`{"item":"vest"}`), 2500*time.Millisecond)
		})
		time.Sleep(30 * time.Millisecond)
	}
	opening.Wait()
	grace, graceS := 6*time.Second, json.Number("6")
	if e.trouble {
		grace, graceS = 4*time.Second, json.Number("4")
	}
	for i, g := range e.gateways {
		e.record.logf("the settings of gateway %d: grace_s = %s", i, graceS)
		if err := g.writeSettings(e.settings(i, address, graceS)); err != nil {
			return 0, err
		}
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(2 * time.Second)
	stopped := time.Now()
	g.signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { g.signal(syscall.SIGKILL) })
	var requests sync.WaitGroup
	for _, c := range callers {
		requests.Go(func() {
			c.send("POST", bookingHost, bookingPath+"vest", []byte(`{"item":"vest"}`), longWait)
		})
		time.Sleep(45 * time.Millisecond)
	}
	requests.Wait()
	time.Sleep(grace + time.Second - time.Since(stopped))

	ran := make(map[string]bool)
	for _, r := range e.runs.all() {
		ran[r.id] = true
	}
	broken, answered := 0, 0
	for _, c := range callers {
		for _, s := range c.answers() {
			after := s.at.Sub(stopped)
			switch {
			case after < 0:
			case s.status != 0:
				answered++
			case !ran[s.id] || s.answered.Sub(s.at) >= longWait:
				e.record.logf("request %s, sent %s after SIGTERM, had no answer and did not run, or its time was over: %v", s.id, after, s.err)
			case after <= lastSentExcused && s.answered.Sub(stopped) >= grace*5/6:
				e.record.logf("request %s, sent %s after SIGTERM, was cut in the last sixth of grace_s: excused", s.id, after)
			default:
				broken++
				e.record.logf("LOST: request %s, sent %s after SIGTERM, ran and had no answer: cut %s after SIGTERM: %v", s.id, after, s.answered.Sub(stopped), s.err)
			}
		}
	}
	e.record.logf("after SIGTERM: %d requests were answered, %d were lost", answered, broken)
	return broken, nil
}
