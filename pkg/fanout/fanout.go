// Package fanout decides how an instance serves one request: which attempts it
// sends to the upstreams of each part, when it hedges a slow attempt or retries
// a failed one, and when the request ends with a complete answer, with a partial
// answer, or without an answer because too few parts are answered in time. A request
// to one service has one part; a query over shards has one part for each shard.
// A Query does no I/O and reads no clock; it is not safe for concurrent use.
package fanout

import (
	"cmp"
	"slices"
	"time"
)

// Status is the outcome of one attempt.
type Status int

// Outcomes of an attempt.
const (
	// Succeeded: a complete successful answer arrived.
	Succeeded Status = iota
	// Failed: the upstream ran the request and answered with a failure.
	Failed
	// Declined: the upstream received the request and reported that it did not
	// run it.
	Declined
	// NotSent: this process sent no byte of the request.
	NotSent
	// Unknown: the request was sent, but no complete answer tells whether the
	// upstream ran it.
	Unknown
)

// Upstreams chooses the upstream of each attempt. The implementation keeps the
// load, latency and failures of each upstream.
type Upstreams interface {
	// Pick returns an upstream of the service that is not excluded. For the first
	// attempt of a part, it may return an upstream that failed recently if no
	// other is available; unresponsive is then true if the last attempts on that
	// upstream ended without an answer.
	Pick(service string, excluded []string, first bool) (upstream string, unresponsive, ok bool)
	// Forecast returns how long an attempt on the service will take at least, or zero if
	// nothing shows that its upstreams are slow or have queues.
	Forecast(service string) time.Duration
	// RateLimited reports whether the rate limits of all upstreams of the service forbid
	// a first attempt now.
	RateLimited(service string) bool
	// HedgeDelay is the time after which an attempt is unusually slow and is
	// hedged.
	HedgeDelay(service string) time.Duration
	// TakeExtraAttempt reserves an extra attempt (a hedge or a retry) in the retry
	// budget of the service and reports whether the budget allows it. A part of
	// the budget is reserved for attempts that cannot wait.
	TakeExtraAttempt(service string, canWait bool) bool
}

// Config describes a request.
type Config struct {
	// Services holds the service of each part.
	Services []string
	// MinParts is the smallest number of parts that makes an answer useful.
	MinParts int
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// MaxAttempts is the largest number of upstreams that may run the same part.
	MaxAttempts int
	// AnswerBy is the time at which the request is answered although parts are
	// missing, if it has at least MinParts. It is zero for a request without
	// partial answers.
	AnswerBy time.Time
	// HedgeBy is the latest time at which a hedge can be sent and still be
	// answered by AnswerBy. Hedges that are due earlier can wait, so they may use
	// only part of the retry budget. Zero means that no hedge can wait.
	HedgeBy time.Time
	// Deadline is the time at which the request ends without an answer.
	Deadline time.Time
	// OnePartFirst is true if the request may crash the upstreams that run it. One attempt
	// of one part then runs alone, and the others start once an upstream has answered it.
	OnePartFirst bool
	// ShedSlowParts makes the query spare overloaded upstreams: it leaves out parts whose
	// forecast exceeds AnswerBy, the slowest first and up to half of those that may be
	// missing, sends no hedges that would be answered after AnswerBy, and starts nothing if
	// MinParts cannot be reached.
	ShedSlowParts bool
	// FirstService is the service of the part that runs alone, if it has a usable upstream.
	FirstService string
	// Withheld holds the services whose parts do not run, because the request may crash
	// their upstreams.
	Withheld []string
}

// maxDeclined is the number of declined attempts after which a part gets no
// further attempt.
const maxDeclined = 4

// MaxPartAttempts returns the largest number of attempts that one part can have
// in total.
func MaxPartAttempts(maxAttempts int) int { return max(1, maxAttempts) + maxDeclined + maxNotSent }

// maxNotSent is the number of attempts that ended with NotSent after which a part
// gets no further attempt.
const maxNotSent = 4

const (
	// medianHedgeFactor sets when the missing parts of a query count as unusually
	// slow and are hedged: at this multiple of the time within which half of the
	// parts were answered. Relating it to the answered parts adapts it to an
	// instance that is slow itself, on which all attempts take long.
	medianHedgeFactor = 1.7
	// minMedianHedgeGap is the shortest time between the answer that completes
	// the first half of the parts and the hedges that are advanced because of it.
	minMedianHedgeGap = 3 * time.Millisecond
)

