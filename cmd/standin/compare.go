package main

import (
	"io"
	"os"

	"github.com/sardineturn/sardineturn/pkg/standin/compare"
)

// compareCommand is the command compare, which simulates the product's decisions and the
// alternatives to them in virtual time.
type compareCommand struct {
	Seed      uint64 `default:"1" help:"First seed."`
	Seeds     int    `default:"5" help:"Number of seeds."`
	Decisions string `help:"Letters of the decisions to compare; all by default."`
	Size      string `help:"Part of the name of the sizes to compare; all by default."`
	BuiltOnly bool   `help:"Run only the product, without the alternatives that it is compared with, for trials."`
	Workers   int    `default:"4" help:"Number of runs at the same time."`
	Out       string `help:"File for the tables; standard output by default."`
}

// Run compares the decisions, and writes the tables to standard output and, if Out is
// set, to the file Out.
func (c *compareCommand) Run() error {
	o := compare.Options{Seed: c.Seed, Seeds: c.Seeds, Decisions: c.Decisions, Size: c.Size, BuiltOnly: c.BuiltOnly, Workers: c.Workers}
	if c.Out == "" {
		return compare.Run(o, os.Stdout)
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	if err := compare.Run(o, io.MultiWriter(f, os.Stdout)); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
