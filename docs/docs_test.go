// Package docs holds tests that compare the documentation pages with the program.
package docs

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/cli"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/settings"
)

func readFile(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	must.NoError(t, err)
	return string(text)
}

// tableRows finds the rows of Markdown tables in text whose first cell matches the
// regular expression firstCell as a whole, with its backquotes. It returns the cells of
// each row without backquotes.
func tableRows(text, firstCell string) [][]string {
	pattern := regexp.MustCompile("^" + firstCell + "$")
	var out [][]string
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "|") {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if !pattern.MatchString(strings.TrimSpace(cells[0])) {
			continue
		}
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		out = append(out, cells)
	}
	return out
}

// literalConstants reads the constants in a Go source file that are declared with a
// literal value, and returns the values, without quotes, by name. If typeName is not
// empty, it returns only the constants that are declared with this type.
func literalConstants(t *testing.T, file, typeName string) map[string]string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	must.NoError(t, err)
	out := make(map[string]string)
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if ok && (typeName == "" || unqualifiedName(spec.Type) == typeName) {
			out[spec.Names[0].Name] = strings.Trim(literal.Value, `"`)
		}
		return true
	})
	return out
}

// unqualifiedName returns the name of a type without its package, or "" if e is not a
// name.
func unqualifiedName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	default:
		return ""
	}
}

// TestResultCodesMatchPage guards against result codes that were added or renamed
// without the page, so that callers can't look them up, and against a "ran" column that
// contradicts the class of the code: 3xxx, for example, means that the request has not
// run.
func TestResultCodesMatchPage(t *testing.T) {
	want := make(map[string]string)
	for code, name := range result.Codes() {
		want[fmt.Sprint(int(code))] = name
	}
	got := make(map[string]string)
	for _, row := range tableRows(readFile(t, "result-codes.md"), `\d+`) {
		must.Len(t, 5, row, must.Sprint(row))
		number, name, meaning, ran, sendAgain := row[0], row[1], row[2], row[3], row[4]
		got[number] = name
		must.NotEq(t, "", meaning)
		must.RegexMatch(t, regexp.MustCompile(`^(yes|no)\b`), sendAgain)
		allowedRan := map[byte]string{'1': "yes", '2': "no", '3': "no", '4': "yes unknown", '5': "unknown"}
		must.StrContains(t, allowedRan[number[0]], ran)
	}
	must.Eq(t, want, got)
}

// TestLogEventsMatchPage guards against log events that were added, renamed or removed
// without the page, so that operators can't look them up.
func TestLogEventsMatchPage(t *testing.T) {
	want := make(map[string]string)
	for name, number := range literalConstants(t, "../pkg/event/event.go", "ID") {
		want[number] = name
	}
	got := make(map[string]string)
	for _, row := range tableRows(readFile(t, "log-events.md"), `\d+`) {
		must.Len(t, 4, row, must.Sprint(row))
		must.NotEq(t, "", row[2])
		must.NotEq(t, "", row[3])
		got[row[0]] = row[1]
	}
	must.Eq(t, want, got)
}

// TestMetricsAndFaultCodesMatchPages guards against metrics, and codes of faults in a
// service document, that were added, renamed or removed without the pages: operators
// could not look up the metrics, and a service's owner could not look up the codes.
func TestMetricsAndFaultCodesMatchPages(t *testing.T) {
	want := make(map[string]bool)
	for constant, metric := range literalConstants(t, "../pkg/metrics/names.go", "") {
		if strings.HasPrefix(constant, "name") {
			want[metrics.Prefix+"_"+metric] = true
		}
	}
	for _, file := range []string{"../pkg/jsoncheck/jsoncheck.go", "../pkg/document/check.go"} {
		for _, code := range literalConstants(t, file, "Code") {
			want[code] = true
		}
	}
	_, faultsSection, _ := strings.Cut(readFile(t, "service-document.md"), "## Faults")
	_, metricsSection, _ := strings.Cut(readFile(t, "OPERATIONS.md"), "## Metrics")
	got := make(map[string]bool)
	for _, row := range tableRows(faultsSection+metricsSection, "`[a-z_]+`") {
		must.NotEq(t, "", row[1])
		got[row[0]] = true
	}
	must.Eq(t, want, got)
}

// TestSchemaTablesMatchPages guards against a JSON schema that was changed without the
// page that documents it: the page must contain the schema's fields, bounds, defaults
// and descriptions as a table.
func TestSchemaTablesMatchPages(t *testing.T) {
	for page, schema := range map[string][]byte{
		"settings.md":         settings.Schema(),
		"gateway-settings.md": settings.GatewaySchema(),
		"service-document.md": document.Schema(),
	} {
		must.StrContains(t, readFile(t, page), schemaTable(t, schema), must.Sprint(page))
	}
}

// schemaNode is a node of a JSON schema, with the keywords that the tables need.
type schemaNode struct {
	Ref         string                `json:"$ref"`
	Description string                `json:"description"`
	Type        string                `json:"type"`
	Minimum     *float64              `json:"minimum"`
	Maximum     *float64              `json:"maximum"`
	Enum        []string              `json:"enum"`
	Default     any                   `json:"default"`
	Required    []string              `json:"required"`
	Properties  map[string]schemaNode `json:"properties"`
	Items       *schemaNode           `json:"items"`
	Defs        map[string]schemaNode `json:"$defs"`
}

