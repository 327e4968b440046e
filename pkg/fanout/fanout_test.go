package fanout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// atMillis returns the time that is ms milliseconds after start.
func atMillis(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fakeUpstreams has the same number of upstreams for each service.
type fakeUpstreams struct {
	perService int
	// extraBudget is the number of extra attempts that are still allowed.
	extraBudget int
	// urgentOnly refuses extra attempts that can wait.
	urgentOnly bool
	// unresponsive is the service whose upstreams did not answer the last attempts.
	unresponsive string
	// unavailable is the service that has no usable upstream, because of its upstreams'
	// rate limits if limited is true.
	unavailable string
	limited     bool
	// forecasts holds the forecast of each service with slow upstreams.
	forecasts map[string]time.Duration
}

func (f *fakeUpstreams) Forecast(service string) time.Duration { return f.forecasts[service] }

func (f *fakeUpstreams) RateLimited(service string) bool {
	return f.limited && service == f.unavailable
}

func (f *fakeUpstreams) Pick(service string, excluded []string, _ bool) (string, bool, bool) {
	if service == f.unavailable {
		return "", false, false
	}
	for i := range f.perService {
		if id := fmt.Sprint(service, "/", i); !slices.Contains(excluded, id) {
			return id, service == f.unresponsive, true
		}
	}
	return "", false, false
}

func (f *fakeUpstreams) HedgeDelay(string) time.Duration { return 10 * time.Millisecond }

func (f *fakeUpstreams) TakeExtraAttempt(_ string, canWait bool) bool {
	if f.extraBudget == 0 || f.urgentOnly && canWait {
		return false
	}
	f.extraBudget--
	return true
}

func queryConfig(parts, minParts int) Config {
	c := Config{MinParts: minParts, Idempotent: true, MaxAttempts: 2, AnswerBy: atMillis(50), HedgeBy: atMillis(30), Deadline: atMillis(200)}
	for i := range parts {
		c.Services = append(c.Services, fmt.Sprint("s", i))
	}
	return c
}

// singlePartConfig returns the configuration of a request to one service, without
// partial answers.
func singlePartConfig(idempotent bool) Config {
	return Config{Services: []string{"s"}, MinParts: 1, Idempotent: idempotent, MaxAttempts: 2, Deadline: atMillis(200)}
}

func upstreamsOf(starts []Start) []string {
	var out []string
	for _, s := range starts {
		out = append(out, s.Upstream)
	}
	return out
}

// TestCompleteAnswer guards against a query that ends while a part is missing
// although there is time left to wait for it.
func TestCompleteAnswer(t *testing.T) {
	q := New(queryConfig(3, 2), &fakeUpstreams{perService: 2})
	starts, v := q.Begin(start)
	must.Eq(t, []string{"s0/0", "s1/0", "s2/0"}, upstreamsOf(starts))
	must.Eq(t, Pending, v)
	for i := range 2 {
		_, v = q.AttemptFinished(atMillis(5), i, Succeeded)
		must.Eq(t, Pending, v)
	}
	_, v = q.AttemptFinished(atMillis(6), 2, Succeeded)
	must.Eq(t, Complete, v)
}

// TestPartialAnswerInTime guards against a query with enough parts that waits for
// a missing one beyond AnswerBy, and against a partial answer before AnswerBy.
func TestPartialAnswerInTime(t *testing.T) {
	q := New(queryConfig(3, 2), &fakeUpstreams{perService: 1})
	q.Begin(start)
	q.AttemptFinished(atMillis(5), 0, Succeeded)
	q.AttemptFinished(atMillis(5), 1, Succeeded)
	must.False(t, q.NextWake().After(atMillis(50)))
	_, v := q.Tick(atMillis(49))
	must.Eq(t, Pending, v)
	_, v = q.Tick(atMillis(50))
	must.Eq(t, Partial, v)
	must.Eq(t, InProgress, q.MissingReason(2))
}

// TestUnresponsivePart guards against a query with enough parts that waits for a
// shard whose upstreams did not answer the last attempts, and against leaving
// that shard out when the answer needs it to reach MinParts.
func TestUnresponsivePart(t *testing.T) {
	for minParts, want := range map[int]Verdict{2: Partial, 3: Pending} {
		q := New(queryConfig(3, minParts), &fakeUpstreams{perService: 1, unresponsive: "s1"})
		q.Begin(start)
		_, v := q.AttemptFinished(atMillis(5), 0, Succeeded)
		must.Eq(t, Pending, v)
		_, v = q.AttemptFinished(atMillis(6), 2, Succeeded)
		must.Eq(t, want, v)
	}
}

// TestLateWithTooFewParts guards against a query that ends at AnswerBy because it
// has too few parts, although it may still get enough before its deadline, and
// against a query that still waits once it has them.
func TestLateWithTooFewParts(t *testing.T) {
	q := New(queryConfig(3, 3), &fakeUpstreams{perService: 1})
	q.Begin(start)
	q.AttemptFinished(atMillis(5), 0, Succeeded)
	q.AttemptFinished(atMillis(5), 1, Succeeded)
	_, v := q.Tick(atMillis(100))
	must.Eq(t, Pending, v)
	_, v = q.AttemptFinished(atMillis(120), 2, Succeeded)
	must.Eq(t, Complete, v)
}

// TestUnavailableParts guards against keeping a caller waiting when too few parts
// can still be answered, and against waiting for a part that no upstream can
// answer any more.
func TestUnavailableParts(t *testing.T) {
	q := New(queryConfig(2, 2), &fakeUpstreams{perService: 1})
	q.Begin(start)
	_, v := q.AttemptFinished(atMillis(3), 0, Failed)
	must.Eq(t, TooFew, v)
	q = New(queryConfig(2, 1), &fakeUpstreams{perService: 1})
	q.Begin(start)
	q.AttemptFinished(atMillis(3), 0, Unknown)
	_, v = q.AttemptFinished(atMillis(4), 1, Succeeded)
	must.Eq(t, Partial, v)
}

// TestTooFewPartsAtTheStart guards against a query that runs on some shards although the
// rate limits of others forbid a useful answer, and against one that sends nothing because
// upstreams of another shard failed. In the second case, queries of a day on which several
// shards were down no longer found out that their upstreams had recovered: of 283 requests
// in the worst two seconds 80 were served in time, and 244 otherwise.
func TestTooFewPartsAtTheStart(t *testing.T) {
	for _, limited := range []bool{true, false} {
		q := New(queryConfig(3, 3), &fakeUpstreams{perService: 1, unavailable: "s1", limited: limited})
		starts, v := q.Begin(start)
		must.Eq(t, TooFew, v)
		must.Eq(t, limited, len(starts) == 0)
		must.Eq(t, limited, q.NotRun())
	}
}

// TestHedge guards against a slow attempt that is never hedged, and against a
// part that is sent to more upstreams than allowed.
func TestHedge(t *testing.T) {
	q := New(singlePartConfig(true), &fakeUpstreams{perService: 5, extraBudget: 5})
	q.Begin(start)
	must.Eq(t, atMillis(10), q.NextWake())
	starts, _ := q.Tick(atMillis(10))
	must.Eq(t, []Start{{Attempt: 1, Upstream: "s/1", Cause: Hedge}}, starts)
	starts, _ = q.Tick(atMillis(50))
	must.SliceEmpty(t, starts)
	_, v := q.AttemptFinished(atMillis(60), 1, Succeeded)
	must.Eq(t, Complete, v)
}

// TestDeclinedHedge guards against waiting for another hedge delay when an
// upstream declines a hedge: the hedged attempt is slow already, so the next
// hedge must be sent at once.
func TestDeclinedHedge(t *testing.T) {
	q := New(singlePartConfig(true), &fakeUpstreams{perService: 5, extraBudget: 5})
	q.Begin(start)
	q.Tick(atMillis(10))
	starts, _ := q.AttemptFinished(atMillis(12), 1, Declined)
	must.Eq(t, []Start{{Attempt: 2, Upstream: "s/2", Cause: Hedge}}, starts)
}

// TestRefusedHedgeIsTriedAtHedgeBy guards against a hedge that is refused shortly before
// HedgeBy, is tried again only hedgeRetryDelay later, and is then answered too late. With
// a target of 50 ms such hedges were sent 8 ms before the answer was due.
func TestRefusedHedgeIsTriedAtHedgeBy(t *testing.T) {
	u := &fakeUpstreams{perService: 2, extraBudget: 3, urgentOnly: true}
	q := New(queryConfig(2, 1), u)
	q.Begin(start)
	q.Tick(atMillis(10))
	starts, _ := q.Tick(atMillis(28))
	must.SliceEmpty(t, starts)
	must.Eq(t, atMillis(30), q.NextWake())
	starts, _ = q.Tick(atMillis(30))
	must.SliceLen(t, 2, starts)
}

// TestHedgeThatCanWait guards against hedges before HedgeBy that use up the part
// of the retry budget reserved for attempts that cannot wait, and against a hedge
// that is still refused after HedgeBy, when it cannot wait any longer.
func TestHedgeThatCanWait(t *testing.T) {
	u := &fakeUpstreams{perService: 2, extraBudget: 3, urgentOnly: true}
	q := New(queryConfig(1, 1), u)
	q.Begin(start)
	starts, _ := q.Tick(atMillis(29))
	must.SliceEmpty(t, starts)
	starts, _ = q.Tick(atMillis(39))
	must.Len(t, 1, starts)
}

// TestNonIdempotentRequestRunsOnce guards against a second attempt of a request
// that is not idempotent and may have run, and against ending the request without
// a second attempt when the first one was declined and therefore did not run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for _, s := range []Status{Failed, Unknown} {
		q := New(singlePartConfig(false), &fakeUpstreams{perService: 3, extraBudget: 9})
		q.Begin(start)
		starts, _ := q.Tick(atMillis(100))
		must.SliceEmpty(t, starts)
		starts, v := q.AttemptFinished(atMillis(110), 0, s)
		must.SliceEmpty(t, starts)
		must.Eq(t, TooFew, v)
		must.False(t, q.NotRun())
		must.Eq(t, NotRepeatable, q.MissingReason(0))
	}
	q := New(singlePartConfig(false), &fakeUpstreams{perService: 3, extraBudget: 9})
	q.Begin(start)
	starts, _ := q.AttemptFinished(atMillis(1), 0, Declined)
	must.Eq(t, []string{"s/1"}, upstreamsOf(starts))
}

