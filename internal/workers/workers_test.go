package workers

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestBlockedFunctions guards against a function that waits for another one to
// end, and against goroutines that stay for good.
func TestBlockedFunctions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New()
		var done sync.WaitGroup
		release := make(chan struct{})
		for range 100 {
			done.Add(1)
			p.Go(func() {
				defer done.Done()
				<-release
			})
		}
		synctest.Wait()
		close(release)
		done.Wait()
		ran := false
		done.Add(1)
		p.Go(func() { defer done.Done(); ran = true })
		done.Wait()
		must.True(t, ran)
		// The bubble ends only when all goroutines have.
		time.Sleep(2 * idleTime)
	})
}
