package settings

import (
	"encoding/json"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// platformFields returns the fields with which the platform fills in the template, as
// small deployments have them. figures replaces or adds fields of "bounds" and "limits";
// each is the literal as the platform writes it.
func platformFields(t *testing.T, figures map[string]string) map[string]any {
	t.Helper()
	literal := func(text string) any {
		var v any
		d := json.NewDecoder(strings.NewReader(text))
		d.UseNumber()
		must.NoError(t, d.Decode(&v), must.Sprint(text))
		return v
	}
	fields := literal(`{
		"node_name": "front-1", "zone": "dc1", "ip": "127.0.0.1", "inner_ports": [7101, 7116],
		"seeds": ["127.0.0.1:7101"], "first_start": true,
		"listen": {"front": "127.0.0.1:7103", "ready_addr": "127.0.0.1:7104"},
		"limits": {"cpu_share": 0.4, "cores": 1, "memory_mb": 284},
		"bounds": {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 58},
		"platform": {"address": "127.0.0.1:7100"}
	}`).(map[string]any)
	for path, text := range figures {
		section, name, _ := strings.Cut(path, ".")
		fields[section].(map[string]any)[name] = literal(text)
	}
	return fields
}

var placeholder = regexp.MustCompile(`\{\{(.*?)\}\}`)

// renderTemplate fills in the deployment's template, which has placeholders of the form
// {{a.b|json}} only; a field that is not stated yields null.
func renderTemplate(t *testing.T, fields map[string]any) []byte {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.json.tmpl")
	must.NoError(t, err)
	return []byte(placeholder.ReplaceAllStringFunc(string(template), func(match string) string {
		path, plain := strings.CutSuffix(strings.Trim(match, "{}"), "|json")
		must.True(t, plain && !strings.ContainsAny(path, "#^/&, "), must.Sprint("not a plain placeholder: ", match))
		var value any = fields
		for key := range strings.SplitSeq(path, ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[key]
			case []any:
				i, err := strconv.Atoi(key)
				must.NoError(t, err)
				value = v[i]
			}
		}
		text, err := json.Marshal(value)
		must.NoError(t, err)
		return string(text)
	}))
}

// TestTemplateStatesEvacuations guards against a template that decides about load shedding
// with a section, which only the platform's own renderer can fill in, and against a bound
// for evacuations that does not reach the settings.
func TestTemplateStatesEvacuations(t *testing.T) {
	for _, test := range []struct {
		figures map[string]string
		want    float64
	}{
		{nil, 0},
		{map[string]string{"bounds.evacuate_ms": "5000"}, 5000},
		{map[string]string{"bounds.evacuate_ms": "0.5"}, 0.5},
	} {
		s, err := ParseGateway(renderTemplate(t, platformFields(t, test.figures)))
		must.NoError(t, err)
		must.Eq(t, LoadSheddingAuto, s.LoadShedding)
		must.Eq(t, test.want, s.EvacuationMS)
	}
}
