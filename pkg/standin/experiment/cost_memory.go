package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

const (
	// openQuerySlowdown multiplies the upstreams' service times, so that no query
	// ends before the memory is read.
	openQuerySlowdown = 2000
	// openPhaseMS is the time in which the queries are sent. It is shorter than the
	// time after which the home considers upstreams without a reply degraded and
	// refuses queries.
	openPhaseMS = 40
	// openSettleTime is the time from the end of sending until the memory is read. It
	// is longer than the interval at which instances update the metric of requests in
	// flight.
	openSettleTime = 3 * time.Second
	openDeadlineMS = 5000
)

// heapFields are the prefixes of the lines in a heap profile that state the memory
// of objects and of goroutine stacks. An open query uses both.
var heapFields = []string{"# HeapAlloc = ", "# Stack = "}

// openQueryMemory measures the memory of an open query: the growth of live objects
// and stacks while queries wait for upstreams, divided by the number of queries.
func openQueryMemory(ctx context.Context, o CostOptions, w io.Writer) error {
	dir := filepath.Join(o.Dir, "cost-open")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	service := o.Size.service()
	d, err := deploy(ctx, o.Options, o.Sardineturn, dir, deploymentSpec{services: []launch.Service{service}, instances: 1})
	if err != nil {
		return err
	}
	defer func() { _ = d.fleet.Stop() }()
	if err := d.upstreamHost.SetFaults(ctx, "", map[string]any{"slowdown": openQuerySlowdown}); err != nil {
		return err
	}
	operator := d.fleet.Instances()[0].Settings.OperatorAddress
	before, err := liveMemoryBytes(ctx, operator)
	if err != nil {
		return err
	}
	streams := costStreams(service, 1)
	streams[0].Rate = float64(o.OpenQueries) * 1000 / openPhaseMS
	streams[0].DeadlineMS = openDeadlineMS
	finished := make(chan error, 1)
	go func() {
		_, err := load.Run(ctx, load.Config{
			Seed:      o.Seed,
			Instances: load.Targets(d.fleet),
			Streams:   streams,
			Phases:    []load.Phase{{Name: phaseSteady, DurationMS: openPhaseMS}},
		})
		finished <- err
	}()
	time.Sleep(openPhaseMS*time.Millisecond + openSettleTime)
	open, err := openRequests(ctx, operator)
	if err != nil {
		return err
	}
	during, err := liveMemoryBytes(ctx, operator)
	if err != nil {
		return err
	}
	if err := <-finished; err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "open queries: %.0f, memory per open query of %d shards: %.1f KB\n", open, service.Shards, (during-before)/max(open, 1)/1024)
	return err
}

// liveMemoryBytes makes an instance collect garbage and returns the size of its live
// objects and stacks.
func liveMemoryBytes(ctx context.Context, operator string) (float64, error) {
	content, err := getFromOperator(ctx, operator, "/debug/pprof/heap?gc=1&debug=1")
	if err != nil {
		return 0, err
	}
	total := 0.0
	for line := range strings.Lines(string(content)) {
		for _, field := range heapFields {
			value, ok := strings.CutPrefix(line, field)
			if !ok {
				continue
			}
			// The value of Stack has the form "in use / obtained from the system".
			value, _, _ = strings.Cut(strings.TrimSpace(value), " ")
			bytes, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return 0, err
			}
			total += bytes
		}
	}
	return total, nil
}

// openRequests returns the number of callers' requests in progress at an instance,
// from its metrics.
func openRequests(ctx context.Context, operator string) (float64, error) {
	content, err := getFromOperator(ctx, operator, "/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "sardineturn_caller_requests_in_flight "); ok {
			return strconv.ParseFloat(strings.TrimSpace(value), 64)
		}
	}
	return 0, fmt.Errorf("the metrics of %s lack sardineturn_caller_requests_in_flight", operator)
}
