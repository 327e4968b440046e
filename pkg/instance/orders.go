package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/order"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// ticketStripes is the number of parts into which the tickets are divided, each
// with its own lock. The first byte of a ticket's id selects the part.
const ticketStripes = 16

// leavingTicketValidity is the validity of tickets that a leaving instance issues.
// It is shorter than usual, because the process cannot end before its tickets are
// used or have expired. Callers use a ticket within milliseconds.
const leavingTicketValidity = 5 * time.Second

// orderTable holds the tickets that this process issued, divided into stripes.
type orderTable struct {
	stripes [ticketStripes]ticketStripe
}

// ticketStripe holds one part of the tickets. mu guards the other fields.
type ticketStripe struct {
	mu    sync.Mutex
	store ticketStore
	// waiters holds, by ticket id, the channels of the submissions that wait for the
	// order's answer.
	waiters map[model.AttemptID][]chan port.OrderAnswer
	running int // The number of running orders.
}

func newOrderTable(cfg Config, boot model.BootID, ports Ports) *orderTable {
	t := &orderTable{}
	for n := range t.stripes {
		stripe := byte(n)
		t.stripes[n].waiters = make(map[model.AttemptID][]chan port.OrderAnswer)
		t.stripes[n].store = newTicketStore(cfg, order.Config{
			Owner:    cfg.ID,
			Boot:     boot,
			Capacity: max(cfg.MaxTickets/ticketStripes, 1),
			Rand:     ports.NewRand(),
			NewID: func() model.AttemptID {
				id := ports.NewID()
				id[0] = id[0]/ticketStripes*ticketStripes + stripe
				return id
			},
		}, n)
	}
	return t
}

func (t *orderTable) stripe(id model.AttemptID) *ticketStripe {
	return &t.stripes[id[0]%ticketStripes]
}

// idle reports whether no ticket can still be used and no order is running.
func (t *orderTable) idle(now time.Time) bool {
	for n := range t.stripes {
		s := &t.stripes[n]
		s.mu.Lock()
		busy := s.running > 0 || s.store.Outstanding(now)
		s.mu.Unlock()
		if busy {
			return false
		}
	}
	return true
}

func (t *orderTable) expire(now time.Time) {
	for n := range t.stripes {
		s := &t.stripes[n]
		s.mu.Lock()
		s.store.Expire(now)
		s.mu.Unlock()
	}
}

// tickets returns the number of tickets in memory.
func (t *orderTable) tickets() int {
	total := 0
	for n := range t.stripes {
		s := &t.stripes[n]
		s.mu.Lock()
		total += s.store.Len()
		s.mu.Unlock()
	}
	return total
}

// IssueTicket returns a new ticket for an order and the time until it expires.
func (i *Instance) IssueTicket(spec order.Spec) (order.Ticket, time.Duration, error) {
	now := i.now()
	i.detectPause(now)
	switch code := i.admissionCode(); code {
	case result.OK:
	case result.Leaving:
		// The load balancer may still send callers here, so the instance still issues
		// tickets. They are short-lived, because the process ends only after its
		// tickets have been used or have expired.
		spec.Validity = leavingTicketValidity
	default:
		return order.Ticket{}, 0, result.Errorf(code, "the instance issues no tickets now")
	}
	if err := i.checkOrderOperation(spec.Service, spec.Operation); err != nil {
		return order.Ticket{}, 0, err
	}
	// A random id selects the stripe, so that tickets spread over all of them.
	s := i.orders.stripe(i.ports.NewID())
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket, expires, err := s.store.Issue(now, spec)
	if err != nil {
		i.logWarn(event.TicketLimitReached, event.Fields{"service": spec.Service}, "an order ticket was refused because the limit on tickets is reached")
		return order.Ticket{}, 0, err
	}
	return ticket, expires.Sub(now), nil
}

func (i *Instance) checkOrderOperation(service, operation string) error {
	doc := i.document(service)
	if doc == nil {
		return result.Errorf(result.UnknownService, "there is no service %q", service)
	}
	op := doc.FindOperation(operation)
	if op == nil {
		return result.Errorf(result.UnknownOperation, "service %s has no operation %q", service, operation)
	}
	if !op.NonIdempotent {
		return result.Errorf(result.BadRequest, "operation %q is idempotent and needs no ticket", operation)
	}
	return nil
}

