package standins

import (
	"io"
	"net"
	"strconv"
	"sync"
)

// relay carries the traffic between gateways, like address translation, so that single
// gateways can be cut off from the others. Each gateway listens at its bind address and
// the others reach it at its advertised address.
type relay struct {
	e   *env
	mu  sync.Mutex
	cut map[string]bool
	// packets holds the socket at each advertised address.
	packets   map[string]*net.UDPConn
	listeners []net.Listener
	conns     map[net.Conn]bool
}

func (e *env) startRelay(n int) error {
	r := &relay{e: e, cut: make(map[string]bool), packets: make(map[string]*net.UDPConn), conns: make(map[net.Conn]bool)}
	e.relay = r
	e.closers = append(e.closers, r.close)
	for i := range n {
		if err := r.listen(i); err != nil {
			return err
		}
	}
	for i := range n {
		go r.carryPackets(i)
	}
	return nil
}

func inner(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(innerPort)) }

func (r *relay) listen(i int) error {
	address := inner(r.e.advertisedIP(i))
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.listeners = append(r.listeners, l)
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return err
	}
	r.packets[r.e.advertisedIP(i)] = socket
	go r.accept(i, l)
	return nil
}

// setCut cuts gateway i off from the others, or ends that.
func (r *relay) setCut(i int, cut bool) {
	r.e.record.logf("gateway %d is cut off from the other gateways: %t", i, cut)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[r.e.bindIP(i)] = cut
}

func (r *relay) isCut(a, b string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[a] || r.cut[b]
}

// advertisedOf returns the advertised address for a bind address.
func (r *relay) advertisedOf(ip string) string {
	for i := range r.e.gateways {
		if r.e.bindIP(i) == ip {
			return r.e.advertisedIP(i)
		}
	}
	return ""
}

func (r *relay) carryPackets(i int) {
	socket, to := r.packets[r.e.advertisedIP(i)], r.e.bindIP(i)
	target, _ := net.ResolveUDPAddr("udp", inner(to))
	buf := make([]byte, 1<<16)
	for {
		n, from, err := socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		source := r.packets[r.advertisedOf(from.IP.String())]
		if source == nil || r.isCut(from.IP.String(), to) {
			continue
		}
		_, _ = source.WriteToUDP(buf[:n], target)
	}
}

func (r *relay) accept(i int, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.carryStream(c, r.e.bindIP(i))
	}
}

// carryStream carries a connection. While one of its ends is cut off, bytes are held up
// in silence.
func (r *relay) carryStream(c net.Conn, to string) {
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if r.isCut(from, to) {
		r.keep(c)
		return
	}
	target, err := net.Dial("tcp", inner(to))
	if err != nil {
		_ = c.Close()
		return
	}
	r.keep(c)
	r.keep(target)
	copyBytes := func(dst, src net.Conn) {
		buf := make([]byte, 1<<15)
		for {
			n, err := src.Read(buf)
			if r.isCut(from, to) {
				// Held up for good.
				return
			}
			if n > 0 {
				if _, werr := dst.Write(buf[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				if err == io.EOF {
					_ = dst.Close()
				}
				_ = src.Close()
				return
			}
		}
	}
	go copyBytes(target, c)
	copyBytes(c, target)
}

func (r *relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for _, p := range r.packets {
		_ = p.Close()
	}
	for c := range r.conns {
		_ = c.Close()
	}
}
