// Package metrics records what an instance does in counters, gauges and
// histograms. All methods are safe for concurrent use, and a nil *Metrics
// records nothing.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	tally "github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// reportInterval is how often tally passes values to the scrape handler.
// Scrapes are usually 10 s apart or more.
const reportInterval = time.Second

// AttemptKind says why an attempt was sent to an upstream.
type AttemptKind string

// Kinds of attempts.
const (
	FirstAttempt AttemptKind = "first"
	RetryAttempt AttemptKind = "retry"
	HedgeAttempt AttemptKind = "hedge"
	ProbeAttempt AttemptKind = "probe"
)

// HedgeReason says why a hedge was sent.
type HedgeReason string

// Reasons for hedges.
const (
	// HedgeLatency means that the attempt ran longer than the hedge delay, which
	// the scheduler derives from the operation's 95th percentile and the gateway
	// from the latency of the service or of the query's other parts.
	HedgeLatency HedgeReason = "latency"
)

// SuppressReason says why a retry or a hedge that was due was not sent.
type SuppressReason string

// Reasons against retries and hedges.
const (
	SuppressBudget        SuppressReason = "budget"
	SuppressShedding      SuppressReason = "shedding"
	SuppressQueueNotEmpty SuppressReason = "queue_not_empty"
)

// DropReason says why an answer was dropped.
type DropReason string

// Reasons to drop an answer.
const (
	DropAttemptMismatch DropReason = "attempt_mismatch"
	DropLate            DropReason = "late"
	DropInvalidStatus   DropReason = "invalid_status"
)

// WithdrawReason says why an attempt was not sent after its upstream had been chosen.
type WithdrawReason string

// Reasons to withdraw an attempt.
const (
	// WithdrawnEvacuated: the upstream's data centre was evacuated meanwhile.
	WithdrawnEvacuated WithdrawReason = "evacuated"
	// WithdrawnCold: the upstream is cold, and its limit did not allow the request.
	WithdrawnCold WithdrawReason = "cold"
)

// Verdict is the decision about a received document.
type Verdict string

// Verdicts about documents.
const (
	VerdictAdopted   Verdict = "adopted"
	VerdictInvalid   Verdict = "invalid"
	VerdictOlder     Verdict = "older"
	VerdictUnchanged Verdict = "unchanged"
	VerdictConflict  Verdict = "conflict"
)

// MemberState is a member's state in the local view.
type MemberState string

// States of members.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// Direction is the direction of a control message.
type Direction string

// Directions of control messages.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Metrics holds the counters, gauges and histograms of one process.
type Metrics struct {
	answers             *family[tally.Counter]
	refusals            *family[tally.Counter]
	groupRefusals       *family[tally.Counter]
	orders              *family[tally.Counter]
	attempts            *family[tally.Counter]
	retries             *family[tally.Counter]
	retriesSuppressed   *family[tally.Counter]
	hedges              *family[tally.Counter]
	hedgesSuppressed    *family[tally.Counter]
	delegations         *family[tally.Counter]
	admissionChanges    *family[tally.Counter]
	droppedAnswers      *family[tally.Counter]
	invariantViolations *family[tally.Counter]
	documentVerdicts    *family[tally.Counter]
	platformReads       *family[tally.Counter]
	settingsReloads     *family[tally.Counter]
	storeEraChanges     tally.Counter
	membershipChanges   *family[tally.Counter]
	controlMessages     *family[tally.Counter]
	controlBytes        *family[tally.Counter]
	ejections           *family[tally.Counter]
	quarantines         tally.Counter
	crashChecks         *family[tally.Counter]
	restarts            tally.Counter
	pauses              tally.Counter
	upstreamByteWaits   tally.Counter
	suppressedLines     tally.Counter
	withdrawnAttempts   *family[tally.Counter]

	queued          *family[tally.Gauge]
	inFlight        *family[tally.Gauge]
	members         *family[tally.Gauge]
	requests        tally.Gauge
	openConnections tally.Gauge
	tickets         tally.Gauge
	documents       tally.Gauge
	ready           tally.Gauge
	evacuated       tally.Gauge
	bodyMemory      *family[tally.Gauge]
	coldUpstreams   tally.Gauge

	requestLatency *family[tally.Histogram]
	queueDelay     *family[tally.Histogram]
	coverage       *family[tally.Histogram]
	attemptLatency tally.Histogram
}

