package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// eventHook records the numbers of log events.
type eventHook struct {
	mu     sync.Mutex
	events []event.ID
}

func (*eventHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *eventHook) Fire(e *logrus.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event.ID(e.Data["event"].(int)))
	return nil
}

func (h *eventHook) count(id event.ID) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if e == id {
			n++
		}
	}
	return n
}

// TestBodyMemoryByPriority guards against a request that is refused for lack of memory by
// the priority of another route, against a refusal without a time to return, and against a
// shortage that is logged for each request or not at all.
func TestBodyMemoryByPriority(t *testing.T) {
	const body = 64 << 10
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		urgent, patient := route("/urgent/", "s", true), route("/patient/", "s", true)
		patient.Priority = 2
		ff.configure(1, urgent, patient)
		g := ff.startWith(0, 1, Config{Settings: Settings{BodyMemory: 16 * body}})
		hook := &eventHook{}
		g.ports.Log.(*logrus.Logger).AddHook(hook)
		time.Sleep(propagationTime)
		var reserved []*Request
		reserve := func(target string, count int) (admitted int, last Answer) {
			for range count {
				r := request(target)
				a, ok := g.ReserveBody(r, body)
				if ok {
					admitted++
					reserved = append(reserved, r)
				}
				last = a
			}
			return admitted, last
		}
		admitted, a := reserve("/patient/1?x=/urgent/", 20)
		must.Eq(t, 8, admitted)
		must.Eq(t, result.BodyMemoryFull, a.Code)
		must.Eq(t, model.NotRun, a.Ran)
		must.Positive(t, a.RetryAfter)
		admitted, _ = reserve("/urgent/1", 20)
		must.Eq(t, 8, admitted)
		_, ok := g.ReserveBody(request("/patient/1"), UnaccountedBodyBytes)
		must.True(t, ok)
		time.Sleep(time.Second)
		status := g.Status().(Status).BodyMemory
		must.True(t, status.Short)
		must.Eq(t, [4]int64{8 * body, 0, 8 * body, 0}, status.HeldBytes)
		must.Eq(t, [4]int64{12, 0, 12, 0}, status.Refused)
		must.Eq(t, 1, hook.count(event.BodyMemoryShort))
		must.Eq(t, 0, hook.count(event.BodyMemoryRestored))
		for _, r := range reserved {
			r.ReleaseBody()
		}
		time.Sleep(shortageEndTime + time.Second)
		must.False(t, g.Status().(Status).BodyMemory.Short)
		must.Eq(t, 1, hook.count(event.BodyMemoryRestored))
	})
}

// TestNoBodyMemoryLimit guards against refusals at an instance whose memory is not known.
func TestNoBodyMemoryLimit(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		g := ff.start(0, 1)
		for range 1000 {
			_, ok := g.ReserveBody(request("/x/"), 1<<40)
			must.True(t, ok)
		}
		must.Nil(t, g.Status().(Status).BodyMemory)
	})
}

// TestDelegatedBodiesCount guards against an instance that runs the queries of others and
// takes in more of their bodies than it has memory for. The query is then run by the
// instance that the caller asked.
func TestDelegatedBodiesCount(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		var services []string
		for i := range 40 {
			name := fmt.Sprint("s", i)
			services = append(services, name)
			ff.addUpstream(directory.Upstream{ID: "u" + name, Service: name})
		}
		ff.configure(1, gatherRoute(3, services...))
		small := ff.startWith(0, 2, Config{Settings: Settings{Capacity: 0.2}})
		large := ff.startWith(1, 2, Config{Settings: Settings{Capacity: 0.8, BodyMemory: 64 << 10}})
		time.Sleep(propagationTime)
		serve := func(size int, wantDeclined bool) {
			ff.withLock(func() { ff.delegated = 0 })
			hook := &eventHook{}
			large.ports.Log.(*logrus.Logger).ReplaceHooks(logrus.LevelHooks{})
			large.ports.Log.(*logrus.Logger).AddHook(hook)
			r := request("/q/1")
			r.Body = make([]byte, size)
			must.Eq(t, result.OK, small.Serve(t.Context(), r).Code)
			must.Eq(t, 1, ff.delegatedQueries())
			must.Eq(t, wantDeclined, hook.count(event.BodyMemoryShort) == 1)
			// The caller is not refused.
			must.Eq(t, 0, hook.count(event.RequestFinished))
			must.Eq(t, 0, large.Status().(Status).BodyMemory.HeldBytes[0])
		}
		serve(60<<10, false)
		serve(70<<10, true)
	})
}
