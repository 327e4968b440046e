package replay

import (
	"encoding/json"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// outcomeCounter derives the outcome of a trace from its recorded lines. It does
// not use the decision code, so that a fault in that code can't hide itself.
type outcomeCounter struct {
	outcome Outcome
	// possibleRuns counts for each ticket the started attempts without proof that
	// they did not run.
	possibleRuns map[model.AttemptID]int
	// leavingUpstreams holds the upstreams listed as leaving, by scheduler.
	leavingUpstreams map[string]map[string]bool
}

func newOutcomeCounter() *outcomeCounter {
	return &outcomeCounter{
		possibleRuns:     make(map[model.AttemptID]int),
		leavingUpstreams: make(map[string]map[string]bool),
	}
}

func (t *outcomeCounter) writeTo(o *Outcome) {
	t.outcome.Lines = o.Lines
	for _, n := range t.possibleRuns {
		t.outcome.OrderStarts = max(t.outcome.OrderStarts, n)
	}
	*o = t.outcome
}

func (t *outcomeCounter) count(l line) error {
	if l.Call == "open" {
		return nil
	}
	switch l.Component {
	case componentOrders:
		return t.countOrder(l)
	case componentScheduler:
		return t.countScheduler(l)
	default:
		return nil
	}
}

func (t *outcomeCounter) countScheduler(l line) error {
	if l.Call == "leaving" {
		if err := t.recordLeaving(l); err != nil {
			return err
		}
	}
	var recorded []struct {
		Type   string          `json:"type"`
		Action json.RawMessage `json:"action"`
	}
	if err := json.Unmarshal(l.Out, &recorded); err != nil {
		return err
	}
	for _, r := range recorded {
		if err := t.countAction(l.Key, actionName(r.Type), r.Action); err != nil {
			return err
		}
	}
	return nil
}

func (t *outcomeCounter) recordLeaving(l line) error {
	w, err := decode[argsWithBlocked](l.Args)
	if err != nil {
		return err
	}
	a, err := decode[leavingArgs](w.Args)
	if err != nil {
		return err
	}
	if t.leavingUpstreams[l.Key] == nil {
		t.leavingUpstreams[l.Key] = make(map[string]bool)
	}
	t.leavingUpstreams[l.Key][a.Upstream] = a.Leaving
	return nil
}

func (t *outcomeCounter) countAction(key, name string, raw json.RawMessage) error {
	switch name {
	case "Start":
		a, err := decode[scheduler.Start](raw)
		if err != nil {
			return err
		}
		t.countStart(key, a)
	case "Done":
		a, err := decode[scheduler.Done](raw)
		if err != nil {
			return err
		}
		if a.Answer.Code == result.OK {
			t.outcome.Answered++
		} else {
			t.outcome.Refused++
		}
	case "QuarantineAdd":
		t.outcome.Quarantined++
	case "Broken":
		t.outcome.Broken++
	}
	return nil
}

func (t *outcomeCounter) countStart(key string, a scheduler.Start) {
	t.outcome.Attempts++
	if a.Call.OrderKey != "" {
		t.outcome.Orders++
	}
	if a.Hedge {
		t.outcome.Hedges++
	}
	if a.Retry {
		t.outcome.Retries++
	}
	if t.leavingUpstreams[key][a.Call.Upstream] {
		t.outcome.LeavingStarts++
	}
}

func (t *outcomeCounter) countOrder(l line) error {
	switch l.Call {
	case "submit":
		d, err := decode[struct {
			Start *struct{ Ticket, ID model.AttemptID }
		}](l.Out)
		if err != nil || d.Start == nil {
			return err
		}
		t.possibleRuns[d.Start.Ticket]++
	case "finish":
		return t.countFinish(l)
	}
	return nil
}

// countFinish subtracts an attempt that is proved not to have run, and adds the
// attempt that is started next, if any.
func (t *outcomeCounter) countFinish(l line) error {
	a, err := decode[orderFinishArgs](l.Args)
	if err != nil {
		return err
	}
	if a.Outcome.Ran == model.NotRun {
		t.possibleRuns[a.Ticket]--
	}
	out, err := decode[struct {
		Next *struct{ Ticket, ID model.AttemptID } `json:"next"`
	}](l.Out)
	if err != nil || out.Next == nil {
		return err
	}
	t.possibleRuns[out.Next.Ticket]++
	return nil
}
