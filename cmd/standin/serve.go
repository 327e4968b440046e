package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/sardineturn/sardineturn/pkg/settings"
	"github.com/sardineturn/sardineturn/pkg/standin/baseline"
)

// serveCommand takes the arguments of "sardineturn serve", so that the
// launcher starts either program alike.
type serveCommand struct {
	Settings string `required:"" help:"Settings file of an instance."`
}

// Run implements the command.
func (c *serveCommand) Run() error {
	s, err := settings.Load(c.Settings, settings.Overrides{})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return baseline.Serve(ctx, s)
}
