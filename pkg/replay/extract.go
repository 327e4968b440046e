package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// Selection describes which lines of a trace to keep, so that the kept trace is
// small and can still be replayed.
type Selection struct {
	// Components names the components whose lines are kept. The lines of document
	// contents and facts are always kept.
	Components []string
	// From is the time before which opened queries are left out. The lines of
	// other objects are kept from the start of the trace, because the objects'
	// state depends on them.
	From time.Time
	// Until is the time after which lines are left out. Zero means no limit.
	Until time.Time
	// Queries is the largest number of queries to keep.
	Queries int
	// FirstProcess leaves out the lines of all processes but the trace's first.
	FirstProcess bool
}

// Extractor writes the selected lines of several traces into one.
type Extractor struct {
	enc      *json.Encoder
	contents map[string]bool
}

// NewExtractor returns an Extractor that writes to w.
func NewExtractor(w io.Writer) *Extractor {
	return &Extractor{enc: json.NewEncoder(w), contents: make(map[string]bool)}
}

// Add writes the selected lines of a trace.
func (e *Extractor) Add(r io.Reader, selection Selection) error {
	s := selector{Selection: selection, extractor: e, queries: make(map[string]bool)}
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
		if err := e.enc.Encode(l); err != nil {
			return err
		}
	}
	return lines.Err()
}

// selector decides which lines of one trace are kept.
type selector struct {
	Selection
	extractor    *Extractor
	queries      map[string]bool
	firstProcess string
}

func (s *selector) selects(l line) bool {
	switch l.Component {
	case componentContent:
		known := s.extractor.contents[l.Key]
		s.extractor.contents[l.Key] = true
		return !known
	case componentFact:
		return true
	}
	if !slices.Contains(s.Components, l.Component) || !s.Until.IsZero() && l.Time.After(s.Until) {
		return false
	}
	if s.firstProcess == "" {
		s.firstProcess = l.Process
	}
	if s.FirstProcess && l.Process != s.firstProcess {
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
