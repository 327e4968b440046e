package upstreamhttp

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzDecodeAnswer guards against an answer that is read differently from
// encoding/json, which would make a false answer true.
func FuzzDecodeAnswer(f *testing.F) {
	for _, s := range []string{
		`{"attempt":"00","snapshot":"v1","shard":"s1","state":"ok","ran":"ran","result":{"a":["}\\"",1]},"draining":true}`,
		` { "state" : "ok" , "result" : [ 1 , 2 ] } `,
		`{"result":"a\\"b","draining":false}`, `{"result":12}`, `{"result":null}`, `{"result":{"a":1]}}`, `{"result":"}`,
		`{"state":"a","state":"b"}`, `{"STATE":"a"}`, `{"state":"\u0061"}`, `{"state":null}`, `{"other":1}`,
		`{}`, `{"state":"a",}`, `{"state":"a"}x`, `null`, `[]`, `{"draining":truex}`, `{"result":{}{}}`, `{"result":]`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var want executeAnswer
		wantErr := json.Unmarshal(body, &want)
		got, err := decodeAnswer(body, "v1", "s1", stateOK, ranYes, ranNo)
		must.Eq(t, wantErr == nil, err == nil)
		if err == nil {
			must.Eq(t, want, got)
		}
	})
}
