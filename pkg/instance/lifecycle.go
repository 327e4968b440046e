package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/phase"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// drainPollInterval is how often Drain checks whether work is left.
	drainPollInterval = 20 * time.Millisecond
	// selfListedWait is how long a starting instance waits for the platform's
	// instance list to contain it. Until then the list is older than the start of
	// this process and may lack instances that started at the same time.
	selfListedWait = 5 * time.Second
)

// lifecycle holds the phase, the named timers, and the context that ends when
// the instance is stopped. mu guards all fields.
type lifecycle struct {
	mu       sync.Mutex
	phase    phaseMachine
	ctx      context.Context
	cancel   context.CancelFunc
	stopping bool
	timers   map[string]port.Timer
}

// setContext derives the instance's context from ctx.
func (l *lifecycle) setContext(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ctx, l.cancel = context.WithCancel(ctx)
}

func (l *lifecycle) context() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ctx
}

// schedule runs f after d unless the instance is stopped before. It cancels the
// timer that an earlier call with the same name has set.
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

// detectPause must be called with the current time before the instance acts on a
// timer, message or request. If the process did not run for longer than
// phase.PauseThreshold, the instance first drops state that may have become invalid.
func (i *Instance) detectPause(now time.Time) {
	l := &i.lifecycle
	l.mu.Lock()
	gap, paused := l.phase.Observe(now)
	l.mu.Unlock()
	if paused {
		i.resetAfterPause(now, gap)
	}
}

// resetAfterPause drops state that may have become invalid while the process was
// paused: expired work, and the catalog hashes that peers sent before. The instance
// refuses work as a home until a member has answered a ping sent after the pause
// and documentsCurrent reports true again.
func (i *Instance) resetAfterPause(now time.Time, gap time.Duration) {
	i.logWarn(event.PauseDetected, event.Fields{"gap_ms": gap.Milliseconds()}, "the process was paused; it accepts no work as a home until a member has answered")
	i.ports.Metrics.PauseDetected()
	i.control.mu.Lock()
	i.control.membership.Resume(now)
	i.control.mu.Unlock()
	i.reads.clearPeerHashes()
	for _, g := range i.homes.all() {
		g.resume(now, gap)
	}
}

func (i *Instance) currentPhase() phase.Phase {
	i.lifecycle.mu.Lock()
	defer i.lifecycle.mu.Unlock()
	return i.lifecycle.phase.Phase()
}

// admissionCode returns result.OK if the phase allows new work, or the code with
// which it must be refused.
func (i *Instance) admissionCode() result.Code {
	i.lifecycle.mu.Lock()
	defer i.lifecycle.mu.Unlock()
	return i.lifecycle.phase.RefusalCode()
}

// Ready reports whether the instance may get new requests, and returns the name of
// its phase, which explains why it may not.
func (i *Instance) Ready() (bool, string) {
	i.detectPause(i.now())
	p := i.currentPhase()
	return p == phase.Serving, p.String()
}

// updatePhase moves a starting or resumed instance to serving when its member list
// and documents are current and it is a candidate for homes.
func (i *Instance) updatePhase(now time.Time) {
	p := i.currentPhase()
	if p != phase.Starting && p != phase.Resumed {
		return
	}
	c := i.servingConditions(now)
	i.lifecycle.mu.Lock()
	serving := i.lifecycle.phase.TryServe(now, c)
	i.lifecycle.mu.Unlock()
	if !serving {
		return
	}
	i.logInfo(event.ProcessReady, event.Fields{"after": p.String()}, "instance is ready")
	i.scheduleWarmUp()
}

func (i *Instance) servingConditions(now time.Time) phase.Conditions {
	var c phase.Conditions
	i.control.mu.Lock()
	c.Members = i.control.membership.BootstrapComplete(now) && i.listIsCurrent(now)
	for _, m := range i.control.membership.Candidates(now) {
		c.Candidate = c.Candidate || m.ID == i.cfg.ID
	}
	i.control.mu.Unlock()
	c.Documents = i.documentsCurrent(now)
	return c
}

// listIsCurrent reports whether the platform's instance list is at least as new as
// the start of this process, or selfListedWait has passed. It must be called with
// control.mu locked.
func (i *Instance) listIsCurrent(now time.Time) bool {
	return i.control.selfListed || now.Sub(i.started) > selfListedWait
}

// Leave starts the graceful shutdown: the instance is no longer ready and announces
// to the other instances that it is leaving. They stop sending it work as a home. It
// still answers callers' requests, but sends their work to homes at other instances.
func (i *Instance) Leave() {
	i.lifecycle.mu.Lock()
	i.lifecycle.phase.Leave(i.now())
	i.lifecycle.mu.Unlock()
	i.logInfo(event.ShutdownStarted, nil, "graceful shutdown started")
	i.control.mu.Lock()
	sends := i.control.membership.Leave(i.now())
	i.control.mu.Unlock()
	i.sendDatagrams(sends)
}

// Drain blocks until no request is in progress and no order ticket that this
// instance issued can still be used. It returns the context's error if ctx ends
// first.
func (i *Instance) Drain(ctx context.Context) error {
	for {
		if i.drained(i.now()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-i.after(drainPollInterval):
		}
	}
}

func (i *Instance) drained(now time.Time) bool {
	work := phase.Work{
		Requests: int(i.activeQueries.Load()),
		Groups:   !i.homes.idle(),
		Orders:   !i.orders.idle(now),
	}
	i.lifecycle.mu.Lock()
	defer i.lifecycle.mu.Unlock()
	return i.lifecycle.phase.Drained(now, work)
}

// after returns a channel that is closed after d.
func (i *Instance) after(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	i.ports.Clock.AfterFunc(d, func() { close(done) })
	return done
}

// Stop stops all timers, reads and attempts. It does not wait for requests; call
// Leave and Drain first for a graceful shutdown.
func (i *Instance) Stop() {
	l := &i.lifecycle
	l.mu.Lock()
	l.stopping = true
	l.phase.Stop(i.now())
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
