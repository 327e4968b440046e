package semaphore

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
)

// TestPlacesAreGrantedInOrder guards against a place that is lost, or granted out of
// order, when the context of a waiting caller ends or the size changes.
func TestPlacesAreGrantedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(1)
		must.True(t, s.TryAcquire())
		ctx, cancel := context.WithCancel(t.Context())
		errs := make(chan error, 1)
		go func() { errs <- s.Acquire(ctx, Unbounded) }()
		synctest.Wait()
		granted := make(chan int, 2)
		for i := range 2 {
			go func() {
				_ = s.Acquire(t.Context(), Unbounded)
				granted <- i
			}()
			synctest.Wait()
		}
		must.ErrorIs(t, s.Acquire(t.Context(), 3), ErrQueueFull)
		cancel()
		must.ErrorIs(t, <-errs, context.Canceled)
		s.Release()
		must.Eq(t, 0, <-granted)
		s.Resize(2)
		must.Eq(t, 1, <-granted)
		must.Eq(t, 2, s.Held())
		must.Eq(t, 0, s.Waiting())
	})
}
