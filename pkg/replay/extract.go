package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// Selection selects lines of a trace, so that a kept trace is small and can still be
// replayed.
type Selection struct {
	// Components names the components to keep. Documents and facts are always
	// kept.
	Components []string
	// From drops queries that were opened before. Other objects are kept from
	// their start on, because their state depends on it.
	From time.Time
	// Until drops later lines, unless it is zero.
	Until time.Time
	// Queries bounds the number of kept queries.
	Queries int
	// FirstProcess drops the lines of restarted processes.
	FirstProcess bool
}

// Extractor writes the selected lines of several traces into one.
type Extractor struct {
	enc      *json.Encoder
	contents map[string]bool
}

// NewExtractor returns a Cutter that writes to w.
func NewExtractor(w io.Writer) *Extractor {
	return &Extractor{enc: json.NewEncoder(w), contents: make(map[string]bool)}
}

// Add writes the selected lines of a trace.
func (c *Extractor) Add(r io.Reader, cut Selection) error {
	s := selector{Selection: cut, cutter: c, queries: make(map[string]bool)}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var l line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if !s.selects(l) {
			continue
		}
		if err := c.enc.Encode(l); err != nil {
			return err
		}
	}
	return lines.Err()
}

// selector is the state of one cut.
type selector struct {
	Selection
	cutter  *Extractor
	queries map[string]bool
	process string
}

func (s *selector) selects(l line) bool {
	switch l.Component {
	case componentContent:
		known := s.cutter.contents[l.Key]
		s.cutter.contents[l.Key] = true
		return !known
	case componentFact:
		return true
	}
	if !slices.Contains(s.Components, l.Component) || !s.Until.IsZero() && l.Time.After(s.Until) {
		return false
	}
	if s.process == "" {
		s.process = l.Process
	}
	if s.FirstProcess && l.Process != s.process {
		return false
	}
	if l.Component != componentQuery {
		return true
	}
	if l.Call == "open" && !l.Time.Before(s.From) && len(s.queries) < s.Queries {
		s.queries[l.objectKey()] = true
	}
	return s.queries[l.objectKey()]
}
