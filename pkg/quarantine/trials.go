package quarantine

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// trialInterval is the time from a trial that did not show anything to the next one. A
	// crash is proved within it if the upstream refuses connections.
	trialInterval = time.Second
	// maxTrials bounds the number of requests whose trials are remembered.
	maxTrials = 1024
)

// Trials limits the trials of suspects. A suspect is a query over shards of which a crash
// is recorded and that no upstream has answered since. One instance tries it for all: it
// runs one part alone, and the others only if an upstream answers. A trial crashes one
// upstream at most, whichever shards the query searches. Trials does no I/O and reads no
// clock; its owner serialises access to it.
type Trials struct{ byRequest map[model.Fingerprint]trial }

type trial struct {
	running bool
	// nextAt is when the next trial may begin, if none is running.
	nextAt time.Time
}

// Begin reports whether a trial of the request may begin now. If so, End must be called
// when it has ended.
func (t *Trials) Begin(now time.Time, f model.Fingerprint) bool {
	if last := t.byRequest[f]; last.running || now.Before(last.nextAt) {
		return false
	}
	if t.byRequest == nil {
		t.byRequest = make(map[model.Fingerprint]trial)
	}
	if len(t.byRequest) >= maxTrials {
		t.expire(now)
	}
	if len(t.byRequest) >= maxTrials {
		return false
	}
	t.byRequest[f] = trial{running: true}
	return true
}

// End records the end of a trial. unanswered is true if an upstream may have run the
// request and did not answer; otherwise the next trial may begin at once.
func (t *Trials) End(now time.Time, f model.Fingerprint, unanswered bool) {
	if !unanswered {
		delete(t.byRequest, f)
		return
	}
	t.byRequest[f] = trial{nextAt: now.Add(trialInterval)}
}

func (t *Trials) expire(now time.Time) {
	for f, last := range t.byRequest {
		if !last.running && !now.Before(last.nextAt) {
			delete(t.byRequest, f)
		}
	}
}
