package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// leaveTime is how long an upstream serves after its entry was removed without notice.
const leaveTime = 4 * time.Second

// waitForEnd is the reply of an upstream that does not answer before the attempt ends.
func waitForEnd(ctx context.Context, c Call) Reply {
	select {
	case <-ctx.Done():
		return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Cancelled}
	case <-time.After(time.Until(c.Deadline)):
		return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.TimedOut}
	}
}

// serveAndLeave sends a request whose caller leaves after the given time.
func serveAndLeave(t *testing.T, g *Gateway, r *Request, patience time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	g.Serve(ctx, r)
}

// TestPlannedReleaseRefusesNoRequest guards against refusing, as one that crashes
// upstreams, a request that many callers send alike, because some callers left before the
// answer and the upstreams were then replaced without notice (review case 1).
func TestPlannedReleaseRefusesNoRequest(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulate(t, func(t *testing.T, ff *fakeFleet) {
				random := rand.New(rand.NewPCG(seed, 0))
				ff.configure(1, route("/x/", "s", true))
				for i := range 7 {
					ff.addUpstream(directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", Started: 1})
				}
				ff.answer = func(ctx context.Context, c Call) Reply {
					var work time.Duration
					ff.withLock(func() { work = time.Duration(random.ExpFloat64() * float64(50*time.Millisecond)) })
					select {
					case <-time.After(work):
						return successReply(c, "")
					case <-ctx.Done():
						return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Cancelled}
					}
				}
				gateways := startInstances(ff, 3)
				stop := make(chan struct{})
				var callers sync.WaitGroup
				callers.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-stop:
							return
						case <-time.After(5 * time.Millisecond):
						}
						patience := 800 * time.Millisecond
						if i%3 == 0 {
							ff.withLock(func() { patience = time.Duration(random.Int64N(int64(100 * time.Millisecond))) })
						}
						callers.Go(func() {
							serveAndLeave(t, gateways[i%len(gateways)], request("/x/popular"), patience)
						})
					}
				})
				for i := range 9 {
					time.Sleep(time.Second)
					ff.addUpstream(directory.Upstream{ID: fmt.Sprint("u", 7+i), Service: "s", Started: 1})
					leaving := fmt.Sprint("u", i)
					ff.unlist(leaving)
					time.AfterFunc(leaveTime, func() { ff.withLock(func() { ff.crashed[leaving+":1"] = true }) })
				}
				time.Sleep(2 * leaveTime)
				close(stop)
				callers.Wait()
				for _, g := range gateways {
					must.Eq(t, result.OK, g.Serve(t.Context(), request("/x/popular")).Code)
				}
			})
		})
	}
}

// TestPlannedRemovalIsNoCrash guards against a crash record of a request that an upstream
// did not answer in time, because the upstream then left as planned. No other request
// shows that the upstream runs.
func TestPlannedRemovalIsNoCrash(t *testing.T) {
	// end is the reply of an attempt that outlasts its upstream.
	end := Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.ConnectionLost, ConnectionBroken: true}
	for name, c := range map[string]struct {
		patience, timeout time.Duration
		// leaveAfter is the time from the request to the removal of the upstream.
		leaveAfter time.Duration
		// drains makes the upstream announce that it leaves.
		drains bool
		// restarts makes a new process start under the id of the upstream when it has left.
		restarts bool
		// breaks makes the attempt end with the upstream.
		breaks bool
	}{
		"caller left before the removal": {patience: 300 * time.Millisecond, timeout: 800 * time.Millisecond, leaveAfter: 2 * time.Second},
		"caller left after the removal":  {patience: 700 * time.Millisecond, timeout: 800 * time.Millisecond, leaveAfter: 400 * time.Millisecond},
		"timed out before the removal":   {patience: time.Hour, timeout: 800 * time.Millisecond, leaveAfter: 2 * time.Second},
		"timed out after the removal":    {patience: time.Hour, timeout: 800 * time.Millisecond, leaveAfter: 500 * time.Millisecond},
		"timed out after the end":        {patience: time.Hour, timeout: 8 * time.Second, leaveAfter: 3 * time.Second},
		"restarts under its id":          {patience: 300 * time.Millisecond, timeout: 800 * time.Millisecond, leaveAfter: 2 * time.Second, restarts: true},
		"timed out after its restart":    {patience: time.Hour, timeout: 8 * time.Second, leaveAfter: 500 * time.Millisecond, restarts: true},
		"drains, restarts":               {patience: 300 * time.Millisecond, timeout: 800 * time.Millisecond, leaveAfter: time.Second, drains: true, restarts: true},
		"broken by its end":              {patience: time.Hour, timeout: 8 * time.Second, leaveAfter: 200 * time.Millisecond, breaks: true},
		"drains, broken by its end":      {patience: time.Hour, timeout: 8 * time.Second, leaveAfter: 200 * time.Millisecond, drains: true, breaks: true},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T, ff *fakeFleet) {
				r := route("/x/", "s", true)
				r.Timeout = time.Minute
				ff.configure(1, r)
				g := ff.start(0, 1)
				time.Sleep(propagationTime)
				for n := range 3 {
					id := fmt.Sprint("u", n)
					u := directory.Upstream{ID: id, Service: "s", Started: 1}
					ended := make(chan struct{})
					ff.withLock(func() {
						ff.answer = func(ctx context.Context, call Call) Reply {
							if !c.breaks {
								return waitForEnd(ctx, call)
							}
							<-ended
							return end
						}
					})
					ff.addUpstream(u)
					time.Sleep(propagationTime)
					time.AfterFunc(c.leaveAfter, func() {
						if !c.drains {
							ff.unlist(id)
							return
						}
						leaving := u
						leaving.State = directory.Draining
						ff.addUpstream(leaving)
					})
					time.AfterFunc(c.leaveAfter+leaveTime, func() {
						ff.withLock(func() { ff.crashed[id+":1"] = true })
						close(ended)
						if c.drains {
							ff.unlist(id)
						}
						if c.restarts {
							ff.withLock(func() { delete(ff.crashed, id+":1") })
							next := u
							next.Started = 2
							ff.addUpstream(next)
						}
					})
					slow := request("/x/slow")
					slow.CallerTimeout = c.timeout
					serveAndLeave(t, g, slow, c.patience)
					time.Sleep(c.leaveAfter + 3*leaveTime)
					ff.unlist(id)
					time.Sleep(propagationTime)
				}
				ff.withLock(func() { ff.answer = func(_ context.Context, call Call) Reply { return successReply(call, "") } })
				ff.addUpstream(directory.Upstream{ID: "last", Service: "s", Started: 1})
				time.Sleep(propagationTime)
				must.Eq(t, result.OK, g.Serve(t.Context(), request("/x/slow")).Code)
			})
		})
	}
}
