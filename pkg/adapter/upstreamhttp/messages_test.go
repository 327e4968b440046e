package upstreamhttp

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

var testCall = port.UpstreamCall{Attempt: model.AttemptID{1}, Snapshot: "v1", Shard: "s1"}

// FuzzParseAnswer guards against an answer that is accepted although it belongs to
// another attempt, and against reporting "not run" for an answer that does not say
// so.
func FuzzParseAnswer(f *testing.F) {
	id := testCall.Attempt.String()
	for _, tail := range []string{
		`"state":"ok","ran":"ran","result":{"n":1}}`,
		`"state":"ok","ran":"not_run","result":1}`,
		`"state":"ok","ran":"ran"}`,
		`"state":"shed","ran":"not_run","draining":true}`,
		`"state":"shed","ran":"ran"}`,
		`"state":"expired","ran":"ran"} x`,
	} {
		f.Add([]byte(`{"attempt":"` + id + `","snapshot":"v1","shard":"s1",` + tail))
		f.Add([]byte(`{"attempt":"` + id + `","snapshot":"v2","shard":"s1",` + tail))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		reply := parseAnswer(testCall, body)
		if reply.Ran == model.RunUnknown {
			must.NotEq(t, result.OK, reply.Code)
			return
		}
		var a executeAnswer
		must.NoError(t, json.Unmarshal(body, &a))
		must.Eq(t, testCall.Attempt.String(), reply.Attempt.String())
		must.Eq(t, testCall.Snapshot, a.Snapshot)
		must.Eq(t, testCall.Shard, a.Shard)
		must.Eq(t, reply.Ran.String(), a.Ran)
		must.Eq(t, a.State == "ok", reply.Code == result.OK)
		if reply.Code == result.OK {
			must.True(t, json.Valid(reply.Result))
		}
	})
}

// FuzzParseStatus guards against a malformed health or load answer that is accepted
// as the state of an upstream.
func FuzzParseStatus(f *testing.F) {
	f.Add([]byte(`{"healthy":true}`), []byte(`{"in_flight":1,"slots":3,"snapshots":["v1"]}`))
	f.Add([]byte(`{}`), []byte(`{"in_flight":-1,"slots":3}`))
	f.Fuzz(func(t *testing.T, health, load []byte) {
		status, err := parseStatus(health, load)
		if err != nil {
			must.False(t, status.Healthy)
			return
		}
		must.True(t, json.Valid(health))
		must.True(t, json.Valid(load))
		must.GreaterEq(t, 0, status.Slots)
	})
}
