package replay

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/query"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// verdictsOf replays a trace of testdata, lets alter change the replayed results,
// and returns the verdicts on them.
func verdictsOf(t *testing.T, trace string, alter func(l line, out any) any) map[string]Verdict {
	return verdictsOfLines(t, traceLines(t, trace), alter)
}

func verdictsOfLines(t *testing.T, lines []line, alter func(l line, out any) any) map[string]Verdict {
	p := newPlayer()
	for _, l := range lines {
		out, err := p.replayCall(l)
		must.NoError(t, err)
		must.NoError(t, p.checks.observe(l, alter(l, out)))
	}
	return p.checks.verdicts()
}

func traceLines(t *testing.T, trace string) []line {
	var out []line
	d := json.NewDecoder(bytes.NewReader(readTrace(t, "testdata/"+trace+".jsonl.gz")))
	for d.More() {
		var l line
		must.NoError(t, d.Decode(&l))
		out = append(out, l)
	}
	return out
}

// alterFirst applies alter to the actions of one type until it returns true, which
// means that it has changed the action.
func alterFirst[T any](alter func(*T) bool) func(line, any) any {
	done := false
	return func(_ line, out any) any {
		actions, _ := out.([]typedAction)
		for n, a := range actions {
			action, ok := a.Action.(T)
			if done || !ok || !alter(&action) {
				continue
			}
			done = true
			actions = slices.Clone(actions)
			actions[n].Action = action
			return actions
		}
		return out
	}
}

// alterFirstAnswer applies alter to the answers to queries until it returns true.
func alterFirstAnswer(alter func(*model.Answer) bool) func(line, any) any {
	return alterFirst(func(r *query.Reply) bool { return alter(&r.Answer) })
}

// alterFirstHomeResult changes the first successful result in a home's answer.
func alterFirstHomeResult(alter func(*model.ShardOutcome)) func(line, any) any {
	return alterFirst(func(d *scheduler.Done) bool {
		for n := range d.Answer.Outcomes {
			if d.Answer.Outcomes[n].Code == result.OK {
				d.Answer.Outcomes = slices.Clone(d.Answer.Outcomes)
				alter(&d.Answer.Outcomes[n])
				return true
			}
		}
		return false
	})
}

// alterOffers changes the results of all offers of documents with one verdict.
func alterOffers(verdict string, alter func(*offerResult)) func(line, any) any {
	return func(_ line, out any) any {
		if r, ok := out.(offerResult); ok && r.Verdict == verdict {
			alter(&r)
			return r
		}
		return out
	}
}

// startsOnLeavingUpstream moves the first attempt of each line to the upstream that
// the scenario listed as leaving, from 4 s after it was listed.
func startsOnLeavingUpstream(t *testing.T) func(line, any) any {
	var fact line
	for _, l := range traceLines(t, "upstream-listed") {
		if l.Component == componentFact {
			fact = l
		}
	}
	leaving, err := decode[port.ListedUpstream](fact.Args)
	must.NoError(t, err)
	return func(l line, out any) any {
		if l.Time.Before(fact.Time.Add(4 * time.Second)) {
			return out
		}
		return alterFirst(func(s *scheduler.Start) bool { s.Call.Address = leaving.Address; return true })(l, out)
	}
}

// withoutAnswers removes the answers of a process after the signal to leave.
func withoutAnswers() func(line, any) any {
	left := make(map[string]bool)
	return func(l line, out any) any {
		if l.Component == componentPhase && l.Call == "leave" {
			left[l.Process] = true
		}
		actions, ok := out.([]typedAction)
		if !ok || !left[l.Process] {
			return out
		}
		return slices.DeleteFunc(slices.Clone(actions), func(a typedAction) bool {
			_, reply := a.Action.(query.Reply)
			_, done := a.Action.(scheduler.Done)
			return reply || done
		})
	}
}

// alterPhaseResults changes the results of all lines with one call of the phase
// machine.
func alterPhaseResults(call string, alter func(*phaseResult)) func(line, any) any {
	return func(l line, out any) any {
		if r, ok := out.(phaseResult); ok && l.Call == call {
			alter(&r)
			return r
		}
		return out
	}
}

// neverServingAfterPause changes the results of the phase machine after a pause, so
// that the process stays in the resumed phase.
func neverServingAfterPause() func(line, any) any {
	return alterPhaseResultsAfterPause(func(paused *bool, r *phaseResult) { r.Done = r.Done && !*paused })
}

// servingRightAfterPause changes the first result of the phase machine after a
// pause, so that the process serves at once.
func servingRightAfterPause() func(line, any) any {
	return alterPhaseResultsAfterPause(func(paused *bool, r *phaseResult) {
		r.Done = r.Done || *paused
		*paused = false
	})
}

