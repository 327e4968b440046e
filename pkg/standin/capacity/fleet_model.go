package capacity

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/placement"
	"github.com/sardineturn/sardineturn/pkg/port"
)

const (
	// pollInterval is how often an instance checks whether a read of the platform
	// or a fetch from a peer is due, as in pkg/instance.
	pollInterval = 50 * time.Millisecond
	// minRoleInterval is the least virtual time between two computations of
	// whether an instance is a reader. It keeps the model fast, because the cost
	// of a computation is linear in the size of the fleet.
	minRoleInterval = time.Second
	// readTimeout is how long after the requested wait of a watch the read fails
	// if the platform is unreachable.
	readTimeout = 500 * time.Millisecond
	// connectTimeout is the time after which a fetch from an unreachable peer
	// fails.
	connectTimeout = 200 * time.Millisecond
	// workers is the number of goroutines that run the instances.
	workers = 6
	// maxWait is the longest virtual time that the model runs to wait for a
	// condition.
	maxWait = 15 * time.Minute
)

var errUnreachable = errors.New("unreachable")

// packet is a control datagram on its way; from and to are the indexes of its
// sender and receiver.
type packet struct {
	from, to int
	data     []byte
}

// fetch is a fetch of documents by the instance with index from; to is the index
// of the peer that serves them.
type fetch struct {
	from, to int
	finishAt time.Time
}

// modelledInstance is one instance of a fleetModel. It runs the product's
// membership, catalog, platform reader and fetch plan.
type modelledInstance struct {
	index      int
	dataCentre int
	alive      bool
	membership *membership.Membership
	catalog    *catalog.Catalog
	reader     *catalog.Reader
	fetchPlan  *catalog.FetchPlan

	inbox, outbox   []packet
	startedFetches  []fetch
	openRead        *catalog.Read
	openReadEnd     time.Time
	nextRoleUpdate  time.Time
	roleViewVersion uint64

	sentBytes        int
	receivedBytes    int
	platformReads    int
	fetchCount       int
	fetchedDocuments int
	recordedDeaths   int
}

// fleetModel models a fleet of instances in virtual time. Data centres can be cut
// off from each other and from the platform.
type fleetModel struct {
	// step is the time step of the model and the one-way latency of every
	// message.
	step           time.Duration
	now            time.Time
	start          time.Time
	instances      []*modelledInstance
	pendingFetches []fetch
	// partitioned reports whether two data centres, given by index, can't reach
	// each other; platformUnreachable does so for a data centre and the platform.
	partitioned         func(a, b int) bool
	platformUnreachable func(dc int) bool
	// documents maps each service to the revision of its document at the
	// platform. documentsVersion is the platform's version; it grows with each
	// published document.
	documents        map[string]uint64
	documentsVersion uint64
	indexByID        map[model.InstanceID]int
	indexByAddress   map[string]int
}

func newFleetModel(size int, seed uint64, step time.Duration) *fleetModel {
	fleet := &fleetModel{
		step: step, now: epoch, start: epoch, documents: make(map[string]uint64),
		indexByID: make(map[model.InstanceID]int, size), indexByAddress: make(map[string]int, size),
	}
	fleet.heal()
	var listed []port.ListedInstance
	for i := range size {
		m := member(i, dataCentres)
		fleet.indexByID[m.ID], fleet.indexByAddress[m.ControlAddress] = i, i
		listed = append(listed, port.ListedInstance{ID: m.ID, ControlAddress: m.ControlAddress, DataCentre: m.DataCentre})
	}
	steps := int(roundTime / step)
	for i := range size {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		// The instances start at different times, so that their probe rounds are
		// spread over the time of a round.
		startTime := epoch.Add(time.Duration(i%steps) * step)
		inst := &modelledInstance{
			index: i, dataCentre: i % dataCentres, alive: true,
			membership:     membership.New(membership.Config{Self: member(i, dataCentres), Cluster: "production", Rand: r}, startTime),
			catalog:        catalog.New(parseStub),
			reader:         catalog.NewReader(catalog.ReaderConfig{Rand: r}),
			fetchPlan:      catalog.NewFetchPlan(catalog.FetchConfig{Rand: r}),
			nextRoleUpdate: startTime,
		}
		inst.membership.SetListed(startTime, listed)
		fleet.instances = append(fleet.instances, inst)
	}
	return fleet
}

// heal makes all data centres reach each other and the platform.
func (fleet *fleetModel) heal() {
	fleet.partitioned = func(int, int) bool { return false }
	fleet.platformUnreachable = func(int) bool { return false }
}

