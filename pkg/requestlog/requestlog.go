// Package requestlog explains what happened to a request, from the log lines of
// several instances: the request's own line, which holds the decisions about it,
// and earlier events of the instance and of the upstreams that it used.
package requestlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/feed"
)

const (
	// contextWindow is how far back before a request Explain shows events. It is
	// the longest time for which an instance remembers that an upstream was slow.
	contextWindow = 10 * time.Second
	// maxLineBytes is the size limit of a log line.
	maxLineBytes = 1 << 20
	// minSkew is the smallest difference between two clocks that is corrected. A
	// smaller one may be the time that a change takes from one instance to
	// another.
	minSkew = 1500 * time.Millisecond
)

// Line is a log line with the fields that are needed to explain a request.
type Line struct {
	Event    event.ID  `json:"event"`
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	Code     string    `json:"code"`
	Ran      string    `json:"ran"`
	Route    string    `json:"route"`
	Config   uint64    `json:"config"`
	Revision uint64    `json:"revision"`
	Era      uint64    `json:"era"`
	Upstream string    `json:"upstream"`
	TookMS   float64   `json:"took_ms"`
	SpentMS  float64   `json:"spent_ms"`
	WaitMS   float64   `json:"wait_ms"`
	TargetMS float64   `json:"target_ms"`
	// Delegate is the instance that was asked to run the query.
	Delegate        string  `json:"delegate"`
	DelegateOutcome string  `json:"delegate_outcome"`
	DelegateReason  string  `json:"delegate_reason"`
	DelegateMS      float64 `json:"delegate_ms"`

	Attempts []Attempt      `json:"attempts"`
	Missing  MissingReasons `json:"missing"`
}

// MissingReasons holds, by missing part, the reason why it is missing.
type MissingReasons map[string]string

// Attempt is an attempt of a request to get one part from an upstream.
type Attempt struct {
	Part          string  `json:"part"`
	Upstream      string  `json:"upstream"`
	Cause         string  `json:"cause"`
	AtMS          float64 `json:"at_ms"`
	TookMS        float64 `json:"took_ms"`
	Status        string  `json:"status"`
	HTTP          int     `json:"http"`
	Detail        string  `json:"detail"`
	LatencyFactor float64 `json:"factor"`
	FailureRate   float64 `json:"failing"`
	InFlight      int     `json:"in_flight"`
}

// Read returns the log lines of a stream. It skips text before a line's JSON
// object and lines without one, because the output of several programs may be
// mixed in the stream.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal(scanner.Bytes()[start:], &l); err == nil && l.Event != 0 {
			out = append(out, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w", err)
	}
	return out, nil
}

// Explain writes what the lines say about a request. It returns false if there is
// no line of the request.
func Explain(w io.Writer, lines []Line, id string) bool {
	entryLine, delegateLine := requestLines(lines, id)
	if entryLine == nil {
		return false
	}
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printf("request %s at %s, %s", id, entryLine.Instance, entryLine.Time.Format(time.RFC3339Nano))
	printf("  outcome: %s (%s) after %.1f ms; route %s, configuration %d", entryLine.Code, cmp.Or(entryLine.Ran, "unknown"), entryLine.TookMS, cmp.Or(entryLine.Route, "none"), entryLine.Config)
	printf("  times: caller waits %.0f ms and had spent %.0f ms before; latency target %.0f ms", entryLine.WaitMS, entryLine.SpentMS, entryLine.TargetMS)
	if entryLine.Delegate != "" {
		printf("  delegated to %s: %s after %.1f ms %s", entryLine.Delegate, entryLine.DelegateOutcome, entryLine.DelegateMS, entryLine.DelegateReason)
	}
	writeAttempts(printf, entryLine)
	if delegateLine != nil {
		printf("  at %s: %s after %.1f ms", delegateLine.Instance, delegateLine.Code, delegateLine.TookMS)
		writeAttempts(printf, delegateLine)
	}
	printf("  cause: %s", causeOf(entryLine, delegateLine))
	related := relatedLines(lines, *entryLine)
	if len(related) > 0 {
		printf("  before, at this instance and about the upstreams concerned:")
	}
	for _, l := range related {
		printf("    %8.1f s %s %d %s %s", l.Time.Sub(entryLine.Time).Seconds(), l.Instance, l.Event, l.Message, strings.TrimSpace(l.Upstream))
	}
	return true
}

// requestLines returns the request's line of the instance to which the caller sent
// it and, if that instance delegated the query, the line of the instance that ran
// it.
func requestLines(lines []Line, id string) (entryLine, delegateLine *Line) {
	for i := range lines {
		l := &lines[i]
		if l.Request != id || l.Event != event.RequestFinished {
			continue
		}
		switch {
		case entryLine == nil:
			entryLine = l
		case l.Delegate != "" && entryLine.Delegate == "":
			entryLine, delegateLine = l, entryLine
		case l.Instance != entryLine.Instance:
			delegateLine = l
		}
	}
	return entryLine, delegateLine
}

func writeAttempts(printf func(format string, args ...any), l *Line) {
	for _, a := range l.Attempts {
		printf("  %8.1f ms %-5s %s to %s (latency factor %.1f, failure rate %.2f, %d in flight): %s", a.AtMS, a.Cause, a.Part, a.Upstream, a.LatencyFactor, a.FailureRate, a.InFlight, attemptOutcome(a))
	}
	for _, part := range slices.Sorted(maps.Keys(l.Missing)) {
		printf("  missing: %s, %s", part, l.Missing[part])
	}
}

