package settings

import (
	"encoding/json"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

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

// TestTemplateTakesAnyFigure guards against processes that do not start because the
// platform states a figure in a form that a whole number does not have. grace_s 6.5 once
// became stop_ms 6.5000, which the schema refused, and no process of a fleet came back.
func TestTemplateTakesAnyFigure(t *testing.T) {
	setting := map[string]func(Gateway) float64{
		"bounds.grace_s":            func(s Gateway) float64 { return s.StopTime().Seconds() },
		"bounds.evacuate_ms":        func(s Gateway) float64 { return s.EvacuationMS },
		"bounds.retry_budget_ratio": func(s Gateway) float64 { return s.Budget.Ratio },
		"bounds.budget_extra":       func(s Gateway) float64 { return s.Budget.Allowance },
		"bounds.budget_window_s":    func(s Gateway) float64 { return s.BudgetWindow().Seconds() },
		"bounds.cold_excess":        func(s Gateway) float64 { return s.Cold.Excess },
		"bounds.cold_slack":         func(s Gateway) float64 { return s.Cold.Slack },
		"limits.memory_mb":          func(s Gateway) float64 { return s.MemoryMB },
		"limits.cores":              func(s Gateway) float64 { return s.Cores },
		"limits.cpu_share":          func(s Gateway) float64 { return s.CoreShare },
	}
	template, err := os.ReadFile("../../deploy/settings.json.tmpl")
	must.NoError(t, err)
	for _, match := range placeholder.FindAllStringSubmatch(string(template), -1) {
		path := strings.TrimSuffix(match[1], "|json")
		if strings.HasPrefix(path, "bounds.") || strings.HasPrefix(path, "limits.") {
			must.MapContainsKey(t, setting, path)
		}
	}
	for path, value := range setting {
		literals := map[string]float64{"0.5": 0.5, "1": 1, "1.0": 1, "1e0": 1}
		if path != "limits.cpu_share" {
			literals["6.5"], literals["12"], literals["12.0"], literals["2.5e2"] = 6.5, 12, 12, 250
		}
		for literal, want := range literals {
			s, err := ParseGateway(renderTemplate(t, platformFields(t, map[string]string{path: literal})))
			must.NoError(t, err, must.Sprint(path, " ", literal))
			must.Eq(t, want, value(s), must.Sprint(path, " ", literal))
		}
	}
}

// TestStopTime guards against a time to stop that is read in the wrong unit, against one
// that is lost, and against one so long that it becomes negative.
func TestStopTime(t *testing.T) {
	sample, err := os.ReadFile("../../examples/gateway.json")
	must.NoError(t, err)
	for fields, want := range map[string]time.Duration{
		``:                              6 * time.Second,
		`"stop_s": null,`:               6 * time.Second,
		`"stop_s": 6.5,`:                6500 * time.Millisecond,
		`"stop_s": 0,`:                  0,
		`"stop_s": 1e12,`:               maxDuration,
		`"stop_ms": 4000,`:              4 * time.Second,
		`"stop_ms": 1500.5,`:            1500500 * time.Microsecond,
		`"stop_s": 9, "stop_ms": 1000,`: time.Second,
		`"stop_s": 9, "stop_ms": null,`: 9 * time.Second,
	} {
		s, err := ParseGateway([]byte(strings.Replace(string(sample), "{", "{"+fields, 1)))
		must.NoError(t, err, must.Sprint(fields))
		must.Eq(t, want, s.StopTime(), must.Sprint(fields))
	}
	for _, fields := range []string{`"stop_s": -1,`, `"stop_s": true,`, `"stop_s": "6",`, `"stop_s": 1e308,`} {
		_, err := ParseGateway([]byte(strings.Replace(string(sample), "{", "{"+fields, 1)))
		must.ErrorContains(t, err, "stop_s", must.Sprint(fields))
	}
}
