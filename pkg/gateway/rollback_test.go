package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/feed"
)

const (
	// entryTTL is how long the store keeps the entry of an upstream that no longer reports.
	entryTTL = 3 * reportInterval
	// rollbackTime is the time after the return of the store in which all instances have
	// learned of it, the platform has confirmed after the grace that entries are missing, and
	// these have expired.
	rollbackTime = propagationTime + directory.LapseGrace + maxPeerCopyAge + maintenanceInterval
)

// eras returns the era of the copy of each gateway.
func eras(gateways []*Gateway) []uint64 {
	var out []uint64
	for _, g := range gateways {
		out = append(out, g.Status().(Status).Era)
	}
	return out
}

// repeated returns n times the value.
func repeated(n int, value uint64) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = value
	}
	return out
}

// write publishes an entry of the service "s".
func (ff *fakeFleet) write(id string, sequence int64, state directory.State) {
	ff.addUpstream(directory.Upstream{ID: id, Service: "s", Started: 1, Sequence: sequence, State: state})
}

// TestRollback guards against instances that, when the store returns from a backup, drop
// upstreams that run, use upstreams that have left, return to an earlier configuration, or
// stay in the old era. During the outage the store turns away all instances; after it, also
// the reader for a while in some cases, which then learns of the new era from its sources.
func TestRollback(t *testing.T) {
	for _, outage := range []time.Duration{0, time.Second, 4 * time.Second} {
		for _, readerAway := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, reader away %v", outage, readerAway), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) { checkRollback(t, ff, outage, readerAway) })
			})
		}
	}
}

func checkRollback(t *testing.T, ff *fakeFleet, outage time.Duration, readerAway bool) {
	const n = 9
	ff.configure(1, route("/x/", "s", true))
	for _, id := range []string{"runs", "left", "still listed", "drains"} {
		ff.write(id, 10, directory.Ready)
	}
	gateways := startInstances(ff, n)
	time.Sleep(5 * time.Second)
	backup := ff.storeRevision()
	// The store loses what follows.
	ff.configure(2, route("/x/", "s", true))
	ff.write("new", 1, directory.Ready)
	ff.write("new, crashes", 1, directory.Ready)
	ff.publish(feed.Change{Key: "evacuate/requested again"})
	ff.publish(feed.Change{Key: "evacuate/not requested again"})
	ff.unlist("left")
	ff.unlist("still listed")
	ff.write("drains", 11, directory.Draining)
	time.Sleep(propagationTime)
	must.Eq(t, repeated(n, 0), eras(gateways))

	ff.turnAway(gateways, n, false)
	time.Sleep(outage / 2)
	ff.rollBack(backup)
	time.Sleep(outage / 2)
	if readerAway {
		ff.turnAway(gateways, 1, false)
		time.AfterFunc(10*time.Second, func() { ff.refuseStoreCalls() })
	} else {
		ff.refuseStoreCalls()
	}
	returned := time.Now()
	time.AfterFunc(1500*time.Millisecond, func() {
		ff.write("runs", 14, directory.Ready)
		ff.write("new", 5, directory.Ready)
		ff.publish(feed.Change{Key: "evacuate/requested again"})
		ff.write("drains", 15, directory.Draining)
	})
	time.AfterFunc(1800*time.Millisecond, func() { ff.configure(2, route("/x/", "s", true)) })
	// An upstream that has left does not report, so its entry expires.
	time.AfterFunc(entryTTL, func() { ff.unlist("left") })
	starting := ff.start(n, n)
	var learnedAt, acceptedAt time.Duration
	for since := time.Duration(0); since < 15*time.Second; since = time.Since(returned) {
		for _, g := range gateways {
			must.True(t, g.uses("runs"), must.Sprint(since))
			must.True(t, g.uses("new"), must.Sprint(since))
			must.False(t, g.uses("left"), must.Sprint(since))
			must.False(t, g.uses("drains"), must.Sprint(since))
			must.True(t, since < rollbackTime || !g.uses("new, crashes"), must.Sprint(since))
			must.True(t, g.isEvacuated("requested again"), must.Sprint(since))
			must.True(t, since < rollbackTime || !g.isEvacuated("not requested again"), must.Sprint(since))
			if g.uses("still listed") && acceptedAt == 0 {
				acceptedAt = since
			}
		}
		must.Eq(t, repeated(n, 2), configVersions(gateways), must.Sprint(since))
		if reached := eras(gateways); learnedAt == 0 && fmt.Sprint(reached) == fmt.Sprint(repeated(n, 1)) {
			learnedAt = since
		}
		time.Sleep(20 * time.Millisecond)
	}
	must.Between(t, 1, learnedAt, propagationTime)
	must.Between(t, directory.ReturnDelay, acceptedAt, directory.ReturnDelay+propagationTime)
	all := append(gateways, starting)
	must.Eq(t, repeated(n+1, 1), eras(all))
	must.Eq(t, repeated(n+1, 2), configVersions(all))
	for _, g := range all {
		must.Eq(t, ff.storeRevision(), g.position().Revision)
		must.True(t, g.uses("runs") && g.uses("new") && g.uses("still listed"))
		must.False(t, g.uses("left") || g.uses("drains") || g.uses("new, crashes"))
	}
}

