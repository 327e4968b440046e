package metrics

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	tally "github.com/uber-go/tally/v4"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

func callAll(m *Metrics) {
	m.Answered(result.PartialAnswer, "counter", 40*time.Millisecond, 0.5)
	m.Refused(result.Overloaded, "archive")
	m.Refused(result.UnknownPriority, "")
	m.GroupRefused(result.Overloaded, "counter")
	m.OrderFinished(result.OutcomeUnknown, model.RunUnknown)
	m.AttemptSent(HedgeAttempt)
	m.AttemptFinished(time.Millisecond)
	m.Retried(result.UpstreamShed)
	m.RetrySuppressed(SuppressBudget)
	m.Hedged(HedgeLatency)
	m.HedgeSuppressed(SuppressQueueNotEmpty)
	m.AnswerDropped(DropAttemptMismatch)
	m.InvariantViolated("one_snapshot")
	m.DocumentEvaluated(VerdictConflict)
	m.PlatformRead(false)
	m.StoreEraChanged()
	m.MembershipChanged(MemberDead)
	m.ControlMessage(Sent, 1200)
	m.UpstreamEjected(result.UpstreamLost)
	m.RequestQuarantined()
	m.CrashChecked("refused")
	m.QueryRestarted()
	m.PauseDetected()
	m.QueueDelay("counter", time.Millisecond)
	m.SetQueued(model.GroupKey{Service: "s", Index: 1}, "counter", 3)
	m.SetInFlight(model.GroupKey{Service: "s", Index: 1}, 4)
	m.SetRequests(5)
	m.SetMembers(MemberAlive, 9)
	m.SetOpenConnections(30)
	m.SetTickets(7)
	m.SetDocuments(8)
	m.SetReady(true)
}

// TestScrapeShowsEverySeries guards against metrics that never reach the scrape
// handler, for example because one name is used with two sets of tags.
func TestScrapeShowsEverySeries(t *testing.T) {
	m, handler, closer := NewPrometheus(func(err error) { t.Error(err) })
	callAll(m)
	must.NoError(t, closer.Close())
	rec := httptest.NewRecorder()
	handler.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	body := rec.Body.String()
	for _, line := range []string{
		`sardineturn_answers_total{code="partial_answer",priority="counter"} 1`,
		`sardineturn_refusals_total{code="overloaded",priority="archive"} 1`,
		`sardineturn_refusals_total{code="unknown_priority",priority="none"} 1`,
		`sardineturn_group_refusals_total{code="overloaded",priority="counter"} 1`,
		`sardineturn_orders_total{code="outcome_unknown",ran="unknown"} 1`,
		`sardineturn_upstream_attempts_total{kind="hedge"} 1`,
		`sardineturn_retries_total{reason="upstream_shed"} 1`,
		`sardineturn_retries_suppressed_total{reason="budget"} 1`,
		`sardineturn_hedges_total{reason="latency"} 1`,
		`sardineturn_hedges_suppressed_total{reason="queue_not_empty"} 1`,
		`sardineturn_dropped_answers_total{reason="attempt_mismatch"} 1`,
		`sardineturn_invariant_violations_total{invariant="one_snapshot"} 1`,
		`sardineturn_document_verdicts_total{verdict="conflict"} 1`,
		`sardineturn_platform_reads_total{result="failed"} 1`,
		`sardineturn_store_era_changes_total 1`,
		`sardineturn_membership_changes_total{state="dead"} 1`,
		`sardineturn_control_bytes_total{direction="sent"} 1200`,
		`sardineturn_queued_requests{group="s/1",priority="counter"} 3`,
		`sardineturn_upstream_attempts_in_flight{group="s/1"} 4`,
		`sardineturn_members{state="alive"} 9`,
		`sardineturn_upstream_connections_open 30`,
		`sardineturn_request_latency_seconds_bucket{priority="counter",le="0.035"} 0`,
		`sardineturn_request_latency_seconds_bucket{priority="counter",le="0.05"} 1`,
		`sardineturn_ready 1`,
	} {
		must.StrContains(t, body, line)
	}
}

// TestNilMetricsCountNothing guards against panics in code that runs without
// metrics.
func TestNilMetricsCountNothing(t *testing.T) { callAll(nil) }

// TestSeriesAreBounded guards against memory that grows with the tag values of
// requests, and against data races between the first uses of series.
func TestSeriesAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := New(scope)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 2 * maxSeries {
				m.Refused(result.Overloaded, fmt.Sprint("p", i))
			}
		})
	}
	wg.Wait()
	var total int64
	series := 0
	for _, c := range scope.Snapshot().Counters() {
		// The scope adds counters about itself, which are not of interest here.
		if c.Name() == nameRefusals {
			series++
			total += c.Value()
		}
	}
	must.Eq(t, 8*maxSeries, total)
	must.Eq(t, maxSeries+1, series)
}
