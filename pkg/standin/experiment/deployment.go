package experiment

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

const (
	instanceCount = 9
	maxInstances  = 10
	readyTimeout  = 60 * time.Second
	// listLagMS is the delay until a change of the platform's lists is visible.
	listLagMS = 500
	// balancerPollMS and balancerLagMS configure the load generator's model of the
	// load balancer.
	balancerPollMS = 200
	balancerLagMS  = 500
	// leaveLagMS is the instances' setting balancer_lag_ms: the sum of balancerPollMS
	// and balancerLagMS, with a margin.
	leaveLagMS = 1000
	// leavingGrace is the time after which a leaving upstream must get no new work.
	leavingGrace = 3 * time.Second
	// executionPageSize is the number of log entries read in one request.
	executionPageSize = 5000
)

// deployment is a running fleet of the product or of the baseline, with its stand-in
// upstreams and platform.
type deployment struct {
	fleet *launch.Fleet
	// service is the first of the services. Faults and floods are applied to it.
	service       launch.Service
	otherServices []launch.Service
	// upstreamHost runs the upstreams of service.
	upstreamHost *launch.UpstreamHost
	// product is true if the instances are the product's, and false if they are the
	// baseline's.
	product bool
	// capacity is the capacity of service multiplied by the load factor, in queries
	// per second.
	capacity       float64
	pausedInstance *launch.Instance
	// leavingSince is the time at which the scenario made an upstream leave.
	leavingSince time.Time
	// rolloutDone receives the result of a rolling restart when it ends.
	rolloutDone chan error
	// partitionHome is the service's home at the start of a network partition.
	partitionHome *launch.Instance
	change        documentChange
	recording     recording
}

// deploymentSpec says what a deployment consists of.
type deploymentSpec struct {
	services []launch.Service
	// instances is the number of instances.
	instances int
	// relayed sends the traffic between instances, and between instances and the
	// platform, through a relay that can cut links.
	relayed bool
}

// deploy starts the platform, the upstreams and the instances, and waits until all
// instances are ready.
func deploy(ctx context.Context, o Options, program, dir string, spec deploymentSpec) (*deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	fleet, err := launch.NewFleet(ctx, launch.Config{
		Sardineturn:   program,
		Standin:       o.Standin,
		Dir:           dir,
		Cluster:       filepath.Base(dir),
		ListLagMS:     listLagMS,
		BalancerLagMS: leaveLagMS,
		MaxInstances:  maxInstances,
		LogLevel:      "info",
		Seed:          o.Seed,
		Trace:         o.Trace && program == o.Sardineturn,
		Relayed:       spec.relayed,
	})
	if err != nil {
		return nil, err
	}
	s := spec.services[0]
	d := &deployment{
		fleet: fleet, service: s, otherServices: spec.services[1:], product: program == o.Sardineturn,
		capacity: s.Capacity() * o.loadFactor(), rolloutDone: make(chan error, 1),
	}
	d.recording.dir = dir
	if err := d.start(ctx, spec.instances); err != nil {
		return nil, errors.Join(err, fleet.Stop())
	}
	return d, nil
}

// start starts the upstreams of all services, and then count instances, which it
// assigns to the data centres in turn. It waits until the instances are ready.
func (d *deployment) start(ctx context.Context, count int) error {
	var err error
	if d.upstreamHost, err = d.fleet.StartService(ctx, d.service); err != nil {
		return err
	}
	for _, s := range d.otherServices {
		if _, err := d.fleet.StartService(ctx, s); err != nil {
			return err
		}
	}
	for n := range count {
		if _, err := d.fleet.StartInstance(ctx, d.service.DataCentres[n%len(d.service.DataCentres)]); err != nil {
			return err
		}
	}
	for _, i := range d.fleet.Instances() {
		if err := i.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// loadFactor returns the factor that multiplies all loads, 1 by default.
func (o Options) loadFactor() float64 {
	if o.LoadFactor == 0 {
		return 1
	}
	return o.LoadFactor
}

func (d *deployment) upstreamName(n int) string { return d.upstreamHost.Upstreams[n].Name }

// crash makes the n-th upstream simulate a crash: it resets its connections and refuses
// new ones for refusalTime.
func (d *deployment) crash(ctx context.Context, n int, refusalTime time.Duration) error {
	path := "/admin/crash?upstream=" + d.upstreamName(n)
	return launch.PostJSON(ctx, d.upstreamHost.Admin, path, map[string]any{"refuse_ms": refusalTime.Milliseconds()}, nil)
}

// faultTarget returns the instance that faults are applied to: the service's home if
// an instance can name it, and otherwise the first instance.
func (d *deployment) faultTarget() *launch.Instance {
	instances := d.fleet.Instances()
	var explanation struct {
		Shards []struct {
			Homes []model.InstanceID `json:"homes"`
		} `json:"shards"`
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	path := "/explain?service=" + d.service.Name
	for _, asked := range instances {
		err := launch.GetJSON(ctx, asked.Settings.OperatorAddress, path, &explanation)
		if err != nil || len(explanation.Shards) == 0 || len(explanation.Shards[0].Homes) == 0 {
			continue
		}
		for _, i := range instances {
			if i.Settings.InstanceID == explanation.Shards[0].Homes[0] {
				return i
			}
		}
	}
	return instances[0]
}

// rollout stops and restarts all instances, one after another, as the rollout of a
// new version does.
func (d *deployment) rollout(ctx context.Context) {
	var failed error
	for _, i := range d.fleet.Instances() {
		if err := i.Leave(ctx); err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", i.Name, err))
		}
		if err := i.Restart(ctx); err != nil {
			failed = errors.Join(failed, err)
			break
		}
		if err := i.WaitReady(ctx); err != nil {
			failed = errors.Join(failed, err)
			break
		}
	}
	d.rolloutDone <- failed
}

// eachExecution calls f for each entry of the execution log of the first service's
// upstreams.
func (d *deployment) eachExecution(ctx context.Context, f func(upstream.Execution)) error {
	since := 0
	for {
		var page upstream.Executions
		path := fmt.Sprintf("/admin/executions?since=%d&limit=%d", since, executionPageSize)
		if err := launch.GetJSON(ctx, d.upstreamHost.Admin, path, &page); err != nil {
			return err
		}
		for _, e := range page.Executions {
			f(e)
		}
		if page.Next == since {
			return nil
		}
		since = page.Next
	}
}

// readExecutions sets the figures of the outcome that are computed from the execution
// log of the first service's upstreams.
func (d *deployment) readExecutions(ctx context.Context, out *outcome) error {
	finished := 0
	total := time.Duration(0)
	err := d.eachExecution(ctx, func(e upstream.Execution) {
		if !e.End.IsZero() {
			finished++
			total += e.End.Sub(e.Start)
		}
		if !d.leavingSince.IsZero() && e.Upstream == d.upstreamName(0) && e.Start.After(d.leavingSince.Add(leavingGrace)) {
			out.executionsAfterLeaving++
		}
		if e.Mark == crashMark {
			out.crashes++
		}
	})
	if finished > 0 {
		out.meanServiceTime = total / time.Duration(finished)
	}
	return err
}