// TestNotRunWithAttemptInFlight guards against reporting to the caller that a
// request did not run while one of its attempts may still run.
func TestNotRunWithAttemptInFlight(t *testing.T) {
	q := New(singlePartConfig(true), &fakeUpstreams{perService: 2, extraBudget: 9})
	q.Begin(start)
	q.Tick(atMillis(10))
	q.AttemptFinished(atMillis(12), 1, Declined)
	must.False(t, q.NotRun())
	_, v := q.AttemptFinished(atMillis(13), 0, NotSent)
	must.Eq(t, TooFew, v)
	must.True(t, q.NotRun())
}

// TestInvariantsUnderRandomEvents guards against a query that breaks one of these
// invariants for some order of events: a request that is not idempotent runs at
// most once; at most MaxAttempts upstreams run a part; NotRun is true only if no
// attempt ran or may run; a verdict never changes; no attempt starts after the
// verdict; each request ends by its deadline; and with OnePartFirst, one attempt runs at a
// time until an upstream has answered, and none after one that ended without an answer.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := queryConfig(rapid.IntRange(1, 6).Draw(t, "parts"), 1)
		cfg.MinParts = rapid.IntRange(1, len(cfg.Services)).Draw(t, "least")
		cfg.Idempotent = rapid.Bool().Draw(t, "idempotent")
		cfg.MaxAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
		cfg.OnePartFirst = rapid.Bool().Draw(t, "one part first")
		m := &queryModel{t: t, cfg: cfg, query: New(cfg, &fakeUpstreams{perService: rapid.IntRange(0, 4).Draw(t, "upstreams"), extraBudget: rapid.IntRange(0, 6).Draw(t, "extra")}), now: start}
		m.check(m.query.Begin(m.now))
		for m.now.Before(cfg.Deadline) {
			m.step()
		}
		m.check(m.query.Tick(cfg.Deadline))
		must.NotEq(t, Pending, m.verdict)
	})
}

