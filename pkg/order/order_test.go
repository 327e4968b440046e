package order

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sardineturn/sardineturn/internal/testseed"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

var epoch = time.Unix(1_700_000_000, 0)

func newTestBook(boot model.BootID, capacity int) *TicketStore {
	var counter uint64
	return NewTicketStore(Config{
		Owner: "127.0.0.1:7000", Boot: boot, Capacity: capacity,
		Rand: rand.New(rand.NewPCG(1, uint64(boot))),
		NewID: func() model.AttemptID {
			counter++
			var id model.AttemptID
			binary.BigEndian.PutUint64(id[:], uint64(boot))
			binary.BigEndian.PutUint64(id[8:], counter)
			return id
		},
	})
}

func submission(ticket Ticket, now time.Time, payload string) port.OrderSubmission {
	return port.OrderSubmission{
		Ticket: ticket.String(), Service: "s", Operation: "reserve", Shard: "0",
		Payload: json.RawMessage(payload), Deadline: now.Add(time.Second),
	}
}

// attemptInFlight is an attempt that the fake home has not settled.
type attemptInFlight struct {
	book    *TicketStore
	attempt Attempt
	// executed is true once the fake upstream ran it.
	executed bool
	// refused is true once the home removed it and said "not run".
	refused bool
}

// orderModel drives several owner processes, one after another, against homes
// that may run an attempt at any time, also long after the owner gave up.
type orderModel struct {
	now     time.Time
	boot    model.BootID
	book    *TicketStore
	tickets []Ticket
	// refused holds, per ticket id, the lowest generation that no answer has
	// refused.
	refused  map[model.AttemptID]uint16
	inFlight []*attemptInFlight
	// executions counts runs per ticket: the upstreams' own log.
	executions map[model.AttemptID]int
	// sent holds the highest generation that was submitted.
	sent map[model.AttemptID]uint16
}

func (m *orderModel) start(b *TicketStore, a *Attempt) {
	if a != nil {
		m.inFlight = append(m.inFlight, &attemptInFlight{book: b, attempt: *a})
	}
}

func (m *orderModel) submit(t *rapid.T) {
	if len(m.tickets) == 0 {
		return
	}
	ticket := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	payload := rapid.SampledFrom([]string{`1`, `1`, `1`, `2`}).Draw(t, "payload")
	sub := submission(ticket, m.now, payload)
	if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		sub.Deadline = m.now // The message arrives after its deadline.
	}
	m.sent[ticket.ID] = max(m.sent[ticket.ID], ticket.Generation)
	d := m.book.Submit(m.now, ticket, sub)
	if d.Answer != nil && d.Answer.Code != result.TicketMismatch {
		m.answered(t, ticket.ID, *d.Answer)
	}
	m.start(m.book, d.Start)
}

// answered keeps the next ticket of a refusal for later submissions.
func (m *orderModel) answered(t *rapid.T, id model.AttemptID, a port.OrderAnswer) {
	if a.Ran != model.NotRun {
		return
	}
	must.Zero(t, m.executions[id], must.Sprint("the answer says not run after a run"))
	m.refused[id] = math.MaxUint16
	if a.NextTicket == "" {
		return
	}
	next, err := ParseTicket(a.NextTicket)
	must.NoError(t, err)
	must.Eq(t, id, next.ID)
	m.refused[id] = next.Generation
	m.tickets = append(m.tickets, next)
}

// settle lets a home or an upstream act on an attempt.
func (m *orderModel) settle(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	f := rapid.SampledFrom(m.inFlight).Draw(t, "attempt")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0: // The upstream runs it, once per attempt at most.
		if !f.executed && !f.refused {
			f.executed = true
			m.executions[f.attempt.Ticket]++
			must.GreaterEq(t, m.refused[f.attempt.Ticket], m.sent[f.attempt.Ticket],
				must.Sprint("a refused order runs without a submission of its next ticket"))
		}
	case 1: // The home refuses it and has removed it.
		if !f.executed {
			f.refused = true
			m.finish(t, f, Outcome{Code: result.UpstreamDraining, Ran: model.NotRun})
		}
	case 2: // The outcome arrives.
		if f.executed {
			m.finish(t, f, Outcome{Code: result.OK, Ran: model.Ran})
		}
	case 3: // The connection to the home or to the upstream breaks.
		m.finish(t, f, Outcome{Code: result.PeerLost, Ran: model.RunUnknown})
	case 4: // A refusal is delivered a second time.
		if f.refused {
			m.finish(t, f, Outcome{Code: result.Overloaded, Ran: model.NotRun})
		}
	}
}

func (m *orderModel) finish(t *rapid.T, f *attemptInFlight, o Outcome) {
	next, answer := f.book.Finish(m.now, f.attempt.Ticket, f.attempt.ID, o)
	m.start(f.book, next)
	if answer != nil {
		m.answered(t, f.attempt.Ticket, *answer)
	}
}

