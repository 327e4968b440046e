package workers

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestBlockedFunctionsDelayNoOthers guards against a function that has to wait
// until another one ends, and against goroutines that never end.
func TestBlockedFunctionsDelayNoOthers(t *testing.T) {
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
		// The synctest bubble ends only after all of its goroutines have ended.
		time.Sleep(2 * idleTimeout)
	})
}