// alterPhaseResultsAfterPause applies alter to the results of the phase machine.
// paused is true after a pause, until alter resets it.
func alterPhaseResultsAfterPause(alter func(paused *bool, r *phaseResult)) func(line, any) any {
	paused := false
	return func(_ line, out any) any {
		switch r := out.(type) {
		case observeResult:
			paused = paused || r.Paused
		case phaseResult:
			alter(&paused, &r)
			return r
		}
		return out
	}
}

// TestAlteredDecisions guards against checks that do not notice a decision that
// breaks their promise. Each case changes replayed decisions so that they break
// one promise.
func TestAlteredDecisions(t *testing.T) {
	cases := []struct {
		name, trace, promise string
		alter                func(line, any) any
	}{
		{"answer from another snapshot", "index-change", PromiseSnapshot, alterFirstAnswer(func(a *model.Answer) bool {
			a.Snapshot = "other"
			return len(a.Results) > 0
		})},
		{"result left out", "index-change", PromiseCoverage, alterFirstAnswer(func(a *model.Answer) bool {
			if len(a.Results) > 0 {
				a.Results = a.Results[1:]
			}
			return a.Coverage.Answered > 0
		})},
		{"partial answer coded as whole", "index-change", PromiseCoverage, alterFirstAnswer(func(a *model.Answer) bool {
			partial := len(a.Coverage.Missing) > 0
			a.Code = result.OK
			return partial
		})},
		{"missing shard not counted", "index-change", PromiseCoverage, alterFirstAnswer(func(a *model.Answer) bool {
			partial := len(a.Coverage.Missing) > 0
			a.Coverage.Missing = nil
			a.Coverage.Total = a.Coverage.Answered
			return partial
		})},
		{"result of another query", "index-change", PromiseOwnAnswer, alterFirstAnswer(func(a *model.Answer) bool {
			if len(a.Results) == 0 {
				return false
			}
			a.Results = slices.Clone(a.Results)
			a.Results[0].Result = json.RawMessage(`"other"`)
			return true
		})},
		{"reply to another attempt", "index-change", PromiseOwnAnswer, alterFirstHomeResult(func(o *model.ShardOutcome) {
			o.Result = json.RawMessage(`"other"`)
		})},
		{"not run after a run", "index-change", PromiseNotRun, alterFirstAnswer(func(a *model.Answer) bool {
			ran := a.Ran != model.NotRun
			a.Ran = model.NotRun
			return ran
		})},
		{"attempt on a leaving upstream", "upstream-listed", PromiseLeavingUpstream, startsOnLeavingUpstream(t)},
		{"request without an answer", "graceful-stop", PromiseGracefulStop, withoutAnswers()},
		{"end before the work is done", "graceful-stop", PromiseGracefulStop, alterPhaseResults("stop", func(r *phaseResult) { r.Done = false })},
		{"lower revision adopted", "configuration", PromiseRevisionGrows, alterOffers("older", func(r *offerResult) { r.Verdict = "adopted" })},
		{"conflicting revision adopted", "configuration", PromiseRevisionGrows, alterOffers("conflict", func(r *offerResult) { r.Verdict = "adopted" })},
		{"document reverted", "configuration", PromiseRevisionGrows, alterOffers("older", func(r *offerResult) { r.InForce = 1 })},
		{"document not adopted", "configuration", PromiseInForce, alterOffers("adopted", func(r *offerResult) { r.Verdict = "older" })},
		{"pause not noticed", "process-paused", PromiseResumedProcess, func(_ line, out any) any {
			if r, ok := out.(observeResult); ok {
				r.Paused = false
				return r
			}
			return out
		}},
		{"home work before a member answered", "process-paused", PromiseResumedProcess, neverServingAfterPause()},
		{"ready before a member answered", "process-paused", PromiseResumedProcess, servingRightAfterPause()},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			must.Positive(t, verdictsOf(t, c.trace, c.alter)[c.promise].Broken)
		})
	}
}

// alterFirstGroupAnswer changes the first answer that a home gave in a trace. It
// skips queries whose first answer has no result, because these restarted.
func alterFirstGroupAnswer(alter func(*model.GroupAnswer)) func(*testing.T, []line) {
	return func(t *testing.T, lines []line) {
		seen := make(map[string]bool)
		for n, l := range lines {
			if l.Component != componentQuery || l.Call != "answered" || seen[l.objectKey()] {
				continue
			}
			seen[l.objectKey()] = true
			a, err := decode[queryAnsweredArgs](l.Args)
			must.NoError(t, err)
			if len(a.Answer.Outcomes) == 0 || a.Answer.Outcomes[0].Code != result.OK {
				continue
			}
			alter(&a.Answer)
			lines[n].Args = encode(a)
			return
		}
		t.Fatal("the trace has no answer with results")
	}
}

