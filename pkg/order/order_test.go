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

func newTestStore(boot model.BootID, capacity int) *TicketStore {
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

// attemptInFlight is an attempt that the owner has sent to the simulated home.
type attemptInFlight struct {
	store   *TicketStore
	attempt Attempt
	// executed is true once the simulated upstream has run the attempt.
	executed bool
	// refused is true once the home has removed the attempt and answered "not
	// run".
	refused bool
}

// orderModel simulates an owner process that restarts without its tickets, and
// homes that may run an attempt at any time, even long after the owner stopped
// waiting for it.
type orderModel struct {
	now     time.Time
	boot    model.BootID
	store   *TicketStore
	tickets []Ticket
	// refused holds, for each ticket id, the lowest generation that no answer
	// has refused.
	refused  map[model.AttemptID]uint16
	inFlight []*attemptInFlight
	// executions counts, for each ticket id, how often upstreams ran the order.
	executions map[model.AttemptID]int
	// sent holds, for each ticket id, the highest generation that was
	// submitted.
	sent map[model.AttemptID]uint16
}

func (m *orderModel) start(store *TicketStore, a *Attempt) {
	if a != nil {
		m.inFlight = append(m.inFlight, &attemptInFlight{store: store, attempt: *a})
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
	d := m.store.Submit(m.now, ticket, sub)
	if d.Answer != nil && d.Answer.Code != result.TicketMismatch {
		m.recordAnswer(t, ticket.ID, *d.Answer)
	}
	m.start(m.store, d.Start)
}

// recordAnswer checks an answer of "not run" and keeps its next ticket for
// later submissions.
func (m *orderModel) recordAnswer(t *rapid.T, id model.AttemptID, a port.OrderAnswer) {
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

// actOnAttempt makes a home or an upstream perform a random action on a random
// attempt.
func (m *orderModel) actOnAttempt(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	chosen := rapid.SampledFrom(m.inFlight).Draw(t, "attempt")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0: // The upstream runs the attempt, at most once.
		if !chosen.executed && !chosen.refused {
			chosen.executed = true
			m.executions[chosen.attempt.Ticket]++
			must.GreaterEq(t, m.refused[chosen.attempt.Ticket], m.sent[chosen.attempt.Ticket],
				must.Sprint("a refused order runs without a submission of its next ticket"))
		}
	case 1: // The home removes the attempt and refuses it.
		if !chosen.executed {
			chosen.refused = true
			m.finish(t, chosen, Outcome{Code: result.UpstreamDraining, Ran: model.NotRun})
		}
	case 2: // The outcome of an executed attempt reaches the owner.
		if chosen.executed {
			m.finish(t, chosen, Outcome{Code: result.OK, Ran: model.Ran})
		}
	case 3: // The connection to the home or to the upstream breaks.
		m.finish(t, chosen, Outcome{Code: result.PeerLost, Ran: model.RunUnknown})
	case 4: // A refusal is delivered a second time.
		if chosen.refused {
			m.finish(t, chosen, Outcome{Code: result.Overloaded, Ran: model.NotRun})
		}
	}
}

func (m *orderModel) finish(t *rapid.T, a *attemptInFlight, o Outcome) {
	next, answer := a.store.Finish(m.now, a.attempt.Ticket, a.attempt.ID, o)
	m.start(a.store, next)
	if answer != nil {
		m.recordAnswer(t, a.attempt.Ticket, *answer)
	}
}

// TestOrderRunsAtMostOnce guards against an order that runs twice, or that runs
// after its caller was told "not run". Submissions are resent, outcomes are
// lost or repeated, attempts run late, tickets expire, and the owner restarts
// without its tickets.
func TestOrderRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &orderModel{now: epoch, boot: 1, store: newTestStore(1, 8), executions: map[model.AttemptID]int{}, sent: map[model.AttemptID]uint16{}, refused: map[model.AttemptID]uint16{}}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				ticket, _, err := m.store.Issue(m.now, Spec{Service: "s", Operation: "reserve", Validity: 3 * time.Second})
				if err == nil {
					m.tickets = append(m.tickets, ticket)
				}
			},
			"submit": m.submit,
			"settle": m.actOnAttempt,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				m.store.Expire(m.now)
			},
			"restart": func(t *rapid.T) {
				m.boot++
				m.store = newTestStore(m.boot, 8)
			},
			"": func(t *rapid.T) {
				for id, n := range m.executions {
					must.LessEq(t, 1, n, must.Sprintf("ticket %s ran %d times", id, n))
				}
				must.LessEq(t, 8, m.store.Len())
			},
		})
	})
}

