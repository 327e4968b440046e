package instance

import (
	mathrand "math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// documentCatalog holds the documents in force: a catalog.Catalog, or a
// replay.Catalog, which also writes the documents offered to it to a trace.
type documentCatalog interface {
	Offer(raw port.RawDocument) catalog.Outcome
	Refusals() []catalog.Refusal
	Get(service string) *document.Document
	Services() []string
	Versions() []port.DocumentVersion
	Hash() uint64
	Newer(have []port.DocumentVersion) []port.RawDocument
	Lacks(v port.DocumentVersion) bool
}

// fetchPlan decides when to fetch documents from which peer: a catalog.FetchPlan,
// or a replay.FetchPlan, which also writes its calls to a trace.
type fetchPlan interface {
	SetHash(now time.Time, own uint64)
	Observe(now time.Time, peer model.InstanceID, hash uint64, lacks bool)
	Next(now time.Time) (model.InstanceID, bool)
	Finished(now time.Time, peer model.InstanceID, gained bool, err error)
	Forget(peer model.InstanceID)
}

// platformReader decides when to read documents from the platform: a
// catalog.Reader, or a replay.Reader, which also writes its calls to a trace.
type platformReader interface {
	SetRole(now time.Time, reader bool, unreachable int) bool
	IsReader() bool
	Unreachable() bool
	Next(now time.Time) (catalog.Read, bool)
	Cancelled()
	Finished(now time.Time, version uint64, err error) bool
}

func (i *Instance) newCatalog() documentCatalog {
	if i.cfg.Trace == nil {
		return catalog.New(document.Parse)
	}
	return i.cfg.Trace.NewCatalog(i.now)
}

func (i *Instance) newFetchPlan(r *mathrand.Rand) fetchPlan {
	if i.cfg.Trace == nil {
		return catalog.NewFetchPlan(catalog.FetchConfig{Rand: r})
	}
	return i.cfg.Trace.NewFetchPlan(r, i.now)
}

func (i *Instance) newReader(r *mathrand.Rand) platformReader {
	if i.cfg.Trace == nil {
		return catalog.NewReader(catalog.ReaderConfig{Rand: r})
	}
	return i.cfg.Trace.NewReader(r, i.now)
}
