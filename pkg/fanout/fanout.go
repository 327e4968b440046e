// Package fanout decides how one request is served: which attempts are sent to
// the upstreams of its parts, when a slow attempt is hedged and a failed one
// retried, and when the answer is complete, good enough or out of reach. A
// request to one service has one part, a query over shards one for each.
// A Query is pure and not safe for concurrent use.
package fanout

import (
	"slices"
	"time"
)

// Status is the outcome of an attempt.
type Status int

// Outcomes of an attempt.
const (
	// Succeeded: a complete successful answer arrived.
	Succeeded Status = iota
	// Failed: the upstream ran the request and answered with a failure.
	Failed
	// Declined: the upstream received the request and did not run it.
	Declined
	// NotSent: no byte of the request left this process.
	NotSent
	// Unknown: the request was sent, and it is not known whether it ran.
	Unknown
)

// Upstreams chooses upstreams; the implementation keeps what it knows of them.
type Upstreams interface {
	// Pick returns an upstream of the service that is not excluded. A first
	// attempt may go to one that failed lately when there is no other; doubtful
	// is then true if it has not answered the last attempts.
	Pick(service string, excluded []string, first bool) (upstream string, doubtful, ok bool)
	// HedgeDelay is the time after which an attempt is unusually slow.
	HedgeDelay(service string) time.Duration
	// TakeExtraAttempt reserves an extra attempt in the budget of the service. One that
	// can wait leaves a part of the budget to those that cannot.
	TakeExtraAttempt(service string, canWait bool) bool
}

// Config describes a request.
type Config struct {
	// Services holds the service of each part.
	Services []string
	// MinParts is the least number of parts of a useful answer.
	MinParts int
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxAttempts bounds the upstreams of a part that may run the request.
	MaxAttempts int
	// AnswerBy is when an answer with MinParts is given even if parts are
	// missing; zero for a request without partial answers.
	AnswerBy time.Time
	// HedgeBy is when a hedge is needed at the latest to be answered by AnswerBy;
	// hedges that are due before can wait. Zero means that none can.
	HedgeBy time.Time
	// Deadline ends the request.
	Deadline time.Time
}

// maxDeclined bounds the attempts of a part that its upstreams may decline.
const maxDeclined = 4

// MaxPartAttempts is the greatest number of attempts of a part.
func MaxPartAttempts(maxAttempts int) int { return max(1, maxAttempts) + maxDeclined + maxNotSent }

// maxNotSent bounds the attempts of a part that reached no upstream.
const maxNotSent = 4

const (
	// medianFactor is the multiple of the time in which half of the parts were
	// answered after which the others are unusually slow. It adapts to a machine
	// that is slow itself, whose attempts all take long.
	medianFactor = 1.7
	// minMedianGap is the least time between that half and the hedges.
	minMedianGap = 3 * time.Millisecond
)

// hedgeRetry is the wait before a hedge is tried again that the budget did not
// allow or for which there was no upstream.
const hedgeRetry = 10 * time.Millisecond

// Cause says why an attempt is sent.
type Cause int

// Causes of an attempt.
const (
	First Cause = iota
	Hedge
	Retry
)

// Start asks for an attempt. Its number is passed to Finished.
type Start struct {
	Attempt  int
	Part     int
	Upstream string
	Cause    Cause
}

// Verdict is how a request ends.
type Verdict int

// Ends of a request.
const (
	// Pending: the request goes on.
	Pending Verdict = iota
	// Complete: all parts are there.
	Complete
	// Partial: enough parts are there.
	Partial
	// TooFew: too few parts can be had.
	TooFew
	// Expired: the deadline passed.
	Expired
)

// MissingReason says why a part has no answer.
type MissingReason int

// Reasons for a missing part.
const (
	// NotMissing: the part is there.
	NotMissing MissingReason = iota
	// InProgress: an attempt was still running.
	InProgress
	// NoUpstream: no upstream was listed or usable.
	NoUpstream
	// AttemptsUsed: as many upstreams as allowed may have run the part.
	AttemptsUsed
	// BudgetUsed: the retry budget of the service was used up.
	BudgetUsed
	// NotRepeatable: the request may have run and is not idempotent.
	NotRepeatable
)

