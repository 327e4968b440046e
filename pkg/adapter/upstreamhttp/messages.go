package upstreamhttp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// MaxAnswerBytes is the size limit of an upstream's answer.
const MaxAnswerBytes = 4 << 20

// maxStatusBytes is the size limit of a health or load answer.
const maxStatusBytes = 64 << 10

type executeRequest struct {
	Attempt        string           `json:"attempt"`
	Service        string           `json:"service"`
	Operation      string           `json:"operation"`
	Snapshot       model.SnapshotID `json:"snapshot"`
	Shard          model.ShardID    `json:"shard"`
	Payload        json.RawMessage  `json:"payload,omitempty"`
	OrderKey       string           `json:"order_key,omitempty"`
	DeadlineMS     int64            `json:"deadline_ms"`
	DeadlineUnixMS int64            `json:"deadline_unix_ms"`
}

type executeAnswer struct {
	Attempt  string           `json:"attempt"`
	Snapshot model.SnapshotID `json:"snapshot"`
	Shard    model.ShardID    `json:"shard"`
	State    string           `json:"state"`
	Ran      string           `json:"ran"`
	Result   json.RawMessage  `json:"result"`
	Draining bool             `json:"draining"`
}

type healthAnswer struct {
	Healthy  *bool `json:"healthy"`
	Draining bool  `json:"draining"`
}

type loadAnswer struct {
	InFlight  *int               `json:"in_flight"`
	Slots     *int               `json:"slots"`
	Snapshots []model.SnapshotID `json:"snapshots"`
}

// stateRule gives the result code of a "state" in an answer, for each value of
// "ran". A zero code means that the state is not allowed with that value.
type stateRule struct {
	notRun result.Code
	ran    result.Code
}

// stateRules has the rule for each state. A shard that is missing from a loaded
// snapshot is handled like a missing snapshot, because either way the shard map
// that the query pinned is out of date at this upstream.
var stateRules = map[string]stateRule{
	"ok":               {ran: result.OK},
	"shed":             {notRun: result.UpstreamShed},
	"draining":         {notRun: result.UpstreamDraining},
	"snapshot_missing": {notRun: result.SnapshotMissing},
	"shard_missing":    {notRun: result.SnapshotMissing},
	"connection_limit": {notRun: result.ConnectionLimit},
	"cancelled":        {notRun: result.Cancelled, ran: result.CancelledWhileRun},
	"expired":          {notRun: result.DeadlineExceeded, ran: result.NoAnswerInTime},
	"failed":           {notRun: result.UpstreamFailed, ran: result.UpstreamFailed},
}

// encodeExecuteBody encodes the body of a call. remaining is the time that the
// upstream gets.
func encodeExecuteBody(call port.UpstreamCall, remaining time.Duration) ([]byte, error) {
	return json.Marshal(executeRequest{
		Attempt:        call.Attempt.String(),
		Service:        call.Service,
		Operation:      call.Operation,
		Snapshot:       call.Snapshot,
		Shard:          call.Shard,
		Payload:        call.Payload,
		OrderKey:       call.OrderKey,
		DeadlineMS:     remaining.Milliseconds(),
		DeadlineUnixMS: call.Deadline.Add(-answerTransitTime).UnixMilli(),
	})
}

// encodeExecuteRequest encodes the whole HTTP request of a call.
func encodeExecuteRequest(address string, call port.UpstreamCall, remaining time.Duration) ([]byte, error) {
	body, err := encodeExecuteBody(call, remaining)
	if err != nil {
		return nil, err
	}
	return encodeHTTPRequest(http.MethodPost, address, executePath, body)
}

// encodeHTTPRequest encodes a whole HTTP request, so that it is sent with one write.
// The result of that write shows whether any byte of the request left the process.
func encodeHTTPRequest(method, address, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	var message bytes.Buffer
	if err := req.Write(&message); err != nil {
		return nil, err
	}
	return message.Bytes(), nil
}

// parseAnswer decodes a complete answer body and checks it against its call. After
// an invalid answer it is unknown whether the request ran.
func parseAnswer(call port.UpstreamCall, body []byte) port.UpstreamReply {
	var a executeAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return port.UpstreamReply{Code: result.UpstreamFailed}
	}
	id, err := model.ParseAttemptID(a.Attempt)
	if err != nil {
		return port.UpstreamReply{Code: result.AnswerMismatch}
	}
	reply := port.UpstreamReply{Attempt: id, Snapshot: a.Snapshot, Shard: a.Shard}
	if id != call.Attempt || a.Snapshot != call.Snapshot || a.Shard != call.Shard {
		reply.Code = result.AnswerMismatch
		return reply
	}
	reply.Draining = a.Draining
	reply.Code, reply.Ran = classifyOutcome(a)
	if reply.Code == result.OK {
		reply.Result = a.Result
	}
	return reply
}

// classifyOutcome returns the result code and the run state of an answer.
func classifyOutcome(a executeAnswer) (result.Code, model.RunState) {
	rule, known := stateRules[a.State]
	switch {
	case !known:
		return result.UpstreamFailed, model.RunUnknown
	case a.Ran == "not_run" && rule.notRun != 0:
		return rule.notRun, model.NotRun
	case a.Ran == "ran" && rule.ran == result.OK && len(a.Result) == 0:
		return result.UpstreamFailed, model.RunUnknown
	case a.Ran == "ran" && rule.ran != 0:
		return rule.ran, model.Ran
	default:
		return result.UpstreamFailed, model.RunUnknown
	}
}

func parseStatus(health, load []byte) (port.UpstreamStatus, error) {
	var h healthAnswer
	if err := json.Unmarshal(health, &h); err != nil {
		return port.UpstreamStatus{}, result.Wrap(result.UpstreamFailed, err)
	}
	var l loadAnswer
	if err := json.Unmarshal(load, &l); err != nil {
		return port.UpstreamStatus{}, result.Wrap(result.UpstreamFailed, err)
	}
	if h.Healthy == nil || l.InFlight == nil || l.Slots == nil || *l.InFlight < 0 || *l.Slots < 0 {
		return port.UpstreamStatus{}, result.Errorf(result.UpstreamFailed, "health or load answer is incomplete")
	}
	return port.UpstreamStatus{
		Healthy:   *h.Healthy,
		Draining:  h.Draining,
		InFlight:  *l.InFlight,
		Slots:     *l.Slots,
		Snapshots: l.Snapshots,
	}, nil
}
