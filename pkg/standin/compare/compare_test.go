package compare

import (
	"testing"

	"github.com/shoenig/test/must"
)

const testSeed = 20261204

// TestRunsRepeat guards against figures that depend on anything but the seed.
func TestRunsRepeat(t *testing.T) {
	for _, v := range schedulingWays {
		sc := scenario{load: mediumLoad, fault: homePaused}
		first, _ := run(sizes()[0], v, sc, testSeed)
		second, _ := run(sizes()[0], v, sc, testSeed)
		must.Eq(t, first, second, must.Sprint(v.name))
	}
}
