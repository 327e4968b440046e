package standins

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["fractional-grace"] = fractionalGrace }

const (
	// recoverTime is the bound recover_s.
	recoverTime = 12 * time.Second
	// servedBefore and servedAfter are the least shares of requests that are served before
	// the fault and after the recovery.
	servedBefore, servedAfter = 0.25, 0.25
)

// fractionalGrace changes the settings so that the bound grace_s is a fraction, and kills
// all processes afterwards.
func fractionalGrace(e *env) (int, error) {
	address, err := e.store.listen()
	if err != nil {
		return 0, err
	}
	for i := range 3 {
		if _, err := e.startLeaf(fmt.Sprintf("i-booking-%d", i+1), bookingName, fmt.Sprintf("dc%d", i+1), 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	e.store.putConfig(1, []route{bookingRoute(bookingName)}, bookingName)
	if err := e.startGateways(3, func(int) string { return address }); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var callers []*caller
	for _, g := range e.gateways {
		c := e.newCaller(g)
		callers = append(callers, c)
		go c.every(100*time.Millisecond, stop, func() {
			c.send("POST", bookingHost, bookingPath+"vest", []byte(`{"item":"vest"}`), 2*time.Second)
		})
	}
	time.Sleep(4 * time.Second)
	grace := json.Number("7")
	if e.trouble {
		grace = "6.5"
	}
	for i, g := range e.gateways {
		e.record.logf("the settings of gateway %d change: grace_s = %s", i, grace)
		if err := g.writeSettings(e.settings(i, address, grace)); err != nil {
			return 0, err
		}
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(3 * time.Second)
	killed := time.Now()
	for _, g := range e.gateways {
		g.signal(syscall.SIGKILL)
	}
	back := time.Now().Add(restartDelay)
	time.Sleep(restartDelay + recoverTime + 5*time.Second)
	close(stop)

	var before, beforeServed, after, afterServed int
	for _, c := range callers {
		for _, s := range c.answers() {
			served := s.status >= 200 && s.status < 300
			switch {
			case s.at.Before(killed):
				before++
				if served {
					beforeServed++
				}
			case s.at.After(back.Add(recoverTime)):
				after++
				if served {
					afterServed++
				}
			}
		}
	}
	for i, g := range e.gateways {
		g.mu.Lock()
		e.record.logf("gateway %d was started %d times", i, g.starts)
		g.mu.Unlock()
	}
	e.record.logf("served before the kill: %d of %d; later than recover_s after the restart: %d of %d", beforeServed, before, afterServed, after)
	if before == 0 || after == 0 || float64(beforeServed) < servedBefore*float64(before) {
		return 0, fmt.Errorf("too few requests were sent or served before the kill")
	}
	if float64(afterServed) < servedAfter*float64(after) {
		return after - afterServed, nil
	}
	return 0, nil
}
