package settings

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const minimalSettings = `{
  "instance_id": "127.0.0.1:7001", "data_centre": "dc1", "cluster": "test",
  "grpc_address": "0.0.0.0:7001", "control_address": "127.0.0.1:7002",
  "caller_address": "127.0.0.1:7003", "operator_address": "127.0.0.1:7004",
  "platform_url": "http://127.0.0.1:9000"
}`

// TestDefaultsMatchSchema guards against defaults in the code that differ from
// those in the schema, which operators read.
func TestDefaultsMatchSchema(t *testing.T) {
	type property struct {
		Default    any                 `json:"default"`
		Properties map[string]property `json:"properties"`
	}
	var s property
	must.NoError(t, json.Unmarshal(Schema(), &s))
	text, err := json.Marshal(Default())
	must.NoError(t, err)
	var fields map[string]any
	must.NoError(t, json.Unmarshal(text, &fields))
	var compare func(p map[string]property, values map[string]any)
	compare = func(p map[string]property, values map[string]any) {
		for name, prop := range p {
			if prop.Properties != nil {
				compare(prop.Properties, values[name].(map[string]any))
			} else if prop.Default != nil {
				must.Eq(t, prop.Default, values[name], must.Sprint(name))
			}
		}
	}
	compare(s.Properties, fields)
}

// TestOverridesReplaceFields guards against flags that are ignored when the
// file sets the same field, and against lost defaults.
func TestOverridesReplaceFields(t *testing.T) {
	content := strings.Replace(minimalSettings, `{`, `{"max_instances": 8, "limits": {"max_tickets": 6, "max_body_bytes": 2048},`, 1)
	s, err := Parse([]byte(content), Overrides{"max_instances": 4, "limits": map[string]any{"max_tickets": 7}})
	must.NoError(t, err)
	must.Eq(t, 4, s.MaxInstances)
	must.Eq(t, 7, s.Limits.MaxTickets)
	must.Eq(t, 2048, s.Limits.MaxBodyBytes)
	must.Eq(t, DefaultMaxConcurrentRequests, s.Limits.MaxConcurrentRequests)
}

// TestFaultsAreReportedTogether guards against errors that report only the
// first fault or omit its path.
func TestFaultsAreReportedTogether(t *testing.T) {
	tests := []struct {
		name      string
		content   string
		overrides Overrides
		paths     []string
	}{
		{"empty object", `{}`, nil, []string{
			"$.caller_address", "$.cluster", "$.control_address", "$.data_centre",
			"$.grpc_address", "$.instance_id", "$.operator_address", "$.platform_url",
		}},
		{"broken JSON with overrides", `{"cluster"`, Overrides{"cluster": "a"}, []string{"$"}},
		{"trailing data", minimalSettings + "{}", nil, []string{"$"}},
		{"unknown and wrong type", minimalSettings, Overrides{"max_instances": "10", "instanceid": "x"}, []string{
			"$.instanceid", "$.max_instances",
		}},
		{"announced addresses", minimalSettings, Overrides{
			"instance_id": "0.0.0.0:7001", "control_address": "localhost:7002", "seeds": []string{"127.0.0.1:0"},
		}, []string{"$.instance_id", "$.control_address", "$.seeds[0]"}},
		{"advertised addresses", minimalSettings, Overrides{
			"control_address": "0.0.0.0:7002", "advertised_control_address": "0.0.0.0:7002", "peer_source_address": "127.0.0.1:1",
		}, []string{"$.advertised_control_address", "$.peer_source_address"}},
		{"gRPC port and URL", minimalSettings, Overrides{"grpc_address": "127.0.0.1:1", "platform_url": "127.0.0.1:9"}, []string{
			"$.grpc_address", "$.platform_url",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(test.content), test.overrides)
			var invalid *Error
			must.True(t, errors.As(err, &invalid))
			var paths []string
			for _, f := range invalid.Faults {
				paths = append(paths, f.Path)
			}
			must.Eq(t, test.paths, paths)
		})
	}
}
