package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/order"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// fakeHandler records the queries and orders that it gets, and returns fixed
// answers.
type fakeHandler struct {
	queries []model.Query
	orders  []port.OrderSubmission
	answer  model.Answer
	// block, if not nil, makes Query send a value on it and then wait for a value
	// before it returns.
	block chan struct{}
}

func (f *fakeHandler) Query(_ context.Context, q model.Query) model.Answer {
	f.queries = append(f.queries, q)
	if f.block != nil {
		f.block <- struct{}{}
		<-f.block
	}
	return f.answer
}

func (f *fakeHandler) IssueTicket(order.Spec) (order.Ticket, time.Duration, error) {
	return order.Ticket{}, 0, result.Errorf(result.TicketLimit, "full")
}

func (f *fakeHandler) SubmitOrder(_ context.Context, o port.OrderSubmission) port.OrderAnswer {
	f.orders = append(f.orders, o)
	return port.OrderAnswer{Code: result.OutcomeUnknown, Ran: model.RunUnknown}
}

func newTestHandler(f *fakeHandler, maxConcurrent int) http.Handler {
	return NewHandler(f, port.SystemClock{}, Config{
		MaxBodyBytes:  200,
		MaxConcurrent: maxConcurrent,
		RetryDelay:    func() time.Duration { return 1500 * time.Millisecond },
	})
}

func post(h http.Handler, path, body string) (*httptest.ResponseRecorder, Status) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	var st Status
	_ = json.Unmarshal(w.Body.Bytes(), &st)
	return w, st
}

// TestBadInputIsRefused guards against malformed requests that are passed to the
// handler, and against refusals without a result code.
func TestBadInputIsRefused(t *testing.T) {
	cases := []struct {
		path, body string
		status     int
		code       result.Code
	}{
		{"/v1/query", `{`, 400, result.BadRequest},
		{"/v1/query", `{"servce":"s"}`, 400, result.BadRequest},
		{"/v1/query", `{"service":"s"} {}`, 400, result.BadRequest},
		{"/v1/query", `{"service":7}`, 400, result.BadRequest},
		{"/v1/query", `{"service":"s","deadline_ms":-1}`, 400, result.DeadlineOutOfBounds},
		{"/v1/query", `{"service":"s","deadline_ms":99999999}`, 400, result.DeadlineOutOfBounds},
		{"/v1/query", `{"payload":"` + strings.Repeat("x", 200) + `"}`, 413, result.BodyTooLarge},
		{"/v1/orders", `{"service":"s"}`, 400, result.TicketRequired},
		{"/v1/orders/ticket", `{"service":"s"}`, 503, result.TicketLimit},
	}
	for _, c := range cases {
		f := &fakeHandler{}
		w, st := post(newTestHandler(f, 1), c.path, c.body)
		must.Eq(t, c.status, w.Code, must.Sprint(c.body))
		must.Eq(t, int(c.code), st.Code, must.Sprint(c.body))
		must.Eq(t, model.NotRun, st.Ran)
		must.SliceEmpty(t, f.queries)
		must.SliceEmpty(t, f.orders)
	}
}

// TestAnswerFieldsReachCaller guards against an answer that loses its coverage,
// snapshot or retry delay before it reaches the caller.
func TestAnswerFieldsReachCaller(t *testing.T) {
	f := &fakeHandler{answer: model.Answer{
		Code: result.PartialAnswer, Ran: model.Ran, Snapshot: "v7", Revision: 3,
		Coverage:   model.Coverage{Answered: 1, Total: 2, Missing: []model.MissingShard{{Shard: "b", Reason: result.UpstreamLost}}},
		Results:    []model.ShardOutcome{{Shard: "a", Code: result.OK, Result: json.RawMessage(`{"n":1}`)}},
		RetryAfter: 1100 * time.Millisecond,
	}}
	before := time.Now()
	w, st := post(newTestHandler(f, 1), "/v1/query", `{"service":"s","operation":"o","priority":"p","deadline_ms":5000,"payload":{"x":1}}`)
	must.Eq(t, 200, w.Code)
	must.Eq(t, "2", w.Header().Get("Retry-After"))
	must.Eq(t, 1100, st.RetryAfterMS)
	var a QueryAnswer
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &a))
	must.Eq(t, "v7", a.Snapshot)
	must.Eq(t, []MissingBody{{Shard: "b", Code: int(result.UpstreamLost), Reason: "upstream_lost"}}, a.Coverage.Missing)
	must.Eq(t, `{"n":1}`, string(a.Results[0].Result))
	must.Eq(t, `{"x":1}`, string(f.queries[0].Payload))
	must.True(t, !f.queries[0].Deadline.Before(before.Add(5*time.Second)))
}

// TestConcurrencyLimit guards against an unlimited number of requests in memory, and
// against an order that is reported as not run although an earlier submission of it
// may have run.
func TestConcurrencyLimit(t *testing.T) {
	f := &fakeHandler{block: make(chan struct{})}
	h := newTestHandler(f, 1)
	done := make(chan struct{})
	go func() {
		post(h, "/v1/query", `{}`)
		close(done)
	}()
	<-f.block
	w, st := post(h, "/v1/query", `{}`)
	must.Eq(t, 503, w.Code)
	must.Eq(t, int(result.ConcurrencyLimit), st.Code)
	must.Eq(t, model.NotRun, st.Ran)
	_, st = post(h, "/v1/orders", `{"ticket":"t"}`)
	must.Eq(t, model.RunUnknown, st.Ran)
	f.block <- struct{}{}
	<-done
}

// FuzzQueryBody guards against panics on the bodies of callers' requests, and
// against answers that are not JSON.
func FuzzQueryBody(f *testing.F) {
	f.Add(`{"service":"s","shards":["a"],"least_coverage":0.5}`)
	f.Add(`{"payload":{"a":[1,2,{}]}}`)
	f.Fuzz(func(t *testing.T, body string) {
		for _, path := range []string{"/v1/query", "/v1/orders", "/v1/orders/ticket"} {
			w, _ := post(newTestHandler(&fakeHandler{answer: model.Answer{Code: result.OK}}, 1), path, body)
			must.True(t, json.Valid(w.Body.Bytes()))
		}
	})
}
