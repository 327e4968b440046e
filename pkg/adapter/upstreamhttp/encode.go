package upstreamhttp

import (
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/sardineturn/sardineturn/pkg/port"
)

// Sizes of an execute request's parts: room for the head without the host, and
// about the size of the fields without the payload.
const (
	headBytes  = 128
	fieldBytes = 384
)

// encodeExecute returns the HTTP request of a call with the time that is left
// for the upstream. The head is written last, in front of the body, because it
// holds the body's length.
func encodeExecute(host string, call *port.UpstreamCall, left time.Duration) []byte {
	start := headBytes + len(host)
	b := make([]byte, start, start+fieldBytes+len(call.Payload))
	b = appendExecute(b, call, left)
	head := make([]byte, 0, headBytes+maxHostBytes)
	head = appendHead(head, "POST ", host, executePath)
	head = append(head, "Content-Type: application/json\r\nContent-Length: "...)
	head = strconv.AppendInt(head, int64(len(b)-start), 10)
	head = append(head, "\r\n\r\n"...)
	b = b[start-len(head):]
	copy(b, head)
	return b
}

// maxHostBytes is the usual longest "ip:port".
const maxHostBytes = 64

// appendExecute appends the JSON body of a call. It does not use encoding/json,
// which would check and compact the payload again for every shard of a query:
// the payload was checked when the caller's request was decoded.
func appendExecute(b []byte, call *port.UpstreamCall, left time.Duration) []byte {
	b = append(b, `{"attempt":"`...)
	b = hex.AppendEncode(b, call.Attempt[:])
	b = appendField(b, `","service":`, call.Service)
	b = appendField(b, `,"operation":`, call.Operation)
	b = appendField(b, `,"snapshot":`, string(call.Snapshot))
	b = appendField(b, `,"shard":`, string(call.Shard))
	if len(call.Payload) > 0 {
		b = append(b, `,"payload":`...)
		b = append(b, call.Payload...)
	}
	if call.OrderKey != "" {
		b = appendField(b, `,"order_key":`, call.OrderKey)
	}
	b = append(b, `,"deadline_ms":`...)
	b = strconv.AppendInt(b, left.Milliseconds(), 10)
	b = append(b, `,"deadline_unix_ms":`...)
	b = strconv.AppendInt(b, call.Deadline.Add(-hopAllowance).UnixMilli(), 10)
	return append(b, '}')
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	if plain(value) {
		b = append(b, '"')
		b = append(b, value...)
		return append(b, '"')
	}
	// A string can always be encoded.
	quoted, _ := json.Marshal(value)
	return append(b, quoted...)
}

// plain reports whether the string is its own JSON form.
func plain(s string) bool {
	for i := range len(s) {
		if !plainByte(s[i]) {
			return false
		}
	}
	return true
}

func plainByte(c byte) bool {
	return c >= ' ' && c != '"' && c != '\\' && c < utf8.RuneSelf
}
