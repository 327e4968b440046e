package instance

import (
	"context"
	"errors"
	"time"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/phase"
	"github.com/sardineturn/sardineturn/pkg/placement"
	"github.com/sardineturn/sardineturn/pkg/port"
)

const (
	// readersPerDataCentre is two so that the loss of one is covered without a
	// gap, at two waiting watches per data centre.
	readersPerDataCentre = 2
	// readGrace is added to a watch's wait for the platform's answer.
	readTimeoutMargin = 3 * time.Second
	// fetchTimeout bounds a fetch of documents from a peer.
	fetchTimeout = 2 * time.Second
	// listInterval is how often the instance list is read in a small fleet; the
	// interval grows with the fleet beyond listReaders members, so that the
	// platform sees at most listReaders reads per second.
	listInterval = time.Second
	listReaders  = 24
	listTimeout  = 2 * time.Second
	// readPollInterval is how often due reads and fetches are looked for; it
	// adds at most this much to the spread of a document per hop.
	readPollInterval = 50 * time.Millisecond
)

func (r *readState) clearPeerHashes() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerHashes = make(map[model.InstanceID]uint64)
	r.fetchedHashes = make(map[uint64]bool)
}

// forget drops a dead peer, from which nothing can be fetched.
func (r *readState) forgetPeer(peer model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetchPlan.Forget(peer)
	delete(r.peerHashes, peer)
}

// readTick starts due reads of the platform and fetches from peers.
func (i *Instance) readTick() {
	now := i.now()
	i.detectPause(now)
	i.reads.mu.Lock()
	read, readDue := i.reads.reader.Next(now)
	peer, fetchDue := i.reads.fetchPlan.Next(now)
	var ctx context.Context
	if readDue {
		ctx, i.reads.cancelRead = context.WithTimeout(i.lifecycle.context(), read.Wait+readTimeoutMargin)
	}
	i.reads.mu.Unlock()
	if readDue {
		go i.readDocuments(ctx, read)
	}
	if fetchDue {
		go i.fetchDocuments(peer)
	}
	i.schedule("read", readPollInterval, i.readTick)
}

// readDocuments reads or watches the platform's configuration service once.
func (i *Instance) readDocuments(ctx context.Context, read catalog.Read) {
	batch, err := i.ports.Platform.ReadDocuments(ctx, read.Since, read.Wait)
	now := i.now()
	i.detectPause(now)
	cancelled := err != nil && errors.Is(ctx.Err(), context.Canceled)
	if err == nil {
		i.offerDocuments(now, batch.Documents, sourcePlatform)
	}
	i.reads.mu.Lock()
	if cancelled {
		i.reads.reader.Cancelled()
		i.reads.mu.Unlock()
		return
	}
	i.reads.platformReadOnce = i.reads.platformReadOnce || err == nil
	changed := i.reads.reader.Finished(now, batch.Version, err)
	unreachable := i.reads.reader.Unreachable()
	i.reads.cancelRead()
	i.reads.mu.Unlock()
	i.ports.Metrics.PlatformRead(err == nil)
	if changed {
		i.reportPlatform(now, unreachable, err)
	}
}

func (i *Instance) reportPlatform(now time.Time, unreachable bool, err error) {
	i.control.mu.Lock()
	i.control.membership.SetPlatformUnreachable(now, unreachable)
	i.control.mu.Unlock()
	if unreachable {
		i.logWarn(event.PlatformFailed, event.Fields{"error": err.Error()}, "the platform's configuration service can't be read")
		return
	}
	i.logInfo(event.PlatformRestored, nil, "the platform's configuration service answers again")
}

// sourcePlatform is the source of documents that this instance read itself.
const sourcePlatform = "platform"

// offer passes documents to the catalog and announces what was adopted. The
// source is the platform or a peer's id. It reports whether any was adopted.
func (i *Instance) offerDocuments(now time.Time, docs []port.RawDocument, source string) bool {
	adopted := false
	for _, raw := range docs {
		i.catalog.mu.Lock()
		outcome := i.catalog.catalog.Offer(raw)
		if outcome.Verdict == catalog.Adopted {
			i.catalog.sources[raw.Service] = source
		}
		i.catalog.mu.Unlock()
		i.reportOfferOutcome(raw, outcome)
		if outcome.Verdict != catalog.Adopted {
			continue
		}
		adopted = true
		if outcome.Document.Revision <= outcome.Previous {
			i.invariantBroken("document_revision_grows", event.Fields{"service": raw.Service})
		}
		i.documentAdopted(now, port.DocumentVersion{
			Service:  raw.Service,
			Revision: outcome.Document.Revision,
			Digest:   outcome.Document.Digest,
		})
	}
	return adopted
}

