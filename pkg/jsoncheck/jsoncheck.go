// Package jsoncheck checks JSON text against a schema and reports every fault
// with its path. It also finds what a schema cannot express: duplicate keys,
// trailing data and numbers that are too large to compare cheaply.
package jsoncheck

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Code classifies a fault.
type Code string

// Fault codes.
const (
	BrokenJSON   Code = "broken_json"
	TrailingData Code = "trailing_data"
	DuplicateKey Code = "duplicate_key"
	UnknownField Code = "unknown_field"
	MissingField Code = "missing_field"
	WrongType    Code = "wrong_type"
	EmptyList    Code = "empty_list"
	EmptyText    Code = "empty_text"
	OutOfRange   Code = "out_of_range"
	BadFormat    Code = "bad_format"
	BadValue     Code = "bad_value"
)

// Fault is one fault of a JSON text.
type Fault struct {
	// Path locates the value, for example "$.priorities[0].name".
	Path   string
	Code   Code
	Reason string
}

// String returns path, code and reason on one line.
func (f Fault) String() string { return fmt.Sprintf("%s: %s: %s", f.Path, f.Code, f.Reason) }

// Schema is a compiled JSON schema.
type Schema struct {
	compiled *jsonschema.Schema
	// integers holds the names of the fields whose type is integer.
	integers map[string]bool
}

// MustCompile compiles an embedded schema and panics if it is not valid.
func MustCompile(name string, schema []byte) *Schema {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, value); err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	s := &Schema{compiled: compiler.MustCompile(name), integers: make(map[string]bool)}
	s.findIntegers(value)
	return s
}

func (s *Schema) findIntegers(value any) {
	switch v := value.(type) {
	case []any:
		for _, item := range v {
			s.findIntegers(item)
		}
	case map[string]any:
		for name, item := range v {
			if m, ok := item.(map[string]any); ok && m["type"] == "integer" {
				s.integers[name] = true
			}
			s.findIntegers(item)
		}
	}
}

// MaxFaults limits the faults that each kind of check reports, except that the
// schema check reports all unknown fields of an object. A generated text with a
// fault in every entry can have 100,000 faults of about 2 KB each.
const MaxFaults = 1000

// Check returns the faults of the content, ordered by path. For a text that is
// not JSON, it returns only the faults that prevent the text from being read. If
// a number is out of range, it does not apply the schema, and returns the faults
// found so far in the order of the text.
func Check(content []byte, schema *Schema) []Fault {
	if faults := checkSyntax(content); len(faults) > 0 {
		return faults
	}
	faults := checkTokens(content, schema.integers)
	if slices.ContainsFunc(faults, func(f Fault) bool { return f.Code == OutOfRange }) {
		return faults
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
	if err != nil {
		return append(faults, Fault{Path: "$", Code: BrokenJSON, Reason: err.Error()})
	}
	faults = append(faults, checkSchema(value, schema.compiled)...)
	slices.SortFunc(faults, Compare)
	return faults
}

// Compare orders faults by path, then by code and reason.
func Compare(a, b Fault) int {
	return cmp.Or(
		strings.Compare(a.Path, b.Path),
		cmp.Compare(a.Code, b.Code),
		strings.Compare(a.Reason, b.Reason),
	)
}

func checkSyntax(content []byte) []Fault {
	if !utf8.Valid(content) {
		return []Fault{{Path: "$", Code: BrokenJSON, Reason: "the text is not valid UTF-8"}}
	}
	dec := json.NewDecoder(bytes.NewReader(content))
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		return []Fault{{Path: "$", Code: BrokenJSON, Reason: syntaxReason(content, err)}}
	}
	end := dec.InputOffset()
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		reason := "there is more text after the JSON value, after " + position(content, end)
		return []Fault{{Path: "$", Code: TrailingData, Reason: reason}}
	}
	return nil
}

func syntaxReason(content []byte, err error) string {
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("%v at %s", err, position(content, syntax.Offset))
	case errors.Is(err, io.EOF):
		return "the text is empty"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the text ends inside a JSON value"
	default:
		return err.Error()
	}
}

