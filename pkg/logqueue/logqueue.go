// Package logqueue writes log lines without ever blocking the caller: lines
// wait in a bounded queue, and are dropped and counted if it is full.
package logqueue

import (
	"io"
	"sync"
	"sync/atomic"
)

// DefaultLines is the usual limit of lines in the queue; at 500 bytes per line
// they take at most 2 MB.
const DefaultLines = 4096

// Queue is an io.Writer that expects one complete line per call.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	mu      sync.RWMutex
	closed  bool
}

// New returns a queue that holds at most limit lines, and starts a goroutine that
// writes them to w.
func New(w io.Writer, limit int) *Queue {
	q := &Queue{lines: make(chan []byte, limit), done: make(chan struct{})}
	go q.writeLines(w)
	return q
}

func (q *Queue) writeLines(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		// Errors are ignored: there is no other place to report a failed log
		// output.
		_, _ = w.Write(line)
	}
}

// Write queues a copy of the line, or drops it if the queue is full or closed.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was
// full or closed.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close stops accepting lines and does not wait for the queued ones; see Done.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
}

// Done returns a channel that is closed once all queued lines have been written
// after Close. A blocked output can delay this without limit.
func (q *Queue) Done() <-chan struct{} { return q.done }
