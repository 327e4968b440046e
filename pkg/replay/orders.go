package replay

import (
	"fmt"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/order"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// Arguments and results of the order book's calls.
type (
	bookOpenArgs struct {
		Owner    model.InstanceID `json:"owner"`
		Boot     model.BootID     `json:"boot"`
		Capacity int              `json:"capacity"`
	}
	issueResult struct {
		Ticket  string    `json:"ticket"`
		Expires time.Time `json:"expires"`
		Error   string    `json:"error,omitempty"`
	}
	orderSubmitArgs struct {
		Ticket     string               `json:"ticket"`
		Submission port.OrderSubmission `json:"submission"`
	}
	orderFinishArgs struct {
		Ticket  model.AttemptID `json:"ticket"`
		Attempt model.AttemptID `json:"attempt"`
		Outcome order.Outcome   `json:"outcome"`
	}
	orderFinishResult struct {
		Next   *order.Attempt    `json:"next,omitempty"`
		Answer *port.OrderAnswer `json:"answer,omitempty"`
	}
)

// Book is an order book whose calls are recorded.
type Book struct {
	*order.TicketStore
	recorder
}

// NewBook returns an order book whose calls are recorded. The shard distinguishes
// the books of one process.
func (t *Trace) NewBook(cfg order.Config, shard int) *Book {
	b := &Book{recorder: t.newRecorder(componentOrders, fmt.Sprintf("%x/%d", uint64(cfg.Boot), shard))}
	b.newID = cfg.NewID
	cfg.NewID = b.generateID
	b.TicketStore = order.NewTicketStore(cfg)
	b.record("open", time.Time{}, bookOpenArgs{Owner: cfg.Owner, Boot: cfg.Boot, Capacity: cfg.Capacity}, nil)
	return b
}

// Issue records order.TicketStore.Issue.
func (b *Book) Issue(now time.Time, spec order.Spec) (order.Ticket, time.Time, error) {
	now = withoutMonotonic(now)
	ticket, expires, err := b.TicketStore.Issue(now, spec)
	b.record("issue", now, spec, newIssueResult(ticket, expires, err))
	return ticket, expires, err
}

func newIssueResult(t order.Ticket, expires time.Time, err error) issueResult {
	if err != nil {
		return issueResult{Error: err.Error()}
	}
	return issueResult{Ticket: t.String(), Expires: expires}
}

// Submit records order.TicketStore.Submit.
func (b *Book) Submit(now time.Time, t order.Ticket, sub port.OrderSubmission) order.Decision {
	now = withoutMonotonic(now)
	sub.Deadline = withoutMonotonic(sub.Deadline)
	d := b.TicketStore.Submit(now, t, sub)
	b.record("submit", now, orderSubmitArgs{Ticket: t.String(), Submission: sub}, d)
	return d
}

// Finish records order.TicketStore.Finish.
func (b *Book) Finish(now time.Time, ticket, attempt model.AttemptID, o order.Outcome) (*order.Attempt, *port.OrderAnswer) {
	now = withoutMonotonic(now)
	next, answer := b.TicketStore.Finish(now, ticket, attempt, o)
	b.record("finish", now, orderFinishArgs{Ticket: ticket, Attempt: attempt, Outcome: o}, orderFinishResult{Next: next, Answer: answer})
	return next, answer
}

// Expire records order.TicketStore.Expire.
func (b *Book) Expire(now time.Time) {
	now = withoutMonotonic(now)
	b.TicketStore.Expire(now)
	b.record("expire", now, nil, nil)
}

// replayedBook is an order book whose recorded calls are repeated.
type replayedBook struct {
	*order.TicketStore
	ids recordedIDs
}

func (p *player) playOrders(l line) (any, error) {
	if l.Call == "open" {
		openArgs, err := decode[bookOpenArgs](l.Args)
		if err != nil {
			return nil, err
		}
		b := &replayedBook{}
		b.TicketStore = order.NewTicketStore(order.Config{Owner: openArgs.Owner, Boot: openArgs.Boot, Capacity: openArgs.Capacity, NewID: b.ids.next})
		p.orderBooks[l.objectKey()] = b
		return nil, nil
	}
	b, err := openObject(p.orderBooks, l)
	if err != nil {
		return nil, err
	}
	b.ids.queue = l.IDs
	return b.call(l)
}

func (b *replayedBook) call(l line) (any, error) {
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
		a.Submission.Payload = nullToNil(a.Submission.Payload)
		return b.Submit(l.Time, ticket, a.Submission), nil
	case "finish":
		a, err := decode[orderFinishArgs](l.Args)
		if err != nil {
			return nil, err
		}
		a.Outcome.Result = nullToNil(a.Outcome.Result)
		next, answer := b.Finish(l.Time, a.Ticket, a.Attempt, a.Outcome)
		return orderFinishResult{Next: next, Answer: answer}, nil
	case "expire":
		b.Expire(l.Time)
		return nil, nil
	default:
		return nil, unknownCall(l)
	}
}
