package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds, and their precision in decimal
// digits.
const (
	minLatencyUS      = 1
	maxLatencyUS      = 120_000_000
	significantDigits = 3
)

// outcome is the outcome of one request from the caller's view.
type outcome struct {
	stream, phase int
	// intendedSend is the intended send time since the start of the run.
	intendedSend time.Duration
	// latency is the time from the intended send time to the outcome.
	latency time.Duration
	// code is the name of the answer's result code, or one of the generator's codes
	// for requests without an answer.
	code string
	// detail is the answer's detail or the error's text.
	detail   string
	success  bool
	coverage Coverage
	// sends is the number of times that the request was sent.
	sends int
}

// Codes of requests without an answer.
const (
	// CodeTransportError means that the connection failed, or that the response was
	// not valid.
	CodeTransportError = "transport_error"
	// codeNoInstance means that the balancer had no ready instance, for the first
	// send or for a further one.
	codeNoInstance = "no_ready_instance"
	// codeNotSent means that Config.MaxInFlight requests were already in flight.
	codeNotSent = "not_sent"
	// CodeCallerTimeout means that no answer came within the caller timeout, which is
	// the deadline and callerGrace.
	CodeCallerTimeout = "caller_timeout"
	// codeOrderOpen means that the last send of an order had no answer, so its
	// outcome is unknown.
	codeOrderOpen = "order_open"
)

// phaseStats adds up the outcomes of one stream in one phase.
type phaseStats struct {
	// sent counts requests whose code is neither codeNotSent nor codeNoInstance, and
	// sends counts all sends.
	requests, sends, sent, success, fullCoverage, onTarget int
	// shardResults counts shard results in successful answers, and executions counts
	// executions at upstreams.
	shardResults, executions int
	// missing counts missing shards by reason.
	missing map[string]int
	// details holds the detail of the first outcome with each code.
	details map[string]string
	// codes counts requests by code.
	codes map[string]int
	// latencyAll holds the latencies of the requests that sent counts, and
	// latencySuccess holds the latencies of successful answers.
	latencyAll, latencySuccess *hdrhistogram.Histogram
	// coverageSum is the sum of the coverage of successful answers.
	coverageSum float64
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

func (p *phaseStats) add(o outcome, target time.Duration) {
	p.requests++
	p.sends += o.sends
	p.codes[o.code]++
	if p.details[o.code] == "" && o.detail != "" {
		p.details[o.code] = o.detail
	}
	for _, m := range o.coverage.Missing {
		p.missing[m.Reason]++
	}
	us := min(max(o.latency.Microseconds(), minLatencyUS), maxLatencyUS)
	if o.code != codeNotSent && o.code != codeNoInstance {
		p.sent++
		_ = p.latencyAll.RecordValue(us)
	}
	if !o.success {
		return
	}
	p.success++
	_ = p.latencySuccess.RecordValue(us)
	p.shardResults += o.coverage.Answered
	if o.coverage.Total > 0 {
		p.coverageSum += float64(o.coverage.Answered) / float64(o.coverage.Total)
	}
	if o.coverage.Answered == o.coverage.Total {
		p.fullCoverage++
	}
	if o.latency <= target {
		p.onTarget++
	}
}

// window is one point of a stream's time series. It counts the requests whose
// intended send time is in the period that the window covers.
type window struct {
	Requests int `json:"requests"`
	Success  int `json:"success"`
	OnTarget int `json:"on_target"`
}

// recorder collects the outcomes of all requests.
type recorder struct {
	config Config

	mu sync.Mutex
	// stats holds the statistics by stream and phase.
	stats [][]*phaseStats
	// windows holds the time series by stream.
	windows [][]window
}

func newRecorder(c Config) *recorder {
	r := &recorder{config: c}
	length := time.Duration(c.WindowMS) * time.Millisecond
	count := int((c.duration() + length - 1) / length)
	for range c.Streams {
		byPhase := make([]*phaseStats, len(c.Phases))
		for i := range byPhase {
			byPhase[i] = newPhaseStats()
		}
		r.stats = append(r.stats, byPhase)
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
