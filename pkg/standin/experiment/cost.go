package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// CostSize is the size of the service of the cost measurement.
type CostSize struct {
	Upstreams int
	// Slots and Connections are those of each upstream.
	Slots       int
	Connections int
	Shards      int
}

// LargeCost is the size at which processor time is measured: one instance
// through 30 upstreams. SmallCost is that of a service of today, at which the
// use of the slots under overload is measured: the upstreams of the large size
// would need more processors than a shared machine has.
var (
	LargeCost = CostSize{Upstreams: 30, Slots: 6, Connections: 110, Shards: 60}
	SmallCost = CostSize{Upstreams: 3, Slots: 3, Connections: 30, Shards: 12}
)

const (
	// clockTicks is the unit of processor time in the process status, per
	// second; it is 100 on every Linux platform that Go supports.
	clockTicks = 100
)

// costLoads are the measured loads as fractions of the upstreams' capacity.
var costLoads = []float64{0.05, 0.1, 0.2, 0.4}

// Labels of the programs of the cost measurement besides productLabel.
const (
	againstLabel   = "against"
	transportLabel = "transport"
)

// CostOptions configure the cost measurement.
type CostOptions struct {
	Options
	// Against is the path of another version of the product that is measured
	// in turn with it; none when empty.
	Against string
	// Transport measures the client of upstreams alone as well, in turn with
	// the product.
	Transport bool
	// Together makes the measurements of a round at the same time, so that other
	// work on the machine affects all of them alike.
	Together bool
	// Size is the size of the service.
	Size CostSize
	// Loads are fractions of the upstreams' capacity; costLoads when empty.
	Loads []float64
	// Rounds is the number of times that each load is measured; 0 means 1.
	Rounds int
	// Profiles receives a processor profile of the product for each load and
	// round; no profile is taken when it is empty.
	Profiles string
	// OpenQueries is the number of queries that are open when the memory per
	// open query is measured; it is not measured when 0.
	OpenQueries int
}

func (c CostSize) service() launch.Service {
	return launch.Service{
		Name:            "cost",
		Priorities:      launch.ShevitsaPriorities(),
		Upstreams:       c.Upstreams,
		Slots:           c.Slots,
		ConnectionLimit: c.Connections,
		ConnectMS:       1,
		Shards:          c.Shards,
		Replicas:        2,
		DataCentres:     launch.Shevitsa()[0].DataCentres,
		ServiceTimes:    map[string]upstream.ServiceTime{"": {MedianMS: 5, Sigma: 0.4}},
	}
}

// Cost measures the processor time of one instance per upstream call and its
// memory at growing load, and writes a table.
func Cost(ctx context.Context, o CostOptions, w io.Writer) error {
	if len(o.Loads) == 0 {
		o.Loads = costLoads
	}
	fmt.Fprintln(w, "load\tprogram\tqueries/s\tupstream calls/s\tCPU per upstream call (us)\tresident memory (MB)\tp50 (ms)\tp99 (ms)\tshare of slot time in service\tidle slot time per call (ms)")
	for _, fraction := range o.Loads {
		for round := range max(o.Rounds, 1) {
			if err := costRound(ctx, o, fraction, round, w); err != nil {
				return err
			}
		}
	}
	if o.OpenQueries == 0 {
		return nil
	}
	return openQueryMemory(ctx, o, w)
}

// costRound measures each program once, one after another.
func costRound(ctx context.Context, o CostOptions, fraction float64, round int, w io.Writer) error {
	dir := filepath.Join(o.Dir, fmt.Sprintf("cost-%g-%d", fraction, round))
	var runs []func() (string, error)
	if o.Against != "" {
		against := o
		against.Sardineturn, against.Profiles = o.Against, ""
		runs = append(runs, func() (string, error) {
			return costAt(ctx, against, againstLabel, filepath.Join(dir, againstLabel), fraction)
		})
	}
	runs = append(runs, func() (string, error) {
		return costAt(ctx, o, productLabel, filepath.Join(dir, productLabel), fraction)
	})
	if o.Transport {
		runs = append(runs, func() (string, error) {
			return transportAt(ctx, o, filepath.Join(dir, transportLabel), fraction)
		})
	}
	return costRuns(runs, o.Together, w)
}

// costRuns makes the runs in turn or at the same time and writes their rows.
func costRuns(runs []func() (string, error), together bool, w io.Writer) error {
	rows := make([]string, len(runs))
	errs := make([]error, len(runs))
	var wg sync.WaitGroup
	for n, run := range runs {
		wg.Go(func() { rows[n], errs[n] = run() })
		if !together {
			wg.Wait()
		}
	}
	wg.Wait()
	for _, row := range rows {
		if _, err := io.WriteString(w, row); err != nil {
			return err
		}
	}
	return errors.Join(errs...)
}