// queryModel feeds random events to a query and checks its decisions against the
// outcomes of its attempts.
type queryModel struct {
	t       *rapid.T
	cfg     Config
	query   *Query
	now     time.Time
	verdict Verdict
	running []Start
	started []Start
	// ran counts the attempts of each part that ran or may have run.
	ran map[int]int
	// succeeded holds the parts that had a successful attempt.
	succeeded map[int]bool
}

func (m *queryModel) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(m.t, "ms")) * time.Millisecond)
	if len(m.running) == 0 || rapid.Bool().Draw(m.t, "tick") {
		m.check(m.query.Tick(m.now))
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "which")
	a := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	s := Status(rapid.IntRange(0, int(Unknown)).Draw(m.t, "status"))
	if m.ran == nil {
		m.ran, m.succeeded = make(map[int]int), make(map[int]bool)
	}
	if s != Declined && s != NotSent {
		m.ran[a.Part]++
	}
	m.succeeded[a.Part] = m.succeeded[a.Part] || s == Succeeded
	wasAlone := m.query.Alone()
	starts, v := m.query.AttemptFinished(m.now, a.Attempt, s)
	if wasAlone && s == Unknown {
		must.SliceEmpty(m.t, starts)
		must.NotEq(m.t, Pending, v)
	}
	m.check(starts, v)
}

