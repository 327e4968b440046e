package upstreamhttp

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzParseHead guards against a head that is read differently from
// http.ReadResponse, after which the next answer on the connection would be
// taken from the wrong place.
func FuzzParseHead(f *testing.F) {
	for _, fields := range []string{
		"Content-Length: 5\r\n",
		"content-length:5\r\nX-A: b\r\n",
		"Content-Length: 5\r\nContent-Length: 6\r\n",
		"Content-Length: 5, 5\r\n",
		"Content-Length: +5\r\n",
		"Content-Length: 5\r\nConnection: close\r\n",
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: 5\r\n folded\r\n",
		"Content-Length : 5\r\n",
		"Content-Length: 99999999999999999999\r\n",
		"X: a\nContent-Length: 5\r\n",
		"",
	} {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + fields + "\r\n12345"))
	}
	f.Add([]byte("HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n12345"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n12345"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, size, ok := parseHead(b)
		if !ok {
			return
		}
		r := bytes.NewReader(b)
		// The smallest buffer keeps the reader from taking much of the body.
		buffered := bufio.NewReaderSize(r, 16)
		resp, err := http.ReadResponse(buffered, nil)
		must.NoError(t, err)
		must.Eq(t, resp.StatusCode, h.status)
		must.Eq(t, resp.ContentLength, h.length)
		must.False(t, resp.Close)
		must.Eq(t, len(b)-r.Len()-buffered.Buffered(), size)
	})
}
