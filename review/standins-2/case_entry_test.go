package standins

import (
	"time"
)

const (
	bookingHost  = "booking.example"
	bookingPath  = "/bookings/"
	invoiceHost  = "invoice.example"
	invoicePath  = "/invoices/"
	bookingName  = "booking"
	invoicesName = "invoices"
)

func init() { cases["foreign-entry"] = foreignEntry }

func bookingRoute(service string) route {
	return route{Name: "r-booking", Host: bookingHost, Prefix: bookingPath, Kind: "unsafe", TimeoutMS: 3000, TargetMS: 500, Priority: 1, Service: service, MaxAttempts: 2}
}

func invoiceRoute() route {
	return route{Name: "r-invoice", Host: invoiceHost, Prefix: invoicePath, Kind: "unsafe", TimeoutMS: 3000, TargetMS: 500, Priority: 1, Service: invoicesName, MaxAttempts: 2}
}

// foreignEntry overwrites the registry entry of a leaf by one of another writer, which
// lacks a field. Such an entry names no leaf to use.
func foreignEntry(e *env) (int, error) {
	address, err := e.store.listen()
	if err != nil {
		return 0, err
	}
	for _, l := range [][3]string{{"i-booking-1", bookingName, "dc1"}, {"i-booking-2", bookingName, "dc2"}, {"i-booking-3", bookingName, "dc3"}} {
		if _, err := e.startLeaf(l[0], l[1], l[2], 150*time.Millisecond); err != nil {
			return 0, err
		}
	}
	var invoices []*leaf
	for _, l := range [][3]string{{"i-invoices-1", invoicesName, "dc1"}, {"i-invoices-2", invoicesName, "dc2"}, {"i-invoices-3", invoicesName, "dc3"}} {
		i, err := e.startLeaf(l[0], l[1], l[2], 150*time.Millisecond)
		if err != nil {
			return 0, err
		}
		invoices = append(invoices, i)
	}
	e.store.putConfig(1, []route{bookingRoute(bookingName), invoiceRoute()}, bookingName, invoicesName)
	if err := e.startGateways(3, func(int) string { return address }); err != nil {
		return 0, err
	}

	stop := make(chan struct{})
	var callers []*caller
	for _, g := range e.gateways {
		c := e.newCaller(g)
		callers = append(callers, c)
		go c.every(40*time.Millisecond, stop, func() {
			c.send("POST", bookingHost, bookingPath+"vest", []byte(`{"item":"vest"}`), 3*time.Second)
		})
		go c.every(80*time.Millisecond, stop, func() {
			c.send("POST", invoiceHost, invoicePath+"deposit", []byte(`{"deposit":20}`), 3*time.Second)
		})
	}
	time.Sleep(3 * time.Second)
	if e.trouble {
		foreign := invoices[0].entry("ready")
		foreign["service"] = bookingName
		delete(foreign, "version")
		e.store.put("servers/"+invoices[0].id, foreign)
	}
	// The leaf reports again after one status report interval.
	time.Sleep(1200 * time.Millisecond)
	invoices[0].report("ready")
	time.Sleep(2 * time.Second)
	close(stop)
	for _, c := range callers {
		c.answers()
	}

	broken := 0
	for _, r := range e.runs.all() {
		if allowed := map[string]string{bookingPath + "vest": bookingName, invoicePath + "deposit": invoicesName}[r.path]; r.service != allowed {
			broken++
			e.record.logf("ROUTE: request %s for %s was run by %s of service %s", r.id, r.path, r.leaf, r.service)
		}
	}
	return broken, nil
}
