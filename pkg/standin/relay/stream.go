package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	copyBufferBytes = 32 << 10
	dialTimeout     = 2 * time.Second
	// firstRetransmission and firstSYNRetransmission are the times after which lost
	// data and a lost SYN of a new connection are retransmitted for the first time.
	// Each further wait is twice as long as the one before, as in the kernel.
	firstRetransmission    = 200 * time.Millisecond
	firstSYNRetransmission = time.Second
)

// stream is one forwarded TCP connection.
type stream struct {
	// link is the direction in which the connection was opened.
	link link
	// ended is closed when the stream ends.
	ended chan struct{}
	once  sync.Once

	mu    sync.Mutex
	conns []net.Conn
}

// attach adds one of the stream's two TCP connections, so that it is closed when the
// stream ends. If the stream has ended already, it resets the connection and returns
// false.
func (s *stream) attach(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
		resetConn(c)
		return false
	default:
	}
	s.conns = append(s.conns, c)
	return true
}

// reset ends the stream by resetting its connections.
func (s *stream) reset() { s.end(resetConn) }

// finish ends the stream by closing its connections after all data was forwarded.
func (s *stream) finish() { s.end(func(c net.Conn) { _ = c.Close() }) }

func (s *stream) end(closeConn func(net.Conn)) {
	s.once.Do(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(s.ended)
		for _, c := range s.conns {
			closeConn(c)
		}
	})
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// accept forwards each connection of a listener to the target until the listener is
// closed. It resets connections of unknown senders.
func (r *Relay) accept(l net.Listener, sender func(net.Conn) string, to, target string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		from := sender(c)
		if from == "" {
			resetConn(c)
			continue
		}
		r.running.Go(func() { r.forward(c, link{from, to}, target) })
	}
}

// forward connects to the target and copies the bytes in both directions until both
// have ended or the stream is reset.
func (r *Relay) forward(opener net.Conn, l link, target string) {
	s := &stream{link: l, ended: make(chan struct{})}
	s.attach(opener)
	if !r.register(s) {
		s.reset()
		return
	}
	defer r.unregister(s)
	if !r.awaitHandshake(s) {
		return
	}
	accepter, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		s.reset()
		return
	}
	if !s.attach(accepter) {
		return
	}
	defer s.finish()
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(s, accepter, opener, l) })
	wg.Go(func() { r.copy(s, opener, accepter, link{l.to, l.from}) })
	wg.Wait()
}

// register adds the stream to the relay, which resets it when its link breaks or when the
// relay is closed. It returns false if one of these has happened already.
func (r *Relay) register(s *stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.connectionMode(s.link) == Broken {
		return false
	}
	r.streams[s] = true
	return true
}

func (r *Relay) unregister(s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, s)
}

// awaitHandshake waits until both directions of a new connection are open, as a TCP
// handshake over the link would. It returns false if the stream ends before.
func (r *Relay) awaitHandshake(s *stream) bool {
	return r.awaitOpen(s, s.link, firstSYNRetransmission) && r.awaitOpen(s, link{s.link.to, s.link.from}, firstSYNRetransmission)
}

// awaitOpen waits until the link is open. Like the retransmissions of a kernel, it checks
// the link at once, after the interval, and then each time after twice the last wait. It
// returns false if the stream ends before.
func (r *Relay) awaitOpen(s *stream, l link, interval time.Duration) bool {
	for ; !r.isOpen(l); interval *= 2 {
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-s.ended:
			timer.Stop()
			return false
		}
	}
	return true
}

// copy forwards bytes in one direction until the sender closes it, and then closes this
// direction of the other connection. An error resets the whole stream.
func (r *Relay) copy(s *stream, to, from net.Conn, l link) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		time.Sleep(r.linkDelay(l))
		if !r.awaitOpen(s, l, firstRetransmission) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				s.reset()
				return
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			s.reset()
			return
		}
	}
}
