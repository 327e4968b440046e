package scheduler

import (
	"flag"

	_ "github.com/sardineturn/sardineturn/internal/testseed"
)

// checks is the number of random runs per test; the flag -rapid.checks
// overrides it.
const checks = "3000"

func init() {
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic(err)
	}
}
