package document

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/jsoncheck"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const validDocument = `{"service":"s","revision":1,
"priorities":[{"name":"p","target_ms":10,"deadline_ms":20,"least_coverage":0.5,"guaranteed_share":0.7,"worth":1},
{"name":"q","target_ms":10,"deadline_ms":20,"least_coverage":1,"guaranteed_share":0.3,"worth":1}],
"operations":[{"name":"get"},{"name":"put","non_idempotent":true}],
"upstreams":[{"name":"a","data_centre":"d","address":"127.0.0.1:1","slots":2,"connection_limit":20},
{"name":"b","data_centre":"e","address":"127.0.0.2:1","slots":2,"connection_limit":20}],
"snapshots":[{"id":"1","shards":[{"id":"x","replicas":["a","b"]},{"id":"y","replicas":["b"]}]}]}`

func pathsAndCodes(faults []Fault) string {
	var out []string
	for _, f := range faults {
		out = append(out, f.Path+" "+string(f.Code))
	}
	return strings.Join(out, ", ")
}

// TestFaultCodesAndPaths guards against faults that are missed or reported with
// a wrong code or path.
func TestFaultCodesAndPaths(t *testing.T) {
	must.Eq(t, "", pathsAndCodes(Check([]byte(validDocument))))
	tests := []struct{ name, old, replacement, want string }{
		{"unknown field", `"revision":1`, `"revision":1,"owner":"x"`, "$.owner unknown_field"},
		{"other case of a field", `"revision"`, `"Revision"`, "$.Revision unknown_field, $.revision missing_field"},
		{"duplicate key", `"revision":1`, `"revision":1,"revision":2`, "$.revision duplicate_key"},
		{"duplicate priority", `"name":"q"`, `"name":"p"`, "$.priorities[1].name duplicate_name"},
		{"duplicate operation", `"name":"put"`, `"name":"get"`, "$.operations[1].name duplicate_name"},
		{"duplicate upstream", `"name":"b"`, `"name":"a"`, "$.snapshots[0].shards[0].replicas[1] unknown_upstream, " +
			"$.snapshots[0].shards[1].replicas[0] unknown_upstream, $.upstreams[1].name duplicate_name"},
		{"duplicate shard", `"id":"y"`, `"id":"x"`, "$.snapshots[0].shards[1].id duplicate_name"},
		{"duplicate replica", `["a","b"]`, `["a","b","a"]`, "$.snapshots[0].shards[0].replicas[2] duplicate_name"},
		{"duplicate address", `127.0.0.2:1`, `127.0.0.1:1`, "$.upstreams[1].address duplicate_address"},
		{"shares", `"guaranteed_share":0.7`, `"guaranteed_share":0.71`, "$.priorities shares_over_one"},
		{"negative share", `"guaranteed_share":0.7`, `"guaranteed_share":-0.1`, "$.priorities[0].guaranteed_share out_of_range"},
		{"coverage", `"least_coverage":0.5`, `"least_coverage":1.01`, "$.priorities[0].least_coverage out_of_range"},
		{"deadline", `"deadline_ms":20`, `"deadline_ms":9`, "$.priorities[0].deadline_ms deadline_under_target"},
		{"no replicas", `["b"]`, `[]`, "$.snapshots[0].shards[1].replicas empty_list"},
		{"unknown replica", `["b"]`, `["c"]`, "$.snapshots[0].shards[1].replicas[0] unknown_upstream"},
		{"zero slots", `"slots":2`, `"slots":0`, "$.upstreams[0].slots out_of_range"},
		{"negative limit", `"connection_limit":20`, `"connection_limit":-1`, "$.upstreams[0].connection_limit out_of_range"},
		{"slots over limit", `"slots":2`, `"slots":21`, "$.upstreams[0].slots slots_over_connection_limit"},
		{"revision zero", `"revision":1`, `"revision":0`, "$.revision out_of_range"},
		{"no operations", `[{"name":"get"},{"name":"put","non_idempotent":true}]`, `[]`, "$.operations empty_list"},
		{"no snapshots", `"snapshots":[{`, `"snapshots":[],"x":[{`, "$.snapshots empty_list, $.x unknown_field"},
		{"wrong type", `"slots":2`, `"slots":"2"`, "$.upstreams[0].slots wrong_type"},
		{"null", `"operations":[{"name":"get"},`, `"operations":[null,`, "$.operations[0] wrong_type"},
		{"integer with fraction", `"revision":1`, `"revision":1.0`, "$.revision wrong_type"},
		{"fraction", `"slots":2`, `"slots":2.5`, "$.upstreams[0].slots wrong_type"},
		{"huge exponent", `"revision":1`, `"revision":1e999999999`, "$.revision out_of_range"},
		{"host name", `127.0.0.1:1`, `localhost:1`, "$.upstreams[0].address bad_address"},
		{"no port", `127.0.0.1:1`, `127.0.0.1`, "$.upstreams[0].address bad_address"},
		{"unspecified address", `127.0.0.1:1`, `0.0.0.0:1`, "$.upstreams[0].address bad_address"},
		{"name with a slash", `"service":"s"`, `"service":"s/1"`, "$.service bad_format"},
		{"empty name", `"service":"s"`, `"service":""`, "$.service bad_format, $.service empty_text"},
		{"broken", `"revision":1`, `"revision":`, "$ broken_json"},
		{"not UTF-8", `"service":"s"`, "\"service\":\"\xff\"", "$ broken_json"},
		{"unused upstream", `["a","b"]`, `["b"]`, "$.upstreams[0] unused_upstream"},
		{"fewer connections than instances", `"slots":2,"connection_limit":20`, `"slots":1,"connection_limit":9`, "$.upstreams[0].connection_limit few_connections"},
		{"fewer connections than slots", `"slots":2`, `"slots":3`, "$.upstreams[0].connection_limit few_connections"},
		{"hedges over extra", `"revision":1`, `"revision":1,"budgets":{"extra_fraction":0.01}`, "$.budgets hedge_budget_over_extra_budget"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			must.StrContains(t, validDocument, test.old)
			content := []byte(strings.Replace(validDocument, test.old, test.replacement, 1))
			must.Eq(t, test.want, pathsAndCodes(Check(content)))
		})
	}
	must.Eq(t, "$ broken_json", pathsAndCodes(Check(nil)))
	must.Eq(t, "$ trailing_data", pathsAndCodes(Check([]byte(validDocument+"{}"))))
	must.Eq(t, "$ wrong_type", pathsAndCodes(Check([]byte("[]"))))
	must.Eq(t, "$ too_large", pathsAndCodes(Check([]byte(validDocument+strings.Repeat(" ", MaxBytes)))))
	must.Eq(t, "", pathsAndCodes(Check([]byte(validDocument+strings.Repeat(" ", MaxBytes-len(validDocument))))))
}

// TestAllFaultsAtOnce guards against a check that reports only some of the faults,
// which would cost a document's owner one attempt per fault. The document has
// both values that the schema forbids and values that only the code checks.
func TestAllFaultsAtOnce(t *testing.T) {
	content := strings.NewReplacer(`"revision":1`, `"revision":0`, `["b"]`, `["c"]`, `"slots":2`, `"slots":99`).Replace(validDocument)
	must.Eq(t, "$.revision out_of_range, $.snapshots[0].shards[1].replicas[0] unknown_upstream, "+
		"$.upstreams[0].slots slots_over_connection_limit, $.upstreams[1].slots slots_over_connection_limit",
		pathsAndCodes(Check([]byte(content))))
	_, err := Parse([]byte(content))
	must.Eq(t, result.InvalidDocument, result.CodeOf(err))
	must.StrContains(t, err.Error(), "$.upstreams[1].slots")
}

// TestFaultsAreBounded guards against a generated document with a fault in
// every entry, whose faults would use up the memory of every instance.
func TestFaultsAreBounded(t *testing.T) {
	entries := strings.Repeat(`{"name":"get"},null,`, 5*jsoncheck.MaxFaults)
	faults := Check([]byte(strings.Replace(validDocument, `"operations":[`, `"operations":[`+entries, 1)))
	must.Eq(t, 2*jsoncheck.MaxFaults, len(faults))
}

// TestLargeGroupIsAWarning guards against refusing a working document because a
// group is large, and against large groups that are not reported.
func TestLargeGroupIsAWarning(t *testing.T) {
	d, err := Parse([]byte(validDocument))
	must.NoError(t, err)
	d.Upstreams = nil
	d.Snapshots[0].Shards = d.Snapshots[0].Shards[:1]
	shard := &d.Snapshots[0].Shards[0]
	shard.Replicas = nil
	for i := range MaxMergedGroup + 1 {
		name := fmt.Sprint("u", i)
		u := Upstream{Name: name, DataCentre: "d", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 1, ConnectionLimit: 10}
		d.Upstreams = append(d.Upstreams, u)
		shard.Replicas = append(shard.Replicas, name)
	}
	content, err := json.Marshal(d)
	must.NoError(t, err)
	must.Eq(t, "$.snapshots large_scheduling_group", pathsAndCodes(Check(content)))
	_, err = Parse(content)
	must.NoError(t, err)
}

// TestExamples guards against example documents that are invalid or no longer
// match the deployment, in which every shard has two replicas in different data
// centres.
func TestExamples(t *testing.T) {
	sizes := map[string][3]int{
		"fitting-desk-01": {3, 3, 30}, "invoice-book-01": {3, 3, 30}, "restore-log": {7, 6, 110},
		"courier-plan": {3, 6, 110}, "sportello-01": {3, 2, 25}, "prezzario-01": {3, 2, 25},
		"officina": {11, 2, 35}, "consegne": {5, 2, 35},
	}
	files, err := filepath.Glob("../../examples/*/*.json")
	must.NoError(t, err)
	must.Len(t, len(sizes), files)
	for _, file := range files {
		content, err := os.ReadFile(file)
		must.NoError(t, err)
		must.Eq(t, "", pathsAndCodes(Check(content)), must.Sprint(file))
		d, err := Parse(content)
		must.NoError(t, err)
		must.Eq(t, strings.TrimSuffix(filepath.Base(file), ".json"), d.Service)
		must.Len(t, 1, d.Groups())
		must.Len(t, sizes[d.Service][0], d.Upstreams)
		centres := make(map[model.DataCentre]bool)
		for _, u := range d.Upstreams {
			must.Eq(t, sizes[d.Service], [3]int{len(d.Upstreams), u.Slots, u.ConnectionLimit})
			centres[u.DataCentre] = true
		}
		must.MapLen(t, 3, centres)
		for _, sh := range d.Newest().Shards {
			must.Len(t, 2, sh.Replicas)
			must.NotEq(t, d.FindUpstream(sh.Replicas[0]).DataCentre, d.FindUpstream(sh.Replicas[1]).DataCentre)
		}
	}
}

// FuzzParse guards against panics on any content, and against accepted
// documents whose groups cannot be computed or that change when they are
// written and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"snapshots":[{"shards":[{"replicas":[]}]}]}`))
	f.Add([]byte(`[1e99999999999999999999]`))
	f.Fuzz(func(t *testing.T, content []byte) {
		d, err := Parse(content)
		invalid := false
		for _, fault := range Check(content) {
			invalid = invalid || !fault.Warning
		}
		must.Eq(t, invalid, err != nil)
		if err != nil {
			must.Nil(t, d)
			return
		}
		for i := range d.Snapshots {
			must.MapLen(t, len(d.Snapshots[i].Shards), d.ShardGroups(&d.Snapshots[i]))
		}
		text, err := json.Marshal(d)
		must.NoError(t, err)
		again, err := Parse(text)
		must.NoError(t, err)
		again.Digest = d.Digest
		must.Eq(t, d, again)
	})
}
