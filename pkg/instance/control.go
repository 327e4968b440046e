package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// maintenanceInterval is the time between two calls of maintenanceTick.
const maintenanceInterval = time.Second

// controlTick runs the failure detector of the member list, sends its datagrams
// and schedules the next call.
func (i *Instance) controlTick() {
	now := i.now()
	i.detectPause(now)
	i.control.mu.Lock()
	sends := i.control.membership.Tick(now)
	wake := i.control.membership.NextWake()
	i.control.mu.Unlock()
	i.sendDatagrams(sends)
	i.membershipChanged(now)
	i.updatePhase(now)
	i.schedule("control", max(wake.Sub(now), time.Millisecond), i.controlTick)
}

func (i *Instance) sendDatagrams(sends []membership.Send) {
	for _, s := range sends {
		i.ports.Metrics.ControlMessage(metrics.Sent, len(s.Datagram))
		i.ports.Control.Send(s.Address, s.Datagram)
	}
}

// HandleDatagram implements port.ControlHandler.
func (i *Instance) HandleDatagram(from string, datagram []byte) {
	now := i.now()
	i.detectPause(now)
	i.ports.Metrics.ControlMessage(metrics.Received, len(datagram))
	i.control.mu.Lock()
	received, err := i.control.membership.Receive(now, from, datagram)
	i.control.mu.Unlock()
	if err != nil {
		i.logWarn(event.MessageInvalid, event.Fields{"from": from, "error": err.Error()}, "a control datagram is invalid and was dropped")
		return
	}
	i.sendDatagrams(received.Sends)
	i.mergeQuarantines(now, received.Quarantines)
	i.comparePeerCatalog(now, received)
	i.membershipChanged(now)
}

// membershipChanged reports new membership events. If the member list changed
// since the last call, it also cancels calls to members that may no longer act as a
// home, updates the reader role and schedules a call of warmHomes, because this
// instance may have become the home of further groups.
func (i *Instance) membershipChanged(now time.Time) {
	i.control.mu.Lock()
	events := i.control.membership.TakeEvents()
	version := i.control.membership.Version()
	changed := version != i.control.handledVersion
	i.control.handledVersion = version
	var candidates, members []membership.Member
	if changed {
		candidates = i.control.membership.Candidates(now)
		members = i.control.membership.Members()
	}
	i.control.mu.Unlock()
	for _, e := range events {
		i.reportMemberEvent(e)
		if e.Kind == membership.EventDead {
			i.reads.forgetPeer(e.Member.ID)
		}
	}
	if !changed {
		return
	}
	candidateIDs := make(map[model.InstanceID]bool, len(candidates))
	for _, m := range candidates {
		candidateIDs[m.ID] = true
	}
	i.peerCalls.cancelExcept(candidateIDs)
	i.updateReaderRole(now, members)
	i.scheduleWarmUp()
}

func (i *Instance) reportMemberEvent(e membership.Event) {
	state, id := memberEvent(e.Kind)
	i.ports.Metrics.MembershipChanged(state)
	i.logInfo(id, event.Fields{"member": e.Member.ID, "member_data_centre": e.Member.DataCentre, "member_boot": uint64(e.Member.Boot), "change": e.Kind.String()}, "member "+e.Kind.String())
}

func memberEvent(k membership.EventKind) (metrics.MemberState, event.ID) {
	switch k {
	case membership.EventSuspect:
		return metrics.MemberSuspect, event.MemberSuspect
	case membership.EventDead:
		return metrics.MemberDead, event.MemberDead
	case membership.EventLeaving:
		return metrics.MemberLeaving, event.MemberLeaving
	default:
		return metrics.MemberAlive, event.MemberJoined
	}
}

// quarantineRequest puts a request that crashed upstreams into quarantine and
// announces it to the other instances.
func (i *Instance) quarantineRequest(now time.Time, a scheduler.QuarantineAdd) {
	entry := quarantine.Entry{Fingerprint: a.Fingerprint, Service: a.Service, Until: a.Until}
	i.quarantine.mu.Lock()
	added := i.quarantine.set.Add(now, entry)
	i.quarantine.mu.Unlock()
	if !added {
		return
	}
	i.ports.Metrics.RequestQuarantined()
	i.logWarn(event.RequestQuarantined, event.Fields{"service": a.Service, "fingerprint": uint64(a.Fingerprint), "until": a.Until}, "a request crashed upstreams twice and is refused until the quarantine ends")
	i.control.mu.Lock()
	defer i.control.mu.Unlock()
	i.control.membership.AnnounceQuarantine(membership.Quarantine{Fingerprint: a.Fingerprint, Service: a.Service, Until: a.Until})
}

// mergeQuarantines puts requests into quarantine that a peer has announced.
func (i *Instance) mergeQuarantines(now time.Time, announced []membership.Quarantine) {
	if len(announced) == 0 {
		return
	}
	entries := make([]quarantine.Entry, 0, len(announced))
	for _, q := range announced {
		entries = append(entries, quarantine.Entry{Fingerprint: q.Fingerprint, Service: q.Service, Until: q.Until})
	}
	i.quarantine.mu.Lock()
	added := i.quarantine.set.Merge(now, entries)
	i.quarantine.mu.Unlock()
	for _, e := range added {
		i.logWarn(event.RequestQuarantined, event.Fields{"service": e.Service, "fingerprint": uint64(e.Fingerprint), "until": e.Until}, "a peer announced a request that crashes upstreams; it is refused here too")
	}
}

// maintenanceTick drops expired tickets, hints and claims and the state of idle
// groups, updates the gauges of the metrics and schedules the next call.
func (i *Instance) maintenanceTick() {
	now := i.now()
	i.detectPause(now)
	i.orders.expire(now)
	i.hints.expire(now)
	i.claims.expire(now)
	i.dropIdleGroups(now)
	i.setGauges()
	i.schedule("maintenance", maintenanceInterval, i.maintenanceTick)
}

func (i *Instance) setGauges() {
	m := i.ports.Metrics
	ready, _ := i.Ready()
	m.SetReady(ready)
	m.SetRequests(int(i.activeQueries.Load()))
	m.SetTickets(i.orders.tickets())
	i.catalog.mu.RLock()
	m.SetDocuments(len(i.catalog.catalog.Services()))
	i.catalog.mu.RUnlock()
	i.control.mu.Lock()
	members := len(i.control.membership.Members())
	i.control.mu.Unlock()
	m.SetMembers(metrics.MemberAlive, members)
	if i.ports.OpenConnections != nil {
		m.SetOpenConnections(i.ports.OpenConnections())
	}
	for _, g := range i.homes.all() {
		g.setGauges()
	}
}

func (g *homeGroup) setGauges() {
	g.mu.Lock()
	status := g.sched.Status(g.instance.now())
	inFlight := len(g.running)
	g.mu.Unlock()
	g.instance.ports.Metrics.SetInFlight(g.key, inFlight)
	for _, p := range status.Priorities {
		g.instance.ports.Metrics.SetQueued(g.key, p.Name, p.QueuedRequests)
	}
}

var _ port.ControlHandler = (*Instance)(nil)
