package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sardineturn/sardineturn/pkg/standin/demo"
)

// demoCommand is the command demo, which starts a small deployment and sends it
// some requests.
type demoCommand struct {
	programPaths
	Keep bool `help:"Stay up until interrupted." env:"KEEP"`
}

// Run runs the demo. It removes a temporary directory only after success, so that the
// logs of a failed demo are kept.
func (c *demoCommand) Run() error {
	temporary := c.Dir == ""
	self, err := c.resolve("sardineturn-demo-")
	if err != nil {
		return err
	}
	o := demo.Options{Sardineturn: c.Sardineturn, Standin: self, Dir: c.Dir, Keep: c.Keep}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := demo.Run(ctx, o, os.Stdout); err != nil {
		return fmt.Errorf("demo failed, logs are in %s: %w", o.Dir, err)
	}
	if temporary {
		return os.RemoveAll(o.Dir)
	}
	return nil
}
