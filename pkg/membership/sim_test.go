package membership_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/placement"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// Random tests use this seed unless the command line gives another one.
var _ = flag.Set("rapid.seed", "20261204")

const (
	simStep    = 10 * time.Millisecond
	listPeriod = 2 * time.Second
)

var errUnreachable = errors.New("unreachable")

type boots struct {
	id   model.InstanceID
	boot model.BootID
}

// process is one process run of an instance.
type process struct {
	m       *membership.Membership
	catalog *catalog.Catalog
	reader  *catalog.Reader
	plan    *catalog.FetchPlan
	roleAt  uint64
	// leaving and revisions are what this process has seen so far.
	leaving   map[boots]bool
	revisions map[string]uint64
	read      *catalog.Read
	readEnd   time.Time
	nextList  time.Time
	// quarantines counts the entries received.
	quarantines int
}

type packet struct {
	at       time.Time
	from, to int
	data     []byte
}

// sim drives processes over a network in virtual time.
type sim struct {
	t           must.T
	now         time.Time
	rng         *rand.Rand
	dcs         int
	procs       []*process
	paused      []time.Time
	left        []bool
	cut         map[[2]int]bool
	platformCut map[int]bool
	listed      []port.ListedInstance
	listStale   bool
	loss, dup   float64
	// lag is how late every tick is.
	lag       time.Duration
	delay     time.Duration
	packets   []packet
	documents map[string]uint64
	version   uint64
	index     map[string]int
	bytes     int
	// unchecked turns off the assertions after every step, which are
	// quadratic in the fleet.
	unchecked bool
	// smallFleet is passed to the processes; 1 makes the bounds of a large
	// fleet hold in a small one.
	smallFleet int
	datagrams  int
	suspicions int
}

func newSim(t must.T, seed uint64, n, dcs int) *sim {
	return newSimBounded(t, seed, n, dcs, 0)
}

func newSimBounded(t must.T, seed uint64, n, dcs, smallFleet int) *sim {
	s := &sim{
		smallFleet: smallFleet,
		t:          t, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), dcs: dcs,
		procs: make([]*process, n), paused: make([]time.Time, n), left: make([]bool, n),
		cut: make(map[[2]int]bool), platformCut: make(map[int]bool), documents: make(map[string]uint64),
		delay: 2 * time.Millisecond, index: make(map[string]int),
	}
	for i := range n {
		s.index[simAddress(i)] = i
		s.start(i)
	}
	s.refreshList()
	return s
}

func simID(i int) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
}
func simAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250) }

func (s *sim) dc(i int) model.DataCentre { return model.DataCentre(fmt.Sprintf("dc%d", i%s.dcs)) }

func (s *sim) start(i int) {
	r := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
	boot := membership.NewBootID(s.now, r)
	self := membership.Member{ID: simID(i), ControlAddress: simAddress(i), DataCentre: s.dc(i), Boot: boot}
	s.procs[i] = &process{
		m:         membership.New(membership.Config{Self: self, Cluster: "test", Rand: r, SmallFleetSize: s.smallFleet}, s.now),
		catalog:   catalog.New(parseTest),
		reader:    catalog.NewReader(catalog.ReaderConfig{Rand: r}),
		plan:      catalog.NewFetchPlan(catalog.FetchConfig{Rand: r}),
		leaving:   make(map[boots]bool),
		revisions: make(map[string]uint64),
		nextList:  s.now,
	}
	s.paused[i] = time.Time{}
	s.left[i] = false
}

func parseTest(b []byte) (*document.Document, error) {
	service, rest, _ := strings.Cut(string(b), " ")
	revision, err := strconv.ParseUint(rest, 10, 64)
	return &document.Document{Service: service, Revision: revision}, err
}

func testDocument(service string, revision uint64) port.RawDocument {
	return port.RawDocument{Service: service, Content: fmt.Appendf(nil, "%s %d", service, revision)}
}

func (s *sim) publish(service string) {
	s.documents[service]++
	s.version++
}

