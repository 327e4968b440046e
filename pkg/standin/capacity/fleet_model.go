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
	// pollInterval is how often an instance checks for due reads and fetches,
	// as in pkg/instance.
	pollInterval = 50 * time.Millisecond
	// minRoleInterval is the least time between two computations of an
	// instance's reader role. A computation takes time linear in the size of
	// the fleet.
	minRoleInterval = time.Second
	// readTimeout is added to the wait of a watch if the platform is
	// unreachable.
	readTimeout = 500 * time.Millisecond
	// connectTimeout is how long a fetch from an unreachable peer takes.
	connectTimeout = 200 * time.Millisecond
	workers        = 6
	// maxWait is the longest virtual time that the model runs until a condition
	// holds.
	maxWait = 15 * time.Minute
)

var errUnreachable = errors.New("unreachable")

// packet is a control datagram; from and to are indexes of instances.
type packet struct {
	from, to int
	data     []byte
}

// fetch is a fetch of documents by the instance of index from at the peer of index to.
type fetch struct {
	from, to int
	finishAt time.Time
}

// modelledInstance holds the membership, the catalog and the platform reader of
// one instance.
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

// fleetModel is a fleet of instances in virtual time. Data centres can be cut
// off from each other and from the platform.
type fleetModel struct {
	// step is the time step of the model and the one-way latency of every
	// message.
	step           time.Duration
	now            time.Time
	start          time.Time
	instances      []*modelledInstance
	pendingFetches []fetch
	// partitioned reports whether two data centres can't reach each other.
	partitioned         func(a, b int) bool
	platformUnreachable func(dc int) bool
	documents           map[string]uint64
	documentsVersion    uint64
	indexByID           map[model.InstanceID]int
	indexByAddress      map[string]int
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
		// The offset spreads the probe rounds of the instances over time.
		at := epoch.Add(time.Duration(i%steps) * step)
		p := &modelledInstance{
			index: i, dataCentre: i % dataCentres, alive: true,
			membership:     membership.New(membership.Config{Self: member(i, dataCentres), Cluster: "production", Rand: r}, at),
			catalog:        catalog.New(parseStub),
			reader:         catalog.NewReader(catalog.ReaderConfig{Rand: r}),
			fetchPlan:      catalog.NewFetchPlan(catalog.FetchConfig{Rand: r}),
			nextRoleUpdate: at,
		}
		p.membership.SetListed(at, listed)
		fleet.instances = append(fleet.instances, p)
	}
	return fleet
}

func (fleet *fleetModel) heal() {
	fleet.partitioned = func(int, int) bool { return false }
	fleet.platformUnreachable = func(int) bool { return false }
}

// parseStub parses the model's short documents. The cost of parsing real ones
// is measured separately.
func parseStub(b []byte) (*document.Document, error) {
	d := &document.Document{}
	_, err := fmt.Sscanf(string(b), "%s %d", &d.Service, &d.Revision)
	return d, err
}

func (fleet *fleetModel) publish(service string) {
	fleet.documents[service]++
	fleet.documentsVersion++
}

