// Package soak runs gateways as separate processes on one machine, injects
// faults from outside them, and checks the product's guarantees against what
// callers and upstreams see. The platform's store, the upstreams and the callers
// are stand-ins that run inside the test process.
package soak

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	seedCount     = flag.Int("soak.seeds", 0, "number of long runs; 0 skips them")
	firstSeed     = flag.Uint64("soak.first", 0, "seed of the first long run; 0 uses the current Unix time")
	parallelRuns  = flag.Int("soak.parallel", 4, "number of runs at the same time")
	instanceCount = flag.Int("soak.instances", 5, "number of gateways in a run")
	programPath   = flag.String("soak.program", "", "path of the program; it is built when this is empty")
	kindNames     = flag.String("soak.kinds", "", "kinds of faults that can be switched, separated by commas: evacuation, cold, rollback, status, settings; none for no such faults, enabledKinds when this is empty")
	keepDir       = flag.String("soak.keep", "", "directory for the logs of runs that failed; a temporary one when this is empty")
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "sardineturn-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = *programPath
	if binary == "" {
		binary = filepath.Join(dir, "sardineturn")
		if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/sardineturn").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			os.Exit(1)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// runCounter counts the runs of this process. The second byte of a run's loopback
// addresses is derived from it, so that parallel runs don't share addresses.
var runCounter atomic.Int64

// The callers of a run send about 200 requests a second together.
// callerRateMilliHz is the rate of each of them, in thousandths of a request a
// second.
const (
	callersPerRun     = 24
	callerRateMilliHz = 8000
)

// plan is the schedule of a run's faults, which starts when the callers start.
type plan struct {
	// Faults of all kinds are injected during anyFaultPhase, and none during
	// calmPhase, which follows. Planned work and faults of upstreams and callers are
	// injected during plannedPhase, which comes last. A phase with faults may have a
	// duration of zero.
	anyFaultPhase, calmPhase, plannedPhase time.Duration
	// meanGap is the mean time between two faults.
	meanGap time.Duration
	// plannedWorkOnly leaves the faults of upstreams and callers out of plannedPhase.
	plannedWorkOnly bool
}

// newPlan returns a random plan.
func newPlan(r *rand.Rand) plan {
	p := plan{plannedWorkOnly: r.IntN(2) == 0, anyFaultPhase: time.Duration(4+r.IntN(4)) * time.Second, calmPhase: recoveryTime + 1500*time.Millisecond, plannedPhase: 8 * time.Second, meanGap: time.Duration(200+r.IntN(800)) * time.Millisecond}
	switch r.IntN(3) {
	case 0:
		p.anyFaultPhase, p.calmPhase, p.plannedPhase = 0, 500*time.Millisecond, 12*time.Second
	case 1:
		p.anyFaultPhase, p.plannedPhase = 9*time.Second, 0
	}
	return p
}

// runSeed runs the gateways under the plan of a seed and the given kinds of faults, makes
// all checks and returns the ledger with their results.
func runSeed(t *testing.T, seed uint64, kinds kindSelector, dir string) *ledger {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 0))
	p := newPlan(r)
	l, s := newLedger(), newStore()
	dataCentres := []string{"z1", "z2", "z3"}
	network := 20 + int((int64(os.Getpid()%50)*4+runCounter.Add(1))%200)
	f, err := newFleet(dir, network, *instanceCount, dataCentres, s)
	must.NoError(t, err)
	sv := newServices(l, s, f, dataCentres, network)
	f.onLaunch, sv.cold = l.recordLaunch, kinds.has(coldUpstreams)
	must.NoError(t, sv.startAll())
	h := &harness{ledger: l, store: s, fleet: f, services: sv, stop: make(chan struct{})}
	var evacuated []string
	if kinds.has(evacuations) && seed%2 == 0 {
		// The instances learn of this evacuation with their first replica.
		evacuated = []string{dataCentres[seed/2%3]}
		sv.evacuate(evacuated[0], "{}")
	}
	must.NoError(t, f.start())
	h.callerRate.Store(callerRateMilliHz)
	h.abandonPercent.Store(1)
	started := time.Now()
	// The start of the processes counts as a fault, so that time bounds are checked
	// only from the start of the callers on.
	l.addFaultInterval(interval{from: started.Add(-time.Second), to: started.Add(1500*time.Millisecond - recoveryTime)})
	time.Sleep(1500 * time.Millisecond)
	callers := h.startCallers(seed)
	if seed%2 == 0 {
		// The plan alone has a crashing request in few runs.
		h.running.Go(func() { h.sendCrashingRequests(seed, seed%4 == 0) })
	}
	if seed%4 == 1 {
		h.running.Go(func() { h.crashUpstreamsBesideAlike(seed) })
	}
	if seed%8 == 3 {
		must.NoError(t, sv.addRiskySearch())
		h.running.Go(func() { h.sendCrashingQueries(seed) })
	}
	h.startKinds(seed, kinds, evacuated)
	h.runPlan(p, r)
	close(h.stop)
	callers.Wait()
	h.running.Wait()
	f.close()
	sv.close()
	s.close()
	l.checkAll()
	return l
}

// startKinds starts the faults of the given kinds; evacuated holds the data centres that
// are evacuated already. The faults have their own random numbers, so
// that the plan of a seed does not depend on the kinds.
func (h *harness) startKinds(seed uint64, kinds kindSelector, evacuated []string) {
	if kinds.has(evacuations) {
		h.running.Go(func() { h.evacuateDataCentres(seed, kinds, evacuated) })
	}
	if kinds.has(coldUpstreams) {
		h.running.Go(func() { h.coolDataCentres(seed) })
		h.running.Go(h.beat)
	}
	if kinds.has(evacuations) || kinds.has(coldUpstreams) {
		h.running.Go(h.recordUnservable)
	}
	if kinds.has(storeRollbacks) {
		h.running.Go(func() { h.rollBackStore(seed) })
	}
	if kinds.has(invalidStatuses) {
		h.running.Go(func() { h.answerInvalidStatuses(seed) })
	}
	if kinds.has(settingsChanges) {
		h.running.Go(func() { h.changeSettings(seed) })
	}
}

