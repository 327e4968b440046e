package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestColdBounds guards against bounds for cold upstreams that are lost or replaced by the
// defaults, and against none at all if the settings do not state them.
func TestColdBounds(t *testing.T) {
	sample, err := os.ReadFile("../../examples/gateway.json")
	must.NoError(t, err)
	for section, want := range map[string]ColdBounds{
		``:                                     {Excess: 1.5, Slack: 5},
		`"cold": {},`:                          {Excess: 1.5, Slack: 5},
		`"cold": {"excess": 2},`:               {Excess: 2, Slack: 5},
		`"cold": {"excess": 1.2, "slack": 0},`: {Excess: 1.2},
		// The template yields null for a bound that the platform does not state.
		`"cold": {"excess": null, "slack": null},`: {Excess: 1.5, Slack: 5},
		`"cold": {"excess": 3, "slack": null},`:    {Excess: 3, Slack: 5},
	} {
		s, err := ParseGateway([]byte(strings.Replace(string(sample), "{", "{"+section, 1)))
		must.NoError(t, err)
		must.Eq(t, want, s.Cold, must.Sprint(section))
	}
	_, err = ParseGateway([]byte(strings.Replace(string(sample), "{", `{"cold": {"excess": -1},`, 1)))
	must.Error(t, err)
}