func position(content []byte, offset int64) string {
	before := content[:min(int(offset), len(content))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - (bytes.LastIndexByte(before, '\n') + 1)
	return fmt.Sprintf("line %d, column %d", line, column)
}

// checkTokens reports duplicate keys and unsuitable numbers in syntactically
// valid JSON.
func checkTokens(content []byte, integers map[string]bool) []Fault {
	dec := json.NewDecoder(bytes.NewReader(content))
	dec.UseNumber()
	w := &tokenWalker{dec: dec, integers: integers}
	w.walkValue()
	return w.faults
}

type tokenWalker struct {
	dec      *json.Decoder
	integers map[string]bool
	// steps are the keys and indexes that lead to the current value. They are
	// formatted as a path only when there is a fault, because most values have
	// none.
	steps  []step
	faults []Fault
}

// step is a key of an object or, if the key is nil, an index of an array.
type step struct {
	key   *string
	index int
}

func (w *tokenWalker) path() string {
	path := "$"
	for _, s := range w.steps {
		if s.key != nil {
			path = joinPath(path, *s.key)
		} else {
			path = fmt.Sprintf("%s[%d]", path, s.index)
		}
	}
	return path
}

func (w *tokenWalker) addFault(code Code, reason string) {
	if len(w.faults) < MaxFaults {
		w.faults = append(w.faults, Fault{Path: w.path(), Code: code, Reason: reason})
	}
}

func (w *tokenWalker) walkValue() {
	token, err := w.dec.Token()
	if err != nil {
		return
	}
	switch t := token.(type) {
	case json.Number:
		w.checkNumber(t)
	case json.Delim:
		if t == '{' {
			w.walkObject()
		} else {
			w.walkArray()
		}
	}
}

func (w *tokenWalker) walkObject() {
	seen := make(map[string]bool)
	for w.dec.More() {
		token, err := w.dec.Token()
		if err != nil {
			return
		}
		key, _ := token.(string)
		w.steps = append(w.steps, step{key: &key})
		if seen[key] {
			w.addFault(DuplicateKey, "the key occurs more than once in the same object")
		}
		seen[key] = true
		w.walkValue()
		w.steps = w.steps[:len(w.steps)-1]
	}
	_, _ = w.dec.Token()
}

func (w *tokenWalker) walkArray() {
	for i := 0; w.dec.More(); i++ {
		w.steps = append(w.steps, step{index: i})
		w.walkValue()
		w.steps = w.steps[:len(w.steps)-1]
	}
	_, _ = w.dec.Token()
}

// Limits of number literals. The schema check compares numbers as exact
// fractions, for which a short literal such as 1e999999999 would need gigabytes
// of memory.
const (
	maxNumberLength = 40
	maxExponent     = 20
)

func (w *tokenWalker) checkNumber(n json.Number) {
	text := n.String()
	if len(text) > maxNumberLength || exponentOf(text) > maxExponent {
		w.addFault(OutOfRange, "the number has too many digits or too large an exponent")
		return
	}
	// The schema check accepts 1.0 and 1e2 as integers, but the decoder does
	// not.
	if !w.isIntegerField() || !strings.ContainsAny(text, ".eE") {
		return
	}
	if f, err := n.Float64(); err == nil && f == math.Trunc(f) {
		w.addFault(WrongType, "an integer is written without a fraction or an exponent")
	}
}

// isIntegerField reports whether the current value belongs to an integer field.
func (w *tokenWalker) isIntegerField() bool {
	if len(w.steps) == 0 {
		return false
	}
	key := w.steps[len(w.steps)-1].key
	return key != nil && w.integers[*key]
}

// exponentOf returns the absolute value of a number literal's exponent.
func exponentOf(text string) int {
	i := strings.IndexAny(text, "eE")
	if i < 0 {
		return 0
	}
	e, err := strconv.Atoi(text[i+1:])
	if err != nil {
		return math.MaxInt
	}
	return max(e, -e)
}

func joinPath(path, key string) string {
	plain := key != "" && strings.IndexFunc(key, func(r rune) bool {
		return r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	}) < 0
	if plain {
		return path + "." + key
	}
	return fmt.Sprintf("%s[%q]", path, key)
}

func checkSchema(value any, schema *jsonschema.Schema) []Fault {
	err := schema.Validate(value)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	var faults []Fault
	printer := message.NewPrinter(language.English)
	collectFaults(invalid, value, printer, &faults)
	return faults
}

// collectFaults appends a fault for each leaf of the error tree; inner nodes
// only group the leaves.
func collectFaults(e *jsonschema.ValidationError, root any, p *message.Printer, out *[]Fault) {
	if len(*out) >= MaxFaults {
		return
	}
	for _, cause := range e.Causes {
		collectFaults(cause, root, p, out)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := locationPath(root, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			*out = append(*out, Fault{Path: joinPath(path, name), Code: UnknownField, Reason: "no such field"})
		}
	case *kind.Required:
		for _, name := range k.Missing {
			*out = append(*out, Fault{Path: joinPath(path, name), Code: MissingField, Reason: "the field is required"})
		}
	default:
		*out = append(*out, Fault{Path: path, Code: codeOf(k), Reason: k.LocalizedString(p)})
	}
}

// locationPath formats a location as a path. It follows the location through
// the value, because the tokens alone do not distinguish an array index from an
// object key made of digits.
func locationPath(root any, location []string) string {
	path := "$"
	for _, token := range location {
		switch v := root.(type) {
		case []any:
			i, err := strconv.Atoi(token)
			if err != nil || i >= len(v) {
				return path
			}
			path = fmt.Sprintf("%s[%d]", path, i)
			root = v[i]
		case map[string]any:
			path = joinPath(path, token)
			root = v[token]
		}
	}
	return path
}

func codeOf(k jsonschema.ErrorKind) Code {
	switch k.(type) {
	case *kind.Type:
		return WrongType
	case *kind.MinItems:
		return EmptyList
	case *kind.MinLength:
		return EmptyText
	case *kind.Minimum, *kind.Maximum, *kind.ExclusiveMinimum, *kind.ExclusiveMaximum,
		*kind.MaxLength, *kind.MaxItems:
		return OutOfRange
	case *kind.Pattern, *kind.Format:
		return BadFormat
	default:
		return BadValue
	}
}
