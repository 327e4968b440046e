package logqueue

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestBlockedOutputDropsLines guards against log lines that block requests: if
// nobody reads the output, lines must be dropped and counted.
func TestBlockedOutputDropsLines(t *testing.T) {
	reader, writer := io.Pipe()
	q := New(writer, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			_, _ = q.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked")
	}
	must.GreaterEq(t, uint64(89), q.Dropped())
	must.NoError(t, reader.Close())
	q.Close()
	<-q.Done()
}

// TestLinesAreWrittenInOrder guards against lines that are lost or reordered
// although the output keeps up, and against a queue that uses the caller's
// buffer after Write has returned.
func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	q := New(&out, 1000)
	line := []byte("0\n")
	var want []byte
	for i := range 100 {
		line[0] = byte('a' + i%26)
		want = append(want, line...)
		_, _ = q.Write(line)
	}
	q.Close()
	<-q.Done()
	must.Eq(t, string(want), out.String())
	must.Eq(t, uint64(0), q.Dropped())
	_, _ = q.Write(line)
	must.Eq(t, uint64(1), q.Dropped())
}
