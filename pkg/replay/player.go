package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/phase"
)

const (
	// maxLineBytes bounds a line; a document of 1 MB is the largest argument.
	maxLineBytes = 8 << 20
	// maxReported bounds the differences that a report describes.
	maxReported = 10
)

// Outcome summarises a trace, from the recorded calls and results alone.
type Outcome struct {
	Lines int `json:"lines"`
	// Attempts counts started upstream attempts, Orders those of orders.
	Attempts int `json:"attempts"`
	Orders   int `json:"orders"`
	// Answered and Refused count answers of the schedulers.
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Hedges   int `json:"hedges"`
	Retries  int `json:"retries"`
	// Quarantined counts requests found to crash upstreams.
	Quarantined int `json:"quarantined"`
	// OrderStarts is the largest number of attempts that one ticket started
	// without proof that the one before did not run. It must be at most 1.
	OrderStarts int `json:"order_starts"`
	// LeavingStarts counts attempts on upstreams listed as leaving.
	LeavingStarts int `json:"leaving_starts"`
	// Broken counts invariants that the program reported as broken.
	Broken int `json:"broken"`
}

// Verdict is what a check of one promise found.
type Verdict struct {
	// Checked counts the decisions that the promise is about.
	Checked int `json:"checked"`
	// Broken counts those that break it, and Examples describes the first.
	Broken   int      `json:"broken"`
	Examples []string `json:"examples,omitempty"`
}

// Report is the result of a replay.
type Report struct {
	Outcome Outcome `json:"outcome"`
	// Promises holds the verdicts on the replayed decisions, by promise.
	Promises map[string]Verdict `json:"promises,omitempty"`
	// Mismatches counts calls whose result differs from the recorded one.
	Mismatches int `json:"mismatches"`
	// Differences describes the first mismatches.
	Differences []string `json:"differences,omitempty"`
}

// Passed reports whether every decision was repeated and the trace shows no
// broken invariant or promise.
func (r Report) Passed() bool {
	o := r.Outcome
	for _, v := range r.Promises {
		if v.Broken > 0 {
			return false
		}
	}
	return r.Mismatches == 0 && o.Broken == 0 && o.OrderStarts <= 1 && o.LeavingStarts == 0
}

// Play runs a trace through the decision code and compares each result with the
// recorded one. An error means that the trace can't be read.
func Play(r io.Reader) (Report, error) {
	p := newPlayer()
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for lines.Scan() {
		var l line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return p.report, fmt.Errorf("line %d: %w", p.report.Outcome.Lines+1, err)
		}
		p.report.Outcome.Lines++
		if err := p.play(l); err != nil {
			return p.report, fmt.Errorf("line %d: %w", p.report.Outcome.Lines, err)
		}
	}
	p.counter.writeTo(&p.report.Outcome)
	p.report.Promises = p.checks.verdicts()
	return p.report, lines.Err()
}

type player struct {
	report     Report
	counter    *outcomeCounter
	checks     *checks
	schedulers map[string]*playedScheduler
	books      map[string]*playedBook
	queries    map[string]*playedQuery
	catalogs   map[string]*catalog.Catalog
	plans      map[string]*catalog.FetchPlan
	readers    map[string]*catalog.Reader
	members    map[string]*playedMembership
	phases     map[string]*phase.Machine
	// contents holds documents' bytes, and documents the parsed ones.
	contents  map[string][]byte
	documents map[string]*document.Document
}

func newPlayer() *player {
	p := &player{
		counter:    newOutcomeCounter(),
		schedulers: make(map[string]*playedScheduler),
		books:      make(map[string]*playedBook),
		queries:    make(map[string]*playedQuery),
		catalogs:   make(map[string]*catalog.Catalog),
		plans:      make(map[string]*catalog.FetchPlan),
		readers:    make(map[string]*catalog.Reader),
		members:    make(map[string]*playedMembership),
		phases:     make(map[string]*phase.Machine),
		contents:   make(map[string][]byte),
		documents:  make(map[string]*document.Document),
	}
	p.checks = newChecks(p.contents)
	return p
}

// document returns a parsed document of the trace.
func (p *player) document(ref contentRef) (*document.Document, error) {
	if d := p.documents[ref.key()]; d != nil {
		return d, nil
	}
	raw, ok := p.contents[ref.key()]
	if !ok {
		return nil, fmt.Errorf("the trace lacks document %s", ref.key())
	}
	d, err := document.Parse(raw)
	if err == nil {
		p.documents[ref.key()] = d
	}
	return d, err
}

func (p *player) addContent(l line) error {
	text, err := decode[string](l.Args)
	p.contents[l.Key] = []byte(text)
	return err
}

// opened returns the object of a line from those that the trace has opened.
func openObject[T any](objects map[string]*T, l line) (*T, error) {
	o := objects[l.objectKey()]
	if o == nil {
		return nil, fmt.Errorf("%s %q is not open", l.Component, l.Key)
	}
	return o, nil
}

func unknownCall(l line) error { return fmt.Errorf("unknown call %q of %s", l.Call, l.Component) }

// ids replays recorded ids.
type recordedIDs struct{ queue []model.AttemptID }

func (i *recordedIDs) next() model.AttemptID {
	if len(i.queue) == 0 {
		// More ids are drawn than were recorded; the results differ and are
		// reported.
		return model.AttemptID{}
	}
	id := i.queue[0]
	i.queue = i.queue[1:]
	return id
}

func (p *player) play(l line) error {
	out, err := p.replayCall(l)
	if err != nil {
		return err
	}
	p.compare(l, encode(out))
	if err := p.checks.observe(l, out); err != nil {
		return err
	}
	return p.counter.count(l)
}

// decide repeats the call of a line and returns its result.
func (p *player) replayCall(l line) (any, error) {
	switch l.Component {
	case componentScheduler:
		return p.playScheduler(l)
	case componentOrders:
		return p.playOrders(l)
	case componentQuery:
		return p.playQuery(l)
	case componentCatalog:
		return p.playCatalog(l)
	case componentFetchPlan:
		return p.playFetchPlan(l)
	case componentReader:
		return p.playReader(l)
	case componentMembership:
		return p.playMembership(l)
	case componentPhase:
		return p.playPhase(l)
	case componentContent:
		return nil, p.addContent(l)
	case componentList, componentFact:
		// These lines are input to the checks.
		return nil, nil
	default:
		return nil, fmt.Errorf("unknown component %q", l.Component)
	}
}

func (p *player) compare(l line, got json.RawMessage) {
	var want bytes.Buffer
	if err := json.Compact(&want, l.Out); err == nil && bytes.Equal(want.Bytes(), got) {
		return
	}
	p.report.Mismatches++
	if len(p.report.Differences) < maxReported {
		p.report.Differences = append(p.report.Differences,
			fmt.Sprintf("line %d: %s %s %s: recorded %s, replayed %s", p.report.Outcome.Lines, l.Component, l.Key, l.Call, shorten(want.String()), shorten(string(got))))
	}
}

func shorten(s string) string {
	const limit = 300
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}

func decode[T any](raw json.RawMessage) (T, error) {
	var v T
	err := json.Unmarshal(raw, &v)
	return v, err
}

// normalise restores an absent value, which JSON writes as null.
func nullToNil(raw json.RawMessage) json.RawMessage {
	if string(raw) == "null" {
		return nil
	}
	return raw
}

// actionName strips the package from a recorded type.
func actionName(t string) string { return strings.TrimPrefix(t, "scheduler.") }
