// Package catalog holds the service documents in force at one instance. It
// decides which documents to adopt, when to read the platform's configuration
// service and which peer to fetch documents from. The package does no I/O and
// starts nothing by itself: callers pass in the current time and a random
// source, and carry out its decisions. Its types are not safe for concurrent
// use.
package catalog

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

const (
	// maxReported limits how many conflicts and invalid contents the catalog
	// remembers as reported, and so the memory for them. At the limit it forgets
	// all of them, and reports each again when it is next offered. maxReported
	// also limits the list that Refusals returns, which then loses its oldest
	// entry.
	maxReported = 1024
	// maxBatchBytes limits the total size of the documents in one answer to a
	// peer. It is below the default limit of 4 MiB for a gRPC message. After a
	// truncated answer the peer's catalog hash still differs, so the peer
	// fetches the rest.
	maxBatchBytes = 3 << 20
)

// Verdict is the decision on an offered document.
type Verdict int

// Verdicts of Catalog.Offer.
const (
	// Adopted means that the offered document is now in force.
	Adopted Verdict = iota
	// Same means that a document with the same content was already in force.
	Same
	// Older means that a higher revision is in force.
	Older
	// Conflict means that the document in force has the same revision and other
	// content.
	Conflict
	// Invalid means that the document does not parse or names another service.
	Invalid
)

// String returns the verdict's name.
func (v Verdict) String() string {
	names := [...]string{"adopted", "same", "older", "conflict", "invalid"}
	if v < 0 || int(v) >= len(names) {
		return "undefined"
	}
	return names[v]
}

// Outcome is the result of an offer.
type Outcome struct {
	Verdict Verdict
	// Document is the document in force after the offer, or nil.
	Document *document.Document
	// Previous is the revision in force before the offer, or 0.
	Previous uint64
	// Err is the reason why the document was refused.
	Err error
	// FirstTime is true on the first report of this conflict or this invalid
	// content, so that the caller logs it only once.
	FirstTime bool
}

// Refusal describes a refused document for the instance's status.
type Refusal struct {
	Verdict Verdict
	// Version has revision 0 if the content is invalid.
	Version port.DocumentVersion
	Err     error
}

type entry struct {
	raw      port.RawDocument
	document *document.Document
	version  port.DocumentVersion
}

// Catalog holds the documents in force. A document's revision never goes down.
type Catalog struct {
	parse    func([]byte) (*document.Document, error)
	entries  map[string]*entry
	hash     uint64
	versions []port.DocumentVersion
	reported map[port.DocumentVersion]error
	refusals []Refusal
}

// New returns an empty catalog that parses and checks documents with parse.
func New(parse func([]byte) (*document.Document, error)) *Catalog {
	return &Catalog{
		parse:    parse,
		entries:  make(map[string]*entry),
		reported: make(map[port.DocumentVersion]error),
	}
}

// Offer adopts a document if it is valid and its revision is higher than the
// one in force. The catalog keeps raw.Content, so the caller must not change
// it.
func (c *Catalog) Offer(raw port.RawDocument) Outcome {
	digest := xxhash.Sum64(raw.Content)
	old := c.entries[raw.Service]
	if old != nil && old.version.Digest == digest {
		return Outcome{Verdict: Same, Document: old.document, Previous: old.version.Revision}
	}
	invalid := port.DocumentVersion{Service: raw.Service, Digest: digest}
	if err := c.reported[invalid]; err != nil {
		return c.refuse(old, Invalid, invalid, err)
	}
	doc, err := c.parseAndCheck(raw)
	if err != nil {
		return c.refuse(old, Invalid, invalid, err)
	}
	v := port.DocumentVersion{Service: raw.Service, Revision: doc.Revision, Digest: digest}
	if old != nil && v.Revision < old.version.Revision {
		return Outcome{Verdict: Older, Document: old.document, Previous: old.version.Revision}
	}
	if old != nil && v.Revision == old.version.Revision {
		err = result.Errorf(result.InvalidDocument, "document %q: revision %d is in force with other content", v.Service, v.Revision)
		return c.refuse(old, Conflict, v, err)
	}
	return c.adopt(old, &entry{raw: raw, document: doc, version: v})
}

func (c *Catalog) parseAndCheck(raw port.RawDocument) (*document.Document, error) {
	if len(raw.Content) > document.MaxBytes {
		return nil, result.Errorf(result.InvalidDocument, "document %q has %d bytes, over the limit of %d", raw.Service, len(raw.Content), document.MaxBytes)
	}
	doc, err := c.parse(raw.Content)
	if err != nil {
		return nil, err
	}
	if doc.Service != raw.Service {
		return nil, result.Errorf(result.InvalidDocument, "document of service %q names service %q", raw.Service, doc.Service)
	}
	return doc, nil
}

