package membership

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/port"
)

func newFuzzTarget(now time.Time) *Membership {
	m := New(Config{Self: benchMember(0), Cluster: "c", Rand: rand.New(rand.NewPCG(1, 2))}, now)
	for i := 1; i < 4; i++ {
		r := benchMember(i)
		r.State = State(i - 1)
		m.apply(now, r)
	}
	m.SetListed(now, []port.ListedInstance{{ID: "listed:1", ControlAddress: "10.0.0.9:7100"}})
	return m
}

// FuzzReceive guards against datagrams that crash an instance, make it declare
// itself dead, make it send oversized datagrams, or change its state although
// they are rejected.
func FuzzReceive(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	sender := New(Config{Self: benchMember(1), Cluster: "c", Rand: rand.New(rand.NewPCG(3, 4))}, now)
	sender.AnnounceDocument(port.DocumentVersion{Service: "s", Revision: 7, Digest: 9})
	sender.AnnounceQuarantine(Quarantine{Fingerprint: 5, Service: "s", Until: now.Add(time.Minute)})
	self := benchMember(0)
	self.State = Dead
	for _, msg := range []message{
		{kind: kindPing, sequence: 1, record: encodeMember(self)},
		{kind: kindAck, sequence: 2, shortSender: true},
		{kind: kindIndirect, sequence: 3, target: "10.0.0.9:7100"},
	} {
		f.Add(sender.buildDatagram(now, "", msg).Datagram)
	}
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m := newFuzzTarget(now)
		sends := m.Tick(now)
		version, before := m.Version(), len(m.nodes)
		r, err := m.Receive(now.Add(time.Millisecond), "10.0.0.7:7100", datagram)
		if err != nil && !errors.Is(err, ErrSameID) {
			must.Eq(t, version, m.Version())
			must.Eq(t, before, len(m.nodes))
			must.SliceEmpty(t, r.Sends)
		}
		sends = append(sends, r.Sends...)
		for ms := 100; ms < 1500; ms += 100 {
			sends = append(sends, m.Tick(now.Add(time.Duration(ms)*time.Millisecond))...)
		}
		for _, s := range sends {
			must.LessEq(t, MaxDatagram, len(s.Datagram))
		}
		must.Eq(t, Alive, m.Self().State)
		must.MapNotContainsKey(t, m.nodes, m.self.ID)
	})
}

// TestInvalidDatagramsAreRejected guards against the acceptance of datagrams
// that belong to another cluster or are incomplete or contradictory.
func TestInvalidDatagramsAreRejected(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	encoded := func(cluster string, change func(*Member)) []byte {
		r := benchMember(1)
		change(&r)
		m := New(Config{Self: benchMember(1), Cluster: cluster, Rand: rand.New(rand.NewPCG(3, 4))}, now)
		m.self = r
		m.encodePrefixes()
		return m.buildDatagram(now, "", message{kind: kindPing, sequence: 1}).Datagram
	}
	m := newFuzzTarget(now)
	_, err := m.Receive(now, "x", encoded("other", func(*Member) {}))
	must.ErrorIs(t, err, ErrOtherCluster)
	for _, change := range []func(*Member){
		func(r *Member) { r.ID = "" },
		func(r *Member) { r.Boot = 0 },
		func(r *Member) { r.State = Dead },
		func(r *Member) { r.State = 9 },
		func(r *Member) { r.Incarnation = 1<<32 - 1 },
	} {
		_, err := m.Receive(now, "x", encoded("c", change))
		must.ErrorIs(t, err, ErrMalformed)
	}
	valid := encoded("c", func(*Member) {})
	for _, bad := range [][]byte{nil, make([]byte, MaxDatagram+1), valid[:len(valid)-1], append(valid, 0xff)} {
		_, err = m.Receive(now, "x", bad)
		must.Error(t, err)
	}
	_, err = m.Receive(now, "x", encoded("c", func(r *Member) { r.ID = m.self.ID }))
	must.ErrorIs(t, err, ErrSameID)
}