func (m *queryModel) check(starts []Start, v Verdict) {
	if m.verdict != Pending {
		must.Eq(m.t, m.verdict, v)
		must.SliceEmpty(m.t, starts)
	}
	m.verdict = v
	m.running = append(m.running, starts...)
	m.started = append(m.started, starts...)
	if m.query.Alone() {
		must.LessEq(m.t, 1, len(m.running))
	}
	runningPerPart := make(map[int]int)
	for _, s := range m.running {
		runningPerPart[s.Part]++
	}
	for part, running := range runningPerPart {
		limit := m.cfg.MaxAttempts
		if !m.cfg.Idempotent {
			limit = 1
		}
		must.LessEq(m.t, limit, running+m.ran[part])
	}
	startedPerPart := make(map[int]int)
	for _, s := range m.started {
		startedPerPart[s.Part]++
		must.LessEq(m.t, MaxPartAttempts(m.cfg.MaxAttempts), startedPerPart[s.Part])
	}
	if m.query.NotRun() {
		must.SliceEmpty(m.t, m.running)
		must.MapEmpty(m.t, m.ran)
	}
	succeededParts := 0
	for _, ok := range m.succeeded {
		if ok {
			succeededParts++
		}
	}
	switch v {
	case Complete:
		must.Eq(m.t, len(m.cfg.Services), succeededParts)
	case Partial:
		must.GreaterEq(m.t, m.cfg.MinParts, succeededParts)
	}
}

// TestOnePartRunsAlone guards against a query that crashes the upstreams of all shards
// although it was to be tried on one upstream first.
func TestOnePartRunsAlone(t *testing.T) {
	newQuery := func(u *fakeUpstreams) *Query {
		c := queryConfig(3, 2)
		c.OnePartFirst = true
		return New(c, u)
	}
	others := []string{"s1/0", "s2/0"}

	q := newQuery(&fakeUpstreams{perService: 2, extraBudget: 9})
	starts, v := q.Begin(start)
	must.Eq(t, []string{"s0/0"}, upstreamsOf(starts))
	must.Eq(t, Pending, v)
	starts, _ = q.Tick(atMillis(40))
	must.SliceEmpty(t, starts, must.Sprint("hedges"))
	must.True(t, q.Alone())
	starts, v = q.AttemptFinished(atMillis(41), 0, Succeeded)
	must.Eq(t, others, upstreamsOf(starts))
	must.Eq(t, Pending, v)
	must.False(t, q.Alone())

	for name, c := range map[string]struct {
		status  Status
		starts  []string
		verdict Verdict
	}{
		"unknown":  {Unknown, nil, TooFew},
		"failed":   {Failed, append([]string{"s0/1"}, others...), Pending},
		"declined": {Declined, []string{"s0/1"}, Pending},
		"not sent": {NotSent, []string{"s0/1"}, Pending},
	} {
		q := newQuery(&fakeUpstreams{perService: 2, extraBudget: 9})
		q.Begin(start)
		starts, v := q.AttemptFinished(atMillis(5), 0, c.status)
		must.Eq(t, c.starts, upstreamsOf(starts), must.Sprint(name))
		must.Eq(t, c.verdict, v, must.Sprint(name))
		must.Eq(t, c.status != Failed, q.Alone(), must.Sprint(name))
	}

	c := queryConfig(3, 2)
	c.Withheld = []string{"s1"}
	q = New(c, &fakeUpstreams{perService: 2})
	starts, v = q.Begin(start)
	must.Eq(t, []string{"s0/0", "s2/0"}, upstreamsOf(starts))
	must.Eq(t, Pending, v)
	must.Eq(t, Withheld, q.MissingReason(1))

	q = newQuery(&fakeUpstreams{perService: 1, unavailable: "s0"})
	starts, _ = q.Begin(start)
	must.Eq(t, []string{"s1/0"}, upstreamsOf(starts))
	starts, _ = q.AttemptFinished(atMillis(5), 0, NotSent)
	must.Eq(t, []string{"s2/0"}, upstreamsOf(starts))
	_, v = q.AttemptFinished(atMillis(6), 1, NotSent)
	must.Eq(t, TooFew, v)
	must.True(t, q.NotRun())

	q = newQuery(&fakeUpstreams{perService: 1, unresponsive: "s0"})
	starts, _ = q.Begin(start)
	must.Eq(t, []string{"s1/0"}, upstreamsOf(starts))
}

