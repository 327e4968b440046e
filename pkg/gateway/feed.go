package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

const (
	// storeWatchWait is the time for which the platform holds a watch. A reader that
	// is cut off silently is noticed after it, well within the time in which a
	// configuration must be in force.
	storeWatchWait = time.Second
	// takeoverWatchWait takes its place in the first call of an instance that becomes
	// the reader: the copies of the others grow old until it is answered.
	takeoverWatchWait = 50 * time.Millisecond
	// storeAnswerTimeout is added to storeWait for the answer.
	storeAnswerTimeout = 700 * time.Millisecond
	// storeListTimeout bounds reading the whole content.
	storeListTimeout = 3 * time.Second
	// peerPollWait is the time for which a peer holds a call for changes.
	peerPollWait = 500 * time.Millisecond
	// peerAnswerTimeout is added to peerWait for the answer.
	peerAnswerTimeout = 400 * time.Millisecond
	// maxPeerCopyAge is the age of the reader's copy beyond which another instance is
	// asked: a watch's wait and its answer. Each step in the tree adds a poll's.
	maxPeerCopyAge = storeWatchWait + 500*time.Millisecond
	// firstSourceRetryDelay is how long another source than the first is asked after a
	// failure.
	firstSourceRetryDelay = 3 * time.Second
	// takeoverAge and takeoverStep give the age of the own copy at which an
	// instance reads the platform itself: the first in the order of readers does
	// so always, the others the later the further behind they are, so that a
	// reader that fails is replaced by the next one only.
	takeoverAge  = 1700 * time.Millisecond
	takeoverStep = 300 * time.Millisecond
	// maxTakeoverAge is the age at which any instance asks the platform itself.
	maxTakeoverAge = 4 * time.Second
	// outageAge is the age of the copy from which on entries may have lapsed because
	// the platform was away: an entry lives for three report intervals of 1.2 s, and
	// its upstream must have missed two.
	outageAge = 2400 * time.Millisecond
	// sourceRetryPause is the wait between two attempts while there is no copy.
	sourceRetryPause = 10 * time.Millisecond
	// batchPause is the wait after changes arrived, so that a series of them costs
	// few calls. It is a small part of the time in which a configuration must be
	// in force.
	batchPause = 150 * time.Millisecond
	// minStoreBackoff and maxStorePause bound the wait after a failed call of the
	// platform; it doubles with each failure.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
	// lapseWindow is the time after an outage in which removals may be lapses.
	lapseWindow = 2500 * time.Millisecond
)

// feedLoop is the state of the loop that keeps the copy up to date.
type feedLoop struct {
	g *Gateway
	// failures counts failed calls of the platform in a row.
	failures   int
	nextReadAt time.Time
	// storeFailing is true from a failed call of the platform to the next answer.
	storeFailing bool
	failingSince time.Time
	// sourceIndex is the source that is asked sourceIndex, and returnAt when it is the first one
	// again: a copy from further down the order is older.
	sourceIndex   int
	firstSourceAt time.Time
	// firstCopyCalls counts the calls for a first copy.
	firstCopyCalls int
	// firstCopyFromPeer is true if the first copy came from another instance.
	firstCopyFromPeer bool
}

// runFeed keeps the copy of the published keys up to date.
func (g *Gateway) runFeed(ctx context.Context) {
	l := &feedLoop{g: g}
	started, joinWait := g.ports.Clock.Now(), g.peerCopyWait()
	for ctx.Err() == nil {
		now := g.ports.Clock.Now()
		rank, sources := g.feedSources()
		known, age := g.copyAge(now)
		if now.Sub(started) < l.settleTime() {
			rank, sources = l.settlingSources(sources)
		}
		due := age >= takeoverAgeOf(rank)
		if !known {
			due = now.Sub(started) >= joinWait
		}
		switch {
		case (due || known && len(sources) == 0) && !now.Before(l.nextReadAt):
			l.readStore(ctx)
		case !known:
			l.fetchFirstCopy(ctx, sources)
		case len(sources) > 0:
			l.pollPeer(ctx, rank, sources)
		default:
			sleep(ctx, sourceRetryPause)
		}
	}
}

// takeoverAgeOf returns the age of the copy at which the instance of a rank reads the
// platform.
func takeoverAgeOf(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return min(takeoverAge+time.Duration(rank-1)*takeoverStep, maxTakeoverAge)
}

func (g *Gateway) copyAge(now time.Time) (known bool, age time.Duration) {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	return p.replica.Revision() > 0, now.Sub(p.confirmedAt)
}

func (g *Gateway) revision() uint64 {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	return p.replica.Revision()
}

