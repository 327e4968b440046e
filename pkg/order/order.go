// Package order keeps the order tickets that this process issued. A ticket
// binds a non-idempotent request to the memory of one process: only that
// process can start it, and it starts it again only after proof that the
// earlier attempt did not run. When the process is lost, the ticket is void.
//
// A refused order gets a ticket of the next generation, and only that one can
// start it. A message with the refused ticket that is still under way, or a
// copy of one, therefore never runs an order after its caller was told that it
// did not run.
package order

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// DefaultValidity is how long a ticket lasts when the caller names no time.
	DefaultValidity = 30 * time.Second
	// MaxValidity bounds how long a record is kept in memory.
	MaxValidity = 10 * time.Minute
	// maxAttempts bounds upstream attempts per generation of a ticket; each but
	// the first follows proof that the one before did not run.
	maxAttempts = 3
	// maxGeneration bounds how often a refused order can be sent again.
	maxGeneration = math.MaxUint16
	// runningRecheck is when a ticket that expired while its order runs is
	// looked at again.
	runningRecheck = time.Second
	// limitRetryDelay is suggested to callers when no ticket is free.
	limitRetryDelay = 2 * time.Second
)

// State is the state of a ticket.
type State int

// States of a ticket. Done, Unknown and Refused are final.
const (
	Issued State = iota
	Running
	Done
	Unknown
	Refused
)

// Config holds the identity and limits of a Book.
type Config struct {
	Owner    model.InstanceID
	Boot     model.BootID
	Capacity int
	NewID    func() model.AttemptID
	Rand     *rand.Rand
}

// Spec is what a ticket is issued for.
type Spec struct {
	Service   string
	Operation string
	Caller    model.CallerID
	// Key is the caller's own name for the order.
	Key      string
	Validity time.Duration
}

type record struct {
	spec    Spec
	expires time.Time
	state   State
	// content is the hash of the first submission; later ones must match.
	content  uint64
	bound    bool
	attempt  model.AttemptID
	attempts int
	// generation is that of the ticket that can start the order now.
	generation uint16
	sub        port.OrderSubmission
	answer     port.OrderAnswer
}

// TicketStore holds the tickets of one process run. It is not safe for concurrent
// use.
type TicketStore struct {
	cfg     Config
	records map[model.AttemptID]*record
	expiry  expiryQueue
}

// NewTicketStore returns an empty book.
func NewTicketStore(cfg Config) *TicketStore {
	return &TicketStore{cfg: cfg, records: make(map[model.AttemptID]*record), expiry: newExpiryQueue()}
}

// Len returns the number of tickets in memory.
func (b *TicketStore) Len() int { return len(b.records) }

// Ticket names an order. Its text form carries the address of its owner.
type Ticket struct {
	Owner model.InstanceID
	Boot  model.BootID
	ID    model.AttemptID
	// Generation counts the refusals of the order.
	Generation uint16
}

// ticketHeader is the size of a ticket's binary form without the owner.
const ticketHeader = 8 + 16 + 2