// causeOf says in a sentence why a request ended as it did. In contrast to Cause,
// it takes into account that the query may have been delegated.
func causeOf(entryLine, delegateLine *Line) string {
	switch {
	case entryLine.DelegateOutcome == "failed" && len(entryLine.Attempts) == 0:
		return "the instance that was asked to run the query gave no answer in time"
	case entryLine.DelegateOutcome == "answered" && delegateLine != nil:
		return Cause(*delegateLine)
	case entryLine.DelegateOutcome == "answered" && entryLine.Code == "ok":
		return "the query was whole and in time at the other instance; the time was spent between the two, or before it arrived"
	default:
		return Cause(*entryLine)
	}
}

func attemptOutcome(a Attempt) string {
	text := a.Status
	if a.TookMS > 0 {
		text += fmt.Sprintf(" after %.1f ms", a.TookMS)
	}
	if a.HTTP != 0 {
		text += fmt.Sprintf(", status %d", a.HTTP)
	}
	if a.Detail != "" {
		text += ", " + a.Detail
	}
	return text
}

// Cause says in a sentence why the request ended as it did.
func Cause(l Line) string {
	switch l.Code {
	case "not_ready":
		return "the instance had no configuration, or none that was confirmed lately enough to deny the route"
	case "unknown_route":
		return "no route of the configuration matches"
	case "quarantined":
		return "the request has crashed upstreams before"
	case "no_upstream":
		return "no upstream of the service was listed"
	}
	if text := describeFailedAttempts(l); text != "" {
		return text
	}
	if l.SpentMS > 0 && l.SpentMS+l.TookMS > l.TargetMS {
		return fmt.Sprintf("the caller had spent %.0f ms of %.0f ms before it sent this attempt", l.SpentMS, l.TargetMS)
	}
	return "all attempts were slow: see their times"
}

// describeFailedAttempts counts the failures of the attempts for the missing parts,
// or of all attempts if no part is missing. It returns "" if there are none.
func describeFailedAttempts(l Line) string {
	counts := make(map[string]int)
	for _, a := range l.Attempts {
		if _, missing := l.Missing[a.Part]; len(l.Missing) > 0 && !missing {
			continue
		}
		switch {
		case a.Status == "running":
			counts["did not answer in time"]++
		case a.Status == "unknown" || a.Status == "not_sent":
			counts["ended without an answer ("+a.Detail+")"]++
		case a.Status == "failed":
			counts[fmt.Sprintf("failed with status %d", a.HTTP)]++
		case a.Status == "declined":
			counts["declined the request"]++
		}
	}
	for _, reason := range l.Missing {
		switch reason {
		case "no_upstream":
			counts["had no other upstream to go to"]++
		case "budget_used":
			counts["was not sent again because the retry budget was used up"]++
		}
	}
	var parts []string
	for text, n := range counts {
		parts = append(parts, fmt.Sprintf("%d× %s", n, text))
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return ""
	}
	return "of the attempts and parts concerned: " + strings.Join(parts, "; ")
}

// relatedLines returns the lines before the request about its instance and the
// upstreams of its attempts, in order of time. It corrects the times of instances
// whose clock differs.
func relatedLines(lines []Line, entryLine Line) []Line {
	upstreams := make(map[string]bool)
	for _, a := range entryLine.Attempts {
		upstreams[a.Upstream] = true
	}
	skew := clockSkews(lines, entryLine.Instance)
	var out []Line
	for _, l := range lines {
		if l.Event == event.RequestFinished {
			continue
		}
		aboutInstance := l.Instance == entryLine.Instance && l.Upstream == ""
		if !aboutInstance && !upstreams[l.Upstream] {
			continue
		}
		l.Time = l.Time.Add(-skew[l.Instance])
		if age := entryLine.Time.Sub(l.Time); age >= 0 && age <= contextWindow {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// clockSkews estimates how far the clock of each instance is ahead of that of the
// reference instance, from the changes that both logged. Differences below
// minSkew are ignored.
func clockSkews(lines []Line, reference string) map[string]time.Duration {
	type change struct {
		event    event.ID
		at       feed.Position
		upstream string
	}
	changeOf := func(l Line) change {
		return change{l.Event, feed.Position{Era: l.Era, Revision: l.Revision}, l.Upstream}
	}
	loggedAt := make(map[change]time.Time)
	for _, l := range lines {
		if l.Instance == reference && l.Revision > 0 {
			loggedAt[changeOf(l)] = l.Time
		}
	}
	differences := make(map[string][]time.Duration)
	for _, l := range lines {
		if referenceTime, ok := loggedAt[changeOf(l)]; ok && l.Instance != reference {
			differences[l.Instance] = append(differences[l.Instance], l.Time.Sub(referenceTime))
		}
	}
	out := make(map[string]time.Duration)
	for instance, d := range differences {
		slices.Sort(d)
		if median := d[len(d)/2]; median.Abs() >= minSkew {
			out[instance] = median
		}
	}
	return out
}

// UncleanRestarts returns the instances that started again without a shutdown
// before, with the times of these starts. A request that was in progress at such an
// instance when it ended has no log line.
func UncleanRestarts(lines []Line) map[string][]time.Time {
	out := make(map[string][]time.Time)
	running := make(map[string]bool)
	for _, l := range lines {
		switch l.Event {
		case event.ProcessStarted:
			if running[l.Instance] {
				out[l.Instance] = append(out[l.Instance], l.Time)
			}
			running[l.Instance] = true
		case event.ShutdownStarted:
			running[l.Instance] = false
		}
	}
	return out
}
