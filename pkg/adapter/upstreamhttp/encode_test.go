package upstreamhttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// executeRequest is the body of POST /v1/execute as upstreams read it.
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

// FuzzEncodeExecute guards against a request that upstreams cannot read or that
// says something else than the call, whatever the names and the payload are.
func FuzzEncodeExecute(f *testing.F) {
	f.Add("127.0.0.1:80", "s", "op", "v1", "s1", "", []byte(`{"a":1}`))
	f.Add("127.0.0.1:80", "a\"b\\c", "\n\t\x00", "\u00e9\u2028<>&", "", "k/1", []byte(` [1, "\u003c"] `))
	f.Add("[::1]:1", "x", "y", "z", "\u65e5\u672c", "", []byte(`null`))
	f.Fuzz(func(t *testing.T, host, service, operation, snapshot, shard, key string, payload []byte) {
		if !json.Valid(payload) {
			payload = nil
		}
		call := port.UpstreamCall{
			Attempt: model.AttemptID{1, 0xfe}, Service: service, Operation: operation,
			Snapshot: model.SnapshotID(snapshot), Shard: model.ShardID(shard), OrderKey: key,
			Payload: payload, Deadline: time.UnixMilli(1_800_000_000_000),
		}
		if !plainHost(host) {
			host = "127.0.0.1:1"
		}
		encoded := encodeExecute(host, &call, 40*time.Millisecond)
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(encoded)))
		must.NoError(t, err)
		must.Eq(t, http.MethodPost, req.Method)
		must.Eq(t, executePath, req.URL.Path)
		must.Eq(t, host, req.Host)
		body, err := io.ReadAll(req.Body)
		must.NoError(t, err)
		must.True(t, bytes.HasSuffix(encoded, body))

		// What encoding/json writes for the same values is the reference.
		reference, err := json.Marshal(executeRequest{
			Attempt: call.Attempt.String(), Service: service, Operation: operation, Snapshot: call.Snapshot,
			Shard: call.Shard, Payload: payload, OrderKey: key, DeadlineMS: 40,
			DeadlineUnixMS: call.Deadline.Add(-hopAllowance).UnixMilli(),
		})
		must.NoError(t, err)
		var want, got map[string]any
		must.NoError(t, json.Unmarshal(reference, &want))
		must.NoError(t, json.Unmarshal(body, &got))
		must.Eq(t, want, got)
	})
}

// plainHost reports whether the text can stand in a Host header.
func plainHost(host string) bool {
	for _, c := range []byte(host) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	_, err := http.NewRequest(http.MethodGet, "http://"+host+"/", nil)
	return host != "" && err == nil
}
