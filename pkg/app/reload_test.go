package app

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/settings"
)

// TestStopPlan guards against a plan that exceeds the stop time, however short, that leaves
// no time to write the last answers, or that a longer stop time extends.
func TestStopPlan(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, stopTime := range []time.Duration{0, time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 6500 * time.Millisecond, time.Hour} {
		p := newStopPlan(start, stopTime)
		must.False(t, p.noticeUntil().After(p.acceptUntil()), must.Sprint(stopTime))
		must.False(t, p.answerBy().After(p.acceptUntil()), must.Sprint(stopTime))
		must.False(t, p.acceptUntil().After(p.closeBy()), must.Sprint(stopTime))
		must.False(t, p.closeBy().After(start.Add(stopTime)), must.Sprint(stopTime))
		must.False(t, p.answerBy().Before(start), must.Sprint(stopTime))
	}
	p := newStopPlan(start, 6*time.Second)
	times := func() []time.Duration {
		return []time.Duration{p.noticeUntil().Sub(start), p.answerBy().Sub(start), p.acceptUntil().Sub(start), p.closeBy().Sub(start)}
	}
	usual := []time.Duration{2200 * time.Millisecond, 5100 * time.Millisecond, 5300 * time.Millisecond, 5400 * time.Millisecond}
	must.Eq(t, usual, times())
	must.False(t, p.shorten(8*time.Second))
	must.Eq(t, usual, times())
	must.True(t, p.shorten(4*time.Second))
	must.False(t, p.shorten(6*time.Second))
	must.Eq(t, []time.Duration{2200 * time.Millisecond, 3100 * time.Millisecond, 3300 * time.Millisecond, 3400 * time.Millisecond}, times())
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
			end := newStopPlan(start, time.Duration(test.stopS*float64(time.Second))).acceptUntil()
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

// TestChangedSettingsReachTheProcess guards against limits of the process and a log level
// that stay as they were at its start, and against a change of what the process cannot
// change that is not reported as such.
func TestChangedSettingsReachTheProcess(t *testing.T) {
	oldProcessors, oldMemory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	defer func() {
		runtime.GOMAXPROCS(oldProcessors)
		debug.SetMemoryLimit(oldMemory)
	}()
	g := startGateway(t, &upstreamStub{ran: make(map[string]int)})
	s := g.settings
	s.Cores, s.MemoryMB = 1.5, 100
	g.changeSettings(t, s)
	// Without a signal the change is noticed at the next poll.
	time.Sleep(settingsPollInterval + 500*time.Millisecond)
	must.Eq(t, 2, runtime.GOMAXPROCS(0))
	must.Eq(t, 80<<20, debug.SetMemoryLimit(-1))
	must.Eq(t, bodyMemory(s), g.status(t).BodyMemory.LimitBytes)
	must.NoError(t, g.stop())
}

// gatewayStatus is a part of the status that a gateway reports.
type gatewayStatus struct {
	ConfigVersion int `json:"config_version"`
	BodyMemory    struct {
		LimitBytes int64 `json:"limit_bytes"`
	} `json:"body_memory"`
}

func (g *runningGateway) status(t *testing.T) gatewayStatus {
	t.Helper()
	resp, err := http.Get("http://" + g.settings.OperatorAddress + "/status")
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var s gatewayStatus
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

// TestChangedStoreAddress guards against a gateway that keeps the configuration of before
// the store's address changed, because it goes on reading the old address. The address
// changes, then to one that refuses connections and back, and then while no store answers.
func TestChangedStoreAddress(t *testing.T) {
	g := startGateway(t, &upstreamStub{ran: make(map[string]int)})
	awaitVersion := func(version int) {
		t.Helper()
		for range 300 {
			if g.status(t).ConfigVersion == version {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatal("version ", version, " is not in force")
	}
	awaitVersion(1)
	setAddress := func(address string) {
		s := g.settings
		s.StoreAddress = address
		g.changeSettings(t, s)
		must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	}
	second, third := httptest.NewServer(g.store), httptest.NewServer(g.store)
	defer third.Close()
	closeStore := func(s *httptest.Server) {
		s.CloseClientConnections()
		s.Close()
	}
	setAddress(second.Listener.Addr().String())
	time.Sleep(200 * time.Millisecond)
	closeStore(g.storeServer)
	g.store.putConfig(2)
	awaitVersion(2)

	setAddress(fmt.Sprint("127.0.0.1:", freePort(t)))
	time.Sleep(500 * time.Millisecond)
	setAddress(second.Listener.Addr().String())
	g.store.putConfig(3)
	awaitVersion(3)

	closeStore(second)
	time.Sleep(500 * time.Millisecond)
	setAddress(third.Listener.Addr().String())
	g.store.putConfig(4)
	awaitVersion(4)
	must.NoError(t, g.stop())
}

// TestFixedSettings guards against a setting that the process cannot change and that is
// taken as in force, and against one that it can change and that is not.
func TestFixedSettings(t *testing.T) {
	s := settings.Gateway{Name: "a", CallerAddress: "127.0.0.1:1", FirstStart: true, StopS: 6}
	next := s
	next.Name, next.CallerAddress, next.FirstStart, next.StopS = "b", "127.0.0.1:2", false, 4
	inForce, fixed := s.AtRunTime(next)
	must.Eq(t, []string{"name", "caller_address"}, fixed)
	s.StopS = 4
	must.Eq(t, s, inForce)
}

// TestLogLevelChanges guards against a log level that stays as it was at the start.
func TestLogLevelChanges(t *testing.T) {
	var out bytes.Buffer
	log, err := jsonLogger("error", &out, "a")
	must.NoError(t, err)
	log.Info("first")
	setLogLevel(log, "info")
	log.Info("second")
	must.StrNotContains(t, out.String(), "first")
	must.StrContains(t, out.String(), "second")
}
