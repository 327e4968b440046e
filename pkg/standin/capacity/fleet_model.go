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
	// readPoll is how often a process looks for due reads and fetches, as in
	// pkg/instance.
	readPoll = 50 * time.Millisecond
	// rolePoll is the least time between two computations of the reader role
	// of one process, which take time linear in the fleet.
	rolePoll = time.Second
	// readTimeout is added to a watch's wait when the platform is unreachable.
	readTimeout = 500 * time.Millisecond
	// connectTimeout is how long a fetch from an unreachable peer takes.
	connectTimeout = 200 * time.Millisecond
	workers        = 6
	// modelLimit bounds the virtual time of one wait.
	modelLimit = 15 * time.Minute
)

var errUnreachable = errors.New("unreachable")

type packet struct {
	from, to int
	data     []byte
}

type fetch struct {
	from, to int
	at       time.Time
}

// process is one instance's membership, catalog and reader.
type process struct {
	index   int
	dc      int
	alive   bool
	member  *membership.Membership
	catalog *catalog.Catalog
	reader  *catalog.Reader
	plan    *catalog.FetchPlan

	inbox, outbox []packet
	fetches       []fetch
	read          *catalog.Read
	readEnd       time.Time
	roleAt        time.Time
	roleVersion   uint64

	sentBytes        int
	receivedBytes    int
	platformReads    int
	fetchCount       int
	fetchedDocuments int
	deaths           int
}

// network is a fleet of processes in virtual time. Its links and platform
// connections can be cut.
type network struct {
	// step is the model's time step and the one-way latency of every message.
	step    time.Duration
	now     time.Time
	start   time.Time
	procs   []*process
	fetches []fetch
	// cut reports whether two data centres can't reach each other.
	cut         func(a, b int) bool
	platformCut func(dc int) bool
	documents   map[string]uint64
	version     uint64
	ids         map[model.InstanceID]int
	addresses   map[string]int
}

func newNetwork(n int, seed uint64, step time.Duration) *network {
	w := &network{
		step: step, now: epoch, start: epoch, documents: make(map[string]uint64),
		ids: make(map[model.InstanceID]int, n), addresses: make(map[string]int, n),
	}
	w.heal()
	var listed []port.ListedInstance
	for i := range n {
		m := member(i, dataCentres)
		w.ids[m.ID], w.addresses[m.ControlAddress] = i, i
		listed = append(listed, port.ListedInstance{ID: m.ID, ControlAddress: m.ControlAddress, DataCentre: m.DataCentre})
	}
	steps := int(roundTime / step)
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		// The offset spreads the probe rounds of the processes over time.
		at := epoch.Add(time.Duration(i%steps) * step)
		p := &process{
			index: i, dc: i % dataCentres, alive: true,
			member:  membership.New(membership.Config{Self: member(i, dataCentres), Cluster: "production", Rand: r}, at),
			catalog: catalog.New(parseStub),
			reader:  catalog.NewReader(catalog.ReaderConfig{Rand: r}),
			plan:    catalog.NewFetchPlan(catalog.FetchConfig{Rand: r}),
			roleAt:  at,
		}
		p.member.SetListed(at, listed)
		w.procs = append(w.procs, p)
	}
	return w
}

func (w *network) heal() {
	w.cut = func(int, int) bool { return false }
	w.platformCut = func(int) bool { return false }
}

// parseStub reads the model's short documents. The cost of real ones is
// measured separately.
func parseStub(b []byte) (*document.Document, error) {
	d := &document.Document{}
	_, err := fmt.Sscanf(string(b), "%s %d", &d.Service, &d.Revision)
	return d, err
}

func (w *network) publish(service string) {
	w.documents[service]++
	w.version++
}

// advance moves virtual time on. Processes run in parallel, and their messages
// are passed on in the order of the processes, so that a run depends on the
// seed alone.
func (w *network) advance() {
	w.now = w.now.Add(w.step)
	var wait sync.WaitGroup
	for k := range workers {
		wait.Go(func() {
			for i := k; i < len(w.procs); i += workers {
				if p := w.procs[i]; p.alive {
					w.drive(p)
				}
			}
		})
	}
	wait.Wait()
	w.route()
	w.finishFetches()
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
	}
}

func (w *network) drive(p *process) {
	for _, in := range p.inbox {
		p.receivedBytes += len(in.data) + headerBytes
		r, err := p.member.Receive(w.now, controlAddress(in.from), in.data)
		if err != nil {
			panic(err)
		}
		w.send(p, r.Sends)
		p.plan.Observe(w.now, r.Sender.ID, r.CatalogHash, slices.ContainsFunc(r.Documents, p.catalog.Lacks))
	}
	p.inbox = p.inbox[:0]
	if !w.now.Before(p.member.NextWake()) {
		w.send(p, p.member.Tick(w.now))
	}
	for _, e := range p.member.TakeEvents() {
		if e.Kind == membership.EventDead {
			p.deaths++
		}
	}
	if w.now.Sub(w.start)%readPoll == 0 {
		w.driveRole(p)
		w.driveRead(p)
		w.driveFetch(p)
	}
}

