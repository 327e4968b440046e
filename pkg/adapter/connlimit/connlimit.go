// Package connlimit closes callers' connections that take too long to send a request
// header or stay idle too long. Its limits can change while the server runs; the
// limits of net/http are fixed when the server starts.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits holds the limits on the time that a caller's connection may spend in a
// phase. Zero means no limit.
type Limits struct {
	// Header is the maximum time from the first byte of a request to the end of its
	// header.
	Header time.Duration
	// Idle is the maximum time without a request: between two requests, and before
	// the first one.
	Idle time.Duration
}

// phase is what a connection is currently used for.
type phase int

const (
	phaseIdle phase = iota
	phaseReadingHeader
	phaseServing
)

// conn is a tracked connection. mu guards phase and phaseStart.
type conn struct {
	net.Conn
	tracker *Tracker

	mu         sync.Mutex
	phase      phase
	phaseStart time.Time
}

// Read implements net.Conn. The first bytes on an idle connection start the phase in
// which a header is read. The phase is set here because net/http reports a connection
// as active only after the header.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if c.phase == phaseIdle {
			c.phase, c.phaseStart = phaseReadingHeader, time.Now()
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

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart = p, time.Now()
}

// exceeds reports whether the connection has been in its phase for longer than the
// limit for that phase.
func (c *conn) exceeds(l Limits, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseIdle:
		return l.Idle > 0 && now.Sub(c.phaseStart) > l.Idle
	case phaseReadingHeader:
		return l.Header > 0 && now.Sub(c.phaseStart) > l.Header
	default:
		return false
	}
}

// Tracker records the connections of a server and what each is used for.
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
	c := &conn{Conn: raw, tracker: l.tracker, phaseStart: time.Now()}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.conns[c] = true
	return c, nil
}

// Listener returns a listener whose accepted connections are tracked.
func (t *Tracker) Listener(l net.Listener) net.Listener { return listener{l, t} }

func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// ConnState records whether a connection is active or idle. It must be set as the
// ConnState hook of the http.Server.
func (*Tracker) ConnState(c net.Conn, s http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		tracked.setPhase(phaseServing)
	case http.StateIdle:
		tracked.setPhase(phaseIdle)
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
