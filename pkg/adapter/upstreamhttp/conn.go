package upstreamhttp

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

var (
	errSealed     = errors.New("upstream connection is no longer usable")
	errClosedIdle = errors.New("upstream closed the idle connection")
)

// conn counts what is written, so that a failed attempt can prove that none
// of its bytes left.
type conn struct {
	net.Conn
	onClose func()
	closed  sync.Once
	// spare is true for a connection that was opened ahead of need.
	spare bool

	mu      sync.Mutex
	sealed  bool
	written int64
	pending bool
}

// Write refuses to write when the upstream has closed the connection, which
// keeps "not run" provable on a connection that went stale while idle.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.pending = true
	c.mu.Unlock()

	n, err := c.checkedWrite(p)

	c.mu.Lock()
	c.pending = false
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

func (c *conn) checkedWrite(p []byte) (int, error) {
	if !alive(c.Conn) {
		return 0, errClosedIdle
	}
	return c.Conn.Write(p)
}

// mark returns the number of bytes written so far.
func (c *conn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all further writes and reports whether any byte may have left
// since mark.
func (c *conn) seal(mark int64) bool {
	c.mu.Lock()
	c.sealed = true
	wrote := c.pending || c.written > mark
	c.mu.Unlock()
	_ = c.Close()
	return wrote
}

// Close closes the connection and frees its place in the pool. Unless the
// upstream closed it first, the place stays taken for a moment, because the
// upstream counts the connection until it notices.
func (c *conn) Close() error {
	var err error
	c.closed.Do(func() {
		noticed := !alive(c.Conn)
		err = c.Conn.Close()
		if noticed {
			c.onClose()
			return
		}
		time.AfterFunc(closeLinger, c.onClose)
	})
	return err
}

// closeLinger covers the time until the upstream notices a closed connection.
const closeLinger = 2 * time.Millisecond

// alive reports whether the peer has kept the connection open, without
// consuming data. It uses Control rather than Read because the transport's
// read loop holds the read lock of the descriptor.
func alive(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ok = true
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = n > 0 || errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && ok
}
