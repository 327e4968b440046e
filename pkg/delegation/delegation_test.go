package delegation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sardineturn/sardineturn/pkg/model"
)

var start = time.Unix(1000, 0)

const (
	smallCapacity = 0.2
	largeCapacity = 0.8
	manyParts     = 50
)

// smallTable returns the table of an instance with smallCapacity.
func smallTable(list ...Instance) *Table {
	t := NewTable(smallCapacity)
	t.Update(list)
	return t
}

var (
	near = Instance{ID: "near", SameDataCentre: true, Capacity: largeCapacity}
	far  = Instance{ID: "far", Capacity: largeCapacity}
)

// TestPick guards against queries that a small instance runs itself although a
// larger one would be faster, and against delegating when the call takes longer
// than it saves.
func TestPick(t *testing.T) {
	for name, c := range map[string]struct {
		own    float64
		list   []Instance
		parts  int
		active int
		want   model.InstanceID
	}{
		"many parts":                {own: smallCapacity, list: []Instance{far, near}, parts: manyParts, want: "near"},
		"only a far one":            {own: smallCapacity, list: []Instance{far}, parts: manyParts, want: "far"},
		"few parts":                 {own: smallCapacity, list: []Instance{near}, parts: 1},
		"few parts while busy":      {own: smallCapacity, list: []Instance{near}, parts: 8, active: 5, want: "near"},
		"of the same size":          {own: largeCapacity, list: []Instance{near}, parts: manyParts, active: 5},
		"unknown capacity":          {own: 0, list: []Instance{near}, parts: manyParts},
		"no other instance":         {own: smallCapacity, parts: manyParts},
		"other of unknown capacity": {own: smallCapacity, list: []Instance{{ID: "x", SameDataCentre: true}}, parts: manyParts},
		"only slightly larger":      {own: smallCapacity, list: []Instance{{ID: "x", Capacity: 0.31}}, parts: 4},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(c.own)
			table.Update(c.list)
			got, ok := table.Pick(start, c.parts, c.active, nil)
			must.Eq(t, c.want, got)
			must.Eq(t, c.want != "", ok)
		})
	}
}

// TestFailedInstanceIsBlocked guards against delegating query after query to an
// instance that is gone, and against an instance that is never tried again after
// failures.
func TestFailedInstanceIsBlocked(t *testing.T) {
	table := smallTable(near)
	now, block := start, minBlock
	for range 8 {
		_, ok := table.Pick(now, manyParts, 0, nil)
		must.True(t, ok)
		table.QueryStarted("near")
		table.QueryFinished(now, "near", Failed, 0)
		_, ok = table.Pick(now.Add(block-time.Millisecond), manyParts, 0, nil)
		must.False(t, ok)
		now = now.Add(block)
		block = min(2*block, maxBlock)
	}
	table.QueryFinished(now, "near", Answered, 0)
	table.QueryFinished(now, "near", Failed, 0)
	_, ok := table.Pick(now.Add(minBlock), manyParts, 0, nil)
	must.True(t, ok)
}

// TestLoadSpreads guards against delegating all queries to one of two equal
// instances, and against picking an instance that reported a high load while
// another one is free.
func TestLoadSpreads(t *testing.T) {
	table := smallTable(near, Instance{ID: "near2", SameDataCentre: true, Capacity: largeCapacity})
	count := make(map[model.InstanceID]int)
	for range 20 {
		id, ok := table.Pick(start, manyParts, 0, nil)
		must.True(t, ok)
		table.QueryStarted(id)
		count[id]++
		if len(count) == 2 && count["near"] == 2 && count["near2"] == 2 {
			break
		}
	}
	must.Eq(t, count["near"], count["near2"])
	table = smallTable(near, Instance{ID: "near2", SameDataCentre: true, Capacity: largeCapacity})
	table.QueryFinished(start, "near", Declined, 6)
	for range 4 {
		id, _ := table.Pick(start, manyParts, 0, nil)
		must.Eq(t, "near2", id)
	}
}

// TestAccepts guards against an instance that accepts more delegated queries than
// it can answer in time.
func TestAccepts(t *testing.T) {
	const target = 40 * time.Millisecond
	must.True(t, Accepts(largeCapacity, manyParts, 0, target))
	must.False(t, Accepts(largeCapacity, manyParts, 10, target))
	must.False(t, Accepts(smallCapacity, manyParts, 0, target))
	must.False(t, Accepts(0, 1, 0, target))
}

// TestTableStaysConsistent guards against a count of queries in flight that becomes
// negative, and against picking an instance that is blocked, too small or no
// longer listed, for any order of calls.
func TestTableStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(smallCapacity)
		now := start
		ids := []model.InstanceID{"a", "b", "c"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				var list []Instance
				for _, id := range ids {
					if rapid.Bool().Draw(t, "listed") {
						list = append(list, Instance{ID: id, SameDataCentre: rapid.Bool().Draw(t, "near"), Capacity: rapid.Float64Range(0, 1).Draw(t, "capacity")})
					}
				}
				table.Update(list)
			case 1:
				if id, ok := table.Pick(now, manyParts, 0, nil); ok {
					c := table.find(id)
					if c == nil || c.Capacity < minCapacityRatio*smallCapacity || now.Before(c.blockedUntil) {
						t.Fatalf("picked %v", c)
					}
					table.QueryStarted(id)
				}
			case 2, 3:
				table.QueryFinished(now, id, Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")), rapid.IntRange(0, 9).Draw(t, "active"))
			}
			for _, c := range table.candidates {
				if c.inFlight < 0 {
					t.Fatal("negative count")
				}
			}
		}
	})
}

// TestUrgentQueriesAreAccepted guards against an instance that runs one query and
// declines all urgent queries, whose target is short, while it accepts less urgent ones:
// with 90 shards and a target of 50 ms, one running query sufficed.
func TestUrgentQueriesAreAccepted(t *testing.T) {
	must.True(t, Accepts(largeCapacity, 90, 1, 50*time.Millisecond))
	must.True(t, Accepts(largeCapacity, 135, 1, 50*time.Millisecond))
	must.False(t, Accepts(largeCapacity, 135, 6, 50*time.Millisecond))
}

// TestAskedInstancesAreNotAskedAgain guards against a query that is delegated again to an
// instance that has just declined it.
func TestAskedInstancesAreNotAskedAgain(t *testing.T) {
	table := smallTable(near, far)
	id, ok := table.Pick(start, manyParts, 0, []model.InstanceID{"near"})
	must.True(t, ok)
	must.Eq(t, "far", id)
	_, ok = table.Pick(start, manyParts, 0, []model.InstanceID{"near", "far"})
	must.False(t, ok)
}