// hedgeRetryDelay is the wait before a due hedge is tried again if the retry
// budget did not allow it or no upstream was available for it.
const hedgeRetryDelay = 10 * time.Millisecond

// Cause is the reason why an attempt is sent.
type Cause int

// Causes of an attempt.
const (
	First Cause = iota
	Hedge
	Retry
)

// Start instructs the driver of the request to send an attempt. The driver
// passes the attempt's number to AttemptFinished when the attempt ends.
type Start struct {
	Attempt  int
	Part     int
	Upstream string
	Cause    Cause
}

// Verdict is the result of a request as a whole.
type Verdict int

// Results of a request.
const (
	// Pending: the request has no result yet.
	Pending Verdict = iota
	// Complete: all parts are answered.
	Complete
	// Partial: at least MinParts parts are answered, and the request does not wait
	// for the others.
	Partial
	// TooFew: the number of parts that are answered or can still be answered is
	// below MinParts.
	TooFew
	// Expired: the deadline passed before the request had another result.
	Expired
)

// MissingReason is the reason why a part has no answer.
type MissingReason int

// Reasons for a missing part.
const (
	// NotMissing: the part is answered.
	NotMissing MissingReason = iota
	// InProgress: an attempt was still running when the request ended.
	InProgress
	// NoUpstream: the service had no listed or usable upstream left to try.
	NoUpstream
	// RateLimited: the rate limits of the service's upstreams allowed no first attempt.
	RateLimited
	// AttemptsUsed: MaxAttempts upstreams ran the part or may run it, or too many
	// attempts were declined or not sent.
	AttemptsUsed
	// BudgetUsed: the retry budget of the service did not allow another attempt.
	BudgetUsed
	// NotRepeatable: an upstream may have run the request, which is not
	// idempotent and therefore must not be sent again.
	NotRepeatable
	// FirstPartUnanswered: the part that ran alone ended without an answer, so that the
	// others did not start.
	FirstPartUnanswered
	// Withheld: the part may crash its upstreams.
	Withheld
	// TooSlow: no upstream of the service was expected to answer in time.
	TooSlow
)

type attempt struct {
	part     int
	upstream string
	running  bool
	status   Status
}

type part struct {
	service string
	// tried lists the upstreams of the part's attempts so far.
	tried []string
	// running counts the attempts in flight. ran counts the attempts that ended
	// without success and ran or may have run (Failed and Unknown), and declined
	// and notSent count those that ended with these statuses.
	running, ran, declined, notSent int
	answered                        bool
	// abandoned is true once the part can get no answer, because of reason.
	abandoned bool
	// unresponsive is true while the part's only attempt is on an upstream that
	// has not answered the last attempts. A request with answers to enough other
	// parts does not wait for such a part.
	unresponsive bool
	reason       MissingReason
	// hedgeAt is the time at which the running attempt is hedged.
	hedgeAt time.Time
}

// Query is the state of one request.
type Query struct {
	cfg       Config
	upstreams Upstreams
	parts     []part
	attempts  []attempt
	// answered, abandoned and unresponsive count the parts in these states.
	answered     int
	abandoned    int
	unresponsive int
	verdict      Verdict
	startedAt    time.Time
	// alone is true until an upstream has answered, if the configuration says
	// OnePartFirst.
	alone bool
}

// New returns a request that has not sent its first attempts yet.
func New(cfg Config, u Upstreams) *Query {
	n := len(cfg.Services)
	// Capacity for one first attempt of each part, and a quarter more for the
	// usual number of hedges.
	q := &Query{cfg: cfg, upstreams: u, parts: make([]part, n), attempts: make([]attempt, 0, n*5/4+1)}
	tried := make([]string, n)
	for i, s := range cfg.Services {
		q.parts[i].service = s
		q.parts[i].tried = tried[i : i : i+1]
	}
	return q
}

