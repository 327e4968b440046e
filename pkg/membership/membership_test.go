package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// TestQueueSendsEachUpdateUpToItsLimit guards against updates that are sent
// more or less often than the limit, exceed the byte budget, or are sent after
// older ones.
func TestQueueSendsEachUpdateUpToItsLimit(t *testing.T) {
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

// TestForgottenSenderReturnsToView guards against a process that stays out of
// the view of a member that has removed it from its table: the process goes on
// sending the short form of its record, but the member needs the full one. It
// also guards against a process that gets no record of its successor from a
// member that holds one, and so stays a candidate.
func TestForgottenSenderReturnsToView(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	view := func(self int) *Membership {
		m := New(Config{Self: benchMember(self), Cluster: "c", Rand: rand.New(rand.NewPCG(5, 6))}, now)
		m.bootstrapComplete = true
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
	b.removeNode(n)
	exchange()
	exchange()
	must.Eq(t, a.self, b.nodes[a.self.ID].Member)
	successor := a.self
	successor.Boot++
	b.apply(now, successor)
	b.memberUpdates = queue{}
	b.nodes[a.self.ID].bootSeenAt = time.Time{}
	exchange()
	must.True(t, a.superseded)
	must.Len(t, 1, a.Candidates(now))
}

// TestReplacedUpdateKeepsTransmissionCount guards against a death that is sent
// the full number of times again after the suspicion that it replaces in the
// queue.
func TestReplacedUpdateKeepsTransmissionCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		limit := rapid.IntRange(2, 12).Draw(t, "limit")
		sentBefore := rapid.IntRange(0, 2*limit).Draw(t, "sent before")
		q.put("a", []byte("old"))
		for range sentBefore {
			q.fill(nil, 10, limit, nil)
		}
		q.replaceData("a", []byte("new"), limit/2)
		sent := 0
		for range 2 * limit {
			if string(q.fill(nil, 10, limit, nil)) == "new" {
				sent++
			}
		}
		want := limit - sentBefore
		if want <= 0 {
			want = limit - limit/2
		}
		must.Eq(t, want, sent)
	})
}

// TestHelpersAreInOtherDataCentres guards against helpers that a cut between
// two data centres separates from the requester or from the target.
func TestHelpersAreInOtherDataCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		m := New(Config{Self: benchMember(0), Cluster: "c", Rand: r}, now)
		dcs := rapid.IntRange(1, 8).Draw(t, "data centres")
		for i := 1; i <= 4*dcs; i++ {
			other := benchMember(i)
			other.DataCentre = model.DataCentre(fmt.Sprint(i % dcs))
			m.apply(now, other)
		}
		target := m.nodes[benchMember(rapid.IntRange(1, 4*dcs).Draw(t, "target")).ID]
		helpers := m.pickHelpers(target)
		seen := make(map[model.DataCentre]int)
		outsideTargetDC := 0
		for _, h := range helpers {
			must.True(t, h != target)
			seen[h.DataCentre]++
			if h.DataCentre != target.DataCentre {
				outsideTargetDC++
			}
		}
		// The random draws may miss some data centres. With six or more, they
		// almost always find helpers in three.
		must.LessEq(t, DefaultFanout, len(helpers))
		if dcs >= 6 {
			must.Eq(t, 3, outsideTargetDC)
			must.Eq(t, 3, len(seen))
		}
	})
}

// TestShortRecordsKeepKnownFields guards against short records that erase known
// fields of a member, or make an unknown member without an address live or
// pinged.
func TestShortRecordsKeepKnownFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		m := New(Config{Self: benchMember(0), Cluster: "c", Rand: rand.New(rand.NewPCG(1, 2))}, now)
		known := rapid.Bool().Draw(t, "known")
		full := benchMember(1)
		if known {
			m.apply(now, full)
		}
		short := full
		short.ControlAddress, short.DataCentre = "", ""
		short.State = rapid.SampledFrom([]State{Suspect, Dead}).Draw(t, "state")
		m.apply(now, short)
		n := m.nodes[full.ID]
		if !known {
			must.Len(t, 1, m.Members())
			must.Len(t, 0, m.lost.items)
			full.Incarnation++
			m.apply(now, full)
			must.Len(t, 2, m.Members())
			return
		}
		must.Eq(t, full.ControlAddress, n.ControlAddress)
		must.Eq(t, full.DataCentre, n.DataCentre)
		must.Eq(t, short.State, n.State)
	})
}

// TestTrafficStaysWithinBuckets guards against an instance of a large fleet
// that sends more probes, updates or documents than its token buckets allow
// when members do not answer and changes arrive in great numbers.
func TestTrafficStaysWithinBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		m := New(Config{Self: benchMember(0), Cluster: "c", Rand: r}, now)
		m.bootstrapComplete = true
		n := rapid.IntRange(DefaultSmallFleetSize, 300).Draw(t, "members")
		for i := 1; i <= n; i++ {
			m.apply(now, benchMember(i))
		}
		flood := rapid.SampledFrom([]string{"none", "members", "documents"}).Draw(t, "flood")
		const rounds = 100
		sent := 0
		for i := range rounds {
			for k := range 40 {
				switch flood {
				case "members":
					other := benchMember(1 + (40*i+k)%n)
					other.Incarnation = uint32(i + 1)
					m.apply(now, other)
				case "documents":
					m.AnnounceDocument(port.DocumentVersion{Service: fmt.Sprint(k), Revision: uint64(i)})
				}
			}
			for range 4 {
				for _, s := range m.Tick(now) {
					sent += len(s.Datagram) + datagramHeaderBytes
				}
				now = now.Add(DefaultInterval / 4)
			}
		}
		pingBytes := DefaultFanout * (len(m.prefix) + kindAndSequenceBytes + datagramHeaderBytes)
		bucketBytes := probeBytesPerRound + documentBytesPerRound + updateBytesPerRound
		burstBytes := probeBurstBytes + documentBurstBytes + updateBurstBytes + 2*maxDebtBytes
		must.LessEq(t, rounds*(pingBytes+bucketBytes)+burstBytes, sent)
	})
}

// TestLostMembersArePingedDespiteDebt guards against a partitioned fleet whose
// two sides never find each other again because other probes use up the probe
// bucket.
func TestLostMembersArePingedDespiteDebt(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := New(Config{Self: benchMember(0), Cluster: "c", Rand: rand.New(rand.NewPCG(1, 2))}, now)
	m.bootstrapComplete = true
	dead := benchMember(1)
	m.apply(now, dead)
	dead.State = Dead
	m.apply(now, dead)
	pings := 0
	for range 3 * maxRoundsBetweenLostPings {
		m.probeBucket.tokens = -maxDebtBytes
		pings += len(m.Tick(now))
		now = now.Add(DefaultInterval)
	}
	must.GreaterEq(t, 2, pings)
}