type attempt struct {
	part     int
	upstream string
	running  bool
	status   Status
}

type part struct {
	service string
	tried   []string
	// running and ran count the attempts in flight and those that ran or may
	// have run.
	running, ran, declined, notSent int
	done                            bool
	lost                            bool
	// doubtful is true while the part waits for an upstream that has not answered
	// the last attempts; the request does not wait for such a part alone.
	doubtful bool
	reason   MissingReason
	hedgeAt  time.Time
}

// Query is the state of one request.
type Query struct {
	cfg       Config
	upstreams Upstreams
	parts     []part
	attempts  []attempt
	succeeded int
	lost      int
	doubtful  int
	verdict   Verdict
	begun     time.Time
}

// New returns a request before its first attempts.
func New(cfg Config, u Upstreams) *Query {
	n := len(cfg.Services)
	// A quarter more than the first attempts covers the usual hedges.
	q := &Query{cfg: cfg, upstreams: u, parts: make([]part, n), attempts: make([]attempt, 0, n*5/4+1)}
	tried := make([]string, n)
	for i, s := range cfg.Services {
		q.parts[i].service = s
		q.parts[i].tried = tried[i : i : i+1]
	}
	return q
}

// Begin sends the first attempt of each part.
func (q *Query) Begin(now time.Time) ([]Start, Verdict) {
	q.begun = now
	out := make([]Start, 0, len(q.parts))
	for i := range q.parts {
		out = q.first(now, i, out)
	}
	return out, q.judge(now)
}

func (q *Query) first(now time.Time, i int, out []Start) []Start {
	p := &q.parts[i]
	u, doubtful, ok := q.upstreams.Pick(p.service, nil, true)
	if !ok {
		q.lose(p, NoUpstream)
		return out
	}
	p.doubtful = doubtful
	if doubtful {
		q.doubtful++
	}
	return append(out, q.start(now, i, u, First))
}

func (q *Query) start(now time.Time, i int, upstream string, c Cause) Start {
	p := &q.parts[i]
	p.tried = append(p.tried, upstream)
	p.running++
	p.hedgeAt = now.Add(q.upstreams.HedgeDelay(p.service))
	if c != First {
		q.clearDoubt(p)
	}
	q.attempts = append(q.attempts, attempt{part: i, upstream: upstream, running: true})
	return Start{Attempt: len(q.attempts) - 1, Part: i, Upstream: upstream, Cause: c}
}

func (q *Query) lose(p *part, reason MissingReason) {
	p.lost, p.reason = true, reason
	q.lost++
	q.clearDoubt(p)
}

func (q *Query) clearDoubt(p *part) {
	if p.doubtful {
		p.doubtful = false
		q.doubtful--
	}
}

// AttemptFinished records the end of an attempt and returns what follows from it.
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
		if !p.done {
			p.done = true
			q.succeeded++
			q.clearDoubt(p)
			q.advanceHedges(now)
		}
	case Failed, Unknown:
		p.ran++
	case Declined:
		p.declined++
	case NotSent:
		p.notSent++
	}
	if q.verdict != Pending || p.done {
		return nil, q.judge(now)
	}
	out := q.retry(now, a.part, s, nil)
	return out, q.judge(now)
}

// advanceHedges moves the hedges of the parts that are missing forward once half
// of the parts are answered.
func (q *Query) advanceHedges(now time.Time) {
	if len(q.parts) < 2 || q.succeeded != (len(q.parts)+1)/2 {
		return
	}
	half := now.Sub(q.begun)
	at := q.begun.Add(max(half+minMedianGap, time.Duration(medianFactor*float64(half))))
	for i := range q.parts {
		p := &q.parts[i]
		p.hedgeAt = earlier(p.hedgeAt, at)
	}
}

