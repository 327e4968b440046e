package instance

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// driver runs the load, the faults and the checks of one simulation.
type driver struct {
	*simulation
	faultsInProgress   sync.WaitGroup
	load               sync.WaitGroup
	stop               chan struct{} // Closed to end the load and the samples.
	readyProcesses     atomic.Pointer[[]*process]
	lastTag            atomic.Int64
	latestDocuments    map[string]*document.Document // The documents with the highest revision, by service.
	publishedDocuments map[string]bool               // Valid published documents as "service revision digest".
	notRunCodes        map[string]result.Code        // The codes of queries answered as "not run", by tag.
	orders             map[string][]*submission      // The submissions of each order, by order key.
	hasFaults          bool                          // True if the plan has faults other than graceful restarts.
	restartLock        chan struct{}                 // Holds a value while an instance is being restarted or killed.
	// answerCounts counts answers by result code.
	answerCounts map[string]int
}

func newDriver(seed int) *driver {
	return &driver{
		simulation: newSimulation(uint64(seed)), stop: make(chan struct{}), restartLock: make(chan struct{}, 1),
		latestDocuments: make(map[string]*document.Document), publishedDocuments: make(map[string]bool), notRunCodes: make(map[string]result.Code),
		orders: make(map[string][]*submission), answerCounts: make(map[string]int),
	}
}

var services = []string{"catalogue", "desk"}

// setup creates the hosts, the platform, the upstreams and the first document of
// each service.
func (d *driver) setup() {
	d.platform = newPlatform(d.simulation)
	for i := range fleetSize {
		d.hosts = append(d.hosts, &host{
			sim: d.simulation, index: i, id: model.InstanceID(fmt.Sprintf("127.0.0.1:%d", 7000+i)),
			controlAddress: fmt.Sprintf("127.0.0.1:%d", 7100+i), dataCentre: model.DataCentre(fmt.Sprintf("dc%d", i/3)), // dc0 has three instances, so that one is not a reader.
		})
	}
	slots, limits := []int{2, 3, 3, 1}, []int{10, 5, 30, 5}
	for s, service := range services {
		doc := &document.Document{
			Service: service, Revision: 1,
			Priorities: []document.Priority{
				{Name: "top", TargetMS: 100, DeadlineMS: 400, LeastCoverage: 0.5, GuaranteedShare: 0.4, Worth: 3},
				{Name: "middle", TargetMS: 300, DeadlineMS: 800, LeastCoverage: 0.8, GuaranteedShare: 0.3, Worth: 2},
				{Name: "low", TargetMS: 800, DeadlineMS: 1500, GuaranteedShare: 0.2, Worth: 1},
			},
			Operations: []document.Operation{{Name: "search"}, {Name: "reserve", NonIdempotent: true}},
		}
		for u := range 4 {
			o := document.Upstream{
				Name: fmt.Sprintf("%s-%d", service, u), DataCentre: d.hosts[u%2*3].dataCentre,
				Address: fmt.Sprintf("127.0.0.2:%d", 8000+10*s+u), Slots: slots[u], ConnectionLimit: limits[u],
			}
			doc.Upstreams = append(doc.Upstreams, o)
			d.upstreams[o.Address] = &fakeUpstream{
				sim: d.simulation, spec: o, rng: newTestRand(d.seed, uint64(10*s+u)), broken: make(chan struct{}),
				snapshots: make(map[model.SnapshotID]bool), slowFactor: 1,
			}
		}
		d.latestDocuments[service] = doc
		d.addSnapshot(doc, 4+s*2)
		for _, u := range doc.Upstreams {
			d.upstreams[u.Address].snapshots[doc.Newest().ID] = true
		}
		d.publish(doc)
	}
}

// addSnapshot adds a new snapshot with random replicas to the document, and drops
// all older snapshots but the last.
func (d *driver) addSnapshot(doc *document.Document, shards int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := document.Snapshot{ID: model.SnapshotID(fmt.Sprintf("%s-r%d", doc.Service, doc.Revision))}
	for n := range shards {
		first := d.rng.IntN(4)
		s.Shards = append(s.Shards, document.Shard{
			ID: model.ShardID(strconv.Itoa(n)), Replicas: []string{doc.Upstreams[first].Name, doc.Upstreams[(first+1+d.rng.IntN(3))%4].Name},
		})
		d.publishedShards[s.ID] = append(d.publishedShards[s.ID], model.ShardID(strconv.Itoa(n)))
	}
	doc.Snapshots = append(doc.Snapshots[max(0, len(doc.Snapshots)-1):len(doc.Snapshots):len(doc.Snapshots)], s)
}

// publish publishes a valid document on the platform and records it as published.
func (d *driver) publish(doc *document.Document) {
	content, err := json.Marshal(doc)
	if err == nil {
		_, err = document.Parse(content)
	}
	if err != nil {
		panic(err)
	}
	d.mu.Lock()
	d.publishedDocuments[fmt.Sprintf("%s %d %d", doc.Service, doc.Revision, xxhash.Sum64(content))] = true
	d.mu.Unlock()
	d.platform.publish(map[string][]byte{doc.Service: content})
}

// nextRevision returns a copy of the service's latest document with the next
// revision, which becomes the latest.
func (d *driver) nextRevision(service string) *document.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := *d.latestDocuments[service]
	c.Revision++
	d.latestDocuments[service] = &c
	return &c
}

// run starts the instances, starts the load, injects the planned faults, waits until
// the instances must have recovered, and makes the checks.
func (d *driver) run(plan []plannedFault) {
	d.setup()
	for _, h := range d.hosts {
		h.start()
	}
	empty := []*process{}
	d.readyProcesses.Store(&empty)
	go d.sampleState()
	time.Sleep(4 * time.Second)
	d.check("ready", len(*d.readyProcesses.Load()) == fleetSize, "%d instances are ready 4 s after the start", len(*d.readyProcesses.Load()))
	d.hasFaults = slices.ContainsFunc(plan, func(fault plannedFault) bool { return fault.kind != "restart" })
	d.startLoad()
	for _, fault := range plan {
		d.faultsInProgress.Go(func() {
			time.Sleep(fault.at)
			d.mu.Lock()
			d.faultCounts[fault.kind]++
			d.mu.Unlock()
			faultKinds[fault.kind](d, fault)
		})
	}
	d.faultsInProgress.Wait()
	want := d.expectedRevisions()
	time.Sleep(convergenceBound)
	d.checkRecovered(want)
	close(d.stop)
	d.load.Wait()
	time.Sleep(2 * time.Second) // Delayed requests may still run.
	d.checkExecutions()
	d.finish()
}

// finish kills all processes and stops all instances, also those of processes that
// were killed before, so that no goroutine is left.
func (d *driver) finish() {
	for _, h := range d.hosts {
		h.kill()
	}
	close(d.end)
	time.Sleep(5 * time.Second)
	for _, i := range d.allInstances {
		i.Stop()
	}
}
