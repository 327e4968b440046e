package app

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/gateway"
	"github.com/sardineturn/sardineturn/pkg/settings"
)

// TestLoadShedding guards against load shedding that does not follow the documented rule,
// such as one that ignores that data centres may be evacuated.
func TestLoadShedding(t *testing.T) {
	for _, test := range []struct {
		value        settings.LoadShedding
		evacuationMS float64
		want         gateway.LoadShedding
	}{
		{settings.LoadSheddingAuto, 0, gateway.ShedByRoutes},
		{settings.LoadSheddingAuto, 5000, gateway.ShedAlways},
		{settings.LoadSheddingOn, 0, gateway.ShedAlways},
		{settings.LoadSheddingOff, 5000, gateway.ShedNever},
		{"", 5000, gateway.ShedNever},
	} {
		must.Eq(t, test.want, loadShedding(settings.Gateway{LoadShedding: test.value, EvacuationMS: test.evacuationMS}), must.Sprint(test))
	}
}
