package scheduler

import (
	"encoding/json"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// request is an admitted group request until its answer is given.
type request struct {
	req model.GroupRequest
	// seq orders requests by admission.
	seq    uint64
	prio   *priority
	caller *callerQueue
	op     *operationStats
	parts  []*part
	// waitingParts counts parts that wait for a slot, open those without an outcome.
	waitingParts    int
	unfinishedParts int
	// started is true once an attempt was started.
	started bool
	done    bool
	// inActiveList is true while the request is in its priority's active list.
	inActiveList bool
	// isolated is true while the request is in the isolation list.
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
	// tried lists the upstreams of earlier attempts.
	tried    []*upstream
	attempts int
	// retry is true when the next attempt repeats a failed one.
	retry bool
	// runs summarises the attempts so far.
	runs   runSummary
	code   result.Code
	result json.RawMessage
}

// runSummary collects the run states of the attempts of a part.
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

// attempt is one call to an upstream from Start to Finish. It holds a slot
// until Finish even when it was stopped, because the upstream may be busy.
type attempt struct {
	id       model.AttemptID
	part     *part
	upstream *upstream
	prio     *priority
	op       *operationStats
	started  time.Time
	// detached is true when the part no longer waits for the reply.
	detached bool
	hedge    bool
	// hedgeDue is true when the hedge delay has passed.
	hedgeDue bool
	// hedgeDenied is true once a hedge was denied by the budget.
	hedgeDenied bool
	// probe is true for an attempt that tests an avoided upstream.
	probe bool
	// isolated is true for an isolated attempt of a suspect.
	isolated bool
	// upstreamCrashed is true when the upstream's connection broke meanwhile, so that
	// the attempt's own broken reply is no second crash.
	upstreamCrashed bool
	// paused is true when the process was paused meanwhile; the measured time
	// then says nothing about the upstream.
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

// requiredShards returns the number of shards that make the request's answer useful.
func (r *request) requiredShards() int {
	return min(max(r.req.LeastShards, 1), max(len(r.parts), 1))
}
