package requestlog

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const sampleLog = `  20.1 front-b {"event":300,"instance":"b","msg":"a configuration is in force","revision":7,"time":"2026-01-01T00:01:05Z","version":4}
  20.1 front-a {"event":300,"instance":"a","msg":"a configuration is in force","revision":7,"time":"2026-01-01T00:00:05Z","version":4}
not a line {
  21.0 front-b {"event":401,"instance":"b","msg":"an upstream was avoided","upstream":"u2","time":"2026-01-01T00:01:08Z"}
  22.0 front-a {"event":408,"instance":"a","request":"r1","code":"partial_answer","ran":"ran","verdict":"partial","route":"q","config":4,"took_ms":75,"wait_ms":800,"target_ms":80,"time":"2026-01-01T00:00:10Z","msg":"m","missing":{"s2":"in_progress"},"attempts":[{"part":"s1","upstream":"u1","cause":"hedge","at_ms":20,"took_ms":5,"status":"succeeded","http":200},{"part":"s2","upstream":"u2","cause":"first","at_ms":0.1,"status":"running"}]}
  23.0 front-a {"event":408,"instance":"a","request":"r2","code":"not_ready","ran":"not_run","time":"2026-01-01T00:00:11Z","msg":"m"}
`

// TestExplain guards against an explanation that lacks the cause, or that shows
// events of another instance at the wrong time because that instance's clock is a
// minute ahead.
func TestExplain(t *testing.T) {
	lines, err := Read(strings.NewReader(sampleLog))
	must.NoError(t, err)
	must.Len(t, 5, lines)
	var out strings.Builder
	must.True(t, Explain(&out, lines, "r1"))
	must.StrContains(t, out.String(), "missing: s2, in_progress")
	must.StrContains(t, out.String(), "cause: of the attempts and parts concerned: 1× did not answer in time\n")
	must.StrContains(t, out.String(), "-5.0 s a 300 a configuration is in force")
	must.StrContains(t, out.String(), "-2.0 s b 401 an upstream was avoided u2")
	must.StrNotContains(t, out.String(), "b 300")
	must.False(t, Explain(&out, lines, "r3"))
}

// TestSkewAcrossEras guards against taking two changes for one because they have the same
// revision in different eras of the platform: the clock of an instance would then seem to
// differ by the time between the two.
func TestSkewAcrossEras(t *testing.T) {
	lines, err := Read(strings.NewReader(`{"event":406,"instance":"a","upstream":"u1","revision":7,"time":"2026-01-01T00:00:05Z"}
{"event":406,"instance":"b","upstream":"u1","revision":7,"era":1,"time":"2026-01-01T00:00:35Z"}
{"event":406,"instance":"c","upstream":"u1","revision":7,"time":"2026-01-01T00:01:05Z"}
`))
	must.NoError(t, err)
	must.Eq(t, map[string]time.Duration{"c": time.Minute}, clockSkews(lines, "a"))
}

// TestCause guards against refused or late requests for which no cause is given.
func TestCause(t *testing.T) {
	lines, err := Read(strings.NewReader(sampleLog))
	must.NoError(t, err)
	must.StrContains(t, Cause(lines[4]), "no configuration")
	must.StrContains(t, Cause(Line{Code: "ok", SpentMS: 200, TookMS: 10, TargetMS: 80}), "had spent 200 ms")
	must.StrContains(t, Cause(Line{Code: "coverage_too_low", Missing: MissingReasons{"s": "budget_used"}}), "retry budget")
}

// TestExplainDelegatedQuery guards against an explanation that covers only the
// instance to which the caller sent the query, although another one ran it.
func TestExplainDelegatedQuery(t *testing.T) {
	lines, err := Read(strings.NewReader(`{"event":408,"instance":"large","request":"r1","code":"partial_answer","took_ms":30,"time":"2026-01-01T00:00:10Z","missing":{"s2":"in_progress"},"attempts":[{"part":"s2","upstream":"u2","cause":"first","status":"running"}]}
{"event":408,"instance":"small","request":"r1","code":"partial_answer","took_ms":34,"time":"2026-01-01T00:00:10Z","delegate":"10.0.0.1:1","delegate_outcome":"answered","delegate_ms":32}
{"event":408,"instance":"small","request":"r2","code":"no_answer_in_time","time":"2026-01-01T00:00:11Z","delegate":"10.0.0.1:1","delegate_outcome":"failed","delegate_ms":80}
{"event":408,"instance":"small","request":"r3","code":"ok","spent_ms":0,"took_ms":90,"target_ms":80,"time":"2026-01-01T00:00:12Z","delegate":"10.0.0.1:1","delegate_outcome":"declined","delegate_reason":"not ready","delegate_ms":2}
`))
	must.NoError(t, err)
	for id, wanted := range map[string][]string{
		"r1": {"request r1 at small", "delegated to 10.0.0.1:1: answered after 32.0 ms", "at large: partial_answer", "1× did not answer in time"},
		"r2": {"gave no answer in time"},
		"r3": {"declined after 2.0 ms not ready", "all attempts were slow"},
	} {
		var out strings.Builder
		must.True(t, Explain(&out, lines, id))
		for _, text := range wanted {
			must.StrContains(t, out.String(), text)
		}
	}
}

// TestUncleanRestarts guards against a restart after a kill that is not reported:
// requests that were in progress then have no log line, and nothing explains why.
// It also guards against a restart after a planned stop that is reported.
func TestUncleanRestarts(t *testing.T) {
	lines, err := Read(strings.NewReader(`{"event":100,"instance":"a","time":"2026-01-01T00:00:01Z"}
{"event":100,"instance":"b","time":"2026-01-01T00:00:01Z"}
{"event":102,"instance":"b","time":"2026-01-01T00:00:05Z"}
{"event":100,"instance":"b","time":"2026-01-01T00:00:09Z"}
{"event":100,"instance":"a","time":"2026-01-01T00:00:09Z"}
`))
	must.NoError(t, err)
	restarts := UncleanRestarts(lines)
	must.MapLen(t, 1, restarts)
	must.SliceLen(t, 1, restarts["a"])
}