func (s *sim) refreshList() {
	s.listed = nil
	for i, p := range s.procs {
		if p != nil {
			s.listed = append(s.listed, port.ListedInstance{ID: simID(i), ControlAddress: simAddress(i), DataCentre: s.dc(i)})
		}
	}
}

// runs reports whether process i runs now.
func (s *sim) runs(i int) bool { return s.procs[i] != nil && !s.now.Before(s.paused[i]) }

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	if !s.listStale && s.now.UnixNano()%int64(listPeriod) < int64(simStep) {
		s.refreshList()
	}
	due := s.packets
	s.packets = nil
	for _, p := range due {
		if p.at.After(s.now) || s.procs[p.to] != nil && !s.runs(p.to) {
			s.packets = append(s.packets, p)
			continue
		}
		if s.procs[p.to] != nil {
			s.receive(p)
		}
	}
	for i, p := range s.procs {
		if s.runs(i) {
			s.drive(i, p)
			if !s.unchecked {
				s.check(i, p)
			}
		}
	}
}

func (s *sim) receive(in packet) {
	p := s.procs[in.to]
	r, err := p.m.Receive(s.now, simAddress(in.from), in.data)
	must.NoError(s.t, err)
	p.quarantines += len(r.Quarantines)
	s.send(in.to, r.Sends)
	lacks := slices.ContainsFunc(r.Documents, p.catalog.Lacks)
	p.plan.Observe(s.now, r.Sender.ID, r.CatalogHash, lacks)
}

func (s *sim) send(from int, sends []membership.Send) {
	for _, d := range sends {
		must.LessEq(s.t, membership.MaxDatagram, len(d.Datagram))
		s.bytes += len(d.Datagram)
		s.datagrams++
		to := s.index[d.Address]
		copies := 1
		if s.rng.Float64() < s.dup {
			copies = 2
		}
		for range copies {
			if s.cut[[2]int{from, to}] || s.rng.Float64() < s.loss {
				continue
			}
			at := s.now.Add(time.Duration(s.rng.Int64N(int64(s.delay))))
			s.packets = append(s.packets, packet{at: at, from: from, to: to, data: d.Datagram})
		}
	}
}

// drive does what an instance's driver does: timers, the platform's list,
// reads of documents and fetches from peers.
func (s *sim) drive(i int, p *process) {
	if !p.nextList.After(s.now) && !s.platformCut[i] {
		p.m.SetListed(s.now, s.listed)
		p.nextList = s.now.Add(listPeriod)
	}
	if !s.now.Before(p.m.NextWake().Add(s.lag)) {
		s.send(i, p.m.Tick(s.now))
	}
	p.m.BootstrapComplete(s.now)
	s.driveReader(i, p)
	s.driveFetches(i, p)
}

func (s *sim) driveReader(i int, p *process) {
	if v := p.m.Version(); v != p.roleAt {
		p.roleAt = v
		role := slices.Contains(placement.Readers(s.dc(i), p.m.Members(), 2), simID(i))
		unreachable := 0
		for _, r := range p.m.Members() {
			if r.DataCentre == s.dc(i) && r.PlatformUnreachable {
				unreachable++
			}
		}
		p.reader.SetRole(s.now, role, unreachable)
	}
	if r, ok := p.reader.Next(s.now); ok {
		p.read, p.readEnd = &r, s.now.Add(r.Wait+500*time.Millisecond)
	}
	if p.read == nil {
		return
	}
	switch {
	case !s.platformCut[i] && (s.version > p.read.Since || s.now.After(p.readEnd.Add(-500*time.Millisecond))):
		p.reader.Finished(s.now, s.version, nil)
		for service, revision := range s.documents {
			s.offer(p, testDocument(service, revision))
		}
	case s.now.Before(p.readEnd):
		return
	default:
		p.reader.Finished(s.now, 0, errUnreachable)
	}
	p.read = nil
	p.m.SetPlatformUnreachable(s.now, p.reader.Unreachable())
}

