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

// processKey identifies one process of an instance.
type processKey struct {
	id   model.InstanceID
	boot model.BootID
}

// process is one process of a simulated instance.
type process struct {
	m           *membership.Membership
	catalog     *catalog.Catalog
	reader      *catalog.Reader
	plan        *catalog.FetchPlan
	roleVersion uint64
	// seenLeaving and seenRevisions hold what this process has observed so far,
	// to detect a revoked leave or an older revision.
	seenLeaving   map[processKey]bool
	seenRevisions map[string]uint64
	pendingRead   *catalog.Read
	readDeadline  time.Time
	nextListAt    time.Time
	// receivedQuarantines counts the new quarantine entries received from other
	// members.
	receivedQuarantines int
}

type packet struct {
	arrivesAt time.Time
	from, to  int
	data      []byte
}

// sim connects processes by a simulated network in virtual time.
type sim struct {
	t                         must.T
	now                       time.Time
	rng                       *rand.Rand
	dcCount                   int
	procs                     []*process
	pausedUntil               []time.Time
	announcedLeave            []bool
	cutLinks                  map[[2]int]bool
	platformCut               map[int]bool
	listed                    []port.ListedInstance
	listStale                 bool
	lossRate, duplicationRate float64
	// tickLag is the delay of each tick.
	tickLag         time.Duration
	maxDelay        time.Duration
	packets         []packet
	documents       map[string]uint64
	platformVersion uint64
	byAddress       map[string]int
	sentBytes       int
	// skipStepChecks turns off the assertions after each step, whose cost grows
	// with the square of the fleet size.
	skipStepChecks bool
	// smallFleetSize is passed to the processes; 1 applies the traffic limits
	// of a large fleet to a small one.
	smallFleetSize int
	sentDatagrams  int
	suspicions     int
}

func newSim(t must.T, seed uint64, n, dcs int) *sim {
	return newSimWithSmallFleetSize(t, seed, n, dcs, 0)
}

func newSimWithSmallFleetSize(t must.T, seed uint64, n, dcs, smallFleetSize int) *sim {
	s := &sim{
		smallFleetSize: smallFleetSize,
		t:              t, now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), dcCount: dcs,
		procs: make([]*process, n), pausedUntil: make([]time.Time, n), announcedLeave: make([]bool, n),
		cutLinks: make(map[[2]int]bool), platformCut: make(map[int]bool), documents: make(map[string]uint64),
		maxDelay: 2 * time.Millisecond, byAddress: make(map[string]int),
	}
	for i := range n {
		s.byAddress[simAddress(i)] = i
		s.start(i)
	}
	s.refreshList()
	return s
}

func simID(i int) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
}
func simAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250) }

func (s *sim) dc(i int) model.DataCentre { return model.DataCentre(fmt.Sprintf("dc%d", i%s.dcCount)) }

func (s *sim) start(i int) {
	r := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
	boot := membership.NewBootID(s.now, r)
	self := membership.Member{ID: simID(i), ControlAddress: simAddress(i), DataCentre: s.dc(i), Boot: boot}
	s.procs[i] = &process{
		m:             membership.New(membership.Config{Self: self, Cluster: "test", Rand: r, SmallFleetSize: s.smallFleetSize}, s.now),
		catalog:       catalog.New(parseTestDocument),
		reader:        catalog.NewReader(catalog.ReaderConfig{Rand: r}),
		plan:          catalog.NewFetchPlan(catalog.FetchConfig{Rand: r}),
		seenLeaving:   make(map[processKey]bool),
		seenRevisions: make(map[string]uint64),
		nextListAt:    s.now,
	}
	s.pausedUntil[i] = time.Time{}
	s.announcedLeave[i] = false
}

func parseTestDocument(b []byte) (*document.Document, error) {
	service, rest, _ := strings.Cut(string(b), " ")
	revision, err := strconv.ParseUint(rest, 10, 64)
	return &document.Document{Service: service, Revision: revision}, err
}

func testDocument(service string, revision uint64) port.RawDocument {
	return port.RawDocument{Service: service, Content: fmt.Appendf(nil, "%s %d", service, revision)}
}

func (s *sim) publish(service string) {
	s.documents[service]++
	s.platformVersion++
}

func (s *sim) refreshList() {
	s.listed = nil
	for i, p := range s.procs {
		if p != nil {
			s.listed = append(s.listed, port.ListedInstance{ID: simID(i), ControlAddress: simAddress(i), DataCentre: s.dc(i)})
		}
	}
}

// isRunning reports whether process i exists and is not paused.
func (s *sim) isRunning(i int) bool { return s.procs[i] != nil && !s.now.Before(s.pausedUntil[i]) }

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
		if p.arrivesAt.After(s.now) || s.procs[p.to] != nil && !s.isRunning(p.to) {
			s.packets = append(s.packets, p)
			continue
		}
		if s.procs[p.to] != nil {
			s.receive(p)
		}
	}
	for i, p := range s.procs {
		if s.isRunning(i) {
			s.drive(i, p)
			if !s.skipStepChecks {
				s.checkProcess(i, p)
			}
		}
	}
}

func (s *sim) receive(arrived packet) {
	p := s.procs[arrived.to]
	r, err := p.m.Receive(s.now, simAddress(arrived.from), arrived.data)
	must.NoError(s.t, err)
	p.receivedQuarantines += len(r.Quarantines)
	s.send(arrived.to, r.Sends)
	lacks := slices.ContainsFunc(r.Documents, p.catalog.Lacks)
	p.plan.Observe(s.now, r.Sender.ID, r.CatalogHash, lacks)
}