func (c *Catalog) adopt(old, e *entry) Outcome {
	out := Outcome{Verdict: Adopted, Document: e.document}
	if old != nil {
		out.Previous = old.version.Revision
		c.hash ^= hashVersion(old.version)
	}
	c.hash ^= hashVersion(e.version)
	c.entries[e.raw.Service] = e
	c.versions = nil
	c.refusals = slices.DeleteFunc(c.refusals, func(r Refusal) bool { return r.Version.Service == e.raw.Service })
	return out
}

func (c *Catalog) refuse(old *entry, verdict Verdict, v port.DocumentVersion, err error) Outcome {
	out := Outcome{Verdict: verdict, Err: err}
	if old != nil {
		out.Document = old.document
		out.Previous = old.version.Revision
	}
	if _, known := c.reported[v]; known {
		return out
	}
	if len(c.reported) >= maxReported {
		clear(c.reported)
	}
	c.reported[v] = err
	out.FirstTime = true
	c.refusals = append(c.refusals, Refusal{Verdict: verdict, Version: v, Err: err})
	if len(c.refusals) > maxReported {
		c.refusals = slices.Delete(c.refusals, 0, 1)
	}
	return out
}

// Refusals returns the refused documents, oldest refusal first. When a document
// of a service is adopted, the earlier refusals of that service are dropped.
func (c *Catalog) Refusals() []Refusal { return slices.Clone(c.refusals) }

// Get returns the service's document in force, or nil.
func (c *Catalog) Get(service string) *document.Document {
	if e := c.entries[service]; e != nil {
		return e.document
	}
	return nil
}

// Services returns the names of all services in alphabetical order.
func (c *Catalog) Services() []string {
	versions := c.Versions()
	out := make([]string, len(versions))
	for i, v := range versions {
		out[i] = v.Service
	}
	return out
}

// Versions returns the versions in force, ordered by service. The result is
// shared and must not be changed.
func (c *Catalog) Versions() []port.DocumentVersion {
	if c.versions == nil {
		c.versions = make([]port.DocumentVersion, 0, len(c.entries))
		for _, e := range c.entries {
			c.versions = append(c.versions, e.version)
		}
		slices.SortFunc(c.versions, func(a, b port.DocumentVersion) int { return cmp.Compare(a.Service, b.Service) })
	}
	return c.versions
}

// Hash returns a hash over all versions in force. It is 0 for an empty catalog.
func (c *Catalog) Hash() uint64 { return c.hash }

// hashVersion hashes one version. The catalog hash is the exclusive or of these
// hashes, so that adopting a document updates it in constant time.
func hashVersion(v port.DocumentVersion) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, v.Service...)
	b = binary.LittleEndian.AppendUint64(b, v.Revision)
	b = binary.LittleEndian.AppendUint64(b, v.Digest)
	return xxhash.Sum64(b)
}

// Newer returns the documents whose revision is higher than the one that the
// peer has, ordered by service. After them come documents with the peer's
// revision but other content, so that the peer reports the conflict. The list
// ends before the document that would exceed maxBatchBytes, but contains at
// least one document.
func (c *Catalog) Newer(have []port.DocumentVersion) []port.RawDocument {
	theirs := make(map[string]port.DocumentVersion, len(have))
	for _, v := range have {
		theirs[v.Service] = v
	}
	var conflicts, out []port.RawDocument
	for _, v := range c.Versions() {
		t, known := theirs[v.Service]
		switch {
		case !known || v.Revision > t.Revision:
			out = append(out, c.entries[v.Service].raw)
		case v.Revision == t.Revision && v.Digest != t.Digest:
			conflicts = append(conflicts, c.entries[v.Service].raw)
		}
	}
	return limitBatch(append(out, conflicts...))
}

func limitBatch(docs []port.RawDocument) []port.RawDocument {
	size := 0
	for i, d := range docs {
		size += len(d.Content)
		if size > maxBatchBytes && i > 0 {
			return docs[:i]
		}
	}
	return docs
}

// Lacks reports whether the given version has a higher revision than the
// document in force, or no document of its service is in force.
func (c *Catalog) Lacks(v port.DocumentVersion) bool {
	e := c.entries[v.Service]
	return e == nil || v.Revision > e.version.Revision
}
