package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ErrAnswerTooLarge means that an answer exceeded its size limit, or the memory that is
// left for answers.
var ErrAnswerTooLarge = errors.New("answer exceeds the size limit")

// ErrInvalidStatus means that an upstream sent a response whose status is not a final
// status of HTTP (200 to 599). Such a response says nothing about the request, and where it
// ends is unknown, so its connection is closed.
var ErrInvalidStatus = errors.New("upstream sent a response with an invalid status")

var (
	errStaleConnection  = errors.New("upstream closed the idle connection or sent data on it")
	errProtocolSwitch   = fmt.Errorf("%w: it switched the protocol or sent too many informational responses", ErrInvalidStatus)
	errMismatchedAnswer = errors.New("upstream answered another request")
)

const (
	// readBufferBytes is enough for a usual answer with its header.
	readBufferBytes = 4 << 10
	// maxInformationalResponses limits the number of 1xx responses before a final
	// response.
	maxInformationalResponses = 5
	// maxStatus is the highest status that HTTP defines.
	maxStatus = 599
	// maxMismatchedAnswers limits how many answers to other requests are dropped while
	// waiting for the answer to a request.
	maxMismatchedAnswers = 3
	// closeNoticeTime is the time allowed for the upstream to notice that a
	// connection was closed.
	closeNoticeTime = 2 * time.Millisecond
)

// conn is one connection to an upstream. At most one goroutine uses it at a time, so
// that the end of a request shows whether any byte of it was written.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	limited limitedReader
	// keepAliveTimeout is how long the upstream keeps the connection open without a
	// request, as its last answer stated; zero if that answer stated no time.
	keepAliveTimeout time.Duration
	memory           *answerMemory
	onClose          func()
	closeOnce        sync.Once
}

func newConn(raw net.Conn, memory *answerMemory, onClose func()) *conn {
	c := &conn{Conn: raw, memory: memory, onClose: onClose}
	c.limited.reader = raw
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c
}

// limitedReader fails with ErrAnswerTooLarge after the remaining number of bytes.
type limitedReader struct {
	reader    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrAnswerTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.reader.Read(p)
	l.remaining -= int64(n)
	return n, err
}

// message is an encoded HTTP request with the rules for reading its answer.
type message struct {
	text []byte
	// body is sent after text.
	body []byte
	// method is the HTTP method of the request. The reader of the answer needs it
	// because an answer to HEAD has no body. Empty means any other method.
	method string
	// maxBodyBytes is the size limit of the answer's body.
	maxBodyBytes int64
	// matchesRequest reports whether a response answers this request; nil accepts
	// all. An upstream may send a second answer to an earlier request.
	matchesRequest func(http.Header) bool
	// maySend reports whether the request may still be sent; nil means true.
	maySend func() bool
	// finalHeader is a header that upstreams put into final responses only; empty if
	// there is none.
	finalHeader string
}

