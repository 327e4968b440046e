// Package semaphore provides a first-in first-out semaphore whose size can be
// changed while it is in use.
package semaphore

import (
	"container/list"
	"context"
	"errors"
	"sync"
)

// ErrQueueFull is returned when the maximum number of callers are waiting
// already.
var ErrQueueFull = errors.New("semaphore: queue is full")

// Unbounded is the value of maxWaiting that allows any number of waiting
// callers.
const Unbounded = -1

// Semaphore limits the number of concurrent holders. Waiting callers are
// admitted in order of arrival.
type Semaphore struct {
	mu      sync.Mutex
	size    int
	held    int
	waiters list.List
}

// New returns a semaphore for at most size holders.
func New(size int) *Semaphore { return &Semaphore{size: size} }

// Acquire waits for a place until the context ends. It returns ErrQueueFull at
// once if no place is free and maxWaiting callers are waiting already.
func (s *Semaphore) Acquire(ctx context.Context, maxWaiting int) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	if s.held < s.size && s.waiters.Len() == 0 {
		s.held++
		s.mu.Unlock()
		return nil
	}
	if maxWaiting >= 0 && s.waiters.Len() >= maxWaiting {
		s.mu.Unlock()
		return ErrQueueFull
	}
	granted := make(chan struct{})
	e := s.waiters.PushBack(granted)
	s.mu.Unlock()

	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return s.abandon(e, granted, ctx.Err())
	}
}

// abandon removes a waiting caller whose context has ended. A place that was
// granted to it in the meantime goes to the next waiting caller.
func (s *Semaphore) abandon(e *list.Element, granted chan struct{}, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-granted:
		s.held--
	default:
		s.waiters.Remove(e)
	}
	s.grantWaiting()
	return err
}

// TryAcquire takes a place and returns true if one is free and no caller is
// waiting.
func (s *Semaphore) TryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held >= s.size || s.waiters.Len() > 0 {
		return false
	}
	s.held++
	return true
}

// Release frees a place.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held--
	s.grantWaiting()
}

// Resize changes the number of places. If fewer places than holders remain, all
// holders keep theirs until they release them.
func (s *Semaphore) Resize(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size = size
	s.grantWaiting()
}

// Held returns the number of holders.
func (s *Semaphore) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Waiting returns the number of waiting callers.
func (s *Semaphore) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiters.Len()
}

// grantWaiting grants free places to waiting callers in order of arrival. The caller
// of grantWaiting holds the lock.
func (s *Semaphore) grantWaiting() {
	for s.held < s.size && s.waiters.Len() > 0 {
		granted := s.waiters.Remove(s.waiters.Front()).(chan struct{})
		s.held++
		close(granted)
	}
}
