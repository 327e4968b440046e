package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// An instance that starts gets its first copy of the published keys from others,
// if any has one, and does not yet know who reads the platform.

const (
	// joinWait is how long a restarted instance asks the others for a copy before
	// it asks the platform itself: callers wait for it. seedJoinWait and
	// firstJoinWait apply when the whole system starts for the first time and there
	// is no traffic yet, to a seed, which all others ask first, and to any other.
	joinWait      = 30 * time.Millisecond
	seedJoinWait  = 50 * time.Millisecond
	firstJoinWait = 2 * time.Second
	// firstSettleTime and joinSettleTime are how long after its start an instance does
	// not yet know all others, so that its place in the order of readers says little:
	// when the whole system starts, and when it starts alone. The others take one
	// that started alone for the reader at once if it is first in the order.
	firstSettleTime = 2500 * time.Millisecond
	joinSettleTime  = 500 * time.Millisecond
	// firstJoinHold is how long a source holds a call for a first copy when the
	// whole system starts, and firstJoinTimeout bounds the call: small machines
	// take long to open connections to each other, and there is no traffic yet.
	firstJoinHold    = time.Second
	firstJoinTimeout = 1500 * time.Millisecond
	// unsettledRank is the place in the order of readers of an instance that does not
	// know the others yet. It reads the platform only if nobody else seems to.
	unsettledRank = 1000
)

// peerCopyWait returns how long this instance waits for a peer's copy at its start.
func (g *Gateway) peerCopyWait() time.Duration {
	switch {
	case !g.cfg.FirstStart:
		return joinWait
	case g.seedIndex() >= 0:
		return seedJoinWait
	default:
		return firstJoinWait
	}
}

// seedIndex returns the place of this instance among the seeds, or -1.
func (g *Gateway) seedIndex() int {
	return slices.IndexFunc(g.seeds(), func(s Seed) bool { return s.ID == g.cfg.ID })
}

// fetchFirstCopy asks the sources and the seeds in turn for a first copy.
func (l *feedLoop) fetchFirstCopy(ctx context.Context, sources []model.InstanceID) {
	sources = l.g.appendSeeds(sources)
	if len(sources) == 0 {
		sleep(ctx, sourceRetryPause)
		return
	}
	l.firstCopyCalls++
	l.firstCopyFromPeer = true
	// A machine without power does not answer at all, and all may have lost it.
	timeout, wait := joinWait, sourceRetryPause
	if l.g.cfg.FirstStart && l.g.seedIndex() < 0 {
		timeout, wait = firstJoinTimeout, firstJoinHold
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if _, err := l.fetchFrom(callCtx, sources[l.firstCopyCalls%len(sources)], wait); err != nil {
		sleep(ctx, sourceRetryPause)
	}
}

// joinedRunningFleet reports whether the instance started beside others that were running.
func (l *feedLoop) joinedRunningFleet() bool { return l.firstCopyFromPeer && !l.g.cfg.FirstStart }

// settleTime returns how long the instance settles after its start.
func (l *feedLoop) settleTime() time.Duration {
	if l.joinedRunningFleet() {
		return joinSettleTime
	}
	return firstSettleTime
}

// settlingSources returns the place in the order of readers and the sources of an instance
// that has just started. One that starts alone follows those that gave it its
// copy. When the whole system starts, the seeds read, in their order, because all
// instances know them, and the others follow them.
func (l *feedLoop) settlingSources(sources []model.InstanceID) (int, []model.InstanceID) {
	seeds := l.g.appendSeeds(nil)
	switch i := l.g.seedIndex(); {
	case l.joinedRunningFleet():
		return unsettledRank, l.g.appendSeeds(sources)
	case i >= 0:
		return i, seeds
	case len(seeds) > 0:
		// Each follows another seed first.
		n := int(xxhash.Sum64String(string(l.g.cfg.ID)) % uint64(len(seeds)))
		return unsettledRank, append(seeds[n:], seeds[:n]...)
	default:
		return unsettledRank, sources
	}
}

// appendSeeds adds the seeds, which may be running although no member is known yet.
func (g *Gateway) appendSeeds(sources []model.InstanceID) []model.InstanceID {
	for _, s := range g.seeds() {
		if s.ID != g.cfg.ID && !slices.Contains(sources, s.ID) {
			sources = append(sources, s.ID)
		}
	}
	return sources
}