// latencyBuckets resolve the services' latency targets, which are 60 ms to 2 s,
// and the upstream latencies of a few milliseconds below them.
var latencyBuckets = tally.DurationBuckets{
	1 * time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 35 * time.Millisecond, 50 * time.Millisecond, 75 * time.Millisecond,
	100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 250 * time.Millisecond,
	300 * time.Millisecond, 340 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond,
	750 * time.Millisecond, 1 * time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

var coverageBuckets = tally.ValueBuckets{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1}

// New returns metrics that are reported to the given scope.
func New(scope tally.Scope) *Metrics {
	latency := func(s tally.Scope, name string) tally.Histogram { return s.Histogram(name, latencyBuckets) }
	ratio := func(s tally.Scope, name string) tally.Histogram { return s.Histogram(name, coverageBuckets) }
	counters := func(name string, tags ...string) *family[tally.Counter] {
		return newFamily(scope, name, tally.Scope.Counter, tags...)
	}
	gauges := func(name string, tags ...string) *family[tally.Gauge] {
		return newFamily(scope, name, tally.Scope.Gauge, tags...)
	}
	return &Metrics{
		answers:             counters(nameAnswers, tagCode, tagPriority),
		refusals:            counters(nameRefusals, tagCode, tagPriority),
		groupRefusals:       counters(nameGroupRefusals, tagCode, tagPriority),
		orders:              counters(nameOrders, tagCode, tagRan),
		attempts:            counters(nameAttempts, tagKind),
		retries:             counters(nameRetries, tagReason),
		retriesSuppressed:   counters(nameRetriesSuppressed, tagReason),
		hedges:              counters(nameHedges, tagReason),
		hedgesSuppressed:    counters(nameHedgesSuppressed, tagReason),
		delegations:         counters(nameDelegations, tagResult),
		admissionChanges:    counters(nameAdmissionChanges, tagResult),
		droppedAnswers:      counters(nameDroppedAnswers, tagReason),
		invariantViolations: counters(nameInvariantViolations, tagInvariant),
		documentVerdicts:    counters(nameDocumentVerdicts, tagVerdict),
		platformReads:       counters(namePlatformReads, tagResult),
		settingsReloads:     counters(nameSettingsReloads, tagResult),
		storeEraChanges:     scope.Counter(nameStoreEraChanges),
		membershipChanges:   counters(nameMembershipChanges, tagState),
		controlMessages:     counters(nameControlMessages, tagDirection),
		controlBytes:        counters(nameControlBytes, tagDirection),
		ejections:           counters(nameEjections, tagReason),
		quarantines:         scope.Counter(nameQuarantines),
		crashChecks:         counters(nameCrashChecks, tagResult),
		restarts:            scope.Counter(nameRestarts),
		pauses:              scope.Counter(namePauses),
		upstreamByteWaits:   scope.Counter(nameUpstreamByteWaits),
		suppressedLines:     scope.Counter(nameSuppressedLines),
		withdrawnAttempts:   counters(nameWithdrawnAttempts, tagReason),
		queued:              gauges(nameQueued, tagGroup, tagPriority),
		inFlight:            gauges(nameInFlight, tagGroup),
		members:             gauges(nameMembers, tagState),
		requests:            scope.Gauge(nameRequests),
		openConnections:     scope.Gauge(nameOpenConnections),
		tickets:             scope.Gauge(nameTickets),
		documents:           scope.Gauge(nameDocuments),
		ready:               scope.Gauge(nameReady),
		evacuated:           scope.Gauge(nameEvacuated),
		bodyMemory:          gauges(nameBodyMemory, tagPriority),
		coldUpstreams:       scope.Gauge(nameColdUpstreams),
		requestLatency:      newFamily(scope, nameRequestLatency, latency, tagPriority),
		queueDelay:          newFamily(scope, nameQueueDelay, latency, tagPriority),
		coverage:            newFamily(scope, nameCoverage, ratio, tagPriority),
		attemptLatency:      latency(scope, nameAttemptLatency),
	}
}

// NewPrometheus returns metrics for Prometheus, their scrape handler, and a
// closer that stops the reporting. A metric that cannot be registered is not
// exported, and onError gets the error.
func NewPrometheus(onError func(error)) (*Metrics, http.Handler, io.Closer) {
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      prometheus.NewRegistry(),
		OnRegisterError: onError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Separator:              tallyprom.DefaultSeparator,
		CachedReporter:         reporter,
		SanitizeOptions:        nil,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return New(scope), reporter.HTTPHandler(), closer
}

// Answered counts an answer to a caller, its latency and its coverage.
func (m *Metrics) Answered(code result.Code, priority string, latency time.Duration, coverage float64) {
	if m == nil {
		return
	}
	m.answers.seriesFor(code.String(), priority).Inc(1)
	m.requestLatency.seriesFor(priority).RecordDuration(latency)
	m.coverage.seriesFor(priority).RecordValue(coverage)
}

// Refused counts a caller's query that was refused before it ran. The priority
// is a name from a document, or empty if the request named none that exists.
func (m *Metrics) Refused(code result.Code, priority string) {
	if m != nil {
		m.refusals.seriesFor(code.String(), priority).Inc(1)
	}
}

// GroupRefused counts a group request that an entry or an order owner sent and
// that the group's home refused. Another home may serve it afterwards.
func (m *Metrics) GroupRefused(code result.Code, priority string) {
	if m != nil {
		m.groupRefusals.seriesFor(code.String(), priority).Inc(1)
	}
}

// OrderFinished counts an answer to an order.
func (m *Metrics) OrderFinished(code result.Code, ran model.RunState) {
	if m != nil {
		m.orders.seriesFor(code.String(), ran.String()).Inc(1)
	}
}

// AttemptSent counts an attempt that was sent to an upstream.
func (m *Metrics) AttemptSent(kind AttemptKind) {
	if m != nil {
		m.attempts.seriesFor(string(kind)).Inc(1)
	}
}

// AttemptFinished records the latency of an attempt.
func (m *Metrics) AttemptFinished(latency time.Duration) {
	if m != nil {
		m.attemptLatency.RecordDuration(latency)
	}
}

// Retried counts a retry by the code of the attempt that failed.
func (m *Metrics) Retried(reason result.Code) {
	if m != nil {
		m.retries.seriesFor(reason.String()).Inc(1)
	}
}

// RetrySuppressed counts a failed attempt that was not retried.
func (m *Metrics) RetrySuppressed(reason SuppressReason) {
	if m != nil {
		m.retriesSuppressed.seriesFor(string(reason)).Inc(1)
	}
}

// Hedged counts a hedge.
func (m *Metrics) Hedged(reason HedgeReason) {
	if m != nil {
		m.hedges.seriesFor(string(reason)).Inc(1)
	}
}

// QueryDelegated counts a query that another instance was asked to run.
func (m *Metrics) QueryDelegated(outcome string) {
	if m != nil {
		m.delegations.seriesFor(outcome).Inc(1)
	}
}

// AdmissionChanged counts a change of what the limit of a route aims at.
func (m *Metrics) AdmissionChanged(goal string) {
	if m != nil {
		m.admissionChanges.seriesFor(goal).Inc(1)
	}
}

// HedgeSuppressed counts a hedge that was due and not sent.
func (m *Metrics) HedgeSuppressed(reason SuppressReason) {
	if m != nil {
		m.hedgesSuppressed.seriesFor(string(reason)).Inc(1)
	}
}

// AnswerDropped counts an upstream's or peer's answer that was not used.
func (m *Metrics) AnswerDropped(reason DropReason) {
	if m != nil {
		m.droppedAnswers.seriesFor(string(reason)).Inc(1)
	}
}

// InvariantViolated counts a violated invariant. The name must be a constant of
// the program.
func (m *Metrics) InvariantViolated(name string) {
	if m != nil {
		m.invariantViolations.seriesFor(name).Inc(1)
	}
}

// DocumentEvaluated counts the decision about a received document.
func (m *Metrics) DocumentEvaluated(v Verdict) {
	if m != nil {
		m.documentVerdicts.seriesFor(string(v)).Inc(1)
	}
}

// SettingsReloaded counts a change of the settings file, and whether the settings were put
// into force.
func (m *Metrics) SettingsReloaded(ok bool) {
	if m == nil {
		return
	}
	outcome := "ok"
	if !ok {
		outcome = "failed"
	}
	m.settingsReloads.seriesFor(outcome).Inc(1)
}

// PlatformRead counts a call to the platform. The platform itself counts the
// calls that it receives as well.
func (m *Metrics) PlatformRead(ok bool) {
	if m == nil {
		return
	}
	outcome := "ok"
	if !ok {
		outcome = "failed"
	}
	m.platformReads.seriesFor(outcome).Inc(1)
}

// StoreEraChanged counts a change of the platform's era: its store returned from a backup.
func (m *Metrics) StoreEraChanged() {
	if m != nil {
		m.storeEraChanges.Inc(1)
	}
}

// MembershipChanged counts a member's transition to the given state.
func (m *Metrics) MembershipChanged(to MemberState) {
	if m != nil {
		m.membershipChanges.seriesFor(string(to)).Inc(1)
	}
}

// ControlMessage counts a control message and its size.
func (m *Metrics) ControlMessage(d Direction, bytes int) {
	if m == nil {
		return
	}
	m.controlMessages.seriesFor(string(d)).Inc(1)
	m.controlBytes.seriesFor(string(d)).Inc(int64(bytes))
}

// UpstreamEjected counts an upstream that stopped getting work, by the result
// code of the failure that caused it.
func (m *Metrics) UpstreamEjected(reason result.Code) {
	if m != nil {
		m.ejections.seriesFor(reason.String()).Inc(1)
	}
}

// RequestQuarantined counts a request fingerprint that this instance put into
// quarantine.
func (m *Metrics) RequestQuarantined() {
	if m != nil {
		m.quarantines.Inc(1)
	}
}

// CrashChecked counts a check of whether an upstream crashed while it ran a request. The
// result must be a constant of the program.
func (m *Metrics) CrashChecked(result string) {
	if m != nil {
		m.crashChecks.seriesFor(result).Inc(1)
	}
}

// QueryRestarted counts a query that was restarted on a newer snapshot.
func (m *Metrics) QueryRestarted() {
	if m != nil {
		m.restarts.Inc(1)
	}
}

// PauseDetected counts a pause of the whole process.
func (m *Metrics) PauseDetected() {
	if m != nil {
		m.pauses.Inc(1)
	}
}

// LogLineSuppressed counts a log line about a request that was not written
// because it exceeded the rate limit.
func (m *Metrics) LogLineSuppressed() {
	if m != nil {
		m.suppressedLines.Inc(1)
	}
}

// AttemptWithdrawn counts an attempt that was not sent although its upstream had been
// chosen.
func (m *Metrics) AttemptWithdrawn(reason WithdrawReason) {
	if m != nil {
		m.withdrawnAttempts.seriesFor(string(reason)).Inc(1)
	}
}

// SetColdUpstreams sets the number of upstreams whose limit for cold upstreams applies.
func (m *Metrics) SetColdUpstreams(n int) {
	if m != nil {
		m.coldUpstreams.Update(float64(n))
	}
}

// SetEvacuated sets the number of evacuated data centres.
func (m *Metrics) SetEvacuated(n int) {
	if m != nil {
		m.evacuated.Update(float64(n))
	}
}

// WaitedForUpstreamBytes counts an attempt that waited because too many bytes of requests
// were in flight to its upstream.
func (m *Metrics) WaitedForUpstreamBytes() {
	if m != nil {
		m.upstreamByteWaits.Inc(1)
	}
}

// SetBodyMemory sets the memory that is reserved for the bodies of requests.
func (m *Metrics) SetBodyMemory(priority string, bytes int64) {
	if m != nil {
		m.bodyMemory.seriesFor(priority).Update(float64(bytes))
	}
}

// QueueDelay records the time that a request waited in a queue.
func (m *Metrics) QueueDelay(priority string, d time.Duration) {
	if m != nil {
		m.queueDelay.seriesFor(priority).RecordDuration(d)
	}
}

// SetQueued sets the number of requests that wait in a group's queue.
func (m *Metrics) SetQueued(group model.GroupKey, priority string, n int) {
	if m != nil {
		m.queued.seriesFor(group.String(), priority).Update(float64(n))
	}
}

// SetInFlight sets the number of attempts in flight in a group.
func (m *Metrics) SetInFlight(group model.GroupKey, n int) {
	if m != nil {
		m.inFlight.seriesFor(group.String()).Update(float64(n))
	}
}

// SetRequests sets the number of requests from callers that are in progress.
func (m *Metrics) SetRequests(n int) {
	if m != nil {
		m.requests.Update(float64(n))
	}
}

// SetMembers sets the number of members in a state.
func (m *Metrics) SetMembers(s MemberState, n int) {
	if m != nil {
		m.members.seriesFor(string(s)).Update(float64(n))
	}
}

// SetOpenConnections sets the number of open connections to upstreams.
func (m *Metrics) SetOpenConnections(n int) {
	if m != nil {
		m.openConnections.Update(float64(n))
	}
}

// SetTickets sets the number of order tickets that this instance holds.
func (m *Metrics) SetTickets(n int) {
	if m != nil {
		m.tickets.Update(float64(n))
	}
}

// SetDocuments sets the number of documents in force.
func (m *Metrics) SetDocuments(n int) {
	if m != nil {
		m.documents.Update(float64(n))
	}
}

// SetReady sets whether the instance is ready.
func (m *Metrics) SetReady(ready bool) {
	if m == nil {
		return
	}
	value := 0.0
	if ready {
		value = 1
	}
	m.ready.Update(value)
}
