package cli

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/sardineturn/sardineturn/pkg/replay"
)

type replayCommand struct {
	Trace string `arg:"" help:"Trace file, recorded by serve with --trace-file; compressed with gzip if it ends in .gz."`
}

// Help returns the text that --help adds to the list of flags.
func (*replayCommand) Help() string {
	return `Makes the recorded calls again: queries at the entry, scheduling groups, orders,
documents, members and the phase of the process. Prints the counts, the calls
whose result differs, and for each promise how many decisions were checked and
how many break it. The exit code is not zero when a decision differs from the
recorded one, or when the trace shows a broken invariant or promise.

Example:

    sardineturn replay trace.jsonl`
}

// openTrace returns a reader of the trace, which decompresses a file whose name
// ends in ".gz".
func openTrace(f *os.File) (io.Reader, error) {
	if !strings.HasSuffix(f.Name(), ".gz") {
		return f, nil
	}
	return gzip.NewReader(f)
}

// Run replays the trace and prints the report in JSON. It fails if a decision
// differs from the recorded one or breaks an invariant or a promise.
func (c *replayCommand) Run(p *Program) error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return err
	}
	defer f.Close()
	trace, err := openTrace(f)
	if err != nil {
		return err
	}
	report, err := replay.Play(trace)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	p.printf("%s\n", text)
	if !report.Passed() {
		return errAlreadyReported
	}
	return nil
}
