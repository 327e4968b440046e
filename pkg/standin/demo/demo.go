// Package demo starts a small deployment of separate processes, sends one query of
// each priority to each service and one order twice, and prints the answers.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

const (
	instanceCount = 3
	readyTimeout  = 30 * time.Second
	balancerLagMS = 300
	maxInstances  = 10
	// deadlineMS is the deadline of all requests of the demo. It is long enough for
	// complete answers on a busy machine, which the demo expects.
	deadlineMS = 20000
)

// Options configures a demo.
type Options struct {
	// Sardineturn and Standin are the paths of the two binaries.
	Sardineturn string
	Standin     string
	// Dir is the directory for logs and settings files.
	Dir string
	// Keep leaves the deployment running until the context of Run ends.
	Keep bool
	// Env is added to the environment of every process.
	Env []string
}

// demo is the state of a running demo.
type demo struct {
	out      io.Writer
	fleet    *launch.Fleet
	client   *load.Client
	services []launch.Service
	// requestCount is the number of requests sent so far. nextCallerAddress uses it to
	// choose the instances in turn.
	requestCount int
}

// Run runs the demo and prints its progress to out. It returns an error if a process
// does not start or stop cleanly, or if an answer is not as expected.
func Run(ctx context.Context, o Options, out io.Writer) (err error) {
	fleet, err := launch.NewFleet(ctx, launch.Config{
		Sardineturn:   o.Sardineturn,
		Standin:       o.Standin,
		Dir:           o.Dir,
		Cluster:       "demo",
		BalancerLagMS: balancerLagMS,
		MaxInstances:  maxInstances,
		LogLevel:      "info",
		Seed:          1,
		Env:           o.Env,
	})
	if err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, fleet.Stop())
		if err == nil {
			fmt.Fprintln(out, "all processes ended cleanly")
		}
	}()
	d := &demo{out: out, fleet: fleet, client: load.NewClient()}
	defer d.client.Close()
	// The first service of each customer has the size of most of the customer's
	// services.
	d.services = []launch.Service{launch.Shevitsa()[0], launch.Scalai()[0]}
	for n := range d.services {
		d.services[n].Priorities = longDeadlines(d.services[n].Priorities)
	}
	if err := d.start(ctx); err != nil {
		return err
	}
	failures := d.sendRequests(ctx)
	if o.Keep {
		fmt.Fprintln(out, "running until interrupted")
		<-ctx.Done()
	}
	return failures
}

// longDeadlines returns a copy of the priorities in which all deadlines are deadlineMS.
func longDeadlines(priorities []document.Priority) []document.Priority {
	out := slices.Clone(priorities)
	for n := range out {
		out[n].DeadlineMS = deadlineMS
	}
	return out
}

// start starts the services' upstreams and then the instances, and waits until all
// instances are ready.
func (d *demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	fmt.Fprintf(d.out, "platform: http://%s, admin http://%s\n", d.fleet.PlatformAddress, d.fleet.PlatformAdmin)
	for _, s := range d.services {
		h, err := d.fleet.StartService(ctx, s)
		if err != nil {
			return err
		}
		fmt.Fprintf(d.out, "service %s: %d upstreams with %d slots, %d shards, admin http://%s\n",
			s.Name, s.Upstreams, s.Slots, s.Shards, h.Admin)
	}
	for n := range instanceCount {
		// One instance in each data centre.
		if _, err := d.fleet.StartInstance(ctx, d.services[0].DataCentres[n]); err != nil {
			return err
		}
	}
	for _, i := range d.fleet.Instances() {
		if err := i.WaitReady(ctx); err != nil {
			return err
		}
		fmt.Fprintf(d.out, "%s: pid %d, callers http://%s, operators http://%s\n",
			i.Name, i.PID(), i.Settings.CallerAddress, i.Settings.OperatorAddress)
	}
	return nil
}

// nextCallerAddress returns the address for callers of the next instance in turn.
func (d *demo) nextCallerAddress() string {
	instances := d.fleet.Instances()
	d.requestCount++
	return instances[d.requestCount%len(instances)].Settings.CallerAddress
}