func (h *harness) startCallers(seed uint64) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range callersPerRun {
		c := &caller{ledger: h.ledger, fleet: h.fleet, services: h.services, index: i, random: rand.New(rand.NewPCG(seed, uint64(i+1))), rateMilliHz: &h.callerRate, abandonPercent: &h.abandonPercent, stop: h.stop}
		wg.Go(c.run)
	}
	return &wg
}

// runPlan injects the faults of a plan and returns after its last phase and a
// short pause.
func (h *harness) runPlan(p plan, r *rand.Rand) {
	h.injectFaults(p.anyFaultPhase, p.meanGap, r, slices.Concat(gatewayFaults, linkFaults, storeFaults, upstreamFaults, plannedWork))
	time.Sleep(p.calmPhase)
	if p.plannedPhase > 0 {
		kinds := slices.Concat(plannedWork, plannedWork, upstreamFaults)
		if p.plannedWorkOnly {
			kinds = plannedWork
		}
		h.injectFaults(p.plannedPhase, p.meanGap, r, kinds)
		time.Sleep(time.Second)
		return
	}
	time.Sleep(2 * time.Second)
}

// maxFaultDuration is the longest duration of a fault.
const maxFaultDuration = 4 * time.Second

// injectFaults starts random faults of the given kinds for the given duration. Each
// fault ends with the duration at the latest.
func (h *harness) injectFaults(duration, gap time.Duration, r *rand.Rand, kinds []fault) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(gap)))
		f := kinds[r.IntN(len(kinds))]
		left := time.Until(end)
		if left <= 0 {
			return
		}
		h.startFault(f, r, min(left, time.Duration(r.Int64N(int64(maxFaultDuration)))))
	}
}

// runSeeds runs the seeds, at most maxParallel at the same time, and reports their
// violations as errors of the test.
func runSeeds(t *testing.T, seeds []uint64, kinds func(seed uint64) kindSelector, maxParallel int) {
	t.Helper()
	base := *keepDir
	if base == "" {
		base = t.TempDir()
	}
	var mu sync.Mutex
	checkTotals, faultTotals := make(map[string]int), make(map[string]int)
	slots := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for _, seed := range seeds {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
				dir := filepath.Join(base, fmt.Sprint("seed-", seed))
				must.NoError(t, os.MkdirAll(dir, 0o755))
				l := runSeed(t, seed, kinds(seed), dir)
				mu.Lock()
				defer mu.Unlock()
				addCounts(checkTotals, l.checkTotals)
				addCounts(faultTotals, l.faultTotals)
				if len(l.violations) == 0 {
					_ = os.RemoveAll(dir)
					return
				}
				t.Errorf("seed %d (logs: %s):\n  %s", seed, dir, strings.Join(l.violations[:min(10, len(l.violations))], "\n  "))
			})
		})
	}
	wg.Wait()
	t.Logf("%d seeds\nfaults: %s\nchecked: %s", len(seeds), formatCounts(faultTotals), formatCounts(checkTotals))
}

func addCounts(to, from map[string]int) {
	for k, n := range from {
		to[k] += n
	}
}

func formatCounts(m map[string]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(out, ", ")
}

// shortSeeds are run by TestShortSoak. A seed that ever failed stays in the list:
//
//	104: All other instances took a restarted instance for the reader of the
//	     platform's store, but it did not read yet. Entries that were removed
//	     meanwhile stayed in use for longer, as in an outage of the platform.
//	220007, 220010: Upstreams that fell silent under a request were not taken for
//	     crashed, and the request was sent to further ones.
//	290001: Upstreams crashed while they ran a request that all callers send alike,
//	     which was then refused as the cause.
var shortSeeds = []uint64{1, 2, 3, 104, 220007, 220010, 290001}

// seedOfKind holds the seed that TestShortSoak runs for each enabled kind. A long run of
// these seeds uses no other kind.
var seedOfKind = map[kind]uint64{evacuations: 1002, coldUpstreams: 1000, storeRollbacks: 1003, invalidStatuses: 1004, settingsChanges: 1007}

// TestShortSoak guards against changes that break a guarantee to callers or
// upstreams under faults of all kinds. It runs real processes. The seeds of enabled kinds
// wait for a free slot, because more runs at a time make requests late on a busy machine.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for some seconds")
	}
	kinds, err := kindsInUse()
	must.NoError(t, err)
	seeds := slices.Clone(shortSeeds)
	for _, k := range kinds {
		seeds = append(seeds, seedOfKind[k])
	}
	runSeeds(t, seeds, func(seed uint64) kindSelector {
		return slices.DeleteFunc(slices.Clone(kinds), func(k kind) bool { return seedOfKind[k] != seed })
	}, len(shortSeeds))
}

// TestLongSoak runs the checks of TestShortSoak for many seeds; "make fault-soak"
// runs it.
func TestLongSoak(t *testing.T) {
	if *seedCount == 0 {
		t.Skip("only run by make fault-soak")
	}
	from := *firstSeed
	if from == 0 {
		from = uint64(time.Now().Unix())
	}
	kinds, err := kindsInUse()
	must.NoError(t, err)
	var seeds []uint64
	for i := range *seedCount {
		seeds = append(seeds, from+uint64(i))
	}
	runSeeds(t, seeds, func(seed uint64) kindSelector { return kindsOfSeed(seed, kinds) }, *parallelRuns)
}
