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

// TestRecordedTraces guards against decisions that differ from those of the
// recorded processes, and against traces whose stated outcome no longer holds.
// A wanted change of policy needs new traces: make traces.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl.gz")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			report, err := Play(bytes.NewReader(readTrace(t, file)))
			must.NoError(t, err)
			must.SliceEmpty(t, report.Differences)
			must.True(t, report.Holds())
			stated, err := os.ReadFile(strings.TrimSuffix(file, ".jsonl.gz") + ".json")
			must.NoError(t, err)
			var want Report
			must.NoError(t, json.Unmarshal(stated, &want))
			must.Eq(t, want, report)
		})
	}
}

// TestReplayDetects guards against a comparison that passes over a changed
// decision or an order that starts twice.
func TestReplayDetects(t *testing.T) {
	trace := readTrace(t, "testdata/instance-paused.jsonl.gz")
	var changed, doubled []string
	for l := range strings.Lines(string(trace)) {
		if strings.Contains(l, `"call":"submit"`) && strings.Contains(l, `"component":"orders"`) {
			doubled = append(doubled, l)
		}
		doubled = append(doubled, l)
		changed = append(changed, strings.Replace(l, `"Hedge":false`, `"Hedge":true`, 1))
	}
	report, err := Play(strings.NewReader(strings.Join(changed, "")))
	must.NoError(t, err)
	must.Positive(t, report.Mismatches)
	must.False(t, report.Holds())
	report, err = Play(strings.NewReader(strings.Join(doubled, "")))
	must.NoError(t, err)
	must.Eq(t, 2, report.Outcome.OrderStarts)
	must.False(t, report.Holds())
}

// FuzzPlay guards against panics on damaged trace files.
func FuzzPlay(f *testing.F) {
	f.Add([]byte(`{"component":"orders","key":"1/0","call":"open","args":{"owner":"127.0.0.1:1","boot":1,"capacity":2}}`))
	f.Add([]byte(`{"component":"scheduler","key":"s/0","call":"tick"}`))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = Play(bytes.NewReader(content))
	})
}
