package gateway

import (
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/admission"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// admissionControl limits the requests that run at the same time while upstreams are
// overloaded. mu guards controller.
type admissionControl struct {
	mu         sync.Mutex
	controller *admission.Controller
}

// repeated reports whether the caller has probably sent the request before: it has spent at
// least the shortest time that refused callers are told to wait.
func (r *requestRun) repeated() bool { return r.callerElapsed >= minRefusalDelay }

// answerTolerance is how long after answerBy an answer still counts as in time for
// admission control. Partial answers are sent at answerBy.
const answerTolerance = 5 * time.Millisecond

// executeIfAdmitted executes the request if admission control admits it.
func (r *requestRun) executeIfAdmitted() (fanout.Verdict, Answer) {
	began := r.now()
	if refusal, ok := r.admit(began); !ok {
		return fanout.TooFew, refusal
	}
	ended := false
	defer func() {
		// The HTTP server survives a panic, after which the request must not count as
		// running.
		if !ended {
			r.endAdmission(began, admission.Neutral)
		}
	}()
	verdict, a := r.executeAdmitted()
	ended = true
	r.endAdmission(began, r.admissionOutcome(r.now(), a))
	return verdict, a
}

// admit reports whether the request may run now. If not, it returns the refusal.
func (r *requestRun) admit(now time.Time) (refusal Answer, ok bool) {
	c := &r.g.admission
	c.mu.Lock()
	v := c.controller.Begin(now, r.admissionRoute(), r.repeated())
	changes := c.controller.TakeChanges()
	c.mu.Unlock()
	r.g.logAdmissionChanges(changes)
	if v.Admitted {
		return Answer{}, true
	}
	return overloadRefusal(v), false
}

func overloadRefusal(v admission.Verdict) Answer {
	a := newRefusal(result.Overloaded)
	a.RetryAfter = max(a.RetryAfter, v.RetryAfter)
	return a
}

func (r *requestRun) admissionRoute() admission.Route {
	return admission.Route{
		Name: r.route.Name, Group: r.services[0], Priority: r.route.Priority,
		LatencyTarget: r.route.LatencyTarget, Timeout: r.deadline.Sub(r.request.Arrived),
	}
}

// endAdmission records the end of an admitted request that began at the given time.
func (r *requestRun) endAdmission(began time.Time, o admission.Outcome) {
	now := r.now()
	c := &r.g.admission
	c.mu.Lock()
	c.controller.End(now, r.admissionRoute(), now.Sub(began), o)
	changes := c.controller.TakeChanges()
	c.mu.Unlock()
	r.g.logAdmissionChanges(changes)
}

// admissionOutcome returns what the end of a request shows about the load. A caller that
// leaves before its answer is due shows nothing; one that leaves later has waited too long.
func (r *requestRun) admissionOutcome(now time.Time, a Answer) admission.Outcome {
	answered := a.Merged != nil || a.Reply != nil
	late := now.After(r.answerBy.Add(answerTolerance))
	switch {
	case r.callerLeft && !late, r.query.NotRun():
		return admission.Neutral
	case !answered:
		return admission.Unanswered
	case late:
		return admission.Late
	default:
		return admission.InTime
	}
}

func (g *Gateway) logAdmissionChanges(changes []admission.Change) {
	for _, c := range changes {
		g.ports.Metrics.AdmissionChanged(c.Goal.String())
		g.info(event.AdmissionChanged, event.Fields{"route": c.Route, "goal": c.Goal.String(), "limit": c.Limit}, "the limit on the requests of a route that run at the same time changed its goal")
	}
}

// admissionStatus returns the routes that have a limit.
func (g *Gateway) admissionStatus() []admission.RouteStatus {
	g.admission.mu.Lock()
	defer g.admission.mu.Unlock()
	return g.admission.controller.Status(g.ports.Clock.Now())
}