// Begin returns the first attempt of each part and the verdict so far. If rate limits
// or withheld parts leave too few parts, it starts no attempt at all, so that the request
// certainly did not run. If failures do, it starts those that it can, because they may
// show that an upstream works again, unless the configuration says ShedSlowParts: a part
// without a usable upstream then has an attempt of another request in flight, which shows
// that as well.
func (q *Query) Begin(now time.Time) ([]Start, Verdict) {
	q.startedAt = now
	q.alone = q.cfg.OnePartFirst
	for i := range q.parts {
		if p := &q.parts[i]; slices.Contains(q.cfg.Withheld, p.service) {
			q.abandon(p, Withheld)
		}
	}
	var out []Start
	if q.alone {
		out = q.startOnePart(now, nil)
	} else {
		out = q.startAllParts(now, make([]Start, 0, len(q.parts)))
	}
	v := q.updateVerdict(now)
	limited := slices.ContainsFunc(q.parts, func(p part) bool { return p.reason == RateLimited || p.reason == Withheld })
	if v != TooFew || !limited && !q.cfg.ShedSlowParts {
		return out, v
	}
	for i := range q.attempts {
		q.attempts[i].running, q.attempts[i].status = false, NotSent
	}
	return nil, TooFew
}

// TooSlow reports whether an attempt with the given forecast that starts now would be
// answered after AnswerBy. A service without a forecast is not known to be slow, also after
// AnswerBy.
func (c *Config) TooSlow(now time.Time, forecast time.Duration) bool {
	return forecast > 0 && forecast > c.AnswerBy.Sub(now)
}

// startAllParts sends the first attempt of each part that has none yet. With ShedSlowParts,
// it leaves out slow parts that the query does not need. It decides on them last, because
// the query needs more of them if other parts have no usable upstream.
func (q *Query) startAllParts(now time.Time, out []Start) []Start {
	type slowPart struct {
		part     int
		forecast time.Duration
	}
	var slow []slowPart
	for i := range q.parts {
		p := &q.parts[i]
		if len(p.tried) > 0 || p.abandoned {
			continue
		}
		if f, late := q.forecastTooLate(now, p); late {
			slow = append(slow, slowPart{i, f})
			continue
		}
		out = q.startFirstAttempt(now, i, out)
	}
	slices.SortStableFunc(slow, func(a, b slowPart) int { return cmp.Compare(a.forecast, b.forecast) })
	for i, s := range slow {
		// The rest of the parts that may be missing makes up for upstreams that pause
		// while the query runs.
		if spare := len(q.parts) - q.abandoned - q.cfg.MinParts; len(slow)-i <= spare/2 {
			for _, skipped := range slow[i:] {
				q.abandon(&q.parts[skipped.part], TooSlow)
			}
			break
		}
		out = q.startFirstAttempt(now, s.part, out)
	}
	return out
}

// forecastTooLate reports whether the configuration says ShedSlowParts and an attempt of the
// part that starts now is expected to be answered after AnswerBy, and returns the forecast.
func (q *Query) forecastTooLate(now time.Time, p *part) (time.Duration, bool) {
	if !q.cfg.ShedSlowParts {
		return 0, false
	}
	f := q.upstreams.Forecast(p.service)
	return f, q.cfg.TooSlow(now, f)
}

// startOnePart sends the first attempt of one part that has an upstream which answers: that
// of FirstService, or else the first one. An upstream that has not answered lately may be
// gone, so that the attempt would show nothing. It abandons all parts if there is no other.
func (q *Query) startOnePart(now time.Time, out []Start) []Start {
	for _, preferred := range []bool{true, false} {
		for i := range q.parts {
			p := &q.parts[i]
			if len(p.tried) > 0 || p.abandoned || preferred && p.service != q.cfg.FirstService {
				continue
			}
			if u, unresponsive, ok := q.upstreams.Pick(p.service, nil, true); ok && !unresponsive {
				return append(out, q.startAttempt(now, i, u, First))
			}
		}
	}
	q.abandonAll(NoUpstream)
	return out
}

// abandonAll abandons all parts that are not abandoned yet.
func (q *Query) abandonAll(reason MissingReason) {
	for i := range q.parts {
		if !q.parts[i].abandoned {
			q.abandon(&q.parts[i], reason)
		}
	}
}

func (q *Query) startFirstAttempt(now time.Time, i int, out []Start) []Start {
	p := &q.parts[i]
	u, unresponsive, ok := q.upstreams.Pick(p.service, nil, true)
	if !ok {
		reason := NoUpstream
		if q.upstreams.RateLimited(p.service) {
			reason = RateLimited
		}
		q.abandon(p, reason)
		return out
	}
	p.unresponsive = unresponsive
	if unresponsive {
		q.unresponsive++
	}
	return append(out, q.startAttempt(now, i, u, First))
}

