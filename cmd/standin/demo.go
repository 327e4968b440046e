package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/sardineturn/sardineturn/pkg/standin/demo"
)

type demoCommand struct {
	Sardineturn string `help:"Path of the sardineturn binary; the one next to this binary when absent."`
	Dir         string `help:"Directory for logs and settings files; a temporary one when absent."`
	Keep        bool   `help:"Stay up until interrupted." env:"KEEP"`
}

// Run implements the command.
func (c *demoCommand) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o := demo.Options{Sardineturn: c.Sardineturn, Standin: self, Dir: c.Dir, Keep: c.Keep}
	if o.Sardineturn == "" {
		o.Sardineturn = filepath.Join(filepath.Dir(self), "sardineturn")
	}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "sardineturn-demo-"); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := demo.Run(ctx, o, os.Stdout); err != nil {
		return fmt.Errorf("demo failed, logs are in %s: %w", o.Dir, err)
	}
	if c.Dir == "" {
		return os.RemoveAll(o.Dir)
	}
	return nil
}
