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
	// receiveBuffer is the socket's receive buffer in bytes. It holds the acks
	// to a bootstrap round while the process is busy.
	receiveBuffer = 256 << 10
	// errorPause is the wait after a failed read, so that a lasting error does
	// not keep a core busy.
	errorPause = 10 * time.Millisecond
)

// Stats counts datagrams since the socket was opened.
type Stats struct {
	Sent          uint64
	SentBytes     uint64
	SendErrors    uint64
	Received      uint64
	ReceivedBytes uint64
	ReadErrors    uint64
	// Oversized counts received datagrams over the size limit. They are
	// dropped.
	Oversized uint64
}

// Socket is a UDP socket for control datagrams. It implements port.Control.
type Socket struct {
	conn   *net.UDPConn
	closed chan struct{}
	close  sync.Once
	loop   sync.WaitGroup
	mu     sync.Mutex

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
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		_ = conn.Close()
		return nil, result.Wrap(result.Internal, err)
	}
	return &Socket{conn: conn, closed: make(chan struct{})}, nil
}

// Address returns the local address.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Send sends a datagram. Errors are counted and otherwise treated as loss.
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

// Start reads datagrams on one goroutine until Close and passes them to h one
// at a time. What arrives meanwhile waits in the socket's buffer, which drops
// when full. The datagram is valid only during the call of h. Start does nothing
// on a closed socket.
func (s *Socket) Start(h port.ControlHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
	default:
		s.loop.Go(func() { s.read(h) })
	}
}

func (s *Socket) read(h port.ControlHandler) {
	// One byte over the limit shows an oversized datagram.
	buf := make([]byte, membership.MaxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.readErrors.Add(1)
			if !s.pause() {
				return
			}
		case n > membership.MaxDatagram:
			s.oversized.Add(1)
		default:
			s.received.Add(1)
			s.receivedBytes.Add(uint64(n))
			h.HandleDatagram(unmapped(from), buf[:n])
		}
	}
}

// unmapped returns the address in the form that settings use: an IPv4 address
// that a dual-stack socket reports as IPv6 is turned back.
func unmapped(a netip.AddrPort) string {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String()
}

// pause waits after a read error and reports whether the socket is still open.
func (s *Socket) pause() bool {
	t := time.NewTimer(errorPause)
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
	s.loop.Wait()
	return err
}

// Stats returns the counts so far.
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
