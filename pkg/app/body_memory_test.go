package app

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/bodymemory"
	"github.com/sardineturn/sardineturn/pkg/settings"
)

// TestBodyMemory guards against a limit on bodies without the setting, against limits that
// together leave less than a quarter of the memory, and against a minimum share that has no
// room for the largest body of the deployments.
func TestBodyMemory(t *testing.T) {
	must.Eq(t, 0, bodyMemory(settings.Gateway{}))
	must.Eq(t, 23<<20, bodyMemory(settings.Gateway{MemoryMB: 184}))
	must.LessEq(t, 0.75, 2*answerMemoryShare+2*bodyMemoryShare)
	least := bodymemory.New(bodyMemory(settings.Gateway{MemoryMB: 1}))
	for priority := range bodymemory.Classes {
		_, _ = least.Reserve(time.Time{}.Add(1), priority, 1, 0)
	}
	for priority := range bodymemory.Classes {
		r, _ := least.Reserve(time.Time{}.Add(1), priority, 256<<10, 0)
		must.NotNil(t, r, must.Sprint(priority))
	}
}
