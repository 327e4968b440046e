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
	// DefaultHashGrace is how long a different catalog hash must be seen before
	// documents are fetched: a change usually arrives by announcement.
	DefaultHashGrace = time.Second
	// DefaultFetchInterval is the least time between two fetches.
	DefaultFetchInterval = 100 * time.Millisecond
	// DefaultMaxFetches bounds the fetches in flight.
	DefaultMaxFetches = 3
	// DefaultFetchBackoff and DefaultMaxFetchBackoff bound the wait after a
	// fetch that failed or brought nothing.
	DefaultFetchBackoff    = 500 * time.Millisecond
	DefaultMaxFetchBackoff = 30 * time.Second
)

const (
	// maxSources bounds the peers remembered for one hash or as announcers.
	maxSources = 8
	// maxHashes bounds the hashes remembered. Hashes of instances that adopt
	// changes at different times come and go.
	maxHashes = 64
	// hashLifetime is how long a hash that is not seen any more is remembered.
	hashLifetime = 2 * DefaultMaxFetchBackoff
	// maxFailing bounds the peers remembered after failed fetches.
	maxFailing = 256
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

// otherHash is a catalog hash that differs from the local one. Hashes rather
// than peers are tracked, since in a large fleet a peer is heard from rarely
// while many peers show the same hash.
type otherHash struct {
	seen time.Time
	// due is when the hash counts, if a peer still shows it then.
	due       time.Time
	fruitless int
	// sources are peers that showed the hash after due.
	sources []model.InstanceID
}

// failing is a peer whose last fetch failed.
type failing struct {
	until time.Time
	count int
}

// FetchPlan decides which peer to fetch documents from. A peer is eligible if it
// announced a revision that is lacking here, or shows another catalog hash that
// has been around for longer than the grace time.
type FetchPlan struct {
	cfg        FetchConfig
	own        uint64
	announcers []model.InstanceID
	hashes     map[uint64]*otherHash
	failing    map[model.InstanceID]*failing
	// inFlight maps a peer to the hash that the fetch is for, 0 for an
	// announcement.
	inFlight map[model.InstanceID]uint64
	next     time.Time
}

// NewFetchPlan returns a plan for an empty catalog.
func NewFetchPlan(cfg FetchConfig) *FetchPlan {
	cfg.setDefaults()
	return &FetchPlan{
		cfg:      cfg,
		hashes:   make(map[uint64]*otherHash),
		failing:  make(map[model.InstanceID]*failing),
		inFlight: make(map[model.InstanceID]uint64),
	}
}

// SetHash states the local catalog hash. The caller sets it after adopting
// documents. Announcements that were not served are dropped: most were of the
// adopted documents, and others repeat or show in the hash.
func (p *FetchPlan) SetHash(now time.Time, own uint64) {
	if own == p.own {
		return
	}
	p.own = own
	p.announcers = nil
	delete(p.hashes, own)
	for _, h := range p.hashes {
		h.fruitless = 0
		h.wait(now, p.cfg.HashGrace)
	}
}

// wait makes the hash count only if it is seen after d.
func (h *otherHash) wait(now time.Time, d time.Duration) {
	h.due = now.Add(d)
	h.sources = nil
}

// Observe records what a datagram of a peer shows: its catalog hash, and
// whether it announces a revision that is lacking here.
func (p *FetchPlan) Observe(now time.Time, peer model.InstanceID, hash uint64, lacks bool) {
	if lacks {
		p.announcers = addSource(p.announcers, peer, p.cfg.Rand)
	} else if hash == p.own {
		p.announcers = removeSource(p.announcers, peer)
	}
	for other, h := range p.hashes {
		if other != hash {
			h.sources = removeSource(h.sources, peer)
		}
	}
	if hash == p.own {
		return
	}
	h := p.hashes[hash]
	if h == nil {
		h = p.addHash(now, hash)
	}
	h.seen = now
	if now.After(h.due) {
		h.sources = addSource(h.sources, peer, p.cfg.Rand)
	}
}

func (p *FetchPlan) addHash(now time.Time, hash uint64) *otherHash {
	if len(p.hashes) >= maxHashes {
		p.dropHashes(now)
	}
	h := &otherHash{due: now.Add(p.cfg.HashGrace)}
	p.hashes[hash] = h
	return h
}

// dropHashes removes hashes that are not seen any more, or else the one that
// was seen least recently.
func (p *FetchPlan) dropHashes(now time.Time) {
	var oldest uint64
	for hash, h := range p.hashes {
		if now.Sub(h.seen) > hashLifetime {
			delete(p.hashes, hash)
			continue
		}
		o := p.hashes[oldest]
		if o == nil || h.seen.Before(o.seen) || h.seen.Equal(o.seen) && hash < oldest {
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

// Next returns the peer to fetch from now, if any. Peers that announced a
// lacking revision come first; the choice among several is random.
func (p *FetchPlan) Next(now time.Time) (model.InstanceID, bool) {
	if len(p.inFlight) >= p.cfg.MaxFetches || now.Before(p.next) {
		return "", false
	}
	peer, hash := p.choose(now)
	if peer == "" {
		return "", false
	}
	p.inFlight[peer] = hash
	p.next = now.Add(p.cfg.FetchInterval)
	return peer, true
}

func (p *FetchPlan) choose(now time.Time) (model.InstanceID, uint64) {
	if peer := p.pick(now, p.announcers); peer != "" {
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
		if peer := p.pick(now, p.hashes[hash].sources); peer != "" {
			return peer, hash
		}
	}
	return "", 0
}

// pick returns a random usable peer, or "".
func (p *FetchPlan) pick(now time.Time, peers []model.InstanceID) model.InstanceID {
	var choice model.InstanceID
	count := 0
	for _, peer := range peers {
		if _, busy := p.inFlight[peer]; busy || now.Before(p.usableAt(peer)) {
			continue
		}
		count++
		if p.cfg.Rand.IntN(count) == 0 {
			choice = peer
		}
	}
	return choice
}

func (p *FetchPlan) usableAt(peer model.InstanceID) time.Time {
	if f := p.failing[peer]; f != nil {
		return f.until
	}
	return time.Time{}
}

// NextWake returns when Next is due, or the zero time if nothing is planned.
// Observe, SetHash and Finished may change it.
func (p *FetchPlan) NextWake() time.Time {
	var wake time.Time
	if len(p.inFlight) >= p.cfg.MaxFetches {
		return wake
	}
	wake = p.earliest(wake, p.announcers)
	for _, h := range p.hashes {
		wake = p.earliest(wake, h.sources)
	}
	return wake
}

func (p *FetchPlan) earliest(wake time.Time, peers []model.InstanceID) time.Time {
	for _, peer := range peers {
		if _, busy := p.inFlight[peer]; busy {
			continue
		}
		at := p.usableAt(peer)
		if at.Before(p.next) {
			at = p.next
		}
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	return wake
}

// Finished ends a fetch. Gained is true if it brought a document that was
// adopted; the caller then calls SetHash first.
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
		// The peer announces a document that is refused here.
		p.peerFailed(now, peer)
		return
	}
	if h := p.hashes[hash]; h != nil {
		h.wait(now, backoff(p.cfg, h.fruitless))
		h.fruitless++
	}
}

func (p *FetchPlan) peerFailed(now time.Time, peer model.InstanceID) {
	f := p.failing[peer]
	if f == nil {
		if len(p.failing) >= maxFailing {
			clear(p.failing)
		}
		f = &failing{}
		p.failing[peer] = f
	}
	f.until = now.Add(backoff(p.cfg, f.count))
	f.count++
}

func backoff(c FetchConfig, count int) time.Duration {
	return min(c.FetchBackoff<<min(count, 16), c.MaxFetchBackoff)
}

// Forget removes a peer that is no member any more. A fetch in flight still
// ends with Finished.
func (p *FetchPlan) Forget(peer model.InstanceID) {
	delete(p.failing, peer)
	p.announcers = removeSource(p.announcers, peer)
	for _, h := range p.hashes {
		h.sources = removeSource(h.sources, peer)
	}
}
