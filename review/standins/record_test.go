// Command standins plays the scripts of the review. Each script starts gateways as
// separate processes and serves them a store and upstreams that follow the users' pages.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes one line for each event of a run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// since returns the time since the start of the run in seconds.
func (r *recorder) since() float64 { return time.Since(r.start).Seconds() }

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", r.since(), fmt.Sprintf(format, args...))
}

// report writes a line to the record and to the standard output.
func (r *recorder) report(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
