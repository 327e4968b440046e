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
	// recordedMS is the length of the steady and the fault phase of a recorded
	// scenario; its trace is kept in the repository and must be small.
	recordedMS = 3000
	// factsFile and keptFile are written next to the instances' logs.
	factsFile = "facts.jsonl"
	keptFile  = "kept.trace.jsonl"
	// keptQueries bounds the queries of one process in a kept trace.
	keptQueries = 40
	// stepWait is the time between two steps of a scenario.
	stepWait = time.Second
	// raceWait is the time between the writes of two operators.
	raceWait = 30 * time.Millisecond
	// wrongEcho is the fraction of upstream replies with another attempt's id.
	wrongEcho = 0.05
)

// recording is what a recorded scenario notes for its kept trace.
type recording struct {
	dir   string
	trace *replay.Trace
	// instances are the numbers of the instances of interest, from 0 on.
	instances []int
	// from and until bound the kept part.
	from  time.Time
	until time.Time
}

// recordedScenario is a scenario whose trace shows a promise.
type recordedScenario struct {
	scenario
	// keep selects what is kept of each trace.
	keep func(*recording, *replay.Extractor, []string) error
}

// selected returns the scenarios of a series. The recorded scenarios only run to
// record a trace; then no phase is long, because the traces must stay small.
func (o Options) selected() []scenario {
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

func recordedScenarios() []recordedScenario {
	return []recordedScenario{
		{recorded("index-change", 2, (*deployment).changeIndex, phaseMS), keepAnswers},
		{recorded("configuration", 1, (*deployment).changeConfiguration, 3*phaseMS), keepDocuments},
		{recorded("graceful-stop", 4, (*deployment).stopTwo, 2*phaseMS), keepStopped},
		{recorded("upstream-listed", 1, (*deployment).listLeaving, phaseMS), keepHome},
		{recorded("process-paused", 1, (*deployment).pauseHome, phaseMS), keepPaused},
	}
}

// recorded returns a scenario with a multiple of the steady load during the
// fault.
func recorded(name string, load float64, fault func(*deployment, context.Context) error, afterMS int) scenario {
	faultLoad := steadyLoad
	for n := range faultLoad {
		faultLoad[n] *= load
	}
	return scenario{
		name:      name,
		faultLoad: faultLoad,
		lengthMS:  recordedMS,
		afterMS:   afterMS,
		fault:     func(ctx context.Context, d *deployment) error { return d.record(ctx, fault) },
		aims:      []aim{brokenPromises()},
	}
}

// record runs the steps of a scenario and notes when they ran.
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

// factDocument notes a written document.
func (d *deployment) factDocument() {
	d.recording.trace.RecordFact(time.Now(), replay.FactDocument, replay.DocumentFact{Service: d.service.Name, Revision: d.host.Document.Revision})
}

func (d *deployment) changeDocument(ctx context.Context, change func(*document.Document)) error {
	err := d.fleet.ChangeDocument(ctx, d.host, change)
	d.factDocument()
	return err
}

// setIndex makes an upstream hold the snapshots of the document.
func (d *deployment) setIndex(ctx context.Context, n int, doc document.Document) error {
	name := d.upstreamName(n)
	return launch.PostJSON(ctx, d.host.Admin, "/admin/index?upstream="+name, launch.HeldShards(doc, name), nil)
}

// changeIndex publishes a snapshot that two upstreams load late, with replies
// that carry other attempts' ids, drops the old snapshot, and loses all replicas
// of some shards for a time.
func (d *deployment) changeIndex(ctx context.Context) error {
	next := d.host.Document
	second := next.Snapshots[0]
	second.ID = "v2"
	next.Snapshots = []document.Snapshot{next.Snapshots[0], second}
	if err := d.host.SetFaults(ctx, "", map[string]any{"wrong_echo_fraction": wrongEcho}); err != nil {
		return err
	}
	if err := d.changeDocument(ctx, func(doc *document.Document) { doc.Snapshots = next.Snapshots }); err != nil {
		return err
	}
	for n := len(d.host.Upstreams) - 1; n >= 0; n-- {
		time.Sleep(stepWait)
		if err := d.setIndex(ctx, n, next); err != nil {
			return err
		}
	}
	next.Snapshots = next.Snapshots[1:]
	for n := range d.host.Upstreams {
		if err := d.setIndex(ctx, n, next); err != nil {
			return err
		}
	}
	if err := d.changeDocument(ctx, func(doc *document.Document) { doc.Snapshots = next.Snapshots }); err != nil {
		return err
	}
	time.Sleep(stepWait)
	for _, n := range []int{0, 1} {
		if err := d.crash(ctx, n, stepWait); err != nil {
			return err
		}
	}
	time.Sleep(2 * stepWait)
	return nil
}

// changeConfiguration writes a document, lets two operators write different
// documents with one revision, writes an older and an invalid document, resolves
// all by a higher revision, and rolls the platform back for a time.
func (d *deployment) changeConfiguration(ctx context.Context) error {
	touch := func(doc *document.Document) { doc.Upstreams[0].ConnectMS++ }
	steps := []func() error{
		func() error { return d.changeDocument(ctx, touch) },
		func() error { return d.raceOperators(ctx) },
		func() error { return d.forceDocument(ctx, d.service.Document(1, "v1", d.host.Upstreams)) },
		func() error {
			return d.forceDocument(ctx, map[string]any{"service": d.service.Name, "revision": d.host.Document.Revision})
		},
		func() error { return d.changeDocument(ctx, touch) },
		func() error { return d.fleet.SetPlatformFaults(ctx, map[string]any{"view_version": 1}) },
		func() error { return d.fleet.SetPlatformFaults(ctx, map[string]any{"stale": false}) },
		func() error { return d.changeDocument(ctx, touch) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
		time.Sleep(stepWait)
	}
	// The last document has 8 s to be in force.
	time.Sleep(8 * time.Second)
	return nil
}

// raceOperators writes two documents with the same revision.
func (d *deployment) raceOperators(ctx context.Context) error {
	other := d.host.Document
	other.Upstreams = slices.Clone(other.Upstreams)
	other.Upstreams[0].ConnectMS += 2
	if err := d.changeDocument(ctx, func(doc *document.Document) { doc.Upstreams[0].ConnectMS++ }); err != nil {
		return err
	}
	time.Sleep(raceWait)
	other.Revision = d.host.Document.Revision
	return d.forceDocument(ctx, other)
}

// forceDocument writes a document that a careful platform would refuse.
func (d *deployment) forceDocument(ctx context.Context, doc any) error {
	return launch.PostJSON(ctx, d.fleet.PlatformAdmin, "/admin/documents?force=true", doc, nil)
}

// stopTwo stops and restarts two instances as a rollout does, the home first.
func (d *deployment) stopTwo(ctx context.Context) error {
	home := d.victimNumber()
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

// victimNumber returns the home's number, from 0 on.
func (d *deployment) victimNumber() int {
	return max(0, slices.Index(d.fleet.Instances(), d.victim()))
}

// listLeaving lists an upstream as leaving that goes on to serve.
func (d *deployment) listLeaving(ctx context.Context) error {
	address := d.host.Upstreams[0].Address
	if err := d.fleet.SetUpstreamEntry(ctx, address, true); err != nil {
		return err
	}
	d.recording.trace.RecordFact(time.Now(), replay.FactUpstream, port.ListedUpstream{Address: address, Leaving: true})
	time.Sleep(leavingGrace + 3*stepWait)
	return nil
}

// pauseHome pauses the home and lets it resume.
func (d *deployment) pauseHome(context.Context) error {
	home := d.victimNumber()
	d.recording.instances = []int{home}
	i := d.fleet.Instances()[home]
	i.Pause()
	time.Sleep(recordedMS * time.Millisecond)
	i.Resume()
	time.Sleep(2 * stepWait)
	return nil
}

// Components of kept traces.
var (
	groupParts    = []string{"scheduler", "orders"}
	homeParts     = []string{"query", "scheduler"}
	entryParts    = []string{"query"}
	listParts     = []string{"scheduler", "list"}
	documentParts = []string{"catalog", "reader", "phase"}
	fetchParts    = []string{"catalog", "reader", "fetch", "phase"}
	stopParts     = []string{"query", "scheduler", "phase", "membership"}
	pauseParts    = []string{"scheduler", "phase", "membership"}
)

func (r *recording) cut(parts []string) replay.Selection {
	return replay.Selection{Components: parts, From: r.from, Until: r.until, Queries: keptQueries}
}

// keepBusiest keeps the groups and orders of the busiest instance.
func keepBusiest(_ *recording, c *replay.Extractor, files []string) error {
	bySize, err := largestFirst(files)
	if err != nil {
		return err
	}
	return addAll(c, replay.Selection{Components: groupParts}, bySize[0])
}

// keepAnswers keeps the queries of all instances, and the home's scheduler.
func keepAnswers(r *recording, c *replay.Extractor, files []string) error {
	bySize, err := largestFirst(files)
	if err != nil {
		return err
	}
	if err := addAll(c, r.cut(homeParts), bySize[0]); err != nil {
		return err
	}
	return addAll(c, r.cut(entryParts), bySize[1:]...)
}

// keepHome keeps the home's scheduler and what the platform lists.
func keepHome(r *recording, c *replay.Extractor, files []string) error {
	bySize, err := largestFirst(files)
	if err != nil {
		return err
	}
	return addAll(c, r.cut(listParts), bySize[0])
}

// keepDocuments keeps the documents of all instances, and the fetches of one.
func keepDocuments(r *recording, c *replay.Extractor, files []string) error {
	if err := addAll(c, r.cut(fetchParts), files[0]); err != nil {
		return err
	}
	return addAll(c, r.cut(documentParts), files[1:]...)
}

// keepStopped keeps the processes that were stopped, without their successors.
func keepStopped(r *recording, c *replay.Extractor, files []string) error {
	cut := r.cut(stopParts)
	cut.FirstProcess = true
	return addAll(c, cut, r.chosen(files)...)
}

// keepPaused keeps the paused process.
func keepPaused(r *recording, c *replay.Extractor, files []string) error {
	return addAll(c, r.cut(pauseParts), r.chosen(files)...)
}

func (r *recording) chosen(files []string) []string {
	var out []string
	for _, n := range r.instances {
		out = append(out, files[n])
	}
	return out
}

func largestFirst(files []string) ([]string, error) {
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

func addAll(c *replay.Extractor, cut replay.Selection, files ...string) error {
	for _, file := range files {
		if err := add(c, cut, file); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

func add(c *replay.Extractor, cut replay.Selection, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	return c.Add(f, cut)
}

// keepTrace writes the kept part of the traces of a scenario. Facts come first,
// because the checks need them before the decisions.
func (d *deployment) keepTrace(o Options, name string) error {
	if !o.Trace {
		return nil
	}
	keep := keepBusiest
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
	c := replay.NewExtractor(out)
	if err := addAll(c, replay.Selection{}, filepath.Join(r.dir, factsFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	var files []string
	for _, i := range d.fleet.Instances() {
		files = append(files, i.Settings.TraceFile)
	}
	return keep(r, c, files)
}
