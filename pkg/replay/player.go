package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/order"
	"github.com/sardineturn/sardineturn/pkg/phase"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
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

// Holds reports whether every decision was repeated and the trace shows no
// broken invariant or promise.
func (r Report) Holds() bool {
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
	p.tally.into(&p.report.Outcome)
	p.report.Promises = p.checks.verdicts()
	return p.report, lines.Err()
}

type player struct {
	report     Report
	tally      *tally
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
		tally:      newTally(),
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

func notOpen(l line) error { return fmt.Errorf("%s %q is not open", l.Component, l.Key) }

func unknownCall(l line) error { return fmt.Errorf("unknown call %q of %s", l.Call, l.Component) }

// ids replays recorded ids.
type ids struct{ queue []model.AttemptID }

func (i *ids) next() model.AttemptID {
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
	out, err := p.decide(l)
	if err != nil {
		return err
	}
	p.compare(l, encode(out))
	if err := p.checks.see(l, out); err != nil {
		return err
	}
	return p.tally.count(l)
}

// decide repeats the call of a line and returns its result.
func (p *player) decide(l line) (any, error) {
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

// playedScheduler is a scheduler under replay.
type playedScheduler struct {
	*scheduler.Scheduler
	ids     ids
	blocked *blockedOnce
}

func (p *player) playScheduler(l line) (any, error) {
	if l.Call == "open" {
		return nil, p.openScheduler(l)
	}
	s := p.schedulers[l.object()]
	if s == nil {
		return nil, notOpen(l)
	}
	var w withBlocked
	if err := json.Unmarshal(l.Args, &w); err != nil {
		return nil, err
	}
	s.ids.queue = l.IDs
	s.blocked.answer = w.Blocked
	actions, err := s.call(l.Call, l.Time, w.Args)
	return typedActions(actions), err
}

func (p *player) openScheduler(l line) error {
	var open schedulerOpen
	if err := json.Unmarshal(l.Args, &open); err != nil {
		return err
	}
	group, err := groupOf(open)
	if err != nil {
		return err
	}
	s := &playedScheduler{ids: ids{queue: l.IDs}, blocked: &blockedOnce{}}
	s.Scheduler = scheduler.New(scheduler.Config{
		Document:        open.Document,
		Group:           group,
		LocalDataCentre: open.DataCentre,
		MaxInstances:    open.MaxInstances,
		NewID:           s.ids.next,
		Rand:            rand.New(rand.NewPCG(open.Seed[0], open.Seed[1])),
		Quarantine:      s.blocked,
	}, l.Time)
	p.schedulers[l.object()] = s
	return nil
}

func groupOf(open schedulerOpen) (document.Group, error) {
	if open.Document == nil {
		return document.Group{}, fmt.Errorf("the document is missing")
	}
	groups := open.Document.Groups()
	if open.Group < 0 || open.Group >= len(groups) {
		return document.Group{}, fmt.Errorf("the document has no group %d", open.Group)
	}
	return groups[open.Group], nil
}

// call decodes the arguments and makes the call.
func (s *playedScheduler) call(name string, now time.Time, args json.RawMessage) ([]scheduler.Action, error) {
	switch name {
	case "submit":
		req, err := decode[model.GroupRequest](args)
		req.Payload = normalise(req.Payload)
		return s.Submit(now, req), err
	case "cancel":
		id, err := decode[model.AttemptID](args)
		return s.Cancel(now, id), err
	case "finish":
		a, err := decode[finishArgs](args)
		a.Reply.Result = normalise(a.Reply.Result)
		return s.Finish(now, a.Attempt, a.Reply), err
	case "tick":
		return s.Tick(now), nil
	case "document":
		a, err := decode[schedulerOpen](args)
		if err != nil {
			return nil, err
		}
		group, err := groupOf(a)
		if err != nil {
			return nil, err
		}
		return s.SetDocument(now, a.Document, group), nil
	case "hint":
		a, err := decode[hintArgs](args)
		return s.Hint(now, a.Upstream, a.Status), err
	case "leaving":
		a, err := decode[leavingArgs](args)
		return s.SetUpstreamLeaving(now, a.Upstream, a.Leaving), err
	case "resume":
		gap, err := decode[time.Duration](args)
		return s.Resume(now, gap), err
	default:
		return nil, fmt.Errorf("unknown scheduler call %q", name)
	}
}

func decode[T any](raw json.RawMessage) (T, error) {
	var v T
	err := json.Unmarshal(raw, &v)
	return v, err
}

// normalise restores an absent value, which JSON writes as null.
func normalise(raw json.RawMessage) json.RawMessage {
	if string(raw) == "null" {
		return nil
	}
	return raw
}

// playedBook is an order book under replay.
type playedBook struct {
	*order.Book
	ids ids
}

func (p *player) playOrders(l line) (any, error) {
	if l.Call == "open" {
		open, err := decode[bookOpen](l.Args)
		if err != nil {
			return nil, err
		}
		b := &playedBook{}
		b.Book = order.NewBook(order.Config{Owner: open.Owner, Boot: open.Boot, Capacity: open.Capacity, NewID: b.ids.next})
		p.books[l.Key] = b
		return nil, nil
	}
	b := p.books[l.Key]
	if b == nil {
		return nil, fmt.Errorf("order book %q is not open", l.Key)
	}
	b.ids.queue = l.IDs
	return b.call(l)
}

func (b *playedBook) call(l line) (any, error) {
	switch l.Call {
	case "issue":
		spec, err := decode[order.Spec](l.Args)
		if err != nil {
			return nil, err
		}
		return newIssueResult(b.Issue(l.Time, spec)), nil
	case "submit":
		a, err := decode[orderSubmitArgs](l.Args)
		if err != nil {
			return nil, err
		}
		ticket, err := order.ParseTicket(a.Ticket)
		if err != nil {
			return nil, err
		}
		a.Submission.Payload = normalise(a.Submission.Payload)
		return b.Submit(l.Time, ticket, a.Submission), nil
	case "finish":
		a, err := decode[orderFinishArgs](l.Args)
		if err != nil {
			return nil, err
		}
		a.Outcome.Result = normalise(a.Outcome.Result)
		next, answer := b.Finish(l.Time, a.Ticket, a.Attempt, a.Outcome)
		return orderFinishResult{Next: next, Answer: answer}, nil
	case "expire":
		b.Expire(l.Time)
		return nil, nil
	default:
		return nil, fmt.Errorf("unknown order call %q", l.Call)
	}
}

// actionName strips the package from a recorded type.
func actionName(t string) string { return strings.TrimPrefix(t, "scheduler.") }
