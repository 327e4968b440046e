// Package delegation decides whether an instance runs a query over many shards
// itself or delegates it to an instance with more processor capacity. A query has
// one part for each shard, and the instance processes the parts one after the
// other; on a small instance that takes longer than the upstreams need to answer.
// A Table does no I/O and reads no clock; it is not safe for concurrent use.
package delegation

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// partWork is the processor time that an instance spends on one part of a query.
	partWork = 100 * time.Microsecond
	// callWork is the processor time that the delegating instance spends on the
	// call to the other instance.
	callWork = 300 * time.Microsecond
	// localCallTime and remoteCallTime are the times that a call to an instance in
	// the same or in another data centre takes without the query itself: the
	// round trip and the work of the called instance on the call.
	localCallTime  = 900 * time.Microsecond
	remoteCallTime = 1900 * time.Microsecond
	// minCapacityRatio is the smallest ratio of another instance's capacity to
	// that of this instance with which the other one is a candidate. Without this
	// bound, instances of about the same size would delegate to each other at every
	// fluctuation of their load.
	minCapacityRatio = 1.5
	// loadReportValidity is how long the load that an instance reported is taken
	// into account.
	loadReportValidity = 100 * time.Millisecond
	// minBlock and maxBlock bound the time for which nothing is delegated to an
	// instance that failed; it doubles with each failure in a row. The failure
	// detector takes about two seconds to notice that an instance is gone.
	minBlock = time.Second
	maxBlock = 8 * time.Second
)

// Instance is an instance that queries may be delegated to.
type Instance struct {
	ID model.InstanceID
	// SameDataCentre is true if it is in the data centre of the table's owner, the
	// instance that delegates.
	SameDataCentre bool
	// Capacity is its processor time in cores.
	Capacity float64
}

// Outcome says how a delegated query ended.
type Outcome int

// Outcomes of a delegated query.
const (
	// Answered: the instance ran the query.
	Answered Outcome = iota
	// Declined: the instance reported that it did not run the query.
	Declined
	// Cancelled: the caller stopped waiting for the answer.
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
	// inFlight is the number of unfinished queries that the owner of the table
	// delegated to the candidate.
	inFlight int
	// active is the number of queries, from all instances, that the candidate
	// reported at activeAt to be running.
	active   int
	activeAt time.Time
	// failures counts the failures in a row.
	failures     int
	blockedUntil time.Time
}

// Table holds the instances that queries may be delegated to.
type Table struct {
	// ownCapacity is the capacity of this instance in cores. If it is unknown, it
	// is zero and nothing is delegated.
	ownCapacity float64
	candidates  []*candidate
	// offset moves the start of the search for a candidate with each Pick.
	offset int
}

// NewTable returns a table without candidates for an instance of the given
// capacity in cores.
func NewTable(capacity float64) *Table { return &Table{ownCapacity: capacity} }

// SetCapacity changes the capacity of this instance in cores. Update must follow.
func (t *Table) SetCapacity(cores float64) { t.ownCapacity = cores }

// Update replaces the candidates by the instances of the list with at least
// minCapacityRatio times the capacity of this instance. Instances that were
// candidates before keep their recorded load and failures.
func (t *Table) Update(list []Instance) {
	var updated []*candidate
	for _, i := range list {
		if !Delegates(t.ownCapacity, i.Capacity) {
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

// Delegates reports whether an instance of capacity own may delegate queries to an
// instance of capacity other, both in cores.
func Delegates(own, other float64) bool { return own > 0 && other >= minCapacityRatio*own }

// SameDataCentre returns the candidates in the data centre of this instance.
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

// Pick returns the candidate that is expected to answer a query with the given
// number of parts soonest. It leaves out blocked candidates and those in asked, and
// returns false if no other candidate is expected to be faster than this instance.
// active is the number of queries that this instance is running.
func (t *Table) Pick(now time.Time, parts, active int, asked []model.InstanceID) (model.InstanceID, bool) {
	var best *candidate
	bestCost := durationAt(partWork*time.Duration(parts*(active+1)), t.ownCapacity)
	t.offset++
	for i := range t.candidates {
		// Starting at another candidate each time spreads the queries over
		// candidates of equal cost.
		c := t.candidates[(i+t.offset)%len(t.candidates)]
		if now.Before(c.blockedUntil) || slices.Contains(asked, c.ID) {
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

// cost returns the expected duration of a query that is delegated to the
// candidate: the work of both instances and the call between them.
func (t *Table) cost(now time.Time, c *candidate, parts int) time.Duration {
	queries := c.inFlight + 1
	if now.Sub(c.activeAt) < loadReportValidity {
		queries = max(queries, c.active+1)
	}
	callTime := remoteCallTime
	if c.SameDataCentre {
		callTime = localCallTime
	}
	return callTime + CallTime(t.ownCapacity) + durationAt(partWork*time.Duration(parts*queries), c.Capacity)
}

// CallTime returns the time that an instance of the given capacity in cores spends on
// the call to another instance that runs a query for it. It is zero if the capacity is
// unknown.
func CallTime(capacity float64) time.Duration {
	if capacity <= 0 {
		return 0
	}
	return durationAt(callWork, capacity)
}

// durationAt returns the time that work, given in processor time of one core, takes at
// the given capacity in cores.
func durationAt(work time.Duration, capacity float64) time.Duration {
	return time.Duration(float64(work) / max(capacity, 1e-3))
}

// QueryStarted records that a query is delegated.
func (t *Table) QueryStarted(id model.InstanceID) {
	if c := t.find(id); c != nil {
		c.inFlight++
	}
}

// QueryFinished records the end of a delegated query. active is the number of
// running queries that the instance reported with its answer; it is ignored if
// the query was cancelled or failed.
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

const (
	// targetShare is the share of a query's latency target that an instance may spend
	// on sending and merging the parts of a query that was delegated to it.
	targetShare = 0.6
	// activeWorkShare is the share of its work that a running query has left on average.
	// With all of it, an instance with one running query over 135 shards declined all
	// urgent queries, whose target is short, but none of the less urgent ones.
	activeWorkShare = 0.5
)

// Accepts reports whether an instance of the given capacity in cores should accept
// a delegated query with the given number of parts and latency target while it is
// running active queries.
func Accepts(capacity float64, parts, active int, target time.Duration) bool {
	queries := 1 + activeWorkShare*float64(active)
	work := time.Duration(float64(partWork) * float64(parts) * queries)
	return capacity > 0 && durationAt(work, capacity) < time.Duration(targetShare*float64(target))
}
