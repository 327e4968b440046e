package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// Action is an effect that the driver must carry out, in the returned order.
type Action interface{ isAction() }

// Start asks the driver to send an attempt to an upstream. The driver must call
// Finish exactly once for each Start, also for an attempt that a Stop has
// cancelled.
type Start struct {
	Call port.UpstreamCall
	// Hedge is true for a second attempt that starts while the first is
	// running.
	Hedge bool
	// Retry is true for an attempt that repeats a failed one.
	Retry bool
	// Reason is the reason for the attempt, as shown in logs.
	Reason string
}

// Stop asks the driver to cancel a running attempt.
type Stop struct{ Attempt model.AttemptID }

// Done carries the answer to a submitted request. A Done with the code
// DuplicateAttempt belongs to the Submit call that returned it and not to the
// earlier request with the same id.
type Done struct{ Answer model.GroupAnswer }

// QuarantineAdd reports the fingerprint of a request that crashed an upstream
// while it ran there alone, and the time until which the fingerprint is
// refused.
type QuarantineAdd struct {
	Fingerprint model.Fingerprint
	Service     string
	Until       time.Time
}

// CountName is the name of a counter.
type CountName string

// Names of counters.
const (
	CountRefused        CountName = "refused"
	CountRetried        CountName = "retried"
	CountRetryDenied    CountName = "retry_denied"
	CountHedged         CountName = "hedged"
	CountHedgeDenied    CountName = "hedge_denied"
	CountHedgeWon       CountName = "hedge_won"
	CountAnswerMismatch CountName = "answer_mismatch"
	CountUnknownAttempt CountName = "unknown_attempt"
	CountProbe          CountName = "probe"
	CountSuspect        CountName = "suspect"
	CountSuspectCleared CountName = "suspect_cleared"
	CountShardFailed    CountName = "shard_failed"
)

// Count asks the driver to increment a counter by one.
type Count struct {
	Name CountName
	// Priority is the name of the request's priority, or empty.
	Priority string
	// Reason is the label of the increment, or empty: the name of a result
	// code, of an upstream state or of the rule that denied a retry or a hedge.
	Reason string
}

// Broken reports an internal invariant that does not hold.
type Broken struct{ Invariant string }

// UpstreamState is the state of an upstream as shown in logs and in the status.
type UpstreamState string

// Upstream states.
const (
	// StateActive is the normal state.
	StateActive UpstreamState = "active"
	// StateCold means that the concurrency limit is still being raised after
	// the upstream started or came back into use.
	StateCold UpstreamState = "cold"
	// StateDegraded means that the upstream is much slower than its group.
	StateDegraded UpstreamState = "degraded"
	// StateEjected means that the circuit breaker is open.
	StateEjected UpstreamState = "ejected"
	// StateDraining means that the upstream reported that it is draining.
	StateDraining UpstreamState = "draining"
	// StateLeaving means that the platform's list marks the upstream as leaving.
	StateLeaving UpstreamState = "leaving"
)

// UpstreamChange reports that an upstream has entered a new state.
type UpstreamChange struct {
	Upstream string
	State    UpstreamState
}

func (Start) isAction()          {}
func (Stop) isAction()           {}
func (Done) isAction()           {}
func (QuarantineAdd) isAction()  {}
func (Count) isAction()          {}
func (Broken) isAction()         {}
func (UpstreamChange) isAction() {}
