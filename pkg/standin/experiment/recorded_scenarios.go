package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/replay"
	"github.com/sardineturn/sardineturn/pkg/standin/launch"
)

const (
	// recordedPhaseMS is the length of the steady phase and of the fault phase of a
	// recorded scenario. It is short because the scenario's trace is kept in the
	// repository and must be small.
	recordedPhaseMS = 3000
	// factsFile holds facts about what the scenario did outside the instances.
	// keptFile holds these facts and the parts of the instances' traces that are
	// kept. Both are written next to the instances' logs.
	factsFile = "facts.jsonl"
	keptFile  = "kept.trace.jsonl"
	// keptQueriesPerProcess is the largest number of queries of one process in a kept
	// trace.
	keptQueriesPerProcess = 40
	// stepInterval is the time between two steps of a scenario.
	stepInterval = time.Second
	// conflictingWriteGap is the time between the writes of two operators that write
	// different documents with the same revision.
	conflictingWriteGap = 30 * time.Millisecond
	// wrongEchoFraction is the fraction of upstream replies that carry a wrong
	// attempt id.
	wrongEchoFraction = 0.05
)

// recording is the state that a recorded scenario needs to write its kept trace, which
// consists of an excerpt of the instances' traces and of facts about what the scenario
// did.
type recording struct {
	dir string
	// trace writes factsFile.
	trace *replay.Trace
	// instances are the numbers, counted from 0, of the instances whose traces are
	// kept, in scenarios that stop or pause instances.
	instances []int
	// from and until limit the kept part of the traces in time.
	from  time.Time
	until time.Time
}

// recordedScenario is a scenario that runs to record a trace. Replays check on this
// trace that the product keeps a promise of docs/promises.md.
type recordedScenario struct {
	scenario
	// keep selects the parts of the instances' trace files that are kept, and passes
	// them to the extractor. Its last argument holds the paths of the files.
	keep func(*recording, *replay.Extractor, []string) error
}

// selectedScenarios returns the scenarios to run. Recorded scenarios run only if
// traces are recorded. Then the steady phase and the fault phase of the other scenarios
// last at most phaseMS, because the traces must stay small.
func (o Options) selectedScenarios() []scenario {
	all := scenarios()
	if o.Trace {
		for n := range all {
			all[n].lengthMS = min(all[n].lengthMS, phaseMS)
		}
		for _, s := range recordedScenarios() {
			all = append(all, s.scenario)
		}
	}
	return slices.DeleteFunc(all, func(s scenario) bool {
		return len(o.Only) > 0 && !slices.Contains(o.Only, s.name)
	})
}

// recordedScenarios returns all recorded scenarios.
func recordedScenarios() []recordedScenario {
	return []recordedScenario{
		{recordingScenario("index-change", 2, (*deployment).changeIndex, phaseMS), keepAnswers},
		{recordingScenario("configuration", 1, (*deployment).changeConfiguration, 3*phaseMS), keepDocuments},
		{recordingScenario("graceful-stop", 4, (*deployment).restartTwoInstances, 2*phaseMS), keepStopped},
		{recordingScenario("upstream-listed", 1, (*deployment).listUpstreamAsLeaving, phaseMS), keepHome},
		{recordingScenario("process-paused", 1, (*deployment).pauseHome, phaseMS), keepPaused},
	}
}

// recordingScenario returns a recorded scenario, whose load during the fault phase is
// the steady load multiplied by factor.
func recordingScenario(name string, factor float64, fault func(*deployment, context.Context) error, afterMS int) scenario {
	faultLoad := steadyLoad
	for n := range faultLoad {
		faultLoad[n] *= factor
	}
	return scenario{
		name:      name,
		faultLoad: faultLoad,
		lengthMS:  recordedPhaseMS,
		afterMS:   afterMS,
		fault:     func(ctx context.Context, d *deployment) error { return d.record(ctx, fault) },
		aims:      []aim{violationsAim()},
	}
}

