package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestMembersAreCompared guards against an instance that knows the seeds only, and
// that nobody else knows, because the news of its start were lost. On
// scalai-cerca-grown 16 of 80 instances stayed so for the whole day: each read the
// platform itself, used the retry allowance of a small fleet and had nobody to run
// its queries.
func TestMembersAreCompared(t *testing.T) {
	const instances, seeds = 20, 3
	start := func(w *fakeCluster, silent bool) (fewest int) {
		w.configure(1, route("/x/", "s", true))
		// Pings and their acks pass, and what they carry about others does not.
		w.maxDatagramBytes, w.memberSyncFails = 130, silent
		var gateways []*Gateway
		for i := range instances {
			gateways = append(gateways, w.startAs(i, seeds, true))
		}
		time.Sleep(20 * time.Second)
		fewest = instances
		for _, g := range gateways {
			fewest = min(fewest, len(g.aliveMembers()))
		}
		return fewest
	}
	simulate(t, func(t *testing.T, w *fakeCluster) { must.Less(t, instances, start(w, true)) })
	simulate(t, func(t *testing.T, w *fakeCluster) { must.Eq(t, instances, start(w, false)) })
}