// TestOtherEras guards against changes of one era that are applied to a copy of another
// one, and against peers in an earlier era that do not get all keys at once.
func TestOtherEras(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		ff.write("u", 1, directory.Ready)
		backup := ff.storeRevision()
		ff.write("u", 2, directory.Ready)
		g := ff.start(0, 1)
		time.Sleep(propagationTime)
		earlier := g.position()
		ff.rollBack(backup)
		ff.write("v", 1, directory.Ready)
		time.Sleep(propagationTime)
		present := g.position()
		must.Eq(t, feed.Position{Era: earlier.Era + 1, Revision: earlier.Revision}, present)

		// The peer is in an earlier era, at the same or a later revision.
		for _, after := range []feed.Position{earlier, {Era: earlier.Era, Revision: earlier.Revision + 100}} {
			start := time.Now()
			d, _, ok := g.HandleFetchChanges(t.Context(), after, time.Second)
			must.True(t, ok)
			must.True(t, d.Full)
			must.Eq(t, present, d.Position)
			must.SliceLen(t, 3, d.Changes)
			must.Eq(t, 0, time.Since(start))
		}
		// The peer is in a later era, or knows no eras and has all changes: it gets no
		// changes, and not before there is one. Without the wait it would call again and
		// again.
		for _, after := range []feed.Position{{Era: present.Era + 1, Revision: 1}, {Era: feed.UnknownEra, Revision: present.Revision}} {
			start := time.Now()
			d, _, ok := g.HandleFetchChanges(t.Context(), after, time.Second)
			must.True(t, ok)
			must.Eq(t, feed.Delta{Position: present}, d)
			must.Eq(t, time.Second, time.Since(start))
		}
		// Changes of an earlier or a later era that are not full do not follow on the copy.
		// They do not confirm it either.
		time.Sleep(propagationTime)
		g.Stop()
		confirmedAt := g.published.confirmedAt
		for _, at := range []feed.Position{{Era: present.Era - 1, Revision: 1000}, {Era: present.Era + 1, Revision: 1000}} {
			g.applyDelta(time.Now(), feed.Delta{Position: at, Changes: []feed.Change{{Key: "upstream/u", Revision: 1000, Deleted: true}}}, time.Now(), "test")
			must.Eq(t, present, g.position())
			must.Eq(t, confirmedAt, g.published.confirmedAt)
		}
		must.True(t, g.uses("u") && g.uses("v"))
	})
}

