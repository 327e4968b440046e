package upstreamhttp

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// TestRunStateIsCorrectUnderFaults guards against an attempt that runs although it
// was reported as not run, that runs twice, or that is reported as run although it
// did not run. Connections break and attempts are cancelled at random. The replies
// are compared with the upstream's own log of what it ran.
func TestRunStateIsCorrectUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 0))
		log := upstream.NewLog()
		b := upstream.DefaultBehaviour()
		b.AcceptCostMS = 1
		b.Slots, b.Queue, b.ConnectionLimit = 2, 2, 5
		b.Service = map[string]upstream.ServiceTime{"": {MedianMS: 1, Sigma: 1}}
		b.ShedFraction, b.FailFraction, b.TruncateFraction, b.InvalidFraction = 0.05, 0.05, 0.05, 0.05
		b.CrashRefuseMS = 5
		u, err := upstream.Start("u", "127.0.0.1:0", b, log, seed)
		must.NoError(t, err)
		c := New(port.SystemClock{})
		replies := make([]port.UpstreamReply, 400)
		var wg sync.WaitGroup
		for i := range replies {
			call := newCall(u.Address(), 0)
			call.Attempt[0], call.Attempt[1] = byte(i), byte(i>>8)
			call.Deadline = time.Now().Add(time.Duration(5+rng.IntN(100)) * time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			if rng.IntN(5) == 0 {
				time.AfterFunc(time.Duration(rng.IntN(5000))*time.Microsecond, cancel)
			}
			switch rng.IntN(40) {
			case 0:
				u.DropConnections()
			case 1:
				call.Payload = json.RawMessage(`"crash-upstream"`)
			case 2:
				c.Warm(u.Address(), 2)
			}
			wg.Go(func() {
				defer cancel()
				replies[i] = c.Execute(ctx, call)
			})
			time.Sleep(time.Duration(rng.IntN(500)) * time.Microsecond)
		}
		wg.Wait()
		c.Close()
		u.Shutdown(t.Context())
		executions := make(map[string]int)
		for _, e := range log.All() {
			executions[e.Attempt]++
		}
		for _, reply := range replies {
			n := executions[reply.Attempt.String()]
			if n > 1 || n > 0 && reply.Ran == model.NotRun || n == 0 && reply.Ran == model.Ran {
				t.Errorf("seed %d: %v, ran %v, %d executions", seed, reply.Code, reply.Ran, n)
			}
		}
	}
}