func costAt(ctx context.Context, o CostOptions, label, dir string, fraction float64) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	service := o.Size.service()
	d, err := deploy(ctx, o.Options, o.Sardineturn, dir, size{services: []launch.Service{service}, instances: 1})
	if err != nil {
		return "", err
	}
	defer func() { _ = d.fleet.Stop() }()
	instance := d.fleet.Instances()[0]
	before, err := processorTime(instance.PID())
	if err != nil {
		return "", err
	}
	profile := startProfile(ctx, o, instance.Settings.OperatorAddress, dir)
	report, err := load.Run(ctx, load.Config{
		Seed:           o.Seed,
		Instances:      load.Targets(d.fleet),
		UpstreamAdmins: []string{d.host.Admin},
		Streams:        costStreams(service, fraction),
		Phases:         []load.Phase{{Name: phaseSteady, DurationMS: costPhaseMS}},
	})
	if err := errors.Join(err, <-profile); err != nil {
		return "", err
	}
	after, err := processorTime(instance.PID())
	if err != nil {
		return "", err
	}
	memory, err := residentMemory(instance.PID())
	if err != nil {
		return "", err
	}
	use, err := d.slotUse(ctx)
	if err != nil {
		return "", err
	}
	p := report.Phases[0]
	seconds := float64(p.DurationMS) / 1000
	callsPerSecond := float64(p.Executions) / seconds
	latency := p.Streams[0].LatencyAll
	return fmt.Sprintf("%g\t%s\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%s\n", fraction, label, float64(p.Streams[0].Requests)/seconds,
		callsPerSecond, (after-before)*1e6/float64(p.Executions), memory, latency.P50, latency.P99, use.busy, use.idle(fraction)), nil
}

// Part of the phase in which the use of slots is measured: after the start, in
// which upstreams are cold, and before the load ends.
const (
	slotUseFrom = 2 * time.Second
	slotUseTo   = 8 * time.Second
)

// slotUse is how the upstreams' slots were used.
type slotUse struct {
	// busy is the share of the slots' time in which they ran a request.
	busy float64
	// idleMS is the time that a slot stood idle per request, in ms.
	idleMS float64
}

// idle returns the idle time at a load. It means something only if work waits
// all the time.
func (u slotUse) idle(load float64) string {
	if load <= 1 {
		return "-"
	}
	return fmt.Sprintf("%.2f", u.idleMS)
}

// slotUse computes the use of the slots from the execution log.
func (d *deployment) slotUse(ctx context.Context) (slotUse, error) {
	var executions []upstream.Execution
	first := time.Now()
	err := d.eachExecution(ctx, func(e upstream.Execution) {
		if e.Start.Before(first) {
			first = e.Start
		}
		executions = append(executions, e)
	})
	from, to := first.Add(slotUseFrom), first.Add(slotUseTo)
	busy, ended := time.Duration(0), 0
	for _, e := range executions {
		start, end := e.Start, e.End
		if end.IsZero() || end.Before(from) || start.After(to) {
			continue
		}
		if !end.After(to) {
			ended++
		}
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		busy += end.Sub(start)
	}
	total := time.Duration(d.service.Upstreams*d.service.Slots) * to.Sub(from)
	idle := (total - busy) / time.Duration(max(ended, 1))
	return slotUse{busy: busy.Seconds() / total.Seconds(), idleMS: idle.Seconds() * 1000}, err
}

// costStreams is a stream of the least urgent priority. Its long deadline keeps
// queries from being refused when the machine is busy with other work, after
// which the cost of the others would be spread over few calls.
func costStreams(service launch.Service, fraction float64) []load.Stream {
	streams := load.Queries(service, fraction)
	last := service.Priorities[len(service.Priorities)-1]
	streams[0].Priority, streams[0].DeadlineMS = last.Name, last.DeadlineMS
	return streams
}

const (
	// costPhaseMS is the length of one measurement.
	costPhaseMS = longPhaseMS / 2
	// profileDelay skips the time in which connections and estimates are new.
	profileDelay   = 2 * time.Second
	profileSeconds = 6
)

// startProfile takes a processor profile from the instance's operator listener
// in the background. The channel receives one value at its end.
func startProfile(ctx context.Context, o CostOptions, operator, dir string) <-chan error {
	done := make(chan error, 1)
	if o.Profiles == "" {
		done <- nil
		return done
	}
	go func() {
		time.Sleep(profileDelay)
		done <- saveProfile(ctx, o, operator, filepath.Base(filepath.Dir(dir))+".pprof")
	}()
	return done
}

func saveProfile(ctx context.Context, o CostOptions, operator, name string) error {
	content, err := readOperator(ctx, operator, fmt.Sprintf("/debug/pprof/profile?seconds=%d", profileSeconds))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Profiles, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.Profiles, name), content, 0o644)
}

// readOperator returns the body of a path of an operator listener.
func readOperator(ctx context.Context, operator, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
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
