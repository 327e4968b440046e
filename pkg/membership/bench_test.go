package membership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

var fleetSizes = []int{9, 100, 400, 1600, 3100}

const (
	// headerBytes is what IPv4 and UDP add to a datagram.
	headerBytes = 28
	// The target size's ordinary day; a restart makes three member updates.
	targetMembers       = 3100
	memberUpdatesPerDay = 3 * (2600 + 23)
	documentsPerDay     = 3400
	daySeconds          = 86400
)

func benchMember(i int) Member {
	return Member{
		ID:             model.InstanceID(fmt.Sprintf("10.%d.%d.%d:7000", 20+i/62500, i/250%250, i%250)),
		ControlAddress: fmt.Sprintf("10.%d.%d.%d:7100", 20+i/62500, i/250%250, i%250),
		DataCentre:     "region1-dc2",
		Boot:           NewBootID(time.UnixMilli(1_700_000_000_000+int64(i)), rand.New(rand.NewPCG(uint64(i), 0))),
	}
}

// fleet is one Membership among fake peers. One further Membership lends its
// encoder and its update queues to all of them.
type fleet struct {
	b         *testing.B
	m, peers  *Membership
	members   []Member
	byAddress map[string]int
	now       time.Time
	r         *rand.Rand
	sent      int
	received  int
	datagrams int
	joined    bool
	spent     time.Duration
	sequence  uint64
}

func newFleet(b *testing.B, n int) *fleet {
	f := &fleet{b: b, now: time.Unix(1_700_000_000, 0), r: rand.New(rand.NewPCG(1, uint64(n))), byAddress: make(map[string]int)}
	for i := range n {
		f.members = append(f.members, benchMember(i))
		f.byAddress[f.members[i].ControlAddress] = i
	}
	f.m = New(Config{Self: f.members[0], Cluster: "production", Rand: f.r}, f.now)
	f.peers = New(Config{Self: f.members[1], Cluster: "production", Rand: f.r}, f.now)
	listed := make([]port.ListedInstance, n)
	for i, r := range f.members {
		listed[i] = port.ListedInstance{ID: r.ID, ControlAddress: r.ControlAddress, DataCentre: r.DataCentre}
		f.peers.apply(f.now, r)
	}
	f.peers.updates = queue{}
	f.m.SetListed(f.now, listed)
	for range 30 {
		f.second(0)
	}
	f.joined = true
	f.sent, f.received, f.datagrams, f.spent = 0, 0, 0, 0
	return f
}

// second runs one second of virtual time. Churn scales the target size's daily
// changes, in proportion to the fleet.
func (f *fleet) second(churn float64) {
	if f.r.Float64() < churn*float64(len(f.members))/targetMembers*memberUpdatesPerDay/daySeconds {
		i := 2 + f.r.IntN(len(f.members)-2)
		f.members[i].Incarnation++
		f.m.apply(f.now, f.members[i])
		f.peers.apply(f.now, f.members[i])
	}
	if f.r.Float64() < churn*documentsPerDay/daySeconds {
		f.sequence++
		v := port.DocumentVersion{Service: fmt.Sprintf("invoice-book-%d", f.sequence%30), Revision: f.sequence, Digest: f.r.Uint64()}
		f.m.AnnounceDocument(v)
		f.peers.AnnounceDocument(v)
	}
	for range time.Second / DefaultInterval {
		f.deliver(f.own(func() ([]Send, error) { return f.m.Tick(f.now), nil }))
		for range min(DefaultFanout, len(f.members)-1) {
			f.sequence++
			f.receive(1+f.r.IntN(len(f.members)-1), message{kind: kindPing, sequence: f.sequence, short: true})
		}
		f.now = f.now.Add(DefaultInterval)
	}
}

// deliver counts datagrams and answers every ping.
func (f *fleet) deliver(sends []Send) {
	for _, s := range sends {
		f.sent += len(s.Datagram)
		f.datagrams++
		if c, _, _, err := f.peers.decode(s.Datagram); err == nil && c.GetKind() == kindPing {
			f.receive(f.byAddress[s.Address], message{kind: kindAck, sequence: c.GetSequence(), short: f.joined})
		}
	}
}

func (f *fleet) receive(from int, msg message) {
	f.peers.self = f.members[from]
	f.peers.encodePrefix()
	d := f.peers.send(f.now, "", msg)
	f.received += len(d.Datagram)
	f.deliver(f.own(func() ([]Send, error) {
		r, err := f.m.Receive(f.now, f.members[from].ControlAddress, d.Datagram)
		return r.Sends, err
	}))
}

// own measures a call of the Membership under test.
func (f *fleet) own(call func() ([]Send, error)) []Send {
	begin := time.Now()
	sends, err := call()
	f.spent += time.Since(begin)
	must.NoError(f.b, err)
	return sends
}

func eachSize(b *testing.B, run func(*testing.B, int)) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) { run(b, n) })
	}
}

// BenchmarkSecond prints traffic and processor time (Tick and Receive, without
// the socket) of one instance per second, on a quiet day and with the target
// size's daily changes. ns/op includes the fake peers.
func BenchmarkSecond(b *testing.B) {
	for _, churn := range []float64{0, 1} {
		b.Run(fmt.Sprintf("churn=%v", churn), func(b *testing.B) {
			eachSize(b, func(b *testing.B, n int) {
				f := newFleet(b, n)
				seconds := 0
				for b.Loop() {
					f.second(churn)
					seconds++
				}
				per := func(v int) float64 { return float64(v) / float64(seconds) }
				b.ReportMetric(per(int(f.spent.Microseconds())), "tick+receive-us/s")
				b.ReportMetric(per(f.sent), "sent-B/s")
				b.ReportMetric(per(f.received), "received-B/s")
				b.ReportMetric(per(f.datagrams), "datagrams-sent/s")
				b.ReportMetric(per(f.sent+f.received+2*headerBytes*f.datagrams), "both-with-headers-B/s")
			})
		})
	}
}

// BenchmarkMemory prints the heap of one instance's view, with the results of
// Members and Candidates.
func BenchmarkMemory(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		for b.Loop() {
			f := newFleet(b, n)
			f.peers = nil
			f.m.Members()
			f.m.Candidates(f.now)
			with := heap()
			f.m = nil
			b.ReportMetric(float64(with-heap())/1024, "KB")
			runtime.KeepAlive(f)
		}
	})
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
