package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Quick limits every series to its two smallest sizes and shortens the
	// runs, for tests of the measuring code.
	Quick bool
	// Progress takes a line per series.
	Progress io.Writer
	// Command is recorded in the report.
	Command string
	// Largest bounds the modelled fleets; zero means no bound.
	Largest int
	// Benchmark is the file with the output of the benchmark of pkg/membership.
	// A quick run leaves it out.
	Benchmark string
}

func (o Options) logf(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

func (o Options) sizes(all ...int) []int {
	if o.Quick {
		return all[:2]
	}
	return all
}

// count returns a number of operations, or a few in a quick run.
func (o Options) count(n int) int {
	if o.Quick {
		return max(1, n/50)
	}
	return n
}

// gcPercent keeps the heap of the large model within some gigabytes.
const gcPercent = 50

// Run makes all measurements.
func Run(o Options) (*Report, error) {
	started := time.Now()
	r := &Report{Command: o.Command, Go: runtime.Version(), Processors: runtime.GOMAXPROCS(0)}
	for _, m := range measurements() {
		at := time.Now()
		series, err := m.run(o)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		r.Series = append(r.Series, series...)
		debug.FreeOSMemory()
		o.logf("%s: %.1f s", m.name, time.Since(at).Seconds())
	}
	for i := range r.Series {
		r.Series[i].Refit()
	}
	r.Seconds = roundTo(time.Since(started).Seconds(), 3)
	return r, nil
}

type measurement struct {
	name string
	run  func(Options) ([]Series, error)
}

func measurements() []measurement {
	one := func(f func(Options) Series) func(Options) ([]Series, error) {
		return func(o Options) ([]Series, error) { return []Series{f(o)}, nil }
	}
	return []measurement{
		{"membership", func(o Options) ([]Series, error) {
			if o.Quick {
				return nil, nil
			}
			s, err := readMembership(o)
			return []Series{s}, err
		}},
		{"homes", one(countHomes)},
		{"placement", one(measurePlacement)},
		{"catalog", func(o Options) ([]Series, error) { return measureCatalog(o), nil }},
		{"scheduler", func(o Options) ([]Series, error) { return measureScheduler(o), nil }},
		{"query", func(o Options) ([]Series, error) { return measureQuery(o), nil }},
		{"orders", one(measureOrders)},
		{"peer messages", measurePeers},
		{"upstream calls", measureUpstreams},
		{"datagrams", measureDatagrams},
		{"dissemination", func(o Options) ([]Series, error) {
			defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
			return measureDissemination(o), nil
		}},
	}
}

// Write stores the report.
func (r *Report) Write(path string) error {
	content, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(content, '\n'), 0o644)
}

// Read loads a report.
func Read(path string) (*Report, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Report{}
	if err := json.Unmarshal(content, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}