// String returns the text form given to callers.
func (t Ticket) String() string {
	raw := binary.BigEndian.AppendUint64(nil, uint64(t.Boot))
	raw = append(raw, t.ID[:]...)
	raw = binary.BigEndian.AppendUint16(raw, t.Generation)
	raw = append(raw, t.Owner...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ParseTicket parses the text form.
func ParseTicket(s string) (Ticket, error) {
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimSpace(s))
	if err != nil || len(raw) <= ticketHeader || len(raw) > ticketHeader+64 {
		return Ticket{}, result.Errorf(result.BadRequest, "the ticket is malformed")
	}
	t := Ticket{
		Owner:      model.InstanceID(raw[ticketHeader:]),
		Boot:       model.BootID(binary.BigEndian.Uint64(raw)),
		Generation: binary.BigEndian.Uint16(raw[8+16:]),
	}
	copy(t.ID[:], raw[8:])
	return t, nil
}

// Issue returns a new ticket. At the capacity it refuses rather than forget an
// older ticket, because a forgotten ticket could no longer prove what ran.
func (b *TicketStore) Issue(now time.Time, spec Spec) (Ticket, time.Time, error) {
	if len(b.records) >= b.cfg.Capacity {
		b.Expire(now)
	}
	if len(b.records) >= b.cfg.Capacity {
		return Ticket{}, time.Time{}, result.Errorf(result.TicketLimit, "%d tickets are in use", len(b.records))
	}
	if spec.Validity <= 0 {
		spec.Validity = DefaultValidity
	}
	spec.Validity = min(spec.Validity, MaxValidity)
	t := Ticket{Owner: b.cfg.Owner, Boot: b.cfg.Boot, ID: b.cfg.NewID()}
	r := &record{spec: spec, expires: now.Add(spec.Validity)}
	b.records[t.ID] = r
	b.expiry.add(r.expires, t.ID)
	return t, r.expires, nil
}

// Outstanding reports whether a ticket may still be used for the first time or
// is running. A planned stop waits for such tickets, because they become void
// with the process.
func (b *TicketStore) Outstanding(now time.Time) bool {
	for _, r := range b.records {
		if r.state == Running || r.state == Issued && now.Before(r.expires) {
			return true
		}
	}
	return false
}

// RetryDelay returns a delay with jitter for callers that were refused a
// ticket.
func (b *TicketStore) RetryDelay() time.Duration {
	return limitRetryDelay + time.Duration(b.cfg.Rand.Int64N(int64(limitRetryDelay)))
}

// Expire drops tickets that have expired and are not running. A submission of
// a dropped ticket is answered as unknown.
func (b *TicketStore) Expire(now time.Time) {
	for id, ok := b.expiry.due(now); ok; id, ok = b.expiry.due(now) {
		if b.records[id].state == Running {
			b.expiry.add(now.Add(runningRecheck), id)
			continue
		}
		delete(b.records, id)
	}
}

// Decision says how a submission continues. Exactly one of the fields applies.
type Decision struct {
	// Start is set when an attempt must be sent.
	Start *Attempt
	// Join is true when the order is running and its outcome must be awaited.
	Join bool
	// Answer is set when the outcome is known at once.
	Answer *port.OrderAnswer
}

// Attempt is one attempt of an order on the scheduling group of its shard.
type Attempt struct {
	Ticket   model.AttemptID
	ID       model.AttemptID
	Key      string
	Sub      port.OrderSubmission
	Deadline time.Time
}

// Submit decides on a submission of a ticket of this book. A ticket of an
// earlier generation learns the order's outcome and starts nothing.
func (b *TicketStore) Submit(now time.Time, t Ticket, sub port.OrderSubmission) Decision {
	r := b.records[t.ID]
	if t.Boot != b.cfg.Boot || r == nil || t.Generation > r.generation {
		return answered(port.OrderAnswer{Code: result.TicketUnknown, Ran: model.RunUnknown})
	}
	if d, refused := r.checkSubmission(sub); refused {
		return d
	}
	switch r.state {
	case Running:
		return Decision{Join: true}
	case Done, Unknown, Refused:
		return r.replay()
	}
	if t.Generation < r.generation {
		return r.replay()
	}
	if !now.Before(r.expires) {
		r.state = Refused
		r.answer = port.OrderAnswer{Code: result.TicketExpiredUnused, Ran: model.NotRun}
		return answered(r.answer)
	}
	if !sub.Deadline.After(now) {
		b.refuse(t.ID, r, port.OrderAnswer{Code: result.DeadlineExceeded, Ran: model.NotRun})
		return answered(r.answer)
	}
	r.bind(sub)
	return Decision{Start: b.start(t.ID, r)}
}

// refuse ends a generation of the ticket with an answer that names the ticket
// of the next one.
func (b *TicketStore) refuse(ticket model.AttemptID, r *record, answer port.OrderAnswer) {
	r.state = Refused
	if r.generation < maxGeneration {
		r.state = Issued
		r.generation++
		next := Ticket{Owner: b.cfg.Owner, Boot: b.cfg.Boot, ID: ticket, Generation: r.generation}
		answer.NextTicket = next.String()
	}
	r.answer = answer
}

func (r *record) replay() Decision {
	recorded := r.answer
	recorded.Replayed = true
	return answered(recorded)
}

func answered(a port.OrderAnswer) Decision { return Decision{Answer: &a} }

// checkSubmission refuses a submission that differs from what the ticket was
// issued for or first used for: running it would be another order.
func (r *record) checkSubmission(sub port.OrderSubmission) (Decision, bool) {
	mismatch := sub.Service != r.spec.Service || sub.Operation != r.spec.Operation
	if r.bound && contentHash(sub) != r.content {
		mismatch = true
	}
	if !mismatch {
		return Decision{}, false
	}
	return answered(port.OrderAnswer{Code: result.TicketMismatch, Ran: model.NotRun}), true
}

func (r *record) bind(sub port.OrderSubmission) {
	r.content = contentHash(sub)
	r.bound = true
	r.sub = sub
	r.attempts = 0
}

func contentHash(sub port.OrderSubmission) uint64 {
	h := xxhash.New()
	var size [8]byte
	for _, field := range [][]byte{[]byte(sub.Service), []byte(sub.Operation), []byte(sub.Shard), sub.Payload} {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(field)
	}
	return h.Sum64()
}

func (b *TicketStore) start(ticket model.AttemptID, r *record) *Attempt {
	r.state = Running
	r.attempts++
	r.attempt = b.cfg.NewID()
	key := r.spec.Key
	if key == "" {
		key = ticket.String()
	}
	deadline := r.sub.Deadline
	if r.expires.Before(deadline) {
		deadline = r.expires
	}
	return &Attempt{Ticket: ticket, ID: r.attempt, Key: key, Sub: r.sub, Deadline: deadline}
}

// Outcome is how an attempt ended.
type Outcome struct {
	Code       result.Code
	Ran        model.RunState
	Result     json.RawMessage
	Snapshot   model.SnapshotID
	RetryAfter time.Duration
}

// Finish takes the outcome of an attempt. It returns the next attempt, or the
// answer for all who wait. Outcomes of other than the current attempt are
// ignored and return neither.
func (b *TicketStore) Finish(now time.Time, ticket, attempt model.AttemptID, o Outcome) (*Attempt, *port.OrderAnswer) {
	r := b.records[ticket]
	if r == nil || r.state != Running || r.attempt != attempt {
		return nil, nil
	}
	if o.Ran == model.NotRun && r.mayTryAgain(now, o.Code) {
		return b.start(ticket, r), nil
	}
	answer := port.OrderAnswer{Code: o.Code, Ran: o.Ran, Result: o.Result, Snapshot: o.Snapshot, RetryAfter: o.RetryAfter}
	switch o.Ran {
	case model.NotRun:
		b.refuse(ticket, r, answer)
	case model.Ran:
		r.state, r.answer = Done, answer
	default:
		answer.Code = result.OutcomeUnknown
		r.state, r.answer = Unknown, answer
	}
	// Only the hash of the content is needed from here on.
	r.sub = port.OrderSubmission{}
	answer = r.answer
	return nil, &answer
}

func (r *record) mayTryAgain(now time.Time, code result.Code) bool {
	if r.attempts >= maxAttempts || !now.Before(r.sub.Deadline) || !now.Before(r.expires) {
		return false
	}
	switch code {
	case result.Leaving, result.JustResumed, result.NotReady, result.PeerUnreachable,
		result.WrongIncarnation, result.StaleGroup, result.NotHomeCandidate,
		result.UpstreamDraining, result.ConnectFailed, result.SnapshotMissing:
		return true
	default:
		return false
	}
}
