package catalog

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// Default limits of a FetchPlan.
const (
	// DefaultHashGrace is how long a peer's catalog hash must differ from the
	// local one before documents are fetched because of it. A change usually
	// arrives earlier, by announcement.
	DefaultHashGrace = time.Second
	// DefaultFetchInterval is the least time between the starts of two fetches.
	DefaultFetchInterval = 100 * time.Millisecond
	// DefaultMaxFetches limits the fetches in flight.
	DefaultMaxFetches = 3
	// DefaultFetchBackoff and DefaultMaxFetchBackoff bound the backoff after a
	// fetch that failed or returned nothing new.
	DefaultFetchBackoff    = 500 * time.Millisecond
	DefaultMaxFetchBackoff = 30 * time.Second
)

const (
	// maxSources limits the number of sources that are remembered for each hash,
	// and the number of announcers.
	maxSources = 8
	// maxHashes limits the remembered catalog hashes. Hashes appear and
	// disappear while instances adopt changes at different times.
	maxHashes = 64
	// hashLifetime is how long a hash is remembered after it was last seen.
	hashLifetime = 2 * DefaultMaxFetchBackoff
	// maxFailingPeers limits the number of remembered failing peers. At the
	// limit, all are forgotten.
	maxFailingPeers = 256
)

// FetchConfig configures a FetchPlan. Zero values mean the defaults.
type FetchConfig struct {
	Rand            *rand.Rand
	HashGrace       time.Duration
	FetchInterval   time.Duration
	MaxFetches      int
	FetchBackoff    time.Duration
	MaxFetchBackoff time.Duration
}

func (c *FetchConfig) setDefaults() {
	c.HashGrace = cmp.Or(c.HashGrace, DefaultHashGrace)
	c.FetchInterval = cmp.Or(c.FetchInterval, DefaultFetchInterval)
	c.MaxFetches = cmp.Or(c.MaxFetches, DefaultMaxFetches)
	c.FetchBackoff = cmp.Or(c.FetchBackoff, DefaultFetchBackoff)
	c.MaxFetchBackoff = cmp.Or(c.MaxFetchBackoff, DefaultMaxFetchBackoff)
}

// peerHash is the state of a catalog hash that differs from the local one. State
// is kept by hash rather than by peer: in a large fleet, a single peer rarely
// sends a datagram to this instance, but many peers send the same hash.
type peerHash struct {
	lastSeen time.Time
	// eligibleAt is the time after which a peer that sends the hash becomes a
	// source, that is, a peer from which documents may be fetched.
	eligibleAt time.Time
	// emptyFetches is the number of fetches that this hash caused and that
	// brought nothing new, since the local hash last changed.
	emptyFetches int
	// sources are peers that sent the hash after eligibleAt.
	sources []model.InstanceID
}

// failingPeer is a peer from which a fetch failed, or whose announcement led to
// a fetch that brought nothing new. No fetch from it starts before retryAt.
type failingPeer struct {
	retryAt  time.Time
	failures int
}

// FetchPlan decides which peer to fetch documents from. A peer is eligible if
// it announced a revision that this instance lacks, or if it sent a catalog hash
// that has differed from the local one for longer than the grace time.
type FetchPlan struct {
	cfg        FetchConfig
	ownHash    uint64
	announcers []model.InstanceID
	hashes     map[uint64]*peerHash
	failing    map[model.InstanceID]*failingPeer
	// inFlight maps each peer that documents are being fetched from to the hash
	// that caused the fetch, or to 0 if an announcement caused it. A fetch caused
	// by hash 0, the hash of an empty catalog, is handled as one caused by an
	// announcement.
	inFlight  map[model.InstanceID]uint64
	nextFetch time.Time
}

// NewFetchPlan returns a plan for an empty catalog.
func NewFetchPlan(cfg FetchConfig) *FetchPlan {
	cfg.setDefaults()
	return &FetchPlan{
		cfg:      cfg,
		hashes:   make(map[uint64]*peerHash),
		failing:  make(map[model.InstanceID]*failingPeer),
		inFlight: make(map[model.InstanceID]uint64),
	}
}

