package scheduler

import (
	"encoding/json"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// request is an admitted group request, from its admission to its answer.
type request struct {
	req model.GroupRequest
	// seq is the admission number, which orders requests by age.
	seq  uint64
	prio *priority
	// callerQueue holds the request until its first attempt starts; then it is nil.
	callerQueue *callerQueue
	op          *operationStats
	parts       []*part
	// waitingParts is the number of parts that wait for a slot, and
	// unfinishedParts the number of parts without an outcome.
	waitingParts    int
	unfinishedParts int
	// started is true once any attempt was started.
	started bool
	done    bool
	// inActiveList is true while the request is in the active list of its
	// priority.
	inActiveList bool
	// isolated is true while the request is in isolation.pending.
	isolated bool
}

type partState int

const (
	partWaiting partState = iota
	partRunning
	partFinished
)

// part is one shard of a request.
type part struct {
	request  *request
	shard    model.ShardID
	replicas []*upstream
	state    partState
	running  []*attempt
	// tried lists the upstreams of all attempts so far.
	tried    []*upstream
	attempts int
	// retry is true if the next attempt repeats a failed one.
	retry bool
	// runs summarises the run states of the attempts that ended or were
	// stopped.
	runs   runSummary
	code   result.Code
	result json.RawMessage
}

// runSummary combines the run states of the attempts of a part: the part ran if
// any attempt ran, and may have run if any attempt may have run.
type runSummary struct{ ran, unknown bool }

func (r *runSummary) add(s model.RunState) {
	switch s {
	case model.Ran:
		r.ran = true
	case model.RunUnknown:
		r.unknown = true
	}
}

func (r runSummary) state() model.RunState {
	switch {
	case r.ran:
		return model.Ran
	case r.unknown:
		return model.RunUnknown
	default:
		return model.NotRun
	}
}

// attempt is one call to an upstream, from Start to Finish. It holds a slot
// until Finish even if it was stopped, because the upstream may still be
// working on it.
type attempt struct {
	id       model.AttemptID
	part     *part
	upstream *upstream
	prio     *priority
	op       *operationStats
	started  time.Time
	// detached is true if the part no longer waits for the reply.
	detached bool
	hedge    bool
	// hedgeDue is true once the hedge delay has passed.
	hedgeDue bool
	// hedgeDenied is true once the budget has denied a hedge.
	hedgeDenied bool
	// probe is true if the attempt tests an upstream that is ejected or
	// degraded.
	probe bool
	// isolated is true for the attempt of a suspect that runs alone on its
	// upstream.
	isolated bool
	// upstreamCrashed is true if another attempt has already reported that the
	// connection to the upstream broke. A broken connection reported for this
	// attempt is then not counted as a second crash.
	upstreamCrashed bool
	// paused is true if the process was paused while the attempt ran. Its
	// measured duration then includes the pause and is not a latency of the
	// upstream.
	paused bool
}

func (p *part) wasTried(u *upstream) bool {
	for _, t := range p.tried {
		if t == u {
			return true
		}
	}
	return false
}

func (p *part) removeRunning(a *attempt) {
	for i, r := range p.running {
		if r == a {
			p.running = append(p.running[:i], p.running[i+1:]...)
			return
		}
	}
}

// requiredShards returns the number of shards that need a result for the answer
// to be useful.
func (r *request) requiredShards() int {
	return min(max(r.req.LeastShards, 1), max(len(r.parts), 1))
}
