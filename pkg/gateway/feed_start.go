package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// A starting instance gets its first copy of the published keys from another instance
// if any has one. It does not yet know which instance reads the platform.

const (
	// joinWait is how long a restarted instance asks other instances for a copy before
	// it asks the platform; it is short because callers wait for it. When the whole
	// system starts for the first time, there is no traffic yet, and seedJoinWait
	// applies to a seed, which all other instances ask first, and firstJoinWait to any
	// other instance.
	joinWait      = 30 * time.Millisecond
	seedJoinWait  = 50 * time.Millisecond
	firstJoinWait = 2 * time.Second
	// firstSettleTime and joinSettleTime are how long after its start an instance does
	// not know all others yet, so that its rank in the order of readers is unreliable:
	// firstSettleTime when the whole system starts, joinSettleTime when the instance
	// starts while others run. In the second case the others treat the new instance as
	// the reader at once if it comes first in the order.
	firstSettleTime = 2500 * time.Millisecond
	joinSettleTime  = 500 * time.Millisecond
	// firstJoinHold is how long a source may hold a call for a first copy when the
	// whole system starts, and firstJoinTimeout bounds the whole call. Both are long
	// because small machines take long to open connections to each other; there is no
	// traffic yet.
	firstJoinHold    = time.Second
	firstJoinTimeout = 1500 * time.Millisecond
	// unsettledRank is the rank of an instance that does not know the others yet. It is
	// so great that the instance reads the platform only if no other instance seems to.
	unsettledRank = 1000
)

// peerCopyWait returns how long this instance asks other instances for a copy at its
// start before it reads the platform.
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

// seedIndex returns the index of this instance among the seeds, or -1.
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
	// The timeout is short because a machine without power does not answer at all, and
	// all of them may have lost it.
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

// joinedRunningFleet reports whether the instance started while others were running.
func (l *feedLoop) joinedRunningFleet() bool { return l.firstCopyFromPeer && !l.g.cfg.FirstStart }

// settleTime returns for how long after its start the instance uses the rank and
// sources of settlingSources.
func (l *feedLoop) settleTime() time.Duration {
	if l.joinedRunningFleet() {
		return joinSettleTime
	}
	return firstSettleTime
}

// settlingSources returns the rank in the order of readers and the sources of an
// instance that has just started. If others were running, it follows the sources and
// seeds and does not read the platform. When the whole system starts, the seeds read
// the platform in the order of the list, because all instances know them, and the
// others follow the seeds.
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

// appendSeeds appends the seeds that are not among the sources. They may be running
// although this instance knows no member yet.
func (g *Gateway) appendSeeds(sources []model.InstanceID) []model.InstanceID {
	for _, s := range g.seeds() {
		if s.ID != g.cfg.ID && !slices.Contains(sources, s.ID) {
			sources = append(sources, s.ID)
		}
	}
	return sources
}
