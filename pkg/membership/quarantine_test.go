package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// quarantineConvergenceTime is the time within which an instance that returns must have
// the quarantine entries of the others: half of the shortest time for which the platform
// excuses it.
const quarantineConvergenceTime = 2 * time.Second

// TestQuarantinesReachReturningInstances guards against an instance that never gets the
// quarantine entries that the others exchanged while it was cut off or not running, and
// against one that gets only those that fit into a datagram.
func TestQuarantinesReachReturningInstances(t *testing.T) {
	for _, instances := range []int{3, 9, 70} {
		for _, entries := range []int{1, 30} {
			t.Run(fmt.Sprintf("%d instances, %d entries", instances, entries), func(t *testing.T) {
				s := newSim(t, 11, instances, 2)
				s.skipStepChecks = true
				s.runUntil(4*time.Second, s.viewsAgree)
				const cut, restarted = 1, 2
				for i := range instances {
					s.cutLinks[[2]int{cut, i}], s.cutLinks[[2]int{i, cut}] = true, true
				}
				for i := range entries {
					s.procs[0].m.AnnounceQuarantine(membership.Quarantine{Fingerprint: model.Fingerprint(1000003 * (i + 1)), Service: "fitting-desk-12", Until: s.now.Add(5 * time.Minute)})
				}
				s.run(20 * time.Second)
				must.Eq(t, entries, s.procs[restarted].receivedQuarantines)
				must.Eq(t, 0, s.procs[cut].receivedQuarantines)
				clear(s.cutLinks)
				s.start(restarted)
				s.runUntil(quarantineConvergenceTime, func() error {
					if s.procs[cut].receivedQuarantines < entries || s.procs[restarted].receivedQuarantines < entries {
						return errUnreachable
					}
					return nil
				})
			})
		}
	}
}

// TestDisprovedQuarantinesReachReturningInstances guards against an instance that goes on
// to count a crash that was disproved while it was cut off: the entry itself is known to
// it.
func TestDisprovedQuarantinesReachReturningInstances(t *testing.T) {
	for _, instances := range []int{3, 9, 70} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			s := newSim(t, 11, instances, 2)
			s.skipStepChecks = true
			s.runUntil(4*time.Second, s.viewsAgree)
			const cut = 1
			var entries []membership.Quarantine
			for i := range 2 {
				entries = append(entries, membership.Quarantine{Fingerprint: model.Fingerprint(1000003 * (i + 1)), Service: "s", Until: s.now.Add(5 * time.Minute), CrashOf: 7})
				s.procs[0].m.AnnounceQuarantine(entries[i])
			}
			s.run(10 * time.Second)
			must.Eq(t, len(entries), s.procs[cut].receivedQuarantines)
			for i := range instances {
				s.cutLinks[[2]int{cut, i}], s.cutLinks[[2]int{i, cut}] = true, true
			}
			for _, e := range entries {
				e.Disproved = true
				s.procs[0].m.AnnounceQuarantine(e)
			}
			s.run(20 * time.Second)
			must.Eq(t, len(entries), s.procs[cut].receivedQuarantines)
			clear(s.cutLinks)
			s.runUntil(quarantineConvergenceTime, func() error {
				if s.procs[cut].receivedQuarantines < 2*len(entries) {
					return errUnreachable
				}
				return nil
			})
			s.run(5 * time.Second)
			must.Eq(t, 2*len(entries), s.procs[cut].receivedQuarantines, must.Sprint("entries that are known already"))
		})
	}
}
