// Package relay is a stand-in for the network between instances, and between
// instances and the platform. It forwards TCP connections and UDP datagrams and
// cuts links between nodes at will, in one or both directions.
//
// Each node has an advertised address that the relay listens on, and another one
// that the node listens on. The relay tells senders by their source addresses:
// the source IP address of a TCP connection, and the node's control address of a
// datagram. A datagram leaves from the sender's advertised address, so that
// answers to its source pass the relay, too.
package relay

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Mode is what happens to the traffic of a link.
type Mode int

const (
	// Open passes everything.
	Open Mode = iota
	// Silent drops datagrams and delays the bytes of TCP connections until they
	// would be sent again after the link is open. A new connection seems to be accepted
	// and stays silent: a relay can't drop the handshake, which the kernel
	// completes.
	Silent
	// Broken drops datagrams and resets TCP connections, new ones included.
	Broken
)

// Node is a process with its two pairs of addresses, all "ip:port".
type Node struct {
	Name string
	// PeerAdvertised and ControlAdvertised are the relay's listeners.
	PeerAdvertised, ControlAdvertised string
	// Peer and Control are the process's listeners. Its connections to other
	// nodes are made from the IP address of Peer.
	Peer, Control string
}

// link is one direction between two nodes.
type link struct{ from, to string }

// Relay forwards between nodes.
type Relay struct {
	mu sync.Mutex
	// cuts holds the links that are not open.
	modes map[link]Mode
	// delays holds what is added to the time that bytes of a connection take.
	delays map[link]time.Duration
	// byIP and byControl tell senders.
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

// Forward opens a listener through which the named node reaches a fixed target,
// such as the platform, and returns its address.
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

// senderOf returns the node that a connection comes from, and "" if its address
// is not one of a node.
func (r *Relay) senderOf(c net.Conn) string {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodeByIP[a.AddrPort().Addr().Unmap()]
}

// SetMode sets the mode of all links from the first to the second nodes. For both
// directions it is called twice.
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

// SetModeBothWays cuts all links between the two sides in both directions.
func (r *Relay) SetModeBothWays(one, other []string, m Mode) {
	r.SetMode(one, other, m)
	r.SetMode(other, one, m)
}

// SetDelay makes the bytes of TCP connections from the first to the second nodes
// take longer. A delay of zero ends it.
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

// ResetConnections resets the open connections between the two sides; new ones pass.
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

func (r *Relay) setLinkMode(l link, m Mode) {
	if m == Open {
		delete(r.modes, l)
		return
	}
	r.modes[l] = m
}

// apply resets the connections over broken links. The caller holds the lock.
func (r *Relay) resetBroken() {
	for s := range r.streams {
		if r.connectionMode(s.link) == Broken {
			s.reset()
		}
	}
}

// worst returns the mode of a connection, which needs both directions. The
// caller holds the lock.
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

// onClose adds a step of Close. On a closed relay it runs at once.
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
