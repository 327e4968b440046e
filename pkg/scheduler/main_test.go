package scheduler

import (
	"flag"

	_ "github.com/sardineturn/sardineturn/internal/testseed"
)

// rapidChecks is the number of random runs per test; the flag -rapid.checks
// overrides it.
const rapidChecks = "3000"

func init() {
	if err := flag.Set("rapid.checks", rapidChecks); err != nil {
		panic(err)
	}
}
