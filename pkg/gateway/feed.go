package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

const (
	// storeWatchWait is how long the platform waits for a change before it answers a
	// watch with an empty result. If the connection of the reader was lost without notice,
	// the reader detects the loss by the missing answer, well within the time in which a
	// configuration must be in force.
	storeWatchWait = time.Second
	// takeoverWatchWait replaces storeWatchWait in a watch of an instance whose copy was
	// not confirmed recently, such as the first watch of a new reader: until the platform
	// answers, the copies of the other instances are not confirmed either.
	takeoverWatchWait = 50 * time.Millisecond
	// storeAnswerTimeout is added to the wait of a watch to get the timeout of the call.
	storeAnswerTimeout = 700 * time.Millisecond
	// storeListTimeout bounds a call that reads all keys.
	storeListTimeout = 3 * time.Second
	// peerPollWait is how long a peer waits for a change before it answers a poll with
	// an empty result.
	peerPollWait = 500 * time.Millisecond
	// peerAnswerTimeout is added to the wait of a poll to get the timeout of the call.
	peerAnswerTimeout = 400 * time.Millisecond
	// maxPeerCopyAge is the age of the reader's copy above which an instance polls the
	// next source instead: the wait of a watch, and 500 ms for its answer. Each further
	// step in the feed tree adds peerPollWait.
	maxPeerCopyAge = storeWatchWait + 500*time.Millisecond
	// firstSourceRetryDelay is how long an instance polls other sources after the first
	// source has failed, before it polls the first source again.
	firstSourceRetryDelay = 3 * time.Second
	// takeoverAge and takeoverStep determine how old an instance's copy must be before
	// the instance reads the platform itself. The first instance in the order of readers
	// always reads the platform, and the second one once its copy is as old as
	// takeoverAge. For each further instance this age is longer by takeoverStep.
	// Therefore only the next instance in the order replaces a reader that fails.
	takeoverAge  = 1700 * time.Millisecond
	takeoverStep = 300 * time.Millisecond
	// maxTakeoverAge bounds that age: an instance with an older copy reads the platform
	// itself, whatever its place in the order.
	maxTakeoverAge = 4 * time.Second
	// sourceUpdateTimeout bounds the calls that ask all sources whether they have read the
	// platform. They delay the changes that were just read.
	sourceUpdateTimeout = 150 * time.Millisecond
	// sourceRetryPause is the wait after a source has failed, or if there is no source.
	sourceRetryPause = 10 * time.Millisecond
	// earlierEraPause replaces sourceRetryPause after a source has answered from a copy of
	// an earlier era. A source whose version does not know eras may answer at once, with
	// changes that are of no use.
	earlierEraPause = 150 * time.Millisecond
	// batchPause is the wait after a watch has returned changes. Changes that follow each
	// other quickly are then returned together, so that they cost few calls. It is a
	// small part of the time in which a configuration must be in force.
	batchPause = 150 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the wait after a failed call of the
	// platform. The wait doubles with each failure.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
	// lapseWindow is the time after an outage during which removed entries may have
	// lapsed because of the outage.
	lapseWindow = 2500 * time.Millisecond
)

// errEarlierEra means that the platform or a source answered with keys of an earlier era
// than those of the copy.
var errEarlierEra = errors.New("the keys are of an earlier era of the platform than the copy")

// feedLoop is the state of the loop that keeps the copy of the platform's keys up to
// date. It either reads the platform or gets the changes from another instance.
type feedLoop struct {
	g *Gateway
	// readStore uses the fields up to storeFailingSince, and pollPeer sourceIndex and
	// firstSourceRetryAt, so that the two may run at the same time.

	// failures counts consecutive failed calls of the platform.
	failures   int
	nextReadAt time.Time
	// storeFailing is true from a failed call of the platform until the next successful
	// one.
	storeFailing      bool
	storeFailingSince time.Time
	// sourceIndex selects the source to poll next. It returns to the first source at
	// firstSourceRetryAt, because sources later in the list have older copies.
	sourceIndex        int
	firstSourceRetryAt time.Time
	// firstCopyCalls counts the calls that this instance made to others for a first
	// copy.
	firstCopyCalls int
	// firstCopyFromPeer becomes true when this instance first asks another one for a
	// first copy, and false again if it then reads its first copy from the platform.
	firstCopyFromPeer bool
	// gaveWay becomes true when a first read of the platform ends at firstListTimeout.
	gaveWay bool
}

