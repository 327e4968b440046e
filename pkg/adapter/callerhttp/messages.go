package callerhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	Service       string          `json:"service"`
	Operation     string          `json:"operation"`
	Priority      string          `json:"priority"`
	Caller        string          `json:"caller"`
	DeadlineMS    int64           `json:"deadline_ms,omitempty"`
	Shards        []model.ShardID `json:"shards,omitempty"`
	LeastCoverage float64         `json:"least_coverage,omitempty"`
	Payload       json.RawMessage `json:"payload,omitempty"`
}

// Status holds the fields that all answers have in common.
type Status struct {
	Code         int            `json:"code"`
	CodeName     string         `json:"code_name"`
	Ran          model.RunState `json:"ran"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
	Detail       string         `json:"detail,omitempty"`
}

// QueryAnswer is the answer to POST /v1/query.
type QueryAnswer struct {
	Status
	Snapshot model.SnapshotID `json:"snapshot,omitempty"`
	Revision uint64           `json:"revision,omitempty"`
	Coverage CoverageBody     `json:"coverage"`
	Results  []ResultBody     `json:"results"`
}

// CoverageBody states which shards an answer covers.
type CoverageBody struct {
	Answered int           `json:"answered"`
	Total    int           `json:"total"`
	Missing  []MissingBody `json:"missing,omitempty"`
}

// MissingBody describes a shard that has no result, and why.
type MissingBody struct {
	Shard  model.ShardID `json:"shard"`
	Code   int           `json:"code"`
	Reason string        `json:"reason"`
}

// ResultBody is the result of one shard.
type ResultBody struct {
	Shard  model.ShardID   `json:"shard"`
	Result json.RawMessage `json:"result"`
}

// TicketRequest is the body of POST /v1/orders/ticket.
type TicketRequest struct {
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Caller    string `json:"caller"`
	Key       string `json:"key,omitempty"`
	ValidMS   int64  `json:"valid_ms,omitempty"`
}

// TicketAnswer is the answer to POST /v1/orders/ticket.
type TicketAnswer struct {
	Status
	Ticket      string `json:"ticket,omitempty"`
	ExpiresInMS int64  `json:"expires_in_ms,omitempty"`
}

// OrderRequest is the body of POST /v1/orders.
type OrderRequest struct {
	Ticket     string          `json:"ticket"`
	Service    string          `json:"service"`
	Operation  string          `json:"operation"`
	Priority   string          `json:"priority"`
	Caller     string          `json:"caller"`
	Shard      model.ShardID   `json:"shard"`
	DeadlineMS int64           `json:"deadline_ms"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// OrderAnswer is the answer to POST /v1/orders.
type OrderAnswer struct {
	Status
	Result   json.RawMessage  `json:"result,omitempty"`
	Snapshot model.SnapshotID `json:"snapshot,omitempty"`
	Replayed bool             `json:"replayed"`
	// NextTicket is the ticket with which the caller may submit the order again after
	// it did not run. The ticket of the refused submission can no longer start the
	// order.
	NextTicket string `json:"next_ticket,omitempty"`
}

func newStatus(code result.Code, ran model.RunState, retryAfter time.Duration, detail string) Status {
	return Status{
		Code:         int(code),
		CodeName:     code.String(),
		Ran:          ran,
		RetryAfterMS: ceilMS(retryAfter),
		Detail:       detail,
	}
}

// ceilMS returns the duration in milliseconds, rounded up.
func ceilMS(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

// refusal returns the status of a request that was refused before it ran.
func refusal(err error) Status {
	return newStatus(result.CodeOf(err), model.NotRun, 0, err.Error())
}

func queryAnswer(a model.Answer) QueryAnswer {
	out := QueryAnswer{
		Status:   newStatus(a.Code, a.Ran, a.RetryAfter, a.Detail),
		Snapshot: a.Snapshot,
		Revision: a.Revision,
		Coverage: CoverageBody{Answered: a.Coverage.Answered, Total: a.Coverage.Total},
		Results:  make([]ResultBody, 0, len(a.Results)),
	}
	for _, m := range a.Coverage.Missing {
		out.Coverage.Missing = append(out.Coverage.Missing, MissingBody{Shard: m.Shard, Code: int(m.Reason), Reason: m.Reason.String()})
	}
	for _, r := range a.Results {
		out.Results = append(out.Results, ResultBody{Shard: r.Shard, Result: r.Result})
	}
	return out
}

func orderAnswer(a port.OrderAnswer) OrderAnswer {
	return OrderAnswer{
		Status:     newStatus(a.Code, a.Ran, a.RetryAfter, a.Detail),
		Result:     a.Result,
		Snapshot:   a.Snapshot,
		Replayed:   a.Replayed,
		NextTicket: a.NextTicket,
	}
}

// httpStatus returns the HTTP status for a result code. A code that has no status of
// its own gets the status of its group; the group is the code divided by 1000.
func httpStatus(code result.Code) int {
	switch code {
	case result.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.UnknownService:
		return http.StatusNotFound
	case result.CallerLimit:
		return http.StatusTooManyRequests
	case result.NoAnswerInTime, result.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	switch code / 1000 {
	case 1:
		return http.StatusOK
	case 2:
		return http.StatusBadRequest
	case 3:
		return http.StatusServiceUnavailable
	case 4:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}