// retry sends another attempt after a failed one if it may.
func (q *Query) retry(now time.Time, i int, s Status, out []Start) []Start {
	p := &q.parts[i]
	if p.running > 0 {
		// The attempt that is left was slow already, or there would be no other.
		p.hedgeAt = now
		return q.hedge(now, i, out)
	}
	if reason := q.mayRepeat(p); reason != NotMissing {
		q.lose(p, reason)
		return out
	}
	u, _, ok := q.upstreams.Pick(p.service, p.tried, false)
	if !ok {
		q.lose(p, NoUpstream)
		return out
	}
	// An attempt that reached no upstream did not use the budget.
	if s != NotSent && !q.upstreams.TakeExtraAttempt(p.service, false) {
		q.lose(p, BudgetUsed)
		return out
	}
	return append(out, q.start(now, i, u, Retry))
}

// mayRepeat returns why no further attempt of the part is allowed.
func (q *Query) mayRepeat(p *part) MissingReason {
	switch {
	case p.ran > 0 && !q.cfg.Idempotent:
		return NotRepeatable
	case p.ran+p.running >= q.cfg.MaxAttempts || p.declined >= maxDeclined || p.notSent >= maxNotSent:
		return AttemptsUsed
	default:
		return NotMissing
	}
}

// Tick sends hedges that are due and ends the request at its times.
func (q *Query) Tick(now time.Time) ([]Start, Verdict) {
	if q.verdict != Pending {
		return nil, q.verdict
	}
	var out []Start
	for i := range q.parts {
		out = q.hedge(now, i, out)
	}
	return out, q.judge(now)
}

func (q *Query) mayHedge(p *part) bool {
	return q.cfg.Idempotent && !p.done && p.running == 1 && q.mayRepeat(p) == NotMissing
}

func (q *Query) hedge(now time.Time, i int, out []Start) []Start {
	p := &q.parts[i]
	if !q.mayHedge(p) || now.Before(p.hedgeAt) {
		return out
	}
	u, _, ok := q.upstreams.Pick(p.service, p.tried, false)
	if !ok || !q.upstreams.TakeExtraAttempt(p.service, now.Before(q.cfg.HedgeBy)) {
		p.hedgeAt = now.Add(hedgeRetry)
		return out
	}
	return append(out, q.start(now, i, u, Hedge))
}

// judge decides whether the request ends now.
func (q *Query) judge(now time.Time) Verdict {
	if q.verdict != Pending {
		return q.verdict
	}
	total := len(q.parts)
	open := total - q.succeeded - q.lost
	enough := q.succeeded >= q.cfg.MinParts
	switch {
	case q.succeeded == total:
		q.verdict = Complete
	case q.succeeded+open < q.cfg.MinParts:
		q.verdict = TooFew
	case enough && open == q.doubtful:
		q.verdict = Partial
	case enough && !q.cfg.AnswerBy.IsZero() && !now.Before(q.cfg.AnswerBy):
		q.verdict = Partial
	case !now.Before(q.cfg.Deadline):
		q.verdict = Expired
	}
	return q.verdict
}

// NextWake returns when Tick is due next.
func (q *Query) NextWake() time.Time {
	wake := q.cfg.Deadline
	if !q.cfg.AnswerBy.IsZero() && q.succeeded >= q.cfg.MinParts {
		wake = earlier(wake, q.cfg.AnswerBy)
	}
	for i := range q.parts {
		if p := &q.parts[i]; q.mayHedge(p) {
			wake = earlier(wake, p.hedgeAt)
		}
	}
	return wake
}

// NotRun reports whether no attempt ran or may run.
func (q *Query) NotRun() bool {
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool {
		return a.running || a.status == Succeeded || a.status == Failed || a.status == Unknown
	})
}

// MissingReason returns why a part has no answer.
func (q *Query) MissingReason(i int) MissingReason {
	p := &q.parts[i]
	switch {
	case p.done:
		return NotMissing
	case p.lost:
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
