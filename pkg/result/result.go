// Package result defines the numbered result codes that callers, peers and
// operators see, and the error type that carries them.
package result

import (
	"github.com/ansel1/merry/v2"
)

// Code is a numbered result. Numbers are part of the public interface and are
// never reused. docs/result-codes.md lists them.
type Code int

// Result codes. The first digit is the class: 1 success, 2 bad input, 3 the request
// was refused before it ran, 4 the request failed while or after it ran, 5 a fault
// inside the system.
const (
	OK             Code = 1000
	PartialAnswer  Code = 1001
	ReplayedAnswer Code = 1002

	BadRequest          Code = 2000
	UnknownService      Code = 2001
	UnknownOperation    Code = 2002
	UnknownPriority     Code = 2003
	UnknownShard        Code = 2004
	BodyTooLarge        Code = 2005
	TicketRequired      Code = 2006
	NotIdempotent       Code = 2007
	InvalidDocument     Code = 2008
	TicketMismatch      Code = 2009
	OrderNeedsOneShard  Code = 2010
	DeadlineOutOfBounds Code = 2011
	UnknownRoute        Code = 2012

	Overloaded           Code = 3000
	DeadlineTooShort     Code = 3001
	DeadlineExceeded     Code = 3002
	CallerLimit          Code = 3003
	Quarantined          Code = 3004
	NotReady             Code = 3005
	Leaving              Code = 3006
	JustResumed          Code = 3007
	WrongIncarnation     Code = 3008
	DuplicateAttempt     Code = 3009
	TicketLimit          Code = 3010
	NoUpstream           Code = 3011
	SnapshotMissing      Code = 3012
	UpstreamShed         Code = 3013
	UpstreamDraining     Code = 3014
	ConnectFailed        Code = 3015
	CoverageUnreachable  Code = 3016
	PeerUnreachable      Code = 3017
	IsolationPending     Code = 3018
	StaleGroup           Code = 3019
	NotHomeCandidate     Code = 3020
	ConcurrencyLimit     Code = 3021
	TicketExpiredUnused  Code = 3022
	Cancelled            Code = 3023
	ConnectionLimit      Code = 3024
	RetryBudgetExhausted Code = 3025
	UpstreamRateLimited  Code = 3026
	Evacuated            Code = 3030
	BodyMemoryFull       Code = 3031

	UpstreamFailed    Code = 4000
	UpstreamLost      Code = 4001
	OutcomeUnknown    Code = 4002
	NoAnswerInTime    Code = 4003
	AnswerMismatch    Code = 4004
	PeerLost          Code = 4005
	TicketUnknown     Code = 4006
	CancelledWhileRun Code = 4007
	CoverageTooLow    Code = 4008

	Internal           Code = 5000
	InvariantViolation Code = 5001
)

var codeNames = map[Code]string{
	OK:                   "ok",
	PartialAnswer:        "partial_answer",
	ReplayedAnswer:       "replayed_answer",
	BadRequest:           "bad_request",
	UnknownService:       "unknown_service",
	UnknownOperation:     "unknown_operation",
	UnknownPriority:      "unknown_priority",
	UnknownShard:         "unknown_shard",
	BodyTooLarge:         "body_too_large",
	TicketRequired:       "ticket_required",
	NotIdempotent:        "not_idempotent",
	InvalidDocument:      "invalid_document",
	TicketMismatch:       "ticket_mismatch",
	OrderNeedsOneShard:   "order_needs_one_shard",
	DeadlineOutOfBounds:  "deadline_out_of_bounds",
	UnknownRoute:         "unknown_route",
	Overloaded:           "overloaded",
	DeadlineTooShort:     "deadline_too_short",
	DeadlineExceeded:     "deadline_exceeded",
	CallerLimit:          "caller_limit",
	Quarantined:          "quarantined",
	NotReady:             "not_ready",
	Leaving:              "leaving",
	JustResumed:          "just_resumed",
	WrongIncarnation:     "wrong_incarnation",
	DuplicateAttempt:     "duplicate_attempt",
	TicketLimit:          "ticket_limit",
	NoUpstream:           "no_upstream",
	SnapshotMissing:      "snapshot_missing",
	UpstreamShed:         "upstream_shed",
	UpstreamDraining:     "upstream_draining",
	ConnectFailed:        "connect_failed",
	CoverageUnreachable:  "coverage_unreachable",
	PeerUnreachable:      "peer_unreachable",
	IsolationPending:     "isolation_pending",
	StaleGroup:           "stale_group",
	NotHomeCandidate:     "not_home_candidate",
	ConcurrencyLimit:     "concurrency_limit",
	TicketExpiredUnused:  "ticket_expired_unused",
	Cancelled:            "cancelled",
	ConnectionLimit:      "connection_limit",
	RetryBudgetExhausted: "retry_budget_exhausted",
	UpstreamRateLimited:  "upstream_rate_limited",
	Evacuated:            "evacuated",
	BodyMemoryFull:       "body_memory_full",
	UpstreamFailed:       "upstream_failed",
	UpstreamLost:         "upstream_lost",
	OutcomeUnknown:       "outcome_unknown",
	NoAnswerInTime:       "no_answer_in_time",
	AnswerMismatch:       "answer_mismatch",
	PeerLost:             "peer_lost",
	TicketUnknown:        "ticket_unknown",
	CancelledWhileRun:    "cancelled_while_run",
	CoverageTooLow:       "coverage_too_low",
	Internal:             "internal",
	InvariantViolation:   "invariant_violation",
}

// String returns the code's name as used in metrics, logs and answers.
func (c Code) String() string {
	if n, ok := codeNames[c]; ok {
		return n
	}
	return "undefined"
}

// FromName returns the code with the given name, or Internal if no code has it.
func FromName(name string) Code {
	for c, n := range codeNames {
		if n == name {
			return c
		}
	}
	return Internal
}

// Codes returns all defined codes with their names.
func Codes() map[Code]string {
	out := make(map[Code]string, len(codeNames))
	for c, n := range codeNames {
		out[c] = n
	}
	return out
}

// codeKey is the key under which an error carries its code.
type codeKey struct{}

// Errorf returns an error that carries the code and has the formatted text.
func Errorf(code Code, format string, args ...any) error {
	return merry.Wrap(merry.Errorf(format, args...), merry.WithValue(codeKey{}, code))
}

// Wrap returns err with the code attached, or nil if err is nil.
func Wrap(code Code, err error) error {
	return merry.Wrap(err, merry.WithValue(codeKey{}, code))
}

// CodeOf returns the code that err carries, OK for nil, and Internal for an
// error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	if c, ok := merry.Value(err, codeKey{}).(Code); ok {
		return c
	}
	return Internal
}