// schemaTable returns all fields of a schema as a Markdown table. The fields are sorted
// by name, and each field is followed by the fields nested in it.
func schemaTable(t *testing.T, schema []byte) string {
	t.Helper()
	var root schemaNode
	must.NoError(t, json.Unmarshal(schema, &root))
	var out strings.Builder
	out.WriteString("| field | type | required | default | meaning |\n|---|---|---|---|---|\n")
	var walk func(prefix string, n schemaNode)
	resolve := func(n schemaNode) schemaNode {
		if n.Ref == "" {
			return n
		}
		target := root.Defs[strings.TrimPrefix(n.Ref, "#/$defs/")]
		target.Description = cmp.Or(n.Description, target.Description)
		return target
	}
	walk = func(prefix string, n schemaNode) {
		names := make([]string, 0, len(n.Properties))
		for name := range n.Properties {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			field := resolve(n.Properties[name])
			required := "no"
			if slices.Contains(n.Required, name) {
				required = "yes"
			}
			fmt.Fprintf(&out, "| `%s%s` | %s | %s | %s | %s |\n", prefix, name, typeCell(field, resolve), required, defaultCell(field), field.Description)
			walk(prefix+name+".", field)
			if field.Items != nil {
				walk(prefix+name+"[].", resolve(*field.Items))
			}
		}
	}
	walk("", root)
	return out.String()
}

// typeCell returns the table cell with a field's type and its bounds or allowed values.
func typeCell(n schemaNode, resolve func(schemaNode) schemaNode) string {
	switch {
	case n.Items != nil:
		return "array of " + resolve(*n.Items).Type
	case n.Enum != nil:
		return "one of " + strings.Join(n.Enum, ", ")
	case n.Minimum != nil && n.Maximum != nil:
		return fmt.Sprintf("%s, %.f to %.f", n.Type, *n.Minimum, *n.Maximum)
	default:
		return n.Type
	}
}

// defaultCell returns the table cell with a field's default, or "" if it has none.
func defaultCell(n schemaNode) string {
	if f, ok := n.Default.(float64); ok {
		return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", f), "0"), ".")
	}
	if n.Default == nil {
		return ""
	}
	return fmt.Sprint(n.Default)
}

var (
	jsonBlock  = regexp.MustCompile("(?s)```json\n(.*?)```")
	shellBlock = regexp.MustCompile("(?s)```sh\n(.*?)```")
)

// TestSamplesInPagesAreAccepted guards against sample documents and settings in the
// pages that the program rejects.
func TestSamplesInPagesAreAccepted(t *testing.T) {
	sample := jsonBlock.FindStringSubmatch(readFile(t, "service-document.md"))
	must.Len(t, 2, sample)
	_, err := document.Parse([]byte(sample[1]))
	must.NoError(t, err)
	sample = jsonBlock.FindStringSubmatch(readFile(t, "settings.md"))
	must.Len(t, 2, sample)
	_, err = settings.Parse([]byte(sample[1]), nil)
	must.NoError(t, err)
}

// TestCommandsInPagesWork guards against commands in the pages that do not work as
// written. A make command must be one that CI runs. The test itself runs the commands of
// the program; in place of an instance, an HTTP server answers them with the answer
// that is printed in README.md.
func TestCommandsInPagesWork(t *testing.T) {
	t.Chdir("..")
	ci := readFile(t, ".ci/run")
	answers := jsonBlock.FindAllStringSubmatch(readFile(t, "README.md"), -1)
	must.SliceNotEmpty(t, answers)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, answers[0][1])
	}))
	defer server.Close()
	dialServer := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, server.Listener.Addr().String())
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dialServer}}
	subcommandsRun := make(map[string]bool)
	for _, page := range []string{"README.md", "docs/OPERATIONS.md", "docs/service-document.md", "docs/settings.md", "docs/gateway-settings.md"} {
		for _, block := range shellBlock.FindAllStringSubmatch(readFile(t, page), -1) {
			for line := range strings.Lines(block[1]) {
				args := strings.Fields(strings.ReplaceAll(line, "'", ""))
				if len(args) == 0 {
					continue
				}
				switch args[0] {
				case "make":
					must.StrContains(t, ci, strings.TrimSpace(line), must.Sprint(page))
				case "bin/sardineturn":
					var out strings.Builder
					program := &cli.Program{Stdout: &out, Stderr: io.Discard, Client: client}
					program.Serve = func(context.Context, settings.Settings) error { return nil }
					program.Gateway = func(_ context.Context, settingsFile string) error {
						_, _, err := settings.NewGatewayFile(settingsFile).Read()
						return err
					}
					must.Eq(t, cli.ExitOK, program.Run(t.Context(), args[1:]), must.Sprint(page, line))
					if args[1] == "check" {
						must.StrContains(t, readFile(t, "README.md"), out.String())
					}
					subcommandsRun[args[1]] = true
				default:
					t.Errorf("%s: no test runs %q", page, line)
				}
			}
		}
	}
	must.MapContainsKeys(t, subcommandsRun, []string{"check", "gateway", "query", "serve", "trace"})
}
