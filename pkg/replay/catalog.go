package replay

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// Arguments and results of the calls of the catalog, the fetch plan and the
// reader.
type (
	offerResult struct {
		Verdict string `json:"verdict"`
		// InForce and Digest describe the document in force after the offer.
		InForce   uint64 `json:"in_force"`
		Digest    uint64 `json:"digest"`
		Previous  uint64 `json:"previous"`
		FirstTime bool   `json:"first_time,omitempty"`
		// Hash is the catalog hash after the offer.
		Hash uint64 `json:"hash"`
	}
	seedArgs struct {
		Seed seed `json:"seed"`
	}
	observeArgs struct {
		Peer  model.InstanceID `json:"peer"`
		Hash  uint64           `json:"hash"`
		Lacks bool             `json:"lacks,omitempty"`
	}
	fetchNextResult struct {
		Peer model.InstanceID `json:"peer,omitempty"`
		Due  bool             `json:"due,omitempty"`
	}
	fetchFinishedArgs struct {
		Peer   model.InstanceID `json:"peer"`
		Gained bool             `json:"gained,omitempty"`
		Error  string           `json:"error,omitempty"`
	}
	roleArgs struct {
		Reader      bool `json:"reader"`
		Unreachable int  `json:"unreachable,omitempty"`
	}
	readFinishedArgs struct {
		Version uint64 `json:"version"`
		Error   string `json:"error,omitempty"`
	}
	readNextResult struct {
		Read catalog.Read `json:"read"`
		Due  bool         `json:"due,omitempty"`
	}
)

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func errorFromText(text string) error {
	if text == "" {
		return nil
	}
	return errors.New(text)
}

// Catalog is a catalog whose offered documents are recorded.
type Catalog struct {
	*catalog.Catalog
	recorder
	clock func() time.Time
}

// NewCatalog returns a catalog whose offered documents are recorded.
func (t *Trace) NewCatalog(clock func() time.Time) *Catalog {
	c := &Catalog{Catalog: catalog.New(document.Parse), recorder: t.newRecorder(componentCatalog, ""), clock: clock}
	c.record("open", withoutMonotonic(clock()), nil, nil)
	return c
}

// Offer records catalog.Catalog.Offer.
func (c *Catalog) Offer(raw port.RawDocument) catalog.Outcome {
	now := withoutMonotonic(c.clock())
	ref := c.trace.recordContent(raw)
	out := c.Catalog.Offer(raw)
	c.record("offer", now, ref, newOfferResult(out, c.Hash()))
	return out
}

func newOfferResult(o catalog.Outcome, hash uint64) offerResult {
	r := offerResult{Verdict: o.Verdict.String(), Previous: o.Previous, FirstTime: o.FirstTime, Hash: hash}
	if o.Document != nil {
		r.InForce, r.Digest = o.Document.Revision, o.Document.Digest
	}
	return r
}

func (p *player) playCatalog(l line) (any, error) {
	if l.Call == "open" {
		p.catalogs[l.objectKey()] = catalog.New(document.Parse)
		return nil, nil
	}
	c, err := openObject(p.catalogs, l)
	if err != nil {
		return nil, err
	}
	ref, err := decode[contentRef](l.Args)
	if err != nil {
		return nil, err
	}
	raw, ok := p.contents[ref.key()]
	if !ok || l.Call != "offer" {
		return nil, unknownCall(l)
	}
	return newOfferResult(c.Offer(port.RawDocument{Service: ref.Service, Content: raw}), c.Hash()), nil
}

// FetchPlan is a catalog.FetchPlan whose calls are recorded.
type FetchPlan struct {
	*catalog.FetchPlan
	recorder
	source *countingSource
}

// NewFetchPlan returns a fetch plan whose calls are recorded. Its random source
// gets a new seed, which is written to the trace: a replay needs the seed to draw
// the same random numbers.
func (t *Trace) NewFetchPlan(r *rand.Rand, clock func() time.Time) *FetchPlan {
	openArgs := seedArgs{Seed: newSeed(r)}
	p := &FetchPlan{recorder: t.newRecorder(componentFetchPlan, ""), source: openArgs.Seed.source()}
	p.FetchPlan = catalog.NewFetchPlan(catalog.FetchConfig{Rand: rand.New(p.source)})
	p.record("open", withoutMonotonic(clock()), openArgs, nil)
	return p
}

// SetHash records catalog.FetchPlan.SetHash.
func (p *FetchPlan) SetHash(now time.Time, own uint64) {
	now = withoutMonotonic(now)
	p.FetchPlan.SetHash(now, own)
	p.record("hash", now, own, nil)
}

// Observe records catalog.FetchPlan.Observe.
func (p *FetchPlan) Observe(now time.Time, peer model.InstanceID, hash uint64, lacks bool) {
	now = withoutMonotonic(now)
	p.FetchPlan.Observe(now, peer, hash, lacks)
	p.record("observe", now, observeArgs{Peer: peer, Hash: hash, Lacks: lacks}, nil)
}

