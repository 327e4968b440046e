package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives random tests a fixed seed unless the command line names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.nofailfile", "true")
		_ = flag.Set("rapid.checks", "3000")
	}
	os.Exit(m.Run())
}