func (s *sim) offer(p *process, raw port.RawDocument) bool {
	out := p.catalog.Offer(raw)
	if out.Verdict != catalog.Adopted {
		return false
	}
	p.m.SetCatalogHash(p.catalog.Hash())
	p.plan.SetHash(s.now, p.catalog.Hash())
	p.m.AnnounceDocument(port.DocumentVersion{Service: raw.Service, Revision: out.Document.Revision, Digest: xxhash.Sum64(raw.Content)})
	return true
}

func (s *sim) driveFetches(i int, p *process) {
	for {
		to, ok := p.plan.Next(s.now)
		if !ok {
			break
		}
		at := s.index[strings.Replace(string(to), ":7000", ":7100", 1)]
		if !s.runs(at) || s.cut[[2]int{i, at}] || s.cut[[2]int{at, i}] {
			p.m.Avoid(s.now, to)
			p.plan.Finished(s.now, to, false, errUnreachable)
			continue
		}
		gained := false
		for _, raw := range s.procs[at].catalog.Newer(p.catalog.Versions()) {
			gained = s.offer(p, raw) || gained
		}
		p.plan.Finished(s.now, to, gained, nil)
	}
}

// check asserts what must hold in every process after every step.
func (s *sim) check(i int, p *process) {
	self := p.m.Self()
	must.True(s.t, self.State == membership.Alive || self.State == membership.Leaving)
	for _, e := range p.m.TakeEvents() {
		must.False(s.t, e.Kind == membership.EventDead && e.Member.ID == self.ID)
		if e.Kind == membership.EventSuspect {
			s.suspicions++
		}
	}
	for _, r := range p.m.Members() {
		k := boots{r.ID, r.Boot}
		must.False(s.t, p.leaving[k] && r.State != membership.Leaving, must.Sprintf("%v: leaving of %v revoked", self.ID, r))
		if r.State == membership.Leaving {
			p.leaving[k] = true
		}
	}
	for _, v := range p.catalog.Versions() {
		must.GreaterEq(s.t, p.revisions[v.Service], v.Revision)
		p.revisions[v.Service] = v.Revision
	}
}

// endFaults heals everything but the platform connections of up to a third of
// the running processes. Leaving processes have exited by then.
func (s *sim) endFaults() {
	clear(s.cut)
	s.loss, s.dup, s.delay = 0, 0, 2*time.Millisecond
	s.listStale = false
	running := 0
	for i := range s.procs {
		s.paused[i] = time.Time{}
		if s.left[i] {
			s.procs[i] = nil
		}
		if s.procs[i] == nil {
			delete(s.platformCut, i)
			continue
		}
		running++
	}
	if 3*len(s.platformCut) > running {
		clear(s.platformCut)
	}
}

// viewsAgree reports a process whose view is not exactly the running processes.
func (s *sim) viewsAgree() error {
	want := make(map[boots]bool)
	for _, p := range s.procs {
		if p != nil {
			want[boots{p.m.Self().ID, p.m.Self().Boot}] = true
		}
	}
	for _, p := range s.procs {
		if p == nil {
			continue
		}
		wrong := func(r membership.Member) bool { return !want[boots{r.ID, r.Boot}] }
		got := p.m.Candidates(s.now)
		if len(got) != len(want) || len(p.m.Members()) != len(want) || slices.ContainsFunc(got, wrong) {
			return fmt.Errorf("%v sees %v of %d running", p.m.Self().ID, p.m.Members(), len(want))
		}
	}
	return nil
}

func (s *sim) catalogsAgree() error {
	want := catalog.New(parseTest)
	for service, revision := range s.documents {
		want.Offer(testDocument(service, revision))
	}
	for _, p := range s.procs {
		if p != nil && p.catalog.Hash() != want.Hash() {
			return fmt.Errorf("%v has %v, platform has %v", p.m.Self().ID, p.catalog.Versions(), want.Versions())
		}
	}
	return nil
}

// until runs until ok returns nil and returns the time taken, or fails.
func (s *sim) until(limit time.Duration, ok func() error) time.Duration {
	start := s.now
	for ok() != nil {
		must.Less(s.t, limit, s.now.Sub(start), must.Sprintf("after %v: %v", limit, ok()))
		s.step()
	}
	return s.now.Sub(start)
}
