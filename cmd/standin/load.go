package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

// loadCommand is the command load, which generates load and checks the answers.
type loadCommand struct {
	Config string  `arg:"" type:"existingfile" help:"Load configuration in JSON; pkg/standin/load/config.go describes it."`
	Seed   *uint64 `help:"Replaces the seed of the configuration."`
	JSON   string  `help:"File for the report in JSON; - is standard output instead of the table." name:"json" placeholder:"FILE"`
}

// Run generates the load and writes the report. It returns an error if an answer or
// an execution violated a checked property.
func (c *loadCommand) Run() error {
	config, err := load.ReadConfig(c.Config)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		config.Seed = *c.Seed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	if err := c.write(report); err != nil {
		return err
	}
	if n := report.ViolationCount(); n > 0 {
		return fmt.Errorf("%d violations", n)
	}
	return nil
}

// write writes the report as a table to standard output, and in JSON to the file
// c.JSON if it is set. If c.JSON is "-", it writes only the JSON to standard output.
func (c *loadCommand) write(report load.Report) error {
	content, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	content = append(content, '\n')
	if c.JSON == "-" {
		_, err = os.Stdout.Write(content)
		return err
	}
	if c.JSON != "" {
		if err := os.WriteFile(c.JSON, content, 0o644); err != nil {
			return err
		}
	}
	return report.WriteTable(os.Stdout)
}
