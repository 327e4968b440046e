package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/delegation"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/placement"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// feedFanout is the largest number of instances that poll the same instance for the
// platform's changes. The instances form a tree below the reader of the platform, so
// that the load of the reader does not grow with the fleet: answering a poll takes about
// a fifth of a millisecond of processor time, and each instance polls twice a second.
const feedFanout = 8

// setListedInstances gives the failure detector the addresses of instances to ping.
func (g *Gateway) setListedInstances(listed []port.ListedInstance) {
	g.fleet.Lock()
	defer g.fleet.Unlock()
	g.fleet.membership.SetListed(g.ports.Clock.Now(), listed)
}

func (g *Gateway) listedSeeds() []port.ListedInstance {
	seeds := g.settings().Seeds
	listed := make([]port.ListedInstance, 0, len(seeds))
	for _, s := range seeds {
		listed = append(listed, port.ListedInstance{ID: s.ID, ControlAddress: s.ControlAddress})
	}
	return listed
}

// runMembership runs the failure detector.
func (g *Gateway) runMembership(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := g.ports.Clock.Now()
		g.fleet.Lock()
		sends := g.fleet.membership.Tick(now)
		wake := g.fleet.membership.NextWake()
		g.fleet.Unlock()
		g.sendDatagrams(sends)
		g.handleMemberChanges()
		timer.Reset(max(wake.Sub(now), time.Millisecond))
	}
}

func (g *Gateway) sendDatagrams(sends []membership.Send) {
	for _, s := range sends {
		g.ports.Metrics.ControlMessage(metrics.Sent, len(s.Datagram))
		g.ports.Control.Send(s.Address, s.Datagram)
	}
}

// HandleDatagram implements port.ControlHandler.
func (g *Gateway) HandleDatagram(from string, datagram []byte) {
	now := g.ports.Clock.Now()
	g.ports.Metrics.ControlMessage(metrics.Received, len(datagram))
	g.fleet.Lock()
	received, err := g.fleet.membership.Receive(now, from, datagram)
	g.fleet.Unlock()
	if err != nil {
		g.warn(event.MessageInvalid, event.Fields{"from": from, "error": err.Error()}, "an invalid control datagram was dropped")
		return
	}
	g.sendDatagrams(received.Sends)
	g.mergeQuarantines(now, received.Quarantines)
	g.handleMemberChanges()
}

// handleMemberChanges logs changes of the membership, and updates the values that depend
// on it: the greatest fleet size and capacity, the delegates, and the reader role.
func (g *Gateway) handleMemberChanges() {
	g.fleet.Lock()
	events := g.fleet.membership.TakeEvents()
	version := g.fleet.membership.Version()
	changed := version != g.fleet.handledVersion
	g.fleet.handledVersion = version
	wasReader := g.fleet.isReader
	var members []membership.Member
	if changed {
		members = g.fleet.membership.Members()
		g.fleet.known.update(g.ports.Clock.Now(), members)
		g.fleet.maxMembers = max(g.fleet.maxMembers, len(members))
		g.fleet.maxTotalCores = max(g.fleet.maxTotalCores, totalCapacity(members))
		runners, isRunner := queryRunners(members, g.cfg.ID)
		g.fleet.maxQueryRunners, g.fleet.isQueryRunner = max(g.fleet.maxQueryRunners, runners), isRunner
		readers := placement.FeedReaders(members, 1)
		g.fleet.isReader = len(readers) == 0 || readers[0] == g.cfg.ID
	}
	isReader := g.fleet.isReader
	g.fleet.Unlock()
	if changed {
		g.updateDelegates(members)
		g.updateFailingReaders(members)
	}
	for _, e := range events {
		g.logMemberEvent(e)
	}
	if isReader != wasReader {
		g.logReaderRole(isReader)
	}
}

// updateFailingReaders records which other instances fail to read the platform.
func (g *Gateway) updateFailingReaders(members []membership.Member) {
	var failing []model.InstanceID
	for i := range members {
		if m := &members[i]; m.PlatformUnreachable && m.State == membership.Alive && m.ID != g.cfg.ID {
			failing = append(failing, m.ID)
		}
	}
	p := &g.published
	p.Lock()
	defer p.Unlock()
	p.outages.SetFailing(g.ports.Clock.Now(), failing)
}

// queryRunners returns the number of live members that run their own queries over
// shards, because no other one is enough larger, and whether this instance is one.
func queryRunners(members []membership.Member, self model.InstanceID) (n int, isRunner bool) {
	largest := 0.0
	for i := range members {
		if members[i].State == membership.Alive {
			largest = max(largest, members[i].Cores())
		}
	}
	for i := range members {
		m := &members[i]
		if m.State != membership.Alive || delegation.Delegates(m.Cores(), largest) {
			continue
		}
		n++
		isRunner = isRunner || m.ID == self
	}
	return n, isRunner
}

// totalCapacity returns the total capacity of the members that are not dead, in cores.
func totalCapacity(members []membership.Member) float64 {
	total := 0.0
	for i := range members {
		if members[i].State != membership.Dead {
			total += members[i].Cores()
		}
	}
	return total
}

func (g *Gateway) logReaderRole(isReader bool) {
	if isReader {
		g.info(event.ReaderRoleGained, nil, "this instance now reads the platform for the other instances")
		return
	}
	g.info(event.ReaderRoleLost, nil, "this instance now gets the platform's changes from other instances")
}

func (g *Gateway) logMemberEvent(e membership.Event) {
	id, state := event.MemberJoined, metrics.MemberAlive
	switch e.Kind {
	case membership.EventSuspect:
		id, state = event.MemberSuspect, metrics.MemberSuspect
	case membership.EventDead:
		id, state = event.MemberDead, metrics.MemberDead
	case membership.EventLeaving:
		id, state = event.MemberLeaving, metrics.MemberLeaving
	}
	g.ports.Metrics.MembershipChanged(state)
	g.info(id, event.Fields{"member": e.Member.ID, "member_data_centre": e.Member.DataCentre, "member_boot": uint64(e.Member.Boot)}, "member "+e.Kind.String())
}

// feedSources returns this instance's rank in the order of readers of the platform, and
// the instances to poll for changes, the preferred one first. These are the ancestors
// in the feed tree, from the parent up to the reader, and then the instances that
// follow the reader in the order.
func (g *Gateway) feedSources() (rank int, sources []model.InstanceID) {
	g.fleet.Lock()
	defer g.fleet.Unlock()
	members := g.fleet.membership.Members()
	order := placement.FeedReaders(members, len(members))
	if rank = slices.Index(order, g.cfg.ID); rank < 0 {
		rank = len(order)
	}
	for i := rank; i > 0; {
		i = (i - 1) / feedFanout
		sources = append(sources, order[i])
	}
	for _, id := range order {
		if id != g.cfg.ID && !slices.Contains(sources, id) && len(sources) < maxFeedSources {
			sources = append(sources, id)
		}
	}
	return rank, sources
}

// feedDepth returns the number of steps in the feed tree from the instance with the
// given rank to the reader.
func feedDepth(rank int) int {
	depth := 0
	for ; rank > 0; rank = (rank - 1) / feedFanout {
		depth++
	}
	return depth
}

// maxFeedSources bounds the number of instances that feedSources returns. Ancestors in
// the feed tree are returned even if there are more of them.
const maxFeedSources = 6

func (g *Gateway) setPlatformUnreachable(unreachable bool) {
	g.fleet.Lock()
	defer g.fleet.Unlock()
	g.fleet.membership.SetPlatformUnreachable(g.ports.Clock.Now(), unreachable)
}

var _ port.ControlHandler = (*Gateway)(nil)
