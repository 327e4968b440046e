package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

// windowMS is the period that one point of the time series covers. It is also the
// resolution of recovery times.
const windowMS = 250

// Names of the two programs in tables and file names.
const (
	productLabel  = "sardineturn"
	baselineLabel = "baseline"
)

// Options configures a run of scenarios.
type Options struct {
	// Sardineturn and Standin are the paths of the two programs.
	Sardineturn string
	Standin     string
	// Dir is the directory for logs and settings files.
	Dir  string
	Seed uint64
	// Customer is the customer whose services are used: "shevitsa" or "scalai".
	Customer string
	// Only names the scenarios to run; all when empty.
	Only []string
	// NoBaseline runs the scenarios with the product only.
	NoBaseline bool
	// LoadFactor multiplies all loads; 0 means 1.
	LoadFactor float64
	// Trace makes the product's instances record their decisions in files next to
	// their logs.
	Trace bool
}

// Row is one line of the result table. It compares the figures of the product and of
// the baseline with one aim.
type Row struct {
	Customer string  `json:"customer"`
	Scenario string  `json:"scenario"`
	Aim      string  `json:"aim"`
	Bound    string  `json:"bound"`
	Product  float64 `json:"product"`
	// Baseline is null if the baseline was not run or has no figure for the aim.
	Baseline *float64 `json:"baseline"`
	Met      bool     `json:"met"`
	Seed     uint64   `json:"seed"`
}

// Result holds the measurements of a run of scenarios.
type Result struct {
	Rows []Row
	// Reports holds the load reports by scenario and program.
	Reports map[string]load.Report
	// Violations counts the violations that the load generator found in all runs of
	// the product, by property.
	Violations map[string]int
}

