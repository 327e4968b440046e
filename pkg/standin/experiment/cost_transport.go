package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/internal/semaphore"
	"github.com/sardineturn/sardineturn/pkg/adapter/upstreamhttp"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/standin/launch"
)

// TransportRun describes a run of calls to upstreams without the scheduling decisions
// of an instance. The run uses the instance's HTTP client for upstreams, a goroutine
// for each call, and a limit of concurrent calls per upstream.
type TransportRun struct {
	// Upstreams are the addresses, "ip:port".
	Upstreams []string
	// Slots is the largest number of concurrent calls to an upstream.
	Slots int
	// Connections is the largest number of connections to an upstream.
	Connections int
	// BurstsPerSecond is the mean rate of bursts; the gaps between them are
	// distributed exponentially. In a burst, Calls calls go to the upstreams in turn,
	// like the calls of a query for its shards.
	BurstsPerSecond float64
	Calls           int
	Duration        time.Duration
	Seed            uint64
}

// TransportResult holds the numbers of calls of a TransportRun and its cost.
type TransportResult struct {
	Calls   int     `json:"calls"`
	Failed  int     `json:"failed"`
	Seconds float64 `json:"seconds"`
	// ProcessorSeconds is the user and system time that the process used.
	ProcessorSeconds float64 `json:"processor_seconds"`
	MemoryMB         float64 `json:"memory_mb"`
}

// transportDeadline is the time that each call may take. It is so long that no call
// exceeds it, even with a backlog of calls on a busy machine.
const transportDeadline = time.Minute

// RunTransport makes the calls in this process and measures the processor time and
// memory of the process.
func RunTransport(ctx context.Context, r TransportRun) (TransportResult, error) {
	client := upstreamhttp.New(port.SystemClock{})
	defer client.Close()
	slots := make([]*semaphore.Semaphore, len(r.Upstreams))
	for n, address := range r.Upstreams {
		slots[n] = semaphore.New(r.Slots)
		client.Warm(address, r.Slots)
	}
	before, err := processorSeconds(os.Getpid())
	if err != nil {
		return TransportResult{}, err
	}
	var failed atomic.Int64
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(r.Seed, 0))
	start := time.Now()
	next := start
	calls := 0
	for ctx.Err() == nil && next.Sub(start) < r.Duration {
		next = next.Add(time.Duration(rng.ExpFloat64() / r.BurstsPerSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		for range r.Calls {
			n := calls % len(r.Upstreams)
			call := r.call(n, calls)
			calls++
			wg.Go(func() {
				if err := slots[n].Acquire(ctx, semaphore.Unbounded); err != nil {
					return
				}
				defer slots[n].Release()
				if client.Execute(ctx, call).Code != result.OK {
					failed.Add(1)
				}
			})
		}
	}
	wg.Wait()
	after, err := processorSeconds(os.Getpid())
	if err != nil {
		return TransportResult{}, err
	}
	memory, err := residentMemoryMB(os.Getpid())
	return TransportResult{
		Calls: calls, Failed: int(failed.Load()), Seconds: time.Since(start).Seconds(),
		ProcessorSeconds: after - before, MemoryMB: memory,
	}, err
}

// call returns the call with the given number to the n-th upstream. The payload has
// the same fields as the load generator's payloads.
func (r TransportRun) call(n, number int) port.UpstreamCall {
	var id model.AttemptID
	copy(id[:], fmt.Sprintf("%016d", number))
	payload, _ := json.Marshal(map[string]string{"request": "transport." + strconv.Itoa(number), "priority": "counter", "mark": "", "filler": ""})
	return port.UpstreamCall{
		Attempt:        id,
		Upstream:       r.Upstreams[n],
		Address:        r.Upstreams[n],
		Service:        "cost",
		Operation:      launch.OperationSearch,
		Snapshot:       "v1",
		Shard:          model.ShardID(fmt.Sprintf("shard-%03d", number%r.Calls)),
		Payload:        payload,
		Deadline:       time.Now().Add(transportDeadline),
		MaxConnections: r.Connections,
	}
}

// measureTransport runs the command transport in a separate process, with upstreams of
// its own, and returns the table row. The rate of bursts is the rate of queries that an
// instance gets at the same load.
func measureTransport(ctx context.Context, o CostOptions, dir string, fraction float64) (string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	service := o.Size.service()
	d, err := deploy(ctx, o.Options, o.Sardineturn, dir, deploymentSpec{services: []launch.Service{service}, instances: 0})
	if err != nil {
		return "", err
	}
	defer func() { _ = d.fleet.Stop() }()
	addresses := make([]string, 0, len(d.upstreamHost.Upstreams))
	for _, u := range d.upstreamHost.Upstreams {
		addresses = append(addresses, u.Address)
	}
	args := []string{
		"transport",
		"--upstreams", strings.Join(addresses, ","),
		"--rate", strconv.FormatFloat(fraction*service.Capacity(), 'g', -1, 64),
		"--seed", strconv.FormatUint(o.Seed, 10),
	}
	if o.Size == SmallCost {
		args = append(args, "--small")
	}
	out, err := exec.CommandContext(ctx, o.Standin, args...).Output()
	if err != nil {
		return "", fmt.Errorf("command transport: %w", err)
	}
	var r TransportResult
	if err := json.Unmarshal(out, &r); err != nil {
		return "", err
	}
	if r.Failed > 0 {
		return "", fmt.Errorf("command transport: %d of %d calls to upstreams failed", r.Failed, r.Calls)
	}
	use, err := d.measureSlotUse(ctx)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%g\t%s\t%.0f\t%.0f\t%.1f\t%.1f\t-\t-\t%.3f\t%s\n", fraction, transportLabel, float64(r.Calls)/float64(service.Shards)/r.Seconds,
		float64(r.Calls)/r.Seconds, r.ProcessorSeconds*1e6/float64(r.Calls), r.MemoryMB, use.busyShare, use.idleColumn(fraction)), nil
}

// NewTransportRun returns the run with which the cost measurement measures the HTTP
// client, at the given rate in bursts per second.
func NewTransportRun(size CostSize, upstreams []string, rate float64, seed uint64) TransportRun {
	return TransportRun{
		Upstreams: upstreams, Slots: size.Slots, Connections: size.Connections / maxInstances,
		BurstsPerSecond: rate, Calls: size.Shards,
		Duration: costPhaseMS * time.Millisecond, Seed: seed,
	}
}