// runFeed keeps the copy of the published keys up to date.
func (g *Gateway) runFeed(ctx context.Context) {
	l := &feedLoop{g: g}
	started, copyWait := g.ports.Clock.Now(), g.peerCopyWait()
	for ctx.Err() == nil {
		now := g.ports.Clock.Now()
		rank, sources := g.feedSources()
		hasCopy, age := g.copyAge(now)
		if now.Sub(started) < l.settleTime() {
			rank, sources = l.settlingSources(sources)
		}
		readDue := age >= takeoverAgeOf(rank)
		if !hasCopy {
			readDue = now.Sub(started) >= copyWait
		}
		switch {
		case (readDue || hasCopy && len(sources) == 0) && !now.Before(l.nextReadAt):
			if hasCopy && l.storeFailing && len(sources) > 0 {
				l.readStoreWhilePolling(ctx, rank, sources)
			} else {
				l.readStore(ctx)
			}
		case !hasCopy:
			l.fetchFirstCopy(ctx, sources)
		case len(sources) > 0:
			l.pollPeer(ctx, rank, sources)
		default:
			sleep(ctx, sourceRetryPause)
		}
	}
}

// takeoverAgeOf returns how old the copy of an instance with the given rank must be
// before the instance reads the platform.
func takeoverAgeOf(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return min(takeoverAge+time.Duration(rank-1)*takeoverStep, maxTakeoverAge)
}

// copyAge reports whether this instance has a copy of the published keys, and returns
// the time since the platform confirmed the copy.
func (g *Gateway) copyAge(now time.Time) (hasCopy bool, age time.Duration) {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	return !p.replica.Position().IsZero(), now.Sub(p.confirmedAt)
}

func (g *Gateway) position() feed.Position {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	return p.replica.Position()
}

// readStore makes one call to the platform and applies the changes that it returns.
func (l *feedLoop) readStore(ctx context.Context) {
	g := l.g
	start := g.ports.Clock.Now()
	hasCopy, age := g.copyAge(start)
	wait := storeWatchWait
	if age > storeWatchWait/2 {
		wait = takeoverWatchWait
	}
	readCtx, cancel := ctx, context.CancelFunc(func() {})
	givesWay := !hasCopy && l.givesWay()
	if givesWay {
		readCtx, cancel = context.WithTimeout(ctx, firstListTimeout)
	}
	d, err := l.listOrWatch(readCtx, g.position(), wait)
	cancel()
	now := g.ports.Clock.Now()
	if ctx.Err() != nil {
		return
	}
	if givesWay && errors.Is(readCtx.Err(), context.DeadlineExceeded) && err != nil {
		l.giveWay(now)
		return
	}
	g.ports.Metrics.PlatformRead(err == nil)
	if err != nil {
		l.recordReadFailure(start, now, err)
		return
	}
	if hasCopy && g.mayEndOutage(now) {
		l.updateFromSources(ctx)
	}
	l.recordReadSuccess(now, hasCopy)
	if !hasCopy {
		l.firstCopyFromPeer = false
	}
	g.applyDelta(now, l.markLapsed(now, d), now, "platform")
	if len(d.Changes) > 0 {
		sleep(ctx, batchPause)
	}
}

// readStoreWhilePolling makes one call to the platform and meanwhile polls the sources. The
// last call has failed, so this one may hang until its timeout, while others can read the
// platform.
func (l *feedLoop) readStoreWhilePolling(ctx context.Context, rank int, sources []model.InstanceID) {
	pollCtx, cancel := context.WithCancel(ctx)
	read := make(chan struct{})
	go func() {
		defer close(read)
		defer cancel()
		l.readStore(ctx)
	}()
	for pollCtx.Err() == nil {
		l.pollPeer(pollCtx, rank, sources)
	}
	<-read
}

// listOrWatch waits for changes after a position. It reads all keys instead if the
// position is zero, if the platform no longer has the changes after it, or if the platform
// is in another era. It returns errEarlierEra if the keys are of an earlier era than the
// position.
func (l *feedLoop) listOrWatch(ctx context.Context, after feed.Position, wait time.Duration) (feed.Delta, error) {
	g := l.g
	if !after.IsZero() {
		watchCtx, cancel := context.WithTimeout(ctx, wait+storeAnswerTimeout)
		defer cancel()
		d, err := g.ports.Store.Watch(watchCtx, after, wait)
		switch {
		case errors.Is(err, port.ErrHistoryGone):
			g.info(event.HistoryGone, event.Fields{"era": after.Era, "revision": after.Revision}, "the platform no longer has the changes since this revision; reading the whole content")
		case err != nil || d.Era == after.Era:
			return d, err
		}
	}
	listCtx, cancel := context.WithTimeout(ctx, storeListTimeout)
	defer cancel()
	d, err := g.ports.Store.List(listCtx)
	if err == nil && d.Era < after.Era {
		return feed.Delta{}, errEarlierEra
	}
	return d, err
}

