package platformhttp

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzParseDocuments guards against a malformed answer of the platform that causes a
// panic or is parsed to a document without a service.
func FuzzParseDocuments(f *testing.F) {
	f.Add([]byte(`{"version":2,"documents":[{"service":"a","version":1,"content":"{}"}]}`))
	f.Add([]byte(`{"version":1,"documents":[{"service":"a","version":2,"content":""}]}`))
	f.Add([]byte(`{"version":1} {}`))
	f.Add([]byte(`{"documents":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		batch, err := parseDocuments(body)
		if err != nil {
			must.SliceEmpty(t, batch.Documents)
			return
		}
		must.True(t, json.Valid(body))
		for _, d := range batch.Documents {
			must.NotEq(t, "", d.Service)
		}
	})
}

// FuzzParseInstances guards against a listed instance without an id or an address,
// and against a malformed answer that is taken for an empty fleet.
func FuzzParseInstances(f *testing.F) {
	f.Add([]byte(`{"instances":[{"id":"127.0.0.1:1","control_address":"127.0.0.1:2","data_centre":"a","leaving":true}],"upstreams":[{"address":"x"}]}`))
	f.Add([]byte(`{"instances":null}`))
	f.Add([]byte(`{"instances":[{"id":""}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		list, err := parseInstances(body)
		if err != nil {
			must.SliceEmpty(t, list.Instances)
			return
		}
		for _, i := range list.Instances {
			must.NotEq(t, "", string(i.ID))
			must.NotEq(t, "", i.ControlAddress)
		}
	})
}
