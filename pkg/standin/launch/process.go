// Package launch starts and stops the processes of demos, experiments and
// fault tests: instances of sardineturn and the stand-ins around them. Only
// this package starts processes, and it ends only those that it started.
package launch

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one started process.
type Process struct {
	Name string
	// LogFile receives standard output and standard error.
	LogFile string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Command describes a process to start.
type Command struct {
	Name string
	Path string
	Args []string
	Env  []string
	// LogDir is the directory of the log file.
	LogDir string
	// Ready, when set, receives the JSON line that the process prints when it
	// is ready.
	Ready any
}

// Start starts the process and, with Ready set, waits for its first line.
func Start(ctx context.Context, c Command) (*Process, error) {
	logFile := filepath.Join(c.LogDir, c.Name+".log")
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(c.Path, c.Args...)
	cmd.Env = append(os.Environ(), c.Env...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{
		// A signal to the launcher's terminal must not reach the children,
		// which the launcher stops in order.
		Setpgid:   true,
		Pdeathsig: syscall.SIGKILL,
	}
	var lines io.Reader
	if c.Ready == nil {
		cmd.Stdout = log
	} else if lines, err = cmd.StdoutPipe(); err != nil {
		_ = log.Close()
		return nil, err
	}
	if err := startOnStarter(cmd); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("%s: %w", c.Name, err)
	}
	p := &Process{Name: c.Name, LogFile: logFile, cmd: cmd, done: make(chan struct{})}
	ready := make(chan error, 1)
	go p.wait(log, lines, c.Ready, ready)
	if c.Ready == nil {
		return p, nil
	}
	select {
	case err = <-ready:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		p.Kill()
		return nil, fmt.Errorf("%s did not become ready (log: %s): %w", c.Name, logFile, err)
	}
	return p, nil
}

// wait reads the output to its end and then collects the process.
func (p *Process) wait(log *os.File, lines io.Reader, into any, ready chan<- error) {
	defer log.Close()
	if lines != nil {
		r := bufio.NewReader(lines)
		line, err := r.ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(line, into)
		}
		ready <- err
		_, _ = io.Copy(log, r)
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal. os.Process never signals a process that has been
// collected, so a reused id is safe.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// pausePoll is the time between looks at a process that is being stopped.
const pausePoll = time.Millisecond

// Pause stops the process as SIGSTOP does, and returns when all of its threads
// have stopped: the signal takes effect some time after it is sent.
func (p *Process) Pause() {
	p.Signal(syscall.SIGSTOP)
	for p.Running() && !allStopped(p.PID()) {
		time.Sleep(pausePoll)
	}
}

// allStopped reports whether every thread of a process is stopped.
func allStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, file := range threads {
		content, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		// The state follows the name, which is in parentheses.
		_, state, _ := strings.Cut(string(content), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// ErrKilled is returned for a process that did not end in time.
var ErrKilled = errors.New("process did not end in time and was killed")

// Terminate sends SIGTERM, waits, and kills the process after the grace. It
// returns nil when the process ended by itself with status 0.
func (p *Process) Terminate(grace time.Duration) error {
	p.Signal(syscall.SIGTERM)
	// A paused process handles the signal only once it runs again.
	p.Resume()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		p.Kill()
		return fmt.Errorf("%s: %w", p.Name, ErrKilled)
	}
	if p.err != nil {
		return fmt.Errorf("%s (log: %s): %w", p.Name, p.LogFile, p.err)
	}
	return nil
}

// starter runs on one thread that lives as long as the launcher, because the
// kernel sends the parent-death signal when the starting thread ends.
var starter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

func startOnStarter(cmd *exec.Cmd) error {
	errs := make(chan error)
	starter() <- func() { errs <- cmd.Start() }
	return <-errs
}
