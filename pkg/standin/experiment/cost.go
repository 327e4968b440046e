package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// Size of the cost measurement: one instance through 30 upstreams.
const (
	costUpstreams  = 30
	costSlots      = 6
	costConnection = 110
	costShards     = 60
	// clockTicks is the unit of processor time in the process status, per
	// second; it is 100 on every Linux platform that Go supports.
	clockTicks = 100
)

// costLoads are the measured loads as fractions of the upstreams' capacity.
var costLoads = []float64{0.05, 0.1, 0.2, 0.4}

// Cost measures the processor time of one instance per upstream call and its
// memory at growing load, and writes a table.
func Cost(ctx context.Context, o Options, w io.Writer) error {
	service := launch.Service{
		Name:            "cost",
		Priorities:      launch.ShevitsaPriorities(),
		Upstreams:       costUpstreams,
		Slots:           costSlots,
		ConnectionLimit: costConnection,
		ConnectMS:       1,
		Shards:          costShards,
		Replicas:        2,
		DataCentres:     launch.Shevitsa()[0].DataCentres,
		Service:         map[string]upstream.ServiceTime{"": {MedianMS: 5, Sigma: 0.4}},
	}
	fmt.Fprintln(w, "load\tqueries/s\tupstream calls/s\tCPU per upstream call (us)\tresident memory (MB)\tp50 (ms)\tp99 (ms)")
	for _, fraction := range costLoads {
		if err := costAt(ctx, o, service, fraction, w); err != nil {
			return err
		}
	}
	return nil
}

func costAt(ctx context.Context, o Options, service launch.Service, fraction float64, w io.Writer) error {
	dir := filepath.Join(o.Dir, fmt.Sprintf("cost-%g", fraction))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	d, err := deploy(ctx, o, o.Sardineturn, dir, size{services: []launch.Service{service}, instances: 1})
	if err != nil {
		return err
	}
	defer func() { _ = d.fleet.Stop() }()
	pid := d.fleet.Instances()[0].PID()
	before, err := processorTime(pid)
	if err != nil {
		return err
	}
	streams := load.Queries(service, fraction)
	report, err := load.Run(ctx, load.Config{
		Seed:           o.Seed,
		Instances:      load.Targets(d.fleet),
		UpstreamAdmins: []string{d.host.Admin},
		Streams:        streams,
		Phases:         []load.Phase{{Name: phaseSteady, DurationMS: longPhaseMS / 2}},
	})
	if err != nil {
		return err
	}
	after, err := processorTime(pid)
	if err != nil {
		return err
	}
	memory, err := residentMemory(pid)
	if err != nil {
		return err
	}
	p := report.Phases[0]
	seconds := float64(p.DurationMS) / 1000
	perCall := (after - before) * 1e6 / float64(p.Executions)
	latency := p.Streams[0].LatencyAll
	_, err = fmt.Fprintf(w, "%g\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\n", fraction, float64(p.Streams[0].Requests)/seconds,
		float64(p.Executions)/seconds, perCall, memory, latency.P50, latency.P99)
	return err
}

// processorTime returns the user and system time of a process in seconds.
func processorTime(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The fields after the parenthesised name; utime and stime are the 14th and
	// 15th of the line.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0, fmt.Errorf("the status of process %d has %d fields", pid, len(fields))
	}
	user, err := strconv.ParseFloat(fields[utime], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[stime], 64)
	return (user + system) / clockTicks, err
}

// residentMemory returns the resident set of a process in MB.
func residentMemory(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0, fmt.Errorf("the memory status of process %d is empty", pid)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20), err
}