// sendRequests sends a query of each priority to each service, and an order to the
// first service. It goes on after failures and returns all of them.
func (d *demo) sendRequests(ctx context.Context) error {
	var failures error
	for _, s := range d.services {
		for _, p := range s.Priorities {
			failures = errors.Join(failures, d.sendQuery(ctx, s, p.Name))
		}
	}
	return errors.Join(failures, d.sendOrderTwice(ctx, d.services[0]))
}

// sendQuery sends a query of all shards and expects a complete answer.
func (d *demo) sendQuery(ctx context.Context, s launch.Service, priority string) error {
	started := time.Now()
	answer, err := d.client.Query(ctx, d.nextCallerAddress(), load.Query{
		Service:   s.Name,
		Operation: launch.OperationSearch,
		Priority:  priority,
		Caller:    "demo",
		Payload:   json.RawMessage(`{"request":"demo","priority":"` + priority + `"}`),
	})
	if err != nil {
		return fmt.Errorf("%s %s: %w", s.Name, priority, err)
	}
	fmt.Fprintf(d.out, "query %s, priority %s: %d %s, snapshot %s, coverage %d of %d, %.1f ms\n",
		s.Name, priority, answer.Code, answer.CodeName, answer.Snapshot, answer.Coverage.Answered, answer.Coverage.Total, elapsedMS(started))
	if answer.Code != codeOK || answer.Coverage.Answered != s.Shards {
		return fmt.Errorf("%s %s: code %d %s %s", s.Name, priority, answer.Code, answer.CodeName, answer.Detail)
	}
	return nil
}

// sendOrderTwice sends an order and then sends it again through another instance,
// which must answer with the recorded outcome instead of running the order again.
func (d *demo) sendOrderTwice(ctx context.Context, s launch.Service) error {
	ticket, err := d.client.Ticket(ctx, d.nextCallerAddress(), load.TicketRequest{
		Service: s.Name, Operation: launch.OperationReserve, Caller: "demo", Key: "demo-order",
	})
	if err != nil {
		return fmt.Errorf("ticket: %w", err)
	}
	if ticket.Ticket == "" {
		return fmt.Errorf("ticket: code %d %s %s", ticket.Code, ticket.CodeName, ticket.Detail)
	}
	order := load.Order{
		Ticket: ticket.Ticket, Service: s.Name, Operation: launch.OperationReserve, Priority: s.Priorities[0].Name,
		Caller: "demo", Shard: string(s.ShardIDs()[0]), DeadlineMS: deadlineMS,
		Payload: json.RawMessage(`{"request":"demo-order"}`),
	}
	for _, replayed := range []bool{false, true} {
		started := time.Now()
		answer, err := d.client.Order(ctx, d.nextCallerAddress(), order)
		if err != nil {
			return fmt.Errorf("order: %w", err)
		}
		fmt.Fprintf(d.out, "order %s: %d %s, ran %s, replayed %t, snapshot %s, %.1f ms\n",
			s.Name, answer.Code, answer.CodeName, answer.Ran, answer.Replayed, answer.Snapshot, elapsedMS(started))
		if answer.Ran != "ran" || answer.Replayed != replayed {
			return fmt.Errorf("order: code %d %s, ran %s, replayed %t, expected %t: %s", answer.Code, answer.CodeName, answer.Ran, answer.Replayed, replayed, answer.Detail)
		}
	}
	return d.checkOrderRanOnce(ctx)
}

// checkOrderRanOnce reads the executions of orders from the log of the first service's
// upstreams, and expects exactly one.
func (d *demo) checkOrderRanOnce(ctx context.Context) error {
	var page struct {
		Executions []json.RawMessage `json:"executions"`
	}
	if err := launch.GetJSON(ctx, d.fleet.Hosts()[0].Admin, "/admin/executions?orders=true", &page); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "the upstreams ran the order %d time(s)\n", len(page.Executions))
	if len(page.Executions) != 1 {
		return fmt.Errorf("order ran %d times", len(page.Executions))
	}
	return nil
}

// codeOK is the result code of a complete answer.
const codeOK = 1000

func elapsedMS(t time.Time) float64 { return float64(time.Since(t)) / float64(time.Millisecond) }
