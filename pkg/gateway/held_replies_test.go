package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/fanout"
)

// TestRepliesAreReleased guards against replies whose memory stays reserved for good, or is
// released twice or before the answer is delivered: replies that win, lose against a hedge,
// come after the answer or after the caller has left, and parts of queries.
func TestRepliesAreReleased(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		random := rand.New(rand.NewPCG(1, 0))
		query := gatherRoute(3, "s", "r")
		ff.configure(1, route("/x/", "s", true), route("/once/", "s", false), query)
		for _, u := range []string{"s1", "s2", "s3", "r1", "r2"} {
			ff.addUpstream(directory.Upstream{ID: u, Service: u[:1]})
		}
		var mu sync.Mutex
		replies, released := 0, make(map[int]int)
		ff.answer = func(ctx context.Context, c Call) Reply {
			mu.Lock()
			n := replies
			replies++
			work := time.Duration(random.ExpFloat64() * float64(60*time.Millisecond))
			fails := random.IntN(4) == 0
			mu.Unlock()
			release := func() {
				mu.Lock()
				defer mu.Unlock()
				released[n]++
			}
			select {
			case <-ctx.Done():
				return Reply{Status: fanout.Unknown, UpstreamOutcome: balancer.Cancelled, Release: release}
			case <-time.After(work):
			}
			reply := successReply(c, "0123456789abcdef")
			if fails {
				reply = Reply{Status: fanout.Failed, UpstreamOutcome: balancer.Failed, HTTPStatus: 500, Signature: "s"}
			}
			reply.Release = release
			return reply
		}
		g := ff.start(0, 1)
		time.Sleep(propagationTime)
		delivered := 0
		for i := range 300 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.ExpFloat64()*float64(200*time.Millisecond)))
			a := g.Serve(ctx, request([]string{"/x/1", "/once/1", "/q/1"}[i%3]))
			cancel()
			// Unneeded attempts end.
			time.Sleep(3 * time.Second)
			mu.Lock()
			held := replies - len(released)
			mu.Unlock()
			must.Eq(t, a.Reply != nil, held > 0, must.Sprint(i))
			if a.Reply != nil {
				delivered++
			}
			a.Release()
			mu.Lock()
			must.MapLen(t, replies, released, must.Sprint(i))
			mu.Unlock()
		}
		must.Positive(t, delivered)
		for n, times := range released {
			must.Eq(t, 1, times, must.Sprint("reply ", n))
		}
	})
}
