package admission

import "time"

// Preview returns the verdict that Begin would return, and the state of the route, without
// changing anything. It runs Begin on a copy.
func (c *Controller) Preview(now time.Time, r Route, repeated bool) (Verdict, RouteStatus) {
	status := RouteStatus{Route: r.Name, Goal: NoLimit.String()}
	copied := NewController()
	if s := c.routes[r.Name]; s != nil {
		state := *s
		copied.routes[r.Name] = &state
		status.Running = s.running
	} else if len(c.routes) >= maxRoutes {
		return Verdict{Admitted: true}, status
	}
	v := copied.Begin(now, r, repeated)
	s := copied.routes[r.Name]
	status.Goal, status.Limit = s.goal.String(), s.limit
	return v, status
}
