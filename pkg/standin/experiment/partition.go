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
	platformSideInstances = 5
	partitionMS           = 10000
	// adoptionLimit is the time in which an accepted change is in force
	// everywhere, in seconds.
	adoptionLimitSeconds = 8
	adoptionPollInterval = 50 * time.Millisecond
	// adoptionWait ends the wait for a change that is not adopted.
	adoptionTimeout = 15 * time.Second
)

// documentChange is what was seen of a change of a document during a split. The
// times are NaN if they were not measured, and adoptionWait if the change was not
// in force by then.
type documentChange struct {
	// reachable is the time from the publication until the change was in force on
	// the platform's side, and everywhere the time from the reunion until it was
	// in force at all instances, in seconds.
	platformSideSeconds, allInstancesSeconds float64
	// crossed is the number of instances on the other side that had the change
	// before the reunion, which shows a leak of the relay.
	leakedInstances int
}

// cutScenario cuts the service's home off from all other instances and from the
// platform. Callers and upstreams still reach it.
func isolatedInstanceScenario() scenario {
	s := instanceScenario("instance-cut", func(_ context.Context, d *deployment) error {
		isolated := d.faultTarget().Name
		others := append(d.otherInstanceNames(isolated), launch.PlatformNode)
		d.fleet.Relay.Separate([]string{isolated}, others, relay.Silent)
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
func partitionScenario() scenario {
	return scenario{
		name:      "fleet-split",
		faultLoad: steadyLoad,
		lengthMS:  partitionMS,
		afterMS:   phaseMS,
		orders:    true,
		relayed:   true,
		fault:     startPartition,
		undo:      endPartition,
		aims: []aim{
			violationsAim(),
			{text: "seconds until a change is in force on the platform's side", limit: adoptionLimitSeconds, measure: func(o *outcome) float64 {
				return o.change.platformSideSeconds
			}},
			{text: "instances without the platform that had the change before the reunion", limit: 0, measure: func(o *outcome) float64 {
				if math.IsNaN(o.change.allInstancesSeconds) {
					return math.NaN()
				}
				return float64(o.change.leakedInstances)
			}},
			{text: "seconds from the reunion until the change is in force everywhere", limit: adoptionLimitSeconds, measure: func(o *outcome) float64 {
				return o.change.allInstancesSeconds
			}},
		},
	}
}

func startPartition(ctx context.Context, d *deployment) error {
	withPlatform, withoutPlatform := d.partitionSides()
	d.change = documentChange{platformSideSeconds: math.NaN(), allInstancesSeconds: math.NaN()}
	d.fleet.Relay.Separate(append(instanceNames(withPlatform), launch.PlatformNode), instanceNames(withoutPlatform), relay.Silent)
	time.Sleep(partitionMS / 2 * time.Millisecond)
	err := d.fleet.ChangeDocument(ctx, d.upstreamHost, func(doc *document.Document) {
		doc.Priorities = slices.Clone(doc.Priorities)
		doc.Priorities[len(doc.Priorities)-1].TargetMS++
	})
	if err == nil && d.product {
		d.change.platformSideSeconds = d.awaitInForce(ctx, withPlatform)
	}
	return err
}

func endPartition(ctx context.Context, d *deployment) error {
	_, withoutPlatform := d.partitionSides()
	if d.product {
		d.change.leakedInstances = d.countInForce(ctx, withoutPlatform)
	}
	d.fleet.Relay.Restore()
	if d.product {
		d.change.allInstancesSeconds = d.awaitInForce(ctx, d.fleet.Instances())
	}
	return nil
}

// sides returns the instances with and without the platform during a split.
func (d *deployment) partitionSides() ([]*launch.Instance, []*launch.Instance) {
	if d.partitionHome == nil {
		d.partitionHome = d.faultTarget()
	}
	ordered := []*launch.Instance{}
	for _, i := range d.fleet.Instances() {
		if i != d.partitionHome {
			ordered = append(ordered, i)
		}
	}
	ordered = append(ordered, d.partitionHome)
	return ordered[:platformSideInstances], ordered[platformSideInstances:]
}

func instanceNames(instances []*launch.Instance) []string {
	var out []string
	for _, i := range instances {
		out = append(out, i.Name)
	}
	return out
}

// instanceNames returns the names of all instances but one.
func (d *deployment) otherInstanceNames(except string) []string {
	return slices.DeleteFunc(instanceNames(d.fleet.Instances()), func(n string) bool { return n == except })
}

// awaitRevision returns the seconds until the document's revision is in force at
// all of the instances, at most adoptionWait.
func (d *deployment) awaitInForce(ctx context.Context, instances []*launch.Instance) float64 {
	start := time.Now()
	for time.Since(start) < adoptionTimeout && ctx.Err() == nil {
		if d.countInForce(ctx, instances) == len(instances) {
			return time.Since(start).Seconds()
		}
		time.Sleep(adoptionPollInterval)
	}
	return adoptionTimeout.Seconds()
}

// countRevision returns the number of instances at which the document's revision
// is in force.
func (d *deployment) countInForce(ctx context.Context, instances []*launch.Instance) int {
	count := 0
	for _, i := range instances {
		revision, err := revisionAt(ctx, i, d.service.Name)
		if err == nil && revision == d.upstreamHost.Document.Revision {
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
