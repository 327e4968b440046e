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

// Options configure a run of the measurements.
type Options struct {
	Seed uint64
	// Quick limits each series to its two smallest sizes and shortens the runs.
	// Tests of the measuring code use it.
	Quick bool
	// Progress receives a line of text after each measurement and before each
	// modelled fleet. Nil means no progress lines.
	Progress io.Writer
	// Command is the command line that the report records.
	Command string
	// Largest is the number of instances of the largest fleet to model; zero
	// means no limit.
	Largest int
	// Benchmark is the path of the file with the output of the benchmarks of
	// pkg/membership. A quick run does not read it.
	Benchmark string
}

func (o Options) logf(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// sizes returns all sizes, or only the first two in a quick run.
func (o Options) sizes(all ...int) []int {
	if o.Quick {
		return all[:2]
	}
	return all
}

// count returns the number of operations to run: n, or in a quick run a fiftieth
// of n but at least 1.
func (o Options) count(n int) int {
	if o.Quick {
		return max(1, n/50)
	}
	return n
}

// gcPercent is the target percentage of the garbage collector (GOGC) while the
// model of whole fleets runs. It keeps the heap for the largest fleets within a
// few gigabytes.
const gcPercent = 50

// Run makes all measurements and computes the fit of each column.
func Run(o Options) (*Report, error) {
	started := time.Now()
	r := &Report{Command: o.Command, Go: runtime.Version(), Processors: runtime.GOMAXPROCS(0)}
	for _, m := range measurements() {
		measurementStarted := time.Now()
		series, err := m.run(o)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		r.Series = append(r.Series, series...)
		debug.FreeOSMemory()
		o.logf("%s: %.1f s", m.name, time.Since(measurementStarted).Seconds())
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
	oneSeries := func(f func(Options) Series) func(Options) ([]Series, error) {
		return func(o Options) ([]Series, error) { return []Series{f(o)}, nil }
	}
	return []measurement{
		{"membership", func(o Options) ([]Series, error) {
			if o.Quick {
				return nil, nil
			}
			s, err := readMembershipBenchmark(o)
			return []Series{s}, err
		}},
		{"homes", oneSeries(countHomes)},
		{"placement", oneSeries(measurePlacement)},
		{"catalog", func(o Options) ([]Series, error) { return measureCatalog(o), nil }},
		{"scheduler", func(o Options) ([]Series, error) { return measureScheduler(o), nil }},
		{"query", func(o Options) ([]Series, error) { return measureQuery(o), nil }},
		{"orders", oneSeries(measureOrders)},
		{"peer messages", measurePeerTransport},
		{"upstream calls", measureUpstreamTransport},
		{"datagrams", measureDatagrams},
		{"dissemination", func(o Options) ([]Series, error) {
			defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
			return measureDissemination(o), nil
		}},
	}
}

// Write writes the report to a file as JSON.
func (r *Report) Write(path string) error {
	content, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(content, '\n'), 0o644)
}

// Read reads a report that Write has written.
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
