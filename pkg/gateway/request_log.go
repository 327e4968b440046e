package gateway

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

// Limits on the log lines about requests, separately for requests that got an answer
// and for requests that got none: lines per second, and lines in a burst. At 1 KB a
// line, an instance writes 120 KB/s at most, apart from bursts.
const (
	answeredLinesPerSecond   = 20
	answeredLinesBurst       = 100
	unansweredLinesPerSecond = 100
	unansweredLinesBurst     = 300
)

// logLineLimit limits the log lines about requests. Requests without an answer have
// their own limit, because otherwise many late answers could suppress their lines.
type logLineLimit struct{ answered, unanswered *rate.Limiter }

func newLogLineLimit() logLineLimit {
	return logLineLimit{answered: rate.NewLimiter(answeredLinesPerSecond, answeredLinesBurst), unanswered: rate.NewLimiter(unansweredLinesPerSecond, unansweredLinesBurst)}
}

func (l logLineLimit) allow(now time.Time, answered bool) bool {
	if answered {
		return l.answered.AllowN(now, 1)
	}
	return l.unanswered.AllowN(now, 1)
}

func (g *Gateway) countAttempt(c fanout.Cause) {
	kind := metrics.FirstAttempt
	switch c {
	case fanout.Hedge:
		kind = metrics.HedgeAttempt
		g.ports.Metrics.Hedged(metrics.HedgeLatency)
	case fanout.Retry:
		kind = metrics.RetryAttempt
	}
	g.ports.Metrics.AttemptSent(kind)
}

// attemptLine describes an attempt in the log line of its request.
type attemptLine struct {
	Part     string  `json:"part"`
	Upstream string  `json:"upstream"`
	Cause    string  `json:"cause"`
	AtMS     float64 `json:"at_ms"`
	TookMS   float64 `json:"took_ms,omitempty"`
	Status   string  `json:"status"`
	HTTP     int     `json:"http,omitempty"`
	Detail   string  `json:"detail,omitempty"`
	// LatencyFactor, FailureRate and InFlight describe the upstream at the start of the
	// attempt: its latency as a multiple of the typical latency, its failure rate, and
	// the number of attempts in flight from this instance.
	LatencyFactor float64 `json:"factor"`
	FailureRate   float64 `json:"failing"`
	InFlight      int     `json:"in_flight"`
}

func roundToHundredths(x float64) float64 { return math.Round(x*100) / 100 }

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// logAnswer counts the answer to a request, and logs the request if its answer is late,
// partial or missing.
func (r *requestRun) logAnswer(verdict fanout.Verdict, a Answer) {
	now := r.now()
	took := now.Sub(r.request.Arrived)
	late := r.route.LatencyTarget > 0 && r.callerElapsed+took > r.route.LatencyTarget
	r.g.countAnswer(r.route, a, took)
	if a.Code == result.OK && !late {
		return
	}
	if !r.g.logLimit.allow(now, a.Merged != nil || a.Code == result.OK) {
		r.g.ports.Metrics.LogLineSuppressed()
		return
	}
	fields := r.g.requestFields(r.request, r.route, a, took)
	fields["verdict"] = verdict.String()
	fields["config"] = r.view.table.Version
	fields["usual_ms"], fields["hedge_ms"] = millis(r.typicalLatency), millis(r.hedgeAfter)
	fields["spent_ms"], fields["target_ms"] = millis(r.callerElapsed), r.route.LatencyTarget.Milliseconds()
	fields["age_ms"] = r.g.timeSinceConfirmed(now).Milliseconds()
	fields["attempts"] = r.attemptLines(a.Code == result.OK)
	if d := r.delegate; d != nil {
		fields["delegate"], fields["delegate_outcome"], fields["delegate_ms"] = d.to, d.outcome.String(), millis(d.duration)
		if d.declineReason != "" {
			fields["delegate_reason"] = d.declineReason
		}
	}
	if missing := r.missingParts(); len(missing) > 0 {
		fields["missing"] = missing
	}
	event.Info(r.g.ports.Log, event.RequestFinished, fields, "a request ended late, partial or without an answer")
}

