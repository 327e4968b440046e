package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// A starting instance gets its first copy of the published keys from another instance
// if any has one. It does not yet know which instance reads the platform.

const (
	// restartCopyWait is how long a restarted instance asks other instances for a copy
	// before it reads the platform. It is short because callers wait meanwhile. When the
	// whole system starts for the first time, there is no traffic yet. A seed then waits
	// for seedCopyWait, because all other instances ask the seeds first, and any other
	// instance for firstStartCopyWait.
	restartCopyWait    = 30 * time.Millisecond
	seedCopyWait       = 50 * time.Millisecond
	firstStartCopyWait = 2 * time.Second
	// firstListTimeout bounds the first read of the platform by a restarted instance with
	// less than patientCapacity cores. If hundreds of instances restart at once, they
	// share the platform's link, and all of them would get the whole content only after a
	// second. The small ones therefore give way: the larger ones and the seeds then have
	// their copies soon, and the copies that they send are compressed. An instance
	// that gave way reads the platform again after a random time between
	// firstListTimeout and twice as long.
	firstListTimeout = 200 * time.Millisecond
	patientCapacity  = 0.4
	// restartPollTimeout bounds each call for a first copy after that, and restartPollWait
	// is how long the called instance may wait for its own copy.
	restartPollTimeout = 200 * time.Millisecond
	restartPollWait    = 100 * time.Millisecond
	// firstStartSettleTime and joinSettleTime are how long an instance does not rely on
	// its rank in the order of readers after its start, because it does not know all
	// other instances yet: firstStartSettleTime when the whole system starts,
	// joinSettleTime when the instance starts while others run. The second time is
	// short because the others treat the new instance as the reader at once if it comes
	// first in the order.
	firstStartSettleTime = 2500 * time.Millisecond
	joinSettleTime       = 500 * time.Millisecond
	// When the whole system starts for the first time, firstStartPollWait is how long a
	// source that has no copy yet may wait for one before it answers an instance that is
	// not a seed, and firstStartPollTimeout bounds the whole call. Both are long because
	// small machines take long to open connections to each other; no caller waits,
	// because there is no traffic yet.
	firstStartPollWait    = time.Second
	firstStartPollTimeout = 1500 * time.Millisecond
	// unsettledRank is the rank of an instance that does not know the others yet. It is
	// so high that the instance reads the platform only at maxTakeoverAge, when no other
	// instance seems to read it.
	unsettledRank = 1000
)

// peerCopyWait returns how long this instance, after its start, asks other instances for
// a copy before it reads the platform.
func (g *Gateway) peerCopyWait() time.Duration {
	switch {
	case !g.cfg.FirstStart:
		return restartCopyWait
	case g.seedIndex() >= 0:
		return seedCopyWait
	default:
		return firstStartCopyWait
	}
}

// seedIndex returns the index of this instance among the seeds, or -1.
func (g *Gateway) seedIndex() int {
	return slices.IndexFunc(g.settings().Seeds, func(s Seed) bool { return s.ID == g.cfg.ID })
}

// fetchFirstCopy asks the sources and the seeds in turn for a first copy.
func (l *feedLoop) fetchFirstCopy(ctx context.Context, sources []model.InstanceID) {
	if l.gaveWay {
		sources = l.g.patientMembers()
	}
	sources = l.g.appendSeeds(sources)
	if len(sources) == 0 {
		sleep(ctx, sourceRetryPause)
		return
	}
	l.firstCopyCalls++
	l.firstCopyFromPeer = true
	// The timeout is short because a machine that lost power does not answer at all, and
	// all sources may have lost power.
	timeout, wait := restartCopyWait, sourceRetryPause
	switch {
	case l.g.cfg.FirstStart && l.g.seedIndex() < 0:
		timeout, wait = firstStartPollTimeout, firstStartPollWait
	case l.gaveWay:
		timeout, wait = restartPollTimeout, restartPollWait
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if _, err := l.fetchFrom(callCtx, sources[l.firstCopyCalls%len(sources)], wait); err != nil {
		sleep(ctx, sourceRetryPause)
	}
}

// patientMembers returns the live members that do not give way when they start, in
// random order.
func (g *Gateway) patientMembers() []model.InstanceID {
	g.fleet.Lock()
	members := g.fleet.membership.Members()
	g.fleet.Unlock()
	var ids []model.InstanceID
	for i := range members {
		if m := &members[i]; m.State == membership.Alive && m.ID != g.cfg.ID && m.Cores() >= patientCapacity {
			ids = append(ids, m.ID)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// givesWay reports whether the first read of the platform by this instance is bounded
// by firstListTimeout.
func (l *feedLoop) givesWay() bool {
	g := l.g
	return !l.gaveWay && !g.cfg.FirstStart && g.settings().Capacity > 0 && g.settings().Capacity < patientCapacity && g.seedIndex() < 0
}

// giveWay ends a first read of the platform that took longer than firstListTimeout: the
// instance asks others for a copy, and reads the platform again later.
func (l *feedLoop) giveWay(now time.Time) {
	l.gaveWay = true
	l.nextReadAt = now.Add(firstListTimeout + rand.N(firstListTimeout))
	l.g.info(event.FirstReadSlow, event.Fields{"timeout_ms": firstListTimeout.Milliseconds()}, "the platform answers slowly, maybe because many instances start; asking other instances for a copy")
}

// joinedRunningFleet reports whether the instance is assumed to have started while
// others were running: this is not the first start, and the instance has asked others
// for its first copy and has not read that copy from the platform.
func (l *feedLoop) joinedRunningFleet() bool { return l.firstCopyFromPeer && !l.g.cfg.FirstStart }

// settleTime returns how long the instance uses the rank and the sources from
// settlingSources after its start.
func (l *feedLoop) settleTime() time.Duration {
	if l.joinedRunningFleet() {
		return joinSettleTime
	}
	return firstStartSettleTime
}

// settlingSources returns the rank in the order of readers, and the sources to poll, of
// this instance just after its start. An instance that joined a running fleet has
// unsettledRank and polls the given sources and the seeds. Any other instance assumes
// that the whole system is starting, when the seeds are all that instances know, and
// polls only the seeds. The rank of a seed is then its index in the list of seeds, and
// other instances have unsettledRank. If there are no seeds, the instance polls the given
// sources.
func (l *feedLoop) settlingSources(sources []model.InstanceID) (int, []model.InstanceID) {
	seeds := l.g.appendSeeds(nil)
	switch i := l.g.seedIndex(); {
	case l.joinedRunningFleet():
		return unsettledRank, l.g.appendSeeds(sources)
	case i >= 0:
		return i, seeds
	case len(seeds) > 0:
		// The hash makes the instances start with different seeds.
		n := int(xxhash.Sum64String(string(l.g.cfg.ID)) % uint64(len(seeds)))
		return unsettledRank, append(seeds[n:], seeds[:n]...)
	default:
		return unsettledRank, sources
	}
}

// appendSeeds appends the seeds that are not among the sources, without this instance
// itself. They may be running although this instance knows no other member yet.
func (g *Gateway) appendSeeds(sources []model.InstanceID) []model.InstanceID {
	for _, s := range g.settings().Seeds {
		if s.ID != g.cfg.ID && !slices.Contains(sources, s.ID) {
			sources = append(sources, s.ID)
		}
	}
	return sources
}