func (q *Query) startAttempt(now time.Time, i int, upstream string, c Cause) Start {
	p := &q.parts[i]
	p.tried = append(p.tried, upstream)
	p.running++
	p.hedgeAt = now.Add(q.upstreams.HedgeDelay(p.service))
	if c != First {
		q.clearUnresponsive(p)
	}
	q.attempts = append(q.attempts, attempt{part: i, upstream: upstream, running: true})
	return Start{Attempt: len(q.attempts) - 1, Part: i, Upstream: upstream, Cause: c}
}

func (q *Query) abandon(p *part, reason MissingReason) {
	p.abandoned, p.reason = true, reason
	q.abandoned++
	q.clearUnresponsive(p)
}

func (q *Query) clearUnresponsive(p *part) {
	if p.unresponsive {
		p.unresponsive = false
		q.unresponsive--
	}
}

// AttemptFinished records the end of the attempt with the given number. It
// returns the retries and hedges to send as a result, and the verdict.
func (q *Query) AttemptFinished(now time.Time, number int, s Status) ([]Start, Verdict) {
	a := &q.attempts[number]
	if !a.running {
		return nil, q.verdict
	}
	a.running, a.status = false, s
	p := &q.parts[a.part]
	p.running--
	switch s {
	case Succeeded:
		if !p.answered {
			p.answered = true
			q.answered++
			q.clearUnresponsive(p)
			q.advanceHedges(now)
		}
	case Failed, Unknown:
		p.ran++
	case Declined:
		p.declined++
	case NotSent:
		p.notSent++
	}
	if q.alone {
		return q.firstPartFinished(now, a.part, s)
	}
	if q.verdict != Pending || p.answered {
		return nil, q.updateVerdict(now)
	}
	out := q.retry(now, a.part, s, nil)
	return out, q.updateVerdict(now)
}

// firstPartFinished handles the end of an attempt that ran alone. An upstream that
// answered, even with a failure, has not crashed: the other parts start. If it is not
// known what became of the attempt, the request ends.
func (q *Query) firstPartFinished(now time.Time, i int, s Status) ([]Start, Verdict) {
	if q.verdict != Pending {
		return nil, q.verdict
	}
	p := &q.parts[i]
	var out []Start
	switch s {
	case Succeeded, Failed:
		q.alone, q.startedAt = false, now
		if s == Failed {
			out = q.retry(now, i, s, out)
		}
		out = q.startAllParts(now, out)
	case Unknown:
		q.abandonAll(FirstPartUnanswered)
	default:
		if out = q.retry(now, i, s, out); p.abandoned && q.updateVerdict(now) == Pending {
			out = q.startOnePart(now, out)
		}
	}
	return out, q.updateVerdict(now)
}

// Alone reports whether only one part may run until an upstream has answered.
func (q *Query) Alone() bool { return q.alone }

// advanceHedges makes the hedges of the missing parts due earlier once half of
// the parts are answered. It derives the time at which the other parts count as
// slow from the time that this half took.
func (q *Query) advanceHedges(now time.Time) {
	if len(q.parts) < 2 || q.answered != (len(q.parts)+1)/2 {
		return
	}
	medianTime := now.Sub(q.startedAt)
	newHedgeAt := q.startedAt.Add(max(medianTime+minMedianHedgeGap, time.Duration(medianHedgeFactor*float64(medianTime))))
	for i := range q.parts {
		p := &q.parts[i]
		p.hedgeAt = earlier(p.hedgeAt, newHedgeAt)
	}
}

// retry sends another attempt of the i-th part after an attempt that ended with
// status s without an answer. If no other attempt is possible, it abandons the
// part.
func (q *Query) retry(now time.Time, i int, s Status, out []Start) []Start {
	p := &q.parts[i]
	if p.running > 0 {
		// The part has another attempt in flight, so one of the two was a hedge:
		// the part is slow already, and its next hedge is due at once.
		p.hedgeAt = now
		return q.hedgeIfDue(now, i, out)
	}
	if reason := q.attemptRefusal(p); reason != NotMissing {
		q.abandon(p, reason)
		return out
	}
	u, _, ok := q.upstreams.Pick(p.service, p.tried, false)
	if !ok {
		q.abandon(p, NoUpstream)
		return out
	}
	// A retry after an attempt that sent nothing is not charged to the budget.
	if s != NotSent && !q.upstreams.TakeExtraAttempt(p.service, false) {
		q.abandon(p, BudgetUsed)
		return out
	}
	return append(out, q.startAttempt(now, i, u, Retry))
}

