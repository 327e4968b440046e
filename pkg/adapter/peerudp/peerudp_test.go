package peerudp

import (
	"bytes"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/sardineturn/sardineturn/pkg/membership"
)

type received struct {
	from     string
	datagram []byte
}

type handler chan received

func (h handler) HandleDatagram(from string, datagram []byte) {
	h <- received{from, bytes.Clone(datagram)}
}

func listen(t testing.TB, address string) *Socket {
	s, err := Listen(address)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, s.Close()) })
	return s
}

// TestSendAndReceive guards against reporting a sender address to which no reply can
// be sent, and against oversized datagrams that reach the handler.
func TestSendAndReceive(t *testing.T) {
	a, b := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	h := make(handler, 4)
	b.Start(h)
	largest := bytes.Repeat([]byte{1}, membership.MaxDatagram)
	a.Send(b.Address(), append(largest, 1))
	a.Send("no address", largest)
	raw, err := net.Dial("udp", b.Address())
	must.NoError(t, err)
	_, err = raw.Write(append(largest, 1))
	must.NoError(t, err)
	must.NoError(t, raw.Close())
	a.Send(b.Address(), largest)
	got := <-h
	must.Eq(t, a.Address(), got.from)
	must.Eq(t, largest, got.datagram)
	must.Eq(t, Stats{Sent: 1, SentBytes: 1200, SendErrors: 2}, a.Stats())
	must.Eq(t, Stats{Received: 1, ReceivedBytes: 1200, Oversized: 1}, b.Stats())
}

// TestWildcardAddressReportsIPv4Sender guards against sender addresses in the
// IPv4-mapped IPv6 form, which differ from the addresses that members announce.
func TestWildcardAddressReportsIPv4Sender(t *testing.T) {
	a, b := listen(t, "127.0.0.1:0"), listen(t, "0.0.0.0:0")
	h := make(handler, 1)
	b.Start(h)
	_, p, err := net.SplitHostPort(b.Address())
	must.NoError(t, err)
	a.Send("127.0.0.1:"+p, []byte("x"))
	must.Eq(t, a.Address(), (<-h).from)
}

// TestClose guards against a read loop that goes on after Close, and against failures
// of a second Close or of calls after Close.
func TestClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	s.Start(make(handler))
	must.NoError(t, s.Close())
	must.NoError(t, s.Close())
	s.Start(make(handler))
	s.Send("127.0.0.1:9", []byte("x"))
	must.Eq(t, 1, s.Stats().SendErrors)
	_, err = Listen("localhost:1")
	must.Error(t, err)
}

// BenchmarkSendReceive measures the cost of sending and receiving one datagram over
// the loopback interface.
func BenchmarkSendReceive(b *testing.B) {
	s, d := listen(b, "127.0.0.1:0"), bytes.Repeat([]byte{1}, 60)
	h := make(handler, 1)
	s.Start(h)
	b.ReportAllocs()
	for b.Loop() {
		s.Send(s.Address(), d)
		<-h
	}
}
