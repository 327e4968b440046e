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
	// platformSideInstances is the number of instances that still reach the platform
	// during a partition.
	platformSideInstances = 5
	partitionMS           = 10000
	// adoptionLimitSeconds is the longest time that an accepted change of a document
	// may take until it is in force at all instances that it can reach.
	adoptionLimitSeconds = 8
	adoptionPollInterval = 50 * time.Millisecond
	// adoptionTimeout is how long the measurement waits for a change to be in force.
	adoptionTimeout = 15 * time.Second
)

// documentChange holds what was measured about a document change during a partition.
// A time is NaN if it was not measured, and adoptionTimeout if the change was not in
// force by then.
type documentChange struct {
	// platformSideSeconds is the time from the publication of the change until it was
	// in force at all instances on the platform's side. allInstancesSeconds is the
	// time from the end of the partition until it was in force at all instances.
	platformSideSeconds, allInstancesSeconds float64
	// leakedInstances is the number of instances on the other side at which the
	// change was in force before the partition ended. If it is above 0, the relay has
	// let traffic through.
	leakedInstances int
}

// isolatedInstanceScenario cuts all links between the service's home and the other
// instances and the platform. Callers and upstreams still reach the home.
func isolatedInstanceScenario() scenario {
	s := instanceScenario("instance-cut", func(_ context.Context, d *deployment) error {
		isolated := d.faultTarget().Name
		others := append(d.otherInstanceNames(isolated), launch.PlatformNode)
		d.fleet.Relay.SetModeBothWays([]string{isolated}, others, relay.Silent)
		return nil
	}, func(_ context.Context, d *deployment) error {
		d.fleet.Relay.Restore()
		return nil
	})
	s.relayed = true
	return s
}

// partitionScenario partitions the fleet into 5 and 4 instances. The larger side
// reaches the platform, and the smaller side has the service's home. Upstreams and
// callers reach both sides. The service's document changes in the middle of the
// partition.
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

// startPartition cuts the links between the two sides, and changes the document in the
// middle of the partition. For the product, it then measures when the change is in force
// on the platform's side.
func startPartition(ctx context.Context, d *deployment) error {
	withPlatform, withoutPlatform := d.partitionSides()
	d.change = documentChange{platformSideSeconds: math.NaN(), allInstancesSeconds: math.NaN()}
	d.fleet.Relay.SetModeBothWays(append(instanceNames(withPlatform), launch.PlatformNode), instanceNames(withoutPlatform), relay.Silent)
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

// endPartition restores the links. For the product, it first counts the instances
// without the platform at which the change is in force already. After the partition, it
// measures when the change is in force at all instances.
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

// partitionSides returns the instances that reach the platform during a partition,
// and those that do not.
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

// otherInstanceNames returns the names of all instances but one.
func (d *deployment) otherInstanceNames(except string) []string {
	return slices.DeleteFunc(instanceNames(d.fleet.Instances()), func(n string) bool { return n == except })
}

// awaitInForce waits until the document's newest revision is in force at all of the
// given instances and returns the seconds that it took. It returns adoptionTimeout
// if the revision is not in force by then.
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

// countInForce returns the number of the given instances at which the document's
// newest revision is in force.
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

// revisionAt returns the revision of the service's document that is in force at an
// instance.
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
	return 0, fmt.Errorf("instance %s has no document of service %s", i.Name, service)
}
