package relay

import (
	"errors"
	"net"
	"net/netip"
)

// maxDatagramBytes exceeds the size limit of control messages, so that even oversized
// messages reach the receiver whole.
const maxDatagramBytes = 2048

// controlSocket is the relay's socket at a node's advertised control address.
type controlSocket struct {
	nodeName string
	conn     *net.UDPConn
	// nodeAddress is the address that the node itself listens on.
	nodeAddress netip.AddrPort
}

func (r *Relay) addControl(n Node) error {
	advertised, err := netip.ParseAddrPort(n.ControlAdvertised)
	if err != nil {
		return err
	}
	nodeAddress, err := netip.ParseAddrPort(n.Control)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(advertised))
	if err != nil {
		return err
	}
	c := &controlSocket{nodeName: n.Name, conn: conn, nodeAddress: nodeAddress}
	r.onClose(func() { _ = conn.Close() })
	r.mu.Lock()
	r.socketByNode[nodeAddress] = c
	r.mu.Unlock()
	r.running.Go(func() { r.receive(c) })
	return nil
}

// receive forwards the datagrams that arrive for a node until the socket is closed.
func (r *Relay) receive(c *controlSocket) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An earlier datagram that was sent from this socket reached a node that
			// does not listen, and the kernel reports this as a read error.
			continue
		}
		if sender := r.openSender(from, c); sender != nil {
			_, _ = sender.conn.WriteToUDPAddrPort(buf[:n], c.nodeAddress)
		}
	}
}

// openSender returns the socket of a datagram's sender, or nil if the sender is unknown
// or the link from it is not open.
func (r *Relay) openSender(from netip.AddrPort, to *controlSocket) *controlSocket {
	r.mu.Lock()
	defer r.mu.Unlock()
	sender := r.socketByNode[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if sender == nil || r.modes[link{sender.nodeName, to.nodeName}] != Open {
		return nil
	}
	return sender
}
