package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestQueue guards against updates that are sent too often or not often enough,
// over the budget, or after older ones.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		sent := make(map[byte]int)
		count := func(out []byte) {
			for u := range slices.Chunk(out, 5) {
				sent[u[0]]++
			}
		}
		budget := rapid.IntRange(10, 100).Draw(t, "budget")
		puts := rapid.IntRange(1, 40).Draw(t, "updates")
		for i := range puts {
			q.put(fmt.Sprint(i), []byte{byte(i), 0, 0, 0, 0})
			out := q.fill(nil, budget, limit, nil)
			must.LessEq(t, budget, len(out))
			must.Eq(t, byte(i), out[0])
			count(out)
		}
		for range puts * limit {
			count(q.fill(nil, budget, limit, nil))
		}
		for i := range puts {
			must.Eq(t, limit, sent[byte(i)])
		}
	})
}

// TestForgottenSender guards against a process that stays out of the view of a
// member that has forgotten it, and against an outdated process that is not told
// of its successor.
func TestForgottenSender(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	view := func(self int) *Membership {
		m := New(Config{Self: benchMember(self), Cluster: "c", Rand: rand.New(rand.NewPCG(5, 6))}, now)
		m.confirmed = true
		m.apply(now, benchMember(1-self))
		return m
	}
	a, b := view(0), view(1)
	exchange := func() {
		now = now.Add(DefaultInterval)
		for _, ping := range a.Tick(now) {
			r, err := b.Receive(now, a.self.ControlAddress, ping.Datagram)
			must.NoError(t, err)
			for _, ack := range r.Sends {
				_, err = a.Receive(now, b.self.ControlAddress, ack.Datagram)
				must.NoError(t, err)
			}
		}
	}
	exchange()
	must.True(t, a.knownBy(a.nodes[b.self.ID]))
	n := b.nodes[a.self.ID]
	b.live.remove(n)
	b.forget(n)
	exchange()
	exchange()
	must.Eq(t, a.self, b.nodes[a.self.ID].Member)
	successor := a.self
	successor.Boot++
	b.apply(now, successor)
	b.updates = queue{}
	b.nodes[a.self.ID].joinedAt = time.Time{}
	exchange()
	must.True(t, a.superseded)
	must.Len(t, 1, a.Candidates(now))
}
