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

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fakeUpstreams has the same number of upstreams for each service.
type fakeUpstreams struct {
	perService int
	extra      int
	// urgentOnly refuses extra attempts that can wait.
	urgentOnly bool
	// doubtful is the service whose upstreams did not answer lately.
	doubtful string
}

func (f *fakeUpstreams) Pick(service string, excluded []string, _ bool) (string, bool, bool) {
	for i := range f.perService {
		if id := fmt.Sprint(service, "/", i); !slices.Contains(excluded, id) {
			return id, service == f.doubtful, true
		}
	}
	return "", false, false
}

func (f *fakeUpstreams) HedgeDelay(string) time.Duration { return 10 * time.Millisecond }

func (f *fakeUpstreams) TakeExtraAttempt(_ string, canWait bool) bool {
	if f.extra == 0 || f.urgentOnly && canWait {
		return false
	}
	f.extra--
	return true
}

func gatherOf(parts, least int) Config {
	c := Config{MinParts: least, Idempotent: true, MaxAttempts: 2, AnswerBy: at(50), HedgeBy: at(30), Deadline: at(200)}
	for i := range parts {
		c.Services = append(c.Services, fmt.Sprint("s", i))
	}
	return c
}

func single(idempotent bool) Config {
	return Config{Services: []string{"s"}, MinParts: 1, Idempotent: idempotent, MaxAttempts: 2, Deadline: at(200)}
}

func upstreamNames(starts []Start) []string {
	var out []string
	for _, s := range starts {
		out = append(out, s.Upstream)
	}
	return out
}

// TestCompleteAnswer guards against an answer before all parts are there while
// there is time.
func TestCompleteAnswer(t *testing.T) {
	q := New(gatherOf(3, 2), &fakeUpstreams{perService: 2})
	starts, v := q.Begin(start)
	must.Eq(t, []string{"s0/0", "s1/0", "s2/0"}, upstreamNames(starts))
	must.Eq(t, Pending, v)
	for i := range 2 {
		_, v = q.AttemptFinished(at(5), i, Succeeded)
		must.Eq(t, Pending, v)
	}
	_, v = q.AttemptFinished(at(6), 2, Succeeded)
	must.Eq(t, Complete, v)
}

// TestPartialAnswerInTime guards against a useful answer that misses its time
// because of one part, and against a partial answer that comes too soon.
func TestPartialAnswerInTime(t *testing.T) {
	q := New(gatherOf(3, 2), &fakeUpstreams{perService: 1})
	q.Begin(start)
	q.AttemptFinished(at(5), 0, Succeeded)
	q.AttemptFinished(at(5), 1, Succeeded)
	must.False(t, q.NextWake().After(at(50)))
	_, v := q.Tick(at(49))
	must.Eq(t, Pending, v)
	_, v = q.Tick(at(50))
	must.Eq(t, Partial, v)
	must.Eq(t, InProgress, q.MissingReason(2))
}

// TestDoubtfulPart guards against answers that wait for a shard of which no
// upstream has answered lately, and against leaving it out when it is needed.
func TestDoubtfulPart(t *testing.T) {
	for least, want := range map[int]Verdict{2: Partial, 3: Pending} {
		q := New(gatherOf(3, least), &fakeUpstreams{perService: 1, doubtful: "s1"})
		q.Begin(start)
		_, v := q.AttemptFinished(at(5), 0, Succeeded)
		must.Eq(t, Pending, v)
		_, v = q.AttemptFinished(at(6), 2, Succeeded)
		must.Eq(t, want, v)
	}
}

// TestLateWithTooFewParts guards against giving up at the answer time when too
// few parts are there, and against waiting on once there are enough.
func TestLateWithTooFewParts(t *testing.T) {
	q := New(gatherOf(3, 3), &fakeUpstreams{perService: 1})
	q.Begin(start)
	q.AttemptFinished(at(5), 0, Succeeded)
	q.AttemptFinished(at(5), 1, Succeeded)
	_, v := q.Tick(at(100))
	must.Eq(t, Pending, v)
	_, v = q.AttemptFinished(at(120), 2, Succeeded)
	must.Eq(t, Complete, v)
}

// TestHopelessQuery guards against holding a caller when too few parts can be
// had, and against waiting for parts that no upstream can answer.
func TestHopelessQuery(t *testing.T) {
	q := New(gatherOf(2, 2), &fakeUpstreams{perService: 1})
	q.Begin(start)
	_, v := q.AttemptFinished(at(3), 0, Failed)
	must.Eq(t, TooFew, v)
	q = New(gatherOf(2, 1), &fakeUpstreams{perService: 1})
	q.Begin(start)
	q.AttemptFinished(at(3), 0, Unknown)
	_, v = q.AttemptFinished(at(4), 1, Succeeded)
	must.Eq(t, Partial, v)
}

// TestHedge guards against a slow attempt that is never hedged, and against a
// part that is sent to more upstreams than allowed.
func TestHedge(t *testing.T) {
	q := New(single(true), &fakeUpstreams{perService: 5, extra: 5})
	q.Begin(start)
	must.Eq(t, at(10), q.NextWake())
	starts, _ := q.Tick(at(10))
	must.Eq(t, []Start{{Attempt: 1, Upstream: "s/1", Cause: Hedge}}, starts)
	starts, _ = q.Tick(at(50))
	must.SliceEmpty(t, starts)
	_, v := q.AttemptFinished(at(60), 1, Succeeded)
	must.Eq(t, Complete, v)
}