func (i *Instance) documentAdopted(now time.Time, v port.DocumentVersion) {
	i.catalog.mu.RLock()
	hash := i.catalog.catalog.Hash()
	doc := i.catalog.catalog.Get(v.Service)
	i.catalog.mu.RUnlock()
	i.reads.mu.Lock()
	i.reads.fetchPlan.SetHash(now, hash)
	i.reads.mu.Unlock()
	i.control.mu.Lock()
	i.control.membership.SetCatalogHash(hash)
	i.control.membership.AnnounceDocument(v)
	i.control.mu.Unlock()
	for _, g := range i.homes.all() {
		if g.key.Service == v.Service {
			g.updateDocument(now, doc)
		}
	}
	i.scheduleWarmUp()
}

func (i *Instance) reportOfferOutcome(raw port.RawDocument, o catalog.Outcome) {
	i.ports.Metrics.DocumentJudged(documentVerdict(o.Verdict))
	fields := event.Fields{"service": raw.Service, "previous_revision": o.Previous}
	switch o.Verdict {
	case catalog.Adopted:
		fields["revision"] = o.Document.Revision
		i.logInfo(event.DocumentAdopted, fields, "service document adopted")
	case catalog.Invalid:
		if o.FirstTime {
			fields["error"] = o.Err.Error()
			i.logWarn(event.DocumentInvalid, fields, "service document is invalid; the one in force stays")
		}
	case catalog.Conflict:
		if o.FirstTime {
			fields["error"] = o.Err.Error()
			i.logWarn(event.DocumentConflict, fields, "service document has the revision in force with other content; publish a higher revision")
		}
	}
}

func documentVerdict(v catalog.Verdict) metrics.Verdict {
	switch v {
	case catalog.Adopted:
		return metrics.VerdictAdopted
	case catalog.Same:
		return metrics.VerdictUnchanged
	case catalog.Older:
		return metrics.VerdictOlder
	case catalog.Conflict:
		return metrics.VerdictConflict
	default:
		return metrics.VerdictInvalid
	}
}

// observeCatalog compares a peer's documents with the local ones.
func (i *Instance) comparePeerCatalog(now time.Time, r membership.Received) {
	lacks := false
	i.catalog.mu.RLock()
	for _, v := range r.Documents {
		lacks = lacks || i.catalog.catalog.Lacks(v)
	}
	i.catalog.mu.RUnlock()
	i.reads.mu.Lock()
	defer i.reads.mu.Unlock()
	i.reads.fetchPlan.Observe(now, r.Sender.ID, r.CatalogHash, lacks)
	if i.currentPhase() != phase.Serving {
		i.reads.peerHashes[r.Sender.ID] = r.CatalogHash
	}
}

// fetchDocuments takes over documents from a peer.
func (i *Instance) fetchDocuments(peer model.InstanceID) {
	ctx, cancel := context.WithTimeout(i.lifecycle.context(), fetchTimeout)
	defer cancel()
	i.reads.mu.Lock()
	hash := i.reads.peerHashes[peer]
	i.reads.mu.Unlock()
	i.catalog.mu.RLock()
	have := i.catalog.catalog.Versions()
	i.catalog.mu.RUnlock()
	docs, err := i.ports.Peers.FetchDocuments(ctx, peer, have)
	now := i.now()
	i.detectPause(now)
	adopted := i.offerDocuments(now, docs, string(peer))
	i.reads.mu.Lock()
	defer i.reads.mu.Unlock()
	if err == nil {
		i.reads.fetchedHashes[hash] = true
	}
	i.reads.fetchPlan.Finished(now, peer, adopted, err)
}

// HandleFetchDocuments implements port.PeerHandler.
func (i *Instance) HandleFetchDocuments(_ context.Context, have []port.DocumentVersion) []port.RawDocument {
	i.detectPause(i.now())
	i.catalog.mu.RLock()
	defer i.catalog.mu.RUnlock()
	return i.catalog.catalog.Newer(have)
}

