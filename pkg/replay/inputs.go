package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// contentRef identifies the bytes of a document.
type contentRef struct {
	Service string `json:"service"`
	Digest  uint64 `json:"digest"`
}

func (r contentRef) key() string { return fmt.Sprintf("%s/%x", r.Service, r.Digest) }

func contentRefOf(d *document.Document) contentRef {
	return contentRef{Service: d.Service, Digest: d.Digest}
}

// recordContent writes a document's bytes to the trace, unless it already holds
// them, and returns the reference to them.
func (t *Trace) recordContent(raw port.RawDocument) contentRef {
	ref := contentRef{Service: raw.Service, Digest: xxhash.Sum64(raw.Content)}
	t.mu.Lock()
	known := t.writtenContents[ref]
	t.writtenContents[ref] = true
	t.mu.Unlock()
	if !known {
		t.write(line{Component: componentContent, Key: ref.key(), Args: encode(string(raw.Content)), Out: encode(nil)})
	}
	return ref
}

// RecordUpstreamList records the platform's list of upstreams.
func (t *Trace) RecordUpstreamList(now time.Time, upstreams []port.ListedUpstream) {
	t.write(line{Component: componentList, Call: "read", Time: withoutMonotonic(now), Args: encode(upstreams), Out: encode(nil)})
}

// Kinds of facts. A fact is a change that a scenario made outside the instances.
const (
	// FactDocument is a document that an operator published.
	FactDocument = "document"
	// FactUpstream is a change of an upstream's entry in the platform's list.
	FactUpstream = "upstream"
)

// DocumentFact is the fact that the platform holds a valid document from the
// line's time on.
type DocumentFact struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
}

// RecordFact records a change that a scenario made.
func (t *Trace) RecordFact(now time.Time, kind string, fact any) {
	t.write(line{Component: componentFact, Call: kind, Time: withoutMonotonic(now), Args: encode(fact), Out: encode(nil)})
}

// seed is the seed of a component's random source.
type seed [2]uint64

func newSeed(r *rand.Rand) seed { return seed{r.Uint64(), r.Uint64()} }

// countingSource is a random source that counts its calls, so that a recorder can
// detect whether a call of a component used random numbers.
type countingSource struct {
	rand.Source
	draws int
}

func (s seed) source() *countingSource { return &countingSource{Source: rand.NewPCG(s[0], s[1])} }

// Uint64 implements rand.Source.
func (c *countingSource) Uint64() uint64 {
	c.draws++
	return c.Source.Uint64()
}

// newRecorder returns the recorder of an object. If the object generates ids, its
// constructor sets newID.
func (t *Trace) newRecorder(component, key string) recorder {
	return recorder{trace: t, component: component, key: key}
}
