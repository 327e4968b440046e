package app

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStopPlan guards against a plan that exceeds the stop time, however short, that leaves
// no time to write the last answers, or that a longer stop time extends.
func TestStopPlan(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, stopTime := range []time.Duration{0, time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 6500 * time.Millisecond, time.Hour} {
		p := newStopPlan(start, stopTime)
		must.False(t, p.noticeUntil().After(p.endBy()), must.Sprint(stopTime))
		must.False(t, p.answerBy().After(p.endBy()), must.Sprint(stopTime))
		must.False(t, p.endBy().After(start.Add(stopTime)), must.Sprint(stopTime))
		must.False(t, p.answerBy().Before(start), must.Sprint(stopTime))
	}
	p := newStopPlan(start, 6*time.Second)
	times := func() []time.Duration {
		return []time.Duration{p.noticeUntil().Sub(start), p.answerBy().Sub(start), p.endBy().Sub(start)}
	}
	usual := []time.Duration{2200 * time.Millisecond, 5100 * time.Millisecond, 5300 * time.Millisecond}
	must.Eq(t, usual, times())
	must.False(t, p.shorten(8*time.Second))
	must.Eq(t, usual, times())
	must.True(t, p.shorten(4*time.Second))
	must.False(t, p.shorten(6*time.Second))
	must.Eq(t, []time.Duration{2200 * time.Millisecond, 3100 * time.Millisecond, 3300 * time.Millisecond}, times())
}

// TestChangedStopTime guards against a stop that follows the stop time with which the
// process started, although the settings file has changed since: the platform then ends the
// process by force while it still accepts requests, and requests that ran on their
// upstreams get no answer. It also guards against connections that are closed while callers
// send on them: until the end of the stop they are told whether their requests have run.
func TestChangedStopTime(t *testing.T) {
	const old, changed = 6.0, 4.0
	hangUp := func() { must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP)) }
	noChange := func(*testing.T, *runningGateway) {}
	for name, test := range map[string]struct {
		beforeStop func(*testing.T, *runningGateway)
		duringStop func(*testing.T, *runningGateway)
		stopS      float64
	}{
		"shorter with a signal": {func(t *testing.T, g *runningGateway) {
			g.setStopTime(t, changed)
			hangUp()
			time.Sleep(200 * time.Millisecond)
		}, noChange, changed},
		"shorter without a signal, just before the stop": {func(t *testing.T, g *runningGateway) {
			g.setStopTime(t, changed)
		}, noChange, changed},
		"shorter during the stop": {noChange, func(t *testing.T, g *runningGateway) {
			g.setStopTime(t, changed)
			hangUp()
		}, changed},
		"longer during the stop": {noChange, func(t *testing.T, g *runningGateway) {
			g.setStopTime(t, 30)
			hangUp()
		}, old},
		"a fraction": {func(t *testing.T, g *runningGateway) {
			g.setStopTime(t, 3.5)
			hangUp()
		}, noChange, 3.5},
		"invalid and then shorter": {func(t *testing.T, g *runningGateway) {
			g.writeSettings(t, []byte(`{"stop_s":`))
			hangUp()
			time.Sleep(200 * time.Millisecond)
			g.setStopTime(t, changed)
			hangUp()
		}, noChange, changed},
		"shorter and then invalid": {func(t *testing.T, g *runningGateway) {
			g.setStopTime(t, changed)
			hangUp()
			time.Sleep(200 * time.Millisecond)
			g.writeSettings(t, nil)
			hangUp()
		}, noChange, changed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := &upstreamStub{delay: 700 * time.Millisecond, ran: make(map[string]int)}
			g := startGateway(t, u)
			// Each caller opens its connection before the stop and sends one request after it.
			const callers, spacing = 80, 45 * time.Millisecond
			// arrivalTolerance is how late a request may arrive on a busy machine.
			const arrivalTolerance = 300 * time.Millisecond
			var running sync.WaitGroup
			var mu sync.Mutex
			answered := make(map[string]bool)
			begin := make(chan struct{})
			for i := range callers {
				running.Go(func() {
					got := sendTwiceOnConnection(fmt.Sprint(i), g.settings.CallerAddress, begin, time.Duration(i)*spacing)
					mu.Lock()
					defer mu.Unlock()
					maps.Copy(answered, got)
				})
			}
			time.Sleep(time.Second)
			test.beforeStop(t, g)
			start := time.Now()
			close(begin)
			time.AfterFunc(500*time.Millisecond, func() { test.duringStop(t, g) })
			must.NoError(t, g.stop())
			must.Less(t, time.Duration(test.stopS*float64(time.Second)), time.Since(start))
			running.Wait()
			u.mu.Lock()
			defer u.mu.Unlock()
			must.Greater(t, callers, len(u.ran))
			end := newStopPlan(start, time.Duration(test.stopS*float64(time.Second))).endBy()
			for i := range callers {
				if sent := start.Add(time.Duration(i) * spacing); sent.Before(end.Add(-arrivalTolerance)) {
					must.True(t, answered[fmt.Sprint(i, "-1")], must.Sprint("no answer to the request sent ", sent.Sub(start), " after the signal"))
				}
			}
			for id, n := range u.ran {
				must.Eq(t, 1, n, must.Sprint(id))
				must.True(t, answered[id], must.Sprint("request ", id, " ran and got no answer"))
			}
		})
	}
}

// sendTwiceOnConnection sends a request, and another one on the same connection at the given
// time after begin is closed. It maps the id of each to whether it got a response.
func sendTwiceOnConnection(name, address string, begin <-chan struct{}, after time.Duration) map[string]bool {
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	send := func(id string) bool {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
		if err != nil {
			return false
		}
		req.Host = "a.example"
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", "1200")
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	}
	answered := map[string]bool{name + "-0": send(name + "-0")}
	<-begin
	time.Sleep(after)
	answered[name+"-1"] = send(name + "-1")
	return answered
}
