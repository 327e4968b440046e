// Package logqueue writes log lines without ever blocking the caller: lines wait
// in a bounded queue, and are dropped and counted when it is full.
package logqueue

import (
	"io"
	"sync"
	"sync/atomic"
)

// DefaultLines is the usual bound of the queue; at 500 bytes a line it takes
// 2 MB at most.
const DefaultLines = 4096

// Queue is an io.Writer that takes one line for each call.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	mu      sync.RWMutex
	closed  bool
}

// New returns a queue of at most limit lines that are written to w.
func New(w io.Writer, limit int) *Queue {
	q := &Queue{lines: make(chan []byte, limit), done: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		// A failing output loses its lines; there is nowhere to report it.
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

// Dropped returns the number of lines that were not written.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close takes no more lines. Done is closed once the queued ones are written.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
}

// Done is closed after Close when all lines are written, which a blocked output
// can delay without bound.
func (q *Queue) Done() <-chan struct{} { return q.done }