// parseStub parses the short documents of the model, which consist of a service
// and a revision. measureCatalog measures the cost of parsing real documents.
func parseStub(b []byte) (*document.Document, error) {
	d := &document.Document{}
	_, err := fmt.Sscanf(string(b), "%s %d", &d.Service, &d.Revision)
	return d, err
}

func (fleet *fleetModel) publish(service string) {
	fleet.documents[service]++
	fleet.documentsVersion++
}

// advance moves virtual time on by one step. The instances run in parallel; their
// messages are collected and then delivered in the order of the instances, so
// that the result of a run depends only on the seed.
func (fleet *fleetModel) advance() {
	fleet.now = fleet.now.Add(fleet.step)
	var wait sync.WaitGroup
	for k := range workers {
		wait.Go(func() {
			for i := k; i < len(fleet.instances); i += workers {
				if inst := fleet.instances[i]; inst.alive {
					fleet.stepInstance(inst)
				}
			}
		})
	}
	wait.Wait()
	fleet.deliverPackets()
	fleet.finishFetches()
}

func (fleet *fleetModel) run(d time.Duration) {
	for end := fleet.now.Add(d); fleet.now.Before(end); {
		fleet.advance()
	}
}

func (fleet *fleetModel) stepInstance(inst *modelledInstance) {
	for _, incoming := range inst.inbox {
		inst.receivedBytes += len(incoming.data) + udpHeaderBytes
		r, err := inst.membership.Receive(fleet.now, controlAddress(incoming.from), incoming.data)
		if err != nil {
			panic(err)
		}
		fleet.send(inst, r.Sends)
		inst.fetchPlan.Observe(fleet.now, r.Sender.ID, r.CatalogHash, slices.ContainsFunc(r.Documents, inst.catalog.Lacks))
	}
	inst.inbox = inst.inbox[:0]
	if !fleet.now.Before(inst.membership.NextWake()) {
		fleet.send(inst, inst.membership.Tick(fleet.now))
	}
	for _, e := range inst.membership.TakeEvents() {
		if e.Kind == membership.EventDead {
			inst.recordedDeaths++
		}
	}
	if fleet.now.Sub(fleet.start)%pollInterval == 0 {
		fleet.updateReaderRole(inst)
		fleet.stepPlatformRead(inst)
		fleet.startFetch(inst)
	}
}

func (fleet *fleetModel) send(inst *modelledInstance, sends []membership.Send) {
	for _, s := range sends {
		to, ok := fleet.indexByAddress[s.Address]
		if !ok {
			continue
		}
		inst.sentBytes += len(s.Datagram) + udpHeaderBytes
		inst.outbox = append(inst.outbox, packet{from: inst.index, to: to, data: s.Datagram})
	}
}

func (fleet *fleetModel) updateReaderRole(inst *modelledInstance) {
	v := inst.membership.Version()
	if v == inst.roleViewVersion || fleet.now.Before(inst.nextRoleUpdate) {
		return
	}
	inst.roleViewVersion, inst.nextRoleUpdate = v, fleet.now.Add(minRoleInterval)
	members := inst.membership.Members()
	self := inst.membership.Self()
	unreachable := 0
	for _, m := range members {
		if m.DataCentre == self.DataCentre && m.PlatformUnreachable {
			unreachable++
		}
	}
	role := slices.Contains(placement.Readers(self.DataCentre, members, readersPerDataCentre), self.ID)
	if inst.reader.SetRole(fleet.now, role, unreachable) && !role && inst.openRead != nil {
		inst.openRead = nil
		inst.reader.Cancelled()
	}
}

func (fleet *fleetModel) stepPlatformRead(inst *modelledInstance) {
	if r, ok := inst.reader.Next(fleet.now); ok {
		inst.openRead, inst.openReadEnd = &r, fleet.now.Add(r.Wait)
		inst.platformReads++
	}
	if inst.openRead == nil {
		return
	}
	switch {
	case fleet.platformUnreachable(inst.dataCentre):
		if fleet.now.Before(inst.openReadEnd.Add(readTimeout)) {
			return
		}
		inst.reader.Finished(fleet.now, 0, errUnreachable)
	case fleet.documentsVersion > inst.openRead.Since || !fleet.now.Before(inst.openReadEnd):
		inst.reader.Finished(fleet.now, fleet.documentsVersion, nil)
		for service, revision := range fleet.documents {
			inst.offer(fleet.now, port.RawDocument{Service: service, Content: fmt.Appendf(nil, "%s %d", service, revision)})
		}
	default:
		return
	}
	inst.openRead = nil
	inst.membership.SetPlatformUnreachable(fleet.now, inst.reader.Unreachable())
}

