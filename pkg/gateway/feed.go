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
	// storeWait is the time for which the platform holds a watch. A reader that
	// is cut off silently is noticed after it, well within the time in which a
	// configuration must be in force.
	storeWait = time.Second
	// takeoverWait takes its place in the first call of an instance that becomes
	// the reader: the copies of the others grow old until it is answered.
	takeoverWait = 50 * time.Millisecond
	// storeTimeout is added to storeWait for the answer.
	storeTimeout = 700 * time.Millisecond
	// listTimeout bounds reading the whole content.
	listTimeout = 3 * time.Second
	// peerWait is the time for which a peer holds a call for changes.
	peerWait = 500 * time.Millisecond
	// peerTimeout is added to peerWait for the answer.
	peerTimeout = 400 * time.Millisecond
	// maxPeerAge is the age of the reader's copy beyond which another instance is
	// asked: a watch's wait and its answer. Each step in the tree adds a poll's.
	maxPeerAge = storeWait + 500*time.Millisecond
	// sourceReturn is how long another source than the first is asked after a
	// failure.
	sourceReturn = 3 * time.Second
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
	// joinPause is the wait between two attempts while there is no copy.
	joinPause = 10 * time.Millisecond
	// batchPause is the wait after changes arrived, so that a series of them costs
	// few calls. It is a small part of the time in which a configuration must be
	// in force.
	batchPause = 150 * time.Millisecond
	// minStorePause and maxStorePause bound the wait after a failed call of the
	// platform; it doubles with each failure.
	minStorePause = 200 * time.Millisecond
	maxStorePause = 2 * time.Second
	// lapseWindow is the time after an outage in which removals may be lapses.
	lapseWindow = 2500 * time.Millisecond
)

// feedLoop is the state of the loop that keeps the copy up to date.
type feedLoop struct {
	g *Gateway
	// failures counts failed calls of the platform in a row.
	failures int
	nextRead time.Time
	// down is true from a failed call of the platform to the next answer.
	down      bool
	downSince time.Time
	// next is the source that is asked next, and returnAt when it is the first one
	// again: a copy from further down the order is older.
	next     int
	returnAt time.Time
	// asked counts the calls for a first copy.
	asked int
	// fromPeer is true if the first copy came from another instance.
	fromPeer bool
}

// runFeed keeps the copy of the published keys up to date.
func (g *Gateway) runFeed(ctx context.Context) {
	l := &feedLoop{g: g}
	started, joinWait := g.ports.Clock.Now(), g.joinWait()
	for ctx.Err() == nil {
		now := g.ports.Clock.Now()
		rank, sources := g.feedSources()
		known, age := g.copyAge(now)
		if now.Sub(started) < l.settleTime() {
			rank, sources = l.settle(sources)
		}
		due := age >= takeover(rank)
		if !known {
			due = now.Sub(started) >= joinWait
		}
		switch {
		case (due || known && len(sources) == 0) && !now.Before(l.nextRead):
			l.read(ctx)
		case !known:
			l.join(ctx, sources)
		case len(sources) > 0:
			l.follow(ctx, rank, sources)
		default:
			pause(ctx, joinPause)
		}
	}
}

// takeover returns the age of the copy at which the instance of a rank reads the
// platform.
func takeover(rank int) time.Duration {
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

// read makes one call of the platform.
func (l *feedLoop) read(ctx context.Context) {
	g := l.g
	known, age := g.copyAge(g.ports.Clock.Now())
	wait := storeWait
	if age > storeWait/2 {
		wait = takeoverWait
	}
	d, err := l.call(ctx, g.revision(), wait)
	now := g.ports.Clock.Now()
	if ctx.Err() != nil {
		return
	}
	g.ports.Metrics.PlatformRead(err == nil)
	if err != nil {
		l.failed(now, err)
		return
	}
	if known && age > outageAge {
		// Nobody could read the platform for a while, whoever noticed it.
		g.endOutage(now)
	}
	l.recovered(now)
	if !known {
		l.fromPeer = false
	}
	g.apply(now, l.markLapsed(now, d), now, "platform")
	if len(d.Changes) > 0 {
		pause(ctx, batchPause)
	}
}

// call lists the content if there is no copy or its history is gone, and
// otherwise waits for changes.
func (l *feedLoop) call(ctx context.Context, after uint64, wait time.Duration) (feed.Delta, error) {
	g := l.g
	if after > 0 {
		watchCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
		defer cancel()
		d, err := g.ports.Store.Watch(watchCtx, after, wait)
		if !errors.Is(err, port.ErrHistoryGone) {
			return d, err
		}
		g.info(event.HistoryGone, event.Fields{"revision": after}, "the platform's history is gone; reading the whole content")
	}
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return g.ports.Store.List(listCtx)
}

func (l *feedLoop) failed(now time.Time, err error) {
	l.failures++
	backoff := min(minStorePause<<min(l.failures-1, 8), maxStorePause)
	l.nextRead = now.Add(backoff/2 + rand.N(backoff))
	if !l.down {
		l.down, l.downSince = true, now
		l.g.warn(event.PlatformFailed, event.Fields{"error": err.Error()}, "the platform cannot be read; the keys in force stay")
	}
	l.g.setPlatformUnreachable(true)
}

func (l *feedLoop) recovered(now time.Time) {
	if !l.down {
		return
	}
	l.g.info(event.PlatformRestored, event.Fields{"outage_ms": now.Sub(l.downSince).Milliseconds(), "failures": l.failures}, "the platform can be read again")
	l.failures, l.down, l.nextRead = 0, false, time.Time{}
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

// follow gets the changes from a peer. The sources are asked in turn until one
// has a recent copy.
func (l *feedLoop) follow(ctx context.Context, rank int, sources []model.InstanceID) {
	if !l.g.ports.Clock.Now().Before(l.returnAt) {
		l.next = 0
	}
	age, err := l.fetch(ctx, sources[l.next%len(sources)], peerWait)
	if err != nil {
		pause(ctx, joinPause)
	}
	if err != nil || age > maxPeerAge+time.Duration(feedDepth(rank)-1)*peerWait {
		l.skip(l.g.ports.Clock.Now())
	}
}

// fetch applies the changes that an instance has and returns the age of its copy.
func (l *feedLoop) fetch(ctx context.Context, from model.InstanceID, wait time.Duration) (time.Duration, error) {
	g := l.g
	callCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	d, age, err := g.ports.FeedPeers.FetchChanges(callCtx, from, g.revision(), wait)
	if err != nil {
		return 0, err
	}
	now := g.ports.Clock.Now()
	g.apply(now, d, now.Add(-age), string(from))
	return age, nil
}

// skip asks the next source for a while.
func (l *feedLoop) skip(now time.Time) {
	if l.next == 0 {
		l.returnAt = now.Add(sourceReturn)
	}
	l.next++
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
