package replay

import (
	"fmt"
	"time"
)

// Names of the promises that the checks verify.
const (
	PromiseSnapshot        = "one snapshot"
	PromiseCoverage        = "accurate coverage"
	PromiseOwnAnswer       = "own answer only"
	PromiseNotRun          = "not run"
	PromiseLeavingUpstream = "leaving upstream"
	PromiseGracefulStop    = "graceful stop"
	PromiseRevisionGrows   = "revision grows"
	PromiseInForce         = "in force in time"
	PromiseResumedProcess  = "resumed process"
)

// maxExamples is the largest number of violations that a verdict describes.
const maxExamples = 5

// check verifies that the replayed decisions keep one or more promises. It uses
// the arguments of the lines and the replayed results. It uses neither the
// recorded results nor the decision code.
type check interface {
	// observe processes a line and the result of its replay.
	observe(l line, out any) error
	// finish is called after the last line.
	finish()
}

// verdictSet collects the verdicts on all promises. The checks share it.
type verdictSet struct{ byPromise map[string]*Verdict }

func (s *verdictSet) verdict(promise string) *Verdict {
	v := s.byPromise[promise]
	if v == nil {
		v = &Verdict{}
		s.byPromise[promise] = v
	}
	return v
}

// count adds a decision to the promise's verdict. Unless ok is true, the decision
// counts as broken, and the formatted text may become an example.
func (s *verdictSet) count(promise string, ok bool, format string, args ...any) {
	v := s.verdict(promise)
	v.Checked++
	if ok {
		return
	}
	v.Broken++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// checks runs all checks.
type checks struct {
	verdictSet verdictSet
	all        []check
}

func newChecks(contents map[string][]byte) *checks {
	c := &checks{verdictSet: verdictSet{byPromise: make(map[string]*Verdict)}}
	c.all = []check{
		newEntryAnswerCheck(&c.verdictSet, contents),
		newHomeAnswerCheck(&c.verdictSet),
		newLeavingUpstreamCheck(&c.verdictSet),
		newGracefulStopCheck(&c.verdictSet),
		newResumedProcessCheck(&c.verdictSet),
		newDocumentCheck(&c.verdictSet, contents),
	}
	return c
}

func (c *checks) observe(l line, out any) error {
	for _, check := range c.all {
		if err := check.observe(l, out); err != nil {
			return err
		}
	}
	return nil
}

// verdicts finishes the checks and returns the verdict on each promise to which a
// decision of the trace applies.
func (c *checks) verdicts() map[string]Verdict {
	out := make(map[string]Verdict)
	for _, check := range c.all {
		check.finish()
	}
	for promise, v := range c.verdictSet.byPromise {
		out[promise] = *v
	}
	return out
}

// actionsOf returns the actions of type T in the result of a call.
func actionsOf[T any](out any) []T {
	actions, _ := out.([]typedAction)
	var found []T
	for _, a := range actions {
		if t, ok := a.Action.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// clockText formats the time of day for an example.
func clockText(t time.Time) string { return t.Format("15:04:05.000") }
