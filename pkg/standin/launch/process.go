// Package launch starts and stops the processes of demos, experiments and fault
// tests: instances of sardineturn, and the stand-ins for the systems around them.
// It ends only processes that it started.
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

// Process is a child process that was started by Start.
type Process struct {
	Name string
	// LogFile is the path of the file that receives standard output and standard
	// error.
	LogFile string

	cmd *exec.Cmd
	// done is closed when the process has ended. err is the exit error and is set
	// before that.
	done chan struct{}
	err  error
}

// Command describes a process to start.
type Command struct {
	// Name names the process in errors and its log file.
	Name string
	Path string
	Args []string
	// Env is added to the launcher's environment, which the process inherits.
	Env []string
	// LogDir is the directory of the log file. Start appends to a log file that
	// exists.
	LogDir string
	// Ready is nil or a pointer. Unless it is nil, the process must print one line of
	// JSON on standard output when it is ready, and Start decodes this line into
	// Ready.
	Ready any
}

// Start starts the process. If c.Ready is set, it waits for the first line of standard
// output, and kills the process if the line isn't valid or ctx ends first.
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
		// Each child gets a process group of its own, so that Ctrl-C in the
		// terminal doesn't reach the children. The launcher stops them in order.
		Setpgid:   true,
		Pdeathsig: syscall.SIGKILL,
	}
	var stdout io.Reader
	if c.Ready == nil {
		cmd.Stdout = log
	} else if stdout, err = cmd.StdoutPipe(); err != nil {
		_ = log.Close()
		return nil, err
	}
	if err := startOnStarterThread(cmd); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("%s: %w", c.Name, err)
	}
	p := &Process{Name: c.Name, LogFile: logFile, cmd: cmd, done: make(chan struct{})}
	readyErr := make(chan error, 1)
	go p.wait(log, stdout, c.Ready, readyErr)
	if c.Ready == nil {
		return p, nil
	}
	select {
	case err = <-readyErr:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		p.Kill()
		return nil, fmt.Errorf("%s did not become ready (log: %s): %w", c.Name, logFile, err)
	}
	return p, nil
}

// wait decodes the first line of standard output into readyValue and sends the
// result to readyErr, both only if stdout isn't nil. It copies the rest to the log
// and then waits for the process to end.
func (p *Process) wait(log *os.File, stdout io.Reader, readyValue any, readyErr chan<- error) {
	defer log.Close()
	if stdout != nil {
		r := bufio.NewReader(stdout)
		line, err := r.ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(line, readyValue)
		}
		readyErr <- err
		_, _ = io.Copy(log, r)
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

// PID returns the process id of the operating system.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
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

// Signal sends a signal to the process. It can't hit another process to which the system
// has given the same id, because os.Process sends no signal after Wait has returned.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// pausePollInterval is the time between two checks whether SIGSTOP has taken
// effect.
const pausePollInterval = time.Millisecond

// Pause sends SIGSTOP and waits until all threads of the process have stopped, because
// the signal takes effect only some time after it is sent.
func (p *Process) Pause() {
	p.Signal(syscall.SIGSTOP)
	for p.Running() && !allStopped(p.PID()) {
		time.Sleep(pausePollInterval)
	}
}

// allStopped reports whether all threads of a process are stopped, according to
// /proc.
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
		// The state follows the thread's name, which is in parentheses; "T" means
		// stopped by a signal.
		_, state, _ := strings.Cut(string(content), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Resume lets a paused process run again.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// ErrKilled is returned by Terminate for a process that did not end within its grace
// period.
var ErrKilled = errors.New("process did not end in time and was killed")

// Terminate sends SIGTERM and kills the process if it has not ended after the grace
// period. It returns nil if the process ended with status 0 before that.
func (p *Process) Terminate(grace time.Duration) error {
	p.Signal(syscall.SIGTERM)
	// A paused process handles SIGTERM only after it is resumed.
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

// starterThread returns a channel. The functions sent to it run on one OS thread, which
// lives as long as the launcher. All processes are started on this thread, because the
// kernel sends the parent-death signal to a child when the thread that started it ends,
// not when the launcher's process ends.
var starterThread = sync.OnceValue(func() chan<- func() {
	funcs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range funcs {
			f()
		}
	}()
	return funcs
})

// startOnStarterThread starts the command on the starter thread.
func startOnStarterThread(cmd *exec.Cmd) error {
	errs := make(chan error)
	starterThread() <- func() { errs <- cmd.Start() }
	return <-errs
}
