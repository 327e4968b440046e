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
	// maxLineBytes is the size limit of a trace line. The largest argument is a
	// document of 1 MB.
	maxLineBytes = 8 << 20
	// maxReported is the largest number of differences that a report describes.
	maxReported = 10
)

// Outcome summarises a trace. It is derived only from the recorded calls and
// results.
type Outcome struct {
	Lines int `json:"lines"`
	// Attempts counts the started upstream attempts. Orders counts those of them
	// that belong to orders.
	Attempts int `json:"attempts"`
	Orders   int `json:"orders"`
	// Answered counts the requests that schedulers answered with OK, and Refused
	// those that they answered with another code.
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Hedges   int `json:"hedges"`
	Retries  int `json:"retries"`
	// Quarantined counts the requests that were put in quarantine because they
	// crash upstreams.
	Quarantined int `json:"quarantined"`
	// OrderStarts is the largest number of started attempts of one ticket that may
	// have run: no outcome says that they did not run. It must be at most 1.
	OrderStarts int `json:"order_starts"`
	// LeavingStarts counts the attempts that were started on upstreams listed as
	// leaving.
	LeavingStarts int `json:"leaving_starts"`
	// Broken counts the violations of invariants that the program reported.
	Broken int `json:"broken"`
}

// Verdict is the result of checking one promise.
type Verdict struct {
	// Checked counts the decisions to which the promise applies.
	Checked int `json:"checked"`
	// Broken counts the decisions that break the promise. Examples describes the
	// first of them.
	Broken   int      `json:"broken"`
	Examples []string `json:"examples,omitempty"`
}

// Report is the result of a replay.
type Report struct {
	Outcome Outcome `json:"outcome"`
	// Promises holds the verdict on the replayed decisions for each promise that
	// applied to any.
	Promises map[string]Verdict `json:"promises,omitempty"`
	// Mismatches counts the calls whose replayed result differs from the recorded
	// one.
	Mismatches int `json:"mismatches"`
	// Differences describes the first mismatches.
	Differences []string `json:"differences,omitempty"`
}

// Passed reports whether every replayed decision equals the recorded one and the
// trace shows no broken invariant or promise.
func (r Report) Passed() bool {
	o := r.Outcome
	for _, v := range r.Promises {
		if v.Broken > 0 {
			return false
		}
	}
	return r.Mismatches == 0 && o.Broken == 0 && o.OrderStarts <= 1 && o.LeavingStarts == 0
}

// Play repeats the calls of a trace with the decision code and compares each
// result with the recorded one. An error means that the trace can't be read.
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
	report        Report
	counter       *outcomeCounter
	checks        *checks
	schedulers    map[string]*replayedScheduler
	orderBooks    map[string]*replayedBook
	queries       map[string]*replayedQuery
	catalogs      map[string]*catalog.Catalog
	fetchPlans    map[string]*catalog.FetchPlan
	readers       map[string]*catalog.Reader
	memberships   map[string]*replayedMembership
	phaseMachines map[string]*phase.Machine
	// contents holds the bytes of the documents, and documents the documents that
	// have been parsed. The keys are the results of contentRef.key.
	contents  map[string][]byte
	documents map[string]*document.Document
}

func newPlayer() *player {
	p := &player{
		counter:       newOutcomeCounter(),
		schedulers:    make(map[string]*replayedScheduler),
		orderBooks:    make(map[string]*replayedBook),
		queries:       make(map[string]*replayedQuery),
		catalogs:      make(map[string]*catalog.Catalog),
		fetchPlans:    make(map[string]*catalog.FetchPlan),
		readers:       make(map[string]*catalog.Reader),
		memberships:   make(map[string]*replayedMembership),
		phaseMachines: make(map[string]*phase.Machine),
		contents:      make(map[string][]byte),
		documents:     make(map[string]*document.Document),
	}
	p.checks = newChecks(p.contents)
	return p
}

// document returns the parsed document to which ref refers.
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

// openObject returns the object of a line. It fails if no earlier line has opened
// the object.
func openObject[T any](objects map[string]*T, l line) (*T, error) {
	o := objects[l.objectKey()]
	if o == nil {
		return nil, fmt.Errorf("%s %q is not open", l.Component, l.Key)
	}
	return o, nil
}

func unknownCall(l line) error { return fmt.Errorf("unknown call %q of %s", l.Call, l.Component) }

// recordedIDs returns the recorded ids in place of newly generated ones.
type recordedIDs struct{ queue []model.AttemptID }

func (i *recordedIDs) next() model.AttemptID {
	if len(i.queue) == 0 {
		// The replay generates more ids than the recorded run. Its result then
		// differs from the recorded one, which is reported.
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

// replayCall repeats the call of a line and returns the result.
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
		// These lines are input to the checks only.
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
			fmt.Sprintf("line %d: %s %s %s: recorded %s, replayed %s", p.report.Outcome.Lines, l.Component, l.Key, l.Call, truncate(want.String()), truncate(string(got))))
	}
}

func truncate(s string) string {
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

// nullToNil turns a JSON null into nil: encoding a nil value writes null, and
// decoding it yields the text null.
func nullToNil(raw json.RawMessage) json.RawMessage {
	if string(raw) == "null" {
		return nil
	}
	return raw
}

// actionName strips the package scheduler from a recorded type name.
func actionName(t string) string { return strings.TrimPrefix(t, "scheduler.") }
