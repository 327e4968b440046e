package compare

import (
	"fmt"
	"math"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// scheduling says who schedules an upstream.
type scheduling int

const (
	// atHome is the product: the home has the queue and makes the calls.
	atHome scheduling = iota
	// alone lets every instance schedule all upstreams for itself.
	alone
	// leases lets the home decide while the entry makes the calls.
	leases
)

// way is one way to make a decision; everything else is as in the product.
type way struct {
	name       string
	scheduling scheduling
	// rule changes the scheduler's rules, document the document that it has, and
	// request the requests that it gets.
	rule     func(w *world, r *scheduler.Overrides)
	document func(d *document.Document)
	request  func(w *world, r *model.GroupRequest)
}

func (v way) rules(w *world) scheduler.Overrides {
	var r scheduler.Overrides
	if v.rule != nil {
		v.rule(w, &r)
	}
	return r
}

var asBuilt = way{name: "as built", scheduling: atHome}

var schedulingWays = []way{
	asBuilt,
	{name: "each alone", scheduling: alone},
	{name: "slot leases", scheduling: leases},
}

var priorityWays = []way{
	asBuilt,
	{name: "fifo", document: onePriority, request: intoOneQueue},
	{name: "strict", document: func(d *document.Document) { setShares(d, 1, 0, 0) }},
	{name: "shares only", rule: func(_ *world, r *scheduler.Overrides) { r.SharesOnly = true }},
}

// onePriority leaves one queue for everything. Its target is unset, since the
// targets of the priorities differ, so that admission goes by deadline only.
func onePriority(d *document.Document) {
	d.Priorities = []document.Priority{{Name: "all", DeadlineMS: d.Priorities[len(d.Priorities)-1].DeadlineMS, GuaranteedShare: 1}}
}

func intoOneQueue(_ *world, r *model.GroupRequest) {
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

var admissionWays = []way{
	asBuilt,
	{name: "no refusal", rule: func(_ *world, r *scheduler.Overrides) { r.NoAdmission = true }},
}

var replicaWays = []way{
	asBuilt,
	replicaWay("round robin", func(_ *world, c scheduler.Candidate) float64 {
		if c.Tried || (int(c.RequestSeq)+c.Index)%c.Replicas == 0 {
			return 0
		}
		return math.Inf(1)
	}),
	replicaWay("least in flight", func(_ *world, c scheduler.Candidate) float64 { return float64(c.InFlight) }),
	replicaWay("latency only", func(_ *world, c scheduler.Candidate) float64 { return c.LatencyFactor }),
	replicaWay("load endpoint", func(w *world, c scheduler.Candidate) float64 { return w.servers[c.Upstream].reported }),
}

func replicaWay(name string, cost func(w *world, c scheduler.Candidate) float64) way {
	return way{name: name, rule: func(w *world, r *scheduler.Overrides) {
		r.ReplicaCost = func(c scheduler.Candidate) float64 { return cost(w, c) }
	}}
}

var hedgeWays = []way{
	asBuilt,
	{name: "no hedge", document: func(d *document.Document) { setBudgets(d, 0, document.DefaultExtraFraction) }},
	hedgeDelayWay(10 * time.Millisecond),
	hedgeDelayWay(30 * time.Millisecond),
	{name: "no budget", document: func(d *document.Document) { setBudgets(d, 1, 2) }},
}

func hedgeDelayWay(delay time.Duration) way {
	return way{name: fmt.Sprintf("after %v", delay), rule: func(_ *world, r *scheduler.Overrides) { r.HedgeDelay = delay }}
}

func setBudgets(d *document.Document, hedge, extra float64) {
	d.Budgets = document.Budgets{HedgeFraction: &hedge, ExtraFraction: &extra}
}

var retryWays = []way{
	asBuilt,
	{name: "no retry", rule: func(_ *world, r *scheduler.Overrides) { r.FixedRetries = -1 }},
	{name: "three retries", rule: func(_ *world, r *scheduler.Overrides) { r.FixedRetries = 3 }},
}

var rampWays = []way{
	asBuilt,
	{name: "no ramp", rule: func(_ *world, r *scheduler.Overrides) { r.NoRamp = true }},
}
