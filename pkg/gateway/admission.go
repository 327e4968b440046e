package gateway

import (
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/admission"
	"github.com/sardineturn/sardineturn/pkg/event"
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

// admit reports whether the request may run now. If not, it returns the refusal.
func (r *requestRun) admit(now time.Time) (refusal Answer, ok bool) {
	if !r.shedsLoad {
		return Answer{}, true
	}
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

// endAdmission records how an admitted request ended that began at the given time.
func (r *requestRun) endAdmission(began time.Time, a Answer) {
	if !r.shedsLoad {
		return
	}
	now := r.now()
	c := &r.g.admission
	c.mu.Lock()
	c.controller.End(now, r.route.Name, now.Sub(began), r.admissionOutcome(now, a))
	changes := c.controller.TakeChanges()
	c.mu.Unlock()
	r.g.logAdmissionChanges(changes)
}

func (r *requestRun) admissionOutcome(now time.Time, a Answer) admission.Outcome {
	answered := a.Merged != nil || a.Reply != nil
	switch {
	case r.callerLeft, r.query.NotRun():
		return admission.Neutral
	case !answered:
		return admission.Unanswered
	case now.After(r.answerBy.Add(answerTolerance)):
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
	return g.admission.controller.Status()
}
