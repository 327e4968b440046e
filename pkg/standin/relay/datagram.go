package relay

import (
	"errors"
	"net"
	"net/netip"
)

// maxDatagram is over the size limit of control messages, so that the receiver
// sees oversized ones as they were sent.
const maxDatagramBytes = 2048

// controlSocket is a node's advertised control address.
type controlSocket struct {
	nodeName string
	conn     *net.UDPConn
	// node is the address that the node itself listens on.
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

// receive passes on the datagrams that arrive for a node until its socket is
// closed.
func (r *Relay) receive(c *controlSocket) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A refused datagram to a dead node is reported on its socket.
			continue
		}
		if sender := r.openSender(from, c); sender != nil {
			_, _ = sender.conn.WriteToUDPAddrPort(buf[:n], c.nodeAddress)
		}
	}
}

// passing returns the socket of a datagram's sender, and nil if the sender is
// unknown or the link is cut.
func (r *Relay) openSender(from netip.AddrPort, to *controlSocket) *controlSocket {
	r.mu.Lock()
	defer r.mu.Unlock()
	sender := r.socketByNode[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if sender == nil || r.modes[link{sender.nodeName, to.nodeName}] != Open {
		return nil
	}
	return sender
}
