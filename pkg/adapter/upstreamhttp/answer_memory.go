package upstreamhttp

import (
	"io"
	"sync/atomic"
)

// answerMemory limits the memory of the answers that are being read, or that were read and
// are not delivered yet. An upstream in trouble may send bytes without end, or long answers
// to many callers. The size limit of one answer does not suffice: a query over many shards
// reads from as many upstreams at once, and slow callers take their answers late.
type answerMemory struct {
	// limit bounds each of the two sums.
	limit atomic.Int64
	// usual is the memory of the first usualAnswerBytes of each answer, and long the rest.
	// They are limited apart, so that long answers leave room for usual ones.
	usual, long atomic.Int64
}

const (
	// usualAnswerBytes is the size that usual answers do not exceed.
	usualAnswerBytes = 64 << 10
	// firstBufferBytes is the size of the first buffer for an answer of unknown length.
	firstBufferBytes = 2 << 10
	// DefaultAnswerMemory is the limit of a client whose owner sets none.
	DefaultAnswerMemory = 64 << 20
)

// reserve adds n bytes to the sum and reports whether the limit allows that.
func (m *answerMemory) reserve(sum *atomic.Int64, n int64) bool {
	if sum.Add(n) > m.limit.Load() {
		sum.Add(-n)
		return false
	}
	return true
}

// reservation is the memory that is reserved for one answer.
type reservation struct {
	memory *answerMemory
	bytes  int64
}

// grow reserves memory for n bytes in all, and reports whether the limits allow that.
func (r *reservation) grow(n int64) bool {
	usual := min(n, usualAnswerBytes) - min(r.bytes, usualAnswerBytes)
	long := max(n-usualAnswerBytes, 0) - max(r.bytes-usualAnswerBytes, 0)
	if !r.memory.reserve(&r.memory.usual, usual) {
		return false
	}
	if !r.memory.reserve(&r.memory.long, long) {
		r.memory.usual.Add(-usual)
		return false
	}
	r.bytes = n
	return true
}

// release releases the memory.
func (r *reservation) release() {
	r.memory.usual.Add(-min(r.bytes, usualAnswerBytes))
	r.memory.long.Add(-max(r.bytes-usualAnswerBytes, 0))
	r.bytes = 0
}

// readAll reads a body of unknown length. It fails with ErrAnswerTooLarge if the body is
// longer than the limit, or if there is no memory for it.
func (r *reservation) readAll(body io.Reader, limit int64) ([]byte, error) {
	buffer := []byte{}
	for {
		if len(buffer) == cap(buffer) {
			// The old buffer is in use until it has been copied.
			size := int64(max(firstBufferBytes, 2*cap(buffer)))
			if int64(len(buffer)) > limit || !r.grow(int64(cap(buffer))+size) {
				return nil, ErrAnswerTooLarge
			}
			larger := make([]byte, len(buffer), size)
			copy(larger, buffer)
			buffer = larger
			r.grow(size)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err != nil && int64(len(buffer)) > limit {
			return nil, ErrAnswerTooLarge
		}
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
