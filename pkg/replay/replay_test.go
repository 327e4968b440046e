package replay

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func readTrace(t *testing.T, file string) []byte {
	f, err := os.Open(file)
	must.NoError(t, err)
	defer f.Close()
	z, err := gzip.NewReader(f)
	must.NoError(t, err)
	content, err := io.ReadAll(z)
	must.NoError(t, err)
	return content
}

// expectedPromises returns, by trace of testdata, the promises that must apply to
// decisions of the trace. Unlike the other files in testdata, promises.json is not
// written by make traces.
func expectedPromises(t *testing.T) map[string][]string {
	content, err := os.ReadFile("testdata/promises.json")
	must.NoError(t, err)
	var promises map[string][]string
	must.NoError(t, json.Unmarshal(content, &promises))
	return promises
}

// requirePromisesKept requires that each promise applies to decisions of the trace
// and that none of them breaks it.
func requirePromisesKept(t *testing.T, report Report, promises []string) {
	must.SliceNotEmpty(t, promises)
	for _, promise := range promises {
		if promise == "order at most once" {
			must.Positive(t, report.Outcome.Orders)
			must.Eq(t, 1, report.Outcome.OrderStarts)
			continue
		}
		must.Positive(t, report.Promises[promise].Checked, must.Sprint(promise))
		must.Zero(t, report.Promises[promise].Broken, must.Sprint(promise))
	}
}

// TestRecordedTraces guards against decisions that differ from the recorded
// processes' decisions, and against traces whose outcome differs from the expected
// report next to them. After an intended change of the decisions, record new
// traces with make traces.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl.gz")
	must.NoError(t, err)
	promises := expectedPromises(t)
	must.MapLen(t, len(files), promises)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			report, err := Play(bytes.NewReader(readTrace(t, file)))
			must.NoError(t, err)
			must.SliceEmpty(t, report.Differences)
			must.True(t, report.Passed())
			expected, err := os.ReadFile(strings.TrimSuffix(file, ".jsonl.gz") + ".json")
			must.NoError(t, err)
			var want Report
			must.NoError(t, json.Unmarshal(expected, &want))
			must.Eq(t, want, report)
			requirePromisesKept(t, report, promises[strings.TrimSuffix(filepath.Base(file), ".jsonl.gz")])
		})
	}
}

// TestReplayDetectsChanges guards against a replay that does not report a changed
// decision or an order that starts twice.
func TestReplayDetectsChanges(t *testing.T) {
	trace := readTrace(t, "testdata/instance-paused.jsonl.gz")
	var changed, duplicated []string
	for l := range strings.Lines(string(trace)) {
		if strings.Contains(l, `"call":"submit"`) && strings.Contains(l, `"component":"orders"`) {
			duplicated = append(duplicated, l)
		}
		duplicated = append(duplicated, l)
		changed = append(changed, strings.Replace(l, `"Hedge":false`, `"Hedge":true`, 1))
	}
	report, err := Play(strings.NewReader(strings.Join(changed, "")))
	must.NoError(t, err)
	must.Positive(t, report.Mismatches)
	must.False(t, report.Passed())
	report, err = Play(strings.NewReader(strings.Join(duplicated, "")))
	must.NoError(t, err)
	must.Eq(t, 2, report.Outcome.OrderStarts)
	must.False(t, report.Passed())
}

// FuzzPlay guards against panics while a damaged trace is read.
func FuzzPlay(f *testing.F) {
	f.Add([]byte(`{"component":"orders","key":"1/0","call":"open","args":{"owner":"127.0.0.1:1","boot":1,"capacity":2}}`))
	f.Add([]byte(`{"component":"scheduler","key":"s/0","call":"tick"}`))
	f.Add([]byte(`{"component":"content","key":"s/1","args":"{}"}`))
	f.Add([]byte(`{"component":"query","key":"1","call":"open","args":{"document":{"service":"s","digest":1},"query":{}}}`))
	f.Add([]byte(`{"component":"catalog","call":"open"}` + "\n" + `{"component":"catalog","call":"offer","args":{"service":"s"}}`))
	f.Add([]byte(`{"component":"fetch","call":"open","args":{"seed":[1,2]}}` + "\n" + `{"component":"fetch","call":"next"}`))
	f.Add([]byte(`{"component":"reader","call":"open","args":{"seed":[1,2]}}` + "\n" + `{"component":"reader","call":"finished","args":{"error":"e"}}`))
	f.Add([]byte(`{"component":"membership","call":"open","args":{"seed":[1,2]}}` + "\n" + `{"component":"membership","call":"receive","args":{"datagram":"AAAA"}}`))
	f.Add([]byte(`{"component":"phase","call":"open"}` + "\n" + `{"component":"phase","call":"confirm","args":{"Members":true}}`))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = Play(bytes.NewReader(content))
	})
}
