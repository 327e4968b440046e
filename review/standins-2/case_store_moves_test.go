package standins

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["store-moves"] = storeMoves }

const (
	// configApply is the bound config_apply_ms.
	configApply = 3 * time.Second
	// stretchMax is the bound stretch_max_ms, by which an unstable core stretches the bound
	// of configuration at most.
	stretchMax = 12 * time.Second
	// stableWindow is the bound stable_window_ms.
	stableWindow = 4 * time.Second
)

// storeMoves moves the store to another address, which the changed settings name, and then
// moves a route to another service.
func storeMoves(e *env) (int, error) {
	address, err := e.store.listen()
	if err != nil {
		return 0, err
	}
	for i := range 3 {
		for _, service := range []string{bookingName, invoicesName} {
			if _, err := e.startLeaf(fmt.Sprintf("i-%s-%d", service, i+1), service, fmt.Sprintf("dc%d", i+1), 10*time.Millisecond); err != nil {
				return 0, err
			}
		}
	}
	e.store.putConfig(1, []route{bookingRoute(bookingName)}, bookingName, invoicesName)
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
	time.Sleep(3 * time.Second)
	newAddress := address
	if e.trouble {
		if newAddress, err = e.store.listen(); err != nil {
			return 0, err
		}
		e.record.logf("the store moves from %s to %s", address, newAddress)
	}
	for i, g := range e.gateways {
		if err := g.writeSettings(e.settings(i, newAddress, "6")); err != nil {
			return 0, err
		}
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(time.Second)
	if e.trouble {
		e.store.closeListener(address)
	}
	time.Sleep(stableWindow + time.Second)
	e.store.putConfig(2, []route{bookingRoute(invoicesName)}, bookingName, invoicesName)
	acked := time.Now()
	bound := configApply + stretchMax
	time.Sleep(bound + 5*time.Second)
	close(stop)
	for _, c := range callers {
		c.answers()
	}

	broken, right := 0, 0
	for _, r := range e.runs.all() {
		late := r.sentAt.Sub(acked)
		switch {
		case late <= bound:
		case r.service == bookingName:
			broken++
			e.record.logf("CONFIG: request %s, sent %s after the ack, was run by %s of service %s", r.id, late, r.leaf, r.service)
		default:
			right++
		}
	}
	e.record.logf("requests sent later than %s after the ack: %d run by the old service, %d by the new one", bound, broken, right)
	if broken+right == 0 {
		return 0, fmt.Errorf("no request was run later than the bound")
	}
	return broken, nil
}
