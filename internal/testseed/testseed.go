// Package testseed gives random tests a fixed seed, so that CI gets the same
// verdict on every run. Tests import it for its side effect; the flag
// -rapid.seed overrides the seed for long runs. No files of failures are written,
// because a fixed seed repeats them.
package testseed

import (
	"flag"

	// Registers the flag that is set below.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
