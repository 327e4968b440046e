package upstream

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func startHost(t *testing.T, change func(*Behaviour)) *Host {
	b := DefaultBehaviour()
	b.AcceptCostMS = 0
	b.Service = map[string]ServiceTime{"": {}, "slow": {MedianMS: 300_000}}
	change(&b)
	h, err := StartHost("127.0.0.1", "u", 2, 0, "127.0.0.1:0", b, 1)
	must.NoError(t, err)
	t.Cleanup(h.Close)
	return h
}

func newRequest(operation string) request {
	return request{
		Attempt: "0123", Service: "s", Operation: operation, Snapshot: "v1", Shard: "a",
		Payload: json.RawMessage(`{"request":"r","priority":"counter"}`), DeadlineMS: 600_000,
	}
}

func post(t *testing.T, address, path string, body any) []byte {
	encoded, err := json.Marshal(body)
	must.NoError(t, err)
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(encoded))
	must.NoError(t, err)
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return out
}

func executeState(t *testing.T, u *Upstream, req request) string {
	var a answer
	must.NoError(t, json.Unmarshal(post(t, u.Address(), "/v1/execute", req), &a))
	must.Eq(t, a.Ran == "ran", a.State == "ok" || a.State == "failed")
	return a.State
}

func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// TestIndexAndRepartition guards against a stand-in that runs requests for shards or
// snapshots that it does not hold.
func TestIndexAndRepartition(t *testing.T) {
	h := startHost(t, func(*Behaviour) {})
	a, b := h.Upstreams[0], h.Upstreams[1]
	post(t, h.AdminAddress(), "/admin/index?upstream=u0", map[string][]string{"v1": {"a"}})
	post(t, h.AdminAddress(), "/admin/index?upstream=u1", map[string][]string{"v2": {"a"}})
	must.Eq(t, "ok", executeState(t, a, newRequest("op")))
	must.Eq(t, "snapshot_missing", executeState(t, b, newRequest("op")))
	post(t, h.AdminAddress(), "/admin/repartition", shardsRequest{Snapshot: "v1", From: "u0", To: "u1", Shards: []string{"a"}})
	must.Eq(t, "shard_missing", executeState(t, a, newRequest("op")))
	must.Eq(t, "ok", executeState(t, b, newRequest("op")))
}

// TestSlotsQueueAndCancel guards against more running requests than slots, a queue
// without a bound, and a slot that is not released when its request's connection closes.
func TestSlotsQueueAndCancel(t *testing.T) {
	h := startHost(t, func(b *Behaviour) { b.Slots, b.Queue = 1, 1 })
	u := h.Upstreams[0]
	client := &http.Client{Transport: &http.Transport{}}
	body, err := json.Marshal(newRequest("slow"))
	must.NoError(t, err)
	for range 2 {
		go func() {
			resp, err := client.Post("http://"+u.Address()+"/v1/execute", "application/json", bytes.NewReader(body))
			if err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
	waitFor(func() bool { return u.Counters().Started == 1 && u.slots.Waiting() == 1 })
	must.Eq(t, "shed", executeState(t, u, newRequest("op")))
	must.Eq(t, 1, u.Counters().Started)

	u.DropConnections()
	waitFor(func() bool { return u.slots.Held() == 0 })
	must.Eq(t, "cancelled", h.Log.page(0, 10, false).Executions[0].Outcome)
	must.Eq(t, "ok", executeState(t, u, newRequest("op")))
}

// TestDeadlines guards against a stand-in that runs requests whose deadline has
// passed.
func TestDeadlines(t *testing.T) {
	h := startHost(t, func(*Behaviour) {})
	late := newRequest("op")
	late.DeadlineUnixMS = time.Now().Add(-time.Second).UnixMilli()
	must.Eq(t, "expired", executeState(t, h.Upstreams[0], late))
	must.Eq(t, 0, h.Upstreams[0].Counters().Started)
}

// TestCrashRefusesThenReturns guards against a simulated crash that leaves connections
// open or is not logged, and against an upstream that accepts no connections after the
// crash.
func TestCrashRefusesThenReturns(t *testing.T) {
	h := startHost(t, func(b *Behaviour) { b.CrashRefuseMS = 20 })
	u := h.Upstreams[0]
	req := newRequest("op")
	req.Payload = json.RawMessage(`"crash-upstream"`)
	req.OrderKey = "o"
	body, err := json.Marshal(req)
	must.NoError(t, err)
	_, err = http.Post("http://"+u.Address()+"/v1/execute", "application/json", bytes.NewReader(body))
	must.Error(t, err)
	waitFor(func() bool {
		resp, err := http.Post("http://"+u.Address()+"/v1/execute", "application/json", bytes.NewReader([]byte("{}")))
		if err == nil {
			_ = resp.Body.Close()
		}
		return err == nil
	})
	waitFor(func() bool { return h.Log.page(0, 1, true).Executions[0].Outcome == outcomeCrashed })
	must.Eq(t, 1, u.Counters().Crashes)
	must.MapEmpty(t, h.Log.duplicates())
}

// TestReportLags guards against health and load endpoints that always report the true
// present state. With these, tests could not check how the query tier handles outdated
// and false reports.
func TestReportLags(t *testing.T) {
	h := startHost(t, func(b *Behaviour) { b.StatusLagMS = 600_000 })
	u := h.Upstreams[0]
	must.False(t, u.report().Draining)
	post(t, h.AdminAddress(), "/admin/faults", map[string]bool{"draining": true})
	must.Eq(t, "draining", executeState(t, u, newRequest("op")))
	must.False(t, u.report().Draining)
	post(t, h.AdminAddress(), "/admin/faults", map[string]any{"status_lag_ms": 0})
	must.True(t, u.report().Draining)
	post(t, h.AdminAddress(), "/admin/faults", map[string]any{"misreport": Report{InFlight: 7}})
	must.Eq(t, 7, u.report().InFlight)
}

// TestSetFaultsKeepsOthers guards against a call of /admin/faults that resets settings
// which it does not name.
func TestSetFaultsKeepsOthers(t *testing.T) {
	h := startHost(t, func(b *Behaviour) { b.Slots = 2 })
	post(t, h.AdminAddress(), "/admin/faults?upstream=u1", map[string]any{"slowdown": 20, "shard_slowdown": map[string]float64{"a": 5}})
	must.Eq(t, 1, h.Upstreams[0].Behaviour().Slowdown)
	b := h.Upstreams[1].Behaviour()
	must.Eq(t, 20, b.Slowdown)
	must.Eq(t, 2, b.Slots)
	must.MapLen(t, 2, b.Service)
}