// TestRefusedTicketStartsNothing guards against a duplicated or delayed
// submission that starts the order after its caller was told that it did not
// run.
func TestRefusedTicketStartsNothing(t *testing.T) {
	store := newTestStore(1, 4)
	ticket, _, err := store.Issue(epoch, Spec{Service: "s", Operation: "reserve"})
	must.NoError(t, err)
	sub := submission(ticket, epoch, `1`)
	d := store.Submit(epoch, ticket, sub)
	_, answer := store.Finish(epoch, ticket.ID, d.Start.ID, Outcome{Code: result.Overloaded, Ran: model.NotRun})
	must.Eq(t, model.NotRun, answer.Ran)
	again := store.Submit(epoch, ticket, sub)
	must.Nil(t, again.Start)
	must.Eq(t, result.Overloaded, again.Answer.Code)
	must.Eq(t, answer.NextTicket, again.Answer.NextTicket)
	next, err := ParseTicket(answer.NextTicket)
	must.NoError(t, err)
	must.NotNil(t, store.Submit(epoch, next, submission(next, epoch, `1`)).Start)
	must.True(t, store.Submit(epoch, ticket, sub).Join, must.Sprint("a submission of the refused ticket must wait for the outcome"))
}

// TestLateSubmissionEndsGeneration guards against an answer of "not run" for a
// submission that arrived after its deadline while another one with the same
// ticket may still start the order.
func TestLateSubmissionEndsGeneration(t *testing.T) {
	store := newTestStore(1, 4)
	ticket, _, err := store.Issue(epoch, Spec{Service: "s", Operation: "reserve"})
	must.NoError(t, err)
	late := submission(ticket, epoch.Add(-2*time.Second), `1`)
	must.Eq(t, result.DeadlineExceeded, store.Submit(epoch, ticket, late).Answer.Code)
	must.Nil(t, store.Submit(epoch, ticket, submission(ticket, epoch, `1`)).Start)
}

// TestUnknownOutcomeIsFinal guards against a retry after an attempt that may or
// may not have run.
func TestUnknownOutcomeIsFinal(t *testing.T) {
	store := newTestStore(1, 4)
	ticket, _, err := store.Issue(epoch, Spec{Service: "s", Operation: "reserve"})
	must.NoError(t, err)
	d := store.Submit(epoch, ticket, submission(ticket, epoch, `1`))
	_, answer := store.Finish(epoch, ticket.ID, d.Start.ID, Outcome{Code: result.PeerLost, Ran: model.RunUnknown})
	must.Eq(t, result.OutcomeUnknown, answer.Code)
	again := store.Submit(epoch, ticket, submission(ticket, epoch, `1`))
	must.Nil(t, again.Start)
	must.Eq(t, model.RunUnknown, again.Answer.Ran)
	must.True(t, again.Answer.Replayed)
}

// TestFullStoreRefusesTickets guards against a full store that drops a valid
// ticket to make room for another, or that still refuses tickets after the old
// ones have expired.
func TestFullStoreRefusesTickets(t *testing.T) {
	store := newTestStore(1, 2)
	for range 2 {
		_, _, err := store.Issue(epoch, Spec{Service: "s", Operation: "reserve", Validity: time.Second})
		must.NoError(t, err)
	}
	_, _, err := store.Issue(epoch, Spec{Service: "s", Operation: "reserve"})
	must.Eq(t, result.TicketLimit, result.CodeOf(err))
	_, _, err = store.Issue(epoch.Add(time.Second), Spec{Service: "s", Operation: "reserve"})
	must.NoError(t, err)
}

// FuzzParseTicket guards against panics on text from callers, and against
// tickets that change when they are formatted and parsed again.
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
