package upstreamhttp

import (
	"bytes"
	"encoding/json"
)

// decodeAnswer decodes an answer's body. The usual form is read without
// encoding/json, which took a tenth of the processor time of a call; everything
// else is left to it. Strings that equal one of the expected ones are not
// copied, and the result refers to body.
func decodeAnswer(body []byte, expected ...string) (executeAnswer, error) {
	d := answerDecoder{rest: body, expected: expected}
	if d.object() {
		return d.answer, nil
	}
	var a executeAnswer
	err := json.Unmarshal(body, &a)
	return a, err
}

// answerDecoder reads an object whose members are those of executeAnswer, each
// at most once, with strings of plain ASCII. Its methods return false for
// anything else.
type answerDecoder struct {
	rest     []byte
	expected []string
	answer   executeAnswer
	seen     uint
}

func (d *answerDecoder) object() bool {
	if !d.skip('{') {
		return false
	}
	for {
		name, ok := d.plainString()
		if !ok || !d.skip(':') || !d.member(string(name)) {
			return false
		}
		if d.skip('}') {
			d.space()
			return len(d.rest) == 0
		}
		if !d.skip(',') {
			return false
		}
	}
}

// Members in the order of their bits in seen.
const (
	memberAttempt = iota
	memberSnapshot
	memberShard
	memberState
	memberRan
	memberResult
	memberDraining
)

func (d *answerDecoder) member(name string) bool {
	switch name {
	case "attempt":
		return d.once(memberAttempt) && d.text(&d.answer.Attempt)
	case "snapshot":
		return d.once(memberSnapshot) && d.text((*string)(&d.answer.Snapshot))
	case "shard":
		return d.once(memberShard) && d.text((*string)(&d.answer.Shard))
	case "state":
		return d.once(memberState) && d.text(&d.answer.State)
	case "ran":
		return d.once(memberRan) && d.text(&d.answer.Ran)
	case "result":
		return d.once(memberResult) && d.value(&d.answer.Result)
	case "draining":
		return d.once(memberDraining) && d.boolean(&d.answer.Draining)
	default:
		return false
	}
}

// once reports whether the member is the first of its name.
func (d *answerDecoder) once(member uint) bool {
	first := d.seen&(1<<member) == 0
	d.seen |= 1 << member
	return first
}

func (d *answerDecoder) space() {
	for len(d.rest) > 0 {
		switch d.rest[0] {
		case ' ', '\t', '\r', '\n':
			d.rest = d.rest[1:]
		default:
			return
		}
	}
}

// skip consumes the character if it is next.
func (d *answerDecoder) skip(c byte) bool {
	d.space()
	if len(d.rest) == 0 || d.rest[0] != c {
		return false
	}
	d.rest = d.rest[1:]
	return true
}

// plainString reads a string that is its own JSON form.
func (d *answerDecoder) plainString() ([]byte, bool) {
	if !d.skip('"') {
		return nil, false
	}
	end := bytes.IndexByte(d.rest, '"')
	if end < 0 {
		return nil, false
	}
	s := d.rest[:end]
	for _, c := range s {
		if !plainByte(c) {
			return nil, false
		}
	}
	d.rest = d.rest[end+1:]
	return s, true
}

func (d *answerDecoder) text(out *string) bool {
	s, ok := d.plainString()
	if !ok {
		return false
	}
	for _, e := range d.expected {
		if string(s) == e {
			*out = e
			return true
		}
	}
	*out = string(s)
	return true
}

func (d *answerDecoder) boolean(out *bool) bool {
	d.space()
	if rest, ok := bytes.CutPrefix(d.rest, []byte("true")); ok {
		*out, d.rest = true, rest
		return true
	}
	rest, ok := bytes.CutPrefix(d.rest, []byte("false"))
	if ok {
		*out, d.rest = false, rest
	}
	return ok
}

// value reads an object, an array or a string of any form.
func (d *answerDecoder) value(out *json.RawMessage) bool {
	d.space()
	n := valueLength(d.rest)
	if n == 0 || !json.Valid(d.rest[:n]) {
		return false
	}
	*out, d.rest = d.rest[:n:n], d.rest[n:]
	return true
}

// valueLength returns the length of the object, array or string at the start of
// b if b is valid JSON, and 0 for other values.
func valueLength(b []byte) int {
	depth := 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			i += stringEnd(b[i+1:]) + 1
		case '{', '[':
			depth++
			continue
		case '}', ']':
			depth--
		default:
			if depth > 0 {
				continue
			}
			return 0
		}
		if depth <= 0 {
			return min(i+1, len(b))
		}
	}
	return 0
}

// stringEnd returns the index of the quote that ends the string whose content b
// starts with, or the length of b.
func stringEnd(b []byte) int {
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(b)
}
