package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// pauseThreshold is the gap between two runs of the control timer, which
	// is due every 200 ms, from which the process counts as paused: others may
	// have taken over its roles since.
	pauseThreshold = time.Second
	// drainPollInterval is how often a stopping instance checks for work.
	drainPollInterval = 20 * time.Millisecond
	// selfListedWait is how long a starting instance waits until the platform's
	// list shows it. Before, the list is older than its start and may lack
	// instances that started at the same time.
	selfListedWait = 5 * time.Second
)

// phase is the instance's state towards callers and peers.
type phase int

const (
	phaseStarting phase = iota
	phaseServing
	phaseResumed
	phaseLeaving
)

func (p phase) String() string {
	return [...]string{"starting", "serving", "resumed", "leaving"}[p]
}

// lifecycle guards the phase and the time of the control timer's last run.
type lifecycle struct {
	mu       sync.Mutex
	phase    phase
	lastRun  time.Time
	resumed  time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	stopping bool
	timers   map[string]port.Timer
}

func (l *lifecycle) init(now time.Time) {
	l.lastRun = now
	l.timers = make(map[string]port.Timer)
}

func (l *lifecycle) run(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ctx, l.cancel = context.WithCancel(ctx)
}

func (l *lifecycle) context() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ctx
}

// schedule runs f after d unless the instance stops before. A later call with
// the same name replaces the earlier one.
func (i *Instance) schedule(name string, d time.Duration, f func()) {
	l := &i.lifecycle
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return
	}
	if t := l.timers[name]; t != nil {
		t.Stop()
	}
	l.timers[name] = i.ports.Clock.AfterFunc(d, f)
}

// observe must be called with the current time before the instance acts on
// anything. It detects that the process was paused.
func (i *Instance) observe(now time.Time) {
	l := &i.lifecycle
	l.mu.Lock()
	gap := now.Sub(l.lastRun)
	if gap > 0 {
		l.lastRun = now
	}
	paused := gap > pauseThreshold && l.phase != phaseStarting
	if paused {
		l.resumed = now
		if l.phase == phaseServing {
			l.phase = phaseResumed
		}
	}
	l.mu.Unlock()
	if paused {
		i.resume(now, gap)
	}
}

// resume voids what the instance held before a pause: expired work is dropped
// and the home role stays refused until a member has answered.
func (i *Instance) resume(now time.Time, gap time.Duration) {
	i.logWarn(event.PauseDetected, event.Fields{"gap_ms": gap.Milliseconds()}, "the process was paused; roles are void until a member answers")
	i.ports.Metrics.PauseDetected()
	i.control.mu.Lock()
	i.control.membership.Resume(now)
	i.control.mu.Unlock()
	i.reads.forgetPeers()
	for _, g := range i.homes.all() {
		g.resume(now, gap)
	}
}

func (i *Instance) phaseNow() phase {
	i.lifecycle.mu.Lock()
	defer i.lifecycle.mu.Unlock()
	return i.lifecycle.phase
}

// gate returns the code with which new work must be refused, or result.OK.
func (i *Instance) gate() result.Code {
	switch i.phaseNow() {
	case phaseServing:
		return result.OK
	case phaseLeaving:
		return result.Leaving
	case phaseResumed:
		return result.JustResumed
	default:
		return result.NotReady
	}
}

// Ready reports whether the instance may get new requests, and if not, why.
func (i *Instance) Ready() (bool, string) {
	i.observe(i.now())
	p := i.phaseNow()
	return p == phaseServing, p.String()
}

// updatePhase moves to serving when membership and documents allow it.
func (i *Instance) updatePhase(now time.Time) {
	p := i.phaseNow()
	if p != phaseStarting && p != phaseResumed {
		return
	}
	i.control.mu.Lock()
	confirmed := i.control.membership.Confirmed(now) && i.listCaughtUp(now)
	candidate := false
	for _, m := range i.control.membership.Candidates(now) {
		candidate = candidate || m.ID == i.cfg.ID
	}
	i.control.mu.Unlock()
	if !confirmed || !candidate || !i.documentsCurrent(now) {
		return
	}
	i.lifecycle.mu.Lock()
	if i.lifecycle.phase != phaseLeaving {
		i.lifecycle.phase = phaseServing
	}
	i.lifecycle.mu.Unlock()
	i.logInfo(event.ProcessReady, event.Fields{"after": p.String()}, "instance is ready")
	i.warmSoon()
}

// listCaughtUp reports whether the platform's list is as new as this process's
// start. The caller holds control.mu.
func (i *Instance) listCaughtUp(now time.Time) bool {
	return i.control.selfListed || now.Sub(i.started) > selfListedWait
}

// Leave announces that the instance is leaving: it is no longer ready, and
// other instances stop sending it work. Requests that still arrive at the
// entry are served by other homes.
func (i *Instance) Leave() {
	i.lifecycle.mu.Lock()
	i.lifecycle.phase = phaseLeaving
	i.lifecycle.mu.Unlock()
	i.logInfo(event.ShutdownStarted, nil, "graceful shutdown started")
	i.control.mu.Lock()
	sends := i.control.membership.Leave(i.now())
	i.control.mu.Unlock()
	i.sendAll(sends)
}

// Drain blocks until no request is in progress and no order ticket can still be
// used, or ctx ends.
func (i *Instance) Drain(ctx context.Context) error {
	for {
		if i.activeQueries.Load() == 0 && i.homes.idle() && i.orders.idle(i.now()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-i.after(drainPollInterval):
		}
	}
}

func (i *Instance) after(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	i.ports.Clock.AfterFunc(d, func() { close(done) })
	return done
}

// Stop ends all timers and reading. It does not wait for requests; call Leave
// and Drain first.
func (i *Instance) Stop() {
	l := &i.lifecycle
	l.mu.Lock()
	l.stopping = true
	for _, t := range l.timers {
		t.Stop()
	}
	cancel := l.cancel
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	for _, g := range i.homes.all() {
		g.stop()
	}
	i.logInfo(event.ShutdownFinished, nil, "instance stopped")
}
