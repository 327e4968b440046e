// Package delegation decides whether an instance runs a query over many shards
// itself or lets one with more processor time run it. A query takes processor
// time for each of its parts, one after the other; on a small instance that
// exceeds the time that the upstreams need. A Table is pure and not safe for
// concurrent use.
package delegation

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// partWork is the processor time that one part of a query takes.
	partWork = 100 * time.Microsecond
	// callWork is the processor time of the caller of a delegated query.
	callWork = 300 * time.Microsecond
	// nearHop and farHop are the round trips to an instance in the same and in
	// another data centre, with the work of the call there.
	nearHop = 900 * time.Microsecond
	farHop  = 1900 * time.Microsecond
	// minCapacityRatio keeps instances of about the same size from delegating to
	// each other at every fluctuation of their load.
	minCapacityRatio = 1.5
	// loadTime is how long the load that an instance reported is believed.
	loadTime = 100 * time.Millisecond
	// minBlock and maxBlock bound the time for which an instance is left alone
	// after it failed; it doubles with each failure in a row. The failure detector
	// takes about two seconds to notice one that is gone.
	minBlock = time.Second
	maxBlock = 8 * time.Second
)

// Instance is one that may run queries for others.
type Instance struct {
	ID model.InstanceID
	// SameDataCentre is true in the data centre of the table's own instance.
	SameDataCentre bool
	// Capacity is its processor time in cores.
	Capacity float64
}

// Outcome is how a delegated query ended.
type Outcome int

// Outcomes of a delegated query.
const (
	// Answered: the instance ran the query.
	Answered Outcome = iota
	// Declined: the instance did not run it, and says so.
	Declined
	// Cancelled: the caller went away.
	Cancelled
	// Failed: the instance could not be reached, or gave no answer in time.
	Failed
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "declined", "cancelled", "failed"}[o]
}

type candidate struct {
	Instance
	inFlight     int
	active       int
	activeAt     time.Time
	failures     int
	blockedUntil time.Time
}

// Table holds the instances that queries may be delegated to.
type Table struct {
	// own is the capacity of this instance; zero means unknown, and then nothing
	// is delegated.
	own        float64
	candidates []*candidate
	next       int
}

// NewTable returns a table without candidates for an instance of the given
// capacity in cores.
func NewTable(own float64) *Table { return &Table{own: own} }

// Update replaces the known instances. Those without clearly more capacity are
// left out; what is known of the others is kept.
func (t *Table) Update(list []Instance) {
	var updated []*candidate
	for _, i := range list {
		if t.own <= 0 || i.Capacity < minCapacityRatio*t.own {
			continue
		}
		c := t.find(i.ID)
		if c == nil {
			c = &candidate{}
		}
		c.Instance = i
		updated = append(updated, c)
	}
	slices.SortFunc(updated, func(a, b *candidate) int { return cmp.Compare(a.ID, b.ID) })
	t.candidates = updated
}

// SameDataCentre returns the candidates in the same data centre.
func (t *Table) SameDataCentre() []model.InstanceID {
	var out []model.InstanceID
	for _, c := range t.candidates {
		if c.SameDataCentre {
			out = append(out, c.ID)
		}
	}
	return out
}

func (t *Table) find(id model.InstanceID) *candidate {
	for _, c := range t.candidates {
		if c.ID == id {
			return c
		}
	}
	return nil
}

// Pick returns the instance that is expected to answer a query with the given
// number of parts first, or false if this one is. Active is the number of
// queries that this instance runs at the moment.
func (t *Table) Pick(now time.Time, parts, active int) (model.InstanceID, bool) {
	var best *candidate
	bestCost := scale(partWork*time.Duration(parts*(active+1)), t.own)
	t.next++
	for i := range t.candidates {
		// Starting elsewhere each time spreads equal choices.
		c := t.candidates[(i+t.next)%len(t.candidates)]
		if now.Before(c.blockedUntil) {
			continue
		}
		if cost := t.cost(now, c, parts); cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

// cost is the expected time at both ends of a delegated query.
func (t *Table) cost(now time.Time, c *candidate, parts int) time.Duration {
	queries := c.inFlight + 1
	if now.Sub(c.activeAt) < loadTime {
		queries = max(queries, c.active+1)
	}
	hop := farHop
	if c.SameDataCentre {
		hop = nearHop
	}
	return hop + scale(callWork, t.own) + scale(partWork*time.Duration(parts*queries), c.Capacity)
}

func scale(work time.Duration, capacity float64) time.Duration {
	return time.Duration(float64(work) / max(capacity, 1e-3))
}

// QueryStarted records that a query is delegated.
func (t *Table) QueryStarted(id model.InstanceID) {
	if c := t.find(id); c != nil {
		c.inFlight++
	}
}

// QueryFinished records the end of a delegated query and the number of queries that
// the instance reported as active.
func (t *Table) QueryFinished(now time.Time, id model.InstanceID, o Outcome, active int) {
	c := t.find(id)
	if c == nil {
		return
	}
	c.inFlight = max(0, c.inFlight-1)
	switch o {
	case Cancelled:
	case Failed:
		c.blockedUntil = now.Add(min(minBlock<<min(c.failures, 8), maxBlock))
		c.failures++
	default:
		c.failures, c.active, c.activeAt = 0, active, now
	}
}

// targetShare is the part of a query's latency target that an instance may take
// to send and merge its parts on behalf of another one.
const targetShare = 0.5

// Accepts reports whether an instance of the given capacity in cores that runs
// active queries should run another one for a smaller instance.
func Accepts(capacity float64, parts, active int, target time.Duration) bool {
	return capacity > 0 && scale(partWork*time.Duration(parts*(active+1)), capacity) < time.Duration(targetShare*float64(target))
}
