package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/relay"
)

const (
	// platformSide is the number of instances on the platform's side of a split.
	platformSide = 5
	splitMS      = 10000
	// adoptionLimit is the time in which an accepted change is in force
	// everywhere, in seconds.
	adoptionLimit = 8
	adoptionPoll  = 50 * time.Millisecond
	// adoptionWait ends the wait for a change that is not adopted.
	adoptionWait = 15 * time.Second
)

// documentChange is what was seen of a change of a document during a split. The
// times are NaN if they were not measured, and adoptionWait if the change was not
// in force by then.
type documentChange struct {
	// reachable is the time from the publication until the change was in force on
	// the platform's side, and everywhere the time from the reunion until it was
	// in force at all instances, in seconds.
	reachable, everywhere float64
	// crossed is the number of instances on the other side that had the change
	// before the reunion, which shows a leak of the relay.
	crossed int
}

// cutScenario cuts the service's home off from all other instances and from the
// platform. Callers and upstreams still reach it.
func cutScenario() scenario {
	s := instanceScenario("instance-cut", func(_ context.Context, d *deployment) error {
		victim := d.victim().Name
		rest := append(d.instanceNames(victim), launch.PlatformNode)
		d.fleet.Relay.SetModeBothWays([]string{victim}, rest, relay.Silent)
		return nil
	}, func(_ context.Context, d *deployment) error {
		d.fleet.Relay.Restore()
		return nil
	})
	s.relayed = true
	return s
}

// splitScenario splits the fleet 5 to 4. The larger side has the platform and
// the smaller one the service's home; upstreams and callers reach both. The
// service's document changes in the middle of the split.
func splitScenario() scenario {
	return scenario{
		name:      "fleet-split",
		faultLoad: steadyLoad,
		lengthMS:  splitMS,
		afterMS:   phaseMS,
		orders:    true,
		relayed:   true,
		fault:     startSplit,
		undo:      endSplit,
		aims: []aim{
			brokenPromises(),
			{text: "seconds until a change is in force on the platform's side", limit: adoptionLimit, measure: func(o *outcome) float64 {
				return o.change.reachable
			}},
			{text: "instances without the platform that had the change before the reunion", limit: 0, measure: func(o *outcome) float64 {
				if math.IsNaN(o.change.everywhere) {
					return math.NaN()
				}
				return float64(o.change.crossed)
			}},
			{text: "seconds from the reunion until the change is in force everywhere", limit: adoptionLimit, measure: func(o *outcome) float64 {
				return o.change.everywhere
			}},
		},
	}
}

func startSplit(ctx context.Context, d *deployment) error {
	near, far := d.sides()
	d.change = documentChange{reachable: math.NaN(), everywhere: math.NaN()}
	d.fleet.Relay.SetModeBothWays(append(names(near), launch.PlatformNode), names(far), relay.Silent)
	time.Sleep(splitMS / 2 * time.Millisecond)
	err := d.fleet.ChangeDocument(ctx, d.host, func(doc *document.Document) {
		doc.Priorities = slices.Clone(doc.Priorities)
		doc.Priorities[len(doc.Priorities)-1].TargetMS++
	})
	if err == nil && d.product {
		d.change.reachable = d.awaitRevision(ctx, near)
	}
	return err
}

func endSplit(ctx context.Context, d *deployment) error {
	_, far := d.sides()
	if d.product {
		d.change.crossed = d.countRevision(ctx, far)
	}
	d.fleet.Relay.Restore()
	if d.product {
		d.change.everywhere = d.awaitRevision(ctx, d.fleet.Instances())
	}
	return nil
}

// sides returns the instances with and without the platform during a split.
func (d *deployment) sides() ([]*launch.Instance, []*launch.Instance) {
	if d.home == nil {
		d.home = d.victim()
	}
	ordered := []*launch.Instance{}
	for _, i := range d.fleet.Instances() {
		if i != d.home {
			ordered = append(ordered, i)
		}
	}
	ordered = append(ordered, d.home)
	return ordered[:platformSide], ordered[platformSide:]
}

func names(instances []*launch.Instance) []string {
	var out []string
	for _, i := range instances {
		out = append(out, i.Name)
	}
	return out
}

// instanceNames returns the names of all instances but one.
func (d *deployment) instanceNames(except string) []string {
	return slices.DeleteFunc(names(d.fleet.Instances()), func(n string) bool { return n == except })
}

// awaitRevision returns the seconds until the document's revision is in force at
// all of the instances, at most adoptionWait.
func (d *deployment) awaitRevision(ctx context.Context, instances []*launch.Instance) float64 {
	start := time.Now()
	for time.Since(start) < adoptionWait && ctx.Err() == nil {
		if d.countRevision(ctx, instances) == len(instances) {
			return time.Since(start).Seconds()
		}
		time.Sleep(adoptionPoll)
	}
	return adoptionWait.Seconds()
}

// countRevision returns the number of instances at which the document's revision
// is in force.
func (d *deployment) countRevision(ctx context.Context, instances []*launch.Instance) int {
	count := 0
	for _, i := range instances {
		revision, err := revisionAt(ctx, i, d.service.Name)
		if err == nil && revision == d.host.Document.Revision {
			count++
		}
	}
	return count
}

func revisionAt(ctx context.Context, i *launch.Instance, service string) (uint64, error) {
	var status struct {
		Documents []struct {
			Service  string `json:"service"`
			Revision uint64 `json:"revision"`
		} `json:"documents"`
	}
	if err := launch.GetJSON(ctx, i.Settings.OperatorAddress, "/status", &status); err != nil {
		return 0, err
	}
	for _, doc := range status.Documents {
		if doc.Service == service {
			return doc.Revision, nil
		}
	}
	return 0, fmt.Errorf("%s has no document of service %s", i.Name, service)
}