// Run runs each scenario, first with the product and then with the baseline, and
// writes the product's figures to log after each scenario.
func Run(ctx context.Context, o Options, log io.Writer) (Result, error) {
	services := launch.Shevitsa()
	if o.Customer == "scalai" {
		services = launch.Scalai()
	}
	result := Result{Reports: make(map[string]load.Report), Violations: make(map[string]int)}
	for _, s := range o.selectedScenarios() {
		if err := result.runScenario(ctx, o, s, s.selectServices(services), log); err != nil {
			return result, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return result, nil
}

// runScenario runs a scenario with the product and, unless the options say otherwise,
// with the baseline, and adds the results.
func (r *Result) runScenario(ctx context.Context, o Options, s scenario, services []launch.Service, log io.Writer) error {
	product, err := runProgram(ctx, o, s, services, o.Sardineturn, productLabel)
	if err != nil {
		return err
	}
	r.Reports[s.name+" "+productLabel] = product.report
	for check, v := range product.report.Violations {
		r.Violations[check] += v.Count
	}
	var baseline *outcome
	if !o.NoBaseline {
		if baseline, err = runProgram(ctx, o, s, services, o.Standin, baselineLabel); err != nil {
			return err
		}
		r.Reports[s.name+" "+baselineLabel] = baseline.report
	}
	for _, a := range s.aims {
		row := newRow(o, s, a, product, baseline)
		r.Rows = append(r.Rows, row)
		fmt.Fprintf(log, "%s: %s: %.3f (bound %s, met %v)\n", s.name, a.text, row.Product, row.Bound, row.Met)
	}
	return nil
}

// newRow returns the table row of an aim. baseline is nil if it was not run.
func newRow(o Options, s scenario, a aim, product, baseline *outcome) Row {
	bound := fmt.Sprintf("<= %g", a.limit)
	if a.atLeast {
		bound = fmt.Sprintf(">= %g", a.limit)
	}
	row := Row{Customer: o.Customer, Scenario: s.name, Aim: a.text, Bound: bound, Product: a.measure(product), Seed: o.Seed}
	row.Met = a.met(row.Product)
	if baseline != nil {
		if v := a.measure(baseline); !math.IsNaN(v) && !math.IsInf(v, 0) {
			row.Baseline = &v
		}
	}
	return row
}

// runProgram runs a scenario with one program and stops the deployment.
func runProgram(ctx context.Context, o Options, s scenario, services []launch.Service, program, label string) (*outcome, error) {
	dir := filepath.Join(o.Dir, fmt.Sprintf("%s-%s-%s", o.Customer, s.name, label))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	d, err := deploy(ctx, o, program, dir, deploymentSpec{services: services, instances: instanceCount, relayed: s.relayed})
	if err != nil {
		return nil, err
	}
	out, err := d.measure(ctx, o, s)
	if err == nil {
		err = writeJSON(filepath.Join(dir, "report.json"), out.report)
	}
	// The error is ignored: an instance that a fault has killed or paused may not end
	// cleanly, and the scenario does not measure that.
	_ = d.fleet.Stop()
	if err == nil && label == productLabel {
		err = d.keepTrace(o, s.name)
	}
	return out, err
}

// measure runs a scenario's load, injects its fault meanwhile, and returns the outcome.
func (d *deployment) measure(ctx context.Context, o Options, s scenario) (*outcome, error) {
	config := load.Config{
		Seed:           o.Seed,
		Instances:      load.Targets(d.fleet),
		UpstreamAdmins: load.UpstreamAdmins(d.fleet),
		Balancer:       load.BalancerConfig{PollMS: balancerPollMS, LagMS: balancerLagMS},
		Streams:        steadyStreams(d.service, o.loadFactor()),
		Phases:         s.phases(d.service, d.capacity),
		WindowMS:       windowMS,
	}
	for _, other := range d.otherServices {
		config.Streams = append(config.Streams, load.QueryStreams(other, steadyShares(o.loadFactor())...)...)
	}
	if s.sendsCrashingRequest {
		config.Streams = append(config.Streams, crashingStream(d.service))
	}
	if s.orders && d.product {
		orders := orderStream(d.service)
		orders.ViaOtherInstance = s.relayed
		config.Streams = append(config.Streams, orders)
	}
	faults := make(chan error, 1)
	var before map[string]float64
	go func() {
		time.Sleep(s.faultStart())
		before = d.sumCounter(ctx, attemptsByKind)
		faults <- d.applyFaults(ctx, s)
	}()
	report, err := load.Run(ctx, config)
	if err := errors.Join(err, <-faults); err != nil {
		return nil, err
	}
	after := d.sumCounter(ctx, attemptsByKind)
	out := &outcome{scenario: s, service: d.service, capacity: d.capacity, report: report, faultAttempts: difference(before, after), change: d.change}
	out.invariantViolations = d.sumCounter(ctx, violationsByName)
	out.rolloutErr = d.awaitRollout(s)
	err = d.readExecutions(ctx, out)
	return out, err
}

// applyFaults injects the scenario's fault and undoes it at the end of the fault
// phase.
func (d *deployment) applyFaults(ctx context.Context, s scenario) error {
	if s.fault == nil {
		return nil
	}
	end := time.Now().Add(time.Duration(s.lengthOrDefault()) * time.Millisecond)
	if err := s.fault(ctx, d); err != nil {
		return err
	}
	if s.undo == nil {
		return nil
	}
	time.Sleep(time.Until(end))
	return s.undo(ctx, d)
}

// awaitRollout waits until the rolling restart ends and returns its error. It returns
// nil at once in scenarios without a rolling restart.
func (d *deployment) awaitRollout(s scenario) error {
	if s.name != rolloutScenario().name {
		return nil
	}
	return <-d.rolloutDone
}

// MissedAims returns the number of aims that the product does not meet.
func (r Result) MissedAims() int {
	missed := 0
	for _, row := range r.Rows {
		if !row.Met {
			missed++
		}
	}
	return missed
}

// WriteTable writes the rows as a table with aligned columns.
func (r Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "customer\tscenario\taim\tbound\tbaseline\tproduct\tmet\tseed")
	for _, row := range r.Rows {
		baseline := "-"
		if row.Baseline != nil {
			baseline = fmt.Sprintf("%.3f", *row.Baseline)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.3f\t%v\t%d\n", row.Customer, row.Scenario, row.Aim, row.Bound, baseline, row.Product, row.Met, row.Seed)
	}
	return t.Flush()
}

func writeJSON(path string, v any) error {
	content, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(content, '\n'), 0o644)
}
