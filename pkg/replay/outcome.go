package replay

import (
	"encoding/json"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// outcomeCounter derives the outcome of a trace from its recorded lines. It does
// not use the decision code, so a fault in that code can't hide wrong decisions.
type outcomeCounter struct {
	outcome Outcome
	// possibleRuns counts, by ticket, the started attempts that may have run: no
	// outcome says that they did not run.
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

func (c *outcomeCounter) writeTo(o *Outcome) {
	c.outcome.Lines = o.Lines
	for _, n := range c.possibleRuns {
		c.outcome.OrderStarts = max(c.outcome.OrderStarts, n)
	}
	*o = c.outcome
}

func (c *outcomeCounter) count(l line) error {
	if l.Call == "open" {
		return nil
	}
	switch l.Component {
	case componentOrders:
		return c.countOrder(l)
	case componentScheduler:
		return c.countScheduler(l)
	default:
		return nil
	}
}

func (c *outcomeCounter) countScheduler(l line) error {
	if l.Call == "leaving" {
		if err := c.recordLeaving(l); err != nil {
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
		if err := c.countAction(l.Key, actionName(r.Type), r.Action); err != nil {
			return err
		}
	}
	return nil
}

func (c *outcomeCounter) recordLeaving(l line) error {
	wrapped, err := decode[argsWithQuarantine](l.Args)
	if err != nil {
		return err
	}
	a, err := decode[leavingArgs](wrapped.Args)
	if err != nil {
		return err
	}
	if c.leavingUpstreams[l.Key] == nil {
		c.leavingUpstreams[l.Key] = make(map[string]bool)
	}
	c.leavingUpstreams[l.Key][a.Upstream] = a.Leaving
	return nil
}

func (c *outcomeCounter) countAction(key, name string, raw json.RawMessage) error {
	switch name {
	case "Start":
		a, err := decode[scheduler.Start](raw)
		if err != nil {
			return err
		}
		c.countStart(key, a)
	case "Done":
		a, err := decode[scheduler.Done](raw)
		if err != nil {
			return err
		}
		if a.Answer.Code == result.OK {
			c.outcome.Answered++
		} else {
			c.outcome.Refused++
		}
	case "QuarantineAdd":
		c.outcome.Quarantined++
	case "Broken":
		c.outcome.Broken++
	}
	return nil
}

func (c *outcomeCounter) countStart(key string, a scheduler.Start) {
	c.outcome.Attempts++
	if a.Call.OrderKey != "" {
		c.outcome.Orders++
	}
	if a.Hedge {
		c.outcome.Hedges++
	}
	if a.Retry {
		c.outcome.Retries++
	}
	if c.leavingUpstreams[key][a.Call.Upstream] {
		c.outcome.LeavingStarts++
	}
}

func (c *outcomeCounter) countOrder(l line) error {
	switch l.Call {
	case "submit":
		d, err := decode[struct {
			Start *struct{ Ticket, ID model.AttemptID }
		}](l.Out)
		if err != nil || d.Start == nil {
			return err
		}
		c.possibleRuns[d.Start.Ticket]++
	case "finish":
		return c.countFinish(l)
	}
	return nil
}

// countFinish subtracts the finished attempt from possibleRuns if it has certainly
// not run, and adds the attempt that is started next, if any.
func (c *outcomeCounter) countFinish(l line) error {
	a, err := decode[orderFinishArgs](l.Args)
	if err != nil {
		return err
	}
	if a.Outcome.Ran == model.NotRun {
		c.possibleRuns[a.Ticket]--
	}
	out, err := decode[struct {
		Next *struct{ Ticket, ID model.AttemptID } `json:"next"`
	}](l.Out)
	if err != nil || out.Next == nil {
		return err
	}
	c.possibleRuns[out.Next.Ticket]++
	return nil
}
