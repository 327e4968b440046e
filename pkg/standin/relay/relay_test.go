package relay

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

// testNode is a node that echoes TCP data. Tests send and receive its datagrams on the
// socket udp.
type testNode struct {
	Node
	udp *net.UDPConn
	ip  net.IP
}

func startNode(t *testing.T, r *Relay, name, ip string) *testNode {
	t.Helper()
	tcp, err := net.Listen("tcp", ip+":0")
	must.NoError(t, err)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)})
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = tcp.Close()
		_ = udp.Close()
	})
	go func() {
		for {
			c, err := tcp.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	advertised := free.Addr().String()
	must.NoError(t, free.Close())
	n := &testNode{Node: Node{
		Name: name, PeerAdvertised: advertised, ControlAdvertised: advertised,
		Peer: tcp.Addr().String(), Control: udp.LocalAddr().String(),
	}, udp: udp, ip: net.ParseIP(ip)}
	must.NoError(t, r.Add(n.Node))
	return n
}

func (n *testNode) dial(t *testing.T, to *testNode) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: n.ip}}
	c, err := d.Dial("tcp", to.PeerAdvertised)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends a byte and returns the error of reading it back.
func echo(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// dialAndEcho opens a connection, echoes a byte over it and returns the first error. A
// reset may come while the connection is opened or only when it is used.
func dialAndEcho(t *testing.T, from net.IP, to string) error {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}}
	c, err := d.Dial("tcp", to)
	if err != nil {
		return err
	}
	defer c.Close()
	return echo(c)
}

// datagramArrives sends a datagram and reports whether it arrives. It checks that the
// source address is the sender's advertised address. On one machine, a datagram that is
// not dropped arrives long before the read deadline of 100 ms.
func datagramArrives(t *testing.T, from, to *testNode) bool {
	t.Helper()
	_, err := from.udp.WriteToUDPAddrPort([]byte("x"), netip.MustParseAddrPort(to.ControlAdvertised))
	must.NoError(t, err)
	must.NoError(t, to.udp.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, source, err := to.udp.ReadFromUDPAddrPort(make([]byte, 10))
	if err != nil {
		return false
	}
	must.Eq(t, from.ControlAdvertised, source.String())
	return true
}

func startTwoNodes(t *testing.T) (*Relay, *testNode, *testNode) {
	t.Helper()
	r := New()
	t.Cleanup(r.Close)
	return r, startNode(t, r, "a", "127.0.0.11"), startNode(t, r, "b", "127.0.0.12")
}

// TestSilentCut guards against a silent cut that lets data through, that also drops
// datagrams of the other direction, or that loses bytes of connections, which must arrive
// when the link is open again.
func TestSilentCut(t *testing.T) {
	r, a, b := startTwoNodes(t)
	c := a.dial(t, b)
	must.NoError(t, echo(c))
	must.True(t, datagramArrives(t, a, b))

	r.SetMode([]string{"a"}, []string{"b"}, Silent)
	must.False(t, datagramArrives(t, a, b))
	must.True(t, datagramArrives(t, b, a))
	must.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	must.Error(t, echo(c))
	late := a.dial(t, b)
	must.NoError(t, late.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	must.Error(t, echo(late))

	r.Restore()
	for _, conn := range []net.Conn{c, late} {
		must.NoError(t, conn.SetReadDeadline(time.Time{}))
		_, err := io.ReadFull(conn, make([]byte, 1))
		must.NoError(t, err)
		must.NoError(t, echo(conn))
	}
	must.True(t, datagramArrives(t, a, b))
}

// TestBrokenCut guards against a broken link whose connections are not reset, and against
// resets of other nodes' connections.
func TestBrokenCut(t *testing.T) {
	r, a, b := startTwoNodes(t)
	other := startNode(t, r, "c", "127.0.0.13")
	c, uninvolved := a.dial(t, b), other.dial(t, b)
	must.NoError(t, echo(c))
	r.SetModeBothWays([]string{"a"}, []string{"b"}, Broken)
	must.Error(t, echo(c))
	must.Error(t, dialAndEcho(t, a.ip, b.PeerAdvertised))
	must.NoError(t, echo(uninvolved))
	must.True(t, datagramArrives(t, other, b))
	r.Restore()
	must.NoError(t, echo(a.dial(t, b)))
}

// TestForward guards against a listener of Forward that ignores the mode of its link,
// and against the loss of the last bytes before the sender closes a connection.
func TestForward(t *testing.T) {
	r, a, b := startTwoNodes(t)
	address, err := r.Forward("a", "platform", b.Peer)
	must.NoError(t, err)
	r.SetMode([]string{"platform"}, []string{"a"}, Broken)
	must.Error(t, dialAndEcho(t, net.IPv4(127, 0, 0, 1), address))
	r.Restore()
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer c.Close()
	sent := make([]byte, 1<<20)
	go func() {
		_, _ = c.Write(sent)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(c)
	must.NoError(t, err)
	must.Len(t, len(sent), got)
	must.True(t, datagramArrives(t, a, b))
}

// TestUnknownSenderAndClose guards against forwarded connections of unknown senders,
// whose link the relay can't determine, and against goroutines that go on after the relay
// was closed.
func TestUnknownSenderAndClose(t *testing.T) {
	r, a, b := startTwoNodes(t)
	must.Error(t, dialAndEcho(t, net.IPv4(127, 0, 0, 1), b.PeerAdvertised))
	silent := a.dial(t, b)
	must.NoError(t, echo(silent))
	r.SetMode([]string{"a"}, []string{"b"}, Silent)
	before := goleak.IgnoreCurrent()
	r.Close()
	must.Error(t, echo(silent))
	must.Error(t, r.Add(Node{Peer: a.Peer}))
	goleak.VerifyNone(t, before)
}
