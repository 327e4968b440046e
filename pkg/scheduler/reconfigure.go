package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// SetDocument applies a new revision of the service document. Upstreams with
// the same name and address keep their state, running attempts continue, and
// requests of a priority that no longer exists end.
func (s *Scheduler) SetDocument(now time.Time, d *document.Document, g document.Group) []Action {
	s.beginStep(now)
	s.cfg.Document = d
	s.cfg.Group = g
	s.budgets.configure(d.Budgets)
	s.applyDocument(d, g)
	s.endRequestsWithoutPriority()
	s.rebindReplicas()
	return s.finishStep()
}

// applyDocument updates the priorities, the upstreams and the replica index
// from the document.
func (s *Scheduler) applyDocument(d *document.Document, g document.Group) {
	s.updatePriorities(d)
	s.updateUpstreams(g)
	s.replicas = make(replicaIndex, len(d.Snapshots))
	for i := range d.Snapshots {
		snapshot := &d.Snapshots[i]
		shards := make(map[model.ShardID][]*upstream, len(snapshot.Shards))
		for _, shard := range snapshot.Shards {
			shards[shard.ID] = s.upstreamsNamed(shard.Replicas)
		}
		s.replicas[snapshot.ID] = shards
	}
	s.refreshMedianFactor()
	s.invalidateConditions()
}

func (s *Scheduler) updatePriorities(d *document.Document) {
	byName := make(map[string]*priority, len(s.priorities))
	for _, p := range s.priorities {
		byName[p.name] = p
	}
	s.priorities = make([]*priority, 0, len(d.Priorities))
	for _, dp := range d.Priorities {
		p := byName[dp.Name]
		if p == nil {
			p = newPriority(dp)
		}
		p.configure(dp)
		s.priorities = append(s.priorities, p)
	}
}

func (s *Scheduler) updateUpstreams(g document.Group) {
	old := s.upstreams
	s.upstreams = make(map[string]*upstream, len(g.Upstreams))
	s.orderedUpstreams = make([]*upstream, 0, len(g.Upstreams))
	for _, du := range g.Upstreams {
		u := old[du.Name]
		if u == nil || u.address != du.Address {
			u = newUpstream(du, s.cfg.MaxInstances)
			s.applyRampOverride(u)
		}
		u.configure(du, s.cfg.MaxInstances)
		s.upstreams[du.Name] = u
		s.orderedUpstreams = append(s.orderedUpstreams, u)
	}
	for name, u := range old {
		u.removed = s.upstreams[name] != u
	}
}

// upstreamsNamed returns the upstreams with the given names. It skips names that
// are not in the group.
func (s *Scheduler) upstreamsNamed(names []string) []*upstream {
	var out []*upstream
	for _, name := range names {
		if u := s.upstreams[name]; u != nil {
			out = append(out, u)
		}
	}
	return out
}

// endRequestsWithoutPriority ends the requests of priorities that no longer
// exist.
func (s *Scheduler) endRequestsWithoutPriority() {
	kept := make(map[*priority]bool, len(s.priorities))
	for _, p := range s.priorities {
		kept[p] = true
	}
	for _, r := range s.sortedRequests() {
		if !kept[r.prio] {
			s.endRequest(r, endPriorityRemoved)
		}
	}
}

// rebindReplicas sets the replicas of all parts to those of the new document.
// If the document no longer has the snapshot or the shard, a part keeps its
// replicas, except the ones that are no longer in the group.
func (s *Scheduler) rebindReplicas() {
	for _, r := range s.sortedRequests() {
		shards := s.replicas[r.req.Snapshot]
		for _, p := range r.parts {
			p.replicas = s.currentReplicas(p, shards[p.shard])
		}
		s.failUnservableParts(r)
	}
}

// currentReplicas returns the given replicas. If there are none, it returns the
// part's replicas, except the ones that are no longer in the group.
func (s *Scheduler) currentReplicas(p *part, replicas []*upstream) []*upstream {
	if len(replicas) > 0 {
		return replicas
	}
	names := make([]string, 0, len(p.replicas))
	for _, u := range p.replicas {
		names = append(names, u.name)
	}
	return s.upstreamsNamed(names)
}
