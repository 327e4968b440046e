package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/sardineturn/sardineturn/pkg/settings"
	"github.com/sardineturn/sardineturn/pkg/standin/baseline"
)

// serveCommand is the command serve, which runs an instance of the baseline. It
// takes the same arguments as "sardineturn serve", so that the launcher starts both
// programs in the same way.
type serveCommand struct {
	Settings string `required:"" help:"Settings file of an instance."`
}

// Run runs the instance until the process gets a signal.
func (c *serveCommand) Run() error {
	s, err := settings.Load(c.Settings, settings.Overrides{})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return baseline.Serve(ctx, s)
}