// SubmitOrder runs an order or returns its recorded outcome. It passes the order
// to the instance that issued the ticket. If that instance does not answer, the
// answer to the caller says that the outcome is unknown, because an earlier
// submission of the same ticket may have run.
func (i *Instance) SubmitOrder(ctx context.Context, sub port.OrderSubmission) port.OrderAnswer {
	i.detectPause(i.now())
	i.activeQueries.Add(1)
	defer i.activeQueries.Add(-1)
	answer := i.routeOrder(ctx, sub)
	i.ports.Metrics.OrderFinished(answer.Code, answer.Ran)
	return answer
}

func (i *Instance) routeOrder(ctx context.Context, sub port.OrderSubmission) port.OrderAnswer {
	ticket, err := order.ParseTicket(sub.Ticket)
	if err != nil {
		return port.OrderAnswer{Code: result.BadRequest, Ran: model.NotRun, Detail: err.Error()}
	}
	sub.Deadline = i.orderDeadline(sub)
	if ticket.Owner == i.cfg.ID {
		return i.HandleSubmitOrder(ctx, ticket.Boot, sub)
	}
	ctx, cancel := context.WithDeadline(ctx, sub.Deadline)
	defer cancel()
	answer, err := i.ports.Peers.SubmitOrder(ctx, ticket.Owner, ticket.Boot, sub)
	if err != nil {
		return unknownOutcome(result.PeerLost, "the instance that issued the ticket did not answer")
	}
	return answer
}

func unknownOutcome(code result.Code, detail string) port.OrderAnswer {
	return port.OrderAnswer{Code: code, Ran: model.RunUnknown, Detail: detail}
}

// orderDeadline returns the caller's deadline, but at most the priority's deadline
// from now, or order.DefaultValidity if the service or priority is unknown.
func (i *Instance) orderDeadline(sub port.OrderSubmission) time.Time {
	limit := i.now().Add(order.DefaultValidity)
	if doc := i.document(sub.Service); doc != nil {
		if p := doc.PriorityIndex(sub.Priority); p >= 0 {
			limit = i.now().Add(doc.Priorities[p].Deadline())
		}
	}
	if sub.Deadline.IsZero() || sub.Deadline.After(limit) {
		return limit
	}
	return sub.Deadline
}

// HandleSubmitOrder implements port.PeerHandler: it runs orders whose ticket this
// process issued.
func (i *Instance) HandleSubmitOrder(ctx context.Context, boot model.BootID, sub port.OrderSubmission) port.OrderAnswer {
	now := i.now()
	i.detectPause(now)
	ticket, err := order.ParseTicket(sub.Ticket)
	if err != nil || boot != i.boot || ticket.Boot != i.boot || ticket.Owner != i.cfg.ID {
		return unknownOutcome(result.TicketUnknown, "the process that issued the ticket is gone")
	}
	s := i.orders.stripe(ticket.ID)
	wait := make(chan port.OrderAnswer, 1)
	s.mu.Lock()
	d := s.store.Submit(now, ticket, sub)
	if d.Answer != nil {
		s.mu.Unlock()
		return *d.Answer
	}
	s.waiters[ticket.ID] = append(s.waiters[ticket.ID], wait)
	if d.Start != nil {
		s.running++
		go i.runOrder(s, *d.Start)
	}
	s.mu.Unlock()
	return i.awaitOrderAnswer(ctx, sub.Deadline, wait)
}

func (i *Instance) awaitOrderAnswer(ctx context.Context, deadline time.Time, wait chan port.OrderAnswer) port.OrderAnswer {
	expired := make(chan struct{})
	timer := i.ports.Clock.AfterFunc(deadline.Sub(i.now()), func() { close(expired) })
	defer timer.Stop()
	select {
	case a := <-wait:
		return a
	case <-expired:
		return unknownOutcome(result.OutcomeUnknown, "the order is still running")
	case <-ctx.Done():
		return unknownOutcome(result.OutcomeUnknown, "the order is still running")
	}
}

// runOrder sends attempts, one after another, until the order has an outcome.
func (i *Instance) runOrder(s *ticketStripe, attempt order.Attempt) {
	var tried []model.InstanceID
	next := &attempt
	for {
		outcome, home := i.sendOrderAttempt(*next, tried)
		tried = append(tried, home)
		now := i.now()
		i.detectPause(now)
		s.mu.Lock()
		retry, answer := s.store.Finish(now, next.Ticket, next.ID, outcome)
		if retry != nil {
			s.mu.Unlock()
			i.ports.Metrics.Retried(outcome.Code)
			next = retry
			continue
		}
		i.finishOrder(s, next.Ticket, answer)
		s.mu.Unlock()
		return
	}
}

