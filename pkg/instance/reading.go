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
	// readersPerDataCentre is the number of instances per data centre that read
	// documents from the platform. With two, the loss of one leaves no gap; the
	// platform then holds two waiting watches per data centre.
	readersPerDataCentre = 2
	// readTimeoutMargin is added to the wait that a read requests from the platform;
	// the sum is the read's timeout.
	readTimeoutMargin = 3 * time.Second
	// fetchTimeout is the timeout of a fetch of documents from a peer.
	fetchTimeout = 2 * time.Second
	// listInterval is the time between two reads of the platform's instance list
	// while there are few members. With more than listReaders members, it is
	// multiplied by their number divided by listReaders, rounded down. All instances
	// together then make fewer than 2*listReaders reads per second.
	listInterval = time.Second
	listReaders  = 24
	listTimeout  = 2 * time.Second
	// readPollInterval is how often readTick checks whether a read or fetch is due.
	// Documents spread from instance to instance; each step can take up to this much
	// longer because of the interval.
	readPollInterval = 50 * time.Millisecond
)

// clearPeerHashes drops the catalog hashes of peers, so that documentsCurrent waits
// for new ones.
func (r *readState) clearPeerHashes() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerHashes = make(map[model.InstanceID]uint64)
	r.fetchedHashes = make(map[uint64]bool)
}

// forgetPeer drops what is recorded about a dead peer, so that no documents are
// fetched from it.
func (r *readState) forgetPeer(peer model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetchPlan.Forget(peer)
	delete(r.peerHashes, peer)
}

// readTick starts a read of the platform and a fetch from a peer if they are due,
// and schedules the next call.
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

// readDocuments reads documents from the platform's configuration service once. If
// read.Wait is positive, the platform may delay its answer until a document
// changes.
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

// sourcePlatform is the source of documents that this instance read from the
// platform itself.
const sourcePlatform = "platform"

// offerDocuments passes documents to the catalog and announces those that it
// adopted. source is sourcePlatform or a peer's id. It reports whether any document
// was adopted.
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

// documentAdopted announces an adopted document to the other instances and passes
// it to the service's groups.
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
	i.ports.Metrics.DocumentEvaluated(documentVerdict(o.Verdict))
	fields := event.Fields{"service": raw.Service, "previous_revision": o.Previous}
	switch o.Verdict {
	case catalog.Adopted:
		fields["revision"] = o.Document.Revision
		i.logInfo(event.DocumentAdopted, fields, "service document adopted")
	case catalog.Invalid:
		if o.FirstTime {
			fields["error"] = o.Err.Error()
			i.logWarn(event.DocumentInvalid, fields, "service document is invalid; the document in force is kept")
		}
	case catalog.Conflict:
		if o.FirstTime {
			fields["error"] = o.Err.Error()
			i.logWarn(event.DocumentConflict, fields, "service document has the same revision as the one in force but other content; publish a higher revision")
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

// comparePeerCatalog compares the documents that a peer's datagram announces with
// the local ones, and passes the result and the peer's catalog hash to the fetch
// plan. While this instance is not serving, it also records the hash for
// documentsCurrent.
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

// fetchDocuments fetches from a peer the documents that are newer than the local
// ones and offers them to the catalog.
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

// HandleFetchDocuments implements port.PeerHandler: it returns the documents that
// are newer than those that the peer has.
func (i *Instance) HandleFetchDocuments(_ context.Context, have []port.DocumentVersion) []port.RawDocument {
	i.detectPause(i.now())
	i.catalog.mu.RLock()
	defer i.catalog.mu.RUnlock()
	return i.catalog.catalog.Newer(have)
}

// documentsCurrent reports whether a starting or resumed instance has the documents
// that its peers have: each catalog hash that a peer sent equals the local one, or
// documents have been fetched from a peer with that hash. An instance without
// documents also needs one successful read of the platform. An instance with
// documents also needs a hash from at least one peer, unless it is the only member.
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
	hashReceived := false
	for _, m := range members {
		hash, ok := i.reads.peerHashes[m.ID]
		if !ok {
			continue
		}
		hashReceived = true
		if hash != own && !i.reads.fetchedHashes[hash] {
			return false
		}
	}
	if empty {
		return i.reads.platformReadOnce
	}
	return hashReceived || len(members) == 1
}

// updateReaderRole decides whether this instance is one of the readers of its data
// centre. If it stops being a reader, it cancels the read in flight.
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
	i.logInfo(id, nil, "this instance started or stopped being a reader of the platform's configuration")
}

// listTick starts a read of the platform's instance list.
func (i *Instance) listTick() {
	go i.readInstanceList()
}

// readInstanceList reads the platform's instance list and schedules the next read.
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

// listReadDelay returns the time until the next read of the instance list.
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
		i.logWarn(event.InstanceListFail, event.Fields{"error": err.Error()}, "the platform's instance list can't be read; the known members are kept")
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

// seedInstances returns the configured seeds in the form of the platform's instance
// list. The id of a seed is not known before it answers, so its address serves as
// the id.
func (i *Instance) seedInstances() []port.ListedInstance {
	out := make([]port.ListedInstance, 0, len(i.cfg.Seeds))
	for _, address := range i.cfg.Seeds {
		out = append(out, port.ListedInstance{ID: model.InstanceID(address), ControlAddress: address})
	}
	return out
}