// TestOldVersionsBesideNew guards against a rollout during which instances whose version
// does not know eras, and instances that do, keep each other from the platform's changes,
// or call each other without pause. The store returns from a backup before the rollout or
// during it.
func TestOldVersionsBesideNew(t *testing.T) {
	for _, during := range []bool{false, true} {
		for oldParity := range 2 {
			t.Run(fmt.Sprintf("during %v, parity %d", during, oldParity), func(t *testing.T) {
				simulate(t, func(t *testing.T, ff *fakeFleet) {
					const n = 20
					for i := range n {
						ff.oldVersion[instanceAddress(i)] = i%2 == oldParity
					}
					ff.configure(1, route("/x/", "s", true))
					for i := range 10 {
						ff.write(fmt.Sprint("u", i), 1, directory.Ready)
					}
					if !during {
						ff.rollBack(ff.storeRevision())
					}
					gateways := startInstances(ff, n)
					time.Sleep(5 * time.Second)
					if during {
						backup := ff.storeRevision()
						ff.write("u0", 2, directory.Ready)
						ff.write("lost", 1, directory.Ready)
						time.Sleep(propagationTime)
						ff.rollBack(backup)
						time.Sleep(propagationTime)
					}
					ff.resetCounts()
					for round := range 10 {
						for i := range 10 {
							ff.write(fmt.Sprint("u", i), int64(3+round), directory.Ready)
						}
						time.Sleep(reportInterval)
					}
					ff.configure(2, route("/x/", "s", true))
					ff.unlist("u9")
					time.Sleep(propagationTime + 2*time.Second)
					must.Eq(t, repeated(n, 2), configVersions(gateways))
					inEra := 0
					for i, g := range gateways {
						must.True(t, g.uses("u0"), must.Sprint(i))
						must.False(t, g.uses("u9"), must.Sprint(i))
						must.Eq(t, ff.storeRevision(), g.position().Revision)
						// An old version that reads the platform itself does not learn which
						// keys were lost, and neither does an instance that has only sources of
						// old versions.
						if g.position().Era == 1 {
							must.False(t, g.uses("lost"), must.Sprint(i))
							inEra++
						}
					}
					must.Positive(t, inEra)
					// Each instance polls at most ten times a second, for 17 s.
					ff.withLock(func() {
						polls := 0
						for _, p := range ff.pollsReceived {
							polls += p
						}
						must.Less(t, n*10*17, polls)
					})
				})
			})
		}
	}
}

// TestSourceOfOldVersion guards against calls without pause to a source whose version does
// not know eras and whose revision is higher, because the store has returned from a backup
// since: each call is answered at once, with changes of the earlier era.
func TestSourceOfOldVersion(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.configure(1, route("/x/", "s", true))
		backup := ff.storeRevision()
		for i := range 10 {
			ff.write("u", int64(i), directory.Ready)
		}
		gateways := startInstances(ff, 2)
		time.Sleep(5 * time.Second)
		order := readingOrder(gateways)
		ff.withLock(func() { ff.oldVersion[string(order[0].cfg.ID)] = true })
		ff.rollBack(backup)
		ff.resetCounts()
		time.Sleep(10 * time.Second)
		must.Eq(t, feed.Position{Era: 1, Revision: backup}, order[1].position())
		must.Eq(t, 0, order[0].position().Era)
		ff.withLock(func() { must.Between(t, 10, ff.pollsReceived[string(order[0].cfg.ID)], 100) })
	})
}

// TestStoreInEarlierEra guards against calls without pause, and against a copy that goes
// back, if the store answers in an earlier era than before.
func TestStoreInEarlierEra(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		ff.era = 5
		ff.configure(1, route("/x/", "s", true))
		ff.write("u", 1, directory.Ready)
		g := ff.start(0, 1)
		time.Sleep(propagationTime)
		present := g.position()
		ff.withLock(func() { ff.era = 4 })
		ff.unlist("u")
		ff.resetCounts()
		time.Sleep(10 * time.Second)
		must.Eq(t, present, g.position())
		must.True(t, g.uses("u"))
		calls, _ := ff.storeCallsByInstance()
		must.Between(t, 4, calls, 60)
		ff.withLock(func() { ff.era = 6 })
		time.Sleep(2 * propagationTime)
		must.Eq(t, 6, g.position().Era)
		must.False(t, g.uses("u"))
	})
}

// TestEntryOfBackupExpires guards against dropping an upstream that runs because the store
// has returned with its old entry, which expires before the upstream's next report. The store
// is not seen to be away.
func TestEntryOfBackupExpires(t *testing.T) {
	simulate(t, func(t *testing.T, ff *fakeFleet) {
		const n = 9
		ff.configure(1, route("/x/", "s", true))
		ff.write("runs", 10, directory.Ready)
		gateways := startInstances(ff, n)
		backup := ff.storeRevision()
		ff.write("runs", 13, directory.Ready)
		time.Sleep(5 * time.Second)
		ff.rollBack(backup)
		returned := time.Now()
		time.AfterFunc(600*time.Millisecond, func() { ff.unlist("runs") })
		time.AfterFunc(reportInterval, func() { ff.write("runs", 14, directory.Ready) })
		for since := time.Duration(0); since < 5*time.Second; since = time.Since(returned) {
			for _, g := range gateways {
				must.True(t, g.uses("runs"), must.Sprint(since))
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}
