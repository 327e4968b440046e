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

// CostSize is the size of the service that the cost measurement uses.
type CostSize struct {
	// Upstreams is the number of upstreams.
	Upstreams int
	// Slots and Connections are the slots and the connection limit of each upstream.
	Slots       int
	Connections int
	// Shards is the number of shards of the service. Each query requests all of them.
	Shards int
}

// LargeCost is the size for measuring the processor time of one instance that calls
// 30 upstreams. SmallCost is the size of most services of customer Shevitsa. It is for
// measuring the use of slots under overload, because 30 overloaded upstreams would need
// more processors than a shared machine has.
var (
	LargeCost = CostSize{Upstreams: 30, Slots: 6, Connections: 110, Shards: 60}
	SmallCost = CostSize{Upstreams: 3, Slots: 3, Connections: 30, Shards: 12}
)

const (
	// clockTicksPerSecond converts processor time in /proc/PID/stat, which counts
	// clock ticks, to seconds. It is 100 on every Linux platform that Go supports.
	clockTicksPerSecond = 100
)

// defaultCostLoads are the loads to measure when CostOptions.Loads is empty, as
// fractions of the upstreams' capacity.
var defaultCostLoads = []float64{0.05, 0.1, 0.2, 0.4}

// Names of the measured programs in the table, besides productLabel.
const (
	againstLabel   = "against"
	transportLabel = "transport"
)

// CostOptions configures the cost measurement.
type CostOptions struct {
	Options
	// Against is the path of another version of the product's binary. Each round
	// measures both this version and Options.Sardineturn. When it is empty, only
	// Options.Sardineturn is measured.
	Against string
	// Transport also measures, in each round, the HTTP client for upstreams without
	// the rest of an instance.
	Transport bool
	// Together makes the measurements of a round at the same time instead of one
	// after another. Then other work on the machine affects all of them alike.
	Together bool
	Size     CostSize
	// Loads are fractions of the upstreams' capacity; defaultCostLoads when empty.
	Loads []float64
	// Rounds is the number of times that each load is measured; 0 means 1.
	Rounds int
	// Profiles is the directory for processor profiles of the binary
	// Options.Sardineturn, one for each load and round. No profile is taken when it
	// is empty.
	Profiles string
	// OpenQueries is the number of open queries at which the memory per open query
	// is measured. The memory is not measured when it is 0.
	OpenQueries int
}

// service returns the measured service at this size.
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

// MeasureCost measures the processor time of one instance per upstream call and its
// memory, at each of the loads, and writes a table. If o.OpenQueries is set, it also
// measures the memory per open query.
func MeasureCost(ctx context.Context, o CostOptions, w io.Writer) error {
	if len(o.Loads) == 0 {
		o.Loads = defaultCostLoads
	}
	fmt.Fprintln(w, "load\tprogram\tqueries/s\tupstream calls/s\tCPU per upstream call (us)\tresident memory (MB)\tp50 (ms)\tp99 (ms)\tshare of slot time in service\tidle slot time per call (ms)")
	for _, fraction := range o.Loads {
		for round := range max(o.Rounds, 1) {
			if err := measureRound(ctx, o, fraction, round, w); err != nil {
				return err
			}
		}
	}
	if o.OpenQueries == 0 {
		return nil
	}
	return openQueryMemory(ctx, o, w)
}

// measureRound measures each program once at one load: one after another, or at the
// same time if the options say so.
func measureRound(ctx context.Context, o CostOptions, fraction float64, round int, w io.Writer) error {
	dir := filepath.Join(o.Dir, fmt.Sprintf("cost-%g-%d", fraction, round))
	var runs []func() (string, error)
	if o.Against != "" {
		against := o
		against.Sardineturn, against.Profiles = o.Against, ""
		runs = append(runs, func() (string, error) {
			return measureInstance(ctx, against, againstLabel, filepath.Join(dir, againstLabel), fraction)
		})
	}
	runs = append(runs, func() (string, error) {
		return measureInstance(ctx, o, productLabel, filepath.Join(dir, productLabel), fraction)
	})
	if o.Transport {
		runs = append(runs, func() (string, error) {
			return measureTransport(ctx, o, filepath.Join(dir, transportLabel), fraction)
		})
	}
	return runAndWriteRows(runs, o.Together, w)
}