// advance moves virtual time on by one step. The instances run in parallel, and
// their messages are delivered in the order of the instances, so that a run
// depends only on the seed.
func (fleet *fleetModel) advance() {
	fleet.now = fleet.now.Add(fleet.step)
	var wait sync.WaitGroup
	for k := range workers {
		wait.Go(func() {
			for i := k; i < len(fleet.instances); i += workers {
				if p := fleet.instances[i]; p.alive {
					fleet.stepInstance(p)
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

func (fleet *fleetModel) stepInstance(p *modelledInstance) {
	for _, in := range p.inbox {
		p.receivedBytes += len(in.data) + udpHeaderBytes
		r, err := p.membership.Receive(fleet.now, controlAddress(in.from), in.data)
		if err != nil {
			panic(err)
		}
		fleet.send(p, r.Sends)
		p.fetchPlan.Observe(fleet.now, r.Sender.ID, r.CatalogHash, slices.ContainsFunc(r.Documents, p.catalog.Lacks))
	}
	p.inbox = p.inbox[:0]
	if !fleet.now.Before(p.membership.NextWake()) {
		fleet.send(p, p.membership.Tick(fleet.now))
	}
	for _, e := range p.membership.TakeEvents() {
		if e.Kind == membership.EventDead {
			p.recordedDeaths++
		}
	}
	if fleet.now.Sub(fleet.start)%pollInterval == 0 {
		fleet.updateReaderRole(p)
		fleet.stepPlatformRead(p)
		fleet.startFetch(p)
	}
}

func (fleet *fleetModel) send(p *modelledInstance, sends []membership.Send) {
	for _, s := range sends {
		to, ok := fleet.indexByAddress[s.Address]
		if !ok {
			continue
		}
		p.sentBytes += len(s.Datagram) + udpHeaderBytes
		p.outbox = append(p.outbox, packet{from: p.index, to: to, data: s.Datagram})
	}
}

func (fleet *fleetModel) updateReaderRole(p *modelledInstance) {
	v := p.membership.Version()
	if v == p.roleViewVersion || fleet.now.Before(p.nextRoleUpdate) {
		return
	}
	p.roleViewVersion, p.nextRoleUpdate = v, fleet.now.Add(minRoleInterval)
	members := p.membership.Members()
	self := p.membership.Self()
	unreachable := 0
	for _, m := range members {
		if m.DataCentre == self.DataCentre && m.PlatformUnreachable {
			unreachable++
		}
	}
	role := slices.Contains(placement.Readers(self.DataCentre, members, readersPerDataCentre), self.ID)
	if p.reader.SetRole(fleet.now, role, unreachable) && !role && p.openRead != nil {
		p.openRead = nil
		p.reader.Cancelled()
	}
}

func (fleet *fleetModel) stepPlatformRead(p *modelledInstance) {
	if r, ok := p.reader.Next(fleet.now); ok {
		p.openRead, p.openReadEnd = &r, fleet.now.Add(r.Wait)
		p.platformReads++
	}
	if p.openRead == nil {
		return
	}
	switch {
	case fleet.platformUnreachable(p.dataCentre):
		if fleet.now.Before(p.openReadEnd.Add(readTimeout)) {
			return
		}
		p.reader.Finished(fleet.now, 0, errUnreachable)
	case fleet.documentsVersion > p.openRead.Since || !fleet.now.Before(p.openReadEnd):
		p.reader.Finished(fleet.now, fleet.documentsVersion, nil)
		for service, revision := range fleet.documents {
			p.offer(fleet.now, port.RawDocument{Service: service, Content: fmt.Appendf(nil, "%s %d", service, revision)})
		}
	default:
		return
	}
	p.openRead = nil
	p.membership.SetPlatformUnreachable(fleet.now, p.reader.Unreachable())
}

func (p *modelledInstance) offer(now time.Time, raw port.RawDocument) bool {
	out := p.catalog.Offer(raw)
	if out.Verdict != catalog.Adopted {
		return false
	}
	p.membership.SetCatalogHash(p.catalog.Hash())
	p.fetchPlan.SetHash(now, p.catalog.Hash())
	p.membership.AnnounceDocument(port.DocumentVersion{Service: raw.Service, Revision: out.Document.Revision, Digest: 1})
	return true
}

func (fleet *fleetModel) startFetch(p *modelledInstance) {
	peer, ok := p.fetchPlan.Next(fleet.now)
	if !ok {
		return
	}
	f := fetch{from: p.index, to: fleet.indexByID[peer], finishAt: fleet.now.Add(2 * fleet.step)}
	if !fleet.reachable(f.from, f.to) {
		f.finishAt = fleet.now.Add(connectTimeout)
	}
	p.startedFetches = append(p.startedFetches, f)
}

func (fleet *fleetModel) reachable(a, b int) bool {
	return fleet.instances[b].alive && !fleet.partitioned(fleet.instances[a].dataCentre, fleet.instances[b].dataCentre)
}

func (fleet *fleetModel) deliverPackets() {
	for _, p := range fleet.instances {
		for _, out := range p.outbox {
			if fleet.reachable(out.from, out.to) {
				to := fleet.instances[out.to]
				to.inbox = append(to.inbox, out)
			}
		}
		p.outbox = p.outbox[:0]
		fleet.pendingFetches = append(fleet.pendingFetches, p.startedFetches...)
		p.startedFetches = p.startedFetches[:0]
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

// runUntil runs until condition holds and returns the virtual time that this
// took. It checks the condition once in a fifth of a round.
func (fleet *fleetModel) runUntil(condition func() bool) time.Duration {
	started := fleet.now
	for !condition() {
		fleet.advance()
		if fleet.now.Sub(started) > maxWait {
			panic(fmt.Sprintf("the model of %d instances did not settle within %s", len(fleet.instances), maxWait))
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
	for _, p := range fleet.instances {
		if p.alive && p.catalog.Hash() == want.Hash() {
			n++
		}
	}
	return n
}

func (fleet *fleetModel) countAlive() int {
	n := 0
	for _, p := range fleet.instances {
		if p.alive {
			n++
		}
	}
	return n
}

// viewsExact reports whether each live instance regards exactly the live
// instances as candidates.
func (fleet *fleetModel) viewsExact() bool {
	n := fleet.countAlive()
	for _, p := range fleet.instances {
		if p.alive && len(p.membership.Candidates(fleet.now)) != n {
			return false
		}
	}
	return true
}
