package cli

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/requestlog"
)

// traceCommand is the command trace, which collects from log files the decisions
// about one request and the logged changes that explain them.
type traceCommand struct {
	Request string   `arg:"" help:"The caller's id of the request."`
	Files   []string `arg:"" name:"file" help:"Log files of one or more instances." type:"existingfile"`
}

// Help returns the text that --help adds to the list of flags.
func (*traceCommand) Help() string {
	return `Prints the decisions about a request and what explains them. Clocks of
instances that differ by over 1.5 s are corrected by the changes that they logged.

Example:

    sardineturn trace 9c41d07be2a35f68 gateway-1.log gateway-2.log`
}

// Run prints the decisions about the request. If no log file has a line of the
// request, it returns an error, after it has printed which instances ended without a
// shutdown: a request in progress at such an instance has no log line.
func (c *traceCommand) Run(p *Program) error {
	var lines []requestlog.Line
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		fileLines, err := requestlog.Read(f)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, fileLines...)
	}
	if requestlog.Explain(p.Stdout, lines, c.Request) {
		return nil
	}
	restarts := requestlog.UncleanRestarts(lines)
	for _, name := range slices.Sorted(maps.Keys(restarts)) {
		for _, restartedAt := range restarts[name] {
			_, _ = fmt.Fprintf(p.Stdout, "%s ended without stopping and started again at %s\n", name, restartedAt.Format(time.RFC3339Nano))
		}
	}
	return fmt.Errorf("the logs hold no line of request %s: it was answered whole and in time, never arrived, was at an instance that ended, or its line was dropped", c.Request)
}