// alterSuccessfulReplies changes all replies of upstreams with a result in a
// trace.
func alterSuccessfulReplies(alter func(*port.UpstreamReply)) func(*testing.T, []line) {
	return func(t *testing.T, lines []line) {
		changed := 0
		for n, l := range lines {
			if l.Component != componentScheduler || l.Call != "finish" {
				continue
			}
			a, err := schedulerArgs[finishArgs](l)
			must.NoError(t, err)
			if a.Reply.Code != result.OK {
				continue
			}
			alter(&a.Reply)
			lines[n].Args = encode(argsWithQuarantine{Args: encode(a)})
			changed++
		}
		must.Positive(t, changed)
	}
}

// TestForeignInput guards against decision code that uses an answer or reply to
// another request, attempt, shard or snapshot, or that says "not run" after
// results were lost. Each case puts such an input into a trace, and the replayed
// decisions must still keep the promise.
func TestForeignInput(t *testing.T) {
	cases := []struct {
		name, promise string
		alter         func(*testing.T, []line)
	}{
		{"answer from another snapshot", PromiseSnapshot, alterFirstGroupAnswer(func(a *model.GroupAnswer) { a.Snapshot = "other" })},
		{"answer to another request", PromiseOwnAnswer, alterFirstGroupAnswer(func(a *model.GroupAnswer) { a.ID[0]++ })},
		{"answer without a result", PromiseNotRun, alterFirstGroupAnswer(func(a *model.GroupAnswer) {
			for n := range a.Outcomes {
				a.Outcomes[n] = model.ShardOutcome{Shard: a.Outcomes[n].Shard, Code: result.UpstreamLost}
			}
		})},
		{"replies to other attempts", PromiseOwnAnswer, alterSuccessfulReplies(func(r *port.UpstreamReply) { r.Attempt[0]++ })},
		{"replies for other shards", PromiseOwnAnswer, alterSuccessfulReplies(func(r *port.UpstreamReply) { r.Shard = "other" })},
		{"replies from another snapshot", PromiseSnapshot, alterSuccessfulReplies(func(r *port.UpstreamReply) { r.Snapshot = "other" })},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			lines := traceLines(t, "index-change")
			c.alter(t, lines)
			v := verdictsOfLines(t, lines, func(_ line, out any) any { return out })[c.promise]
			must.Positive(t, v.Checked)
			must.Zero(t, v.Broken, must.Sprint(v.Examples))
		})
	}
}

// removeLines removes the lines for which remove returns true.
func removeLines(remove func(line) bool) func([]line) []line {
	return func(lines []line) []line { return slices.DeleteFunc(lines, remove) }
}

// isConfirmAfterPause returns a function that reports whether a line is a call of
// TryServe, which traces name confirm, after the first pause.
func isConfirmAfterPause() func(line) bool {
	paused := false
	return func(l line) bool {
		if l.Component != componentPhase {
			return false
		}
		r, err := decode[observeResult](l.Out)
		paused = paused || l.Call == "observe" && err == nil && r.Paused
		return paused && l.Call == "confirm"
	}
}

// TestAlteredTraces guards against checks that do not notice a process that acts
// wrongly on correct decisions, for example by acting too late. Each case changes
// the lines of a trace so that the process acts wrongly, and the check must
// report the promise as broken.
func TestAlteredTraces(t *testing.T) {
	cases := []struct {
		name, trace, promise string
		alter                func([]line) []line
	}{
		{"platform list passed on 5 s late", "upstream-listed", PromiseLeavingUpstream, func(lines []line) []line {
			for n, l := range lines {
				if l.Component == componentFact {
					lines[n].Time = l.Time.Add(-5 * time.Second)
				}
			}
			return lines
		}},
		{"home work after the signal to leave", "graceful-stop", PromiseGracefulStop, func(lines []line) []line {
			for n, l := range lines {
				if l.Component == componentPhase && l.Call == "leave" {
					l.Time = l.Time.Add(-2 * time.Second)
					lines = slices.Insert(slices.Delete(lines, n, n+1), 0, l)
					break
				}
			}
			phase := slices.IndexFunc(lines, func(l line) bool { return l.Component == componentPhase && l.Call == "open" })
			return slices.Insert(lines, 0, lines[phase])
		}},
		{"end with open requests", "graceful-stop", PromiseGracefulStop, removeLines(func(l line) bool {
			return l.Component == componentQuery && l.Call == "answered"
		})},
		{"home work before ready", "process-paused", PromiseResumedProcess, removeLines(isConfirmAfterPause())},
		{"documents not offered", "configuration", PromiseInForce, func(lines []line) []line {
			offered := make(map[string]bool)
			return slices.DeleteFunc(lines, func(l line) bool {
				alreadyOffered := offered[l.Process]
				offered[l.Process] = alreadyOffered || l.Component == componentCatalog && l.Call == "offer"
				return alreadyOffered && l.Component == componentCatalog
			})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			lines := c.alter(traceLines(t, c.trace))
			v := verdictsOfLines(t, lines, func(_ line, out any) any { return out })[c.promise]
			must.Positive(t, v.Broken)
			t.Log(v.Examples[0])
		})
	}
}