// TestShedSlowParts guards against a query that hands overloaded upstreams work whose answer
// it would not wait for, and against one that leaves out parts that it needs.
func TestShedSlowParts(t *testing.T) {
	u := &fakeUpstreams{perService: 3, extraBudget: 100, forecasts: map[string]time.Duration{"s0": 80 * time.Millisecond, "s1": 90 * time.Millisecond, "s2": 70 * time.Millisecond, "s3": 40 * time.Millisecond}}
	for _, c := range []struct {
		shed     bool
		minParts int
		want     []string
	}{
		{false, 8, []string{"s0/0", "s1/0", "s2/0", "s3/0", "s4/0", "s5/0", "s6/0", "s7/0", "s8/0", "s9/0"}},
		{true, 8, []string{"s3/0", "s4/0", "s5/0", "s6/0", "s7/0", "s8/0", "s9/0", "s2/0", "s0/0"}},
		{true, 6, []string{"s3/0", "s4/0", "s5/0", "s6/0", "s7/0", "s8/0", "s9/0", "s2/0"}},
		{true, 4, []string{"s3/0", "s4/0", "s5/0", "s6/0", "s7/0", "s8/0", "s9/0"}},
		{true, 9, []string{"s3/0", "s4/0", "s5/0", "s6/0", "s7/0", "s8/0", "s9/0", "s2/0", "s0/0", "s1/0"}},
		{true, 10, []string{"s3/0", "s4/0", "s5/0", "s6/0", "s7/0", "s8/0", "s9/0", "s2/0", "s0/0", "s1/0"}},
	} {
		cfg := queryConfig(10, c.minParts)
		cfg.ShedSlowParts = c.shed
		starts, v := New(cfg, u).Begin(start)
		must.Eq(t, Pending, v)
		must.Eq(t, c.want, upstreamsOf(starts), must.Sprint(c))
	}
}

// TestNoHedgeWithoutUse guards against hedges on overloaded upstreams: a second attempt that
// cannot be answered in time only makes their queues longer.
func TestNoHedgeWithoutUse(t *testing.T) {
	for _, shed := range []bool{false, true} {
		u := &fakeUpstreams{perService: 3, extraBudget: 100, forecasts: map[string]time.Duration{"s0": 45 * time.Millisecond, "s1": 5 * time.Millisecond}}
		cfg := queryConfig(2, 2)
		cfg.ShedSlowParts = shed
		q := New(cfg, u)
		q.Begin(start)
		starts, _ := q.Tick(atMillis(10))
		want := []string{"s0/1", "s1/1"}
		if shed {
			want = want[1:]
		}
		must.Eq(t, want, upstreamsOf(starts))
	}
}

// TestNoForecastAfterAnswerBy guards against a query that is late already and therefore
// leaves out parts, and sends no hedges, although nothing shows that upstreams are slow.
func TestNoForecastAfterAnswerBy(t *testing.T) {
	cfg := queryConfig(10, 6)
	cfg.ShedSlowParts = true
	q := New(cfg, &fakeUpstreams{perService: 3, extraBudget: 100})
	starts, _ := q.Begin(cfg.AnswerBy.Add(time.Millisecond))
	must.Len(t, 10, starts)
	starts, _ = q.Tick(cfg.AnswerBy.Add(50 * time.Millisecond))
	must.Len(t, 10, starts)
}

// TestNeededSlowPartsRun guards against a query that is refused for lack of parts, some of
// which it has left out itself.
func TestNeededSlowPartsRun(t *testing.T) {
	slow := 80 * time.Millisecond
	cfg := queryConfig(6, 4)
	cfg.Services[4], cfg.Services[5] = "s5", "s5"
	cfg.ShedSlowParts = true
	q := New(cfg, &fakeUpstreams{perService: 3, unavailable: "s5", forecasts: map[string]time.Duration{"s0": slow}})
	starts, v := q.Begin(start)
	must.Eq(t, Pending, v)
	must.Eq(t, []string{"s1/0", "s2/0", "s3/0", "s0/0"}, upstreamsOf(starts))
}

// TestUnreachableCoverageStartsNothing guards against a query that sends parts although too
// few shards have a usable upstream: their work is wasted, and the caller cannot be told
// that the query did not run.
func TestUnreachableCoverageStartsNothing(t *testing.T) {
	for _, shed := range []bool{false, true} {
		u := &fakeUpstreams{perService: 3, unavailable: "s1"}
		cfg := queryConfig(4, 4)
		cfg.ShedSlowParts = shed
		q := New(cfg, u)
		starts, v := q.Begin(start)
		must.Eq(t, TooFew, v)
		must.Eq(t, shed, q.NotRun())
		must.Eq(t, shed, len(starts) == 0)
	}
}
