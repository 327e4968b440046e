package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a load run.
type Report struct {
	Seed    uint64        `json:"seed"`
	Phases  []PhaseReport `json:"phases"`
	Windows []TimeSeries  `json:"windows"`
	// Violations holds the violated properties by name. It is empty when all checked
	// properties held.
	Violations map[string]*Violation `json:"violations"`
	// ExecutionsChecked is false if the configuration names no admin listeners of
	// upstreams, or if a stand-in dropped log entries. Then an empty Violations does
	// not show that the properties of executions held.
	ExecutionsChecked bool `json:"executions_checked"`
	PeakConnections   int  `json:"peak_connections_per_upstream"`
}

// PhaseReport is the part of the report about one phase.
type PhaseReport struct {
	Name       string `json:"name"`
	DurationMS int    `json:"duration_ms"`
	// Executions is the number of executions at upstreams for requests that were sent
	// in the phase.
	Executions int            `json:"executions"`
	Streams    []StreamReport `json:"streams"`
	// ExecutionsPerRequest is Executions divided by the number of requests, and
	// ExecutionsPerResult is Executions divided by the number of shard results in
	// successful answers.
	ExecutionsPerRequest float64 `json:"executions_per_request"`
	ExecutionsPerResult  float64 `json:"executions_per_result"`
}

// StreamReport is the part of the report about one stream in one phase. Latencies
// count from the intended send time.
type StreamReport struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Priority string `json:"priority"`
	Requests int    `json:"requests"`
	Sends    int    `json:"sends"`
	Success  int    `json:"success"`
	// OnTargetShare is the share of all requests that got a successful answer
	// within the target.
	OnTargetShare float64 `json:"on_target_share"`
	SuccessShare  float64 `json:"success_share"`
	// FullCoverageShare is the share of successful answers without a missing shard,
	// and MeanCoverage is the mean coverage of successful answers.
	FullCoverageShare float64 `json:"full_coverage_share"`
	MeanCoverage      float64 `json:"mean_coverage"`
	// CoverageOfAll is the mean coverage over all requests; a request without a
	// successful answer counts with 0.
	CoverageOfAll float64        `json:"coverage_of_all"`
	Results       int            `json:"results"`
	Executions    int            `json:"executions"`
	Codes         map[string]int `json:"codes"`
	// Details holds the detail of the first outcome with each code.
	Details map[string]string `json:"details"`
	// MissingShards counts missing shards by reason.
	MissingShards map[string]int `json:"missing_shards"`
	// Latency describes the latencies of successful answers, and LatencyAll the
	// latencies of all requests except those with the codes "not_sent" and
	// "no_ready_instance".
	Latency    Percentiles `json:"latency_ms"`
	LatencyAll Percentiles `json:"latency_all_ms"`
}

// Percentiles are latencies in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// TimeSeries is the time series of a stream. Its windows follow one another, and each
// covers WindowMS of the run.
type TimeSeries struct {
	Stream   string   `json:"stream"`
	WindowMS int      `json:"window_ms"`
	Windows  []window `json:"windows"`
}

// report builds the report of the run.
func (g *generator) report(e *executionReader) Report {
	r := Report{
		Seed:              g.config.Seed,
		Violations:        g.checker.violations,
		ExecutionsChecked: len(e.admins) > 0 && e.dropped == 0,
		PeakConnections:   e.peakConnections,
	}
	for i, p := range g.config.Phases {
		phase := PhaseReport{Name: p.Name, DurationMS: p.DurationMS}
		requests, results := 0, 0
		for n, s := range g.config.Streams {
			sr := g.recorder.stats[n][i].report(s)
			requests += sr.Requests
			results += sr.Results
			phase.Executions += sr.Executions
			phase.Streams = append(phase.Streams, sr)
		}
		phase.ExecutionsPerRequest = ratio(phase.Executions, requests)
		phase.ExecutionsPerResult = ratio(phase.Executions, results)
		r.Phases = append(r.Phases, phase)
	}
	for n, s := range g.config.Streams {
		r.Windows = append(r.Windows, TimeSeries{Stream: s.Name, WindowMS: g.config.WindowMS, Windows: g.recorder.windows[n]})
	}
	return r
}

func (p *phaseStats) report(s Stream) StreamReport {
	r := StreamReport{
		Name: s.Name, Service: s.Service, Priority: s.Priority,
		Requests: p.requests, Sends: p.sends, Success: p.success,
		OnTargetShare:     ratio(p.onTarget, p.requests),
		SuccessShare:      ratio(p.success, p.requests),
		FullCoverageShare: ratio(p.fullCoverage, p.success),
		Results:           p.shardResults,
		Executions:        p.executions,
		Codes:             p.codes,
		Details:           p.details,
		MissingShards:     p.missing,
		Latency:           percentiles(p.latencySuccess),
		LatencyAll:        percentiles(p.latencyAll),
	}
	if s.Order {
		// An order acts on one shard, and its answer states no coverage. A successful
		// order counts as one result and as full coverage.
		p.coverageSum, r.Results = float64(p.success), p.success
	}
	if p.success > 0 {
		r.MeanCoverage = p.coverageSum / float64(p.success)
		r.CoverageOfAll = p.coverageSum / float64(p.requests)
	}
	return r
}

// ratio returns a divided by b, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	quantileMS := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) * float64(time.Microsecond) / float64(time.Millisecond)
	}
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{P50: quantileMS(50), P90: quantileMS(90), P99: quantileMS(99), P999: quantileMS(99.9), Max: quantileMS(100)}
}

// WriteTable writes the report as a table for people.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, p := range r.Phases {
		fmt.Fprintf(t, "phase %s: %d ms, %d executions, %.2f per request, %.3f per result\n",
			p.Name, p.DurationMS, p.Executions, p.ExecutionsPerRequest, p.ExecutionsPerResult)
		fmt.Fprintln(t, "stream\trequests\ton target\tsuccess\tfull\tcoverage\texecutions\tp50\tp90\tp99\tp99.9\tmax\t codes\t")
		for _, s := range p.Streams {
			fmt.Fprintf(t, "%s\t%d\t%.2f%%\t%.2f%%\t%.2f%%\t%.2f%%\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t %s\t\n",
				s.Name, s.Requests, 100*s.OnTargetShare, 100*s.SuccessShare, 100*s.FullCoverageShare, 100*s.MeanCoverage, s.Executions,
				s.Latency.P50, s.Latency.P90, s.Latency.P99, s.Latency.P999, s.Latency.Max, codeList(s.Codes))
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return r.writeChecks(w)
}

// writeChecks writes the number of violations of each checked property, with samples.
func (r Report) writeChecks(w io.Writer) error {
	if !r.ExecutionsChecked {
		fmt.Fprintln(w, "executions were not checked completely")
	}
	_, err := fmt.Fprintf(w, "violations: %d\n", r.ViolationCount())
	for name, v := range r.Violations {
		fmt.Fprintf(w, "  %s: %d\n", name, v.Count)
		for _, s := range v.Samples {
			fmt.Fprintf(w, "    %s\n", s)
		}
	}
	return err
}

// ViolationCount returns the number of violations of all checked properties.
func (r Report) ViolationCount() int {
	total := 0
	for _, v := range r.Violations {
		total += v.Count
	}
	return total
}

// codeList returns each code other than ok with the number of requests that have it,
// sorted by the code's name.
func codeList(codes map[string]int) string {
	var parts []string
	for name, n := range codes {
		if name != "ok" {
			parts = append(parts, fmt.Sprintf("%s=%d", name, n))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
