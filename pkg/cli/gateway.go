package cli

import (
	"context"
	"errors"
)

// gatewayCommand is the command gateway, which runs a gateway.
type gatewayCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file in JSON."`
}

// Help returns the text that --help adds to the list of flags.
func (*gatewayCommand) Help() string {
	return `A gateway serves the routes of the platform's configuration.

Example:

    sardineturn gateway --settings examples/gateway.json`
}

// Run runs a gateway until it is stopped.
func (c *gatewayCommand) Run(ctx context.Context, p *Program) error {
	if p.Gateway == nil {
		return errors.New("this program was built without the code that runs a gateway")
	}
	return p.Gateway(ctx, c.Settings)
}
