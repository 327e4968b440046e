// Package order stores the order tickets that this process issued and decides
// whether a submission starts its order. An order is a request that is not
// idempotent and must not run twice. Its ticket is bound to the memory of the
// process that issued it: only this process can start the order, and it starts
// another attempt only after proof that the earlier attempt did not run. When
// the process ends, its tickets become void.
//
// The answer that refuses an order carries a ticket of the next generation.
// From then on, only this new ticket can start the order. A delayed or
// duplicated message with the refused ticket therefore never runs an order
// after its caller was told that it did not run.
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
	// DefaultValidity is the validity of a ticket if the caller requests none.
	DefaultValidity = 30 * time.Second
	// MaxValidity is the longest validity of a ticket, which bounds how long
	// its record is kept in memory.
	MaxValidity = 10 * time.Minute
	// maxAttempts limits the upstream attempts per generation of a ticket. Each
	// attempt after the first follows proof that the previous one did not run.
	maxAttempts = 3
	// maxGeneration limits how often a refused order can be submitted again.
	maxGeneration = math.MaxUint16
	// runningRecheckDelay is the delay after which Expire checks a ticket again
	// that expired while its order was running.
	runningRecheckDelay = time.Second
	// limitRetryDelay is the least delay after which callers are told to retry
	// when the ticket limit is reached.
	limitRetryDelay = 2 * time.Second
)

// State is the state of a ticket.
type State int

// States of a ticket. Done, Unknown and Refused are final. When an order is
// refused, its ticket normally returns to Issued with the next generation. It
// becomes Refused if it expired unused or has reached maxGeneration.
const (
	Issued State = iota
	Running
	Done
	Unknown
	Refused
)

// Config holds the identity and limits of a TicketStore.
type Config struct {
	Owner    model.InstanceID
	Boot     model.BootID
	Capacity int
	NewID    func() model.AttemptID
	Rand     *rand.Rand
}

// Spec describes the order that a ticket is issued for.
type Spec struct {
	Service   string
	Operation string
	Caller    model.CallerID
	// Key is the caller's own identifier of the order.
	Key      string
	Validity time.Duration
}

type record struct {
	spec    Spec
	expires time.Time
	state   State
	// contentHash is the hash of the first submission that started the order;
	// later submissions must have the same hash.
	contentHash    uint64
	submitted      bool // True once contentHash is set.
	currentAttempt model.AttemptID
	attempts       int // The attempts of the current generation.
	// generation is the generation of the ticket that can start the order now.
	generation uint16
	sub        port.OrderSubmission
	answer     port.OrderAnswer
}

// TicketStore holds the tickets of one run of the process. It is not safe for
// concurrent use.
type TicketStore struct {
	cfg     Config
	records map[model.AttemptID]*record
	expiry  expiryQueue
}

// NewTicketStore returns an empty store.
func NewTicketStore(cfg Config) *TicketStore {
	return &TicketStore{cfg: cfg, records: make(map[model.AttemptID]*record), expiry: newExpiryQueue()}
}

// Len returns the number of tickets in memory.
func (s *TicketStore) Len() int { return len(s.records) }

// Ticket identifies an order. Its text form contains the address of its owner,
// the instance that issued it.
type Ticket struct {
	Owner model.InstanceID
	Boot  model.BootID
	ID    model.AttemptID
	// Generation is the number of times that the order was refused before this
	// ticket was issued.
	Generation uint16
}

// ticketHeaderBytes is the size of a ticket's binary form without the owner:
// boot id, ticket id and generation.
const ticketHeaderBytes = 8 + 16 + 2

