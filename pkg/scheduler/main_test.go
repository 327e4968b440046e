package scheduler

import (
	"flag"

	_ "github.com/sardineturn/sardineturn/internal/testseed"
)

// rapidChecks is the number of random cases per property test. A flag
// -rapid.checks on the command line takes precedence.
const rapidChecks = "3000"

func init() {
	if err := flag.Set("rapid.checks", rapidChecks); err != nil {
		panic(err)
	}
}