// SetHash sets the local catalog hash. The caller calls it after adopting
// documents. SetHash forgets the announcers: most of them announced the adopted
// documents, and the others will repeat their announcement or send another
// hash.
func (p *FetchPlan) SetHash(now time.Time, own uint64) {
	if own == p.ownHash {
		return
	}
	p.ownHash = own
	p.announcers = nil
	delete(p.hashes, own)
	for _, h := range p.hashes {
		h.emptyFetches = 0
		h.postpone(now, p.cfg.HashGrace)
	}
}

// postpone drops the hash's sources and accepts new ones only after the delay
// d.
func (h *peerHash) postpone(now time.Time, d time.Duration) {
	h.eligibleAt = now.Add(d)
	h.sources = nil
}

// Observe records the contents of a datagram from a peer: the peer's catalog
// hash, and whether the peer announces a revision that this instance lacks.
func (p *FetchPlan) Observe(now time.Time, peer model.InstanceID, hash uint64, lacks bool) {
	if lacks {
		p.announcers = addSource(p.announcers, peer, p.cfg.Rand)
	} else if hash == p.ownHash {
		p.announcers = removeSource(p.announcers, peer)
	}
	for other, h := range p.hashes {
		if other != hash {
			h.sources = removeSource(h.sources, peer)
		}
	}
	if hash == p.ownHash {
		return
	}
	h := p.hashes[hash]
	if h == nil {
		h = p.addHash(now, hash)
	}
	h.lastSeen = now
	if now.After(h.eligibleAt) {
		h.sources = addSource(h.sources, peer, p.cfg.Rand)
	}
}

func (p *FetchPlan) addHash(now time.Time, hash uint64) *peerHash {
	if len(p.hashes) >= maxHashes {
		p.dropHashes(now)
	}
	h := &peerHash{eligibleAt: now.Add(p.cfg.HashGrace)}
	p.hashes[hash] = h
	return h
}

// dropHashes removes the hashes that were not seen for hashLifetime. If there
// are none, it removes the one that was seen least recently.
func (p *FetchPlan) dropHashes(now time.Time) {
	var oldest uint64
	for hash, h := range p.hashes {
		if now.Sub(h.lastSeen) > hashLifetime {
			delete(p.hashes, hash)
			continue
		}
		o := p.hashes[oldest]
		if o == nil || h.lastSeen.Before(o.lastSeen) || h.lastSeen.Equal(o.lastSeen) && hash < oldest {
			oldest = hash
		}
	}
	if len(p.hashes) >= maxHashes {
		delete(p.hashes, oldest)
	}
}

func addSource(s []model.InstanceID, peer model.InstanceID, r *rand.Rand) []model.InstanceID {
	if slices.Contains(s, peer) {
		return s
	}
	if len(s) >= maxSources {
		s[r.IntN(len(s))] = peer
		return s
	}
	return append(s, peer)
}

func removeSource(s []model.InstanceID, peer model.InstanceID) []model.InstanceID {
	if i := slices.Index(s, peer); i >= 0 {
		return slices.Delete(s, i, i+1)
	}
	return s
}

// Next returns the peer to start a fetch from now, if any. Peers that announced
// a revision that this instance lacks come first; among several peers the
// choice is random.
func (p *FetchPlan) Next(now time.Time) (model.InstanceID, bool) {
	if len(p.inFlight) >= p.cfg.MaxFetches || now.Before(p.nextFetch) {
		return "", false
	}
	peer, hash := p.choosePeer(now)
	if peer == "" {
		return "", false
	}
	p.inFlight[peer] = hash
	p.nextFetch = now.Add(p.cfg.FetchInterval)
	return peer, true
}

