package baseline

import (
	"context"
	"sync"
)

// concurrencyLimit bounds the calls in flight to one upstream. The bound grows
// by limitIncrease on each reply other than a refusal and shrinks by the factor
// limitDecrease when the upstream refuses a call. Waiting calls are served in
// the order of their arrival.
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

// abandon removes a waiting call, or gives its slot to the next one if the call
// was granted a slot in the meantime.
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

func (l *concurrencyLimit) release(success bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if success {
		l.allowed = min(l.maximum, l.allowed+limitIncrease)
	} else {
		l.allowed = max(1, l.allowed*limitDecrease)
	}
	l.grantWaiters()
}

// grantWaiters starts waiting calls while the limit allows. It must be called
// with l.mu locked.
func (l *concurrencyLimit) grantWaiters() {
	for len(l.waiters) > 0 && float64(l.inFlight) < l.allowed {
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
		l.inFlight++
	}
}
