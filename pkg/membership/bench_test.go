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
	// headerBytes is the size of the IPv4 and UDP headers of a datagram.
	headerBytes = 28
	// These are the changes of an ordinary day in a fleet of the target size.
	// Each of 2,600 restarts and 23 failures makes three member updates.
	targetMembers       = 3100
	memberUpdatesPerDay = 3 * (2600 + 23)
	documentsPerDay     = 3400
	secondsPerDay       = 86400
)

func benchMember(i int) Member {
	return Member{
		ID:             model.InstanceID(fmt.Sprintf("10.%d.%d.%d:7000", 20+i/62500, i/250%250, i%250)),
		ControlAddress: fmt.Sprintf("10.%d.%d.%d:7100", 20+i/62500, i/250%250, i%250),
		DataCentre:     "region1-dc2",
		Boot:           NewBootID(time.UnixMilli(1_700_000_000_000+int64(i)), rand.New(rand.NewPCG(uint64(i), 0))),
	}
}

// fleet connects the Membership under test to simulated peers. All peers share
// one further Membership, peerEncoder, for its encoder and its update queues.
type fleet struct {
	b              *testing.B
	m, peerEncoder *Membership
	members        []Member
	byAddress      map[string]int
	now            time.Time
	r              *rand.Rand
	sentBytes      int
	receivedBytes  int
	sentDatagrams  int
	// shortAcks is true if the peers send their record in acks in the short form.
	shortAcks bool
	callTime  time.Duration
	sequence  uint64
}

func newFleet(b *testing.B, n int) *fleet {
	f := &fleet{b: b, now: time.Unix(1_700_000_000, 0), r: rand.New(rand.NewPCG(1, uint64(n))), byAddress: make(map[string]int)}
	for i := range n {
		f.members = append(f.members, benchMember(i))
		f.byAddress[f.members[i].ControlAddress] = i
	}
	f.m = New(Config{Self: f.members[0], Cluster: "production", Rand: f.r}, f.now)
	f.peerEncoder = New(Config{Self: f.members[1], Cluster: "production", Rand: f.r}, f.now)
	listed := make([]port.ListedInstance, n)
	for i, r := range f.members {
		listed[i] = port.ListedInstance{ID: r.ID, ControlAddress: r.ControlAddress, DataCentre: r.DataCentre}
		f.peerEncoder.apply(f.now, r)
	}
	f.peerEncoder.memberUpdates = queue{}
	f.m.SetListed(f.now, listed)
	for range 30 {
		f.runSecond(0)
	}
	f.shortAcks = true
	f.sentBytes, f.receivedBytes, f.sentDatagrams, f.callTime = 0, 0, 0, 0
	return f
}

// runSecond runs one second of virtual time. A churn of 1 makes as many changes
// as an ordinary day of a fleet of the target size, with member updates in
// proportion to the simulated fleet's size; 0 makes none.
func (f *fleet) runSecond(churn float64) {
	if f.r.Float64() < churn*float64(len(f.members))/targetMembers*memberUpdatesPerDay/secondsPerDay {
		i := 2 + f.r.IntN(len(f.members)-2)
		f.members[i].Incarnation++
		f.m.apply(f.now, f.members[i])
		f.peerEncoder.apply(f.now, f.members[i])
	}
	if f.r.Float64() < churn*documentsPerDay/secondsPerDay {
		f.sequence++
		v := port.DocumentVersion{Service: fmt.Sprintf("invoice-book-%d", f.sequence%30), Revision: f.sequence, Digest: f.r.Uint64()}
		f.m.AnnounceDocument(v)
		f.peerEncoder.AnnounceDocument(v)
	}
	for range time.Second / DefaultInterval {
		f.deliver(f.measure(func() ([]Send, error) { return f.m.Tick(f.now), nil }))
		for range min(DefaultFanout, len(f.members)-1) {
			f.sequence++
			f.receive(1+f.r.IntN(len(f.members)-1), message{kind: kindPing, sequence: f.sequence, shortSender: true})
		}
		f.now = f.now.Add(DefaultInterval)
	}
}

// deliver counts the datagrams of the Membership under test and answers each of
// its pings.
func (f *fleet) deliver(sends []Send) {
	for _, s := range sends {
		f.sentBytes += len(s.Datagram)
		f.sentDatagrams++
		if c, _, _, err := f.peerEncoder.decode(s.Datagram); err == nil && c.GetKind() == kindPing {
			f.receive(f.byAddress[s.Address], message{kind: kindAck, sequence: c.GetSequence(), shortSender: f.shortAcks})
		}
	}
}

// receive passes a peer's message to the Membership under test.
func (f *fleet) receive(from int, msg message) {
	f.peerEncoder.self = f.members[from]
	f.peerEncoder.encodePrefixes()
	d := f.peerEncoder.buildDatagram(f.now, "", msg)
	f.receivedBytes += len(d.Datagram)
	f.deliver(f.measure(func() ([]Send, error) {
		r, err := f.m.Receive(f.now, f.members[from].ControlAddress, d.Datagram)
		return r.Sends, err
	}))
}

// measure runs a call of the Membership under test and adds its time to callTime.
func (f *fleet) measure(call func() ([]Send, error)) []Send {
	begin := time.Now()
	sends, err := call()
	f.callTime += time.Since(begin)
	must.NoError(f.b, err)
	return sends
}

func runEachFleetSize(b *testing.B, run func(*testing.B, int)) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) { run(b, n) })
	}
}

// BenchmarkSecond reports the traffic and the processor time (Tick and Receive,
// without the socket) of one instance per second, on a day without changes and
// with the daily changes of the target size. ns/op includes the simulated
// peers.
func BenchmarkSecond(b *testing.B) {
	for _, churn := range []float64{0, 1} {
		b.Run(fmt.Sprintf("churn=%v", churn), func(b *testing.B) {
			runEachFleetSize(b, func(b *testing.B, n int) {
				f := newFleet(b, n)
				seconds := 0
				for b.Loop() {
					f.runSecond(churn)
					seconds++
				}
				per := func(v int) float64 { return float64(v) / float64(seconds) }
				b.ReportMetric(per(int(f.callTime.Microseconds())), "tick+receive-us/s")
				b.ReportMetric(per(f.sentBytes), "sent-B/s")
				b.ReportMetric(per(f.receivedBytes), "received-B/s")
				b.ReportMetric(per(f.sentDatagrams), "datagrams-sent/s")
				b.ReportMetric(per(f.sentBytes+f.receivedBytes+2*headerBytes*f.sentDatagrams), "both-with-headers-B/s")
			})
		})
	}
}

// BenchmarkMemory reports the heap that one instance's view occupies, including
// the results of Members and Candidates.
func BenchmarkMemory(b *testing.B) {
	runEachFleetSize(b, func(b *testing.B, n int) {
		for b.Loop() {
			f := newFleet(b, n)
			f.peerEncoder = nil
			f.m.Members()
			f.m.Candidates(f.now)
			bytesWithView := heapBytes()
			f.m = nil
			b.ReportMetric(float64(bytesWithView-heapBytes())/1024, "KB")
			runtime.KeepAlive(f)
		}
	})
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
