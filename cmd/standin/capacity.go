package main

import (
	"fmt"
	"os"

	"github.com/sardineturn/sardineturn/pkg/standin/capacity"
)

// capacityCommand is the command capacity, which measures the costs that
// docs/CAPACITY.md states.
type capacityCommand struct {
	JSON  string `default:"docs/measurements/capacity.json" help:"File of the measurements."`
	Page  string `default:"docs/CAPACITY.md" help:"Page whose tables are filled."`
	Bench string `default:"bin/membership-bench.txt" help:"Output of the benchmark of pkg/membership."`
	Seed  uint64 `default:"1" help:"Seed of the measured models."`
	// Largest can be lowered for shorter trials; the committed page has all sizes.
	Largest int  `default:"1600" help:"Largest modelled fleet."`
	Quick   bool `help:"Measure the two smallest sizes of each series, and write nothing."`
	// RenderOnly fills the page from the file JSON and measures nothing.
	RenderOnly bool `help:"Fill the page from the file of measurements without measuring."`
}

// Run measures, writes the measurements to the file JSON and fills the page. With
// RenderOnly, it fills the page from the file JSON without measuring. With Quick, it
// measures but writes nothing.
func (c *capacityCommand) Run() error {
	if c.RenderOnly {
		report, err := capacity.Read(c.JSON)
		if err != nil {
			return err
		}
		return report.FillPage(c.Page)
	}
	report, err := capacity.Run(capacity.Options{
		Seed: c.Seed, Quick: c.Quick, Progress: os.Stderr, Benchmark: c.Bench, Largest: c.Largest,
		Command: fmt.Sprintf("make capacity (standin capacity --seed %d --largest %d)", c.Seed, c.Largest),
	})
	if err != nil || c.Quick {
		return err
	}
	if err := report.Write(c.JSON); err != nil {
		return err
	}
	return report.FillPage(c.Page)
}