// attemptRefusal returns the reason why the part may have no further attempt, or
// NotMissing if it may.
func (q *Query) attemptRefusal(p *part) MissingReason {
	switch {
	case p.ran > 0 && !q.cfg.Idempotent:
		return NotRepeatable
	case p.ran+p.running >= q.cfg.MaxAttempts || p.declined >= maxDeclined || p.notSent >= maxNotSent:
		return AttemptsUsed
	default:
		return NotMissing
	}
}

// Tick returns the hedges that are due. It ends the request if its time for a
// partial answer or its deadline has come.
func (q *Query) Tick(now time.Time) ([]Start, Verdict) {
	if q.verdict != Pending {
		return nil, q.verdict
	}
	var out []Start
	for i := range q.parts {
		out = q.hedgeIfDue(now, i, out)
	}
	return out, q.updateVerdict(now)
}

func (q *Query) mayHedge(p *part) bool {
	return q.cfg.Idempotent && !q.alone && !p.answered && p.running == 1 && q.attemptRefusal(p) == NotMissing
}

func (q *Query) hedgeIfDue(now time.Time, i int, out []Start) []Start {
	p := &q.parts[i]
	if !q.mayHedge(p) || now.Before(p.hedgeAt) {
		return out
	}
	u, _, ok := q.upstreams.Pick(p.service, p.tried, false)
	canWait := now.Before(q.cfg.HedgeBy)
	if _, late := q.forecastTooLate(now, p); late {
		// Another attempt would not be answered in time either.
		ok = false
	}
	if !ok || !q.upstreams.TakeExtraAttempt(p.service, canWait) {
		p.hedgeAt = now.Add(hedgeRetryDelay)
		if canWait {
			// From HedgeBy on, the hedge may use the whole budget. A hedge that is sent
			// later than that may not be answered in time.
			p.hedgeAt = earlier(p.hedgeAt, q.cfg.HedgeBy)
		}
		return out
	}
	return append(out, q.startAttempt(now, i, u, Hedge))
}

// updateVerdict ends the request if its result is certain or its time is over,
// and returns the verdict.
func (q *Query) updateVerdict(now time.Time) Verdict {
	if q.verdict != Pending {
		return q.verdict
	}
	total := len(q.parts)
	undecided := total - q.answered - q.abandoned
	enough := q.answered >= q.cfg.MinParts
	switch {
	case q.answered == total:
		q.verdict = Complete
	case q.answered+undecided < q.cfg.MinParts:
		q.verdict = TooFew
	case enough && undecided == q.unresponsive:
		q.verdict = Partial
	case enough && !q.cfg.AnswerBy.IsZero() && !now.Before(q.cfg.AnswerBy):
		q.verdict = Partial
	case !now.Before(q.cfg.Deadline):
		q.verdict = Expired
	}
	return q.verdict
}

// NextWake returns the time at which Tick must be called next unless an attempt
// ends earlier.
func (q *Query) NextWake() time.Time {
	wake := q.cfg.Deadline
	if !q.cfg.AnswerBy.IsZero() && q.answered >= q.cfg.MinParts {
		wake = earlier(wake, q.cfg.AnswerBy)
	}
	for i := range q.parts {
		if p := &q.parts[i]; q.mayHedge(p) {
			wake = earlier(wake, p.hedgeAt)
		}
	}
	return wake
}

// NotRun reports whether it is certain that no upstream ran or is running the
// request.
func (q *Query) NotRun() bool {
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool {
		return a.running || a.status == Succeeded || a.status == Failed || a.status == Unknown
	})
}

// MissingReason returns the reason why the i-th part has no answer.
func (q *Query) MissingReason(i int) MissingReason {
	p := &q.parts[i]
	switch {
	case p.answered:
		return NotMissing
	case p.abandoned:
		return p.reason
	default:
		return InProgress
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
