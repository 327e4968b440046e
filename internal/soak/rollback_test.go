package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// rewriteTime is the time after a rollback within which the operator and the upstreams
// write again what was lost. The platform states about two seconds.
const rewriteTime = 1500 * time.Millisecond

// storeCopy is a copy of the store's content.
type storeCopy struct {
	rev, historyStart uint64
	items             map[string]storeItem
	history           []storeItem
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rev: s.rev, historyStart: s.historyStart, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// restore replaces the content by a copy, begins a new era, and returns the keys whose
// last write was lost. Calls in progress are reset.
func (s *store) restore(c storeCopy) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.historyStart, s.items, s.history = c.rev, c.historyStart, maps.Clone(c.items), slices.Clone(c.history)
	s.era++
	s.notifyWatchers()
	var lost []string
	for key := range s.written {
		if !s.holdsWritten(key) {
			lost = append(lost, key)
		}
	}
	slices.Sort(lost)
	return lost
}

// holdsWritten reports whether the last write of a key is in the store. The caller holds
// the lock.
func (s *store) holdsWritten(key string) bool {
	item, held := s.items[key]
	w := s.written[key]
	return held == !w.Deleted && string(item.Value) == string(w.Value)
}

// writeAgain repeats the last write of a key if it was lost and accept returns true.
func (s *store) writeAgain(key string, accept func(last storeItem) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.written[key]; !s.holdsWritten(key) && accept(last) {
		s.applyLocked(last)
	}
}

// isDown reports whether the store fails for all instances.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modes[""] != storeServes
}

// rollBackStore makes the store return from an older copy, some times until the run ends.
// Right after the copy, upstreams are withdrawn and a route is moved, which the rollback
// undoes until they are written again. Most copies are so old that the instances had to
// heed these writes before the rollback.
func (h *harness) rollBackStore(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 6))
	for gap := time.Duration(0); h.waitUnlessStopped(gap + time.Duration(r.Int64N(int64(3*time.Second)))); gap = rewriteTime + recoveryTime {
		c := h.store.copy()
		for _, f := range slices.Concat(plannedWork, plannedWork) {
			if slices.Contains([]string{"drain", "unlisted", "route moved"}, f.name) {
				h.startFault(f, r, time.Second)
			}
		}
		age := drainGrace + 100*time.Millisecond + time.Duration(r.Int64N(int64(1500*time.Millisecond)))
		if r.IntN(3) == 0 {
			age = time.Second + time.Duration(r.Int64N(int64(2*time.Second)))
		}
		if !h.waitUnlessStopped(age) {
			return
		}
		h.rollBack(c, r)
	}
}

// rollBack takes the store away for up to a second and brings it back with the copy.
func (h *harness) rollBack(c storeCopy, r *rand.Rand) {
	h.countFault("store rolled back")
	outage, mode := 200*time.Millisecond+time.Duration(r.Int64N(int64(800*time.Millisecond))), randomFailureMode(r)
	h.ledger.addFaultInterval(interval{from: time.Now(), to: time.Now().Add(outage + rewriteTime), rollback: true})
	h.store.update(func() { h.store.modes[""] = mode })
	h.waitUnlessStopped(outage)
	lost := h.store.restore(c)
	if r.IntN(2) == 0 {
		// Other writes take the revisions that were lost, so that watches from these do not
		// get 410.
		for range r.IntN(2*len(lost) + 2) {
			h.store.putText("op/other", "{}")
		}
	}
	h.store.update(func() { delete(h.store.modes, "") })
	for _, key := range lost {
		// Late writes are more frequent, because the instances use the old content until then.
		delay := time.Duration(max(r.Float64(), r.Float64()) * float64(rewriteTime*9/10))
		h.running.Go(func() {
			h.waitUnlessStopped(delay)
			h.services.writeAgain(key)
		})
	}
}

// writeAgain repeats the last write of a key. A running upstream reports with a new
// sequence; of the others only the removals are repeated.
func (s *services) writeAgain(key string) {
	id, isEntry := strings.CutPrefix(key, "servers/")
	if isEntry {
		for _, u := range s.runningUpstreams(func(u *upstream) bool { return u.id == id }) {
			if s.reportAgain(u) {
				return
			}
		}
	}
	s.store.writeAgain(key, func(last storeItem) bool { return !isEntry || last.Deleted })
}

// reportAgain writes the entry of an upstream in its present state and reports whether the
// upstream has one.
func (s *services) reportAgain(u *upstream) bool {
	u.entryMu.Lock()
	state := u.state
	u.entryMu.Unlock()
	if state == stateRemoved {
		return false
	}
	s.register(u, state)
	return true
}

// rolledBack reports whether the store was rolled back between two times. The caller holds
// the lock.
func (l *ledger) rolledBack(from, to time.Time) bool {
	return slices.ContainsFunc(l.faultIntervals, func(i interval) bool { return i.rollback && i.from.Before(to) && i.to.After(from) })
}

// inForceAt reports whether all instances had to heed, at the given time, a write that the
// store acknowledged. This needs the bound, and no system fault in the recoveryTime
// before. A rollback excuses only writes within the bound before it, and instances that
// started from recoveryTime before it until everything was written again: the others must
// keep what they knew. The caller holds the lock.
func (l *ledger) inForceAt(acked time.Time, bound time.Duration, when time.Time) bool {
	if !when.After(acked.Add(bound)) {
		return false
	}
	for _, i := range l.faultIntervals {
		if i.upstreamsOnly || i.planned || !i.from.Before(when) || !i.to.After(when.Add(-recoveryTime)) {
			continue
		}
		started := slices.ContainsFunc(l.launches, func(t time.Time) bool { return t.After(i.from.Add(-recoveryTime)) && t.Before(i.to) })
		if !i.rollback || i.from.Before(acked.Add(bound)) || started {
			return false
		}
	}
	return true
}
