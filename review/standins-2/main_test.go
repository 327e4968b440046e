// Package standins runs the cases of the second review: the test program takes the name of a
// case as its argument. Each case starts gateways as separate processes and plays the store,
// the upstreams and the callers itself, on loopback addresses.
//
// The program exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package standins

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

// maxRunTime bounds a run, its start and its end included.
const maxRunTime = 110 * time.Second

// cases holds the script of each case. A script returns the number of times that the
// rule was broken.
var cases = map[string]func(e *env) (broken int, err error){}

func TestMain(*testing.M) {
	recordFile := flag.String("record", "record.txt", "file for the record of the run")
	flag.Parse()
	script := cases[flag.Arg(0)]
	if script == nil {
		fmt.Fprintln(os.Stderr, "usage: standins [--record FILE] CASE")
		os.Exit(2)
	}
	os.Exit(runCase(flag.Arg(0), script, *recordFile))
}

func runCase(name string, script func(e *env) (int, error), recordFile string) int {
	e, err := newEnv(recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer e.close()
	time.AfterFunc(maxRunTime, func() {
		e.stopProcesses()
		e.record.logf("stopped after %s", maxRunTime)
		os.Exit(2)
	})
	e.record.logf("case %s, trouble %t", name, e.trouble)
	broken, err := script(e)
	if err != nil {
		e.record.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e.record.logf("rule broken %d times", broken)
	fmt.Printf("%s: trouble %t, rule broken %d times\n", name, e.trouble, broken)
	if broken > 0 {
		return 1
	}
	return 0
}
