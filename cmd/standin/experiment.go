package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sardineturn/sardineturn/pkg/standin/experiment"
)

// experimentCommand is the command experiment, which runs scenarios of load and
// faults and compares the results with the aims.
type experimentCommand struct {
	programPaths
	Customer   string   `enum:"shevitsa,scalai" default:"shevitsa" help:"Customer whose size is used."`
	Only       []string `help:"Scenarios to run; all when absent."`
	Seed       uint64   `default:"1" help:"Seed of the load and the service times."`
	NoBaseline bool     `help:"Leave out the baseline."`
	LoadFactor float64  `default:"1" help:"Multiplies all loads."`
	Trace      bool     `help:"Record the instances' decisions to files next to their logs."`
	Strict     bool     `help:"Fail when an aim is not met."`
	Out        string   `help:"Directory for figures in JSON and pictures."`
}

// Run runs the scenarios, prints violations of the checked properties and the table
// of aims, and writes the figures to the directory Out if it is set.
func (c *experimentCommand) Run() error {
	self, err := c.resolve("sardineturn-experiment-")
	if err != nil {
		return err
	}
	o := experiment.Options{
		Sardineturn: c.Sardineturn, Standin: self, Dir: c.Dir, Seed: c.Seed,
		Customer: c.Customer, Only: c.Only, NoBaseline: c.NoBaseline, Trace: c.Trace, LoadFactor: c.LoadFactor,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := experiment.Run(ctx, o, os.Stderr)
	if err != nil {
		return fmt.Errorf("logs are in %s: %w", o.Dir, err)
	}
	for check, n := range result.Violations {
		fmt.Printf("VIOLATION %s: %d\n", check, n)
	}
	if c.Out != "" {
		if err := result.Write(c.Out, c.Customer); err != nil {
			return err
		}
	}
	if err := result.WriteTable(os.Stdout); err != nil {
		return err
	}
	if missed := result.MissedAims(); c.Strict && missed > 0 {
		return fmt.Errorf("%d aims are not met; logs are in %s", missed, o.Dir)
	}
	return nil
}

// costCommand is the command cost, which measures the processor time and the memory of
// one instance.
type costCommand struct {
	programPaths
	Seed        uint64    `default:"1" help:"Seed of the load and the service times."`
	Against     string    `help:"Path of another version of the sardineturn binary, which is measured in turn with this one."`
	Transport   bool      `help:"Also measure the HTTP client for upstreams alone, without the rest of an instance."`
	Together    bool      `help:"Make the measurements of a round at the same time instead of in turn."`
	Small       bool      `help:"Use a service of three upstreams with three slots, to measure the use of slots at loads above 1."`
	Loads       []float64 `help:"Loads as fractions of the upstreams' capacity."`
	Rounds      int       `default:"1" help:"Times that each load is measured."`
	Profiles    string    `help:"Directory for a processor profile of the instance at each load."`
	OpenQueries int       `help:"Number of open queries at which the memory per open query is measured; not measured when 0."`
}

// Run measures and prints a table.
func (c *costCommand) Run() error {
	self, err := c.resolve("sardineturn-cost-")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return experiment.MeasureCost(ctx, experiment.CostOptions{
		Options: experiment.Options{Sardineturn: c.Sardineturn, Standin: self, Dir: c.Dir, Seed: c.Seed},
		Against: c.Against, Transport: c.Transport, Together: c.Together, Size: costSize(c.Small), Loads: c.Loads, Rounds: c.Rounds,
		Profiles: c.Profiles, OpenQueries: c.OpenQueries,
	}, os.Stdout)
}

// costSize returns the size of the measured service.
func costSize(small bool) experiment.CostSize {
	if small {
		return experiment.SmallCost
	}
	return experiment.LargeCost
}

// transportCommand is the command transport, which calls upstreams without the rest of an
// instance. The command cost starts it as a process of its own to measure the HTTP client
// for upstreams.
type transportCommand struct {
	Upstreams []string `required:"" help:"Addresses of the upstreams."`
	Rate      float64  `default:"50" help:"Bursts of calls per second."`
	Small     bool     `help:"Use the slots and the bursts of the small service."`
	Seed      uint64   `default:"1" help:"Seed of the gaps between bursts."`
}

// Run makes the calls and prints the result in JSON.
func (c *transportCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := experiment.RunTransport(ctx, experiment.NewTransportRun(costSize(c.Small), c.Upstreams, c.Rate, c.Seed))
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(r)
}