// roundTrip sends a request and reads its answer. The result says whether any byte
// of the request may have left this process, and whether the connection can be
// used again. The deadline or the end of ctx interrupts the round trip.
func (c *conn) roundTrip(ctx context.Context, deadline time.Time, m message) (a answer) {
	if err := c.SetDeadline(deadline); err != nil {
		return answer{err: err}
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	n, err := c.send(m.text, m.body)
	a.sent = n > 0
	if err != nil {
		stop()
		a.err = err
		return a
	}
	c.receive(m, &a)
	// If ctx has ended, interrupt may still be running and set the deadline later, so
	// the connection is not used again.
	a.reusable = stop() && a.reusable
	return a
}

// answer is the outcome of a round trip.
type answer struct {
	status int
	header http.Header
	body   []byte
	// memory is reserved for the body until release is called; nil without a body.
	memory   *reservation
	sent     bool
	reusable bool
	// mismatched is the number of dropped answers, which belonged to other requests.
	mismatched int
	err        error
}

// release releases the memory of the body.
func (a *answer) release() {
	if a.memory != nil {
		a.memory.release()
	}
}

// pastDeadline is a deadline that makes reads and writes return at once.
var pastDeadline = time.Unix(1, 0)

func (c *conn) interrupt() { _ = c.SetDeadline(pastDeadline) }

// send writes a request. If the upstream has closed the connection while it was
// idle, or has sent data on it, send fails without writing any byte, so that the
// request certainly did not run.
func (c *conn) send(request, body []byte) (int64, error) {
	if c.reader.Buffered() > 0 || peekReceiveBuffer(c.Conn) != receiveEmpty {
		return 0, errStaleConnection
	}
	if len(body) > 0 {
		buffers := net.Buffers{request, body}
		return buffers.WriteTo(c.Conn)
	}
	n, err := c.Write(request)
	return int64(n), err
}

// receive reads the response to m into a and sets a.reusable if the connection can
// be used again. It drops responses to other requests.
func (c *conn) receive(m message, a *answer) {
	request := &http.Request{Method: m.method}
	for range maxMismatchedAnswers + 1 {
		resp, err := c.readHeader(request, m.finalHeader)
		if err != nil {
			a.err = err
			return
		}
		// The factor of 2 leaves room for the chunk headers of a body that is sent in
		// small chunks.
		c.limited.remaining = 2*m.maxBodyBytes + maxHeaderBytes
		body, memory, err := c.readBody(resp, m.maxBodyBytes)
		if m.matchesRequest != nil && !m.matchesRequest(resp.Header) {
			memory.release()
			a.mismatched++
			if err != nil || resp.Close {
				a.err = errMismatchedAnswer
				return
			}
			continue
		}
		c.keepAliveTimeout = parseKeepAliveTimeout(resp.Header)
		a.status, a.header, a.body, a.memory, a.err = resp.StatusCode, resp.Header, body, memory, err
		// If the upstream answered before it read the whole request, or sent more
		// bytes after the answer, the state of the connection is unknown.
		a.reusable = err == nil && !resp.Close && c.reader.Buffered() == 0
		return
	}
	a.err = errMismatchedAnswer
}

// readHeader reads the header of the next final response and skips informational
// ones (1xx). It fails with ErrInvalidStatus at a response that is neither, because the
// bytes after it may be its body or nothing: waiting for another response would last until
// the deadline.
func (c *conn) readHeader(request *http.Request, finalHeader string) (*http.Response, error) {
	for range maxInformationalResponses + 1 {
		c.limited.remaining = maxHeaderBytes
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errProtocolSwitch
		case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || isFinalInformational(resp, finalHeader):
			return nil, fmt.Errorf("%w: %q", ErrInvalidStatus, resp.Status)
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, errProtocolSwitch
}

// isFinalInformational reports whether the header of an informational response (1xx) shows
// that no other response will follow: it has or announces a body, ends the connection, or
// has a header of final responses. HTTP forbids the first two.
func isFinalInformational(resp *http.Response, finalHeader string) bool {
	if resp.StatusCode >= http.StatusOK {
		return false
	}
	return resp.Close || len(resp.TransferEncoding) > 0 || resp.Header.Get("Content-Length") != "" ||
		finalHeader != "" && resp.Header.Get(finalHeader) != ""
}

// parseKeepAliveTimeout returns the timeout in the Keep-Alive header, or zero if
// there is none.
func parseKeepAliveTimeout(h http.Header) time.Duration {
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

// readBody returns the body of a response and the memory that is reserved for it, which
// the caller must release. It fails with ErrAnswerTooLarge if the body is longer than the
// limit, or too long for the memory that is left for answers.
func (c *conn) readBody(resp *http.Response, limit int64) ([]byte, *reservation, error) {
	r := &reservation{memory: c.memory}
	body, err := r.read(resp, limit)
	if err != nil {
		r.release()
	}
	return body, r, err
}

func (r *reservation) read(resp *http.Response, limit int64) ([]byte, error) {
	n := resp.ContentLength
	if n < 0 {
		return r.readAll(resp.Body, limit)
	}
	if n > limit || !r.grow(n) {
		return nil, ErrAnswerTooLarge
	}
	body := make([]byte, n)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// Close closes the connection and calls onClose, which lets the pool open another
// one. Unless the upstream closed the connection first, onClose is called after
// closeNoticeTime, because the upstream counts the connection towards its limit
// until it notices the close.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		closedByUpstream := peekReceiveBuffer(c.Conn) == receiveClosed
		err = c.Conn.Close()
		if closedByUpstream {
			c.onClose()
			return
		}
		time.AfterFunc(closeNoticeTime, c.onClose)
	})
	return err
}

// receiveState is the state of a connection's receive buffer.
type receiveState int

const (
	// receiveEmpty means that the connection is open and has no unread data.
	receiveEmpty receiveState = iota
	// receiveHasData means that there is unread data.
	receiveHasData
	// receiveClosed means that the upstream closed the connection or that it is
	// broken.
	receiveClosed
)

// peekReceiveBuffer returns the state of the receive buffer without consuming data.
func peekReceiveBuffer(c net.Conn) receiveState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return receiveEmpty
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return receiveClosed
	}
	state := receiveClosed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = receiveHasData
		case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
			state = receiveEmpty
		}
	})
	if err != nil {
		return receiveClosed
	}
	return state
}
