package instance

import (
	"sort"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/quarantine"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// Status is the state of an instance as shown to operators.
type Status struct {
	Instance          model.InstanceID   `json:"instance"`
	Boot              model.BootID       `json:"boot"`
	DataCentre        model.DataCentre   `json:"data_centre"`
	Phase             string             `json:"phase"`
	Documents         []DocumentStatus   `json:"documents"`
	Refused           []RefusedDocument  `json:"refused_documents"`
	Members           []MemberStatus     `json:"members"`
	Reader            bool               `json:"reader"`
	PlatformReachable bool               `json:"platform_reachable"`
	Groups            []GroupStatus      `json:"groups"`
	Quarantined       []quarantine.Entry `json:"quarantined"`
	Tickets           int                `json:"tickets"`
	ActiveQueries     int64              `json:"active_queries"`
}

// DocumentStatus describes a document in force.
type DocumentStatus struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
	// Source is "platform" or the id of the peer that it was fetched from.
	Source   string           `json:"source"`
	Snapshot model.SnapshotID `json:"snapshot"`
	Groups   int              `json:"groups"`
}

// RefusedDocument describes a document that was not adopted, and why.
type RefusedDocument struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision,omitempty"`
	Verdict  string `json:"verdict"`
	Error    string `json:"error"`
}

// MemberStatus describes a member as this instance sees it.
type MemberStatus struct {
	ID                  model.InstanceID `json:"id"`
	Boot                model.BootID     `json:"boot"`
	DataCentre          model.DataCentre `json:"data_centre"`
	State               string           `json:"state"`
	Candidate           bool             `json:"candidate"`
	PlatformUnreachable bool             `json:"platform_unreachable"`
}

// GroupStatus describes a scheduling group of which this instance is the home, or
// was until recently.
type GroupStatus struct {
	Group  string           `json:"group"`
	Status scheduler.Status `json:"scheduler"`
}

// Status returns the current state of the instance for operators.
func (i *Instance) Status() Status {
	s := Status{
		Instance:      i.cfg.ID,
		Boot:          i.currentBoot(),
		DataCentre:    i.cfg.DataCentre,
		Phase:         i.currentPhase().String(),
		Groups:        i.groupStatus(),
		Tickets:       i.orders.tickets(),
		ActiveQueries: i.activeQueries.Load(),
	}
	s.Documents, s.Refused = i.documentStatus()
	s.Members = i.memberStatus()
	i.reads.mu.Lock()
	s.Reader = i.reads.reader.IsReader()
	s.PlatformReachable = !i.reads.reader.Unreachable()
	i.reads.mu.Unlock()
	i.quarantine.mu.Lock()
	s.Quarantined = i.quarantine.set.Entries(i.now())
	i.quarantine.mu.Unlock()
	return s
}

func (i *Instance) documentStatus() ([]DocumentStatus, []RefusedDocument) {
	i.catalog.mu.RLock()
	defer i.catalog.mu.RUnlock()
	c := i.catalog.catalog
	documents := make([]DocumentStatus, 0)
	for _, v := range c.Versions() {
		doc := c.Get(v.Service)
		documents = append(documents, DocumentStatus{
			Service:  v.Service,
			Revision: v.Revision,
			Digest:   v.Digest,
			Source:   i.catalog.sources[v.Service],
			Snapshot: doc.Newest().ID,
			Groups:   len(doc.Groups()),
		})
	}
	refused := make([]RefusedDocument, 0)
	for _, r := range c.Refusals() {
		refused = append(refused, refusedDocument(r))
	}
	return documents, refused
}

func refusedDocument(r catalog.Refusal) RefusedDocument {
	return RefusedDocument{
		Service:  r.Version.Service,
		Revision: r.Version.Revision,
		Verdict:  r.Verdict.String(),
		Error:    r.Err.Error(),
	}
}

func (i *Instance) memberStatus() []MemberStatus {
	now := i.now()
	i.control.mu.Lock()
	members := i.control.membership.Members()
	candidates := i.control.membership.Candidates(now)
	i.control.mu.Unlock()
	isCandidate := make(map[model.InstanceID]bool, len(candidates))
	for _, m := range candidates {
		isCandidate[m.ID] = true
	}
	out := make([]MemberStatus, 0, len(members))
	for _, m := range members {
		out = append(out, MemberStatus{
			ID:                  m.ID,
			Boot:                m.Boot,
			DataCentre:          m.DataCentre,
			State:               m.State.String(),
			Candidate:           isCandidate[m.ID],
			PlatformUnreachable: m.PlatformUnreachable,
		})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

func (i *Instance) groupStatus() []GroupStatus {
	now := i.now()
	out := make([]GroupStatus, 0)
	for _, g := range i.homes.all() {
		g.mu.Lock()
		out = append(out, GroupStatus{Group: g.key.String(), Status: g.sched.Status(now)})
		g.mu.Unlock()
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Group < out[b].Group })
	return out
}

// Explanation says which instances and upstreams would serve a request.
type Explanation struct {
	Service  string             `json:"service"`
	Revision uint64             `json:"revision"`
	Snapshot model.SnapshotID   `json:"snapshot"`
	Priority string             `json:"priority,omitempty"`
	Shards   []ShardExplanation `json:"shards"`
}

// ShardExplanation lists a shard's group, its homes in order of preference and
// its replicas.
type ShardExplanation struct {
	Shard    model.ShardID      `json:"shard"`
	Group    string             `json:"group"`
	Homes    []model.InstanceID `json:"homes"`
	Replicas []string           `json:"replicas"`
	// Upstreams is the state of the group's upstreams, from which the home chooses
	// the replica. It is set only if this instance runs the group's scheduler.
	Upstreams any `json:"upstreams,omitempty"`
}

// Explain returns which instances and upstreams would serve a query of the service
// now. An empty shard means all shards.
func (i *Instance) Explain(service, priority string, shard model.ShardID) (Explanation, error) {
	doc := i.document(service)
	if doc == nil {
		return Explanation{}, result.Errorf(result.UnknownService, "there is no service %q", service)
	}
	if priority != "" && doc.PriorityIndex(priority) < 0 {
		return Explanation{}, result.Errorf(result.UnknownPriority, "service %s has no priority %q", service, priority)
	}
	snapshot := doc.Newest()
	out := Explanation{Service: service, Revision: doc.Revision, Snapshot: snapshot.ID, Priority: priority}
	groupOf := doc.ShardGroups(snapshot)
	groups := doc.Groups()
	now := i.now()
	localGroups := i.groupStatus()
	for _, sh := range snapshot.Shards {
		if shard != "" && sh.ID != shard {
			continue
		}
		g := groups[groupOf[sh.ID]]
		out.Shards = append(out.Shards, ShardExplanation{
			Shard:     sh.ID,
			Group:     g.Key.String(),
			Homes:     i.homeOrder(now, doc, g.Key.Index),
			Replicas:  sh.Replicas,
			Upstreams: upstreamsOf(localGroups, g.Key),
		})
	}
	if len(out.Shards) == 0 {
		return Explanation{}, result.Errorf(result.UnknownShard, "snapshot %s has no shard %q", snapshot.ID, shard)
	}
	return out, nil
}

func upstreamsOf(localGroups []GroupStatus, key model.GroupKey) any {
	for _, g := range localGroups {
		if g.Group == key.String() {
			return g.Status.Upstreams
		}
	}
	return nil
}
