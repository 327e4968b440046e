package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/pkg/bodymemory"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

const (
	// UnaccountedBodyBytes is the size up to which bodies do not count towards the limit,
	// so that usual requests take no lock for it.
	UnaccountedBodyBytes = 4 << 10
	// unknownPriority is the priority of requests whose route is not known.
	unknownPriority = bodymemory.Classes - 1
	// shortageEndTime is the time without a refusal after which a shortage has ended.
	shortageEndTime = 5 * time.Second
)

// bodyMemory is the memory for the bodies of requests. The mutex guards the fields after
// it.
type bodyMemory struct {
	// limited is false if there is no limit.
	limited atomic.Bool
	sync.Mutex
	limiter bodymemory.Limiter
	// refused counts the refusals of each class.
	refused [bodymemory.Classes]int64
	// refusedAt is the time of the latest refusal. short is true from the first refusal
	// of a shortage until its end.
	refusedAt time.Time
	short     bool
}

// requestMemory is the memory that is reserved for the body of a request. It is released
// when the last user of the body is done.
type requestMemory struct {
	g           *Gateway
	reservation *bodymemory.Reservation
	// users counts the users of the body. The mutex of the gateway's bodyMemory guards
	// it.
	users int
}

// ReserveBody reserves memory for the body of a caller's request before the body is read.
// If there is none, it returns false and the answer to the caller. The caller of
// ReserveBody is the first user of the body and must call Request.ReleaseBody.
func (g *Gateway) ReserveBody(r *Request, bytes int64) (Answer, bool) {
	retryAfter, ok := g.reserveBody(r, bytes)
	if ok {
		return Answer{}, true
	}
	a := Answer{Code: result.BodyMemoryFull, Ran: model.NotRun, RetryAfter: retryAfter}
	g.logRefusal(g.ports.Clock.Now(), r, g.matchRoute(r.Host, r.Target), a)
	return a, false
}

// reserveBody reserves memory for the body of a request. If there is none, it returns
// false and the time after which the request may be sent again.
func (g *Gateway) reserveBody(r *Request, bytes int64) (retryAfter time.Duration, ok bool) {
	m := &g.bodyMemory
	if !m.accounts(bytes) {
		return 0, true
	}
	now, priority := g.ports.Clock.Now(), g.priorityOf(r.Host, r.Target)
	m.Lock()
	reservation, retryAfter := m.limiter.Reserve(now, priority, bytes, rand.Float64())
	if reservation != nil {
		m.Unlock()
		r.memory = &requestMemory{g: g, reservation: reservation, users: 1}
		return 0, true
	}
	shortageStarts := !m.short
	m.short, m.refusedAt = true, now
	m.refused[bodymemory.Class(priority)]++
	limit, total := m.limiter.Limit(), m.limiter.Total()
	m.Unlock()
	if shortageStarts {
		g.warn(event.BodyMemoryShort, event.Fields{"limit": limit, "reserved": total, "bytes": bytes, "priority": priority}, "the memory for the bodies of requests is used up; requests are refused")
	}
	return retryAfter, false
}

// setLimit sets the limit in bytes; zero means none. Bodies that are reserved stay so.
func (m *bodyMemory) setLimit(bytes int64) {
	m.Lock()
	defer m.Unlock()
	m.limited.Store(bytes > 0)
	m.limiter.SetLimit(bytes)
}

// accounts reports whether a body of the size counts towards the limit.
func (m *bodyMemory) accounts(bytes int64) bool {
	return m.limited.Load() && bytes > UnaccountedBodyBytes
}

// priorityOf returns the priority of a request, of which only the header is known.
func (g *Gateway) priorityOf(host, target string) int {
	if route := g.matchRoute(host, target); route != nil {
		return route.Priority
	}
	return unknownPriority
}

// matchRoute returns the route of a request, or nil if there is none or no configuration
// is known.
func (g *Gateway) matchRoute(host, target string) *routing.Route {
	if v := g.view.Load(); v != nil {
		return v.table.Match(host, pathOf(target))
	}
	return nil
}

// BodyReserved reports whether the body of the request counts towards the limit.
func (r *Request) BodyReserved() bool { return r.memory != nil }

// ResizeBody corrects the reservation when the body has been read. The size must not be
// above the reserved one.
func (r *Request) ResizeBody(bytes int64) {
	if r.memory == nil {
		return
	}
	m := &r.memory.g.bodyMemory
	m.Lock()
	defer m.Unlock()
	m.limiter.Resize(r.memory.g.ports.Clock.Now(), r.memory.reservation, bytes)
}

// RetainBody adds a user of the body. It returns false if the body has no user any more,
// and must then not be used.
func (r *Request) RetainBody() bool {
	if r.memory == nil {
		return true
	}
	m := &r.memory.g.bodyMemory
	m.Lock()
	defer m.Unlock()
	if r.memory.users == 0 {
		return false
	}
	r.memory.users++
	return true
}

// ReleaseBody removes a user of the body. The memory is released with the last one.
func (r *Request) ReleaseBody() {
	if r.memory == nil {
		return
	}
	m := &r.memory.g.bodyMemory
	m.Lock()
	defer m.Unlock()
	r.memory.users--
	if r.memory.users == 0 {
		m.limiter.Release(r.memory.g.ports.Clock.Now(), r.memory.reservation)
	}
}

// updateBodyMemory logs the end of a shortage and updates the gauges.
func (g *Gateway) updateBodyMemory(now time.Time) {
	m := &g.bodyMemory
	if !m.limited.Load() {
		return
	}
	m.Lock()
	held := m.limiter.Held()
	ends := m.short && now.Sub(m.refusedAt) >= shortageEndTime
	if ends {
		m.short = false
	}
	refused := m.refused
	m.Unlock()
	for class, bytes := range held {
		g.ports.Metrics.SetBodyMemory(classNames[class], bytes)
	}
	if ends {
		g.info(event.BodyMemoryRestored, event.Fields{"refused": refused}, "the memory for the bodies of requests suffices again")
	}
}

var classNames = [bodymemory.Classes]string{"0", "1", "2", "3"}

// BodyMemoryStatus is the state of the memory for the bodies of requests.
type BodyMemoryStatus struct {
	LimitBytes int64 `json:"limit_bytes"`
	// HeldBytes and Refused have one element for each priority; the last one stands for
	// all further priorities. Refused counts from the start of the process.
	HeldBytes [bodymemory.Classes]int64 `json:"held_bytes"`
	Refused   [bodymemory.Classes]int64 `json:"refused"`
	// ReleaseRate is the number of bytes released in the last second.
	ReleaseRate int64 `json:"release_rate"`
	Short       bool  `json:"short"`
}

// bodyMemoryStatus returns the state, or nil if there is no limit.
func (g *Gateway) bodyMemoryStatus() *BodyMemoryStatus {
	m := &g.bodyMemory
	if !m.limited.Load() {
		return nil
	}
	m.Lock()
	defer m.Unlock()
	return &BodyMemoryStatus{
		LimitBytes: m.limiter.Limit(), HeldBytes: m.limiter.Held(), Refused: m.refused,
		ReleaseRate: int64(m.limiter.ReleaseRate(g.ports.Clock.Now())), Short: m.short,
	}
}

// countReply counts what a reply reports besides its outcome.
func (g *Gateway) countReply(reply *Reply) {
	if reply.InvalidStatus {
		g.ports.Metrics.AnswerDropped(metrics.DropInvalidStatus)
	}
	if reply.WaitedForBytes {
		g.ports.Metrics.WaitedForUpstreamBytes()
	}
}
