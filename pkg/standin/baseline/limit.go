package baseline

import (
	"context"
	"sync"
)

// concurrencyLimit bounds the calls in flight to one upstream. The bound, allowed,
// starts at 1. It grows by limitIncrease, up to maximum, when a call ends in any
// way but a refusal by the upstream. It shrinks by the factor limitDecrease, down
// to 1, when the upstream refuses a call. Waiting calls are started in the order of
// their arrival.
type concurrencyLimit struct {
	mu       sync.Mutex
	maximum  float64
	allowed  float64
	inFlight int
	waiters  []chan struct{}
}

func newConcurrencyLimit(ceiling int) *concurrencyLimit {
	return &concurrencyLimit{maximum: float64(ceiling), allowed: 1}
}

// acquire waits until the limit allows another call and counts that call as in
// flight. It returns false if ctx ends first.
func (l *concurrencyLimit) acquire(ctx context.Context) bool {
	granted := make(chan struct{})
	l.mu.Lock()
	l.waiters = append(l.waiters, granted)
	l.grantWaiters()
	l.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		l.abandon(granted)
		return false
	}
}

// abandon removes a waiting call whose ctx has ended. If the call was allowed to
// start in the meantime, abandon lets the next waiting call start in its place.
func (l *concurrencyLimit) abandon(granted chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiters {
		if w == granted {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return
		}
	}
	l.inFlight--
	l.grantWaiters()
}

// release ends a call in flight and adapts the limit. notShed is false if the
// upstream refused the call.
func (l *concurrencyLimit) release(notShed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if notShed {
		l.allowed = min(l.maximum, l.allowed+limitIncrease)
	} else {
		l.allowed = max(1, l.allowed*limitDecrease)
	}
	l.grantWaiters()
}

// grantWaiters lets waiting calls start while the limit allows it. It must be
// called with l.mu locked.
func (l *concurrencyLimit) grantWaiters() {
	for len(l.waiters) > 0 && float64(l.inFlight) < l.allowed {
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
		l.inFlight++
	}
}
