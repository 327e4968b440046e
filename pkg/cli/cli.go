// Package cli implements the commands of the sardineturn program.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/alecthomas/kong"

	"github.com/sardineturn/sardineturn/pkg/settings"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailed means that the command ran, and found a fault, met an error or was
	// refused.
	ExitFailed = 1
	// ExitUsage means that the arguments were invalid and no command ran.
	ExitUsage = 2
)

// Program holds the dependencies of the commands: the output streams, the
// functions that run an instance or a gateway, and the HTTP client.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	// Serve runs an instance until it is stopped. If it is nil, the command
	// serve reports an error.
	Serve func(ctx context.Context, s settings.Settings) error
	// Gateway runs a gateway with the settings of a file until it is stopped. If it is
	// nil, the command gateway reports an error.
	Gateway func(ctx context.Context, settingsFile string) error
	// Client sends the commands' requests to instances; nil means
	// http.DefaultClient.
	Client *http.Client
}

// commands declares the commands of the program, with their flags, for the kong
// parser.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run an instance."`
	Gateway gatewayCommand `cmd:"" help:"Serve the routes of the platform's configuration."`
	Check   checkCommand   `cmd:"" help:"Check service documents and print every fault."`
	Status  statusCommand  `cmd:"" help:"Print the status of an instance."`
	Query   queryCommand   `cmd:"" help:"Send a query and print the answer."`
	Explain explainCommand `cmd:"" help:"Print how an instance would serve a request."`
	Replay  replayCommand  `cmd:"" help:"Run a recorded trace through the decision code and compare."`
	Trace   traceCommand   `cmd:"" help:"Print the story of a request from the logs of instances."`
	Version versionCommand `cmd:"" help:"Print the version of the program."`
}

// errAlreadyReported makes the program exit with ExitFailed without a message. A
// command returns it after it has printed what is wrong.
var errAlreadyReported = errors.New("failed")

// Run parses the arguments, which do not include the program's name, runs the
// command that they name and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	exited := false
	code := ExitOK
	parser, err := p.parser(func(c int) { exited, code = true, c })
	if err != nil {
		return p.fail(err, ExitUsage)
	}
	command, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		return p.fail(err, ExitUsage)
	}
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(p); err != nil {
		return p.fail(err, ExitFailed)
	}
	return ExitOK
}

func (p *Program) fail(err error, code int) int {
	if !errors.Is(err, errAlreadyReported) {
		_, _ = fmt.Fprintf(p.Stderr, "sardineturn: %v\n", err)
	}
	return code
}

// parser returns the command line parser, which calls exit after it has printed
// a help text.
func (p *Program) parser(exit func(int)) (*kong.Kong, error) {
	return kong.New(
		&commands{},
		kong.Name("sardineturn"),
		kong.Description("A query tier between callers and the sharded upstreams of many services."),
		kong.Writers(p.Stdout, p.Stderr),
		kong.Exit(exit),
	)
}

func (p *Program) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Stdout, format, args...)
}

func (p *Program) client() *http.Client {
	if p.Client != nil {
		return p.Client
	}
	return http.DefaultClient
}
