package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// A control datagram has limited space for membership updates, and each update is sent
// a limited number of times. When a whole fleet starts, some updates are therefore lost:
// in a fleet of 80 machines, 16 knew only the seeds for a whole day. To recover, each
// instance compares its members with those of another instance from time to time.
const (
	// firstCompareDelay is the average delay before the first comparison. The delay
	// doubles with each comparison, up to maxCompareDelay.
	firstCompareDelay = time.Second
	maxCompareDelay   = 30 * time.Second
	// compareTimeout bounds the call that fetches the members.
	compareTimeout = time.Second
)

// runMemberSync compares the members with those of other instances until ctx ends.
func (g *Gateway) runMemberSync(ctx context.Context) {
	for wait := firstCompareDelay; ctx.Err() == nil; wait = min(2*wait, maxCompareDelay) {
		sleep(ctx, wait/2+rand.N(wait))
		if from, ok := g.pickMemberToCompare(); ok {
			g.compareMembers(ctx, from)
		}
	}
}

// pickMemberToCompare returns a seed or the first source of the feed. While this
// instance knows few members, these instances are likely to know more members than a
// randomly chosen one.
func (g *Gateway) pickMemberToCompare() (model.InstanceID, bool) {
	_, sources := g.feedSources()
	sources = g.appendSeeds(sources[:min(1, len(sources))])
	if len(sources) == 0 {
		return "", false
	}
	return sources[rand.N(len(sources))], true
}

// compareMembers fetches the members that the instance from considers alive, and gives
// the failure detector their addresses to ping.
func (g *Gateway) compareMembers(ctx context.Context, from model.InstanceID) {
	callCtx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	alive := g.aliveMembers()
	ids, err := g.ports.FeedPeers.FetchMembers(callCtx, from, digestOf(alive))
	if err != nil || len(ids) == 0 {
		// The lists are equal, or the call failed. A failure needs no handling here: the
		// failure detector reports members that are gone.
		return
	}
	g.fleet.Lock()
	g.fleet.known.addReported(g.ports.Clock.Now(), ids)
	g.fleet.Unlock()
	known := make(map[model.InstanceID]bool)
	for _, id := range alive {
		known[id] = true
	}
	listed, unknown := g.listedSeeds(), 0
	for _, id := range ids {
		if !known[id] {
			unknown++
		}
		listed = append(listed, port.ListedInstance{ID: id, ControlAddress: string(id)})
	}
	g.setListedInstances(listed)
	if unknown > 0 {
		g.info(event.MembersCompared, event.Fields{"from": from, "unknown": unknown, "known": len(known)}, "another instance knows members that this one does not")
	}
}

// HandleFetchMembers implements port.FeedHandler.
func (g *Gateway) HandleFetchMembers(digest uint64) []model.InstanceID {
	alive := g.aliveMembers()
	if digestOf(alive) == digest {
		return nil
	}
	return alive
}

// aliveMembers returns the instances that this one considers alive, itself included.
func (g *Gateway) aliveMembers() []model.InstanceID {
	g.fleet.Lock()
	members := g.fleet.membership.Members()
	g.fleet.Unlock()
	var out []model.InstanceID
	for i := range members {
		if members[i].State == membership.Alive {
			out = append(out, members[i].ID)
		}
	}
	return out
}

// digestOf returns a digest of the instance ids that does not depend on their order.
func digestOf(ids []model.InstanceID) uint64 {
	var digest uint64
	for _, id := range ids {
		digest ^= xxhash.Sum64String(string(id))
	}
	return digest
}
