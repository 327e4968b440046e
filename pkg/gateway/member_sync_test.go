package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestMembersAreCompared guards against an instance that knows only the seeds, and that
// no other instance knows, because the membership updates about its start were lost. On
// scalai-cerca-grown, 16 of 80 instances remained in this state for the whole day: each
// of them read the platform itself, used the share of the retry allowance of a small
// fleet, and had no instance to delegate queries to.
func TestMembersAreCompared(t *testing.T) {
	const instances, seeds = 20, 3
	startAndCountMembers := func(ff *fakeFleet, memberSyncFails bool) (fewestKnown int) {
		ff.configure(1, route("/x/", "s", true))
		// Datagrams of this size hold a ping or its ack, but no updates about other
		// members.
		ff.maxDatagramBytes, ff.memberSyncFails = 130, memberSyncFails
		var gateways []*Gateway
		for i := range instances {
			gateways = append(gateways, ff.startAs(i, seeds, true))
		}
		time.Sleep(20 * time.Second)
		fewestKnown = instances
		for _, g := range gateways {
			fewestKnown = min(fewestKnown, len(g.aliveMembers()))
		}
		return fewestKnown
	}
	simulate(t, func(t *testing.T, ff *fakeFleet) { must.Less(t, instances, startAndCountMembers(ff, true)) })
	simulate(t, func(t *testing.T, ff *fakeFleet) { must.Eq(t, instances, startAndCountMembers(ff, false)) })
}
