package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/settings"
)

const (
	sampleDocument = "../../examples/shevitsa/fitting-desk-01.json"
	sampleSettings = "../../examples/settings.json"
)

// run runs the program with the arguments and returns the exit code and what it
// printed.
func run(p *Program, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	p.Stdout, p.Stderr = &out, &errs
	code = p.Run(context.Background(), args)
	return code, out.String(), errs.String()
}

// TestCheckPrintsEveryFault guards against a command check that stops at the first
// fault or the first bad file, or that exits with 0 after an invalid document.
func TestCheckPrintsEveryFault(t *testing.T) {
	content, err := os.ReadFile(sampleDocument)
	must.NoError(t, err)
	bad := strings.NewReplacer(`"revision": 1`, `"revision": 0`, `"slots": 3`, `"slots": 31`).Replace(string(content))
	file := filepath.Join(t.TempDir(), "bad.json")
	must.NoError(t, os.WriteFile(file, []byte(bad), 0o600))

	code, out, _ := run(&Program{}, "check", file, "missing.json", sampleDocument)
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, out, file+": $.revision: out_of_range: ")
	must.StrContains(t, out, file+": $.upstreams[2].slots: slots_over_connection_limit: ")
	must.StrContains(t, out, "missing.json: unreadable: ")
	must.StrContains(t, out, sampleDocument+": valid: service fitting-desk-01, revision 1, 3 upstreams, 6 shards in snapshot 2026-11-30, 1 scheduling groups\n")

	code, _, _ = run(&Program{}, "check", sampleDocument)
	must.Eq(t, ExitOK, code)
}

// TestQuerySendsTheRequest guards against flags of the command query that are
// missing from the request body, and against an exit code of 0 after a refusal or
// after a response that is not an answer.
func TestQuerySendsTheRequest(t *testing.T) {
	var body, reply string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, "POST /v1/query", r.Method+" "+r.URL.Path)
		text, err := io.ReadAll(r.Body)
		must.NoError(t, err)
		body = string(text)
		_, _ = io.WriteString(w, reply)
	}))
	defer server.Close()
	args := []string{
		"query", "--address", server.Listener.Addr().String(), "--service", "s", "--operation", "o",
		"--priority", "p", "--shards", "a,b", "--deadline-ms", "50", "--least-coverage", "0.5", "--payload", `{"x":1}`,
	}
	reply = `{"code":1001,"ran":"ran"}`
	code, out, _ := run(&Program{}, args...)
	must.Eq(t, ExitOK, code)
	must.Eq(t, `{"service":"s","operation":"o","priority":"p","caller":"sardineturn-cli","deadline_ms":50,`+
		`"shards":["a","b"],"least_coverage":0.5,"payload":{"x":1}}`, body)
	must.StrContains(t, out, `"code": 1001`)

	reply = `{"code":3000,"ran":"not_run"}`
	code, _, errs := run(&Program{}, args...)
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, errs, "code 3000 (overloaded), ran: not_run")

	reply = `not found`
	code, _, errs = run(&Program{}, args...)
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, errs, "no result code")
}

// TestOperatorCommands guards against requests to the operator listener with a
// wrong path or without their parameters, and against an exit code of 0 after an
// HTTP error status.
func TestOperatorCommands(t *testing.T) {
	var requestURL string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestURL = r.URL.String()
		if r.URL.Query().Get("service") == "none" {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, `{"a":1}`)
	}))
	defer server.Close()
	code, out, _ := run(&Program{}, "status", "--operator", server.URL)
	must.Eq(t, ExitOK, code)
	must.Eq(t, "{\n  \"a\": 1\n}\n", out)
	must.Eq(t, "/status", requestURL)
	code, _, _ = run(&Program{}, "explain", "--operator", server.URL, "--service", "a b", "--shard", "x")
	must.Eq(t, ExitOK, code)
	must.Eq(t, "/explain?service=a+b&shard=x", requestURL)
	code, _, _ = run(&Program{}, "explain", "--operator", server.URL, "--host", "h", "--path", "/p", "--method", "POST", "--size", "5", "--repeated", "--all")
	must.Eq(t, ExitOK, code)
	must.Eq(t, "/explain?all=true&host=h&method=POST&path=%2Fp&repeated=true&size=5", requestURL)
	code, _, errs := run(&Program{}, "explain", "--operator", server.URL, "--service", "none")
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, errs, "HTTP status 404")
}

