package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	errClosedIdle     = errors.New("upstream closed the idle connection or sent data on it")
	errAnswerTooLarge = errors.New("answer exceeds the size limit")
	errProtocolSwitch = errors.New("upstream switched the protocol")
	errForeignAnswer  = errors.New("upstream answered another request")
)

const (
	// readBufferBytes holds the usual answer with its header.
	readBufferBytes = 4 << 10
	// maxInformational bounds the 1xx responses before a response.
	maxInformational = 5
	// maxForeign bounds the answers to other requests before the own one.
	maxForeign = 3
	// closeLinger covers the time until the upstream notices a closed connection.
	closeLinger = 2 * time.Millisecond
)

// conn is one connection to an upstream. At most one goroutine uses it at a
// time, so that what was written is known when a request ends.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	limited limitedReader
	// idleFor is how long the upstream keeps the connection open without a
	// request; zero if it did not say.
	idleFor time.Duration
	onClose func()
	closed  sync.Once
}

func newConn(raw net.Conn, onClose func()) *conn {
	c := &conn{Conn: raw, onClose: onClose}
	c.limited.reader = raw
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c
}

// limitedReader fails when more than left bytes are read.
type limitedReader struct {
	reader io.Reader
	left   int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errAnswerTooLarge
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.reader.Read(p)
	l.left -= int64(n)
	return n, err
}

// message is an encoded HTTP request with what is needed to read its answer.
type message struct {
	text []byte
	// method tells whether the answer has a body; empty means any but HEAD.
	method string
	// limit bounds the body of the answer in bytes.
	limit int64
	// mine reports whether a response belongs to the request; nil accepts all.
	// An upstream may send a second answer to an earlier request.
	mine func(http.Header) bool
}

// roundTrip sends a request and reads its answer. It reports whether any byte of
// the request may have left, and whether the connection can be used again. The
// deadline or an end of ctx interrupts it.
func (c *conn) roundTrip(ctx context.Context, deadline time.Time, m message) (a answer) {
	if err := c.SetDeadline(deadline); err != nil {
		return answer{err: err}
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	n, err := c.send(m.text)
	a.sent = n > 0
	if err != nil {
		stop()
		a.err = err
		return a
	}
	c.receive(m, &a)
	// An interrupt that has begun may change the deadline later.
	a.reusable = stop() && a.reusable
	return a
}

// answer is the outcome of a round trip.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	sent     bool
	reusable bool
	// foreign counts the dropped answers to other requests.
	foreign int
	err     error
}

// past is a deadline that makes reads and writes return at once.
var past = time.Unix(1, 0)

func (c *conn) interrupt() { _ = c.SetDeadline(past) }

// send writes a request. It refuses to write when the upstream has closed the
// connection, which keeps "not run" provable on a connection that went stale
// while idle.
func (c *conn) send(request []byte) (int, error) {
	if c.reader.Buffered() > 0 || peek(c.Conn) != peerSilent {
		return 0, errClosedIdle
	}
	return c.Write(request)
}

// receive reads the response to m and reports whether the connection can be
// kept. Responses that belong to other requests are dropped.
func (c *conn) receive(m message, a *answer) {
	request := &http.Request{Method: m.method}
	for range maxForeign + 1 {
		resp, err := c.readHeader(request)
		if err != nil {
			a.err = err
			return
		}
		// The factor covers the lengths of small chunks.
		c.limited.left = 2*m.limit + maxHeaderBytes
		body, err := readAll(resp, m.limit)
		if m.mine != nil && !m.mine(resp.Header) {
			a.foreign++
			if err != nil || resp.Close {
				a.err = errForeignAnswer
				return
			}
			continue
		}
		c.idleFor = keepAlive(resp.Header)
		a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, body, err
		// An answer before the whole request was read, or one with bytes behind
		// it, leaves the connection in an unknown state.
		a.reusable = err == nil && !resp.Close && c.reader.Buffered() == 0
		return
	}
	a.err = errForeignAnswer
}

// readHeader reads the header of the next final response.
func (c *conn) readHeader(request *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		c.limited.left = maxHeaderBytes
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitch
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errProtocolSwitch
}

// keepAlive returns the timeout that the Keep-Alive header states, or zero.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.Trim(value, `"`)); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

func readAll(resp *http.Response, limit int64) ([]byte, error) {
	if n := resp.ContentLength; n > limit {
		return nil, errAnswerTooLarge
	} else if n >= 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errAnswerTooLarge
	}
	return body, err
}

// Close closes the connection and frees its place in the pool. Unless the
// upstream closed it first, the place stays taken for a moment, because the
// upstream counts the connection until it notices.
func (c *conn) Close() error {
	var err error
	c.closed.Do(func() {
		noticed := peek(c.Conn) == peerClosed
		err = c.Conn.Close()
		if noticed {
			c.onClose()
			return
		}
		time.AfterFunc(closeLinger, c.onClose)
	})
	return err
}

// peerState is what the receive buffer of a connection shows.
type peerState int

const (
	// peerSilent: the connection is open and no data waits.
	peerSilent peerState = iota
	// peerSent: data waits to be read.
	peerSent
	// peerClosed: the peer closed the connection, or it is broken.
	peerClosed
)

// peek looks at the receive buffer without consuming data.
func peek(c net.Conn) peerState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return peerSilent
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return peerClosed
	}
	state := peerClosed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = peerSent
		case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
			state = peerSilent
		}
	})
	if err != nil {
		return peerClosed
	}
	return state
}