// TestDeclinedHedge guards against waiting for another hedge delay when an
// upstream has declined the hedge of an attempt that is slow already.
func TestDeclinedHedge(t *testing.T) {
	q := New(single(true), &fakeUpstreams{perService: 5, extra: 5})
	q.Begin(start)
	q.Tick(at(10))
	starts, _ := q.AttemptFinished(at(12), 1, Declined)
	must.Eq(t, []Start{{Attempt: 2, Upstream: "s/2", Cause: Hedge}}, starts)
}

// TestHedgeThatCanWait guards against hedges that take the budget that retries
// need, and against one that is not sent when it is needed.
func TestHedgeThatCanWait(t *testing.T) {
	u := &fakeUpstreams{perService: 2, extra: 3, urgentOnly: true}
	q := New(gatherOf(1, 1), u)
	q.Begin(start)
	starts, _ := q.Tick(at(29))
	must.SliceEmpty(t, starts)
	starts, _ = q.Tick(at(39))
	must.Len(t, 1, starts)
}

// TestUnsafeRequestRunsOnce guards against a second attempt of a request that is
// not idempotent and may have run, and against no second one when it did not.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	for _, s := range []Status{Failed, Unknown} {
		q := New(single(false), &fakeUpstreams{perService: 3, extra: 9})
		q.Begin(start)
		starts, _ := q.Tick(at(100))
		must.SliceEmpty(t, starts)
		starts, v := q.AttemptFinished(at(110), 0, s)
		must.SliceEmpty(t, starts)
		must.Eq(t, TooFew, v)
		must.False(t, q.NotRun())
		must.Eq(t, NotRepeatable, q.MissingReason(0))
	}
	q := New(single(false), &fakeUpstreams{perService: 3, extra: 9})
	q.Begin(start)
	starts, _ := q.AttemptFinished(at(1), 0, Declined)
	must.Eq(t, []string{"s/1"}, upstreamNames(starts))
}

// TestRefusalIsTrue guards against "not run" while an attempt may still run.
func TestRefusalIsTrue(t *testing.T) {
	q := New(single(true), &fakeUpstreams{perService: 2, extra: 9})
	q.Begin(start)
	q.Tick(at(10))
	q.AttemptFinished(at(12), 1, Declined)
	must.False(t, q.NotRun())
	_, v := q.AttemptFinished(at(13), 0, NotSent)
	must.Eq(t, TooFew, v)
	must.True(t, q.NotRun())
}

// TestRandom guards against broken promises in any order of events: a request
// that is not idempotent runs at most once, no more upstreams run a part than
// allowed, "not run" is true, a verdict never changes, nothing starts after it,
// and each request ends by its deadline.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := gatherOf(rapid.IntRange(1, 6).Draw(t, "parts"), 1)
		cfg.MinParts = rapid.IntRange(1, len(cfg.Services)).Draw(t, "least")
		cfg.Idempotent = rapid.Bool().Draw(t, "idempotent")
		cfg.MaxAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
		m := &model{t: t, cfg: cfg, q: New(cfg, &fakeUpstreams{perService: rapid.IntRange(0, 4).Draw(t, "upstreams"), extra: rapid.IntRange(0, 6).Draw(t, "extra")}), now: start}
		m.take(m.q.Begin(m.now))
		for m.now.Before(cfg.Deadline) {
			m.step()
		}
		m.take(m.q.Tick(cfg.Deadline))
		must.NotEq(t, Pending, m.verdict)
	})
}

// model checks a query against what its attempts did.
type model struct {
	t       *rapid.T
	cfg     Config
	q       *Query
	now     time.Time
	verdict Verdict
	running []Start
	started []Start
	// ran counts the attempts of each part that ran or may have run.
	ran  map[int]int
	succ map[int]bool
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(m.t, "ms")) * time.Millisecond)
	if len(m.running) == 0 || rapid.Bool().Draw(m.t, "tick") {
		m.take(m.q.Tick(m.now))
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "which")
	a := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	s := Status(rapid.IntRange(0, int(Unknown)).Draw(m.t, "status"))
	if m.ran == nil {
		m.ran, m.succ = make(map[int]int), make(map[int]bool)
	}
	if s != Declined && s != NotSent {
		m.ran[a.Part]++
	}
	m.succ[a.Part] = m.succ[a.Part] || s == Succeeded
	m.take(m.q.AttemptFinished(m.now, a.Attempt, s))
}

func (m *model) take(starts []Start, v Verdict) {
	if m.verdict != Pending {
		must.Eq(m.t, m.verdict, v)
		must.SliceEmpty(m.t, starts)
	}
	m.verdict = v
	m.running = append(m.running, starts...)
	m.started = append(m.started, starts...)
	perPart := make(map[int]int)
	for _, s := range m.running {
		perPart[s.Part]++
	}
	for part, running := range perPart {
		limit := m.cfg.MaxAttempts
		if !m.cfg.Idempotent {
			limit = 1
		}
		must.LessEq(m.t, limit, running+m.ran[part])
	}
	all := make(map[int]int)
	for _, s := range m.started {
		all[s.Part]++
		must.LessEq(m.t, MaxPartAttempts(m.cfg.MaxAttempts), all[s.Part])
	}
	if m.q.NotRun() {
		must.SliceEmpty(m.t, m.running)
		must.MapEmpty(m.t, m.ran)
	}
	done := 0
	for _, ok := range m.succ {
		if ok {
			done++
		}
	}
	switch v {
	case Complete:
		must.Eq(m.t, len(m.cfg.Services), done)
	case Partial:
		must.GreaterEq(m.t, m.cfg.MinParts, done)
	}
}
