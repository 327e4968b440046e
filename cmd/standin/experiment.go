package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sardineturn/sardineturn/pkg/standin/experiment"
)

type experimentCommand struct {
	programs
	Customer   string   `enum:"shevitsa,scalai" default:"shevitsa" help:"Customer whose size is used."`
	Only       []string `help:"Scenarios to run; all when absent."`
	Seed       uint64   `default:"1" help:"Seed of the load and the service times."`
	NoBaseline bool     `help:"Leave out the baseline."`
	LoadFactor float64  `default:"1" help:"Multiplies all loads."`
	Trace      bool     `help:"Record the instances' decisions to files next to their logs."`
	Strict     bool     `help:"Fail when an aim is not met."`
	Out        string   `help:"Directory for figures in JSON and pictures."`
}

// Run implements the command.
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
	if missed := result.Missed(); c.Strict && missed > 0 {
		return fmt.Errorf("%d aims are not met; logs are in %s", missed, o.Dir)
	}
	return nil
}

type costCommand struct {
	programs
	Seed uint64 `default:"1" help:"Seed of the load and the service times."`
}

// Run implements the command.
func (c *costCommand) Run() error {
	self, err := c.resolve("sardineturn-cost-")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return experiment.Cost(ctx, experiment.Options{Sardineturn: c.Sardineturn, Standin: self, Dir: c.Dir, Seed: c.Seed}, os.Stdout)
}