// String returns the text form that callers receive.
func (t Ticket) String() string {
	raw := binary.BigEndian.AppendUint64(nil, uint64(t.Boot))
	raw = append(raw, t.ID[:]...)
	raw = binary.BigEndian.AppendUint16(raw, t.Generation)
	raw = append(raw, t.Owner...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ParseTicket parses the text form of a ticket.
func ParseTicket(s string) (Ticket, error) {
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimSpace(s))
	if err != nil || len(raw) <= ticketHeaderBytes || len(raw) > ticketHeaderBytes+64 {
		return Ticket{}, result.Errorf(result.BadRequest, "the ticket is malformed")
	}
	t := Ticket{
		Owner:      model.InstanceID(raw[ticketHeaderBytes:]),
		Boot:       model.BootID(binary.BigEndian.Uint64(raw)),
		Generation: binary.BigEndian.Uint16(raw[8+16:]),
	}
	copy(t.ID[:], raw[8:])
	return t, nil
}

// Issue returns a new ticket and its expiry time. When the store is full, it
// returns an error rather than drop an older ticket, because a dropped ticket
// could no longer prove whether its order ran.
func (s *TicketStore) Issue(now time.Time, spec Spec) (Ticket, time.Time, error) {
	if len(s.records) >= s.cfg.Capacity {
		s.Expire(now)
	}
	if len(s.records) >= s.cfg.Capacity {
		return Ticket{}, time.Time{}, result.Errorf(result.TicketLimit, "%d tickets are in use", len(s.records))
	}
	if spec.Validity <= 0 {
		spec.Validity = DefaultValidity
	}
	spec.Validity = min(spec.Validity, MaxValidity)
	t := Ticket{Owner: s.cfg.Owner, Boot: s.cfg.Boot, ID: s.cfg.NewID()}
	r := &record{spec: spec, expires: now.Add(spec.Validity)}
	s.records[t.ID] = r
	s.expiry.add(r.expires, t.ID)
	return t, r.expires, nil
}

// Outstanding reports whether the order of any ticket is running or can still
// be started. A planned stop waits for such tickets, because they become void
// when the process ends.
func (s *TicketStore) Outstanding(now time.Time) bool {
	for _, r := range s.records {
		if r.state == Running || r.state == Issued && now.Before(r.expires) {
			return true
		}
	}
	return false
}

// RetryDelay returns a retry delay with jitter for callers that were refused a
// ticket.
func (s *TicketStore) RetryDelay() time.Duration {
	return limitRetryDelay + time.Duration(s.cfg.Rand.Int64N(int64(limitRetryDelay)))
}

// Expire removes expired tickets whose orders are not running. A later
// submission of a removed ticket is answered with result.TicketUnknown.
func (s *TicketStore) Expire(now time.Time) {
	for id, ok := s.expiry.popDue(now); ok; id, ok = s.expiry.popDue(now) {
		if s.records[id].state == Running {
			s.expiry.add(now.Add(runningRecheckDelay), id)
			continue
		}
		delete(s.records, id)
	}
}

// Decision says how to handle a submission. Exactly one of the fields is set.
type Decision struct {
	// Start is the attempt to send.
	Start *Attempt
	// Join is true if the order is running already and the submission must wait
	// for its outcome.
	Join bool
	// Answer is the answer, if it is known at once.
	Answer *port.OrderAnswer
}

// Attempt is one attempt to run an order in the scheduling group of its shard.
type Attempt struct {
	Ticket   model.AttemptID
	ID       model.AttemptID
	Key      string
	Sub      port.OrderSubmission
	Deadline time.Time
}

// Submit decides how to handle a submission of a ticket. A submission of a
// ticket of an earlier generation starts nothing and only gets the order's
// outcome.
func (s *TicketStore) Submit(now time.Time, t Ticket, sub port.OrderSubmission) Decision {
	r := s.records[t.ID]
	if t.Boot != s.cfg.Boot || r == nil || t.Generation > r.generation {
		return answerDecision(port.OrderAnswer{Code: result.TicketUnknown, Ran: model.RunUnknown})
	}
	if d, refused := r.checkSubmission(sub); refused {
		return d
	}
	switch r.state {
	case Running:
		return Decision{Join: true}
	case Done, Unknown, Refused:
		return r.replayAnswer()
	}
	if t.Generation < r.generation {
		return r.replayAnswer()
	}
	if !now.Before(r.expires) {
		r.state = Refused
		r.answer = port.OrderAnswer{Code: result.TicketExpiredUnused, Ran: model.NotRun}
		return answerDecision(r.answer)
	}
	if !sub.Deadline.After(now) {
		s.refuse(t.ID, r, port.OrderAnswer{Code: result.DeadlineExceeded, Ran: model.NotRun})
		return answerDecision(r.answer)
	}
	r.recordSubmission(sub)
	return Decision{Start: s.start(t.ID, r)}
}

// refuse ends the current generation of the ticket with an answer. Unless
// maxGeneration is reached, the answer contains the ticket of the next
// generation, which can then start the order.
func (s *TicketStore) refuse(ticket model.AttemptID, r *record, answer port.OrderAnswer) {
	r.state = Refused
	if r.generation < maxGeneration {
		r.state = Issued
		r.generation++
		next := Ticket{Owner: s.cfg.Owner, Boot: s.cfg.Boot, ID: ticket, Generation: r.generation}
		answer.NextTicket = next.String()
	}
	r.answer = answer
}

// replayAnswer returns the recorded answer, marked as replayed.
func (r *record) replayAnswer() Decision {
	recorded := r.answer
	recorded.Replayed = true
	return answerDecision(recorded)
}

func answerDecision(a port.OrderAnswer) Decision { return Decision{Answer: &a} }

// checkSubmission refuses a submission whose service or operation is not the one
// that the ticket was issued for, or whose content differs from that of the
// submission that first started the order, because it would run a different
// order.
func (r *record) checkSubmission(sub port.OrderSubmission) (Decision, bool) {
	mismatch := sub.Service != r.spec.Service || sub.Operation != r.spec.Operation
	if r.submitted && contentHash(sub) != r.contentHash {
		mismatch = true
	}
	if !mismatch {
		return Decision{}, false
	}
	return answerDecision(port.OrderAnswer{Code: result.TicketMismatch, Ran: model.NotRun}), true
}

func (r *record) recordSubmission(sub port.OrderSubmission) {
	r.contentHash = contentHash(sub)
	r.submitted = true
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

func (s *TicketStore) start(ticket model.AttemptID, r *record) *Attempt {
	r.state = Running
	r.attempts++
	r.currentAttempt = s.cfg.NewID()
	key := r.spec.Key
	if key == "" {
		key = ticket.String()
	}
	deadline := r.sub.Deadline
	if r.expires.Before(deadline) {
		deadline = r.expires
	}
	return &Attempt{Ticket: ticket, ID: r.currentAttempt, Key: key, Sub: r.sub, Deadline: deadline}
}

// Outcome is the result of an attempt.
type Outcome struct {
	Code       result.Code
	Ran        model.RunState
	Result     json.RawMessage
	Snapshot   model.SnapshotID
	RetryAfter time.Duration
}

// Finish records the outcome of an attempt. It returns the next attempt to
// send, or the answer for all submissions that wait for the order. It ignores
// outcomes of attempts other than the current one and then returns neither.
func (s *TicketStore) Finish(now time.Time, ticket, attempt model.AttemptID, o Outcome) (*Attempt, *port.OrderAnswer) {
	r := s.records[ticket]
	if r == nil || r.state != Running || r.currentAttempt != attempt {
		return nil, nil
	}
	if o.Ran == model.NotRun && r.mayRetry(now, o.Code) {
		return s.start(ticket, r), nil
	}
	answer := port.OrderAnswer{Code: o.Code, Ran: o.Ran, Result: o.Result, Snapshot: o.Snapshot, RetryAfter: o.RetryAfter}
	switch o.Ran {
	case model.NotRun:
		s.refuse(ticket, r, answer)
	case model.Ran:
		r.state, r.answer = Done, answer
	default:
		answer.Code = result.OutcomeUnknown
		r.state, r.answer = Unknown, answer
	}
	// A finished or refused order needs only the hash of its submission.
	r.sub = port.OrderSubmission{}
	answer = r.answer
	return nil, &answer
}

func (r *record) mayRetry(now time.Time, code result.Code) bool {
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
