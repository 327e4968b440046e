package scheduler

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// SetDocument adopts a new revision. Upstreams with the same name and address
// keep their state, running attempts go on, and requests of a priority that
// no longer exists end.
func (s *Scheduler) SetDocument(now time.Time, d *document.Document, g document.Group) []Action {
	s.begin(now)
	s.cfg.Document = d
	s.cfg.Group = g
	s.budgets.configure(d.Budgets)
	s.adopt(d, g)
	s.endRemoved()
	s.rebindParts()
	return s.finishStep()
}

// adopt derives priorities, upstreams and replicas from the document.
func (s *Scheduler) adopt(d *document.Document, g document.Group) {
	s.adoptPriorities(d)
	s.adoptUpstreams(g)
	s.replicas = make(replicaIndex, len(d.Snapshots))
	for i := range d.Snapshots {
		snapshot := &d.Snapshots[i]
		shards := make(map[model.ShardID][]*upstream, len(snapshot.Shards))
		for _, shard := range snapshot.Shards {
			shards[shard.ID] = s.known(shard.Replicas)
		}
		s.replicas[snapshot.ID] = shards
	}
	s.refreshMedian()
	s.changed()
}

func (s *Scheduler) adoptPriorities(d *document.Document) {
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

func (s *Scheduler) adoptUpstreams(g document.Group) {
	old := s.upstreams
	s.upstreams = make(map[string]*upstream, len(g.Upstreams))
	s.order = make([]*upstream, 0, len(g.Upstreams))
	for _, du := range g.Upstreams {
		u := old[du.Name]
		if u == nil || u.address != du.Address {
			u = newUpstream(du, s.cfg.MaxInstances)
			s.applyRamp(u)
		}
		u.configure(du, s.cfg.MaxInstances)
		s.upstreams[du.Name] = u
		s.order = append(s.order, u)
	}
	for name, u := range old {
		u.removed = s.upstreams[name] != u
	}
}

// known returns the named upstreams that are in the group.
func (s *Scheduler) known(names []string) []*upstream {
	var out []*upstream
	for _, name := range names {
		if u := s.upstreams[name]; u != nil {
			out = append(out, u)
		}
	}
	return out
}

// endRemoved ends the requests of priorities that no longer exist.
func (s *Scheduler) endRemoved() {
	kept := make(map[*priority]bool, len(s.priorities))
	for _, p := range s.priorities {
		kept[p] = true
	}
	for _, r := range s.sortedRequests() {
		if !kept[r.prio] {
			s.endRequest(r, endRemoved)
		}
	}
}

// rebindParts gives waiting parts the replicas of the new document. If it no
// longer has their snapshot, they keep the replicas that still exist.
func (s *Scheduler) rebindParts() {
	for _, r := range s.sortedRequests() {
		shards := s.replicas[r.req.Snapshot]
		for _, p := range r.parts {
			p.replicas = s.rebound(p, shards[p.shard])
		}
		s.failUnservableParts(r)
	}
}

func (s *Scheduler) rebound(p *part, replicas []*upstream) []*upstream {
	if len(replicas) > 0 {
		return replicas
	}
	names := make([]string, 0, len(p.replicas))
	for _, u := range p.replicas {
		names = append(names, u.name)
	}
	return s.known(names)
}