func (w *network) send(p *process, sends []membership.Send) {
	for _, s := range sends {
		to, ok := w.addresses[s.Address]
		if !ok {
			continue
		}
		p.sentBytes += len(s.Datagram) + headerBytes
		p.outbox = append(p.outbox, packet{from: p.index, to: to, data: s.Datagram})
	}
}

func (w *network) driveRole(p *process) {
	v := p.member.Version()
	if v == p.roleVersion || w.now.Before(p.roleAt) {
		return
	}
	p.roleVersion, p.roleAt = v, w.now.Add(rolePoll)
	members := p.member.Members()
	self := p.member.Self()
	unreachable := 0
	for _, m := range members {
		if m.DataCentre == self.DataCentre && m.PlatformUnreachable {
			unreachable++
		}
	}
	role := slices.Contains(placement.Readers(self.DataCentre, members, readersPerDataCentre), self.ID)
	if p.reader.SetRole(w.now, role, unreachable) && !role && p.read != nil {
		p.read = nil
		p.reader.Cancelled()
	}
}

func (w *network) driveRead(p *process) {
	if r, ok := p.reader.Next(w.now); ok {
		p.read, p.readEnd = &r, w.now.Add(r.Wait)
		p.platformReads++
	}
	if p.read == nil {
		return
	}
	switch {
	case w.platformCut(p.dc):
		if w.now.Before(p.readEnd.Add(readTimeout)) {
			return
		}
		p.reader.Finished(w.now, 0, errUnreachable)
	case w.version > p.read.Since || !w.now.Before(p.readEnd):
		p.reader.Finished(w.now, w.version, nil)
		for service, revision := range w.documents {
			p.offer(w.now, port.RawDocument{Service: service, Content: fmt.Appendf(nil, "%s %d", service, revision)})
		}
	default:
		return
	}
	p.read = nil
	p.member.SetPlatformUnreachable(w.now, p.reader.Unreachable())
}

func (p *process) offer(now time.Time, raw port.RawDocument) bool {
	out := p.catalog.Offer(raw)
	if out.Verdict != catalog.Adopted {
		return false
	}
	p.member.SetCatalogHash(p.catalog.Hash())
	p.plan.SetHash(now, p.catalog.Hash())
	p.member.AnnounceDocument(port.DocumentVersion{Service: raw.Service, Revision: out.Document.Revision, Digest: 1})
	return true
}

func (w *network) driveFetch(p *process) {
	peer, ok := p.plan.Next(w.now)
	if !ok {
		return
	}
	f := fetch{from: p.index, to: w.ids[peer], at: w.now.Add(2 * w.step)}
	if !w.reachable(f.from, f.to) {
		f.at = w.now.Add(connectTimeout)
	}
	p.fetches = append(p.fetches, f)
}

func (w *network) reachable(a, b int) bool {
	return w.procs[b].alive && !w.cut(w.procs[a].dc, w.procs[b].dc)
}

func (w *network) route() {
	for _, p := range w.procs {
		for _, out := range p.outbox {
			if w.reachable(out.from, out.to) {
				to := w.procs[out.to]
				to.inbox = append(to.inbox, out)
			}
		}
		p.outbox = p.outbox[:0]
		w.fetches = append(w.fetches, p.fetches...)
		p.fetches = p.fetches[:0]
	}
}

func (w *network) finishFetches() {
	kept := w.fetches[:0]
	for _, f := range w.fetches {
		if w.now.Before(f.at) {
			kept = append(kept, f)
			continue
		}
		if w.procs[f.from].alive {
			w.finishFetch(f)
		}
	}
	w.fetches = kept
}

func (w *network) finishFetch(f fetch) {
	p, q := w.procs[f.from], w.procs[f.to]
	if !w.reachable(f.from, f.to) {
		p.plan.Finished(w.now, q.member.Self().ID, false, errUnreachable)
		return
	}
	p.fetchCount++
	gained := false
	for _, raw := range q.catalog.Newer(p.catalog.Versions()) {
		p.fetchedDocuments++
		gained = p.offer(w.now, raw) || gained
	}
	p.plan.Finished(w.now, q.member.Self().ID, gained, nil)
}

// until runs until ok holds and returns the virtual time that it took. It
// checks once in a fifth of a round.
func (w *network) until(ok func() bool) time.Duration {
	started := w.now
	for !ok() {
		w.advance()
		if w.now.Sub(started) > modelLimit {
			panic(fmt.Sprintf("the model of %d instances did not settle within %s", len(w.procs), modelLimit))
		}
	}
	return w.now.Sub(started)
}

// holders counts the live processes that hold all published documents.
func (w *network) holders() int {
	want := catalog.New(parseStub)
	for service, revision := range w.documents {
		want.Offer(port.RawDocument{Service: service, Content: fmt.Appendf(nil, "%s %d", service, revision)})
	}
	n := 0
	for _, p := range w.procs {
		if p.alive && p.catalog.Hash() == want.Hash() {
			n++
		}
	}
	return n
}

func (w *network) living() int {
	n := 0
	for _, p := range w.procs {
		if p.alive {
			n++
		}
	}
	return n
}

// whole reports whether each live process takes exactly the live ones for
// candidates.
func (w *network) whole() bool {
	n := w.living()
	for _, p := range w.procs {
		if p.alive && len(p.member.Candidates(w.now)) != n {
			return false
		}
	}
	return true
}
