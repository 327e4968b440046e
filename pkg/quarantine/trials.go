package quarantine

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// TrialOutcome says how a trial ended.
type TrialOutcome int

// Outcomes of trials.
const (
	// TrialAnswered: an upstream answered.
	TrialAnswered TrialOutcome = iota
	// TrialNotRun: no upstream ran the query.
	TrialNotRun
	// TrialUnanswered: an upstream may have run the query, and did not answer.
	TrialUnanswered
)

// String returns the outcome as shown in logs and metrics.
func (o TrialOutcome) String() string {
	return [...]string{"trial_answered", "trial_not_run", "trial_unanswered"}[o]
}

const (
	// trialInterval is the time from a trial without an answer to the next trial of the same
	// query. A crash is proved within it if the upstream refuses connections.
	trialInterval = time.Second
	// ConfirmDelay is the time from a crash in a trial to the decision whether the query is
	// the cause. Crashes of other upstreams at that time may become known until then.
	ConfirmDelay = simultaneousCrashTime
	// crashesInTrials is the number of trials of a query with a crash after which it is
	// taken for the cause although other upstreams crashed at the same time.
	crashesInTrials = 2
	// maxTrials bounds the number of queries whose trials are remembered.
	maxTrials = 1024
)

// Trials schedules the trials of suspects. A suspect is a query over shards under which an
// upstream crashed and that no upstream has answered since. One instance tries the suspects
// of all: it runs one part alone, and the others only if an upstream answers. So a trial
// crashes one upstream at most, whichever shards the query searches. Only one trial runs at
// a time: when few upstreams are left, all suspects would meet on them, and ordinary ones
// would be blamed for the crash that one of them causes. Trials does no I/O and reads no
// clock; its owner serialises access to it.
type Trials struct {
	running bool
	// nextAt is when queries whose last trial had no answer may be tried again.
	nextAt map[model.Fingerprint]time.Time
	// crashes counts the trials of a query in which its upstream crashed.
	crashes map[model.Fingerprint]int
	// repeatAt is when queries that only some shards have answered are to be tried again.
	repeatAt map[model.Fingerprint]time.Time
}

// Begin reports whether a trial of the query may begin now. If so, End must be called when
// it has ended.
func (t *Trials) Begin(now time.Time, f model.Fingerprint) bool {
	if t.running || now.Before(t.nextAt[f]) {
		return false
	}
	if len(t.nextAt) >= maxTrials {
		expire(now, t.nextAt)
	}
	t.running = len(t.nextAt) < maxTrials
	return t.running
}

// End records the end of the running trial.
func (t *Trials) End(now time.Time, f model.Fingerprint, o TrialOutcome) {
	t.running = false
	switch o {
	case TrialAnswered:
		delete(t.nextAt, f)
		delete(t.crashes, f)
	case TrialUnanswered:
		t.hold(f, now.Add(trialInterval))
	}
}

func (t *Trials) hold(f model.Fingerprint, until time.Time) {
	if t.nextAt == nil {
		t.nextAt = make(map[model.Fingerprint]time.Time)
	}
	t.nextAt[f] = until
}

// Crashed records that the upstream of a trial crashed. Decide must be called ConfirmDelay
// later, and the query is not tried until then.
func (t *Trials) Crashed(now time.Time, f model.Fingerprint) {
	t.hold(f, now.Add(2*ConfirmDelay))
	if t.crashes == nil || len(t.crashes) >= maxTrials {
		t.crashes = make(map[model.Fingerprint]int)
	}
	t.crashes[f]++
}

// Decide reports whether a query is the cause of the crash in its trial. besideOthers is
// true if other upstreams crashed at the same time: then another query or a fault may have
// ended them all.
func (t *Trials) Decide(f model.Fingerprint, besideOthers bool) bool {
	delete(t.nextAt, f)
	return t.crashes[f] > 0 && !besideOthers || t.crashes[f] >= crashesInTrials
}

// Repeat reports whether a query that only some shards have answered is to be tried again
// now. It is true once in each trialInterval.
func (t *Trials) Repeat(now time.Time, f model.Fingerprint) bool {
	if now.Before(t.repeatAt[f]) {
		return false
	}
	if t.repeatAt == nil {
		t.repeatAt = make(map[model.Fingerprint]time.Time)
	}
	if len(t.repeatAt) >= maxTrials {
		expire(now, t.repeatAt)
	}
	if len(t.repeatAt) >= maxTrials {
		return false
	}
	t.repeatAt[f] = now.Add(trialInterval)
	return true
}

// expire removes the queries whose time has come.
func expire(now time.Time, at map[model.Fingerprint]time.Time) {
	for f, due := range at {
		if !now.Before(due) {
			delete(at, f)
		}
	}
}
