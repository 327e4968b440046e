package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	minLatencyUS      = 1
	maxLatencyUS      = 120_000_000
	significantDigits = 3
)

// outcome is the final result of one request.
type outcome struct {
	stream, phase int
	intendedSend  time.Duration
	latency       time.Duration
	// code is a result code, or one of the generator's own names.
	code string
	// detail explains a code to people.
	detail   string
	success  bool
	coverage Coverage
	sends    int
}

// Codes of requests without an answer.
const (
	CodeTransportError = "transport_error"
	codeNoInstance     = "no_ready_instance"
	codeNotSent        = "not_sent"
	CodeCallerTimeout  = "caller_timeout"
	codeOrderOpen      = "order_open"
)

// cell holds the outcomes of one stream in one phase.
type phaseStats struct {
	requests, sends, answered, success, fullCoverage, onTarget int
	shardResults, executions                                   int
	missing                                                    map[string]int
	// details holds the first explanation of each code.
	details                    map[string]string
	codes                      map[string]int
	latencyAll, latencySuccess *hdrhistogram.Histogram
	coverageSum                float64
}

func newPhaseStats() *phaseStats {
	return &phaseStats{
		codes:          make(map[string]int),
		missing:        make(map[string]int),
		details:        make(map[string]string),
		latencyAll:     hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits),
		latencySuccess: hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits),
	}
}

func (c *phaseStats) add(o outcome, target time.Duration) {
	c.requests++
	c.sends += o.sends
	c.codes[o.code]++
	if c.details[o.code] == "" && o.detail != "" {
		c.details[o.code] = o.detail
	}
	for _, m := range o.coverage.Missing {
		c.missing[m.Reason]++
	}
	us := min(max(o.latency.Microseconds(), minLatencyUS), maxLatencyUS)
	if o.code != codeNotSent && o.code != codeNoInstance {
		c.answered++
		_ = c.latencyAll.RecordValue(us)
	}
	if !o.success {
		return
	}
	c.success++
	_ = c.latencySuccess.RecordValue(us)
	c.shardResults += o.coverage.Answered
	if o.coverage.Total > 0 {
		c.coverageSum += float64(o.coverage.Answered) / float64(o.coverage.Total)
	}
	if o.coverage.Answered == o.coverage.Total {
		c.fullCoverage++
	}
	if o.latency <= target {
		c.onTarget++
	}
}

// window is a point of a stream's time series.
type window struct {
	Requests int `json:"requests"`
	Success  int `json:"success"`
	OnTarget int `json:"on_target"`
}

// recorder collects outcomes.
type recorder struct {
	config Config

	mu      sync.Mutex
	stats   [][]*phaseStats
	windows [][]window
}

func newRecorder(c Config) *recorder {
	r := &recorder{config: c}
	length := time.Duration(c.WindowMS) * time.Millisecond
	count := int((c.duration() + length - 1) / length)
	for range c.Streams {
		cells := make([]*phaseStats, len(c.Phases))
		for i := range cells {
			cells[i] = newPhaseStats()
		}
		r.stats = append(r.stats, cells)
		r.windows = append(r.windows, make([]window, count))
	}
	return r
}

func (r *recorder) add(o outcome) {
	target := time.Duration(r.config.Streams[o.stream].TargetMS) * time.Millisecond
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats[o.stream][o.phase].add(o, target)
	w := &r.windows[o.stream][int(o.intendedSend/(time.Duration(r.config.WindowMS)*time.Millisecond))]
	w.Requests++
	if o.success {
		w.Success++
		if o.latency <= target {
			w.OnTarget++
		}
	}
}