func (s *sim) send(from int, sends []membership.Send) {
	for _, d := range sends {
		must.LessEq(s.t, membership.MaxDatagram, len(d.Datagram))
		s.sentBytes += len(d.Datagram)
		s.sentDatagrams++
		to := s.byAddress[d.Address]
		copies := 1
		if s.rng.Float64() < s.duplicationRate {
			copies = 2
		}
		for range copies {
			if s.cutLinks[[2]int{from, to}] || s.rng.Float64() < s.lossRate {
				continue
			}
			arrival := s.now.Add(time.Duration(s.rng.Int64N(int64(s.maxDelay))))
			s.packets = append(s.packets, packet{arrivesAt: arrival, from: from, to: to, data: d.Datagram})
		}
	}
}

// drive does for a process what an instance does in a step: it runs the timers,
// reads the platform's list and documents, and fetches documents from peers.
func (s *sim) drive(i int, p *process) {
	if !p.nextListAt.After(s.now) && !s.platformCut[i] {
		p.m.SetListed(s.now, s.listed)
		p.nextListAt = s.now.Add(listPeriod)
	}
	if !s.now.Before(p.m.NextWake().Add(s.tickLag)) {
		s.send(i, p.m.Tick(s.now))
	}
	p.m.BootstrapComplete(s.now)
	s.driveReader(i, p)
	s.driveFetches(i, p)
}

func (s *sim) driveReader(i int, p *process) {
	if v := p.m.Version(); v != p.roleVersion {
		p.roleVersion = v
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
		p.pendingRead, p.readDeadline = &r, s.now.Add(r.Wait+500*time.Millisecond)
	}
	if p.pendingRead == nil {
		return
	}
	switch {
	case !s.platformCut[i] && (s.platformVersion > p.pendingRead.Since || s.now.After(p.readDeadline.Add(-500*time.Millisecond))):
		p.reader.Finished(s.now, s.platformVersion, nil)
		for service, revision := range s.documents {
			s.offer(p, testDocument(service, revision))
		}
	case s.now.Before(p.readDeadline):
		return
	default:
		p.reader.Finished(s.now, 0, errUnreachable)
	}
	p.pendingRead = nil
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
		peer := s.byAddress[strings.Replace(string(to), ":7000", ":7100", 1)]
		if !s.isRunning(peer) || s.cutLinks[[2]int{i, peer}] || s.cutLinks[[2]int{peer, i}] {
			p.m.Avoid(s.now, to)
			p.plan.Finished(s.now, to, false, errUnreachable)
			continue
		}
		gained := false
		for _, raw := range s.procs[peer].catalog.Newer(p.catalog.Versions()) {
			gained = s.offer(p, raw) || gained
		}
		p.plan.Finished(s.now, to, gained, nil)
	}
}

// checkProcess asserts the invariants of one process after a step: it is alive or
// leaving and does not declare itself dead, and it sees no leave that is revoked
// and no document that returns to an older revision. It also counts the
// suspicions.
func (s *sim) checkProcess(i int, p *process) {
	self := p.m.Self()
	must.True(s.t, self.State == membership.Alive || self.State == membership.Leaving)
	for _, e := range p.m.TakeEvents() {
		must.False(s.t, e.Kind == membership.EventDead && e.Member.ID == self.ID)
		if e.Kind == membership.EventSuspect {
			s.suspicions++
		}
	}
	for _, r := range p.m.Members() {
		k := processKey{r.ID, r.Boot}
		must.False(s.t, p.seenLeaving[k] && r.State != membership.Leaving, must.Sprintf("%v: leaving of %v revoked", self.ID, r))
		if r.State == membership.Leaving {
			p.seenLeaving[k] = true
		}
	}
	for _, v := range p.catalog.Versions() {
		must.GreaterEq(s.t, p.seenRevisions[v.Service], v.Revision)
		p.seenRevisions[v.Service] = v.Revision
	}
}

// endFaults ends all faults except the failed platform connections of up to a
// third of the running processes. It stops the processes that have announced
// their leave.
func (s *sim) endFaults() {
	clear(s.cutLinks)
	s.lossRate, s.duplicationRate, s.maxDelay = 0, 0, 2*time.Millisecond
	s.listStale = false
	running := 0
	for i := range s.procs {
		s.pausedUntil[i] = time.Time{}
		if s.announcedLeave[i] {
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

// viewsAgree returns an error unless each process's members and candidates are
// exactly the running processes.
func (s *sim) viewsAgree() error {
	want := make(map[processKey]bool)
	for _, p := range s.procs {
		if p != nil {
			want[processKey{p.m.Self().ID, p.m.Self().Boot}] = true
		}
	}
	for _, p := range s.procs {
		if p == nil {
			continue
		}
		wrong := func(r membership.Member) bool { return !want[processKey{r.ID, r.Boot}] }
		got := p.m.Candidates(s.now)
		if len(got) != len(want) || len(p.m.Members()) != len(want) || slices.ContainsFunc(got, wrong) {
			return fmt.Errorf("%v sees %v of %d running", p.m.Self().ID, p.m.Members(), len(want))
		}
	}
	return nil
}

func (s *sim) catalogsAgree() error {
	want := catalog.New(parseTestDocument)
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

// runUntil runs the simulation until check returns nil and returns the virtual
// time that this took. It fails the test after the limit.
func (s *sim) runUntil(limit time.Duration, check func() error) time.Duration {
	start := s.now
	for check() != nil {
		must.Less(s.t, limit, s.now.Sub(start), must.Sprintf("after %v: %v", limit, check()))
		s.step()
	}
	return s.now.Sub(start)
}
