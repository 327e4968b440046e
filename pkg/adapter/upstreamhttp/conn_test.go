package upstreamhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// startRawServer starts a server that sends, as its response to each request, the
// bytes that answer returns for the request's body. It signals each connection on
// accepted.
func startRawServer(t *testing.T, answer func(body string) string) (address string, accepted chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted = make(chan struct{}, 100)
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(string(body)))
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go serve(c)
		}
	}()
	return l.Addr().String(), accepted
}

// okBody returns the body of a successful answer to newCall(address, n).
func okBody(n byte) string {
	return `{"attempt":"` + model.AttemptID{n}.String() + `","snapshot":"v1","shard":"s1","state":"ok","ran":"ran","result":1}`
}

// withContentLength appends a Content-Length header and the body to head.
func withContentLength(head, body string) string {
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// TestHTTPResponseForms guards against misreading a form of response that HTTP/1.1
// allows, and against reusing a connection after a response that forbids it or
// whose stated length is wrong.
func TestHTTPResponseForms(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	body := okBody(1)
	chunked := strconv.FormatInt(int64(len(body)-9), 16) + "\r\n" + body[:len(body)-9] + "\r\n9\r\n" + body[len(body)-9:] + "\r\n0\r\n\r\n"
	tests := []struct {
		name, response string
		code           result.Code
		broken         bool
		reused         bool
	}{
		{"length", withContentLength(head, body), result.OK, false, true},
		{"lower case header", withContentLength(head+"x-a: b\r\n", body), result.OK, false, true},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n" + chunked, result.OK, false, true},
		{"informational", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + withContentLength(head, body), result.OK, false, true},
		{"close", withContentLength(head+"Connection: close\r\n", body), result.OK, false, false},
		{"old version", withContentLength("HTTP/1.0 200 OK\r\n", body), result.OK, false, false},
		{"more than one response", withContentLength(head, body) + withContentLength(head, body), result.OK, false, false},
		{"refusal", withContentLength("HTTP/1.1 503 Service Unavailable\r\n", strings.ReplaceAll(strings.Replace(body, `"ok"`, `"shed"`, 1), `"ran":"ran"`, `"ran":"not_run"`)), result.UpstreamShed, false, true},
		{"no body", head + "Content-Length: 0\r\n\r\n", result.UpstreamFailed, false, true},
		{"not HTTP", "hello\r\n\r\n", result.UpstreamLost, true, false},
		{"switch of protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", result.UpstreamLost, true, false},
		{"endless informational", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20), result.UpstreamLost, true, false},
		{"status 000", withContentLength("HTTP/1.1 000 Odd\r\n", body), result.UpstreamLost, true, false},
		{"status 000 without length", "HTTP/1.1 000 Odd\r\n\r\n", result.UpstreamLost, true, false},
		{"status 099", withContentLength("HTTP/1.1 099 Odd\r\n", body), result.UpstreamLost, true, false},
		{"status 600", withContentLength("HTTP/1.1 600 Odd\r\n", body), result.UpstreamLost, true, false},
		{"status 999", withContentLength("HTTP/1.1 999 Odd\r\n", body), result.UpstreamLost, true, false},
		{"informational with length", withContentLength("HTTP/1.1 102 Odd\r\n", body), result.UpstreamLost, true, false},
		{"informational with empty body", withContentLength("HTTP/1.1 102 Odd\r\n", ""), result.UpstreamLost, true, false},
		{"informational in chunks", "HTTP/1.1 102 Odd\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked, result.UpstreamLost, true, false},
		{"informational and close", "HTTP/1.1 102 Odd\r\nConnection: close\r\n\r\n", result.UpstreamLost, true, false},
		{"negative length", head + "Content-Length: -1\r\n\r\n" + body, result.UpstreamLost, true, false},
		{"two lengths", head + "Content-Length: 1\r\n" + withContentLength("", body), result.UpstreamLost, true, false},
		{"large header", withContentLength(head+"X: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n", body), result.UpstreamFailed, false, false},
		{"large body", head + "Content-Length: " + strconv.Itoa(MaxAnswerBytes+1) + "\r\n\r\n", result.UpstreamFailed, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, accepted := startRawServer(t, func(string) string { return test.response })
			c := newClient(t)
			reply := c.Execute(t.Context(), newCall(address, 1))
			must.Eq(t, test.code, reply.Code)
			must.Eq(t, test.broken, reply.ConnectionBroken)
			<-accepted
			if test.reused {
				must.Eq(t, 1, c.OpenConnections(address))
				must.Eq(t, test.code, c.Execute(t.Context(), newCall(address, 1)).Code)
				must.Eq(t, 0, len(accepted))
				return
			}
			// The second attempt must use a new connection, so that it does not read
			// what is left of the response to the first.
			c.resizedPool(address, 3).dials.Wait()
			_ = c.Execute(t.Context(), newCall(address, 2))
			<-accepted
		})
	}
}
