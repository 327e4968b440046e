// Command standin runs stand-ins for the systems around sardineturn (the platform
// and the upstreams), the load generator, and the experiments and measurements
// that use them. It is for tests and experiments and is never shipped.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/sardineturn/sardineturn/pkg/standin/platform"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// shutdownGrace is the longest time that stand-in upstreams wait for requests in
// flight before they stop.
const shutdownGrace = 5 * time.Second

// command declares the commands and their flags for the kong parser.
type command struct {
	Platform   platformCommand   `cmd:"" help:"Run a stand-in for the platform's configuration service and instance list."`
	Upstream   upstreamCommand   `cmd:"" help:"Run one or more stand-in upstreams."`
	Load       loadCommand       `cmd:"" help:"Generate load over the caller interface and check the answers."`
	Serve      serveCommand      `cmd:"" help:"Run an instance of the baseline that experiments compare with."`
	Experiment experimentCommand `cmd:"" help:"Run load and faults against the product and the baseline, and compare with the aims."`
	Capacity   capacityCommand   `cmd:"" help:"Measure what the parts cost at growing sizes and fill the tables of docs/CAPACITY.md."`
	Compare    compareCommand    `cmd:"" help:"Compare the decisions of the product with rival ways in virtual time."`
	Cost       costCommand       `cmd:"" help:"Measure the processor time per upstream call and the memory of one instance."`
	Transport  transportCommand  `cmd:"" help:"Call upstreams without any decision and print the processor time."`
	Demo       demoCommand       `cmd:"" help:"Start a small deployment, send some requests and stop it."`
}

func main() {
	ctx := kong.Parse(&command{}, kong.Name("standin"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}

// platformCommand is the command platform, which runs a stand-in platform.
type platformCommand struct {
	Listen    string   `help:"Address for readers." default:"127.0.0.1:0"`
	Admin     string   `help:"Address of the admin listener." default:"127.0.0.1:0"`
	ListLagMS float64  `help:"Delay until a change of the instance list is visible, in ms." name:"list-lag-ms"`
	Documents []string `arg:"" optional:"" type:"existingfile" help:"Document files to load."`
}

// Run serves the documents in the files until the process gets a signal.
func (c *platformCommand) Run() error {
	p, err := platform.Start(c.Listen, c.Admin, platform.Faults{ListLagMS: c.ListLagMS})
	if err != nil {
		return err
	}
	defer p.Close()
	for _, file := range c.Documents {
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if _, err := p.WriteDocument(content, false); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return serveUntilSignal(map[string]any{"address": p.Address(), "admin": p.AdminAddress()})
}

// upstreamCommand is the command upstream, which runs stand-in upstreams.
type upstreamCommand struct {
	IP        string `help:"IP address to listen on." default:"127.0.0.1"`
	Admin     string `help:"Address of the admin listener." default:"127.0.0.1:0"`
	Count     int    `help:"Number of upstreams in this process." default:"1"`
	Prefix    string `help:"Prefix of the upstreams' names." default:"u"`
	BasePort  int    `help:"Port of the first upstream; free ports when 0."`
	Seed      uint64 `help:"Seed of service times and fault choices." default:"1"`
	Behaviour string `help:"Behaviour as JSON; fields that it lacks have their defaults." default:"{}"`
}

// Run serves the upstreams until the process gets a signal, and then waits for
// requests in flight for at most shutdownGrace.
func (c *upstreamCommand) Run() error {
	b := upstream.DefaultBehaviour()
	if err := json.Unmarshal([]byte(c.Behaviour), &b); err != nil {
		return fmt.Errorf("behaviour: %w", err)
	}
	h, err := upstream.StartHost(c.IP, c.Prefix, c.Count, c.BasePort, c.Admin, b, c.Seed)
	if err != nil {
		return err
	}
	err = serveUntilSignal(map[string]any{"admin": h.AdminAddress(), "upstreams": h.List()})
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	h.Shutdown(ctx)
	return err
}

// serveUntilSignal prints the listeners' addresses as one line of JSON, which the
// launcher reads, and returns when the process gets a signal to stop.
func serveUntilSignal(addresses map[string]any) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
