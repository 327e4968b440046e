// Package testseed sets a fixed seed for random tests, so that each CI run
// makes the same test cases. Tests import it for its side effect; the flag
// -rapid.seed overrides the seed for long runs. The package also turns off
// rapid's failure files, because a fixed seed reproduces each failure.
package testseed

import (
	"flag"

	// Registers the flags that are set below.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	setFlag("rapid.seed", seed)
	setFlag("rapid.nofailfile", "true")
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
