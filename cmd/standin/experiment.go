package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/sardineturn/sardineturn/pkg/standin/experiment"
)

type experimentCommand struct {
	Sardineturn string   `help:"Path of the sardineturn binary; the one next to this binary when absent."`
	Customer    string   `enum:"shevitsa,scalai" default:"shevitsa" help:"Customer whose size is used."`
	Only        []string `help:"Scenarios to run; all when absent."`
	Seed        uint64   `default:"1" help:"Seed of the load and the service times."`
	NoBaseline  bool     `help:"Leave out the baseline."`
	LoadFactor  float64  `default:"1" help:"Multiplies all loads."`
	Trace       bool     `help:"Record the instances' decisions to files next to their logs."`
	Strict      bool     `help:"Fail when an aim is not met."`
	Out         string   `help:"Directory for figures in JSON and pictures."`
	Dir         string   `help:"Directory for logs; a temporary one when absent."`
}

// Run implements the command.
func (c *experimentCommand) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o := experiment.Options{
		Sardineturn: c.Sardineturn, Standin: self, Dir: c.Dir, Seed: c.Seed,
		Customer: c.Customer, Only: c.Only, NoBaseline: c.NoBaseline, Trace: c.Trace, LoadFactor: c.LoadFactor,
	}
	if o.Sardineturn == "" {
		o.Sardineturn = filepath.Join(filepath.Dir(self), "sardineturn")
	}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "sardineturn-experiment-"); err != nil {
			return err
		}
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