// TestServeAppliesFlags guards against flags that do not replace the settings of
// the file, and against an instance that starts with invalid settings.
func TestServeAppliesFlags(t *testing.T) {
	var got settings.Settings
	p := &Program{Serve: func(_ context.Context, s settings.Settings) error { got = s; return nil }}
	code, _, errs := run(p, "serve", "--settings", sampleSettings, "--log-level=debug", "--max-tickets=5",
		"--seeds=127.0.0.1:1,127.0.0.1:2", "--assert-invariants")
	must.Eq(t, ExitOK, code, must.Sprint(errs))
	want, err := settings.Load(sampleSettings, nil)
	must.NoError(t, err)
	want.LogLevel, want.Limits.MaxTickets, want.AssertInvariants = "debug", 5, true
	want.Seeds = []string{"127.0.0.1:1", "127.0.0.1:2"}
	must.Eq(t, want, got)

	code, _, errs = run(p, "serve", "--settings", sampleSettings, "--max-instances=0", "--cluster=")
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, errs, "$.max_instances: out_of_range")
	must.StrContains(t, errs, "$.cluster: empty_text")
}

// TestEverySettingHasAFlag guards against a setting without a flag, and against a
// flag whose name is not that of a setting.
func TestEverySettingHasAFlag(t *testing.T) {
	type object struct {
		Properties map[string]struct {
			Properties map[string]any `json:"properties"`
		} `json:"properties"`
	}
	var schema object
	must.NoError(t, json.Unmarshal(settings.Schema(), &schema))
	want := map[string]bool{"settings": true, "help": true}
	for name, p := range schema.Properties {
		if p.Properties == nil {
			want[strings.ReplaceAll(name, "_", "-")] = true
		}
		for nested := range p.Properties {
			want[strings.ReplaceAll(nested, "_", "-")] = true
		}
	}
	got := make(map[string]bool)
	for _, flags := range findCommand(t, "serve").AllFlags(false) {
		for _, f := range flags {
			got[f.Name] = true
		}
	}
	must.Eq(t, want, got)
}

// findCommand returns the parser's node of the command with the name.
func findCommand(t *testing.T, name string) *kong.Node {
	t.Helper()
	parser, err := (&Program{Stdout: io.Discard, Stderr: io.Discard}).parser(func(int) {})
	must.NoError(t, err)
	for _, n := range parser.Model.Children {
		if n.Name == name {
			return n
		}
	}
	t.Fatalf("no command %s", name)
	return nil
}

// exampleLine matches a command line in an example of a help text.
var exampleLine = regexp.MustCompile(`(?m)^\s+sardineturn (.+)$`)

// TestHelpShowsWorkingExamples guards against a help text without an example, and
// against an example that the parser refuses.
func TestHelpShowsWorkingExamples(t *testing.T) {
	for _, name := range []string{"serve", "check", "status", "query", "explain", "replay", "version"} {
		code, out, _ := run(&Program{}, name, "--help")
		must.Eq(t, ExitOK, code)
		must.StrContains(t, out, "Example:")
		lines := exampleLine.FindAllStringSubmatch(out, -1)
		must.SliceNotEmpty(t, lines, must.Sprint(name))
		for _, line := range lines {
			args := strings.Fields(strings.ReplaceAll(line[1], "'", ""))
			parser, err := (&Program{Stdout: io.Discard, Stderr: io.Discard}).parser(func(int) {})
			must.NoError(t, err)
			_, err = parser.Parse(args)
			must.NoError(t, err, must.Sprint(line[1]))
			must.Eq(t, name, args[0])
		}
	}
}

// TestUsageErrors guards against invalid arguments that end with another exit code
// than ExitUsage or without a message.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{nil, {"check"}, {"unknown"}, {"query", "--service", "s"}, {"explain"}, {"explain", "--host", "h"}, {"explain", "--host", "h", "--path", "/", "--service", "s"}} {
		code, _, errs := run(&Program{}, args...)
		must.Eq(t, ExitUsage, code)
		must.NotEq(t, "", errs)
	}
	code, out, _ := run(&Program{}, "version")
	must.Eq(t, ExitOK, code)
	must.StrContains(t, out, "sardineturn ")
}