// record opens the facts file, runs the steps of a scenario and records when they
// started and, unless a step has set until, when they ended.
func (d *deployment) record(ctx context.Context, steps func(*deployment, context.Context) error) error {
	r := &d.recording
	facts, err := os.Create(filepath.Join(r.dir, factsFile))
	if err != nil {
		return err
	}
	defer facts.Close()
	r.trace = replay.NewTrace(facts)
	r.from = time.Now()
	if err := steps(d, ctx); err != nil {
		return err
	}
	if r.until.IsZero() {
		r.until = time.Now()
	}
	return r.trace.Err()
}

// recordDocumentFact records as a fact that the service's document was written with
// its current revision.
func (d *deployment) recordDocumentFact() {
	d.recording.trace.RecordFact(time.Now(), replay.FactDocument, replay.DocumentFact{Service: d.service.Name, Revision: d.upstreamHost.Document.Revision})
}

// changeDocument writes a changed document with the next revision and records the
// fact.
func (d *deployment) changeDocument(ctx context.Context, change func(*document.Document)) error {
	err := d.fleet.ChangeDocument(ctx, d.upstreamHost, change)
	d.recordDocumentFact()
	return err
}

// setIndex makes the n-th upstream hold the snapshots that the document names for it.
func (d *deployment) setIndex(ctx context.Context, n int, doc document.Document) error {
	name := d.upstreamName(n)
	return launch.PostJSON(ctx, d.upstreamHost.Admin, "/admin/index?upstream="+name, launch.HeldShards(doc, name), nil)
}

// changeIndex publishes a snapshot, which the upstreams load one after another, each
// stepInterval later than the one before. Meanwhile some replies carry a wrong attempt
// id. Then it drops the old snapshot, and crashes all replicas of some shards for a time.
func (d *deployment) changeIndex(ctx context.Context) error {
	next := d.upstreamHost.Document
	newSnapshot := next.Snapshots[0]
	newSnapshot.ID = "v2"
	next.Snapshots = []document.Snapshot{next.Snapshots[0], newSnapshot}
	if err := d.upstreamHost.SetFaults(ctx, "", map[string]any{"wrong_echo_fraction": wrongEchoFraction}); err != nil {
		return err
	}
	if err := d.changeDocument(ctx, func(doc *document.Document) { doc.Snapshots = next.Snapshots }); err != nil {
		return err
	}
	for n := len(d.upstreamHost.Upstreams) - 1; n >= 0; n-- {
		time.Sleep(stepInterval)
		if err := d.setIndex(ctx, n, next); err != nil {
			return err
		}
	}
	next.Snapshots = next.Snapshots[1:]
	for n := range d.upstreamHost.Upstreams {
		if err := d.setIndex(ctx, n, next); err != nil {
			return err
		}
	}
	if err := d.changeDocument(ctx, func(doc *document.Document) { doc.Snapshots = next.Snapshots }); err != nil {
		return err
	}
	time.Sleep(stepInterval)
	for _, n := range []int{0, 1} {
		if err := d.crash(ctx, n, stepInterval); err != nil {
			return err
		}
	}
	time.Sleep(2 * stepInterval)
	return nil
}

