package cli

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sardineturn/sardineturn/pkg/settings"
)

// serveCommand is the command serve, which runs an instance. Besides the flag for the
// settings file it has one flag for each setting. The JSON name of a field is the
// name of the setting that its flag replaces.
type serveCommand struct {
	Settings string `json:"-" placeholder:"FILE" help:"Settings file in JSON."`

	InstanceID               *string     `json:"instance_id,omitempty" placeholder:"IP:PORT" help:"Identity of the instance: where other instances reach its gRPC listener."`
	DataCentre               *string     `json:"data_centre,omitempty" placeholder:"NAME" help:"Data centre that the process runs in."`
	Cluster                  *string     `json:"cluster,omitempty" placeholder:"NAME" help:"Name that keeps deployments apart."`
	GRPCAddress              *string     `json:"grpc_address,omitempty" name:"grpc-address" placeholder:"IP:PORT" help:"Listen address for other instances, TCP."`
	ControlAddress           *string     `json:"control_address,omitempty" placeholder:"IP:PORT" help:"Listen address for control messages, UDP."`
	AdvertisedControlAddress *string     `json:"advertised_control_address,omitempty" placeholder:"IP:PORT" help:"Address at which other instances reach the control address, if it differs."`
	PeerSourceAddress        *string     `json:"peer_source_address,omitempty" placeholder:"IP" help:"IP address that connections to other instances are made from."`
	CallerAddress            *string     `json:"caller_address,omitempty" placeholder:"IP:PORT" help:"Listen address for callers, HTTP."`
	OperatorAddress          *string     `json:"operator_address,omitempty" placeholder:"IP:PORT" help:"Listen address for operators, HTTP."`
	PlatformURL              *string     `json:"platform_url,omitempty" name:"platform-url" placeholder:"URL" help:"Base URL of the platform."`
	MaxInstances             *int        `json:"max_instances,omitempty" placeholder:"N" help:"Largest number of instances that may hold connections to one upstream at a time."`
	BalancerLagMS            *int        `json:"balancer_lag_ms,omitempty" name:"balancer-lag-ms" placeholder:"MS" help:"Time for which listeners stay open after the instance became not ready."`
	LogLevel                 *string     `json:"log_level,omitempty" placeholder:"LEVEL" help:"Least severe level that is logged."`
	Seeds                    []string    `json:"seeds,omitempty" placeholder:"IP:PORT" help:"Control addresses to contact at start."`
	Limits                   limitsFlags `json:"limits,omitzero" embed:""`
	Profiling                *bool       `json:"profiling,omitempty" negatable:"" help:"Serve profiles of the process on the operator listener."`
	TraceFile                *string     `json:"trace_file,omitempty" placeholder:"FILE" help:"File that decisions are recorded to, for the command replay."`
	AssertInvariants         *bool       `json:"assert_invariants,omitempty" help:"End the process on a broken invariant."`
}

// limitsFlags are the flags for the settings in the object "limits".
type limitsFlags struct {
	MaxBodyBytes          *int64 `json:"max_body_bytes,omitempty" placeholder:"BYTES" help:"Largest request body from a caller."`
	MaxConcurrentRequests *int   `json:"max_concurrent_requests,omitempty" placeholder:"N" help:"Requests of callers in progress at a time."`
	MaxTickets            *int   `json:"max_tickets,omitempty" placeholder:"N" help:"Order tickets held at a time."`
}

// Help returns the text that --help adds to the list of flags.
func (*serveCommand) Help() string {
	return `A flag replaces the setting of the same name in the file.

Example:

    sardineturn serve --settings examples/settings.json --log-level=debug`
}

// Run reads the settings, applies the flags and runs an instance until it is
// stopped.
func (c *serveCommand) Run(ctx context.Context, p *Program) error {
	overrides, err := c.overrides()
	if err != nil {
		return err
	}
	s, err := settings.Load(c.Settings, overrides)
	if err != nil {
		return err
	}
	if p.Serve == nil {
		return errors.New("this program was built without the code that runs an instance")
	}
	return p.Serve(ctx, s)
}

// overrides returns the settings for which a flag was given. The fields of the
// other flags are nil and are left out of the JSON.
func (c *serveCommand) overrides() (settings.Overrides, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	var o settings.Overrides
	return o, json.Unmarshal(text, &o)
}
