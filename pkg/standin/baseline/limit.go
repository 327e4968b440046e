package baseline

import (
	"context"
	"sync"
)

// limit is a concurrency limit with additive increase on success and
// multiplicative decrease on shedding. Waiters are served in order of arrival.
type limit struct {
	mu       sync.Mutex
	ceiling  float64
	current  float64
	inFlight int
	waiters  []chan struct{}
}

func newLimit(ceiling int) *limit {
	return &limit{ceiling: float64(ceiling), current: 1}
}

func (l *limit) acquire(ctx context.Context) bool {
	turn := make(chan struct{})
	l.mu.Lock()
	l.waiters = append(l.waiters, turn)
	l.grant()
	l.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		l.abandon(turn)
		return false
	}
}

// abandon removes a waiter, or returns its slot if it was granted meanwhile.
func (l *limit) abandon(turn chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiters {
		if w == turn {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return
		}
	}
	l.inFlight--
	l.grant()
}

func (l *limit) release(success bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if success {
		l.current = min(l.ceiling, l.current+limitIncrease)
	} else {
		l.current = max(1, l.current*limitDecrease)
	}
	l.grant()
}

// grant lets waiters go while the limit allows. The caller holds l.mu.
func (l *limit) grant() {
	for len(l.waiters) > 0 && float64(l.inFlight) < l.current {
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
		l.inFlight++
	}
}
