// Package main runs the scripted cases of the third review: it starts gateways as
// separate processes beside stand-ins of the store, the leafs and the requesters.
package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// maxRunTime bounds a case.
const maxRunTime = 115 * time.Second

// running is the fleet whose processes must not outlive this one.
var running atomic.Pointer[fleet]

// endWithProcesses ends this process and the gateways on a signal or after maxRunTime.
func endWithProcesses() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		if f := running.Load(); f != nil {
			f.close()
		}
		os.Exit(cannotRun)
	}()
}

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// bench is what every case has.
type bench struct {
	program, dir string
	record       *os.File
	// trouble is false if the case is to run without its disruption.
	trouble bool
	start   time.Time
}

func (b *bench) logf(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(b.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(b.record, line)
}

// TestMain runs a case. The stand-ins are a test program, so that the platform's names
// stay out of the project's other sources.
func TestMain(*testing.M) {
	name := flag.String("case", "", "case to run")
	program := flag.String("program", "", "path of the project's program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	endWithProcesses()
	os.Exit(run(*name, *program, *record))
}

func run(name, program, record string) int {
	cases := map[string]func(*bench) (int, error){"deadline": deadlineCase}
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = f.Close() }()
	b := &bench{program: program, dir: dir, record: f, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	code, err := c(b)
	if err != nil {
		b.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	return code
}

// listenLoopback returns a listener on a free port of 127.0.0.1.
func listenLoopback() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
