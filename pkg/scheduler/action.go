package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// Action is something that the driver must do, in the returned order.
type Action interface{ isAction() }

// Start asks the driver to run an attempt. The driver calls Finish exactly
// once for each Start, also for attempts that it stopped.
type Start struct {
	Call port.UpstreamCall
	// Hedge is true for a second attempt while the first is still running.
	Hedge bool
	// Retry is true for an attempt after a failed one.
	Retry bool
	// Reason says why the attempt was started, for logs.
	Reason string
}

// Stop asks the driver to cancel a running attempt.
type Stop struct{ Attempt model.AttemptID }

// Done carries the answer to a submitted request. A Done with the code
// DuplicateAttempt belongs to the Submit call that returned it and not to the
// earlier request with the same id.
type Done struct{ Answer model.GroupAnswer }

// QuarantineAdd reports a request that is confirmed to crash upstreams.
type QuarantineAdd struct {
	Fingerprint model.Fingerprint
	Service     string
	Until       time.Time
}

// CountName names a counter event.
type CountName string

// Counter events.
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

// Count is one counter event with its tags.
type Count struct {
	Name CountName
	// Priority is the request's priority, or empty.
	Priority string
	// Reason is the name of a result code or of a rule, or empty.
	Reason string
}

// Broken reports an invariant that does not hold.
type Broken struct{ Invariant string }

// UpstreamState is the state of an upstream as shown in logs and the status.
type UpstreamState string

// Upstream states.
const (
	StateActive   UpstreamState = "active"
	StateCold     UpstreamState = "cold"
	StateDegraded UpstreamState = "degraded"
	StateEjected  UpstreamState = "ejected"
	StateDraining UpstreamState = "draining"
	StateLeaving  UpstreamState = "leaving"
)

// UpstreamChange reports that an upstream changed its state.
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
