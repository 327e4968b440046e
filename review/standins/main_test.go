package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// TestMain plays one script in place of tests and exits with its code.
func TestMain(*testing.M) {
	// The signal at the death of the parent is sent when the thread ends that started the
	// child.
	runtime.LockOSThread()
	record := flag.String("record", "record.txt", "file for the record of the run")
	flag.Parse()
	scripts := map[string]func(*recorder, string, bool) (int, error){
		"popular-request":  popularRequest,
		"crashing-request": crashingRequest,
		"planned-release":  plannedRelease,
	}
	script := scripts[flag.Arg(0)]
	if script == nil {
		fmt.Fprintln(os.Stderr, "unknown script:", flag.Arg(0))
		os.Exit(notRun)
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code, err := script(rec, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.report("the case could not run: %v", err)
		code = notRun
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}
