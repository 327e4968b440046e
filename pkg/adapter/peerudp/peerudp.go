// Package peerudp sends and receives control datagrams between instances over
// one UDP socket.
package peerudp

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// receiveBufferBytes is the size of the socket's receive buffer. It holds the acks
	// of a bootstrap round while the process is too busy to read them.
	receiveBufferBytes = 256 << 10
	// readErrorDelay is the wait after a failed read, so that a persistent error does
	// not keep a core busy.
	readErrorDelay = 10 * time.Millisecond
)

// Stats counts datagrams since the socket was opened.
type Stats struct {
	Sent          uint64
	SentBytes     uint64
	SendErrors    uint64
	Received      uint64
	ReceivedBytes uint64
	ReadErrors    uint64
	// Oversized counts the received datagrams that were dropped because they exceed
	// the size limit.
	Oversized uint64
}

// Socket is a UDP socket for control datagrams. It implements port.Control.
type Socket struct {
	conn     *net.UDPConn
	closed   chan struct{}
	close    sync.Once
	readLoop sync.WaitGroup
	// mu ensures that Start does not start the read loop after Close.
	mu sync.Mutex

	sent, sentBytes, sendErrors         atomic.Uint64
	received, receivedBytes, readErrors atomic.Uint64
	oversized                           atomic.Uint64
}

var _ port.Control = (*Socket)(nil)

// Listen opens a socket on address, which is "ip:port" from the settings.
func Listen(address string) (*Socket, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, result.Wrap(result.Internal, err)
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		_ = conn.Close()
		return nil, result.Wrap(result.Internal, err)
	}
	return &Socket{conn: conn, closed: make(chan struct{})}, nil
}

// Address returns the local address.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Send sends a datagram. It counts errors and does not return them: a datagram that
// cannot be sent is treated like one that is lost.
func (s *Socket) Send(address string, datagram []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil || len(datagram) > membership.MaxDatagram {
		s.sendErrors.Add(1)
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.sendErrors.Add(1)
		return
	}
	s.sent.Add(1)
	s.sentBytes.Add(uint64(len(datagram)))
}

// Start starts a goroutine that reads datagrams until Close and passes them to h one
// at a time. During a call of h, arriving datagrams wait in the socket's receive
// buffer, and the kernel drops those that do not fit. A datagram is valid only during
// the call of h. Start does nothing on a closed socket.
func (s *Socket) Start(h port.ControlHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
	default:
		s.readLoop.Go(func() { s.readDatagrams(h) })
	}
}

func (s *Socket) readDatagrams(h port.ControlHandler) {
	// The buffer is one byte larger than the limit. A datagram that exceeds the limit
	// then differs from a datagram of exactly that size.
	buf := make([]byte, membership.MaxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.readErrors.Add(1)
			if !s.waitAfterError() {
				return
			}
		case n > membership.MaxDatagram:
			s.oversized.Add(1)
		default:
			s.received.Add(1)
			s.receivedBytes.Add(uint64(n))
			h.HandleDatagram(unmapAddress(from), buf[:n])
		}
	}
}

// unmapAddress returns the address in the form that settings use. A dual-stack socket
// reports IPv4 addresses as IPv4-mapped IPv6 addresses; unmapAddress turns them back
// into IPv4 addresses.
func unmapAddress(a netip.AddrPort) string {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String()
}

// waitAfterError waits for readErrorDelay and reports whether the socket is still
// open.
func (s *Socket) waitAfterError() bool {
	t := time.NewTimer(readErrorDelay)
	defer t.Stop()
	select {
	case <-s.closed:
		return false
	case <-t.C:
		return true
	}
}

// Close closes the socket and waits for the read loop to end. The handler is
// not called after Close returns. A handler must not call Close.
func (s *Socket) Close() error {
	var err error
	s.close.Do(func() {
		s.mu.Lock()
		close(s.closed)
		s.mu.Unlock()
		err = s.conn.Close()
	})
	s.readLoop.Wait()
	return err
}

// Stats returns the counts since the socket was opened.
func (s *Socket) Stats() Stats {
	return Stats{
		Sent:          s.sent.Load(),
		SentBytes:     s.sentBytes.Load(),
		SendErrors:    s.sendErrors.Load(),
		Received:      s.received.Load(),
		ReceivedBytes: s.receivedBytes.Load(),
		ReadErrors:    s.readErrors.Load(),
		Oversized:     s.oversized.Load(),
	}
}
