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
	// storeWatchWait is how long the platform holds a watch that has no changes to
	// return. A reader whose connection was lost silently notices it after this time,
	// well within the time in which a configuration must be in force.
	storeWatchWait = time.Second
	// takeoverWatchWait replaces storeWatchWait in the first call of an instance that
	// becomes the reader: until that call is answered, the copies of the other
	// instances grow older.
	takeoverWatchWait = 50 * time.Millisecond
	// storeAnswerTimeout is the time allowed for the answer to a watch beyond the wait.
	storeAnswerTimeout = 700 * time.Millisecond
	// storeListTimeout bounds a call that reads the whole content.
	storeListTimeout = 3 * time.Second
	// peerPollWait is how long a peer holds a call for changes that has none to return.
	peerPollWait = 500 * time.Millisecond
	// peerAnswerTimeout is the time allowed for the answer of a peer beyond the wait.
	peerAnswerTimeout = 400 * time.Millisecond
	// maxPeerCopyAge is the age of the reader's copy beyond which the next source is
	// asked: the wait of a watch and 500 ms for its answer. Each further step in the
	// feed tree adds peerPollWait.
	maxPeerCopyAge = storeWatchWait + 500*time.Millisecond
	// firstSourceRetryDelay is how long other sources are asked after the first one has
	// failed, before the first one is tried again.
	firstSourceRetryDelay = 3 * time.Second
	// takeoverAge and takeoverStep give the age of its copy at which an instance reads
	// the platform itself. The first instance in the order of readers always reads it.
	// Each further instance waits takeoverStep longer than the one before, so that only
	// the next instance replaces a reader that fails.
	takeoverAge  = 1700 * time.Millisecond
	takeoverStep = 300 * time.Millisecond
	// maxTakeoverAge is the age of its copy at which any instance reads the platform
	// itself.
	maxTakeoverAge = 4 * time.Second
	// outageAge is the age of the copy from which on entries may have lapsed because
	// the platform was unavailable: an entry lasts for three report intervals of 1.2 s,
	// so that its upstream must have missed two reports.
	outageAge = 2400 * time.Millisecond
	// sourceRetryPause is the wait after a source has failed or if there is none to
	// ask.
	sourceRetryPause = 10 * time.Millisecond
	// batchPause is the wait after changes were read, so that a series of changes takes
	// few calls. It is a small part of the time in which a configuration must be in
	// force.
	batchPause = 150 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the wait after a failed call of the
	// platform. The wait doubles with each failure.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
	// lapseWindow is the time after an outage during which removed entries may have
	// lapsed because of the outage.
	lapseWindow = 2500 * time.Millisecond
)

// feedLoop is the state of the loop that keeps the copy of the platform's keys up to
// date. It either reads the platform or gets the changes from another instance.
type feedLoop struct {
	g *Gateway
	// failures counts consecutive failed calls of the platform.
	failures   int
	nextReadAt time.Time
	// storeFailing is true from a failed call of the platform until the next successful
	// one.
	storeFailing bool
	failingSince time.Time
	// sourceIndex selects the source to ask next. It returns to the first source at
	// firstSourceAt, because the copies of sources later in the list are older.
	sourceIndex   int
	firstSourceAt time.Time
	// firstCopyCalls counts the calls of other instances for a first copy.
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

// takeoverAgeOf returns the age of the copy at which the instance with the given rank
// reads the platform.
func takeoverAgeOf(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return min(takeoverAge+time.Duration(rank-1)*takeoverStep, maxTakeoverAge)
}

// copyAge reports whether there is a copy, and returns the time since it was confirmed.
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

// readStore makes one call of the platform and applies the changes it returns.
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
		// The old copy shows that no instance could read the platform for a while, even
		// if this one made no failing call itself.
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

// listOrWatch reads the whole content if there is no copy or the platform no longer has
// the changes since it; otherwise it waits for changes.
func (l *feedLoop) listOrWatch(ctx context.Context, after uint64, wait time.Duration) (feed.Delta, error) {
	g := l.g
	if after > 0 {
		watchCtx, cancel := context.WithTimeout(ctx, wait+storeAnswerTimeout)
		defer cancel()
		d, err := g.ports.Store.Watch(watchCtx, after, wait)
		if !errors.Is(err, port.ErrHistoryGone) {
			return d, err
		}
		g.info(event.HistoryGone, event.Fields{"revision": after}, "the platform no longer has the changes since this revision; reading the whole content")
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
		l.g.warn(event.PlatformFailed, event.Fields{"error": err.Error()}, "the platform cannot be read; the last known keys stay in force")
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

// endOutage records that the platform answers again: entries that are removed from now
// on may have lapsed because of the outage.
func (g *Gateway) endOutage(now time.Time) {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	p.outageEnd = now
}

// markLapsed marks the removals in d as lapsed entries if they may come from an outage
// of the platform.
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

// pollPeer gets the changes from one of the sources. If the call fails or the copy is
// too old, the next source is asked next time.
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

// fetchFrom gets the changes from another instance, applies them, and returns the age
// of its copy.
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

// skipSource makes the next source the one to ask, until firstSourceRetryDelay has
// passed since the first source was skipped.
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
