// Package connlimit closes callers' connections that take too long to send a
// header or stay idle, by limits that change while the server runs; those of
// net/http are fixed at its start.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound what a caller may take. Zero means no limit.
type Limits struct {
	// Header is the time from the first byte of a request to the end of its
	// header.
	Header time.Duration
	// Idle is the time between two requests, and before the first one.
	Idle time.Duration
}

type phase int

const (
	idle phase = iota
	readsHeader
	serves
)

// conn is one connection. Its lock guards the fields.
type conn struct {
	net.Conn
	tracker *Tracker

	mu    sync.Mutex
	phase phase
	since time.Time
}

// Read implements net.Conn. The first bytes after a request begin the header of
// the next one; net/http reports a connection as active only after the header.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if c.phase == idle {
			c.phase, c.since = readsHeader, time.Now()
		}
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

func (c *conn) set(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
}

// exceeds reports whether the connection has taken longer than a limit.
func (c *conn) exceeds(l Limits, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case idle:
		return l.Idle > 0 && now.Sub(c.since) > l.Idle
	case readsHeader:
		return l.Header > 0 && now.Sub(c.since) > l.Header
	default:
		return false
	}
}

// Tracker follows the connections of a server.
type Tracker struct {
	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a tracker without connections.
func New() *Tracker { return &Tracker{conns: make(map[*conn]bool)} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, tracker: l.tracker, since: time.Now()}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.conns[c] = true
	return c, nil
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(l net.Listener) net.Listener { return listener{l, t} }

func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// ConnState is the ConnState of the server.
func (*Tracker) ConnState(c net.Conn, s http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		tracked.set(serves)
	case http.StateIdle:
		tracked.set(idle)
	}
}

// CloseExceeding closes the connections that exceed a limit and returns their number.
func (t *Tracker) CloseExceeding(l Limits) int {
	now := time.Now()
	t.mu.Lock()
	var late []*conn
	for c := range t.conns {
		if c.exceeds(l, now) {
			late = append(late, c)
		}
	}
	t.mu.Unlock()
	for _, c := range late {
		_ = c.Close()
	}
	return len(late)
}
