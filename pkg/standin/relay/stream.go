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
	// Lost data and lost connection requests are sent again after these times
	// and then after twice the time of the last wait, as the kernel does.
	firstRetransmission    = 200 * time.Millisecond
	firstSYNRetransmission = time.Second
)

// stream is one forwarded TCP connection.
type stream struct {
	// link is the direction in which the connection was opened.
	link  link
	ended chan struct{}
	once  sync.Once

	mu    sync.Mutex
	conns []net.Conn
}

// attach adds a connection that reset closes. It reports false, and closes the
// connection, if the stream has ended.
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

// reset ends the stream, so that both ends see a reset connection.
func (s *stream) reset() { s.end(resetConn) }

// finish ends the stream after all data has been passed on.
func (s *stream) finish() { s.end(func(c net.Conn) { _ = c.Close() }) }

func (s *stream) end(each func(net.Conn)) {
	s.once.Do(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(s.ended)
		for _, c := range s.conns {
			each(c)
		}
	})
}

// abort closes a connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// accept forwards each connection of a listener to the target until the listener
// is closed. Connections of unknown senders are reset.
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

// register adds the stream to those that a cut resets. It reports false if a
// broken link refuses it or the relay is closed.
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

// established waits until both directions of a new connection are open, as its
// handshake does.
func (r *Relay) awaitHandshake(s *stream) bool {
	return r.awaitOpen(s, s.link, firstSYNRetransmission) && r.awaitOpen(s, link{s.link.to, s.link.from}, firstSYNRetransmission)
}

// await passes what arrives on an open link, and else waits until it would be
// sent again on an open one. It reports false if the stream ends before.
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

// copy passes bytes in one direction to the end of the data, and then closes
// that direction. An error ends the whole stream.
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
