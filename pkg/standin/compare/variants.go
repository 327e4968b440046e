package compare

import (
	"fmt"
	"math"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// schedulingMode says which instance schedules the calls to an upstream.
type schedulingMode int

const (
	// byHome is what the product does: the home of the group queues the requests
	// and makes the calls.
	byHome schedulingMode = iota
	// byEachInstance lets each entry schedule the calls for its own queries,
	// without regard to the calls of other instances.
	byEachInstance
	// byLease lets the home decide when a call starts. The home then lends the
	// slot to the entry of the query, which makes the call.
	byLease
)

// variant is one way to make a decision. It makes all other decisions as the product
// does.
type variant struct {
	name       string
	scheduling schedulingMode
	// Each of these functions may be nil. setOverrides sets the scheduler's
	// overrides, changeDocument changes the document that the scheduler uses, and
	// changeRequest changes each group request that is sent to the scheduler.
	setOverrides   func(sim *simulation, o *scheduler.Overrides)
	changeDocument func(d *document.Document)
	changeRequest  func(sim *simulation, r *model.GroupRequest)
}

func (v variant) overrides(sim *simulation) scheduler.Overrides {
	var o scheduler.Overrides
	if v.setOverrides != nil {
		v.setOverrides(sim, &o)
	}
	return o
}

// asBuilt is the product without changes.
var asBuilt = variant{name: "as built", scheduling: byHome}

var schedulingVariants = []variant{
	asBuilt,
	{name: "each alone", scheduling: byEachInstance},
	{name: "slot leases", scheduling: byLease},
}

var priorityVariants = []variant{
	asBuilt,
	{name: "fifo", changeDocument: mergePriorities, changeRequest: mergeRequests},
	{name: "strict", changeDocument: func(d *document.Document) { setShares(d, 1, 0, 0) }},
	{name: "shares only", setOverrides: func(_ *simulation, o *scheduler.Overrides) { o.SharesOnly = true }},
}

// mergePriorities replaces all priorities with a single one, so that all requests
// wait in one queue. The single priority has no target, because the targets of the
// priorities differ; admission then depends only on the deadline.
func mergePriorities(d *document.Document) {
	d.Priorities = []document.Priority{{Name: "all", DeadlineMS: d.Priorities[len(d.Priorities)-1].DeadlineMS, GuaranteedShare: 1}}
}

// mergeRequests gives all requests the priority of mergePriorities and the same
// caller, so that they are served in the order of their arrival.
func mergeRequests(_ *simulation, r *model.GroupRequest) {
	r.Priority = "all"
	r.Caller = "all"
}

func setShares(d *document.Document, shares ...float64) {
	priorities := append([]document.Priority(nil), d.Priorities...)
	for i := range priorities {
		priorities[i].GuaranteedShare = shares[i]
	}
	d.Priorities = priorities
}

var admissionVariants = []variant{
	asBuilt,
	{name: "no refusal", setOverrides: func(_ *simulation, o *scheduler.Overrides) { o.NoAdmission = true }},
}

var replicaVariants = []variant{
	asBuilt,
	replicaVariant("round robin", func(_ *simulation, c scheduler.Candidate) float64 {
		if c.Tried || (int(c.RequestSeq)+c.Index)%c.Replicas == 0 {
			return 0
		}
		return math.Inf(1)
	}),
	replicaVariant("least in flight", func(_ *simulation, c scheduler.Candidate) float64 { return float64(c.InFlight) }),
	replicaVariant("latency only", func(_ *simulation, c scheduler.Candidate) float64 { return c.LatencyFactor }),
	replicaVariant("load endpoint", func(sim *simulation, c scheduler.Candidate) float64 { return sim.byName[c.Upstream].reportedLoad }),
}

// replicaVariant returns a variant that uses the replica with the lowest cost.
func replicaVariant(name string, cost func(sim *simulation, c scheduler.Candidate) float64) variant {
	return variant{name: name, setOverrides: func(sim *simulation, o *scheduler.Overrides) {
		o.ReplicaCost = func(c scheduler.Candidate) float64 { return cost(sim, c) }
	}}
}

var hedgeVariants = []variant{
	asBuilt,
	{name: "no hedge", changeDocument: func(d *document.Document) { setBudgets(d, 0, document.DefaultExtraFraction) }},
	hedgeDelayVariant(10 * time.Millisecond),
	hedgeDelayVariant(30 * time.Millisecond),
	{name: "no budget", changeDocument: func(d *document.Document) { setBudgets(d, 1, 2) }},
}

func hedgeDelayVariant(delay time.Duration) variant {
	return variant{name: fmt.Sprintf("after %v", delay), setOverrides: func(_ *simulation, o *scheduler.Overrides) { o.HedgeDelay = delay }}
}

// setBudgets sets the budgets of hedges and of all extra attempts, as fractions of
// the first attempts.
func setBudgets(d *document.Document, hedge, extra float64) {
	d.Budgets = document.Budgets{HedgeFraction: &hedge, ExtraFraction: &extra}
}

var retryVariants = []variant{
	asBuilt,
	{name: "no retry", setOverrides: func(_ *simulation, o *scheduler.Overrides) { o.FixedRetries = -1 }},
	{name: "three retries", setOverrides: func(_ *simulation, o *scheduler.Overrides) { o.FixedRetries = 3 }},
}

var rampVariants = []variant{
	asBuilt,
	{name: "no ramp", setOverrides: func(_ *simulation, o *scheduler.Overrides) { o.NoRamp = true }},
}