// TestOrderRunsAtMostOnce guards against a second run of an order, and a run
// after "not run", under resent submissions, lost and repeated outcomes, late
// runs, expiry and owners that restart without memory.
func TestOrderRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &orderModel{now: epoch, boot: 1, book: newTestBook(1, 8), executions: map[model.AttemptID]int{}, sent: map[model.AttemptID]uint16{}, refused: map[model.AttemptID]uint16{}}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				ticket, _, err := m.book.Issue(m.now, Spec{Service: "s", Operation: "reserve", Validity: 3 * time.Second})
				if err == nil {
					m.tickets = append(m.tickets, ticket)
				}
			},
			"submit": m.submit,
			"settle": m.settle,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				m.book.Expire(m.now)
			},
			"restart": func(t *rapid.T) {
				m.boot++
				m.book = newTestBook(m.boot, 8)
			},
			"": func(t *rapid.T) {
				for id, n := range m.executions {
					must.LessEq(t, 1, n, must.Sprintf("ticket %s ran %d times", id, n))
				}
				must.LessEq(t, 8, m.book.Len())
			},
		})
	})
}

// TestRefusedTicketStartsNothing guards against a copy of a submission, or one
// that arrives late, that starts the order after its caller was told that it
// did not run.
func TestRefusedTicketStartsNothing(t *testing.T) {
	b := newTestBook(1, 4)
	ticket, _, err := b.Issue(epoch, Spec{Service: "s", Operation: "reserve"})
	must.NoError(t, err)
	sub := submission(ticket, epoch, `1`)
	d := b.Submit(epoch, ticket, sub)
	_, answer := b.Finish(epoch, ticket.ID, d.Start.ID, Outcome{Code: result.Overloaded, Ran: model.NotRun})
	must.Eq(t, model.NotRun, answer.Ran)
	again := b.Submit(epoch, ticket, sub)
	must.Nil(t, again.Start)
	must.Eq(t, result.Overloaded, again.Answer.Code)
	must.Eq(t, answer.NextTicket, again.Answer.NextTicket)
	next, err := ParseTicket(answer.NextTicket)
	must.NoError(t, err)
	must.NotNil(t, b.Submit(epoch, next, submission(next, epoch, `1`)).Start)
	must.True(t, b.Submit(epoch, ticket, sub).Join, must.Sprint("the refused ticket learns the outcome"))
}

// TestLateSubmissionEndsGeneration guards against an answer of "not run" for a
// submission that arrived after its deadline while another one with the same
// ticket may still start the order.
func TestLateSubmissionEndsGeneration(t *testing.T) {
	b := newTestBook(1, 4)
	ticket, _, err := b.Issue(epoch, Spec{Service: "s", Operation: "reserve"})
	must.NoError(t, err)
	late := submission(ticket, epoch.Add(-2*time.Second), `1`)
	must.Eq(t, result.DeadlineExceeded, b.Submit(epoch, ticket, late).Answer.Code)
	must.Nil(t, b.Submit(epoch, ticket, submission(ticket, epoch, `1`)).Start)
}

// TestUnknownIsFinal guards against a retry after an attempt whose outcome is
// in doubt.
func TestUnknownIsFinal(t *testing.T) {
	b := newTestBook(1, 4)
	ticket, _, err := b.Issue(epoch, Spec{Service: "s", Operation: "reserve"})
	must.NoError(t, err)
	d := b.Submit(epoch, ticket, submission(ticket, epoch, `1`))
	_, answer := b.Finish(epoch, ticket.ID, d.Start.ID, Outcome{Code: result.PeerLost, Ran: model.RunUnknown})
	must.Eq(t, result.OutcomeUnknown, answer.Code)
	again := b.Submit(epoch, ticket, submission(ticket, epoch, `1`))
	must.Nil(t, again.Start)
	must.Eq(t, model.RunUnknown, again.Answer.Ran)
	must.True(t, again.Answer.Replayed)
}

// TestFullBookRefuses guards against forgetting a ticket to make room for
// another.
func TestFullBookRefuses(t *testing.T) {
	b := newTestBook(1, 2)
	for range 2 {
		_, _, err := b.Issue(epoch, Spec{Service: "s", Operation: "reserve", Validity: time.Second})
		must.NoError(t, err)
	}
	_, _, err := b.Issue(epoch, Spec{Service: "s", Operation: "reserve"})
	must.Eq(t, result.TicketLimit, result.CodeOf(err))
	_, _, err = b.Issue(epoch.Add(time.Second), Spec{Service: "s", Operation: "reserve"})
	must.NoError(t, err)
}

// FuzzParseTicket guards against panics on text from callers and against a
// ticket that does not survive its text form.
func FuzzParseTicket(f *testing.F) {
	f.Add(Ticket{Owner: "10.0.0.1:7400", Boot: 7}.String())
	f.Add("")
	f.Fuzz(func(t *testing.T, s string) {
		ticket, err := ParseTicket(s)
		if err != nil {
			return
		}
		again, err := ParseTicket(ticket.String())
		must.NoError(t, err)
		must.Eq(t, ticket, again)
	})
}