// recordReadFailure records that a call of the platform, which began at start, failed.
func (l *feedLoop) recordReadFailure(start, now time.Time, err error) {
	l.g.callFailed(start)
	l.failures++
	backoff := min(minStoreBackoff<<min(l.failures-1, 8), maxStoreBackoff)
	l.nextReadAt = now.Add(backoff/2 + rand.N(backoff))
	if !l.storeFailing {
		l.storeFailing, l.storeFailingSince = true, now
		l.g.warn(event.PlatformFailed, event.Fields{"error": err.Error()}, "the platform cannot be read; the last known keys stay in force")
	}
	l.g.setPlatformUnreachable(true)
}

// recordReadSuccess records that a call of the platform succeeded. hasCopy is false if the
// call brought the first copy.
func (l *feedLoop) recordReadSuccess(now time.Time, hasCopy bool) {
	l.g.callSucceeded(now, hasCopy)
	if !l.storeFailing {
		return
	}
	l.g.info(event.PlatformRestored, event.Fields{"outage_ms": now.Sub(l.storeFailingSince).Milliseconds(), "failures": l.failures}, "the platform can be read again")
	l.failures, l.storeFailing, l.nextReadAt = 0, false, time.Time{}
	l.g.setPlatformUnreachable(false)
}

// mayEndOutage reports whether a call of the platform that succeeds now ends an outage, as
// far as this instance knows.
func (g *Gateway) mayEndOutage(now time.Time) bool {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	return p.outages.EndsOutage(now, p.confirmedAt)
}

// updateFromSources gets the changes from all sources at once. If the platform turned this
// instance and its last sources away, others may have read it meanwhile.
func (l *feedLoop) updateFromSources(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sourceUpdateTimeout)
	defer cancel()
	_, sources := l.g.feedSources()
	var calls sync.WaitGroup
	for _, id := range sources {
		calls.Go(func() { _, _ = l.fetchFrom(ctx, id, 0) })
	}
	calls.Wait()
}

func (g *Gateway) callFailed(start time.Time) {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	p.outages.CallFailed(start)
}

// callSucceeded finds out whether a call of the platform that has succeeded ends an
// outage. Entries whose removal is read during the lapseWindow that follows may then have
// lapsed because of it.
func (g *Gateway) callSucceeded(now time.Time, hasCopy bool) {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	if !p.outages.CallSucceeded(now, p.confirmedAt) || !hasCopy {
		return
	}
	p.outageEnd = now
	g.info(event.OutageEnded, event.Fields{"age_ms": now.Sub(p.confirmedAt).Milliseconds()}, "no instance could read the platform for a while; entries that were removed meanwhile are kept for a moment")
}

// markLapsed marks the removals in d as lapsed if an outage of the platform may have
// caused them.
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

// pollPeer gets the changes from one of the sources. If the call fails or the copy of
// the source is too old, the next call goes to the next source.
func (l *feedLoop) pollPeer(ctx context.Context, rank int, sources []model.InstanceID) {
	if !l.g.ports.Clock.Now().Before(l.firstSourceRetryAt) {
		l.sourceIndex = 0
	}
	age, err := l.fetchFrom(ctx, sources[l.sourceIndex%len(sources)], peerPollWait)
	if ctx.Err() != nil {
		return
	}
	switch {
	case errors.Is(err, errEarlierEra):
		sleep(ctx, earlierEraPause)
	case err != nil:
		sleep(ctx, sourceRetryPause)
	}
	if err != nil || age > maxPeerCopyAge+time.Duration(feedDepth(rank)-1)*peerPollWait {
		l.skipSource(l.g.ports.Clock.Now())
	}
}

// fetchFrom gets the changes from another instance, applies them, and returns the age
// of its copy. It returns errEarlierEra if that copy is of an earlier era than the copy of
// this instance.
func (l *feedLoop) fetchFrom(ctx context.Context, from model.InstanceID, wait time.Duration) (time.Duration, error) {
	g := l.g
	callCtx, cancel := context.WithTimeout(ctx, wait+peerAnswerTimeout)
	defer cancel()
	after := g.position()
	d, age, err := g.ports.FeedPeers.FetchChanges(callCtx, from, after, wait)
	if err != nil {
		return 0, err
	}
	if d.Era < after.Era {
		return 0, errEarlierEra
	}
	now := g.ports.Clock.Now()
	g.applyDelta(now, d, now.Add(-age), string(from))
	return age, nil
}

// skipSource selects the next source. The first source is selected again once
// firstSourceRetryDelay has passed since it was skipped.
func (l *feedLoop) skipSource(now time.Time) {
	if l.sourceIndex == 0 {
		l.firstSourceRetryAt = now.Add(firstSourceRetryDelay)
	}
	l.sourceIndex++
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
