// Package testseed gives random tests a fixed seed, so that CI gets the same
// verdict on every run. Tests import it for its side effect; the flag
// -rapid.seed overrides the seed for long runs.
package testseed

import (
	"flag"

	// Registers the flag that is set below.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
