// Package relay is a stand-in for the network between instances, and between
// instances and the platform. It forwards TCP connections and UDP datagrams, and
// tests can make it cut links between nodes in one or both directions.
//
// Each node has advertised addresses, on which the relay listens, and addresses of its
// own, on which the node listens. The relay identifies the node that opens a TCP
// connection by the source IP address. It identifies the sender of a datagram by the
// source address, which is the sender's own control address. The relay sends a datagram
// on from the advertised address of its sender, so that answers pass through the relay,
// too.
package relay

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Mode says how the relay treats the traffic of a link.
type Mode int

const (
	// Open forwards everything.
	Open Mode = iota
	// Silent drops datagrams and delays the bytes of TCP connections. When the link is
	// open again, the relay forwards the bytes at the time at which the sender's
	// kernel would have retransmitted them. A new connection is accepted, because the
	// relay can't prevent that the kernel completes its handshake, but it carries
	// nothing.
	Silent
	// Broken drops datagrams and resets TCP connections, including new ones.
	Broken
)

// Node is a process with its advertised addresses and its own addresses, all "ip:port".
type Node struct {
	Name string
	// PeerAdvertised and ControlAdvertised are the addresses on which the relay
	// listens for the node.
	PeerAdvertised, ControlAdvertised string
	// Peer and Control are the addresses on which the process listens. The process
	// connects to other nodes from the IP address of Peer.
	Peer, Control string
}

// link is one direction between two nodes.
type link struct{ from, to string }

// Relay forwards connections and datagrams between nodes.
type Relay struct {
	mu sync.Mutex
	// modes holds the modes of the links that are not open.
	modes map[link]Mode
	// delays holds the time by which the bytes of connections over a link are
	// delayed.
	delays map[link]time.Duration
	// nodeByIP holds the names of nodes by the IP address of Node.Peer, and
	// socketByNode holds their sockets by Node.Control. They identify senders.
	nodeByIP     map[netip.Addr]string
	socketByNode map[netip.AddrPort]*controlSocket
	streams      map[*stream]bool
	closers      []func()
	closed       bool
	running      sync.WaitGroup
}

// New returns a relay without nodes.
func New() *Relay {
	return &Relay{
		modes:        make(map[link]Mode),
		delays:       make(map[link]time.Duration),
		nodeByIP:     make(map[netip.Addr]string),
		socketByNode: make(map[netip.AddrPort]*controlSocket),
		streams:      make(map[*stream]bool),
	}
}

// Add opens the listeners at the advertised addresses of a node.
func (r *Relay) Add(n Node) error {
	peer, err := netip.ParseAddrPort(n.Peer)
	if err != nil {
		return err
	}
	r.mu.Lock()
	other, taken := r.nodeByIP[peer.Addr()]
	r.nodeByIP[peer.Addr()] = n.Name
	r.mu.Unlock()
	if taken {
		return fmt.Errorf("nodes %s and %s have the same IP address %s", other, n.Name, peer.Addr())
	}
	l, err := net.Listen("tcp", n.PeerAdvertised)
	if err != nil {
		return err
	}
	r.onClose(func() { _ = l.Close() })
	r.running.Go(func() { r.accept(l, r.senderOf, n.Name, n.Peer) })
	return r.addControl(n)
}

// Forward opens a listener and returns its address. It forwards each connection to the
// address target, as a connection over the link between the nodes from and to, for
// example from an instance to the platform. Neither node needs to be added.
func (r *Relay) Forward(from, to, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.onClose(func() { _ = l.Close() })
	sender := func(net.Conn) string { return from }
	r.running.Go(func() { r.accept(l, sender, to, target) })
	return l.Addr().String(), nil
}

// senderOf returns the name of the node that a connection comes from, or "" if its
// source IP address is not that of a node.
func (r *Relay) senderOf(c net.Conn) string {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodeByIP[a.AddrPort().Addr().Unmap()]
}

// SetMode sets the mode of the links from each of the first nodes to each of the second
// ones, in this direction only.
func (r *Relay) SetMode(from, to []string, m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			r.setLinkMode(link{a, b}, m)
		}
	}
	r.resetBroken()
}

// SetModeBothWays sets the mode of all links between the two sides in both directions.
func (r *Relay) SetModeBothWays(one, other []string, m Mode) {
	r.SetMode(one, other, m)
	r.SetMode(other, one, m)
}

// SetDelay sets the time by which the relay delays the bytes that TCP connections carry
// from each of the first nodes to each of the second ones. Zero ends the delay.
func (r *Relay) SetDelay(from, to []string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if d > 0 {
				r.delays[link{a, b}] = d
			} else {
				delete(r.delays, link{a, b})
			}
		}
	}
}

// ResetConnections resets the open connections between the two sides. New ones are
// not affected.
func (r *Relay) ResetConnections(one, other []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.streams {
		l := s.link
		if slices.Contains(one, l.from) && slices.Contains(other, l.to) || slices.Contains(one, l.to) && slices.Contains(other, l.from) {
			s.reset()
		}
	}
}

// Restore opens all links and ends all delays.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.modes)
	clear(r.delays)
}

// setLinkMode sets the mode of one link. The caller holds the lock.
func (r *Relay) setLinkMode(l link, m Mode) {
	if m == Open {
		delete(r.modes, l)
		return
	}
	r.modes[l] = m
}

// resetBroken resets the connections over broken links. The caller holds the lock.
func (r *Relay) resetBroken() {
	for s := range r.streams {
		if r.connectionMode(s.link) == Broken {
			s.reset()
		}
	}
}

// connectionMode returns the mode of a connection: the more severe one of its two
// directions, because a connection needs both. The caller holds the lock.
func (r *Relay) connectionMode(l link) Mode {
	return max(r.modes[l], r.modes[link{l.to, l.from}])
}

func (r *Relay) isOpen(l link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.modes[l] == Open
}

func (r *Relay) linkDelay(l link) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delays[l]
}

// onClose makes Close call f. If the relay is closed already, it calls f at once.
func (r *Relay) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		f()
		return
	}
	r.closers = append(r.closers, f)
}

// Close closes all listeners and connections and waits for their goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for _, f := range r.closers {
		f()
	}
	r.closers = nil
	for s := range r.streams {
		s.reset()
	}
	r.mu.Unlock()
	r.running.Wait()
}