func (p *FetchPlan) choosePeer(now time.Time) (model.InstanceID, uint64) {
	if peer := p.pickPeer(now, p.announcers); peer != "" {
		return peer, 0
	}
	if len(p.hashes) == 0 {
		return "", 0
	}
	hashes := make([]uint64, 0, len(p.hashes))
	for hash, h := range p.hashes {
		if len(h.sources) > 0 {
			hashes = append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	p.cfg.Rand.Shuffle(len(hashes), func(i, j int) { hashes[i], hashes[j] = hashes[j], hashes[i] })
	for _, hash := range hashes {
		if peer := p.pickPeer(now, p.hashes[hash].sources); peer != "" {
			return peer, hash
		}
	}
	return "", 0
}

// pickPeer returns one of the given peers at random, or "". It skips peers with a
// fetch in flight and peers whose backoff has not passed.
func (p *FetchPlan) pickPeer(now time.Time, peers []model.InstanceID) model.InstanceID {
	var choice model.InstanceID
	count := 0
	for _, peer := range peers {
		if _, busy := p.inFlight[peer]; busy || now.Before(p.peerRetryAt(peer)) {
			continue
		}
		count++
		if p.cfg.Rand.IntN(count) == 0 {
			choice = peer
		}
	}
	return choice
}

func (p *FetchPlan) peerRetryAt(peer model.InstanceID) time.Time {
	if f := p.failing[peer]; f != nil {
		return f.retryAt
	}
	return time.Time{}
}

// NextWake returns the time at which Next may return a peer, or the zero time
// if no fetch is planned. Observe, SetHash and Finished may change it.
func (p *FetchPlan) NextWake() time.Time {
	var wake time.Time
	if len(p.inFlight) >= p.cfg.MaxFetches {
		return wake
	}
	wake = p.earliestFetch(wake, p.announcers)
	for _, h := range p.hashes {
		wake = p.earliestFetch(wake, h.sources)
	}
	return wake
}

func (p *FetchPlan) earliestFetch(wake time.Time, peers []model.InstanceID) time.Time {
	for _, peer := range peers {
		if _, busy := p.inFlight[peer]; busy {
			continue
		}
		startAt := p.peerRetryAt(peer)
		if startAt.Before(p.nextFetch) {
			startAt = p.nextFetch
		}
		if wake.IsZero() || startAt.Before(wake) {
			wake = startAt
		}
	}
	return wake
}

// Finished records the end of a fetch. gained is true if the fetch brought a
// document that was adopted; the caller then calls SetHash before Finished.
func (p *FetchPlan) Finished(now time.Time, peer model.InstanceID, gained bool, err error) {
	hash, ok := p.inFlight[peer]
	if !ok {
		return
	}
	delete(p.inFlight, peer)
	if err != nil {
		p.peerFailed(now, peer)
		return
	}
	if gained {
		delete(p.failing, peer)
		return
	}
	p.announcers = removeSource(p.announcers, peer)
	if hash == 0 {
		// This instance refuses the announced document, or another fetch has
		// brought it in the meantime.
		p.peerFailed(now, peer)
		return
	}
	if h := p.hashes[hash]; h != nil {
		h.postpone(now, backoff(p.cfg, h.emptyFetches))
		h.emptyFetches++
	}
}

func (p *FetchPlan) peerFailed(now time.Time, peer model.InstanceID) {
	f := p.failing[peer]
	if f == nil {
		if len(p.failing) >= maxFailingPeers {
			clear(p.failing)
		}
		f = &failingPeer{}
		p.failing[peer] = f
	}
	f.retryAt = now.Add(backoff(p.cfg, f.failures))
	f.failures++
}

func backoff(c FetchConfig, count int) time.Duration {
	return min(c.FetchBackoff<<min(count, 16), c.MaxFetchBackoff)
}

// Forget removes a peer that is no longer a member. The caller still calls
// Finished for a fetch in flight from this peer.
func (p *FetchPlan) Forget(peer model.InstanceID) {
	delete(p.failing, peer)
	p.announcers = removeSource(p.announcers, peer)
	for _, h := range p.hashes {
		h.sources = removeSource(h.sources, peer)
	}
}