// documentsCurrent reports whether a starting or resumed instance holds what
// its peers hold: each catalog hash that a peer shows is its own, or a fetch
// was made for it. An instance without peers needs one read of the platform.
func (i *Instance) documentsCurrent(_ time.Time) bool {
	i.catalog.mu.RLock()
	own := i.catalog.catalog.Hash()
	empty := len(i.catalog.catalog.Services()) == 0
	i.catalog.mu.RUnlock()
	i.control.mu.Lock()
	members := i.control.membership.Members()
	i.control.mu.Unlock()
	i.reads.mu.Lock()
	defer i.reads.mu.Unlock()
	answered := false
	for _, m := range members {
		hash, ok := i.reads.peerHashes[m.ID]
		if !ok {
			continue
		}
		answered = true
		if hash != own && !i.reads.fetchedHashes[hash] {
			return false
		}
	}
	if empty {
		return i.reads.platformReadOnce
	}
	return answered || len(members) == 1
}

// updateReaderRole decides whether this instance reads the platform.
func (i *Instance) updateReaderRole(now time.Time, members []membership.Member) {
	reader := false
	for _, id := range placement.Readers(i.cfg.DataCentre, members, readersPerDataCentre) {
		reader = reader || id == i.cfg.ID
	}
	unreachable := 0
	for _, m := range members {
		if m.DataCentre == i.cfg.DataCentre && m.PlatformUnreachable {
			unreachable++
		}
	}
	i.reads.mu.Lock()
	changed := i.reads.reader.SetRole(now, reader, unreachable)
	if changed && !reader && i.reads.cancelRead != nil {
		i.reads.cancelRead()
	}
	i.reads.mu.Unlock()
	if !changed {
		return
	}
	id := event.ReaderRoleLost
	if reader {
		id = event.ReaderRoleGained
	}
	i.logInfo(id, nil, "the role of reading the platform's configuration changed")
}

// listTick reads the platform's instance list and schedules the next read.
func (i *Instance) listTick() {
	go i.readInstanceList()
}

func (i *Instance) readInstanceList() {
	ctx, cancel := context.WithTimeout(i.lifecycle.context(), listTimeout)
	defer cancel()
	list, err := i.ports.Platform.ReadInstances(ctx)
	now := i.now()
	i.detectPause(now)
	i.ports.Metrics.PlatformRead(err == nil)
	if err != nil {
		i.handleListFailure(now, err)
	} else {
		i.applyInstanceList(now, list)
	}
	i.schedule("list", i.listReadDelay(), i.listTick)
}

func (i *Instance) listReadDelay() time.Duration {
	i.control.mu.Lock()
	defer i.control.mu.Unlock()
	members := len(i.control.membership.Members())
	return listInterval * time.Duration(max(1, members/listReaders))
}

func (i *Instance) handleListFailure(now time.Time, err error) {
	i.control.mu.Lock()
	first := !i.control.listFailing
	i.control.listFailing = true
	if !i.control.listReceived && len(i.cfg.Seeds) > 0 {
		i.control.membership.SetListed(now, i.seedInstances())
	}
	i.control.mu.Unlock()
	if first {
		i.logWarn(event.InstanceListFail, event.Fields{"error": err.Error()}, "the platform's instance list can't be read; members are kept")
	}
}

func (i *Instance) applyInstanceList(now time.Time, list port.InstanceList) {
	i.control.mu.Lock()
	i.control.listFailing = false
	i.control.listReceived = true
	for _, l := range list.Instances {
		i.control.selfListed = i.control.selfListed || l.ID == i.cfg.ID && !l.Leaving
	}
	i.control.membership.SetListed(now, list.Instances)
	i.control.mu.Unlock()
	i.recordUpstreamList(now, list.Upstreams)
	i.setLeavingUpstreams(now, list.Upstreams)
}

// seeds lists the settings' control addresses in place of the platform's list.
// The id is not known before the member answers, so the address stands for it.
func (i *Instance) seedInstances() []port.ListedInstance {
	out := make([]port.ListedInstance, 0, len(i.cfg.Seeds))
	for _, address := range i.cfg.Seeds {
		out = append(out, port.ListedInstance{ID: model.InstanceID(address), ControlAddress: address})
	}
	return out
}
