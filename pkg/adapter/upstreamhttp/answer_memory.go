package upstreamhttp

import (
	"io"
	"sync/atomic"
)

// answerMemory limits the memory of the answers that are being read at the same time.
// An upstream in trouble may send bytes without end. The size limit of one answer does
// not suffice: a query over many shards reads from as many upstreams at once.
type answerMemory struct {
	limit int64
	used  atomic.Int64
}

const (
	// freeAnswerBytes is the size up to which an answer is not counted. Usual answers
	// are smaller.
	freeAnswerBytes = 64 << 10
	// reservedAnswerBytes is the step in which memory is reserved for an answer of
	// unknown length.
	reservedAnswerBytes = 64 << 10
	// defaultAnswerMemory is the limit of a client whose owner sets none.
	defaultAnswerMemory = 64 << 20
)

// reserve reserves n bytes and reports whether the limit allows that.
func (m *answerMemory) reserve(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *answerMemory) release(n int64) { m.used.Add(-n) }

// meteredReader reserves memory for what it reads beyond freeAnswerBytes. It fails with
// errAnswerTooLarge if there is none.
type meteredReader struct {
	reader io.Reader
	memory *answerMemory
	// covered is the number of bytes that may still be read before more memory must be
	// reserved, and reserved the number of reserved bytes.
	covered, reserved int64
}

func newMeteredReader(r io.Reader, m *answerMemory) *meteredReader {
	return &meteredReader{reader: r, memory: m, covered: freeAnswerBytes}
}

// Read implements io.Reader.
func (r *meteredReader) Read(p []byte) (int, error) {
	if r.covered == 0 && !r.cover(reservedAnswerBytes) {
		return 0, errAnswerTooLarge
	}
	if int64(len(p)) > r.covered {
		p = p[:r.covered]
	}
	n, err := r.reader.Read(p)
	r.covered -= int64(n)
	return n, err
}

// cover reserves memory for n more bytes.
func (r *meteredReader) cover(n int64) bool {
	if !r.memory.reserve(n) {
		return false
	}
	r.reserved += n
	r.covered += n
	return true
}

// release releases the reserved memory.
func (r *meteredReader) release() {
	r.memory.release(r.reserved)
	r.reserved = 0
}