// offer offers a document to the catalog, announces it to the peers if the
// catalog adopts it, and reports whether it does.
func (inst *modelledInstance) offer(now time.Time, raw port.RawDocument) bool {
	outcome := inst.catalog.Offer(raw)
	if outcome.Verdict != catalog.Adopted {
		return false
	}
	inst.membership.SetCatalogHash(inst.catalog.Hash())
	inst.fetchPlan.SetHash(now, inst.catalog.Hash())
	inst.membership.AnnounceDocument(port.DocumentVersion{Service: raw.Service, Revision: outcome.Document.Revision, Digest: 1})
	return true
}

func (fleet *fleetModel) startFetch(inst *modelledInstance) {
	peer, ok := inst.fetchPlan.Next(fleet.now)
	if !ok {
		return
	}
	f := fetch{from: inst.index, to: fleet.indexByID[peer], finishAt: fleet.now.Add(2 * fleet.step)}
	if !fleet.reachable(f.from, f.to) {
		f.finishAt = fleet.now.Add(connectTimeout)
	}
	inst.startedFetches = append(inst.startedFetches, f)
}

func (fleet *fleetModel) reachable(a, b int) bool {
	return fleet.instances[b].alive && !fleet.partitioned(fleet.instances[a].dataCentre, fleet.instances[b].dataCentre)
}

func (fleet *fleetModel) deliverPackets() {
	for _, inst := range fleet.instances {
		for _, outgoing := range inst.outbox {
			if fleet.reachable(outgoing.from, outgoing.to) {
				to := fleet.instances[outgoing.to]
				to.inbox = append(to.inbox, outgoing)
			}
		}
		inst.outbox = inst.outbox[:0]
		fleet.pendingFetches = append(fleet.pendingFetches, inst.startedFetches...)
		inst.startedFetches = inst.startedFetches[:0]
	}
}

func (fleet *fleetModel) finishFetches() {
	kept := fleet.pendingFetches[:0]
	for _, f := range fleet.pendingFetches {
		if fleet.now.Before(f.finishAt) {
			kept = append(kept, f)
			continue
		}
		if fleet.instances[f.from].alive {
			fleet.finishFetch(f)
		}
	}
	fleet.pendingFetches = kept
}

func (fleet *fleetModel) finishFetch(f fetch) {
	fetcher, source := fleet.instances[f.from], fleet.instances[f.to]
	if !fleet.reachable(f.from, f.to) {
		fetcher.fetchPlan.Finished(fleet.now, source.membership.Self().ID, false, errUnreachable)
		return
	}
	fetcher.fetchCount++
	adopted := false
	for _, raw := range source.catalog.Newer(fetcher.catalog.Versions()) {
		fetcher.fetchedDocuments++
		adopted = fetcher.offer(fleet.now, raw) || adopted
	}
	fetcher.fetchPlan.Finished(fleet.now, source.membership.Self().ID, adopted, nil)
}

// runUntil runs the model until condition holds and returns the virtual time that
// this took. It checks the condition after every step, and panics if it does not
// hold within maxWait.
func (fleet *fleetModel) runUntil(condition func() bool) time.Duration {
	started := fleet.now
	for !condition() {
		fleet.advance()
		if fleet.now.Sub(started) > maxWait {
			panic(fmt.Sprintf("the condition that the model of %d instances waits for did not hold within %s", len(fleet.instances), maxWait))
		}
	}
	return fleet.now.Sub(started)
}

// upToDate returns the number of live instances that hold all published
// documents.
func (fleet *fleetModel) upToDate() int {
	want := catalog.New(parseStub)
	for service, revision := range fleet.documents {
		want.Offer(port.RawDocument{Service: service, Content: fmt.Appendf(nil, "%s %d", service, revision)})
	}
	n := 0
	for _, inst := range fleet.instances {
		if inst.alive && inst.catalog.Hash() == want.Hash() {
			n++
		}
	}
	return n
}

func (fleet *fleetModel) countAlive() int {
	n := 0
	for _, inst := range fleet.instances {
		if inst.alive {
			n++
		}
	}
	return n
}

// viewsExact reports whether each live instance has as many home candidates as
// there are live instances.
func (fleet *fleetModel) viewsExact() bool {
	n := fleet.countAlive()
	for _, inst := range fleet.instances {
		if inst.alive && len(inst.membership.Candidates(fleet.now)) != n {
			return false
		}
	}
	return true
}