// Next records catalog.FetchPlan.Next, unless the call returns no peer and uses no
// random numbers, and so changes nothing.
func (p *FetchPlan) Next(now time.Time) (model.InstanceID, bool) {
	now = withoutMonotonic(now)
	before := p.source.draws
	peer, due := p.FetchPlan.Next(now)
	if due || p.source.draws != before {
		p.record("next", now, nil, fetchNextResult{Peer: peer, Due: due})
	}
	return peer, due
}

// Finished records catalog.FetchPlan.Finished.
func (p *FetchPlan) Finished(now time.Time, peer model.InstanceID, gained bool, err error) {
	now = withoutMonotonic(now)
	p.FetchPlan.Finished(now, peer, gained, err)
	p.record("finished", now, fetchFinishedArgs{Peer: peer, Gained: gained, Error: errorText(err)}, nil)
}

// Forget records catalog.FetchPlan.Forget without a time, because the call does
// not depend on it.
func (p *FetchPlan) Forget(peer model.InstanceID) {
	p.FetchPlan.Forget(peer)
	p.record("forget", time.Time{}, peer, nil)
}

func (p *player) playFetchPlan(l line) (any, error) {
	if l.Call == "open" {
		openArgs, err := decode[seedArgs](l.Args)
		p.fetchPlans[l.objectKey()] = catalog.NewFetchPlan(catalog.FetchConfig{Rand: rand.New(openArgs.Seed.source())})
		return nil, err
	}
	plan, err := openObject(p.fetchPlans, l)
	if err != nil {
		return nil, err
	}
	switch l.Call {
	case "hash":
		own, err := decode[uint64](l.Args)
		plan.SetHash(l.Time, own)
		return nil, err
	case "observe":
		a, err := decode[observeArgs](l.Args)
		plan.Observe(l.Time, a.Peer, a.Hash, a.Lacks)
		return nil, err
	case "next":
		peer, due := plan.Next(l.Time)
		return fetchNextResult{Peer: peer, Due: due}, nil
	case "finished":
		a, err := decode[fetchFinishedArgs](l.Args)
		plan.Finished(l.Time, a.Peer, a.Gained, errorFromText(a.Error))
		return nil, err
	case "forget":
		peer, err := decode[model.InstanceID](l.Args)
		plan.Forget(peer)
		return nil, err
	default:
		return nil, unknownCall(l)
	}
}

// Reader is a catalog.Reader whose calls are recorded.
type Reader struct {
	*catalog.Reader
	recorder
	clock func() time.Time
}

// NewReader returns a reader whose calls are recorded. Its random source gets a
// new seed, which is written to the trace: a replay needs the seed to draw the
// same random numbers.
func (t *Trace) NewReader(r *rand.Rand, clock func() time.Time) *Reader {
	openArgs := seedArgs{Seed: newSeed(r)}
	out := &Reader{recorder: t.newRecorder(componentReader, ""), clock: clock}
	out.Reader = catalog.NewReader(catalog.ReaderConfig{Rand: rand.New(openArgs.Seed.source())})
	out.record("open", withoutMonotonic(clock()), openArgs, nil)
	return out
}

// SetRole records catalog.Reader.SetRole.
func (r *Reader) SetRole(now time.Time, reader bool, unreachable int) bool {
	now = withoutMonotonic(now)
	changed := r.Reader.SetRole(now, reader, unreachable)
	r.record("role", now, roleArgs{Reader: reader, Unreachable: unreachable}, changed)
	return changed
}

// Next records catalog.Reader.Next, unless no read is due and the call changes
// nothing.
func (r *Reader) Next(now time.Time) (catalog.Read, bool) {
	now = withoutMonotonic(now)
	read, due := r.Reader.Next(now)
	if due {
		r.record("next", now, nil, readNextResult{Read: read, Due: due})
	}
	return read, due
}

// Cancelled records catalog.Reader.Cancelled.
func (r *Reader) Cancelled() {
	r.Reader.Cancelled()
	r.record("cancelled", withoutMonotonic(r.clock()), nil, nil)
}

// Finished records catalog.Reader.Finished.
func (r *Reader) Finished(now time.Time, version uint64, err error) bool {
	now = withoutMonotonic(now)
	changed := r.Reader.Finished(now, version, err)
	r.record("finished", now, readFinishedArgs{Version: version, Error: errorText(err)}, changed)
	return changed
}

func (p *player) playReader(l line) (any, error) {
	if l.Call == "open" {
		openArgs, err := decode[seedArgs](l.Args)
		p.readers[l.objectKey()] = catalog.NewReader(catalog.ReaderConfig{Rand: rand.New(openArgs.Seed.source())})
		return nil, err
	}
	r, err := openObject(p.readers, l)
	if err != nil {
		return nil, err
	}
	switch l.Call {
	case "role":
		a, err := decode[roleArgs](l.Args)
		return r.SetRole(l.Time, a.Reader, a.Unreachable), err
	case "next":
		read, due := r.Next(l.Time)
		return readNextResult{Read: read, Due: due}, nil
	case "cancelled":
		r.Cancelled()
		return nil, nil
	case "finished":
		a, err := decode[readFinishedArgs](l.Args)
		return r.Finished(l.Time, a.Version, errorFromText(a.Error)), err
	default:
		return nil, unknownCall(l)
	}
}
