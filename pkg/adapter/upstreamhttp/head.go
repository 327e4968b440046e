package upstreamhttp

import (
	"bytes"
	"net/http"
)

// head is what the client needs of a response's head.
type head struct {
	status int
	length int64
}

var (
	headEnd       = []byte("\r\n\r\n")
	lineEnd       = []byte("\r\n")
	versionPrefix = []byte("HTTP/1.1 ")
	contentLength = []byte("Content-Length")
	// otherFraming are the header fields that change where a response ends or
	// whether the connection can be kept.
	otherFraming = [][]byte{[]byte("Transfer-Encoding"), []byte("Connection"), []byte("Trailer"), []byte("Upgrade")}
)

const (
	statusDigits = 3
	// maxLengthDigits keeps the length far from an overflow.
	maxLengthDigits = 10
)

// parseHead reads the head at the start of b and returns its size. It reads the
// usual form only: HTTP/1.1 with one Content-Length and nothing else that says
// where the response ends. It returns false for every other head, which is then
// left to http.ReadResponse. That function builds a map of all fields, which
// took a tenth of the processor time of a call.
func parseHead(b []byte) (head, int, bool) {
	end := bytes.Index(b, headEnd)
	if end < 0 {
		return head{}, 0, false
	}
	line, rest := nextLine(b[:end+len(lineEnd)])
	h := head{length: -1}
	var ok bool
	if h.status, ok = parseStatusLine(line); !ok {
		return head{}, 0, false
	}
	for len(rest) > 0 {
		line, rest = nextLine(rest)
		if !h.field(line) {
			return head{}, 0, false
		}
	}
	return h, end + len(headEnd), h.length >= 0
}

func nextLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, lineEnd)
	return line, rest
}

// parseStatusLine returns the status if responses with it have a body.
func parseStatusLine(line []byte) (int, bool) {
	digits, ok := bytes.CutPrefix(line, versionPrefix)
	if !ok || len(digits) <= statusDigits || digits[statusDigits] != ' ' || !printable(digits) {
		return 0, false
	}
	status, ok := parseDigits(digits[:statusDigits])
	bodyless := status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
	return int(status), ok && !bodyless
}

// field reads one header field.
func (h *head) field(line []byte) bool {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !token(name) || !printable(value) {
		return false
	}
	for _, f := range otherFraming {
		if bytes.EqualFold(name, f) {
			return false
		}
	}
	if !bytes.EqualFold(name, contentLength) {
		return true
	}
	if h.length >= 0 {
		return false
	}
	h.length, ok = parseDigits(bytes.Trim(value, " "))
	return ok
}

func parseDigits(b []byte) (int64, bool) {
	if len(b) == 0 || len(b) > maxLengthDigits {
		return 0, false
	}
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = 10*n + int64(c-'0')
	}
	return n, true
}

// token reports whether the name consists of letters, digits and hyphens.
func token(name []byte) bool {
	for _, c := range name {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !letter && c != '-' && (c < '0' || c > '9') {
			return false
		}
	}
	return len(name) > 0
}

func printable(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}