// attemptLines describes the attempts of a request for its log line. If slowOnly is set
// or the request is a query over shards, it omits successful first attempts that took no
// longer than hedgeAfter.
func (r *requestRun) attemptLines(slowOnly bool) []attemptLine {
	var out []attemptLine
	for i := range r.attempts {
		a := &r.attempts[i]
		ok := a.reply != nil && a.reply.Status == fanout.Succeeded
		if ok && (r.route.Gather != nil || slowOnly) && a.Cause == fanout.First && a.duration <= r.hedgeAfter {
			continue
		}
		line := attemptLine{Part: r.services[a.Part], Upstream: a.Upstream, Cause: a.Cause.String(), AtMS: millis(a.startedAt.Sub(r.request.Arrived)), Status: "running", LatencyFactor: roundToHundredths(a.latencyFactor), FailureRate: roundToHundredths(a.failureRate), InFlight: a.inFlight}
		if a.reply != nil {
			line.TookMS, line.Status, line.HTTP, line.Detail = millis(a.duration), a.reply.Status.String(), a.reply.HTTPStatus, a.reply.Detail
		}
		out = append(out, line)
	}
	return out
}

// missingParts maps the service of each part without an answer to the reason why the
// part has no answer.
func (r *requestRun) missingParts() map[string]string {
	out := make(map[string]string)
	for i := range r.replies {
		if r.replies[i] == nil {
			out[r.services[i]] = r.query.MissingReason(i).String()
			if r.isEvacuatedPart(i) {
				out[r.services[i]] = result.Evacuated.String()
			}
		}
	}
	return out
}

func (g *Gateway) requestFields(r *Request, route *routing.Route, a Answer, took time.Duration) event.Fields {
	fields := event.Fields{
		"request": r.ID,
		"code":    a.Code.String(),
		"ran":     a.Ran.String(),
		"took_ms": millis(took),
		"wait_ms": r.CallerTimeout.Milliseconds(),
	}
	if route != nil {
		fields["route"], fields["priority"] = route.Name, route.Priority
	} else {
		fields["host"], fields["target"] = r.Host, r.Target
	}
	if a.RetryAfter > 0 {
		fields["retry_after_ms"] = a.RetryAfter.Milliseconds()
	}
	return fields
}

// logRefusal counts and logs a request that was refused without an attempt.
func (g *Gateway) logRefusal(now time.Time, r *Request, route *routing.Route, a Answer) {
	took := now.Sub(r.Arrived)
	priority := ""
	if route != nil {
		priority = priorityName(route)
	}
	g.ports.Metrics.Refused(a.Code, priority)
	if !g.logLimit.allow(now, false) {
		g.ports.Metrics.LogLineSuppressed()
		return
	}
	fields := g.requestFields(r, route, a, took)
	if a.Code == result.Quarantined {
		fields["fingerprint"] = uint64(r.fingerprint())
	}
	event.Info(g.ports.Log, event.RequestFinished, fields, "a request was refused")
}

func priorityName(route *routing.Route) string {
	names := [...]string{"0", "1", "2", "3", "4", "5", "6", "7"}
	return names[min(max(route.Priority, 0), len(names)-1)]
}

// countAnswer updates the metrics of answers.
func (g *Gateway) countAnswer(route *routing.Route, a Answer, took time.Duration) {
	coverage := 0.0
	switch {
	case a.Merged != nil:
		n := len(a.Merged.Signatures)
		coverage = float64(n) / float64(n+a.Merged.MissingParts)
	case a.Code == result.OK:
		coverage = 1
	}
	g.ports.Metrics.Answered(a.Code, priorityName(route), took, coverage)
	if a.RetryAfter > 0 {
		g.ports.Metrics.Refused(a.Code, priorityName(route))
	}
}