// runAndWriteRows calls the functions, one after another or at the same time, and
// writes the table rows that they return in the order of the functions.
func runAndWriteRows(runs []func() (string, error), together bool, w io.Writer) error {
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

// measureInstance runs the load against one instance and returns its table row.
func measureInstance(ctx context.Context, o CostOptions, label, dir string, fraction float64) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	service := o.Size.service()
	d, err := deploy(ctx, o.Options, o.Sardineturn, dir, deploymentSpec{services: []launch.Service{service}, instances: 1})
	if err != nil {
		return "", err
	}
	defer func() { _ = d.fleet.Stop() }()
	instance := d.fleet.Instances()[0]
	before, err := processorSeconds(instance.PID())
	if err != nil {
		return "", err
	}
	profile := startProfile(ctx, o, instance.Settings.OperatorAddress, dir)
	report, err := load.Run(ctx, load.Config{
		Seed:           o.Seed,
		Instances:      load.Targets(d.fleet),
		UpstreamAdmins: []string{d.upstreamHost.Admin},
		Streams:        costStreams(service, fraction),
		Phases:         []load.Phase{{Name: phaseSteady, DurationMS: costPhaseMS}},
	})
	if err := errors.Join(err, <-profile); err != nil {
		return "", err
	}
	after, err := processorSeconds(instance.PID())
	if err != nil {
		return "", err
	}
	memory, err := residentMemoryMB(instance.PID())
	if err != nil {
		return "", err
	}
	use, err := d.measureSlotUse(ctx)
	if err != nil {
		return "", err
	}
	p := report.Phases[0]
	seconds := float64(p.DurationMS) / 1000
	callsPerSecond := float64(p.Executions) / seconds
	latency := p.Streams[0].LatencyAll
	return fmt.Sprintf("%g\t%s\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%s\n", fraction, label, float64(p.Streams[0].Requests)/seconds,
		callsPerSecond, (after-before)*1e6/float64(p.Executions), memory, latency.P50, latency.P99, use.busyShare, use.idleColumn(fraction)), nil
}

// The use of slots is measured from slotUseStart to slotUseEnd, both counted from the
// first execution. At slotUseStart, the scheduler no longer limits the calls to the
// upstreams as it does after a cold start. slotUseEnd is before the end of the load.
const (
	slotUseStart = 2 * time.Second
	slotUseEnd   = 8 * time.Second
)

// slotUse says how much of their time the upstreams' slots were in use.
type slotUse struct {
	// busyShare is the share of the slots' time in which they executed a request.
	busyShare float64
	// idleMS is the slots' idle time divided by the number of executions that ended,
	// in ms.
	idleMS float64
}

// idleColumn returns the text for the table's column of the idle time per call. It is
// "-" up to a load of 1, because slots that are idle for lack of work say nothing
// about the product.
func (u slotUse) idleColumn(load float64) string {
	if load <= 1 {
		return "-"
	}
	return fmt.Sprintf("%.2f", u.idleMS)
}

// measureSlotUse computes the use of the slots from the execution log.
func (d *deployment) measureSlotUse(ctx context.Context) (slotUse, error) {
	var executions []upstream.Execution
	first := time.Now()
	err := d.eachExecution(ctx, func(e upstream.Execution) {
		if e.Start.Before(first) {
			first = e.Start
		}
		executions = append(executions, e)
	})
	from, to := first.Add(slotUseStart), first.Add(slotUseEnd)
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
	return slotUse{busyShare: busy.Seconds() / total.Seconds(), idleMS: idle.Seconds() * 1000}, err
}

// costStreams returns one stream of queries of the least urgent priority. Because of
// its long deadline, queries are not refused while the machine is busy with other
// work. With refusals, the processor time would be divided by too few calls.
func costStreams(service launch.Service, fraction float64) []load.Stream {
	streams := load.QueryStreams(service, fraction)
	last := service.Priorities[len(service.Priorities)-1]
	streams[0].Priority, streams[0].DeadlineMS = last.Name, last.DeadlineMS
	return streams
}

const (
	// costPhaseMS is the length of one measurement.
	costPhaseMS = longPhaseMS / 2
	// profileDelay is the time from the start of the load to the start of the
	// profile. In this time, the instance opens its connections, and its estimates
	// of the upstreams are still inaccurate.
	profileDelay = 2 * time.Second
	// profileSeconds is the length of the profile.
	profileSeconds = 6
)

// startProfile takes a processor profile over the instance's operator listener in
// the background. The channel receives the error, or nil, when the profile is saved.
// It receives nil at once if o.Profiles is empty.
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

// saveProfile takes a profile and writes it to the file with the given name in the
// directory o.Profiles.
func saveProfile(ctx context.Context, o CostOptions, operator, name string) error {
	content, err := getFromOperator(ctx, operator, fmt.Sprintf("/debug/pprof/profile?seconds=%d", profileSeconds))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Profiles, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.Profiles, name), content, 0o644)
}

// getFromOperator returns the body of the response to a GET request to an operator
// listener.
func getFromOperator(ctx context.Context, operator, path string) ([]byte, error) {
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

// processorSeconds returns the sum of the user and system time of a process.
func processorSeconds(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the program's name in parentheses, which may hold spaces,
	// so the fields are counted after it. utime and stime are the 14th and 15th
	// fields of the line.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0, fmt.Errorf("/proc/%d/stat has only %d fields after the program name", pid, len(fields))
	}
	user, err := strconv.ParseFloat(fields[utime], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[stime], 64)
	return (user + system) / clockTicksPerSecond, err
}

// residentMemoryMB returns the size of the resident set of a process.
func residentMemoryMB(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0, fmt.Errorf("/proc/%d/statm has no field for the resident set", pid)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20), err
}
