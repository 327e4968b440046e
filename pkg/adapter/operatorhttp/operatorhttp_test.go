package operatorhttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"go.uber.org/goleak"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

type fakeInspector struct {
	ready bool
	panic bool
}

func (f *fakeInspector) Ready() (bool, string) {
	if f.ready {
		return true, ""
	}
	return false, "no member has answered"
}

func (f *fakeInspector) Status() any {
	if f.panic {
		panic("broken")
	}
	return map[string]int{"members": 9}
}

func (f *fakeInspector) ExplainRequest(q port.ExplainQuery) (any, error) { return q, nil }

func (f *fakeInspector) Explain(service, priority, shard string) (any, error) {
	switch service {
	case "none":
		return nil, result.Errorf(result.UnknownService, "no service %q", service)
	case "down":
		return nil, result.Errorf(result.NotReady, "not ready")
	}
	if priority == "none" {
		return nil, result.Errorf(result.UnknownPriority, "no priority %q", priority)
	}
	return []string{service, priority, shard}, nil
}

// TestStatusAndBodyOfPaths guards against a probe whose HTTP status contradicts its
// body, and against errors that are sent with the status of a success.
func TestStatusAndBodyOfPaths(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	inspector := &fakeInspector{}
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "m 1\n") })
	handler := NewHandler(inspector, metrics, false, log)
	get := func(path string) (int, string) {
		rec := httptest.NewRecorder()
		handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, path, nil))
		return rec.Code, rec.Body.String()
	}
	expect := func(path string, status int, body string) {
		t.Helper()
		gotStatus, gotBody := get(path)
		must.Eq(t, status, gotStatus)
		must.Eq(t, body, gotBody)
	}
	expect("/live", 200, "live\n")
	expect("/ready", 503, `{"ready":false,"reason":"no member has answered"}`)
	inspector.ready = true
	expect("/ready", 200, `{"ready":true}`)
	expect("/metrics", 200, "m 1\n")
	expect("/status", 200, `{"members":9}`)
	expect("/explain?service=s&priority=p&shard=x", 200, `["s","p","x"]`)
	expect("/explain?service=none", 404, `{"code":2001,"code_name":"unknown_service","detail":"no service \"none\""}`)
	expect("/explain?service=s&priority=none", 400, `{"code":2003,"code_name":"unknown_priority","detail":"no priority \"none\""}`)
	expect("/explain?service=down", 503, `{"code":3005,"code_name":"not_ready","detail":"not ready"}`)
	expect("/explain?host=h&path=/p", 200, `{"Method":"GET","Host":"h","Path":"/p","Size":-1,"Repeated":false,"All":false}`)
	expect("/explain?host=h&path=/p&method=POST&size=5&repeated=true&all=true", 200, `{"Method":"POST","Host":"h","Path":"/p","Size":5,"Repeated":true,"All":true}`)
	for _, query := range []string{"host=h", "host=h&path=p", "host=h&path=/p&service=s", "host=h&path=/p&size=-1", "host=h&path=/p&all=x"} {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/explain?"+query, nil))
		must.Eq(t, 400, answer.Code, must.Sprint(query))
	}
	expect("/explain", 400, `{"code":2000,"code_name":"bad_request","detail":"the parameter service is required"}`)
	status, _ := get("/v1/query")
	must.Eq(t, 404, status)

	inspector.panic = true
	expect("/status", 500, `{"code":5000,"code_name":"internal","detail":"the request failed inside the instance"}`)
	must.Eq(t, int(event.InternalError), hook.LastEntry().Data["event"].(int))
}

// TestServerStops guards against a listener or goroutine that is left after Stop, and
// against a Start that succeeds although the address is in use.
func TestServerStops(t *testing.T) {
	defer goleak.VerifyNone(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	handler := NewHandler(&fakeInspector{ready: true}, http.NotFoundHandler(), false, log)
	server := NewServer("127.0.0.1:0", handler, log)
	must.NoError(t, server.Start(context.Background()))
	address := server.Address().String()
	must.Error(t, NewServer(address, handler, log).Start(context.Background()))

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/ready")
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, 200, resp.StatusCode)

	must.NoError(t, server.Stop(context.Background()))
	_, err = client.Get("http://" + address + "/ready")
	must.Error(t, err)
}

// TestProfiles guards against profiles that are served although profiling is off,
// and against a profile that cannot be read.
func TestProfiles(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	for _, profiling := range []bool{false, true} {
		handler := NewHandler(&fakeInspector{ready: true}, http.NotFoundHandler(), profiling, log)
		for _, name := range []string{"allocs", "goroutine", "heap"} {
			rec := httptest.NewRecorder()
			handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/debug/pprof/"+name+"?debug=1", nil))
			if !profiling {
				must.Eq(t, http.StatusNotFound, rec.Code, must.Sprint(name))
				continue
			}
			must.Eq(t, http.StatusOK, rec.Code, must.Sprint(name))
			must.StrContains(t, rec.Body.String(), "profile")
		}
	}
}
