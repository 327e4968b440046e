package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	copyBuffer  = 32 << 10
	dialTimeout = 2 * time.Second
	// Lost data and lost connection requests are sent again after these times
	// and then after twice the time of the last wait, as the kernel does.
	firstRetransmission = 200 * time.Millisecond
	firstRepeatedSYN    = time.Second
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
		abort(c)
		return false
	default:
	}
	s.conns = append(s.conns, c)
	return true
}

// reset ends the stream, so that both ends see a reset connection.
func (s *stream) reset() { s.end(abort) }

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
func abort(c net.Conn) {
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
			abort(c)
			continue
		}
		r.running.Go(func() { r.forward(c, link{from, to}, target) })
	}
}

func (r *Relay) forward(client net.Conn, l link, target string) {
	s := &stream{link: l, ended: make(chan struct{})}
	s.attach(client)
	if !r.register(s) {
		s.reset()
		return
	}
	defer r.unregister(s)
	if !r.established(s) {
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		s.reset()
		return
	}
	if !s.attach(server) {
		return
	}
	defer s.finish()
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(s, server, client, l) })
	wg.Go(func() { r.copy(s, client, server, link{l.to, l.from}) })
	wg.Wait()
}

// register adds the stream to those that a cut resets. It reports false if a
// broken link refuses it or the relay is closed.
func (r *Relay) register(s *stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.worst(s.link) == Broken {
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
func (r *Relay) established(s *stream) bool {
	return r.await(s, s.link, firstRepeatedSYN) && r.await(s, link{s.link.to, s.link.from}, firstRepeatedSYN)
}

// await passes what arrives on an open link, and else waits until it would be
// sent again on an open one. It reports false if the stream ends before.
func (r *Relay) await(s *stream, l link, gap time.Duration) bool {
	for ; !r.open(l); gap *= 2 {
		timer := time.NewTimer(gap)
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
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		time.Sleep(r.delay(l))
		if !r.await(s, l, firstRetransmission) {
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