// readStore makes one call of the platform.
func (l *feedLoop) readStore(ctx context.Context) {
	g := l.g
	known, age := g.copyAge(g.ports.Clock.Now())
	wait := storeWatchWait
	if age > storeWatchWait/2 {
		wait = takeoverWatchWait
	}
	d, err := l.listOrWatch(ctx, g.revision(), wait)
	now := g.ports.Clock.Now()
	if ctx.Err() != nil {
		return
	}
	g.ports.Metrics.PlatformRead(err == nil)
	if err != nil {
		l.recordReadFailure(now, err)
		return
	}
	if known && age > outageAge {
		// Nobody could read the platform for a while, whoever noticed it.
		g.endOutage(now)
	}
	l.recordReadSuccess(now)
	if !known {
		l.firstCopyFromPeer = false
	}
	g.applyDelta(now, l.markLapsed(now, d), now, "platform")
	if len(d.Changes) > 0 {
		sleep(ctx, batchPause)
	}
}

// listOrWatch lists the content if there is no copy or its history is gone, and
// otherwise waits for changes.
func (l *feedLoop) listOrWatch(ctx context.Context, after uint64, wait time.Duration) (feed.Delta, error) {
	g := l.g
	if after > 0 {
		watchCtx, cancel := context.WithTimeout(ctx, wait+storeAnswerTimeout)
		defer cancel()
		d, err := g.ports.Store.Watch(watchCtx, after, wait)
		if !errors.Is(err, port.ErrHistoryGone) {
			return d, err
		}
		g.info(event.HistoryGone, event.Fields{"revision": after}, "the platform's history is gone; reading the whole content")
	}
	listCtx, cancel := context.WithTimeout(ctx, storeListTimeout)
	defer cancel()
	return g.ports.Store.List(listCtx)
}

func (l *feedLoop) recordReadFailure(now time.Time, err error) {
	l.failures++
	backoff := min(minStoreBackoff<<min(l.failures-1, 8), maxStoreBackoff)
	l.nextReadAt = now.Add(backoff/2 + rand.N(backoff))
	if !l.storeFailing {
		l.storeFailing, l.failingSince = true, now
		l.g.warn(event.PlatformFailed, event.Fields{"error": err.Error()}, "the platform cannot be read; the keys in force stay")
	}
	l.g.setPlatformUnreachable(true)
}

func (l *feedLoop) recordReadSuccess(now time.Time) {
	if !l.storeFailing {
		return
	}
	l.g.info(event.PlatformRestored, event.Fields{"outage_ms": now.Sub(l.failingSince).Milliseconds(), "failures": l.failures}, "the platform can be read again")
	l.failures, l.storeFailing, l.nextReadAt = 0, false, time.Time{}
	l.g.setPlatformUnreachable(false)
	l.g.endOutage(now)
}

// endOutage records that the platform answers again: removals that are learned
// now may be lapses.
func (g *Gateway) endOutage(now time.Time) {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	p.outageEnd = now
}

// markLapsed marks the removals that may come from an outage of the platform.
func (l *feedLoop) markLapsed(now time.Time, d feed.Delta) feed.Delta {
	p := &l.g.published
	p.Lock()
	recent := !p.outageEnd.IsZero() && now.Sub(p.outageEnd) < lapseWindow
	p.Unlock()
	if !recent {
		return d
	}
	d.Lapsed = true
	for i := range d.Changes {
		d.Changes[i].Lapsed = d.Changes[i].Deleted
	}
	return d
}

// pollPeer gets the changes from a peer. The sources are asked in turn until one
// has a recent copy.
func (l *feedLoop) pollPeer(ctx context.Context, rank int, sources []model.InstanceID) {
	if !l.g.ports.Clock.Now().Before(l.firstSourceAt) {
		l.sourceIndex = 0
	}
	age, err := l.fetchFrom(ctx, sources[l.sourceIndex%len(sources)], peerPollWait)
	if err != nil {
		sleep(ctx, sourceRetryPause)
	}
	if err != nil || age > maxPeerCopyAge+time.Duration(feedDepth(rank)-1)*peerPollWait {
		l.skipSource(l.g.ports.Clock.Now())
	}
}

// fetchFrom applies the changes that an instance has and returns the age of its copy.
func (l *feedLoop) fetchFrom(ctx context.Context, from model.InstanceID, wait time.Duration) (time.Duration, error) {
	g := l.g
	callCtx, cancel := context.WithTimeout(ctx, wait+peerAnswerTimeout)
	defer cancel()
	d, age, err := g.ports.FeedPeers.FetchChanges(callCtx, from, g.revision(), wait)
	if err != nil {
		return 0, err
	}
	now := g.ports.Clock.Now()
	g.applyDelta(now, d, now.Add(-age), string(from))
	return age, nil
}

// skipSource asks the next source for a while.
func (l *feedLoop) skipSource(now time.Time) {
	if l.sourceIndex == 0 {
		l.firstSourceAt = now.Add(firstSourceRetryDelay)
	}
	l.sourceIndex++
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
