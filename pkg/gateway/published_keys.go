package gateway

import (
	"context"
	"time"

	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/directory"
	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/retrybudget"
	"github.com/sardineturn/sardineturn/pkg/routing"
)

// applyDelta applies changes of the published keys and puts them into force.
// confirmedAt is when the platform confirmed that the copy is current at d.Position.
// source says, in log lines, where the changes come from.
func (g *Gateway) applyDelta(now time.Time, d feed.Delta, confirmedAt time.Time, source string) {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	before := p.replica.Position()
	altered := p.replica.Apply(d)
	after := p.replica.Position()
	if d.Position == after && confirmedAt.After(p.confirmedAt) {
		p.confirmedAt = confirmedAt
		p.directory.Confirmed(confirmedAt)
	}
	first := before.IsZero()
	if after.Era != before.Era && !first {
		g.eraChanged(now, before, after, source)
	}
	for _, c := range altered {
		g.applyChange(now, c, source, first)
	}
	if first && len(altered) > 0 {
		fields := g.changeFields(d.Revision, source)
		fields["upstreams"], fields["age_ms"] = p.directory.Len(), now.Sub(confirmedAt).Milliseconds()
		g.info(event.UpstreamsLoaded, fields, "the first copy of the registry was loaded")
	}
	if len(altered) > 0 {
		g.replaceView(now)
	}
	if after != before {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// eraChanged records that the platform has returned from a backup. The changes of the new
// era are not applied yet. An entry that is still listed may expire before its upstream has
// reported again, so the removals that follow may be lapses, as after an outage. published
// must be locked.
func (g *Gateway) eraChanged(now time.Time, before, after feed.Position, source string) {
	g.published.outageEnd = now
	g.published.directory.EraChanged(now)
	g.ports.Metrics.StoreEraChanged()
	g.warn(event.StoreEraChanged, event.Fields{"era": after.Era, "revision": after.Revision, "previous_era": before.Era, "previous_revision": before.Revision, "source": source}, "the platform has returned from a backup; all its keys were read again")
}

// applyChange applies one change. The upstreams of the first copy are logged together
// and not one by one, because writing several hundred lines delays the start of an
// instance with little processor time. published must be locked.
func (g *Gateway) applyChange(now time.Time, c feed.Change, source string, first bool) {
	p := &g.published
	config, ok, err := g.ports.Decoder.Config(c)
	if ok {
		g.adoptConfig(config, err, c.Revision, source)
		return
	}
	if dc, ok, err := g.ports.Decoder.Evacuation(c); ok {
		g.applyEvacuation(now, c, dc, err, source)
		return
	}
	u, ok, err := g.ports.Decoder.Upstream(c)
	if !ok {
		return
	}
	if u.ColdFor > 0 {
		u.ColdUntil = now.Add(u.ColdFor + min(now.Sub(p.confirmedAt), maxColdCopyAge))
	}
	fields := g.changeFields(c.Revision, source)
	switch {
	case c.Deleted:
		fields["upstream"], fields["lapsed"] = u.ID, c.Lapsed
		g.info(event.UpstreamGone, fields, "an upstream's entry was removed")
		if listed, ok := p.directory.Lookup(u.ID); ok && !c.Lapsed && listed.State == directory.Ready {
			g.upstreamRemoved(now, listed)
		}
		p.directory.Remove(now, u.ID, c.Lapsed)
	case err != nil:
		fields["key"], fields["error"] = c.Key, err.Error()
		g.warn(event.EntryInvalid, fields, "a registry entry is invalid; its upstream is removed")
		p.directory.Remove(now, u.ID, false)
	case first:
		p.directory.Set(u)
	default:
		fields["upstream"], fields["service"], fields["address"], fields["state"], fields["cold_ms"] = u.ID, u.Service, u.Address, int(u.State), u.ColdFor.Milliseconds()
		g.info(event.UpstreamListed, fields, "an upstream's entry changed")
		if !p.directory.Set(u) {
			held := g.changeFields(c.Revision, source)
			held["upstream"], held["sequence"] = u.ID, u.Sequence
			g.info(event.EntryHeld, held, "an upstream's entry may be older than its removal or draining, and is not used")
			return
		}
		g.upstreamListed(now, u)
	}
}

// changeFields returns the fields that log lines about a change have in common. The era is
// left out if the platform states none. published must be locked.
func (g *Gateway) changeFields(revision uint64, source string) event.Fields {
	fields := event.Fields{"revision": revision, "source": source}
	if era := g.published.replica.Position().Era; era > 0 {
		fields["era"] = era
	}
	return fields
}

// adoptConfig stores a configuration for the next view if its version is higher than
// that of the present configuration. err is the error of decoding it. published must be
// locked.
func (g *Gateway) adoptConfig(config routing.Config, err error, revision uint64, source string) {
	p := &g.published
	fields := g.changeFields(revision, source)
	fields["version"] = config.Version
	switch {
	case err != nil:
		fields["error"] = err.Error()
		g.ports.Metrics.DocumentEvaluated(metrics.VerdictInvalid)
		g.warn(event.DocumentInvalid, fields, "the configuration is invalid; the one in force is kept")
	case p.table != nil && config.Version <= p.table.Version:
		fields["in_force"] = p.table.Version
		g.ports.Metrics.DocumentEvaluated(metrics.VerdictOlder)
		g.info(event.DocumentOlder, fields, "the configuration is not newer than the one in force")
	default:
		p.table = routing.NewTable(config)
		fields["routes"], fields["services"] = len(config.Routes), len(config.Services)
		g.ports.Metrics.DocumentEvaluated(metrics.VerdictAdopted)
		g.info(event.DocumentAdopted, fields, "a configuration is in force")
	}
}

// replaceView puts a view of the present configuration and upstreams into force.
// published must be locked.
func (g *Gateway) replaceView(now time.Time) {
	p := &g.published
	if p.table == nil {
		return
	}
	old := g.view.Load()
	v := &view{table: p.table, services: make(map[string]*service)}
	listed, withheld := p.directory.Services(), p.directory.Withheld()
	addresses := make(map[string]bool)
	shards := p.table.ShardServices()
	for name := range p.table.Services {
		v.services[name] = g.serviceFor(now, old, name, shards[name])
	}
	for _, services := range []map[string][]directory.Upstream{listed, withheld} {
		for name := range services {
			if v.services[name] == nil {
				// Upstreams may register before a configuration names their service.
				v.services[name] = g.serviceFor(now, old, name, shards[name])
			}
		}
	}
	for _, upstreams := range listed {
		for _, u := range upstreams {
			addresses[u.Address] = true
		}
	}
	cold := g.newColdLimiter(now, p.table)
	for name, s := range v.services {
		s.mu.Lock()
		s.balancer.Update(now, listed[name], withheld[name]...)
		cold.limit(s)
		s.mu.Unlock()
	}
	cold.report()
	if g.view.Swap(v) == nil {
		close(g.viewAvailable)
		g.info(event.ProcessReady, event.Fields{"version": p.table.Version, "upstreams": p.directory.Len()}, "the gateway is ready")
	}
	g.ports.Upstreams.Retain(addresses)
}

// serviceFor returns the state of a service from the old view, or a new one if the old
// view does not have it. shard is true if the service is a shard of queries.
func (g *Gateway) serviceFor(now time.Time, old *view, name string, shard bool) *service {
	if old != nil && old.services[name] != nil {
		s := old.services[name]
		s.mu.Lock()
		s.shard = shard
		s.mu.Unlock()
		return s
	}
	return &service{
		name:     name,
		balancer: balancer.NewService(g.cfg.DataCentre),
		budget:   retrybudget.New(g.settings().RetryBudget, g.budgetFleet(now, shard), now),
		shard:    shard,
	}
}

const (
	// minBudgetInstances is the smallest number of instances, or of instances that run
	// queries for others, among which the retry allowance is divided. It leaves shares
	// for instances that join a small fleet.
	minBudgetInstances = 10
	// startBudgetInstances replaces minBudgetInstances during startBudgetTime after the
	// start, while the instance does not know the others yet.
	startBudgetInstances = 40
	startBudgetTime      = 1500 * time.Millisecond
)

// budgetFleet returns the instances among which the retry allowance of a service is
// divided. shard is true if the service is a shard of queries.
func (g *Gateway) budgetFleet(now time.Time, shard bool) retrybudget.Fleet {
	minInstances := minBudgetInstances
	if now.Sub(g.started) < startBudgetTime {
		minInstances = startBudgetInstances
	}
	g.fleet.Lock()
	defer g.fleet.Unlock()
	f := retrybudget.Fleet{Instances: max(minInstances, g.fleet.maxMembers+1)}
	if shard && g.fleet.maxQueryRunners > 0 {
		f.QueryRunners = min(f.Instances, max(minInstances, g.fleet.maxQueryRunners+1))
		f.QueryRunner = g.fleet.isQueryRunner
	}
	return f
}

// updateRetryBudgets passes the present limits and instances to the retry
// budgets of all services.
func (g *Gateway) updateRetryBudgets(now time.Time) {
	v := g.view.Load()
	if v == nil {
		return
	}
	limits, all, shards := g.settings().RetryBudget, g.budgetFleet(now, false), g.budgetFleet(now, true)
	for _, s := range v.services {
		s.mu.Lock()
		if s.shard {
			s.budget.SetLimits(now, limits, shards)
		} else {
			s.budget.SetLimits(now, limits, all)
		}
		s.mu.Unlock()
	}
}

// expireLapsed removes the upstreams whose entries lapsed during an outage or a return from
// a backup and were not registered again in time. It uses the entries that were held and
// are still listed.
func (g *Gateway) expireLapsed(now time.Time) {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	expired := p.directory.Expire(now)
	for _, id := range expired {
		g.info(event.UpstreamGone, event.Fields{"upstream": id, "lapsed": true}, "an upstream's lapsed entry did not come back")
	}
	readmitted := p.directory.Readmit(now)
	for _, u := range readmitted {
		g.info(event.UpstreamListed, event.Fields{"upstream": u.ID, "service": u.Service, "address": u.Address, "state": int(u.State), "cold_ms": u.ColdFor.Milliseconds(), "held": true}, "an upstream's held entry is still listed and is used")
		g.upstreamListed(now, u)
	}
	if evacuationsEnded := g.expireEvacuations(now); evacuationsEnded || len(expired)+len(readmitted) > 0 {
		g.replaceView(now)
	}
}

// HandleFetchChanges implements port.FeedHandler.
func (g *Gateway) HandleFetchChanges(ctx context.Context, after feed.Position, wait time.Duration) (feed.Delta, time.Duration, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		d, ahead, age, changed := g.changesSince(after)
		if ahead {
			return d, age, true
		}
		select {
		case <-changed:
		case <-timer.C:
			d, _, age, _ = g.changesSince(after)
			return d, age, !d.IsZero()
		case <-ctx.Done():
			return feed.Delta{}, 0, false
		}
	}
}

// changesSince returns the changes after a position, whether the copy is ahead of that
// position, the age of the copy, and a channel that is closed when the copy next changes.
func (g *Gateway) changesSince(after feed.Position) (d feed.Delta, ahead bool, age time.Duration, changed <-chan struct{}) {
	p := &g.published
	p.Lock()
	defer p.Unlock()
	d, ahead = p.replica.Since(after)
	return d, ahead, g.ports.Clock.Now().Sub(p.confirmedAt), p.changed
}

// copyIsFresh reports whether the copy was confirmed recently enough to rely on its
// routes: to answer that a route does not exist, or to accept a delegated query.
func (g *Gateway) copyIsFresh(now time.Time) bool { return g.timeSinceConfirmed(now) <= maxDenialAge }

// timeSinceConfirmed returns the time since the copy was confirmed.
func (g *Gateway) timeSinceConfirmed(now time.Time) time.Duration {
	_, age := g.copyAge(now)
	return age
}

// maxDenialAge is the greatest age of a copy that copyIsFresh accepts. With an older
// copy, the caller of an unknown route is told to send the request again, not that the
// route is unknown. The feed confirms its copy about once a second.
const maxDenialAge = 2500 * time.Millisecond