// finishOrder passes the answer to all submissions that wait for the order. It must
// be called with s.mu locked.
func (i *Instance) finishOrder(s *ticketStripe, ticket model.AttemptID, answer *port.OrderAnswer) {
	s.running--
	if answer == nil {
		i.invariantBroken("order_attempt_is_current", event.Fields{"ticket": ticket.String()})
		return
	}
	if answer.Ran == model.RunUnknown {
		i.logWarn(event.OrderUnknown, event.Fields{"ticket": ticket.String()}, "the outcome of an order is unknown")
	}
	for _, w := range s.waiters[ticket] {
		w <- *answer
	}
	delete(s.waiters, ticket)
}

// sendOrderAttempt sends one attempt to a home of the order's group: the first in
// rendezvous order that is not in tried, or the first if all are. It returns the
// outcome and the home's id, which is empty if the attempt was not sent.
func (i *Instance) sendOrderAttempt(a order.Attempt, tried []model.InstanceID) (order.Outcome, model.InstanceID) {
	now := i.now()
	doc := i.document(a.Sub.Service)
	req, err := i.orderRequest(now, doc, a)
	if err != nil {
		return order.Outcome{Code: result.CodeOf(err), Ran: model.NotRun}, ""
	}
	home, ok := i.pickHome(now, doc, req.Group.Index, tried)
	if !ok {
		return order.Outcome{Code: result.PeerUnreachable, Ran: model.NotRun}, ""
	}
	req.TargetBoot = home.Boot
	ctx, cancel := context.WithDeadline(i.lifecycle.context(), a.Deadline)
	defer cancel()
	answer, err := i.callHome(ctx, home.ID, req)
	return orderOutcome(req, answer, err), home.ID
}

// orderOutcome maps a home's answer to an order's outcome. The outcome is unknown
// unless the answer proves that the order ran or did not run.
func orderOutcome(req model.GroupRequest, answer model.GroupAnswer, err error) order.Outcome {
	switch {
	case result.CodeOf(err) == result.PeerUnreachable:
		return order.Outcome{Code: result.PeerUnreachable, Ran: model.NotRun}
	case err != nil || answer.ID != req.ID || answer.Code == result.DuplicateAttempt:
		// A home that refuses a duplicate does not say whether the original ran.
		return order.Outcome{Code: result.OutcomeUnknown, Ran: model.RunUnknown}
	case answer.Code != result.OK:
		return order.Outcome{Code: answer.Code, Ran: model.NotRun, RetryAfter: answer.RetryAfter}
	case len(answer.Outcomes) != 1 || answer.Outcomes[0].Shard != req.Shards[0]:
		return order.Outcome{Code: result.OutcomeUnknown, Ran: model.RunUnknown}
	}
	o := answer.Outcomes[0]
	return order.Outcome{Code: o.Code, Ran: o.Ran, Result: o.Result, Snapshot: answer.Snapshot, RetryAfter: answer.RetryAfter}
}

func (i *Instance) orderRequest(now time.Time, doc *document.Document, a order.Attempt) (model.GroupRequest, error) {
	sub := a.Sub
	if err := i.checkOrderOperation(sub.Service, sub.Operation); err != nil {
		return model.GroupRequest{}, err
	}
	if doc.PriorityIndex(sub.Priority) < 0 {
		return model.GroupRequest{}, result.Errorf(result.UnknownPriority, "service %s has no priority %q", sub.Service, sub.Priority)
	}
	fingerprint := quarantine.Fingerprint(sub.Service, sub.Operation, sub.Payload)
	if i.quarantine.Blocked(now, fingerprint) {
		return model.GroupRequest{}, result.Errorf(result.Quarantined, "the request has crashed upstreams and is refused")
	}
	snapshot := doc.Newest()
	group, ok := doc.ShardGroups(snapshot)[sub.Shard]
	if !ok {
		return model.GroupRequest{}, result.Errorf(result.UnknownShard, "snapshot %s has no shard %q", snapshot.ID, sub.Shard)
	}
	return model.GroupRequest{
		ID:            a.ID,
		Group:         model.GroupKey{Service: doc.Service, Index: group},
		Revision:      doc.Revision,
		Operation:     sub.Operation,
		Priority:      sub.Priority,
		Caller:        sub.Caller,
		Payload:       sub.Payload,
		Fingerprint:   fingerprint,
		Snapshot:      snapshot.ID,
		Shards:        []model.ShardID{sub.Shard},
		LeastShards:   1,
		Deadline:      a.Deadline,
		NonIdempotent: true,
		OrderKey:      a.Key,
	}, nil
}