// changeConfiguration writes a document, two different documents with the same revision
// (as by two operators), an older document, and an invalid one. Then it writes a document
// with a higher revision, which replaces all of these. Finally it makes the platform
// show an old version for a time, and writes another document after that.
func (d *deployment) changeConfiguration(ctx context.Context) error {
	raiseConnectMS := func(doc *document.Document) { doc.Upstreams[0].ConnectMS++ }
	steps := []func() error{
		func() error { return d.changeDocument(ctx, raiseConnectMS) },
		func() error { return d.writeConflictingDocuments(ctx) },
		func() error { return d.forceDocument(ctx, d.service.Document(1, "v1", d.upstreamHost.Upstreams)) },
		func() error {
			return d.forceDocument(ctx, map[string]any{"service": d.service.Name, "revision": d.upstreamHost.Document.Revision})
		},
		func() error { return d.changeDocument(ctx, raiseConnectMS) },
		func() error { return d.fleet.SetPlatformFaults(ctx, map[string]any{"view_version": 1}) },
		func() error { return d.fleet.SetPlatformFaults(ctx, map[string]any{"stale": false}) },
		func() error { return d.changeDocument(ctx, raiseConnectMS) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
		time.Sleep(stepInterval)
	}
	// The last document must be in force within 8 s.
	time.Sleep(8 * time.Second)
	return nil
}

// writeConflictingDocuments writes two different documents with the same revision.
func (d *deployment) writeConflictingDocuments(ctx context.Context) error {
	other := d.upstreamHost.Document
	other.Upstreams = slices.Clone(other.Upstreams)
	other.Upstreams[0].ConnectMS += 2
	if err := d.changeDocument(ctx, func(doc *document.Document) { doc.Upstreams[0].ConnectMS++ }); err != nil {
		return err
	}
	time.Sleep(conflictingWriteGap)
	other.Revision = d.upstreamHost.Document.Revision
	return d.forceDocument(ctx, other)
}

// forceDocument writes a document that the platform would refuse without force, such as
// an older or invalid one.
func (d *deployment) forceDocument(ctx context.Context, doc any) error {
	return launch.PostJSON(ctx, d.fleet.PlatformAdmin, "/admin/documents?force=true", doc, nil)
}

// restartTwoInstances stops and restarts two instances, one after the other, as a
// rollout does. The first is the service's home if it is known, and otherwise the first
// instance.
func (d *deployment) restartTwoInstances(ctx context.Context) error {
	home := d.faultTargetNumber()
	r := &d.recording
	r.instances = []int{home, (home + 1) % instanceCount}
	for _, n := range r.instances {
		i := d.fleet.Instances()[n]
		if err := errors.Join(i.Leave(ctx), i.Restart(ctx), i.WaitReady(ctx)); err != nil {
			return fmt.Errorf("%s: %w", i.Name, err)
		}
	}
	return nil
}

// faultTargetNumber returns the number, counted from 0, of the instance that
// faultTarget returns.
func (d *deployment) faultTargetNumber() int {
	return max(0, slices.Index(d.fleet.Instances(), d.faultTarget()))
}

// listUpstreamAsLeaving makes the platform list an upstream as leaving, while the
// upstream itself continues to serve.
func (d *deployment) listUpstreamAsLeaving(ctx context.Context) error {
	address := d.upstreamHost.Upstreams[0].Address
	if err := d.fleet.SetUpstreamEntry(ctx, address, true); err != nil {
		return err
	}
	d.recording.trace.RecordFact(time.Now(), replay.FactUpstream, port.ListedUpstream{Address: address, Leaving: true})
	time.Sleep(leavingGrace + 3*stepInterval)
	return nil
}

// pauseHome pauses the process of the service's home for a time.
func (d *deployment) pauseHome(context.Context) error {
	home := d.faultTargetNumber()
	d.recording.instances = []int{home}
	i := d.fleet.Instances()[home]
	i.Pause()
	time.Sleep(recordedPhaseMS * time.Millisecond)
	i.Resume()
	time.Sleep(2 * stepInterval)
	return nil
}

// Components of the decision code whose records are kept in traces, by purpose.
var (
	groupComponents    = []string{"scheduler", "orders"}
	homeComponents     = []string{"query", "scheduler"}
	entryComponents    = []string{"query"}
	listComponents     = []string{"scheduler", "list"}
	documentComponents = []string{"catalog", "reader", "phase"}
	fetchComponents    = []string{"catalog", "reader", "fetch", "phase"}
	stopComponents     = []string{"query", "scheduler", "phase", "membership"}
	pauseComponents    = []string{"scheduler", "phase", "membership"}
)

// selection selects the records of the components in the time of the scenario's steps,
// with at most keptQueriesPerProcess queries of each process.
func (r *recording) selection(components []string) replay.Selection {
	return replay.Selection{Components: components, From: r.from, Until: r.until, Queries: keptQueriesPerProcess}
}

// keepBusiestInstance keeps the records about scheduling groups and orders of the
// instance with the largest trace.
func keepBusiestInstance(_ *recording, extractor *replay.Extractor, files []string) error {
	bySize, err := sortLargestFirst(files)
	if err != nil {
		return err
	}
	return addFiles(extractor, replay.Selection{Components: groupComponents}, bySize[0])
}

// keepAnswers keeps the records about queries of all instances, and the scheduler's
// records of the instance with the largest trace, which is the home.
func keepAnswers(r *recording, extractor *replay.Extractor, files []string) error {
	bySize, err := sortLargestFirst(files)
	if err != nil {
		return err
	}
	if err := addFiles(extractor, r.selection(homeComponents), bySize[0]); err != nil {
		return err
	}
	return addFiles(extractor, r.selection(entryComponents), bySize[1:]...)
}

// keepHome keeps the records of the scheduler and of the platform's list at the
// instance with the largest trace, which is the home.
func keepHome(r *recording, extractor *replay.Extractor, files []string) error {
	bySize, err := sortLargestFirst(files)
	if err != nil {
		return err
	}
	return addFiles(extractor, r.selection(listComponents), bySize[0])
}

// keepDocuments keeps the records about documents of all instances, and for the first
// instance also the records about fetching documents.
func keepDocuments(r *recording, extractor *replay.Extractor, files []string) error {
	if err := addFiles(extractor, r.selection(fetchComponents), files[0]); err != nil {
		return err
	}
	return addFiles(extractor, r.selection(documentComponents), files[1:]...)
}

// keepStopped keeps the records of the processes that were stopped, and drops the records
// of the processes that replaced them.
func keepStopped(r *recording, extractor *replay.Extractor, files []string) error {
	selection := r.selection(stopComponents)
	selection.FirstProcess = true
	return addFiles(extractor, selection, r.tracesOfInstances(files)...)
}

// keepPaused keeps the records of the paused process.
func keepPaused(r *recording, extractor *replay.Extractor, files []string) error {
	return addFiles(extractor, r.selection(pauseComponents), r.tracesOfInstances(files)...)
}

// tracesOfInstances returns the trace files of the instances in r.instances.
func (r *recording) tracesOfInstances(files []string) []string {
	var out []string
	for _, n := range r.instances {
		out = append(out, files[n])
	}
	return out
}

// sortLargestFirst returns the files by size, the largest first.
func sortLargestFirst(files []string) ([]string, error) {
	sizes := make(map[string]int64)
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, err
		}
		sizes[file] = info.Size()
	}
	return slices.SortedFunc(slices.Values(files), func(a, b string) int { return cmp.Compare(sizes[b], sizes[a]) }), nil
}

// addFiles writes the selected part of each trace file to the extractor's output.
func addFiles(extractor *replay.Extractor, selection replay.Selection, files ...string) error {
	for _, file := range files {
		if err := addFile(extractor, selection, file); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

func addFile(extractor *replay.Extractor, selection replay.Selection, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	return extractor.Add(f, selection)
}

// keepTrace writes keptFile, the kept part of a scenario's traces, if traces are
// recorded. The facts come first, because the checks of a replay need them before
// the decisions.
func (d *deployment) keepTrace(o Options, name string) error {
	if !o.Trace {
		return nil
	}
	keep := keepBusiestInstance
	all := recordedScenarios()
	if n := slices.IndexFunc(all, func(s recordedScenario) bool { return s.name == name }); n >= 0 {
		keep = all[n].keep
	}
	r := &d.recording
	out, err := os.Create(filepath.Join(r.dir, keptFile))
	if err != nil {
		return err
	}
	defer out.Close()
	extractor := replay.NewExtractor(out)
	if err := addFiles(extractor, replay.Selection{}, filepath.Join(r.dir, factsFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	var files []string
	for _, i := range d.fleet.Instances() {
		files = append(files, i.Settings.TraceFile)
	}
	return keep(r, extractor, files)
}
